//! Tests of the servers, the platform and the demo over TCP.
#![allow(clippy::unwrap_used, reason = "test helpers fail by panicking")]

use std::{sync::Arc, time::Duration};

use futures::future;
use jsonrpsee::{
    core::client::{ClientT, Error as RpcError},
    http_client::HttpClient,
    rpc_params,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use siskinhook_standin::{
    Cut, Endpoint, Fault, NOT_DONE, Plan, PlatformState, Site, demo_command, serve_demo,
};
use siskinhook_types::{
    Batch, CommitOutcome, Control, LogPoint, Role, Row, RowWrite, ServerStatus, VmRecord,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};
use tokio_postgres::{Client, NoTls, SimpleQueryMessage, error::SqlState, types::Type};

/// Time after which a connection counts as silent; longer than any answer takes on a busy machine.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

async fn site() -> Site {
    Site::start_tcp(7, Plan::shiftdesk()).await.unwrap()
}

async fn connect_at(port: u16, node: &str) -> Result<Client, tokio_postgres::Error> {
    let config = format!(
        "host=127.0.0.1 port={port} user={node} password=siskinhook dbname=claims application_name={node}"
    );
    let (client, connection) = tokio_postgres::connect(&config, NoTls).await?;
    tokio::spawn(async move {
        let _ = connection.await;
    });
    Ok(client)
}

async fn connect(site: &Site, server: &str, node: &str) -> Result<Client, tokio_postgres::Error> {
    connect_at(site.address(server).unwrap().port(), node).await
}

async fn status(client: &Client, command: &str) -> ServerStatus {
    assert!(Control::parse(command).is_some(), "{command}");
    let messages = client.simple_query(command).await.unwrap();
    let row = messages.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => row.get(0),
        _ => None,
    });
    serde_json::from_str(row.unwrap()).unwrap()
}

fn code(error: &tokio_postgres::Error) -> &str {
    error.code().map_or("none", SqlState::code)
}

/// Guards against wrong encodings in the text and binary formats, and wrong inferred types.
#[tokio::test]
async fn values_keep_their_types_in_text_and_binary() {
    let site = site().await;
    let client = connect(&site, "claims-a", "n1").await.unwrap();
    client
        .batch_execute(
            "CREATE TABLE things (a smallint, b int, c bigint, d float8, e text, f bool, g bytea)",
        )
        .await
        .unwrap();
    let insert = client
        .prepare("INSERT INTO things VALUES ($1, $2, $3, $4, $5, $6, $7)")
        .await
        .unwrap();
    let types = [
        Type::INT2,
        Type::INT4,
        Type::INT8,
        Type::FLOAT8,
        Type::TEXT,
        Type::BOOL,
        Type::BYTEA,
    ];
    assert_eq!(insert.params(), types);
    let changed = client
        .execute(
            &insert,
            &[
                &-7i16,
                &70_000i32,
                &(1i64 << 40),
                &2.5f64,
                &"it's ✓",
                &true,
                &vec![0u8, 255],
            ],
        )
        .await
        .unwrap();
    assert_eq!(changed, 1);
    let row = client
        .query_one(
            "SELECT a, b, c, d, e, f, g, count(*) FROM things WHERE c > $1",
            &[&5i64],
        )
        .await
        .unwrap();
    assert_eq!(
        (
            row.get::<_, i16>(0),
            row.get::<_, i32>(1),
            row.get::<_, i64>(2)
        ),
        (-7, 70_000, 1 << 40)
    );
    assert_eq!(
        (
            row.get::<_, f64>(3),
            row.get::<_, &str>(4),
            row.get::<_, bool>(5)
        ),
        (2.5, "it's ✓", true)
    );
    assert_eq!(
        (row.get::<_, Vec<u8>>(6), row.get::<_, i64>(7)),
        (vec![0, 255], 1)
    );
    let messages = client.simple_query("SELECT * FROM things").await.unwrap();
    let SimpleQueryMessage::Row(row) = &messages[1] else {
        panic!("no row in {messages:?}");
    };
    let texts: Vec<_> = (0..row.len())
        .map(|index| row.get(index).unwrap())
        .collect();
    assert_eq!(
        texts,
        [
            "-7",
            "70000",
            "1099511627776",
            "2.5",
            "it's ✓",
            "t",
            "\\x00ff"
        ]
    );
    let none = client
        .query(
            "SELECT e FROM things WHERE e = $1 AND b IN ($2, $3) LIMIT $4",
            &[&"x", &1i32, &2i32, &5i64],
        )
        .await
        .unwrap();
    assert!(none.is_empty());
}

