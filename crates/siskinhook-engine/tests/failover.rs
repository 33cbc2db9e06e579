//! Tests of failover: no acknowledged write is lost, and a replaced primary acknowledges none.
#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

mod support;

use std::time::Duration;

use futures::future::join_all;
use siskinhook_standin::{Cut, PlatformState};
use siskinhook_types::{Control, Purpose, Role, TargetSession, Targets, Verdict};
use support::{
    Cluster, NodeSession, claim, claims, plan,
    write_load::{WriteLoad, end_watch, watch_terms},
};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

const NODES: [&str; 3] = ["n1", "n2", "n3"];
/// Required limit: a change of the primary completes within 7 s.
const PRIMARY_CHANGE_LIMIT: Duration = Duration::from_secs(7);

/// Guards against losing acknowledged writes when the primary crashes, and against a promotion
/// that takes too long.
#[tokio::test(start_paused = true)]
async fn primary_crash_loses_nothing() {
    let cluster = Cluster::start(11, plan(3)).await;
    let watch = watch_terms(&cluster);
    let writers = WriteLoad::start(&cluster, &NODES, false);
    sleep(Duration::from_secs(1)).await;
    let primary = cluster.primary();
    cluster.site.server(&primary).unwrap().crash();
    let crashed = Instant::now();
    sleep(Duration::from_secs(8)).await;
    println!("gap {:?}", writers.gap(crashed));
    assert!(writers.gap(crashed) < PRIMARY_CHANGE_LIMIT);
    assert_ne!(cluster.primary(), primary);
    cluster.site.server(&primary).unwrap().restart();
    sleep(Duration::from_secs(2)).await;
    writers.finish(&cluster).await;
    end_watch(watch).await;
    let old = cluster.site.server(&primary).unwrap().status();
    assert_eq!(
        old.primary,
        Some(cluster.primary()),
        "the old primary follows the new one"
    );
}

/// Guards against a primary that keeps acknowledging writes while its zone is cut off from the
/// other zones.
#[tokio::test(start_paused = true)]
async fn primary_cut_off_with_its_zone_acknowledges_nothing() {
    let cluster = Cluster::start(12, plan(3)).await;
    let watch = watch_terms(&cluster);
    let writers = WriteLoad::start(&cluster, &NODES, false);
    sleep(Duration::from_secs(1)).await;
    let primary = cluster.primary();
    let zone = cluster
        .site
        .server(&primary)
        .unwrap()
        .endpoint()
        .zone
        .clone();
    cluster.cut(Cut::Zone(zone.clone()));
    let cut = Instant::now();
    sleep(Duration::from_secs(8)).await;
    println!("gap {:?}", writers.gap(cut));
    assert!(writers.gap(cut) < PRIMARY_CHANGE_LIMIT);
    assert_ne!(cluster.primary(), primary);
    cluster.heal(&Cut::Zone(zone));
    sleep(Duration::from_secs(3)).await;
    let written = writers.finish(&cluster).await;
    end_watch(watch).await;
    let cut_off = written
        .iter()
        .filter(|w| w.node == "n1" && w.result.is_ok());
    let late = cut_off.filter(|w| w.sent > cut && w.ended < cut + Duration::from_secs(8));
    assert_eq!(late.count(), 0, "the cut-off zone acknowledged writes");
}

/// Guards against two primaries in one term when two promoters compete without the platform.
#[tokio::test(start_paused = true)]
async fn two_promoters_make_one_primary() {
    for seed in 13..18 {
        let cluster = Cluster::start(seed, plan(3)).await;
        let watch = watch_terms(&cluster);
        cluster.site.store().set_state(PlatformState::Down);
        let writers = WriteLoad::start(&cluster, &NODES, false);
        sleep(Duration::from_millis(500 + seed % 10)).await;
        let primary = cluster.primary();
        cluster.site.server(&primary).unwrap().crash();
        // The promoters cannot reach each other, so neither sees what the other does.
        cluster.cut(Cut::Pair("n2".into(), "n3".into()));
        sleep(Duration::from_secs(6)).await;
        cluster.heal(&Cut::Pair("n2".into(), "n3".into()));
        cluster.site.server(&primary).unwrap().restart();
        sleep(Duration::from_secs(3)).await;
        writers.finish(&cluster).await;
        end_watch(watch).await;
    }
}

/// Guards against a promoter that continues after a pause during which another node completed a
/// promotion.
#[tokio::test(start_paused = true)]
async fn paused_promoter_does_not_interfere() {
    // Each seed pauses the promoter at a different moment of the failover.
    for (seed, moment) in (20..30).zip((600..2000).step_by(140)) {
        let cluster = Cluster::start(seed, plan(3)).await;
        let watch = watch_terms(&cluster);
        let writers = WriteLoad::start(&cluster, &NODES, false);
        // Varies with the seed what the writers are doing when the primary crashes.
        sleep(Duration::from_millis(500 + seed % 10)).await;
        let primary = cluster.primary();
        cluster.site.server(&primary).unwrap().crash();
        sleep(Duration::from_millis(moment)).await;
        cluster.cut(Cut::Name("n2".into()));
        sleep(Duration::from_secs(4)).await;
        cluster.heal(&Cut::Name("n2".into()));
        cluster.site.server(&primary).unwrap().restart();
        sleep(Duration::from_secs(4)).await;
        println!("paused {moment} ms after the crash");
        writers.finish(&cluster).await;
        end_watch(watch).await;
    }
}

