//! Verdicts of writes, and how often writes run.
#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

mod support;

use std::time::Duration;

use siskinhook_engine::SessionOptions;
use siskinhook_standin::Cut;
use siskinhook_types::{Failure, FailureKind, MemberState, Verdict};
use support::{Cluster, NodeSession, claim, claims, plan, run, write_load::WriteLoad};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

const NODES: [&str; 4] = ["n1", "n2", "n3", "n4"];
/// Appends one character to a text each time it runs.
const ADJUST: &str = "UPDATE claims SET barista = barista || 'x' WHERE shift_id = 90";
/// Length of the text before the first run of `ADJUST`.
const INITIAL_LENGTH: usize = "meera".len();

async fn adjustments(cluster: &Cluster) -> usize {
    let mut session = cluster.session("n1");
    let token = claim(&mut session, 1).await.unwrap();
    session.options_mut().token = Some(token);
    let sql = "SELECT barista FROM claims WHERE shift_id = 90";
    run(&mut session, sql).await.unwrap().0[0][0].len() - INITIAL_LENGTH
}

async fn adjust(session: &mut NodeSession, id: Option<String>) -> Result<String, Failure> {
    session.options_mut().request = id.map(Into::into);
    Ok(run(session, ADJUST).await?.1)
}

/// Guards against a repeated request that runs twice, on the same or another node, or returns an
/// outcome other than the first.
#[tokio::test(start_paused = true)]
async fn repeated_request_returns_the_first_outcome() {
    let cluster = Cluster::start(61, plan(4)).await;
    for node in NODES {
        let mut session = cluster.session(node);
        let tag = adjust(&mut session, Some("payroll-1".into()))
            .await
            .unwrap();
        assert_eq!(tag, "UPDATE 1");
        assert!(
            session.token().is_some(),
            "the first outcome carries a token"
        );
    }
    assert_eq!(adjustments(&cluster).await, 1);
}

/// Guards against concurrent attempts of one request that both run.
#[tokio::test(start_paused = true)]
async fn concurrent_attempts_run_once() {
    let cluster = Cluster::start(62, plan(4)).await;
    let mut tasks = JoinSet::new();
    for node in NODES {
        let mut session = cluster.session(node);
        tasks.spawn(async move { adjust(&mut session, Some("payroll-1".into())).await });
    }
    while let Some(result) = tasks.join_next().await {
        assert_eq!(result.unwrap().unwrap(), "UPDATE 1");
    }
    assert_eq!(adjustments(&cluster).await, 1);
}

/// Guards against a transaction with an id that is applied twice.
#[tokio::test(start_paused = true)]
async fn repeated_transaction_runs_once() {
    let cluster = Cluster::start(63, plan(4)).await;
    for node in NODES {
        let mut session = cluster.session(node);
        session.options_mut().request = Some("payroll-2".into());
        run(&mut session, "BEGIN").await.unwrap();
        run(&mut session, ADJUST).await.unwrap();
        run(&mut session, ADJUST).await.unwrap();
        assert_eq!(run(&mut session, "COMMIT").await.unwrap().1, "COMMIT");
    }
    assert_eq!(adjustments(&cluster).await, 2);
}

/// Guards against a request id that is consumed by a failed attempt without effect.
#[tokio::test(start_paused = true)]
async fn rejected_attempt_leaves_the_id_free() {
    let cluster = Cluster::start(64, plan(4)).await;
    let mut session = cluster.session("n2");
    session.options_mut().request = Some("claim-1".into());
    let failure = run(&mut session, "INSERT INTO claims VALUES (90, 'x')")
        .await
        .unwrap_err();
    assert_eq!(
        (failure.verdict, failure.code.as_str()),
        (Verdict::Ran, "23505")
    );
    session.options_mut().request = Some("claim-1".into());
    claim(&mut session, 7).await.unwrap();
    assert_eq!(claims(&mut session, 7).await.unwrap(), 1);
}

/// Fault that is injected while adjustments run.
#[derive(Clone, Copy, Debug)]
enum Fault {
    PrimaryCrash,
    OwnerDies,
    SilentServer,
    ZoneCut,
}

