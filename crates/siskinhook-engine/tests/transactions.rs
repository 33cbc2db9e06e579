//! Transactions: isolated from other callers, and rolled back after the loss of their caller or
//! owner.
#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

mod support;

use std::time::Duration;

use siskinhook_engine::TransactionState;
use siskinhook_standin::Cut;
use siskinhook_types::{MemberState, Statement, Verdict};
use support::{Cluster, claim, claims, plan, run};
use tokio::{task::JoinSet, time::sleep};

/// Guards against statements of a transaction that run on another caller's connection: the claims
/// of an open transaction must be invisible to others, and must become visible together.
#[tokio::test(start_paused = true)]
async fn transactions_never_mix() {
    let cluster = Cluster::start(51, plan(3)).await;
    let mut tasks = JoinSet::new();
    for (caller, node) in (0..30_u64).zip(["n1", "n2", "n3"].into_iter().cycle()) {
        let mut session = cluster.session(node);
        tasks.spawn(async move {
            let name = format!("caller-{caller}");
            for round in 0..4 {
                let commit = (caller + round) % 3 != 0;
                run(&mut session, "BEGIN").await.unwrap();
                for claim in 0..3 {
                    let shift = 1000 + caller * 100 + round * 10 + claim;
                    let sql = format!("INSERT INTO claims VALUES ({shift}, '{name}')");
                    run(&mut session, &sql).await.unwrap();
                    sleep(Duration::from_millis(caller % 7)).await;
                }
                let own = "SELECT count(*) FROM claims WHERE barista LIKE 'caller-%'";
                let own = format!("{own} AND barista = '{name}' AND shift_id % 100 / 10 = {round}");
                let (rows, _) = run(&mut session, &own).await.unwrap();
                assert_eq!(rows[0][0], "3", "{name} in round {round}");
                let end = if commit { "COMMIT" } else { "ROLLBACK" };
                let (_, tag) = run(&mut session, end).await.unwrap();
                assert_eq!(tag, end);
            }
        });
    }
    while let Some(ended) = tasks.join_next().await {
        ended.unwrap();
    }
    let mut session = cluster.session("n2");
    let sql = "SELECT shift_id / 10, count(*) FROM claims WHERE shift_id >= 1000 GROUP BY 1";
    let (rows, _) = run(&mut session, sql).await.unwrap();
    assert_eq!(rows.len(), 80, "two of three transactions committed");
    assert!(rows.iter().all(|row| row[1] == "3"), "{rows:?}");
}

/// Guards against a transaction that stays open on its server connection after its caller is
/// gone, and against server connections that leak with each of them.
#[tokio::test(start_paused = true)]
async fn dropped_caller_leaves_the_connection_clean() {
    let cluster = Cluster::start(52, plan(3)).await;
    for round in 0..40 {
        let mut session = cluster.session(["n1", "n2", "n3"][round % 3]);
        run(&mut session, "BEGIN").await.unwrap();
        run(&mut session, "INSERT INTO claims VALUES (7, 'gone')")
            .await
            .unwrap();
        drop(session);
    }
    sleep(Duration::from_millis(100)).await;
    let mut session = cluster.session("n1");
    assert_eq!(claims(&mut session, 7).await.unwrap(), 0);
    claim(&mut session, 7).await.unwrap();
    let mut other = cluster.session("n2");
    run(&mut other, "BEGIN").await.unwrap();
    run(&mut other, "INSERT INTO claims VALUES (8, 'kept')")
        .await
        .unwrap();
    run(&mut other, "COMMIT").await.unwrap();
    assert_eq!(claims(&mut session, 8).await.unwrap(), 1);
}

/// Guards against a dropped answer whose remaining parts reach the next caller of the connection,
/// or that is buffered as a whole.
#[tokio::test(start_paused = true)]
async fn dropped_answer_leaves_the_connection_clean() {
    let cluster = Cluster::start(53, plan(3)).await;
    let mut writer = cluster.session("n1");
    let rows: Vec<String> = (1000..3000)
        .map(|shift| format!("({shift}, 'many')"))
        .collect();
    let sql = format!("INSERT INTO claims VALUES {}", rows.join(", "));
    run(&mut writer, &sql).await.unwrap();
    for node in ["n1", "n2", "n3"] {
        let mut session = cluster.session(node);
        let sql = "SELECT * FROM claims";
        let mut answer = session.execute(Statement::simple(sql)).await.unwrap();
        for _ in 0..10 {
            answer.next().await.unwrap().unwrap();
        }
        drop(answer);
        assert_eq!(session.transaction(), TransactionState::Idle);
        assert_eq!(claims(&mut session, 90).await.unwrap(), 1);
        let (rows, _) = run(&mut session, sql).await.unwrap();
        assert_eq!(rows.len(), 2002);
    }
}

