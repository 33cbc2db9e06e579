//! Tests of the in-process servers: terms, logs, isolation, sessions and faults.
#![allow(clippy::unwrap_used, reason = "test helpers fail by panicking")]

use std::time::Duration;

use assert_matches::assert_matches;
use siskinhook_standin::{Cut, Fault, Latencies, LocalSession, Plan, Site};
use siskinhook_types::{
    Control, Failure, FailureKind, LogPoint, Part, Purpose, Role, ServerStatus, Statement,
    TargetSession, Targets, Verdict,
};
use tokio::time::{Instant, sleep, timeout};

const WRITE: &str = "INSERT INTO claims VALUES ($1, 'asha')";

fn site() -> Site {
    Site::local(7, Plan::shiftdesk()).unwrap()
}

async fn connect(site: &Site, node: usize, server: &str) -> Result<LocalSession, Failure> {
    let target = site.entry().databases["claims"]
        .servers
        .iter()
        .find(|known| known.name == server)
        .cloned()
        .unwrap();
    site.targets(&site.nodes()[node])
        .connect(&target, Purpose::Data)
        .await
}

/// Runs a statement and returns its rows as text, its command tag and its log position.
async fn run(
    session: &mut LocalSession,
    statement: &Statement,
) -> Result<(Vec<String>, String, Option<LogPoint>), Failure> {
    session.start(statement).await?;
    let mut rows = Vec::new();
    loop {
        match session.next().await? {
            Part::Row { data, .. } => rows.push(String::from_utf8_lossy(&data[4..]).into_owned()),
            Part::Done { tag, point } => return Ok((rows, tag.to_string(), point)),
            Part::Columns(_) | Part::Parameters(_) => {}
        }
    }
}

async fn simple(session: &mut LocalSession, sql: &str) -> Result<Vec<String>, Failure> {
    Ok(run(session, &Statement::simple(sql)).await?.0)
}

async fn claim(session: &mut LocalSession, shift: u32) -> Result<Option<LogPoint>, Failure> {
    let statement = Statement::with_text_params(WRITE, [shift.to_string()]);
    Ok(run(session, &statement).await?.2)
}

async fn count(session: &mut LocalSession) -> String {
    simple(session, "SELECT count(*) FROM claims")
        .await
        .unwrap()[0]
        .clone()
}

async fn control(session: &mut LocalSession, command: &str) -> ServerStatus {
    let command = Control::parse(command).unwrap();
    session.control(&command).await.unwrap()
}

/// Guards against a wrong log position of a write, and a replica that does not catch up.
#[tokio::test(start_paused = true)]
async fn writes_reach_replicas_after_the_lag() {
    let site = site();
    site.server("claims-b")
        .unwrap()
        .set_lag(Duration::from_millis(400));
    let mut primary = connect(&site, 0, "claims-a").await.unwrap();
    let mut replica = connect(&site, 0, "claims-b").await.unwrap();
    let point = claim(&mut primary, 1).await.unwrap().unwrap();
    assert_eq!(point, LogPoint::new(1, 2));
    let status = control(&mut replica, "SHOW GROUP STATUS WAIT FOR 1 2 100").await;
    assert_eq!(status.last, LogPoint::new(1, 1));
    assert_eq!(count(&mut replica).await, "2");
    let status = control(&mut replica, "SHOW GROUP STATUS WAIT FOR 1 2 1000").await;
    assert_eq!(status.last, point);
    assert_eq!(count(&mut replica).await, "3");
    assert_eq!(claim(&mut replica, 2).await.unwrap_err().code, "25006");
}