async fn inject_fault(cluster: &Cluster, fault: Fault) {
    let primary = cluster.primary();
    match fault {
        Fault::PrimaryCrash => {
            cluster.site.server(&primary).unwrap().crash();
            sleep(Duration::from_secs(3)).await;
            cluster.site.server(&primary).unwrap().restart();
        }
        Fault::OwnerDies => {
            let owner = cluster.owner(&primary);
            cluster.cut(Cut::Name(owner.clone()));
            sleep(Duration::from_secs(2)).await;
            cluster.set_state(&owner, MemberState::Dead, None);
            sleep(Duration::from_secs(3)).await;
            cluster.heal(&Cut::Name(owner.clone()));
            cluster.set_state(&owner, MemberState::Alive, None);
        }
        Fault::SilentServer => {
            cluster.site.network().silence(&Cut::Name(primary));
            sleep(Duration::from_secs(3)).await;
        }
        Fault::ZoneCut => {
            let zone = cluster
                .site
                .server(&primary)
                .unwrap()
                .endpoint()
                .zone
                .clone();
            cluster.cut(Cut::Zone(zone.clone()));
            sleep(Duration::from_secs(4)).await;
            cluster.heal(&Cut::Zone(zone));
        }
    }
    sleep(Duration::from_secs(3)).await;
}

const FAULTS: [Fault; 4] = [
    Fault::PrimaryCrash,
    Fault::OwnerDies,
    Fault::SilentServer,
    Fault::ZoneCut,
];

/// Runs adjustments on all nodes during a fault. With ids, callers repeat an adjustment on another
/// node until its outcome is known. Returns how many ran and how many may have run.
async fn adjust_during(cluster: &Cluster, fault: Fault, with_ids: bool) -> (usize, usize) {
    let end = Instant::now() + Duration::from_secs(8);
    // With this lag, most adjustments are committed but not yet confirmed when the fault occurs.
    for server in cluster.site.servers().values() {
        server.set_lag(Duration::from_millis(20));
    }
    let mut tasks = JoinSet::new();
    for start in 0..NODES.len() {
        let sessions: Vec<NodeSession> = NODES
            .iter()
            .map(|node| {
                let options = SessionOptions {
                    // Longer than the detection of each fault takes, so that a wrong retry
                    // would happen within the deadline.
                    deadline: Some(Duration::from_secs(6)),
                    ..SessionOptions::default()
                };
                cluster.session_with(node, options)
            })
            .collect();
        tasks.spawn(adjust_repeatedly(sessions, start, with_ids, end));
    }
    sleep(Duration::from_millis(700)).await;
    inject_fault(cluster, fault).await;
    let (mut ran, mut unresolved) = (0, 0);
    while let Some(result) = tasks.join_next().await {
        let (confirmed, uncertain) = result.unwrap();
        ran += confirmed;
        unresolved += uncertain;
    }
    sleep(Duration::from_secs(2)).await;
    (ran, unresolved)
}

async fn adjust_repeatedly(
    mut sessions: Vec<NodeSession>,
    start: usize,
    with_ids: bool,
    end: Instant,
) -> (usize, usize) {
    let (mut ran, mut unresolved) = (0, 0);
    let mut number = 0;
    while Instant::now() < end {
        number += 1;
        let id = with_ids.then(|| format!("{start}-{number}"));
        let mut may_have_run = false;
        for attempt in 0.. {
            let session = &mut sessions[(start + attempt) % NODES.len()];
            match adjust(session, id.clone()).await {
                Ok(_) => {
                    ran += 1;
                    break;
                }
                Err(failure) => may_have_run |= failure.verdict != Verdict::NotRun,
            }
            // Without an id, an adjustment that may have run must not be sent again.
            if may_have_run && !with_ids || Instant::now() > end + Duration::from_secs(10) {
                unresolved += usize::from(may_have_run);
                break;
            }
        }
        sleep(Duration::from_millis(1)).await;
    }
    (ran, unresolved)
}

/// Guards against an adjustment that is applied twice or lost when its caller repeats it with the
/// same id on other nodes and across failovers.
#[tokio::test(start_paused = true)]
async fn at_most_once_with_ids() {
    for (seed, fault) in (70..).zip(FAULTS) {
        let cluster = Cluster::start(seed, plan(4)).await;
        let (ran, unresolved) = adjust_during(&cluster, fault, true).await;
        println!("{fault:?}: {ran} ran, {unresolved} unresolved");
        assert_eq!(
            unresolved, 0,
            "{fault:?}: callers with ids learn every outcome"
        );
        assert_eq!(adjustments(&cluster).await, ran, "{fault:?}");
    }
}

/// Guards against an adjustment without an id that the engine itself sends again after it may have
/// run.
#[tokio::test(start_paused = true)]
async fn at_most_once_without_ids() {
    for (seed, fault) in (80..).zip(FAULTS) {
        let cluster = Cluster::start(seed, plan(4)).await;
        let (ran, unresolved) = adjust_during(&cluster, fault, false).await;
        let found = adjustments(&cluster).await;
        println!("{fault:?}: {ran} ran, {unresolved} may have, {found} found");
        assert!(
            (ran..=ran + unresolved).contains(&found),
            "{fault:?}: {ran} and {unresolved}, found {found}"
        );
    }
}

