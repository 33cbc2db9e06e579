//! Order of log points, and tokens and control commands after formatting and parsing.

use siskinhook_types::{Control, LogPoint, Token};

/// Guards against stale reads: a replaced primary may have a longer log whose tail was never
/// acknowledged, and must not count as fresh.
#[test]
fn longer_log_of_older_term_does_not_cover() {
    let acknowledged = LogPoint::new(2, 10);
    assert!(!LogPoint::new(1, 15).covers(acknowledged));
    assert!(!LogPoint::new(2, 9).covers(acknowledged));
    assert!(LogPoint::new(2, 10).covers(acknowledged));
    assert!(LogPoint::new(3, 11).covers(acknowledged));
}

/// Guards against a token that changes when a driver passes it on as text.
#[test]
fn token_round_trip() {
    let token: Token = "shifts-1:3:42".parse().unwrap();
    assert_eq!(token.point, LogPoint::new(3, 42));
    assert_eq!(token.to_string(), "shifts-1:3:42");
    for broken in [
        "",
        "shifts-1",
        "shifts-1:3",
        "shifts-1:x:1",
        ":1:1",
        "a:1:-1",
    ] {
        assert!(broken.parse::<Token>().is_err(), "{broken:?} was accepted");
    }
}

/// Guards against a target that parses a control command differently from what was sent.
#[test]
fn control_round_trip() {
    let commands = [
        Control::Status,
        Control::Wait {
            point: LogPoint::new(1, 2),
            timeout: 50,
        },
        Control::Fence {
            term: 7,
            promoter: "n1".into(),
        },
        Control::Promote {
            term: 7,
            promoter: "n1".into(),
        },
        Control::Follow {
            term: 7,
            server: "s2".into(),
        },
        Control::Lock { node: "n1".into() },
        Control::Terminate { node: "n2".into() },
    ];
    for command in commands {
        assert_eq!(Control::parse(&command.to_string()), Some(command));
    }
    assert_eq!(Control::parse("SELECT 1"), None);
}
