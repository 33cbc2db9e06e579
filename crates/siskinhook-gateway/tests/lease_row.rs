//! Tests of a failover lease row that another writer replaced, on tokio's paused clock.

mod support;

use std::{rc::Rc, time::Duration};

use serde_json::{Value, json};
use siskinhook_gateway::{Gateway, REPLACEMENT_LIFETIME, Session};
use support::{
    FakeDialer, ask, clock, crash,
    site::{Site, write_for},
};
use tokio::{task::LocalSet, time::sleep};

const KEY: &str = "failover/svc";
/// Rounds of writes, 100 ms each, after which a lost primary is certainly replaced.
const REPLACED_AFTER: u32 = 230;

/// Returns rows that no node writes.
fn odd_rows() -> Vec<Value> {
    let with = |field: &str, value: Value| {
        let mut row = json!({
            "holder": "n9", "process": 7, "token": 1, "written": clock(), "era": 0,
            "replaces": null, "former": null, "order": null
        });
        row[field] = value;
        row
    };
    let far = json!(u64::MAX);
    vec![
        Value::Null,
        json!("n9"),
        json!([]),
        json!({}),
        json!({"holder": "n9"}),
        json!({"token": 1}),
        with("holder", json!(7)),
        with("token", json!(-1)),
        with("token", json!(1e308)),
        with("token", far.clone()),
        with("token", json!("1")),
        with("written", far.clone()),
        with("written", json!(-1)),
        with("era", far.clone()),
        with("era", json!("first")),
        with("replaces", json!("x")),
        with("former", json!({"term": far.clone(), "written": "then"})),
        with("former", json!(3)),
        with("order", json!("s1")),
        with("primary", json!(["s1", 1])),
        with(
            "primary",
            json!({"server": "s1", "started": 1, "term": far}),
        ),
        with(
            "order",
            json!({"server": "s9", "address": "127.0.0.1:9", "started": 1, "written": far}),
        ),
    ]
}

/// Runs a case for each odd row.
async fn for_each_row<F: Future>(case: impl Fn(Value, Site) -> F) {
    for (seed, row) in (0..).zip(odd_rows()) {
        println!("row {row}");
        LocalSet::new().run_until(case(row, Site::new(seed))).await;
    }
}

async fn write_succeeds(gateway: &Rc<Gateway<FakeDialer>>) -> bool {
    let mut session = Session::open(gateway, "strong").expect("the route is known");
    ask(&mut session, "WRITE 1 a").await.result.is_ok()
}

/// Guards against a lost primary that is never replaced because the lease row cannot be decoded or
/// states a number that no node writes.
#[tokio::test(start_paused = true)]
async fn lost_primary_is_replaced_despite_an_odd_lease_row() {
    for_each_row(async |row, site| {
        let nodes = [site.start("n1"), site.start("n2"), site.start("n3")];
        write_for(&nodes, 3).await;
        site.table.put(KEY, row).await;
        site.world.borrow_mut()[0].reachable = false;
        write_for(&nodes, REPLACED_AFTER).await;
        let seen = site.orders.seen.borrow().clone();
        assert_eq!(seen.len(), 1, "{seen:?}");
        assert_eq!(site.primaries().len(), 1);
        assert!(write_succeeds(&nodes[0]).await);
    })
    .await;
}

/// Guards against two holders that act within three seconds of each other, and against a later
/// holder under a token that was given out, because the row of the first one was replaced.
#[tokio::test(start_paused = true)]
async fn odd_lease_row_does_not_let_two_holders_act() {
    for_each_row(async |row, site| {
        let nodes = [site.start("n1"), site.start("n2"), site.start("n3")];
        write_for(&nodes, 3).await;
        // The order is carried out late, when another holder could be choosing a successor.
        site.orders.unanswered.set(1);
        site.orders.late.set(Some(Duration::from_secs(12)));
        crash(&site.world, 0);
        let holder = loop {
            write_for(&nodes, 1).await;
            if let Some(order) = site.orders.seen.borrow().first() {
                break order.holder.clone();
            }
        };
        site.stop_controller(&holder);
        site.table.put(KEY, row).await;
        write_for(&nodes, REPLACED_AFTER).await;
        let seen = site.orders.seen.borrow().clone();
        for pair in seen.windows(2) {
            let is_apart = pair[1].at - pair[0].at >= 13_000;
            assert!(is_apart || pair[0].holder == pair[1].holder, "{seen:?}");
            assert!(pair[1].token > pair[0].token, "{seen:?}");
        }
        assert_eq!(site.orders.missing.get(), 0, "missing commits");
        assert_eq!(site.primaries().len(), 1);
    })
    .await;
}

/// Guards against nodes that hold writes back again after each of their restarts, because the lease
/// row stays as another writer left it.
#[tokio::test(start_paused = true)]
async fn node_writes_at_once_after_an_odd_lease_row_was_replaced() {
    for_each_row(async |row, site| {
        site.table.put(KEY, row).await;
        let first = site.start("n1");
        write_for(std::slice::from_ref(&first), 10).await;
        sleep(REPLACEMENT_LIFETIME).await;
        assert!(write_succeeds(&first).await);
        let second = site.start("n2");
        assert!(write_succeeds(&second).await, "a node that starts later");
        assert_eq!(*site.orders.seen.borrow(), [], "nothing is lost");
    })
    .await;
}

/// Guards against a live primary that is replaced, or not written to, while another writer goes on
/// writing the lease row; and against a lost one that is not replaced afterwards.
#[tokio::test(start_paused = true)]
async fn lasting_odd_lease_row_stops_replacements_only_while_it_lasts() {
    for_each_row(async |row, site| {
        let nodes = [site.start("n1"), site.start("n2")];
        for _ in 0..30 {
            site.table.put(KEY, row.clone()).await;
            write_for(&nodes, 10).await;
        }
        assert!(write_succeeds(&nodes[0]).await);
        assert_eq!(*site.orders.seen.borrow(), [], "nothing is lost");
        site.world.borrow_mut()[0].reachable = false;
        write_for(&nodes, REPLACED_AFTER).await;
        assert_eq!(site.orders.seen.borrow().len(), 1);
        assert_eq!(site.primaries().len(), 1);
    })
    .await;
}