/// Guards against a wrong verdict during each fault, with and without ids.
#[tokio::test(start_paused = true)]
async fn verdicts_are_correct() {
    for (seed, fault) in (90..).zip(FAULTS) {
        for with_ids in [false, true] {
            let cluster = Cluster::start(seed, plan(4)).await;
            let writers = WriteLoad::start(&cluster, &NODES, with_ids);
            sleep(Duration::from_millis(500 + seed)).await;
            inject_fault(&cluster, fault).await;
            println!("{fault:?}, ids: {with_ids}");
            writers.finish(&cluster).await;
        }
    }
}

/// Guards against a connection that hangs forever: its statement must fail with a correct verdict,
/// and later statements must not hang.
#[tokio::test(start_paused = true)]
async fn silent_connection_is_closed() {
    let cluster = Cluster::start(65, plan(3)).await;
    let server = cluster.site.server("claims-a").unwrap().clone();
    server.set_slowness(Duration::from_millis(300));
    let mut session = cluster.session("n1");
    let sent = Instant::now();
    let silence = async {
        sleep(Duration::from_millis(100)).await;
        cluster
            .site
            .network()
            .silence(&Cut::Name("claims-a".into()));
    };
    let (result, ()) = tokio::join!(claim(&mut session, 7), silence);
    let failure = result.unwrap_err();
    assert_eq!(failure.verdict, Verdict::MayHaveRun, "{failure}");
    assert!(
        sent.elapsed() < Duration::from_secs(5),
        "took {:?}",
        sent.elapsed()
    );
    server.set_slowness(Duration::ZERO);
    claim(&mut session, 8).await.unwrap();
    assert_eq!(claims(&mut session, 8).await.unwrap(), 1);
    assert!(cluster.total(|c| c.silent_connections) > 0);
}

/// Guards against a long statement that is mistaken for a hanging connection.
#[tokio::test(start_paused = true)]
async fn slow_statement_is_not_silent() {
    let cluster = Cluster::start(66, plan(3)).await;
    let mut session = cluster.session("n1");
    session.options_mut().deadline = Some(Duration::from_mins(1));
    run(&mut session, "SELECT work_ms(20000)").await.unwrap();
    assert_eq!(cluster.total(|c| c.silent_connections), 0);
}

/// Guards against work that starts after its deadline.
#[tokio::test(start_paused = true)]
async fn expired_work_does_not_run() {
    let cluster = Cluster::start(67, plan(1)).await;
    let mut tasks = JoinSet::new();
    for _ in 0..4 {
        let mut session = cluster.session("n1");
        tasks.spawn(async move {
            let sql = "UPDATE claims SET barista = barista WHERE work_ms(2000) >= 0";
            run(&mut session, sql).await.map(|_| ())
        });
    }
    sleep(Duration::from_millis(50)).await;
    let mut session = cluster.session("n1");
    session.options_mut().deadline = Some(Duration::from_millis(200));
    let failure = claim(&mut session, 7).await.unwrap_err();
    assert_eq!(failure.verdict, Verdict::NotRun);
    assert!(
        matches!(failure.kind, FailureKind::Deadline | FailureKind::Overload),
        "{failure:?}"
    );
    tasks.join_all().await;
    assert_eq!(claims(&mut cluster.session("n1"), 7).await.unwrap(), 0);
}

/// Guards against a cancelled statement that its caller still waits for, or whose verdict excludes
/// that it ran.
#[tokio::test(start_paused = true)]
async fn cancelled_statement_ends_with_a_correct_verdict() {
    let cluster = Cluster::start(68, plan(3)).await;
    for node in ["n1", "n2"] {
        let mut session = cluster.session(node);
        let cancel = session.cancel_handle();
        cancel.cancel();
        run(&mut session, "SELECT 1")
            .await
            .expect("nothing ran when it was cancelled");
        let sent = Instant::now();
        let cancelling = async {
            sleep(Duration::from_millis(100)).await;
            cancel.cancel();
        };
        let sql = "UPDATE claims SET barista = 'x' WHERE shift_id = 91 AND work_ms(3000) >= 0";
        let (result, ()) = tokio::join!(run(&mut session, sql), cancelling);
        assert_eq!(result.unwrap_err().verdict, Verdict::MayHaveRun);
        assert!(
            sent.elapsed() < Duration::from_millis(200),
            "took {:?}",
            sent.elapsed()
        );
        run(&mut session, "SELECT 1")
            .await
            .expect("the session stays usable after a cancel");
    }
}
