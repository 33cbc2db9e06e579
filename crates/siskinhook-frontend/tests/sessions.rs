//! Transcripts of caller sessions with the scripted backend, compared with golden files.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

mod support;

use std::{fmt::Write as _, path::Path};

use siskinhook_frontend::FrontendSettings;
use support::{config, connect, start_server};
use tokio_postgres::{Client, Error, SimpleQueryMessage};

fn describe_error(error: &Error) -> String {
    let Some(db) = error.as_db_error() else {
        return format!("connection: {error}");
    };
    format!(
        "{} {} | {} | {}",
        db.code().code(),
        db.message(),
        db.detail().unwrap_or("-"),
        db.hint().unwrap_or("-")
    )
}

async fn transcript(client: &Client, queries: &[&str]) -> String {
    let mut text = String::new();
    for query in queries {
        writeln!(text, "> {query}").unwrap();
        match client.simple_query(query).await {
            Err(error) => writeln!(text, "! {}", describe_error(&error)).unwrap(),
            Ok(messages) => {
                for message in messages {
                    match message {
                        SimpleQueryMessage::Row(row) => {
                            writeln!(text, "  {}", row.get(0).unwrap_or("NULL")).unwrap();
                        }
                        SimpleQueryMessage::CommandComplete(rows) => {
                            writeln!(text, "= {rows}").unwrap();
                        }
                        _ => {}
                    }
                }
            }
        }
    }
    text
}

fn compare(name: &str, actual: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(name);
    if std::env::var_os("UPDATE_GOLDEN").is_some() {
        std::fs::write(&path, actual).unwrap();
    }
    let expected = std::fs::read_to_string(&path).unwrap();
    assert_eq!(
        actual, expected,
        "session differs from {name}; set UPDATE_GOLDEN=1 to rewrite it"
    );
}

/// Guards against a setting that is accepted but not passed to the session, or passed twice.
#[tokio::test]
async fn settings_reach_the_session() {
    let server = start_server(FrontendSettings::default()).await;
    let client = connect(&config(server.address)).await.unwrap();
    let queries = [
        "SET siskinhook.class = 'long'",
        "SET siskinhook.max_age = 500; seen",
        "SET siskinhook.request_id TO 'claim-7'",
        "seen",
        "write",
        "seen",
        "SHOW siskinhook.token",
        "SET siskinhook.token = 'shifts:1:9'",
        "seen",
        "seen",
        "RESET siskinhook.max_age",
        "SHOW siskinhook.max_age",
        "SET siskinhook.max_age = soon",
        "SET siskinhook.fresh = 1",
        "SET siskinhook.token = 'shifts:1'",
        "SET search_path = other",
        "SET extra_float_digits = 3",
        "DISCARD ALL",
        "seen",
    ];
    compare("settings.txt", &transcript(&client, &queries).await);
}

/// Guards against failures without their verdict, and against statements of one simple query that
/// do not run in one transaction.
#[tokio::test]
async fn failures_carry_verdicts() {
    let server = start_server(FrontendSettings::default()).await;
    let client = connect(&config(server.address)).await.unwrap();
    let queries = [
        "rows 2",
        "refuse",
        "lose",
        "nonsense",
        "",
        ";",
        "write; write",
        "write; refuse; write",
        "begin",
        "refuse",
        "rollback",
        "rows 1; rows 1 -- a ; in a comment",
    ];
    compare("verdicts.txt", &transcript(&client, &queries).await);
}

/// Guards against a startup that accepts credentials, a database or options that are invalid.
#[tokio::test]
async fn startup_is_checked() {
    let server = start_server(FrontendSettings::default()).await;
    let mut text = String::new();
    let mut attempt = async |name: &str, config: &tokio_postgres::Config| {
        let outcome = match connect(config).await {
            Ok(_) => "connected".to_owned(),
            Err(error) => describe_error(&error),
        };
        writeln!(text, "{name}: {outcome}").unwrap();
    };
    let base = config(server.address);
    attempt("plain", &base).await;
    attempt("wrong password", base.clone().password("other")).await;
    attempt("unknown user", base.clone().user("nobody")).await;
    attempt("unknown database", base.clone().dbname("other")).await;
    attempt("options", base.clone().options("-c siskinhook.class=long")).await;
    attempt(
        "bad option",
        base.clone().options("-c siskinhook.class=huge"),
    )
    .await;
    attempt(
        "foreign token",
        base.clone().options("-c siskinhook.token=other:1:2"),
    )
    .await;
    attempt(
        "broken token",
        base.clone().options("-c siskinhook.token=x"),
    )
    .await;
    compare("startup.txt", &text);
}