/// Guards against a transaction that stays usable after one of its answers was dropped.
#[tokio::test(start_paused = true)]
async fn answer_dropped_in_a_transaction_fails_it() {
    let cluster = Cluster::start(54, plan(3)).await;
    let mut session = cluster.session("n3");
    run(&mut session, "BEGIN").await.unwrap();
    run(&mut session, "INSERT INTO claims VALUES (7, 'half')")
        .await
        .unwrap();
    let answer = session
        .execute(Statement::simple("SELECT * FROM claims"))
        .await
        .unwrap();
    drop(answer);
    assert_eq!(session.transaction(), TransactionState::Failed);
    let failure = run(&mut session, "INSERT INTO claims VALUES (8, 'half')")
        .await
        .unwrap_err();
    assert_eq!(
        (failure.verdict, failure.code.as_str()),
        (Verdict::NotRun, "25P02")
    );
    assert_eq!(run(&mut session, "COMMIT").await.unwrap().1, "ROLLBACK");
    assert_eq!(claims(&mut session, 7).await.unwrap(), 0);
}

/// Guards against a failed transaction whose earlier statements are committed.
#[tokio::test(start_paused = true)]
async fn error_in_a_transaction_rolls_it_back() {
    let cluster = Cluster::start(55, plan(3)).await;
    let mut session = cluster.session("n2");
    run(&mut session, "BEGIN").await.unwrap();
    run(&mut session, "INSERT INTO claims VALUES (7, 'half')")
        .await
        .unwrap();
    let failure = run(&mut session, "INSERT INTO claims VALUES (90, 'twice')")
        .await
        .unwrap_err();
    assert_eq!(
        (failure.verdict, failure.code.as_str()),
        (Verdict::Ran, "23505")
    );
    assert_eq!(session.transaction(), TransactionState::Failed);
    assert_eq!(run(&mut session, "COMMIT").await.unwrap().1, "ROLLBACK");
    assert_eq!(session.transaction(), TransactionState::Idle);
    assert_eq!(claims(&mut session, 7).await.unwrap(), 0);
}

/// Guards against a transaction that commits partially when the node of its owner dies, and
/// against a server that stays without an owner afterwards.
#[tokio::test(start_paused = true)]
async fn owner_loss_rolls_the_transaction_back() {
    let cluster = Cluster::start(56, plan(4)).await;
    let owner = cluster.owner("claims-a");
    let caller = if owner == "n2" { "n3" } else { "n2" };
    let mut session = cluster.session(caller);
    run(&mut session, "BEGIN").await.unwrap();
    run(&mut session, "INSERT INTO claims VALUES (7, 'half')")
        .await
        .unwrap();
    cluster.cut(Cut::Name(owner.clone()));
    let insert = async { run(&mut session, "INSERT INTO claims VALUES (8, 'half')").await };
    let membership = async {
        sleep(Duration::from_secs(3)).await;
        cluster.set_state(&owner, MemberState::Dead, None);
    };
    let (result, ()) = tokio::join!(insert, membership);
    assert!(result.is_err());
    assert_eq!(run(&mut session, "COMMIT").await.unwrap().1, "ROLLBACK");
    let mut next = cluster.session(caller);
    next.options_mut().deadline = Some(Duration::from_secs(5));
    claim(&mut next, 9).await.unwrap();
    assert_eq!(claims(&mut next, 7).await.unwrap(), 0);
    assert_eq!(claims(&mut next, 8).await.unwrap(), 0);
}

/// Guards against a statement that changes the state of a server connection shared by callers.
#[tokio::test(start_paused = true)]
async fn changes_of_connection_state_are_refused() {
    let cluster = Cluster::start(57, plan(1)).await;
    let mut session = cluster.session("n1");
    for sql in [
        "SET search_path = x",
        "BEGIN; INSERT INTO claims VALUES (7, 'x')",
        "PREPARE p AS SELECT 1",
    ] {
        let failure = run(&mut session, sql).await.unwrap_err();
        assert_eq!(
            (failure.verdict, failure.code.as_str()),
            (Verdict::NotRun, "0A000"),
            "{sql}"
        );
    }
}