/// Guards against wrong SQLSTATEs, transactions that lose their state, and rows that are lost between
/// two executions of a portal.
#[tokio::test]
async fn errors_transactions_and_portals_follow_the_protocol() {
    let site = site().await;
    let mut client = connect(&site, "claims-a", "n1").await.unwrap();
    for (sql, expected) in [
        ("INSERT INTO claims VALUES (90, 'asha')", "23505"),
        ("SELECT * FROM nowhere", "42P01"),
        ("SELEC 1", "42601"),
        ("SELECT 1; SELECT 2", "42601"),
        ("ATTACH DATABASE ':memory:' AS other", "0A000"),
        ("SELECT $4000000000", "42P02"),
        ("INSERT INTO claims VALUES (1, NULL)", "23502"),
    ] {
        assert_eq!(
            code(&client.simple_query(sql).await.unwrap_err()),
            expected,
            "{sql}"
        );
        assert_eq!(
            code(&client.query(sql, &[]).await.unwrap_err()),
            expected,
            "{sql}"
        );
    }
    let transaction = client.transaction().await.unwrap();
    for shift in 1..=5i64 {
        transaction
            .execute("INSERT INTO claims VALUES ($1, 'asha')", &[&shift])
            .await
            .unwrap();
    }
    let portal = transaction
        .bind("SELECT shift_id FROM claims ORDER BY shift_id", &[])
        .await
        .unwrap();
    let mut seen = Vec::new();
    loop {
        let rows = transaction.query_portal(&portal, 3).await.unwrap();
        if rows.is_empty() {
            break;
        }
        seen.extend(rows.iter().map(|row| row.get::<_, i64>(0)));
        if seen.len() == 7 {
            break;
        }
    }
    assert_eq!(seen, [1, 2, 3, 4, 5, 90, 91]);
    transaction.commit().await.unwrap();
    let replica = connect(&site, "claims-b", "n1").await.unwrap();
    let failure = replica
        .execute("DELETE FROM claims", &[])
        .await
        .unwrap_err();
    assert_eq!(code(&failure), "25006");
    let caught_up = status(&replica, "SHOW GROUP STATUS WAIT FOR 1 2 5000").await;
    assert_eq!(
        (caught_up.role, caught_up.last),
        (Role::Replica, LogPoint::new(1, 2))
    );
    let row = replica
        .query_one("SELECT count(*) FROM claims", &[])
        .await
        .unwrap();
    assert_eq!(row.get::<_, i64>(0), 7);
}

/// Guards against a missing or misplaced log position after a commit.
#[tokio::test]
async fn committed_writes_report_their_log_position() {
    let site = site().await;
    let port = site.address("claims-a").unwrap().port();
    let mut socket = TcpStream::connect(("127.0.0.1", port)).await.unwrap();
    let mut startup = b"\0\0\0\0\0\x03\0\0user\0n1\0\0".to_vec();
    startup[3] = u8::try_from(startup.len()).unwrap();
    socket.write_all(&startup).await.unwrap();
    socket.write_all(b"p\0\0\0\x0fsiskinhook\0").await.unwrap();
    let sql = "INSERT INTO claims VALUES (5, 'asha')\0";
    let mut query = vec![b'Q', 0, 0, 0, u8::try_from(sql.len() + 4).unwrap()];
    query.extend(sql.as_bytes());
    socket.write_all(&query).await.unwrap();
    socket.write_all(b"X\0\0\0\x04").await.unwrap();
    let mut answer = Vec::new();
    socket.read_to_end(&mut answer).await.unwrap();
    let tail = b"S\0\0\0\x15log_position\x001:2\0C\0\0\0\x0fINSERT 0 1\0Z\0\0\0\x05I";
    assert!(answer.ends_with(tail), "{}", answer.escape_ascii());
}