/// Guards against a fenced primary that still accepts writes, and against a term that is granted
/// twice or that is lower than the current one.
#[tokio::test(start_paused = true)]
async fn a_term_is_granted_once_and_a_fenced_primary_rejects_writes() {
    let site = site();
    let mut session = connect(&site, 0, "claims-a").await.unwrap();
    simple(&mut session, "BEGIN").await.unwrap();
    claim(&mut session, 1).await.unwrap();
    let mut admin = connect(&site, 1, "claims-a").await.unwrap();
    let status = control(&mut admin, "GROUP FENCE 5 n2").await;
    assert_eq!((status.term, status.promoter.as_deref()), (5, Some("n2")));
    assert_eq!((status.role, status.primary), (Role::Replica, None));
    for command in [
        "GROUP FENCE 5 n3",
        "GROUP FENCE 4 n3",
        "GROUP PROMOTE 5 n3",
        "GROUP PROMOTE 4 n2",
    ] {
        let status = control(&mut admin, command).await;
        assert_eq!(
            (status.term, status.promoter.as_deref()),
            (5, Some("n2")),
            "{command}"
        );
        assert_eq!(status.role, Role::Replica, "{command}");
    }
    let failure = simple(&mut session, "COMMIT").await.unwrap_err();
    assert_eq!(
        (failure.code.as_str(), failure.verdict),
        ("25006", Verdict::Ran)
    );
    assert_eq!(claim(&mut session, 2).await.unwrap_err().code, "25006");
    assert_eq!(count(&mut session).await, "2");
    let status = control(&mut admin, "GROUP PROMOTE 5 n2").await;
    assert_eq!(
        (status.role, status.last),
        (Role::Primary, LogPoint::new(5, 2))
    );
    assert_eq!(
        claim(&mut session, 2).await.unwrap(),
        Some(LogPoint::new(5, 3))
    );
}

/// Guards against a second primary in one term, by promoting a server that already follows the
/// primary of that term.
#[tokio::test(start_paused = true)]
async fn a_server_that_follows_in_a_term_is_not_promoted_in_it() {
    let site = site();
    let mut b = connect(&site, 0, "claims-b").await.unwrap();
    control(&mut b, "GROUP FENCE 2 n1").await;
    control(&mut b, "GROUP FOLLOW 2 claims-c").await;
    let status = control(&mut b, "GROUP PROMOTE 2 n1").await;
    assert_eq!(
        (status.role, status.primary.as_deref()),
        (Role::Replica, Some("claims-c"))
    );
}

/// Guards against log entries from a server that is not the primary of the replica's term, also if
/// they were in flight when the term rose.
#[tokio::test(start_paused = true)]
async fn a_replica_takes_entries_of_its_own_term_only() {
    let site = site();
    let mut old = connect(&site, 0, "claims-a").await.unwrap();
    let mut replica = connect(&site, 0, "claims-b").await.unwrap();
    let slow_path = Cut::Pair("claims-a".into(), "claims-b".into());
    site.network().delay(&slow_path, Duration::from_millis(90));
    sleep(Duration::from_secs(1)).await;
    claim(&mut old, 1).await.unwrap();
    sleep(Duration::from_millis(30)).await;
    control(&mut replica, "GROUP FENCE 2 n1").await;
    control(&mut replica, "GROUP FOLLOW 2 claims-a").await;
    claim(&mut old, 2).await.unwrap();
    let status = control(&mut replica, "SHOW GROUP STATUS WAIT FOR 1 2 2000").await;
    assert_eq!((status.last, status.contact), (LogPoint::new(1, 1), None));
    // The same applies if the replica follows another primary within the term.
    let mut third = connect(&site, 0, "claims-c").await.unwrap();
    let slow_path = Cut::Pair("claims-a".into(), "claims-c".into());
    site.network().delay(&slow_path, Duration::from_millis(90));
    sleep(Duration::from_secs(1)).await;
    claim(&mut old, 3).await.unwrap();
    sleep(Duration::from_millis(30)).await;
    control(&mut third, "GROUP FOLLOW 1 claims-b").await;
    let status = control(&mut third, "SHOW GROUP STATUS WAIT FOR 1 4 2000").await;
    assert_eq!((status.last, status.contact), (LogPoint::new(1, 3), None));
    assert_eq!(
        site.server("claims-c").unwrap().status().last,
        LogPoint::new(1, 3)
    );
}