/// Guards against a failover while the primary is only slow.
#[tokio::test(start_paused = true)]
async fn slow_primary_is_not_replaced() {
    let cluster = Cluster::start(31, plan(3)).await;
    let primary = cluster.primary();
    cluster
        .site
        .server(&primary)
        .unwrap()
        .set_slowness(Duration::from_secs(2));
    let mut session = cluster.session("n2");
    session.options_mut().deadline = Some(Duration::from_secs(30));
    support::claim(&mut session, 1).await.unwrap();
    sleep(Duration::from_secs(5)).await;
    assert_eq!(cluster.primary(), primary);
    assert_eq!(cluster.total(|c| c.promotions), 0);
}

/// Guards against reporting a write as not run when its primary is cut off from the replicas and
/// commits it, and against serving reads from that primary after it was replaced.
#[tokio::test(start_paused = true)]
async fn write_without_majority_may_have_run() {
    let cluster = Cluster::start(32, plan(3)).await;
    for server in ["claims-b", "claims-c"] {
        cluster.cut(Cut::Pair("claims-a".into(), server.into()));
    }
    let mut session = cluster.session("n1");
    session.options_mut().deadline = Some(Duration::from_millis(500));
    let failure = support::claim(&mut session, 1).await.unwrap_err();
    assert_eq!(
        (failure.verdict, failure.code.as_str()),
        (Verdict::MayHaveRun, "08007")
    );
    sleep(Duration::from_secs(4)).await;
    let mut reader = cluster.session("n3");
    assert_eq!(claims(&mut reader, 90).await.unwrap(), 1);
}

/// Guards against runs that differ with the same seed, because something depends on real time or
/// on the iteration order of a hash map.
#[tokio::test(start_paused = true)]
async fn same_seed_gives_the_same_run() {
    let mut runs = Vec::new();
    for _ in 0..2 {
        let cluster = Cluster::start(33, plan(3)).await;
        let started = Instant::now();
        let writers = WriteLoad::start(&cluster, &NODES, false);
        sleep(Duration::from_millis(500)).await;
        cluster.site.server("claims-a").unwrap().crash();
        sleep(Duration::from_secs(3)).await;
        let written = writers.finish(&cluster).await;
        let run: Vec<_> = written
            .iter()
            .map(|w| {
                (
                    w.shift,
                    w.sent - started,
                    w.ended - started,
                    w.result.is_ok(),
                )
            })
            .collect();
        let counters = NODES.map(|node| cluster.node(node).counters().snapshot());
        runs.push((run, counters));
    }
    assert_eq!(runs[0], runs[1]);
}

/// Guards against a read that misses the caller's own acknowledged write while the primary is
/// being replaced.
#[tokio::test(start_paused = true)]
async fn own_writes_are_seen_through_a_failover() {
    let cluster = Cluster::start(34, plan(3)).await;
    let end = Instant::now() + Duration::from_secs(6);
    let mut tasks = JoinSet::new();
    for (number, writer) in NODES.into_iter().enumerate() {
        let mut writing = cluster.session(writer);
        let mut readers: Vec<NodeSession> = NODES.map(|node| cluster.session(node)).into();
        tasks.spawn(async move {
            let mut seen = 0;
            for shift in (1000 * (number as u64 + 1)).. {
                let Ok(token) = support::claim(&mut writing, shift).await else {
                    continue;
                };
                for reader in &mut readers {
                    reader.options_mut().token = Some(token.clone());
                    match claims(reader, shift).await {
                        Ok(found) => assert_eq!(found, 1, "{shift} with {token}"),
                        Err(failure) => assert_ne!(failure.verdict, Verdict::Ran, "{failure}"),
                    }
                    seen += 1;
                }
                if Instant::now() > end {
                    return seen;
                }
            }
            seen
        });
    }
    sleep(Duration::from_secs(1)).await;
    cluster.site.server("claims-a").unwrap().crash();
    sleep(Duration::from_secs(3)).await;
    cluster.site.server("claims-a").unwrap().restart();
    let seen = tasks.join_all().await;
    println!("{seen:?} reads");
    assert!(seen.iter().all(|seen| *seen > 100), "{seen:?} reads");
}

/// Demotes the primary, as the node that promotes another server does.
async fn demote(cluster: &Cluster, name: &str) {
    let term = cluster.site.server(name).unwrap().status().term + 1;
    let entry = cluster.site.entry();
    let mut servers = entry.databases["claims"].servers.iter();
    let server = servers.find(|server| server.name == name).unwrap();
    let targets = cluster.site.targets(&cluster.site.nodes()[0]);
    let mut session = targets.connect(server, Purpose::Control).await.unwrap();
    let promoter = "promoter".into();
    let status = session.control(&Control::Fence { term, promoter }).await;
    assert_eq!(status.unwrap().role, Role::Replica);
}

/// Guards against a write that is reported as run because a primary that was just demoted refused it,
/// while the node that sent it does not know of the demotion yet.
#[tokio::test(start_paused = true)]
async fn write_refused_by_a_demoted_primary_is_sent_to_the_next_one() {
    for seed in 90..100 {
        let cluster = Cluster::start(seed, plan(3)).await;
        let mut sessions = NODES.map(|node| cluster.session(node));
        let mut identified = cluster.session(NODES[0]);
        identified.options_mut().request = Some("payroll-1".into());
        claim(&mut sessions[0], 1).await.unwrap();
        sleep(Duration::from_millis(37 * (seed - 90))).await;
        demote(&cluster, &cluster.primary()).await;
        let callers = sessions.iter_mut().chain([&mut identified]);
        let writes = (2..)
            .zip(callers)
            .map(|(shift, session)| claim(session, shift));
        for written in join_all(writes).await {
            assert!(written.is_ok(), "{written:?}");
        }
    }
}