/// Guards against logins with a wrong password, connections beyond the limit, and a terminated
/// session that continues.
#[tokio::test]
async fn passwords_connection_limit_and_termination_are_enforced() {
    let site = site().await;
    let port = site.address("claims-a").unwrap().port();
    let wrong = format!("host=127.0.0.1 port={port} user=n1 password=other");
    let Err(failure) = tokio_postgres::connect(&wrong, NoTls).await else {
        panic!("a wrong password was accepted");
    };
    assert_eq!(code(&failure), "28P01");
    let mut clients = Vec::new();
    for _ in 0..15 {
        clients.push(connect(&site, "claims-a", "n1").await.unwrap());
    }
    let admin = connect(&site, "claims-a", "n2").await.unwrap();
    assert_eq!(
        code(&connect(&site, "claims-a", "n3").await.unwrap_err()),
        "53300"
    );
    assert_eq!(
        status(&clients[0], "OWNER LOCK n1").await.holder.as_deref(),
        Some("n1")
    );
    let running = clients[1].execute(
        "INSERT INTO claims SELECT 1 + 0 * work_ms(60000), 'asha'",
        &[],
    );
    let terminate = async {
        while status(&admin, "SHOW GROUP STATUS").await.running == 0 {}
        status(&admin, "OWNER TERMINATE n1").await
    };
    let (failure, after) = future::join(running, terminate).await;
    assert_eq!(code(&failure.unwrap_err()), "57P01");
    assert_eq!((after.connections, after.holder), (1, None));
    // The task of the statement ends it, so its slot is freed a moment later.
    while status(&admin, "SHOW GROUP STATUS").await.running > 0 {}
    let last = status(&admin, "SHOW GROUP STATUS").await.last;
    assert_eq!(
        (after.last, last),
        (LogPoint::new(1, 1), LogPoint::new(1, 1))
    );
}

/// Guards against malformed input that crashes or blocks the server.
#[tokio::test]
async fn random_bytes_do_not_harm_the_server() {
    let seed = 20_261_204;
    println!("seed {seed}");
    let mut random = SmallRng::seed_from_u64(seed);
    let site = site().await;
    let port = site.address("claims-a").unwrap().port();
    for round in 0..200 {
        let mut socket = TcpStream::connect(("127.0.0.1", port)).await.unwrap();
        let mut bytes = vec![0; random.random_range(1..400)];
        random.fill(bytes.as_mut_slice());
        if round % 2 == 0 {
            socket
                .write_all(b"\0\0\0\x11\0\x03\0\0user\0n1\0\0")
                .await
                .unwrap();
            socket.write_all(b"p\0\0\0\x0fsiskinhook\0").await.unwrap();
            bytes[0] = b"QPBEDCHSdcfX"[random.random_range(0..12)];
            if bytes.len() > 4 {
                bytes[1..4].fill(0);
            }
        }
        // The server may close the connection before all bytes are sent.
        let _ = socket.write_all(&bytes).await;
    }
    let client = connect(&site, "claims-a", "n1").await.unwrap();
    assert_eq!(
        client
            .query_one("SELECT 1", &[])
            .await
            .unwrap()
            .get::<_, i32>(0),
        1
    );
    assert_eq!(
        status(&client, "SHOW GROUP STATUS").await.last,
        LogPoint::new(1, 1)
    );
}

/// Guards against a cut that resets connections behind a relay, and a silenced connection that
/// answers.
#[tokio::test]
async fn relays_cut_heal_and_silence() {
    let site = site().await;
    let node = Endpoint::new("n1", "ahd-a");
    let overrides = site.overrides(&node).await.unwrap();
    let direct = site.address("claims-a").unwrap().to_string();
    let port: u16 = overrides[direct.as_str()]
        .rsplit(':')
        .next()
        .unwrap()
        .parse()
        .unwrap();
    let client = connect_at(port, "n1").await.unwrap();
    let other = connect_at(port, "n1").await.unwrap();
    let cut = Cut::Zone("ahd-a".into());
    site.apply(&Fault::Cut(cut.clone())).unwrap();
    let query = client.query_one("SELECT 1", &[]);
    tokio::pin!(query);
    timeout(ANSWER_TIMEOUT, &mut query).await.unwrap_err();
    timeout(ANSWER_TIMEOUT, connect_at(port, "n1"))
        .await
        .unwrap_err();
    site.apply(&Fault::Heal { cut, silent: false }).unwrap();
    assert_eq!(query.await.unwrap().get::<_, i32>(0), 1);
    site.apply(&Fault::Silence(Cut::Name("claims-a".into())))
        .unwrap();
    timeout(ANSWER_TIMEOUT, other.query_one("SELECT 1", &[]))
        .await
        .unwrap_err();
    connect_at(port, "n1")
        .await
        .unwrap()
        .query_one("SELECT 1", &[])
        .await
        .unwrap();
}

