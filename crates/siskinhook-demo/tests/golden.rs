//! Compares a whole caller session with a golden file. `UPDATE_GOLDEN=1` rewrites the file.

mod support;

use std::{fmt::Write, fs, path::Path};

use siskinhook_demo::Demo;
use siskinhook_standin::Fault;
use support::{connect, eventually, primary, start, within_limit};
use tokio_postgres::{Client, SimpleQueryMessage};

/// Terminal of the caller: runs statements and records the session as text.
struct Terminal {
    demo: Demo,
    client: Client,
    prompt: String,
    out: String,
}

impl Terminal {
    async fn open(demo: Demo, node: usize, options: &str) -> Self {
        let client = connect(&demo, node, "shifts", options).await;
        Self {
            demo,
            client,
            prompt: format!("n{}/shifts=> ", node + 1),
            out: String::new(),
        }
    }

    /// Adds a comment line to the recorded session.
    fn comment(&mut self, text: &str) {
        let separator = if self.out.is_empty() { "" } else { "\n" };
        writeln!(self.out, "{separator}-- {text}").expect("writing to a String succeeds");
    }

    /// Connects to another node, like a caller that roams.
    async fn roam(&mut self, node: usize, options: &str) {
        self.client = connect(&self.demo, node, "shifts", options).await;
        self.prompt = format!("n{}/shifts=> ", node + 1);
    }

    async fn run(&mut self, sql: &str) {
        let result = within_limit(sql, self.client.simple_query(sql)).await;
        let shown = match result {
            Ok(messages) => table(&messages),
            Err(error) => {
                let error = error.as_db_error().expect("an error of the node");
                let code = error.code().code();
                let mut text = format!("{}:  {code}: {}\n", error.severity(), error.message());
                if let Some(detail) = error.detail() {
                    writeln!(text, "DETAIL:  {detail}").expect("writing to a String succeeds");
                }
                text
            }
        };
        write!(self.out, "{}{sql}\n{shown}", self.prompt).expect("writing to a String succeeds");
    }
}

/// Formats an answer like psql.
fn table(messages: &[SimpleQueryMessage]) -> String {
    let mut out = String::new();
    let (mut names, mut rows) = (Vec::new(), Vec::new());
    for message in messages {
        match message {
            SimpleQueryMessage::RowDescription(columns) => {
                names = columns.iter().map(|c| c.name().to_owned()).collect();
            }
            SimpleQueryMessage::Row(row) => {
                let cell = |index| row.get(index).unwrap_or_default().to_owned();
                rows.push((0..row.len()).map(cell).collect::<Vec<_>>());
            }
            SimpleQueryMessage::CommandComplete(count) if names.is_empty() => {
                writeln!(out, "done, {count} rows").expect("writing to a String succeeds");
            }
            _ => {}
        }
    }
    if names.is_empty() {
        return out;
    }
    let width = |column: usize| {
        let cells = rows.iter().chain([&names]).map(|row| row[column].len());
        cells.max().unwrap_or_default()
    };
    let line = |cells: &[String]| {
        let padded = cells.iter().enumerate();
        let padded: Vec<String> = padded
            .map(|(column, cell)| format!(" {cell:<width$} ", width = width(column)))
            .collect();
        padded.join("|").trim_end().to_owned()
    };
    let rule: Vec<String> = (0..names.len()).map(|c| "-".repeat(width(c) + 2)).collect();
    let mut lines = vec![line(&names), rule.join("+")];
    lines.extend(rows.iter().map(|row| line(row)));
    out + &lines.join("\n") + &format!("\n({} rows)\n", rows.len())
}

/// Guards against unintended changes of what a caller sees: reads and writes, session tokens,
/// errors, request ids, transactions and a failover.
#[tokio::test(flavor = "multi_thread")]
async fn session_of_a_caller() {
    let mut caller = Terminal::open(start().await, 0, "").await;
    caller.comment("reads and writes");
    caller
        .run("SELECT id, cafe, claimed_by FROM shifts ORDER BY id")
        .await;
    caller
        .run("UPDATE shifts SET claimed_by = 'asha' WHERE id = 2")
        .await;
    caller.run("SHOW siskinhook.token").await;
    let token = support::query_value(&caller.client, "SHOW siskinhook.token").await;

    caller.comment(
        "the caller roams to another zone and reads its write, with the token and without",
    );
    caller
        .roam(4, &format!("-c siskinhook.token={token}"))
        .await;
    caller
        .run("SELECT claimed_by FROM shifts WHERE id = 2")
        .await;
    caller.roam(5, "").await;
    caller
        .run("SELECT claimed_by FROM shifts WHERE id = 2")
        .await;

    caller.comment("errors state whether the statement ran");
    caller
        .run("INSERT INTO shifts VALUES (2, 'Rajkot', '08:00', NULL)")
        .await;
    caller.run("SET siskinhook.max_age = soon").await;
    caller.run("SET siskinhook.token = 'payroll:1:1'").await;
    caller.run("SELECT count(*) FROM shifts").await;
    caller.run("LISTEN shifts").await;

    caller.comment("a repeated request id runs once");
    let claim = "UPDATE shifts SET claimed_by = claimed_by || '+dhruv' WHERE id = 2";
    for _ in 0..2 {
        caller
            .run("SET siskinhook.request_id = 'claim-2-dhruv'")
            .await;
        caller.run(claim).await;
    }
    caller
        .run("SELECT claimed_by FROM shifts WHERE id = 2")
        .await;

    caller.comment("a transaction, and one that is rolled back");
    caller.run("BEGIN").await;
    caller
        .run("INSERT INTO shifts VALUES (5, 'Rajkot', '08:00', 'kiran')")
        .await;
    caller.run("SELECT count(*) FROM shifts").await;
    caller.run("COMMIT").await;
    caller.run("BEGIN").await;
    caller.run("DELETE FROM shifts").await;
    caller.run("ROLLBACK").await;
    caller.run("SELECT count(*) FROM shifts").await;

    let old = primary(&caller.demo, "shifts");
    caller.comment(&format!("{old}, the primary, crashes; the session goes on"));
    let crash = Fault::Crash(old.as_str().into());
    caller.demo.site().apply(&crash).unwrap();
    for _ in 0..2 {
        caller
            .run("SET siskinhook.request_id = 'claim-3-meera'")
            .await;
        caller
            .run("UPDATE shifts SET claimed_by = 'meera' WHERE id = 3")
            .await;
    }
    caller
        .run("SELECT id, claimed_by FROM shifts WHERE claimed_by IS NOT NULL ORDER BY id")
        .await;
    eventually("another server is primary", async || {
        primary(&caller.demo, "shifts") != old
    })
    .await;

    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden/session.txt");
    if std::env::var_os("UPDATE_GOLDEN").is_some() {
        fs::write(&path, &caller.out).unwrap();
    }
    let expected = fs::read_to_string(&path).unwrap();
    assert_eq!(caller.out, expected, "run with UPDATE_GOLDEN=1 and review");
}