/// Guards against a divergent log tail that survives, against entries of an older term on a
/// replica, and against an isolated primary that steps down by itself.
#[tokio::test(start_paused = true)]
async fn a_divergent_log_tail_is_truncated() {
    let site = site();
    let mut old = connect(&site, 0, "claims-a").await.unwrap();
    let mut new = connect(&site, 0, "claims-b").await.unwrap();
    let mut third = connect(&site, 0, "claims-c").await.unwrap();
    // claims-a is cut off from the other servers; the node still reaches all of them.
    for peer in ["claims-b", "claims-c"] {
        site.network()
            .cut(Cut::Pair("claims-a".into(), peer.into()));
    }
    for shift in 1..=3 {
        claim(&mut old, shift).await.unwrap();
    }
    sleep(Duration::from_secs(1)).await;
    let status = control(&mut third, "SHOW GROUP STATUS").await;
    assert_eq!(status.last, LogPoint::new(1, 1));
    assert!(status.contact.unwrap() > 900, "{status:?}");
    for session in [&mut new, &mut third] {
        control(session, "GROUP FENCE 2 n1").await;
    }
    control(&mut new, "GROUP PROMOTE 2 n1").await;
    control(&mut third, "GROUP FOLLOW 2 claims-b").await;
    let point = claim(&mut new, 9).await.unwrap().unwrap();
    assert_eq!(point, LogPoint::new(2, 3));
    let status = control(&mut old, "SHOW GROUP STATUS").await;
    assert_eq!(
        (status.role, status.last),
        (Role::Primary, LogPoint::new(1, 4))
    );
    // After the heal, servers in the new term get no entries from the old primary.
    for peer in ["claims-b", "claims-c"] {
        site.network()
            .heal(&Cut::Pair("claims-a".into(), peer.into()), false);
    }
    sleep(Duration::from_secs(1)).await;
    assert_eq!(control(&mut third, "SHOW GROUP STATUS").await.last, point);
    control(&mut old, "GROUP FOLLOW 2 claims-b").await;
    let status = control(&mut old, "SHOW GROUP STATUS WAIT FOR 2 3 1000").await;
    assert_eq!((status.role, status.last), (Role::Replica, point));
    let rows = simple(&mut old, "SELECT shift_id FROM claims ORDER BY 1")
        .await
        .unwrap();
    assert_eq!(rows, ["9", "90", "91"]);
}

/// Guards against dirty reads, reads that block on an open transaction, and a transaction that
/// outlives its session.
#[tokio::test(start_paused = true)]
async fn transactions_are_isolated_and_end_with_their_session() {
    let site = site();
    let mut writer = connect(&site, 0, "claims-a").await.unwrap();
    let mut reader = connect(&site, 1, "claims-a").await.unwrap();
    simple(&mut writer, "BEGIN").await.unwrap();
    assert_eq!(claim(&mut writer, 1).await.unwrap(), None);
    assert_eq!(count(&mut writer).await, "3");
    let seen = timeout(Duration::from_millis(20), count(&mut reader)).await;
    assert_eq!(seen.unwrap(), "2");
    assert!(claim(&mut reader, 2).await.unwrap().is_some());
    drop(writer);
    sleep(Duration::from_millis(20)).await;
    assert_eq!(count(&mut reader).await, "3");
    let status = control(&mut reader, "SHOW GROUP STATUS").await;
    assert_eq!((status.connections, status.last), (1, LogPoint::new(1, 2)));
}

/// Guards against lost updates between two transactions on the same row.
#[tokio::test(start_paused = true)]
async fn conflicting_transactions_do_not_both_commit() {
    let site = site();
    let claim_once = "UPDATE claims SET barista = 'asha' WHERE shift_id = 90 AND barista = 'meera'";
    let mut sessions = Vec::new();
    for node in 0..2 {
        let mut session = connect(&site, node, "claims-a").await.unwrap();
        simple(&mut session, "BEGIN").await.unwrap();
        simple(&mut session, claim_once).await.unwrap();
        sessions.push(session);
    }
    simple(&mut sessions[0], "COMMIT").await.unwrap();
    let failure = simple(&mut sessions[1], "COMMIT").await.unwrap_err();
    assert_eq!(failure.code, "40001");
    simple(&mut sessions[1], "BEGIN").await.unwrap();
    claim(&mut sessions[1], 90).await.unwrap_err();
    assert_eq!(claim(&mut sessions[1], 5).await.unwrap_err().code, "25P02");
    assert_eq!(
        run(&mut sessions[1], &Statement::simple("COMMIT"))
            .await
            .unwrap()
            .1,
        "ROLLBACK"
    );
}

