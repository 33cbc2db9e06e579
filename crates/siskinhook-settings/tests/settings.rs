//! Parsing of settings: the example file, defaults, secrets, and errors with line, column and
//! remedy.

use std::{fs, path::Path};

use siskinhook_settings::{
    CatalogueSettings, Drain, ExposeSecret, Failover, Fleet, LogSettings, PlatformSettings,
    Requests, SecretSource, parse,
};

const MINIMAL: &str = r#"{
  "name": "n1", "region": "r", "zone": "z",
  "addresses": {
    "callers": "127.0.0.1:1", "links": "127.0.0.1:2", "peers": "127.0.0.1:3",
    "operators": "127.0.0.1:4", "metrics": "127.0.0.1:5"
  },
  "platform": { "address": "127.0.0.1:6" },
  "demo": true,
  "secret": { "demo": "fleet-secret" },
  "callers": {}, "credentials": {}
}"#;

fn parse_error(text: &str) -> String {
    parse("node.jsonc", text)
        .expect_err("the text has a fault")
        .to_string()
}

#[test]
fn example_file_loads_and_shows_the_defaults() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/examples/node.jsonc");
    let settings = siskinhook_settings::load(&path).unwrap();
    assert_eq!(settings.zone, "ahd-a");
    // The example file shows the defaults, so a changed default must be changed there as well.
    assert_eq!(settings.failover, Failover::default());
    assert_eq!(settings.fleet, Fleet::default());
    assert_eq!(settings.catalogue, CatalogueSettings::default());
    assert_eq!(settings.requests, Requests::default());
    assert_eq!(settings.drain, Drain::default());
    assert_eq!(settings.log, LogSettings::default());
    assert_eq!(
        settings.platform,
        PlatformSettings::new(settings.platform.address.clone())
    );
}

#[test]
fn missing_sections_take_defaults() {
    let settings = parse("node.jsonc", MINIMAL).unwrap();
    assert_eq!(settings.failover, Failover::default());
    assert!(settings.operators.is_empty());
}

#[test]
fn errors_have_line_column_and_remedy() {
    let cases: Vec<(&str, String)> = vec![
        (
            "syntax error",
            MINIMAL.replace("\"zone\": \"z\",", "\"zone\" \"z\","),
        ),
        (
            "unknown field",
            MINIMAL.replace("\"demo\": true", "\"demo\": true, \"colour\": 1"),
        ),
        (
            "unknown field in a section",
            MINIMAL.replace(
                "\"demo\": true",
                "\"demo\": true,\n  \"fleet\": { \"probe\": 1 }",
            ),
        ),
        ("missing field", MINIMAL.replace("\"zone\": \"z\",", "")),
        (
            "wrong type",
            MINIMAL.replace("\"demo\": true", "\"demo\": \"yes\""),
        ),
        (
            "negative interval",
            MINIMAL.replace(
                "\"demo\": true",
                "\"demo\": true, \"drain\": { \"notice\": -5 }",
            ),
        ),
        (
            "repeated field",
            MINIMAL.replace("\"demo\": true", "\"demo\": true, \"name\": \"n2\""),
        ),
        ("bad address", MINIMAL.replace("127.0.0.1:4", "localhost:4")),
        (
            "port used twice",
            MINIMAL.replace("127.0.0.1:5", "127.0.0.1:1"),
        ),
        (
            "address that peers cannot dial",
            MINIMAL.replace("127.0.0.1:3", "0.0.0.0:3"),
        ),
        (
            "secret in the text",
            MINIMAL.replace("\"demo\": true", "\"demo\": false"),
        ),
        (
            "demo settings on a public address",
            MINIMAL.replace("127.0.0.1:1", "10.0.0.1:1"),
        ),
        ("bad name", MINIMAL.replace("\"n1\"", "\"n 1\"")),
        (
            "intervals that contradict each other",
            MINIMAL
                .replace(
                    "\"demo\": true",
                    "\"demo\": true,\n  \"failover\": { \"probe_timeout\": 300 },\n  \
                 \"platform\": { \"address\": \"127.0.0.1:6\", \"share\": 60 },\n  \
                 \"log\": { \"modules\": { \"siskinhook_fleet\": \"loud\" } }",
                )
                .replace("  \"platform\": { \"address\": \"127.0.0.1:6\" },\n", ""),
        ),
        ("empty text", "// nothing\n".into()),
    ];
    let report: Vec<String> = cases
        .into_iter()
        .map(|(name, text)| format!("# {name}\n{}\n", parse_error(&text)))
        .collect();
    let report = report.join("\n");
    let golden = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden/errors.txt");
    if std::env::var_os("UPDATE_GOLDEN").is_some() {
        fs::write(&golden, &report).unwrap();
    }
    assert_eq!(report, fs::read_to_string(golden).unwrap());
}

#[test]
fn secrets_are_never_printed() {
    let settings = parse("node.jsonc", MINIMAL).unwrap();
    assert!(!format!("{settings:?}").contains("fleet-secret"));
    assert!(
        !serde_json::to_string(&settings)
            .unwrap()
            .contains("fleet-secret")
    );
    let secret = settings.secret.read().unwrap();
    assert!(!format!("{secret:?}").contains("fleet-secret"));
    assert_eq!(secret.expose_secret(), "fleet-secret");
}

#[test]
fn missing_secret_names_its_source() {
    let missing = SecretSource::Env("SISKINHOOK_TEST_UNSET".into());
    let message = missing.read().unwrap_err().to_string();
    assert!(message.contains("SISKINHOOK_TEST_UNSET"), "{message}");
    let missing = SecretSource::File("no/such/file".into());
    let message = missing.read().unwrap_err().to_string();
    assert!(message.contains("no/such/file"), "{message}");
}
