//! Tests of siskinctl against a node. The transcripts of two sessions are compared with golden
//! files, which `UPDATE_GOLDEN=1` rewrites.

use std::{fmt::Write as _, fs, net::TcpListener, path::Path};

use crate::common::{Node, siskinctl};
use siskinhook_platform::Fault;
use siskinhook_types::Platform;
use tokio::io::AsyncReadExt;

const ENTRY: &str = r#"// The Shared Shift Desk.
{
  "name": "shiftdesk-db",
  "owner": "sabarmati",
  "limits": { "slots": 2, "connections": 16, "queue": 500, "deadline": 5000 },
  "credentials": "shiftdesk-targets",
  "databases": {
    "shifts": {
      "servers": [
        { "name": "shifts-1", "zone": "ahd-a", "address": "10.1.1.1:5432" },
        { "name": "shifts-2", "zone": "vdr-b", "address": "10.1.1.2:5432" },
        { "name": "shifts-3", "zone": "srt-c", "address": "10.1.1.3:5432" }
      ]
    }
  }
}
"#;

/// A directory with the files of one session, removed on drop.
struct Files(std::path::PathBuf);

impl Files {
    fn new(name: &str) -> Self {
        let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        fs::create_dir_all(&path).expect("the directory can be created");
        Self(path)
    }

    fn write(&self, name: &str, text: &str) {
        fs::write(self.0.join(name), text).expect("the file can be written");
    }
}

impl Drop for Files {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Runs commands and records them in a transcript as an operator would see them.
struct Session {
    node: Node,
    files: Files,
    dead: String,
    transcript: String,
}

impl Session {
    async fn new(name: &str) -> Self {
        // Get a port on which nothing listens.
        let closed = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let dead = closed.local_addr().expect("it has an address").to_string();
        let files = Files::new(name);
        files.write("hetal.token", "secret-h\n");
        files.write("ante.token", "secret-a\n");
        files.write("wrong.token", "secret-x\n");
        Self {
            node: Node::start().await,
            files,
            dead,
            transcript: String::new(),
        }
    }

    /// Runs a command line as an operator. FILES, NODE and DEAD are placeholders for the directory,
    /// the address of the node and an address on which nothing listens.
    async fn run(&mut self, operator: &str, line: &str) -> u8 {
        let directory = self.files.0.display().to_string();
        let address = self.node.address.to_string();
        let mut words: Vec<String> = split(line)
            .into_iter()
            .map(|w| {
                w.replace("FILES", &directory)
                    .replace("NODE", &address)
                    .replace("DEAD", &self.dead)
            })
            .collect();
        let who = operator.strip_prefix("wrong-").unwrap_or(operator);
        let token = if who == operator { operator } else { "wrong" };
        words.extend(["--operator".into(), who.into()]);
        words.extend(["--token-file".into(), format!("{directory}/{token}.token")]);
        if !line.contains("--node") {
            words.extend(["--node".into(), address.clone()]);
        }
        let words: Vec<&str> = words.iter().map(String::as_str).collect();
        let (code, out, err) = siskinctl(&words).await;
        let shown = |text: &str| {
            text.replace(&directory, "FILES")
                .replace(&address, "NODE")
                .replace(&self.dead, "DEAD")
        };
        let text = &mut self.transcript;
        write!(text, "{operator}$ siskinctl {line}\n{}", shown(&out))
            .expect("writing to a String cannot fail");
        for err_line in shown(&err).lines() {
            writeln!(text, "! {err_line}").expect("writing to a String cannot fail");
        }
        write!(text, "exit code {code}\n\n").expect("writing to a String cannot fail");
        code
    }

