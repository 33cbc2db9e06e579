//! A whole session of a caller through a site, as a golden file. `UPDATE_GOLDEN=1` rewrites it.

mod support;

use std::{fmt::Write, fs, path::Path};

use siskinhook_demo::Demo;
use siskinhook_standin::Fault;
use support::{connect, eventually, limited, primary, start};
use tokio_postgres::{Client, SimpleQueryMessage};

/// The caller's terminal.
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

    fn note(&mut self, text: &str) {
        let gap = if self.out.is_empty() { "" } else { "\n" };
        writeln!(self.out, "{gap}-- {text}").expect("a string takes text");
    }

    /// Connects to another node, as a caller that roams does.
    async fn roam(&mut self, node: usize, options: &str) {
        self.client = connect(&self.demo, node, "shifts", options).await;
        self.prompt = format!("n{}/shifts=> ", node + 1);
    }

    async fn run(&mut self, sql: &str) {
        let result = limited(sql, self.client.simple_query(sql)).await;
        let shown = match result {
            Ok(messages) => table(&messages),
            Err(error) => {
                let error = error.as_db_error().expect("an error of the node");
                let code = error.code().code();
                let mut text = format!("{}:  {code}: {}\n", error.severity(), error.message());
                if let Some(detail) = error.detail() {
                    writeln!(text, "DETAIL:  {detail}").expect("a string takes text");
                }
                text
            }
        };
        write!(self.out, "{}{sql}\n{shown}", self.prompt).expect("a string takes text");
    }
}

/// Shows an answer as psql does.
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
                writeln!(out, "done, {count} rows").expect("a string takes text");
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

/// Guards against changes of what a caller sees in a session that has everything in it.
#[tokio::test(flavor = "multi_thread")]
async fn session_of_a_caller() {
    let mut caller = Terminal::open(start().await, 0, "").await;
    caller.note("reads and writes");
    caller
        .run("SELECT id, cafe, claimed_by FROM shifts ORDER BY id")
        .await;
    caller
        .run("UPDATE shifts SET claimed_by = 'asha' WHERE id = 2")
        .await;
    caller.run("SHOW siskinhook.token").await;
    let token = support::value(&caller.client, "SHOW siskinhook.token").await;

    caller.note("the caller roams to another zone and reads its write, with the token and without");
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

    caller.note("errors state whether the statement ran");
    caller
        .run("INSERT INTO shifts VALUES (2, 'Rajkot', '08:00', NULL)")
        .await;
    caller.run("SET siskinhook.max_age = soon").await;
    caller.run("SET siskinhook.token = 'payroll:1:1'").await;
    caller.run("SELECT count(*) FROM shifts").await;
    caller.run("LISTEN shifts").await;

    caller.note("a repeated request id runs once");
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

    caller.note("a transaction, and one that is rolled back");
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
    caller.note(&format!("{old}, the primary, crashes; the session goes on"));
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
