//! Drawing of disruptions.

#[path = "../src/drawn.rs"]
mod drawn;

use drawn::{Action, Choice, NODES, Plan, Target};

const SECONDS: u64 = 60;

fn plans() -> impl Iterator<Item = Plan> {
    (0..200).map(|seed| Plan::draw(seed, SECONDS))
}

fn actions() -> Vec<Action> {
    let events = plans().flat_map(|plan| plan.events);
    events.map(|event| event.action).collect()
}

#[test]
fn seed_determines_the_plan() {
    assert_eq!(Plan::draw(7, SECONDS), Plan::draw(7, SECONDS));
    assert_ne!(Plan::draw(7, SECONDS), Plan::draw(8, SECONDS));
}

#[test]
fn events_are_in_order_and_within_the_run() {
    for plan in plans() {
        assert!((0.3..=0.7).contains(&plan.late_share));
        assert!((70..200).contains(&plan.pace));
        assert!(plan.events.is_sorted_by_key(|event| event.at_ms));
        let last = plan.events.last().expect("a disruption");
        assert!(last.at_ms < SECONDS * 1000);
    }
}

#[test]
fn disruptions_come_about_each_1_5_seconds() {
    let gap = plans().count() * 60_000 / actions().len();
    assert!((1200..2400).contains(&gap), "{gap} ms");
}

#[test]
fn every_kind_is_drawn() {
    let actions = actions();
    let has = |wanted: fn(&Action) -> bool| assert!(actions.iter().any(wanted));
    has(|a| matches!(a, Action::Crash { target: Target::Primary, for_ms } if *for_ms > 15_000));
    has(|a| matches!(a, Action::Pair { for_ms, .. } if for_ms.iter().all(|ms| *ms > 15_000)));
    has(|a| {
        matches!(
            a,
            Action::Silence {
                target: Target::Primary,
                ..
            }
        )
    });
    has(|a| matches!(a, Action::Deaf { .. }));
    has(|a| matches!(a, Action::Lag { delay_ms, .. } if *delay_ms > 0));
    has(|a| matches!(a, Action::Isolate { .. }));
    has(|a| matches!(a, Action::StoreCut { for_ms, .. } if *for_ms > 3600));
    has(|a| matches!(a, Action::NodeCut { nodes, .. } if *nodes != 0 && *nodes != u8::MAX));
    has(|a| matches!(a, Action::StoreDown { is_silent: true, for_ms } if *for_ms > 3600));
    has(|a| matches!(a, Action::StoreDown { is_silent: false, for_ms } if *for_ms > 3600));
    has(|a| matches!(a, Action::Refuse { for_ms, .. } if *for_ms >= 13_000));
    has(|a| {
        matches!(
            a,
            Action::Kill {
                choice: Choice::Order,
                ..
            }
        )
    });
    has(|a| {
        matches!(
            a,
            Action::Kill {
                choice: Choice::All,
                ..
            }
        )
    });
    has(|a| {
        matches!(
            a,
            Action::Stop {
                choice: Choice::Lease,
                ..
            }
        )
    });
    has(|a| matches!(a, Action::Release { gap_ms, .. } if *gap_ms > 0));
    has(|a| matches!(a, Action::Join { for_ms } if *for_ms > 0));
}

#[test]
fn disruptions_of_the_primary_need_one() {
    let primary = Target::Primary;
    let crash = |target| Action::Crash { target, for_ms: 1 };
    assert!(crash(primary).needs_primary());
    assert!(!crash(Target::Replica(0)).needs_primary());
    assert!(Action::Isolate { for_ms: 1 }.needs_primary());
    assert!(!Action::Join { for_ms: 1 }.needs_primary());
}

#[test]
fn times_and_indices_are_within_bounds() {
    for action in actions() {
        match action {
            Action::Crash { for_ms, .. } => assert!((200..=20_000).contains(&for_ms)),
            Action::Kill {
                choice, after_ms, ..
            } => {
                assert!(after_ms <= 500);
                assert!(!matches!(choice, Choice::Index(index) if index >= NODES));
            }
            Action::Stop {
                after_ms, for_ms, ..
            } => {
                assert!(after_ms <= 500);
                assert!((300..=4000).contains(&for_ms));
            }
            _ => {}
        }
    }
}

#[test]
fn late_orders_are_drawn_often() {
    let actions = actions();
    let orders = actions.iter().filter_map(|action| match action {
        Action::LateOrder(order) => Some(order),
        _ => None,
    });
    let orders: Vec<_> = orders.collect();
    assert!(orders.len() * 5 > actions.len());
    for order in &orders {
        // The server leads 0.3 s after the order is carried out.
        let range = match order.follow_ms {
            Some(_) => 6300..=12_000,
            None => 4000..=7000,
        };
        assert!(range.contains(&(order.late_ms + 300)));
        assert!(order.kill_ms <= 200);
        assert!(order.follow_ms.is_none_or(|ms| ms < 700));
        assert!(order.hidden.is_none_or(|ms| ms < 3500));
        assert!(order.away_ms < 5000 && order.down_ms < 8000);
    }
    assert!(orders.iter().filter(|order| order.deaf.is_some()).count() * 2 > orders.len());
    assert!(orders.iter().any(|order| order.is_silent));
    assert!(orders.iter().any(|order| order.follow_ms.is_some()));
    assert!(orders.iter().any(|order| order.hidden.is_some()));
    assert!(
        orders
            .iter()
            .any(|order| order.behind_ms.is_some_and(|ms| ms >= 500))
    );
    assert!(orders.iter().any(|order| order.again_ms.is_some()));
}
