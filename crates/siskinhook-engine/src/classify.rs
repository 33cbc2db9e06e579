//! Classification of statements for routing, cached by statement text.

use indexmap::IndexMap;
use siskinhook_types::value_type;
use smol_str::SmolStr;
use sqlparser::{
    ast::{self, TransactionAccessMode, TransactionMode},
    dialect::PostgreSqlDialect,
    parser::Parser,
    tokenizer::{Token, Tokenizer, Word},
};
use std::sync::{Mutex, PoisonError};

value_type! {
    /// Kind of a statement, as far as routing depends on it.
    #[derive(Copy, Hash)]
    pub enum Operation {
        /// Only reads.
        Read,
        /// May write.
        Write,
        /// Opens a read-write transaction.
        Begin,
        /// Opens a read-only transaction.
        BeginReadOnly,
        /// Commits the transaction.
        Commit,
        /// Rolls the transaction back.
        Rollback,
        /// Changes the state of the server connection, which callers share, or mixes transaction
        /// control with other statements in one text.
        Unsupported,
    }
}

/// Functions without side effects, and keywords that may precede an opening parenthesis. Any
/// other name before a parenthesis may be a function that writes.
#[rustfmt::skip]
const SIDE_EFFECT_FREE: &[&str] = &[
    "abs",
    "age",
    "all",
    "and",
    "any",
    "array",
    "array_agg",
    "as",
    "avg",
    "between",
    "bigint",
    "bool_and",
    "bool_or",
    "by",
    "cast",
    "ceil",
    "ceiling",
    "char",
    "char_length",
    "coalesce",
    "concat",
    "concat_ws",
    "count",
    "cume_dist",
    "current_timestamp",
    "date",
    "date_part",
    "date_trunc",
    "decimal",
    "dense_rank",
    "distinct",
    "else",
    "except",
    "exists",
    "extract",
    "filter",
    "first_value",
    "floor",
    "format",
    "from",
    "generate_series",
    "greatest",
    "having",
    "ilike",
    "in",
    "intersect",
    "interval",
    "join",
    "json_agg",
    "json_build_object",
    "jsonb_agg",
    "jsonb_build_object",
    "lag",
    "last_value",
    "lateral",
    "lead",
    "least",
    "left",
    "length",
    "like",
    "limit",
    "lower",
    "lpad",
    "ltrim",
    "make_interval",
    "max",
    "md5",
    "min",
    "mod",
    "not",
    "now",
    "ntile",
    "nullif",
    "numeric",
    "offset",
    "on",
    "or",
    "over",
    "percent_rank",
    "pg_sleep",
    "position",
    "power",
    "rank",
    "replace",
    "right",
    "round",
    "row",
    "row_number",
    "rpad",
    "rtrim",
    "select",
    "sign",
    "some",
    "split_part",
    "sqrt",
    "string_agg",
    "strpos",
    "substr",
    "substring",
    "sum",
    "then",
    "time",
    "timestamp",
    "timestamptz",
    "to_char",
    "to_date",
    "to_number",
    "to_timestamp",
    "trim",
    "trunc",
    "union",
    "unnest",
    "upper",
    "using",
    "values",
    "varchar",
    "when",
    "where",
    "width_bucket",
    "work_ms",
];

/// Keywords that make a query a write wherever they occur: locking clauses, `SELECT INTO` and
/// data-modifying expressions in a `WITH` clause.
const WRITE_KEYWORDS: &[&str] = &["delete", "insert", "into", "merge", "share", "update"];

/// First keywords of statements that control transactions or change the state of the connection.
/// Used for texts that do not parse.
const CONTROL_KEYWORDS: &[&str] = &[
    "abort",
    "begin",
    "commit",
    "deallocate",
    "declare",
    "discard",
    "end",
    "listen",
    "prepare",
    "reset",
    "rollback",
    "set",
    "start",
    "unlisten",
];

/// Classifies a statement text; a text that does not parse counts as a write.
#[must_use]
pub fn classify(sql: &str) -> Operation {
    let Ok(statements) = Parser::parse_sql(&PostgreSqlDialect {}, sql) else {
        return classify_unparsed(sql);
    };
    let mut operations = statements.iter().map(classify_statement);
    match (operations.next(), statements.len()) {
        (None, _) => Operation::Read,
        (Some(Operation::Read), 1) if !is_side_effect_free(sql) => Operation::Write,
        (Some(first), 1) => first,
        (Some(first), _) => combine(first, operations, sql),
    }
}

