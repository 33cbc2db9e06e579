//! Statements without their values, for logs.

use sqlparser::{
    dialect::PostgreSqlDialect,
    tokenizer::{Token, Tokenizer},
};

/// Longest shape in characters; the rest is cut off.
const LENGTH: usize = 200;

/// Returns a statement with every literal replaced by `?` and without comments, so that a log
/// line never shows a value. A text that is no SQL is not shown at all.
#[must_use]
pub fn statement_shape(sql: &str) -> String {
    let Ok(tokens) = Tokenizer::new(&PostgreSqlDialect {}, sql).tokenize() else {
        return "(statement with a syntax error)".into();
    };
    let mut shape = String::new();
    let mut gap = false;
    for token in tokens {
        let text = match token {
            Token::Whitespace(_) => {
                gap = true;
                continue;
            }
            Token::Word(word) => word.to_string(),
            Token::Placeholder(name) => name,
            token if is_symbol(&token) => token.to_string(),
            _ => "?".into(),
        };
        if gap && !shape.is_empty() {
            shape.push(' ');
        }
        gap = false;
        shape.push_str(&text);
    }
    if let Some((end, _)) = shape.char_indices().nth(LENGTH) {
        shape.truncate(end);
        shape.push_str("...");
    }
    shape
}

/// Returns whether a token consists of punctuation only. Everything else that is no word may
/// carry a value.
fn is_symbol(token: &Token) -> bool {
    token
        .to_string()
        .chars()
        .all(|c| c.is_ascii_punctuation() && c != '\'' && c != '"')
}
