//! The cases.

use std::{sync::Arc, thread::sleep, time::Duration};

use crate::{
    record::Record,
    site::{Readers, Site, Writers},
};

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Runs a case. Returns the exit code.
pub fn run(case: &str, with_trouble: bool, record: &Arc<Record>) -> u8 {
    let Some(mut site) = Site::start(record) else {
        return 2;
    };
    let outcome = match case {
        "erased-replica" => erased_replica(&site, with_trouble),
        "added-node" => added_node(&mut site, with_trouble),
        "erased-primary" => erased_primary(&site, with_trouble),
        "repeated-order" => repeated_order(&site, with_trouble),
        "relayed-read" => relayed_read(&site, with_trouble),
        _ => {
            record.line("unknown case");
            return 2;
        }
    };
    if site.nodes.iter_mut().any(|node| node.has_ended()) {
        record.line("a node ended by itself");
        return 2;
    }
    outcome.map_or(2, u8::from)
}

/// A replica receives nothing for a while. Meanwhile the primary crashes, and the other replica, which
/// is cut off from the store, crashes and starts again under its id.
fn erased_replica(site: &Site, with_trouble: bool) -> Option<bool> {
    let database = &site.database;
    let writers = Writers::start(site, 8);
    sleep(millis(4000));
    if with_trouble {
        site.record
            .line("the second replica receives nothing for 6.5 s");
        database.lock().servers[2].deaf = true;
        sleep(millis(2500));
        site.record
            .line("the first replica is cut off from the store for 5 s");
        database.lock().servers[1].core_cut = true;
        sleep(millis(500));
        database.crash(0);
        database.crash(1);
        sleep(millis(300));
        database.restart(1, false);
        sleep(millis(3200));
        database.lock().servers[2].deaf = false;
        sleep(millis(1000));
        database.lock().servers[1].core_cut = false;
        sleep(millis(1500));
        database.restart(0, true);
    } else {
        sleep(millis(9000));
    }
    sleep(millis(8000));
    writers.stop();
    has_lost_writes(site)
}

/// Whether a promotion lost acknowledged writes; `None` if none was acknowledged.
fn has_lost_writes(site: &Site) -> Option<bool> {
    let state = site.database.lock();
    site.record.line(&format!(
        "{} writes acknowledged, {} promotions, {} acknowledged writes lost by them",
        state.acknowledged.len(),
        state.promotions,
        state.lost.len()
    ));
    (!state.acknowledged.is_empty()).then_some(!state.lost.is_empty())
}

/// A replica receives nothing for a while. Meanwhile the primary and the other replica crash; the
/// replica starts again under its id and reports so to the store at once. Then a node is added; with
/// `ADD=0` in the environment it is not.
fn added_node(site: &mut Site, with_trouble: bool) -> Option<bool> {
    let database = site.database.clone();
    let writers = Writers::start(site, 8);
    sleep(millis(4000));
    if with_trouble {
        site.record
            .line("the second replica receives nothing for 6.5 s");
        database.lock().servers[2].deaf = true;
        sleep(millis(2000));
        database.crash(0);
        database.crash(1);
        sleep(millis(300));
        database.restart(1, false);
        sleep(millis(1200));
    } else {
        sleep(millis(3500));
    }
    if std::env::var("ADD").as_deref() != Ok("0") {
        site.record.line("a node is added");
        if !site.add_node() {
            site.record.line("the added node is not ready");
            return None;
        }
    }
    sleep(millis(2700));
    if with_trouble {
        database.lock().servers[2].deaf = false;
        site.record.line("the second replica receives again");
        sleep(millis(2000));
        database.restart(0, true);
    }
    sleep(millis(8000));
    writers.stop();
    has_lost_writes(site)
}

/// A node freezes for 0.65 s while its clients read. Meanwhile the primary crashes and starts
/// again under its id.
fn relayed_read(site: &Site, with_trouble: bool) -> Option<bool> {
    let database = &site.database;
    let writers = Writers::start(site, 8);
    sleep(millis(4000));
    writers.stop();
    let last = database.last_acknowledged();
    if last.is_empty() {
        site.record.line("no write was acknowledged");
        return None;
    }
    // The servers' connections are held in the zone of each; this node is in another one.
    let node = &site.nodes[7];
    let readers = Readers::start(site, node.callers, 48, last);
    sleep(millis(2000));
    if with_trouble {
        site.record
            .line("the primary is cut off from the store for 5 s");
        database.lock().servers[0].core_cut = true;
        sleep(millis(500));
        site.record.line("a node freezes for 0.65 s");
        node.signal("-STOP");
        sleep(millis(20));
        database.crash(0);
        sleep(millis(200));
        database.restart(0, false);
        sleep(millis(430));
        node.signal("-CONT");
        site.record.line("the node goes on");
        sleep(millis(4000));
        database.lock().servers[0].core_cut = false;
    }
    sleep(millis(4000));
    let (answered, stale) = readers.stop();
    site.record.line(&format!(
        "{answered} reads answered with data, {stale} of them without acknowledged writes"
    ));
    (answered > 0).then_some(stale > 0)
}

/// A replica receives nothing for a while, and the other one crashes. Meanwhile the primary, which is cut
/// off from the store, crashes and starts again under its id.
fn erased_primary(site: &Site, with_trouble: bool) -> Option<bool> {
    let database = &site.database;
    let writers = Writers::start(site, 8);
    sleep(millis(4000));
    if with_trouble {
        site.record
            .line("the second replica receives nothing for 6.5 s");
        database.lock().servers[2].deaf = true;
        sleep(millis(1500));
        site.record
            .line("the primary is cut off from the store for 5 s");
        database.lock().servers[0].core_cut = true;
        sleep(millis(500));
        database.crash(1);
        sleep(millis(500));
        database.crash(0);
        sleep(millis(300));
        database.restart(0, false);
        sleep(millis(3700));
        database.lock().servers[2].deaf = false;
        database.lock().servers[0].core_cut = false;
        sleep(millis(1500));
        database.restart(1, true);
    } else {
        sleep(millis(8000));
    }
    sleep(millis(8000));
    writers.stop();
    has_lost_writes(site)
}

/// The primary is to be replaced. The order to promote its successor gets no answer, and the successor
/// starts again under its id before the order is repeated.
fn repeated_order(site: &Site, with_trouble: bool) -> Option<bool> {
    let database = &site.database;
    let writers = Writers::start(site, 8);
    sleep(millis(4000));
    database.add(3);
    sleep(millis(2000));
    site.record.line("the primary announces that it will stop");
    {
        let mut state = database.lock();
        state.withholds = with_trouble;
        state.servers[0].draining = true;
    }
    if with_trouble {
        let mut waits = 0;
        let successor = loop {
            if let Some(index) = database.lock().withheld {
                break index;
            }
            sleep(millis(5));
            waits += 1;
            if waits > 1000 {
                site.record.line("no order was sent");
                return None;
            }
        };
        sleep(millis(150));
        database.crash(successor);
        sleep(millis(300));
        database.restart(successor, false);
    }
    sleep(millis(7000));
    database.crash(0);
    sleep(millis(8000));
    writers.stop();
    has_lost_writes(site)
}
