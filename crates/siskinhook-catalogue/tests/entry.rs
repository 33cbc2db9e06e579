//! Tests of entry validation: line, column, field and remedy of each fault, and dangerous edits.

mod common;

use std::{fs, path::Path};

use common::{SHIFTDESK, edit, shiftdesk, uze};
use siskinhook_catalogue::{check_catalogue, dangerous_effects, entry_text, parse_entry};
use siskinhook_types::{Catalogue, Change, Entry, Server};

type EntryChange<'a> = &'a dyn Fn(&mut Entry);

fn mark_leaving(servers: &mut [Server]) {
    for server in servers {
        server.leaving = true;
    }
}

#[test]
fn entry_round_trips_through_text() {
    let entry = shiftdesk();
    assert_eq!(parse_entry("again", &entry_text(&entry)), Ok(entry));
}

#[test]
fn faults_have_line_field_and_remedy() {
    let cases = [
        ("bad name", SHIFTDESK.replace("shiftdesk-db", "shift desk")),
        ("no owner", SHIFTDESK.replace("  \"owner\": \"sabarmati\",\n", "")),
        ("empty owner", SHIFTDESK.replace("sabarmati", "")),
        ("unknown field", SHIFTDESK.replace("\"zone\": \"vdr-b\"", "\"az\": \"vdr-b\"")),
        ("wrong class", SHIFTDESK.replace("\"Short\"", "\"Medium\"")),
        ("negative limit", SHIFTDESK.replace("\"queue\": 500", "\"queue\": -1")),
        ("no slot", SHIFTDESK.replace("\"slots\": 2", "\"slots\": 0")),
        ("too many slots", SHIFTDESK.replace("\"slots\": 2", "\"slots\": 13")),
        (
            "limits out of range",
            SHIFTDESK.replace("\"queue\": 500, \"deadline\": 5000", "\"queue\": 0,\n\"deadline\": 0"),
        ),
        ("host name", SHIFTDESK.replace("10.1.1.2:5432", "db.example:5432")),
        ("no port", SHIFTDESK.replace("10.1.1.2:5432", "10.1.1.2")),
        ("address twice", SHIFTDESK.replace("10.1.1.2", "10.1.1.1")),
        ("server twice", SHIFTDESK.replace("payroll-2", "shifts-2")),
        ("no zone", SHIFTDESK.replace("\"zone\": \"srt-c\"", "\"zone\": \"\"")),
        (
            "group of two",
            SHIFTDESK.replace(
                ",\n        { \"name\": \"shifts-3\", \"zone\": \"srt-c\", \"address\": \"10.1.1.3:5432\" }",
                "",
            ),
        ),
        ("secret in the entry", SHIFTDESK.replace("shiftdesk-targets", "user:pass word")),
        ("database twice", SHIFTDESK.replace("\"payroll\":", "\"shifts\":")),
        (
            "no database",
            format!("{}}}}}", SHIFTDESK.split("\"shifts\"").next().unwrap()),
        ),
        ("syntax error", SHIFTDESK.replace("\"class\": ", "\"class\" ")),
    ];
    let report: Vec<String> = cases
        .into_iter()
        .map(|(name, text)| {
            let error = parse_entry("entry.jsonc", &text).unwrap_err();
            format!("# {name}\n{error}\n")
        })
        .collect();
    let report = report.join("\n");
    let golden = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden/entry.txt");
    if std::env::var_os("UPDATE_GOLDEN").is_some() {
        fs::write(&golden, &report).unwrap();
    }
    assert_eq!(report, fs::read_to_string(golden).unwrap());
}

/// Two entries that list the same server could together exceed its connection limit.
#[test]
fn databases_and_servers_belong_to_one_entry() {
    let mut catalogue = Catalogue::default();
    let first = edit("e", 0, &shiftdesk());
    assert!(catalogue.apply(&Change {
        revision: 1,
        edit: first.id,
        service: first.service,
        entry: first.entry,
    }));
    assert_eq!(check_catalogue(&uze(), &catalogue), vec![]);
    let mut entry = uze();
    entry.databases[0].servers[1].address = "10.1.2.1:5432".into();
    entry
        .databases
        .insert("shifts".into(), entry.databases[1].clone());
    let faults: Vec<String> = check_catalogue(&entry, &catalogue)
        .iter()
        .map(ToString::to_string)
        .collect();
    assert_eq!(faults.len(), 2, "{faults:?}");
    assert!(
        faults[0]
            .starts_with("databases.braids.servers[1]: entry shiftdesk-db lists server payroll-1")
    );
    assert!(
        faults[1].starts_with("databases.shifts: database shifts belongs to entry shiftdesk-db")
    );
}

/// Every kind of valid edit that can interrupt service needs a confirmation; a harmless edit does
/// not.
#[test]
fn dangerous_edits_are_detected() {
    let old = shiftdesk();
    let effects = |change: EntryChange| {
        let mut new = old.clone();
        change(&mut new);
        dangerous_effects(Some(&old), Some(&new))
    };
    assert_eq!(effects(&|e| e.limits.queue = 7), Vec::<String>::new());
    assert_eq!(
        effects(&|e| e.databases[0].servers[1].leaving = true),
        Vec::<String>::new()
    );
    let added = |e: &mut Entry| {
        let mut server = e.databases[0].servers[0].clone();
        server.name = "shifts-4".into();
        e.databases[0].servers.push(server);
    };
    assert_eq!(effects(&added), Vec::<String>::new());
    let dangerous: [(EntryChange, &str); 7] = [
        (&|e| e.limits.connections = 0, "connections to 0"),
        (&|e| e.limits.connections = 4, "no statement runs"),
        (&|e| e.databases[0].servers.clear(), "last server"),
        (
            &|e| mark_leaving(&mut e.databases[0].servers),
            "all servers",
        ),
        (
            &|e| mark_leaving(&mut e.databases[0].servers[1..]),
            "no majority",
        ),
        (
            &|e| drop(e.databases.shift_remove("payroll")),
            "removes database payroll",
        ),
        // {1, 2, 3} to {1, 2, 4}: the majority {2, 4} lacks a write acknowledged by {1, 3}.
        (
            &|e| e.databases[0].servers[2].name = "shifts-4".into(),
            "one server per edit",
        ),
    ];
    for (change, text) in dangerous {
        let found = effects(change);
        assert!(
            found.len() == 1 && found[0].contains(text),
            "{text}: {found:?}"
        );
    }
    assert!(dangerous_effects(Some(&old), None)[0].contains("removes entry shiftdesk-db"));
    assert_eq!(dangerous_effects(None, Some(&old)), Vec::<String>::new());
}

#[test]
fn example_entries_have_no_faults() {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/examples");
    for name in ["shiftdesk-db", "uze-core"] {
        let text = fs::read_to_string(directory.join(format!("{name}.jsonc"))).unwrap();
        let entry = parse_entry(name, &text).unwrap();
        assert_eq!((entry.name.as_str(), entry.databases.len()), (name, 3));
    }
}