/// Guards against exceeding the connection limit, and a session lock that outlives its holder.
#[tokio::test(start_paused = true)]
async fn the_connection_limit_holds_and_terminate_frees_lock_and_connections() {
    let site = site();
    let mut sessions = Vec::new();
    for _ in 0..16 {
        sessions.push(connect(&site, 0, "claims-a").await.unwrap());
    }
    let refused = connect(&site, 1, "claims-a").await.unwrap_err();
    assert_eq!(
        (refused.kind, refused.verdict),
        (FailureKind::Overload, Verdict::NotRun)
    );
    drop(sessions.pop());
    sleep(Duration::from_millis(10)).await;
    let mut admin = connect(&site, 1, "claims-a").await.unwrap();
    control(&mut sessions[3], "OWNER LOCK n1").await;
    let status = control(&mut admin, "OWNER LOCK n2").await;
    assert_eq!(
        (status.holder.as_deref(), status.connections),
        (Some("n1"), 16)
    );
    let slow = Statement::simple("INSERT INTO claims SELECT 1 + 0 * work_ms(500), 'asha'");
    sessions[0].start(&slow).await.unwrap();
    sleep(Duration::from_millis(50)).await;
    let status = control(&mut admin, "OWNER TERMINATE n1").await;
    assert_eq!((status.holder.as_deref(), status.connections), (None, 1));
    assert_eq!(
        sessions[0].next().await.unwrap_err().verdict,
        Verdict::MayHaveRun
    );
    sleep(Duration::from_secs(1)).await;
    assert_eq!(count(&mut admin).await, "2");
    assert_eq!(
        sessions[1].start(&slow).await.unwrap_err().verdict,
        Verdict::NotRun
    );
    let status = control(&mut admin, "OWNER LOCK n2").await;
    assert_eq!((status.holder.as_deref(), status.running), (Some("n2"), 0));
}

/// Guards against a statement on another thread that commits after the answer to
/// `OWNER TERMINATE`. The verdict "not run" of an unresolved request relies on this.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn nothing_commits_after_termination() {
    let mut plan = Plan::shiftdesk();
    plan.latencies = Latencies {
        local: Duration::ZERO,
        zones: Duration::ZERO,
        ..Latencies::default()
    };
    plan.server.slots = 16;
    plan.server.setup = Duration::ZERO;
    plan.server.service = Duration::ZERO;
    let site = Site::local(7, plan).unwrap();
    let mut admin = connect(&site, 1, "claims-a").await.unwrap();
    for round in 0..100 {
        let mut sessions = Vec::new();
        for session in 0..8 {
            let mut opened = connect(&site, 0, "claims-a").await.unwrap();
            for row in 0..20 {
                let shift = 1_000 + round * 160 + session * 20 + row;
                let statement = Statement::with_text_params(WRITE, [shift.to_string()]);
                opened.start(&statement).await.unwrap();
            }
            sessions.push(opened);
        }
        let after = control(&mut admin, "OWNER TERMINATE n1").await;
        for session in &mut sessions {
            while session.next().await.is_ok() {}
        }
        let last = control(&mut admin, "SHOW GROUP STATUS").await.last;
        assert_eq!(last, after.last, "round {round}");
    }
}

/// Guards against a late or wrong `FOLLOW` that takes effect (with a lower term, to the server
/// itself, or on the primary of the term), and against entries from a server that is not the
/// primary.
#[tokio::test(start_paused = true)]
async fn a_wrong_follow_changes_nothing() {
    let site = site();
    let mut a = connect(&site, 0, "claims-a").await.unwrap();
    let mut b = connect(&site, 0, "claims-b").await.unwrap();
    let mut c = connect(&site, 0, "claims-c").await.unwrap();
    let before = control(&mut a, "SHOW GROUP STATUS").await;
    for wrong in [
        "GROUP FOLLOW 1 claims-b",
        "GROUP FOLLOW 0 claims-b",
        "GROUP FOLLOW 9 claims-a",
    ] {
        assert_eq!(control(&mut a, wrong).await, before, "{wrong}");
    }
    control(&mut b, "GROUP FENCE 3 n1").await;
    control(&mut b, "GROUP FOLLOW 3 claims-c").await;
    let status = control(&mut b, "GROUP FOLLOW 2 claims-a").await;
    assert_eq!(
        (status.term, status.primary.as_deref()),
        (3, Some("claims-c"))
    );
    // claims-c gets an entry in term 1, then joins term 3 as a replica.
    claim(&mut a, 1).await.unwrap();
    sleep(Duration::from_secs(1)).await;
    control(&mut c, "GROUP FOLLOW 3 claims-b").await;
    sleep(Duration::from_secs(1)).await;
    assert_eq!(
        control(&mut c, "SHOW GROUP STATUS").await.last,
        LogPoint::new(1, 2)
    );
    assert_eq!(
        control(&mut b, "SHOW GROUP STATUS").await.last,
        LogPoint::new(1, 1)
    );
}