    fn compare(&self, name: &str) {
        let golden = Path::new(env!("CARGO_MANIFEST_DIR"))
            .join("tests/golden")
            .join(name);
        if std::env::var_os("UPDATE_GOLDEN").is_some() {
            fs::write(&golden, &self.transcript).expect("the golden file can be written");
        }
        let expected = fs::read_to_string(golden).expect("the golden file exists");
        assert!(
            self.transcript == expected,
            "differs from {name}:\n{}",
            self.transcript
        );
    }
}

/// Splits a line at spaces outside double quotes.
fn split(line: &str) -> Vec<String> {
    line.split('"')
        .enumerate()
        .flat_map(|(index, part)| {
            if index % 2 == 1 {
                vec![part.to_owned()]
            } else {
                part.split_whitespace().map(Into::into).collect()
            }
        })
        .collect()
}

/// Edits an entry, waits until the edit is in force, meets refused edits, undoes an edit and reads
/// the history.
#[tokio::test]
async fn editing_session() {
    let mut session = Session::new("editing").await;
    session.files.write("new.jsonc", ENTRY);
    session
        .run("hetal", "catalogue validate FILES/new.jsonc")
        .await;
    session
        .run("hetal", "catalogue edit FILES/new.jsonc --reason start")
        .await;
    session
        .run(
            "hetal",
            "catalogue edit FILES/new.jsonc --base 0 --id e1 --reason \"start of service\"",
        )
        .await;
    session.node.pull().await;
    session.run("hetal", "catalogue list").await;
    session.run("hetal", "catalogue show shiftdesk-db").await;
    let changed = format!(
        "// base revision: 1\n{}",
        ENTRY.replace("\"queue\": 500", "\"queue\": 800")
    );
    session.files.write("changed.jsonc", &changed);
    session
        .run("hetal", "catalogue diff FILES/changed.jsonc")
        .await;
    session
        .run("ante", "catalogue edit FILES/changed.jsonc --id e2")
        .await;
    session.node.view.set(|model| model.spread = true);
    session
        .run(
            "hetal",
            "catalogue edit FILES/changed.jsonc --id e3 --wait --reason \"more room\"",
        )
        .await;
    // Another operator's file is still based on revision 1.
    session
        .files
        .write("late.jsonc", &changed.replace("5000", "4000"));
    session
        .run("hetal", "catalogue edit FILES/late.jsonc --id e4")
        .await;
    session.files.write(
        "off.jsonc",
        &format!(
            "// base revision: 2\n{}",
            ENTRY.replace("\"connections\": 16", "\"connections\": 0")
        ),
    );
    session.run("hetal", "catalogue diff FILES/off.jsonc").await;
    session
        .run("hetal", "catalogue edit FILES/off.jsonc --id e5")
        .await;
    session
        .files
        .write("bad.jsonc", &ENTRY.replace("10.1.1.2:5432", "db2"));
    session
        .run("hetal", "catalogue edit FILES/bad.jsonc --base 2")
        .await;
    session
        .run("hetal", "catalogue undo 2 --id u1 --reason \"not needed\"")
        .await;
    session
        .run("hetal", "catalogue undo 2 --id u1 --json")
        .await;
    session.run("hetal", "catalogue history shiftdesk-db").await;
    session
        .run(
            "ante",
            "catalogue edit --remove shiftdesk-db --base 3 --confirm",
        )
        .await;
    session.run("hetal", "catalogue show nothing").await;
    session.compare("editing.txt");
}

/// Shows nodes, drains one, reads the audit trail and meets failures.
#[tokio::test]
async fn operating_session() {
    let mut session = Session::new("operating").await;
    session.run("hetal", "fleet").await;
    session.run("hetal", "node").await;
    session.run("hetal", "database shifts").await;
    session.run("hetal", "database nothing").await;
    session.run("hetal", "session").await;
    session
        .run("hetal", "explain shifts \"SELECT 1\" --max-age 2000")
        .await;
    session.run("hetal", "drain entry-9").await;
    session
        .run("hetal", "drain entry-2 --reason \"new kernel\"")
        .await;
    session.run("ante", "undrain entry-2").await;
    session.node.audit.flush().await.unwrap();
    session.run("hetal", "audit").await;
    session.run("hetal", "audit --person ante --json").await;
    session
        .run("hetal", "audit --since 2026-03-01T07:00:00Z")
        .await;
    session.run("hetal", "audit --since yesterday").await;
    session.run("wrong-hetal", "fleet").await;
    session.run("hetal", "catalogue wait 9 --timeout 0").await;
    session.node.view.set(|model| model.cut_off = true);
    session.run("hetal", "catalogue list").await;
    session.node.platform.set_down(true);
    session.files.write("new.jsonc", ENTRY);
    session
        .run("hetal", "catalogue edit FILES/new.jsonc --base 0 --id e1")
        .await;
    session.run("hetal", "nonsense").await;
    session.compare("operating.txt");
    assert!(!session.node.view.0.lock().unwrap().draining["entry-2"]);
}

/// If a node does not answer, the next one is tried. An edit whose answer was lost is repeated with
/// the same id and applied once.
#[tokio::test]
async fn next_node_is_tried() {
    let mut session = Session::new("next-node").await;
    let listed = session
        .run("hetal", "--node DEAD --node NODE catalogue list")
        .await;
    assert_eq!(listed, 0);
    assert!(session.transcript.contains("trying the next node"));
    session.files.write("new.jsonc", ENTRY);
    // Revision, snapshot, changes, end of the audit trail and edit id are read before the commit.
    session.node.platform.inject([Fault::None; 5]);
    session.node.platform.inject([Fault::LoseAnswer]);
    let line = "--node NODE --node NODE catalogue edit FILES/new.jsonc --base 0 --id e1";
    assert_eq!(session.run("hetal", line).await, 0);
    assert!(
        session.node.platform.get("x").await.is_ok(),
        "the lost answer was not that of the commit"
    );
    assert!(!session.transcript.contains("earlier attempt"));
    assert_eq!(session.run("hetal", line).await, 0);
    assert!(
        session
            .transcript
            .contains("accepted as revision 1 by an earlier attempt")
    );
    session.node.pull().await;
    assert_eq!(session.node.view.0.lock().unwrap().catalogue.revision, 1);
    let unreachable = session.run("hetal", "--node DEAD fleet").await;
    assert_eq!(unreachable, 5);
}

/// A node that received the request and closed the connection may have accepted the edit, so the
/// outcome must be reported as unknown and not as "nothing was done".
#[tokio::test]
async fn outcome_of_an_edit_without_an_answer_is_unknown() {
    let mut session = Session::new("unknown").await;
    session.files.write("new.jsonc", ENTRY);
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buffer = [0; 1024];
            let _ = stream.read(&mut buffer).await;
        }
    });
    let edit = "catalogue edit FILES/new.jsonc --base 0 --id e1";
    assert_eq!(
        session
            .run("hetal", &format!("--node {address} fleet"))
            .await,
        5
    );
    assert_eq!(
        session
            .run("hetal", &format!("--node {address} drain entry-2"))
            .await,
        6
    );
    assert_eq!(
        session
            .run("hetal", &format!("--node {address} {edit}"))
            .await,
        6
    );
    // The next node is down as well, so the outcome stays unknown.
    let line = format!("--node {address} --node DEAD {edit}");
    assert_eq!(session.run("hetal", &line).await, 6);
    let line = format!("--node {address} --node NODE {edit}");
    assert_eq!(session.run("hetal", &line).await, 0);
    assert_eq!(
        session.run("hetal", &format!("--node DEAD {edit}")).await,
        5
    );
    server.abort();
}
