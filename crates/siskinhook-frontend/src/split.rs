//! Splitting of a simple query into its statements.

use sqlparser::{
    dialect::PostgreSqlDialect,
    tokenizer::{Token, Tokenizer},
};

/// Splits a simple query at the semicolons between statements.
///
/// A text that cannot be tokenized is returned unsplit, so that the target reports the error.
pub(crate) fn split_statements(sql: &str) -> Vec<&str> {
    let text = sql.trim().trim_end_matches(';');
    if !text.contains(';') {
        return vec![text];
    }
    let Ok(tokens) = Tokenizer::new(&PostgreSqlDialect {}, text).tokenize_with_location() else {
        return vec![text];
    };
    let mut semicolons = tokens
        .iter()
        .filter(|token| token.token == Token::SemiColon)
        .map(|token| (token.span.start.line, token.span.start.column))
        .peekable();
    let mut statements = Vec::new();
    let (mut line, mut column, mut start) = (1_u64, 1_u64, 0);
    for (offset, character) in text.char_indices() {
        if semicolons.next_if_eq(&(line, column)).is_some() {
            statements.push(&text[start..offset]);
            start = offset + 1;
        }
        if character == '\n' {
            line += 1;
            column = 1;
        } else {
            column += 1;
        }
    }
    statements.push(&text[start..]);
    statements.retain(|statement| !statement.trim().is_empty());
    statements
}
