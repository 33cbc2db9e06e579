//! Classification of statements.
#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

use proptest::prelude::*;
use siskinhook_engine::{Classifier, Operation, classify};

/// Guards against writes that are sent to a replica and reads that are sent to the primary.
#[test]
fn statements_are_classified() {
    use Operation::{Begin, BeginReadOnly, Commit, Read, Rollback, Unsupported, Write};
    let cases = [
        ("SELECT 1", Read),
        (
            "select count(*), max(lower(name)) from shifts where id in (1, 2)",
            Read,
        ),
        ("WITH open AS (SELECT 1) SELECT * FROM open", Read),
        (
            "SELECT a FROM t WHERE b = (SELECT c FROM u WHERE d IN ($1, $2))",
            Read,
        ),
        ("VALUES (1), (2)", Read),
        ("EXPLAIN SELECT 1", Read),
        ("SHOW server_version", Read),
        ("", Read),
        ("SELECT 1; SELECT 2", Read),
        ("SELECT work_ms(20)", Read),
        ("SELECT * FROM shifts FOR UPDATE", Write),
        ("SELECT * FROM shifts FOR NO KEY UPDATE SKIP LOCKED", Write),
        ("SELECT * FROM shifts FOR SHARE", Write),
        ("SELECT nextval('invoice')", Write),
        ("SELECT public.settle(7)", Write),
        ("SELECT \"count\"(1)", Write),
        ("SELECT a INTO b FROM c", Write),
        (
            "WITH gone AS (DELETE FROM a RETURNING *) SELECT * FROM gone",
            Write,
        ),
        ("EXPLAIN ANALYZE DELETE FROM a", Write),
        ("EXPLAIN ANALYZE SELECT 1", Write),
        ("INSERT INTO a VALUES (1)", Write),
        ("SELECT 1; DELETE FROM a", Write),
        ("CREATE TABLE a (b int)", Write),
        ("this is not SQL", Write),
        ("SAVEPOINT a", Write),
        ("ROLLBACK TO SAVEPOINT a", Write),
        ("RELEASE SAVEPOINT a", Write),
        ("SET LOCAL work_mem = '1MB'", Write),
        ("BEGIN", Begin),
        ("START TRANSACTION ISOLATION LEVEL SERIALIZABLE", Begin),
        ("BEGIN TRANSACTION READ ONLY", BeginReadOnly),
        ("COMMIT", Commit),
        ("END", Commit),
        ("ROLLBACK", Rollback),
        ("ABORT", Rollback),
        ("COMMIT AND CHAIN", Unsupported),
        ("BEGIN; DELETE FROM a", Unsupported),
        ("DELETE FROM a; COMMIT", Unsupported),
        ("SET search_path = a", Unsupported),
        ("LISTEN a", Unsupported),
        ("PREPARE a AS SELECT 1", Unsupported),
        ("nonsense; BEGIN", Unsupported),
    ];
    let classifier = Classifier::new(8);
    for (sql, expected) in cases {
        assert_eq!(classify(sql), expected, "{sql}");
        assert_eq!(classifier.classify(&sql.into()), expected, "{sql}");
        assert_eq!(classifier.classify(&sql.into()), expected, "cached: {sql}");
    }
}

proptest! {
    /// Guards against a write that is classified as a read because of its case, comments or
    /// whitespace.
    #[test]
    fn formatting_does_not_hide_writes(
        upper in any::<bool>(),
        space in "[ \t\n]{1,3}",
        comment in "/\\*[a-z ]{0,8}\\*/",
        write in prop::sample::select(vec![
            "select * from t for update", "select setval('a', 1)", "select a into b from c",
            "with x as (insert into t values (1) returning *) select * from x", "delete from t",
        ]),
    ) {
        let text = write.replace(' ', &format!("{space}{comment}{space}"));
        let text = if upper { text.to_uppercase() } else { text };
        prop_assert_ne!(classify(&text), Operation::Read, "{}", text);
    }
}