/// Guards against running more statements at a time than there are slots.
#[tokio::test(start_paused = true)]
async fn two_statements_run_at_a_time() {
    let site = site();
    let mut sessions = Vec::new();
    for _ in 0..3 {
        sessions.push(connect(&site, 0, "claims-b").await.unwrap());
    }
    let mut admin = connect(&site, 0, "claims-b").await.unwrap();
    let started = Instant::now();
    for session in &mut sessions {
        session
            .start(&Statement::simple("SELECT work_ms(100)"))
            .await
            .unwrap();
    }
    sleep(Duration::from_millis(50)).await;
    assert_eq!(control(&mut admin, "SHOW GROUP STATUS").await.running, 2);
    for session in &mut sessions {
        while !matches!(session.next().await.unwrap(), Part::Done { .. }) {}
    }
    let elapsed = started.elapsed();
    assert!((200..210).contains(&elapsed.as_millis()), "{elapsed:?}");
}

/// Guards against a cut that resets connections or loses a message, and against a silenced
/// connection that answers again.
#[tokio::test(start_paused = true)]
async fn cut_connections_stall_and_silenced_ones_never_answer() {
    let site = site();
    let cut = Cut::Zone("ahd-a".into());
    // claims-a is in vdr-b, node n1 in ahd-a.
    let mut session = connect(&site, 0, "claims-a").await.unwrap();
    let mut silenced = connect(&site, 0, "claims-a").await.unwrap();
    site.apply(&Fault::Cut(cut.clone())).unwrap();
    let statement = Statement::with_text_params(WRITE, ["1".to_owned()]);
    session.start(&statement).await.unwrap();
    timeout(Duration::from_mins(1), session.next())
        .await
        .unwrap_err();
    timeout(Duration::from_mins(1), connect(&site, 0, "claims-a"))
        .await
        .unwrap_err();
    let same_zone_session = connect(&site, 1, "claims-a").await;
    assert_eq!(count(&mut same_zone_session.unwrap()).await, "2");
    site.apply(&Fault::Heal {
        cut: cut.clone(),
        silent: false,
    })
    .unwrap();
    assert_matches!(session.next().await, Ok(Part::Columns(_)));
    assert_matches!(session.next().await, Ok(Part::Done { point: Some(_), .. }));
    site.apply(&Fault::Silence(Cut::Name("n1".into()))).unwrap();
    silenced.start(&statement).await.unwrap();
    timeout(Duration::from_mins(1), silenced.next())
        .await
        .unwrap_err();
    assert_eq!(
        count(&mut connect(&site, 0, "claims-a").await.unwrap()).await,
        "3"
    );
}

/// Guards against a crash that loses committed data or keeps an open transaction.
#[tokio::test(start_paused = true)]
async fn a_crashed_server_returns_with_its_log() {
    let site = site();
    let mut session = connect(&site, 0, "claims-a").await.unwrap();
    claim(&mut session, 1).await.unwrap();
    simple(&mut session, "BEGIN").await.unwrap();
    claim(&mut session, 2).await.unwrap();
    site.apply(&Fault::Crash("claims-a".into())).unwrap();
    let failure = simple(&mut session, "COMMIT").await.unwrap_err();
    assert_eq!(failure.kind, FailureKind::ConnectionLost);
    let failure = connect(&site, 0, "claims-a").await.unwrap_err();
    assert_eq!(
        (failure.kind, failure.verdict),
        (FailureKind::ConnectionLost, Verdict::NotRun)
    );
    site.apply(&Fault::Restart("claims-a".into())).unwrap();
    let mut session = connect(&site, 0, "claims-a").await.unwrap();
    let status = control(&mut session, "SHOW GROUP STATUS").await;
    assert_eq!(
        (status.role, status.last, status.connections),
        (Role::Primary, LogPoint::new(1, 2), 1)
    );
    assert_eq!(count(&mut session).await, "3");
}
