//! The request path over TCP: the PostgreSQL protocol to the servers and links between nodes.
#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

#[path = "support/mod.rs"]
mod support;
#[path = "support/tcp.rs"]
mod tcp;

use assert_matches::assert_matches;
use siskinhook_engine::SessionOptions;
use siskinhook_types::{Part, Statement, Verdict};
use support::plan;
use tcp::TcpNode;

async fn run(node: &TcpNode, statement: Statement) -> Vec<Part> {
    let options = SessionOptions::default();
    let mut session = node
        .session("claims".into(), "meera".into(), options)
        .unwrap();
    let mut answer = session.execute(statement).await.unwrap();
    let mut parts = Vec::new();
    while let Some(part) = answer.next().await {
        parts.push(part.unwrap());
    }
    parts
}

/// Guards against parameters, rows or log points that are lost on server connections or links.
#[tokio::test]
async fn statements_pass_over_tcp() {
    let cluster = tcp::start(1, plan(4), &[]).await;
    for (number, node) in cluster.nodes.values().enumerate() {
        let insert = Statement::with_text_params(
            "INSERT INTO claims VALUES ($1, $2)",
            [(number + 1).to_string(), "dhruv".to_owned()],
        );
        let parts = run(node, insert).await;
        assert_matches!(parts.last(), Some(Part::Done { tag, point: Some(_) }) if tag == "INSERT 0 1");
        let select = Statement::with_text_params(
            "SELECT barista FROM claims WHERE shift_id = $1",
            [(number + 1).to_string()],
        );
        let parts = run(node, select).await;
        assert_matches!(&parts[0], Part::Columns(columns) if columns[0].name == "barista");
        assert_matches!(&parts[1], Part::Row { fields: 1, data } if data.ends_with(b"dhruv"));
        assert_matches!(parts.last(), Some(Part::Done { tag, .. }) if tag == "SELECT 1");
    }
}

/// Guards against an error of the target whose code or verdict is lost on a link.
#[tokio::test]
async fn errors_of_the_target_keep_their_code() {
    let cluster = tcp::start(2, plan(4), &[]).await;
    for node in cluster.nodes.values() {
        let options = SessionOptions::default();
        let mut session = node
            .session("claims".into(), "meera".into(), options)
            .unwrap();
        let insert = Statement::simple("INSERT INTO claims VALUES (90, 'twice')");
        let failure = session.execute(insert).await.err().unwrap();
        assert_eq!(
            (failure.verdict, failure.code.as_str()),
            (Verdict::Ran, "23505")
        );
    }
}

/// Guards against a describe request that runs the statement or loses the parameter types.
#[tokio::test]
async fn describe_reports_types_and_columns() {
    let cluster = tcp::start(3, plan(1), &[]).await;
    let options = SessionOptions::default();
    let mut session = cluster.nodes["n1"]
        .session("claims".into(), "meera".into(), options)
        .unwrap();
    let select = "SELECT barista FROM claims WHERE shift_id = $1";
    let mut answer = session
        .describe(Statement::with_text_params(select, []))
        .await
        .unwrap();
    assert_matches!(answer.next().await, Some(Ok(Part::Parameters(types))) if types.len() == 1);
    assert_matches!(answer.next().await, Some(Ok(Part::Columns(columns))) if columns.len() == 1);
    assert_matches!(answer.next().await, Some(Ok(Part::Done { .. })));
}