fn combine(first: Operation, rest: impl Iterator<Item = Operation>, sql: &str) -> Operation {
    let combined = rest.fold(first, |combined, next| match (combined, next) {
        (Operation::Read, Operation::Read) => Operation::Read,
        (Operation::Read | Operation::Write, Operation::Read | Operation::Write) => {
            Operation::Write
        }
        _ => Operation::Unsupported,
    });
    if combined == Operation::Read && !is_side_effect_free(sql) {
        return Operation::Write;
    }
    combined
}

fn classify_statement(statement: &ast::Statement) -> Operation {
    use ast::Statement as S;
    match statement {
        S::Query(_) | S::ShowVariable { .. } => Operation::Read,
        S::Explain {
            analyze, statement, ..
        } if !analyze => classify_statement(statement),
        S::StartTransaction {
            modes, statements, ..
        } if statements.is_empty() => classify_begin(modes),
        S::Commit { chain: false, .. } => Operation::Commit,
        S::Rollback {
            chain: false,
            savepoint: None,
        } => Operation::Rollback,
        S::Rollback {
            chain: false,
            savepoint: Some(_),
        } => Operation::Write,
        S::Set(set) if is_local(set) => Operation::Write,
        S::StartTransaction { .. }
        | S::Commit { .. }
        | S::Rollback { .. }
        | S::Set(_)
        | S::Reset(_)
        | S::Discard { .. }
        | S::Declare { .. }
        | S::Prepare { .. }
        | S::Deallocate { .. }
        | S::LISTEN { .. }
        | S::UNLISTEN { .. } => Operation::Unsupported,
        _ => Operation::Write,
    }
}

/// Returns whether a `SET` statement only lasts until the end of the transaction.
fn is_local(set: &ast::Set) -> bool {
    use ast::{ContextModifier, Set};
    matches!(
        set,
        Set::SingleAssignment {
            scope: Some(ContextModifier::Local),
            ..
        } | Set::SetTimeZone { local: true, .. }
            | Set::SetTransaction { session: false, .. }
    )
}

fn classify_begin(modes: &[TransactionMode]) -> Operation {
    let read_only = TransactionMode::AccessMode(TransactionAccessMode::ReadOnly);
    if modes.contains(&read_only) {
        Operation::BeginReadOnly
    } else {
        Operation::Begin
    }
}

fn classify_unparsed(sql: &str) -> Operation {
    let has_control_keyword = sql.split(';').any(|part| {
        let word = part.split_whitespace().next().unwrap_or_default();
        CONTROL_KEYWORDS.contains(&word.to_ascii_lowercase().as_str())
    });
    if has_control_keyword {
        Operation::Unsupported
    } else {
        Operation::Write
    }
}

/// Returns whether a query only calls functions without side effects, takes no row locks and
/// modifies no data.
fn is_side_effect_free(sql: &str) -> bool {
    let Ok(tokens) = Tokenizer::new(&PostgreSqlDialect {}, sql).tokenize() else {
        return false;
    };
    let mut previous: Option<&Token> = None;
    for token in &tokens {
        match token {
            Token::Whitespace(_) => continue,
            Token::LParen if !may_precede_paren(previous) => return false,
            Token::Word(word) if is_write_keyword(word) => return false,
            _ => {}
        }
        previous = Some(token);
    }
    true
}

fn is_write_keyword(word: &Word) -> bool {
    let text = word.value.to_ascii_lowercase();
    word.quote_style.is_none() && WRITE_KEYWORDS.contains(&text.as_str())
}

fn may_precede_paren(previous: Option<&Token>) -> bool {
    match previous {
        Some(Token::Word(word)) => {
            word.quote_style.is_none()
                && SIDE_EFFECT_FREE.contains(&word.value.to_ascii_lowercase().as_str())
        }
        _ => true,
    }
}

/// Classifies statements and caches the results for recent texts.
#[derive(Debug)]
pub struct Classifier {
    cache: Mutex<IndexMap<SmolStr, Operation>>,
    capacity: usize,
}

impl Classifier {
    /// Creates a classifier that caches at most `capacity` texts.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            cache: Mutex::new(IndexMap::new()),
            capacity: capacity.max(2),
        }
    }

    /// Classifies a statement text.
    pub fn classify(&self, sql: &SmolStr) -> Operation {
        if let Some(cached) = self.lock().get(sql) {
            return *cached;
        }
        let operation = classify(sql);
        let mut cache = self.lock();
        if cache.len() >= self.capacity {
            cache.drain(..self.capacity / 2);
        }
        cache.insert(sql.clone(), operation);
        operation
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, IndexMap<SmolStr, Operation>> {
        self.cache.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