/// Guards against a lost answer whose write has no effect, and against an outage that is reported
/// like a lost answer.
#[tokio::test]
async fn the_platform_answers_over_rpc() {
    let site = site().await;
    let address = site.address("platform").unwrap();
    let client = HttpClient::builder()
        .request_timeout(4 * ANSWER_TIMEOUT)
        .build(format!("http://{address}"))
        .unwrap();
    let batch = |key: &str| Batch {
        conditions: Vec::new(),
        writes: vec![RowWrite {
            key: key.into(),
            value: Some(serde_json::json!({"a": 1})),
        }],
    };
    let outcome: CommitOutcome = client
        .request("platform_commit", rpc_params![batch("r/1")])
        .await
        .unwrap();
    assert_eq!(outcome, CommitOutcome::Applied);
    client
        .request::<(), _>("platform_put_object", rpc_params!["o", "AAEC"])
        .await
        .unwrap();
    let object: Option<String> = client
        .request("platform_get_object", rpc_params!["o"])
        .await
        .unwrap();
    assert_eq!(object.as_deref(), Some("AAEC"));
    let vms: Vec<VmRecord> = client.request("platform_vms", rpc_params![]).await.unwrap();
    assert_eq!(vms.len(), 8);
    site.apply(&Fault::Platform(PlatformState::LoseAnswers(1000)))
        .unwrap();
    let lost = client
        .request::<CommitOutcome, _>("platform_commit", rpc_params![batch("r/2")])
        .await;
    assert!(matches!(lost, Err(RpcError::RequestTimeout)), "{lost:?}");
    let rows: Vec<Row> = client
        .request("platform_list", rpc_params!["r/", "", 10])
        .await
        .unwrap();
    assert_eq!(
        rows.iter().map(|row| row.key.as_str()).collect::<Vec<_>>(),
        ["r/1", "r/2"]
    );
    site.apply(&Fault::Platform(PlatformState::Down)).unwrap();
    let down = client
        .request::<Option<Row>, _>("platform_get", rpc_params!["r/1"])
        .await;
    assert!(
        matches!(&down, Err(RpcError::Call(error)) if error.code() == NOT_DONE),
        "{down:?}"
    );
}

/// Guards against demo commands without effect, and errors that do not list the valid options.
#[tokio::test]
async fn demo_commands_reach_the_site() {
    let mut site = site().await;
    let (sender, receiver) = std::sync::mpsc::channel();
    site.on_node(move |fault| Ok(sender.send(fault.clone())?));
    let site = Arc::new(site);
    let (address, _handle) = serve_demo(site.clone()).await.unwrap();
    let command = async |text: &str| {
        let words: Vec<String> = text.split(' ').map(str::to_owned).collect();
        demo_command(&address.to_string(), &words, false).await
    };
    for text in [
        "cut zone ahd-a",
        "cut platform vdr-b",
        "cut server shifts-a",
        "lag shifts-b 500",
        "slow shifts-c 20",
        "delay node n2 30",
        "platform slow 800",
        "silence server shifts-a",
        "crash server payroll-a",
        "pause node n1",
    ] {
        assert_eq!(command(text).await.unwrap(), format!("applied: {text}"));
    }
    let state = site.state();
    assert_eq!(state.cuts.len(), 3);
    assert_eq!(state.platform, PlatformState::Slow(800));
    assert!(state.servers["payroll-a"].crashed);
    assert_eq!(receiver.try_recv().unwrap().node(), "n1");
    let output = command("state").await.unwrap();
    assert!(
        output.contains("payroll-a") && output.contains("crashed"),
        "{output}"
    );
    for text in [
        "heal zone ahd-a silent",
        "heal platform vdr-b",
        "heal server shifts-a",
        "platform up",
        "restart server payroll-a",
    ] {
        command(text).await.unwrap();
    }
    assert_eq!(site.state().cuts, []);
    let unknown = command("cut wire x").await.unwrap_err().to_string();
    assert!(unknown.contains("cut zone ZONE"), "{unknown}");
    let absent = format!("{:#}", command("crash server nowhere").await.unwrap_err());
    assert!(absent.contains("the servers are shifts-a"), "{absent}");
}
