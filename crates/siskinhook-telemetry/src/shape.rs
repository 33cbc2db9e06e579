//! Removes the values from SQL statements for logging.

use sqlparser::{
    dialect::PostgreSqlDialect,
    tokenizer::{Token, Tokenizer},
};

/// Maximum length of a shape; a longer one is truncated.
const MAX_SHAPE_CHARS: usize = 200;

/// Returns the shape of a statement: every literal is replaced by `?` and comments are removed, so
/// that a log line never contains a value.
///
/// A text that cannot be tokenized as SQL is replaced as a whole.
#[must_use]
pub fn statement_shape(sql: &str) -> String {
    let Ok(tokens) = Tokenizer::new(&PostgreSqlDialect {}, sql).tokenize() else {
        return "(statement with a syntax error)".into();
    };
    let mut shape = String::new();
    let mut needs_space = false;
    for token in tokens {
        let text = match token {
            Token::Whitespace(_) => {
                needs_space = true;
                continue;
            }
            Token::Word(word) => word.to_string(),
            Token::Placeholder(name) => name,
            token if is_symbol(&token) => token.to_string(),
            _ => "?".into(),
        };
        if needs_space && !shape.is_empty() {
            shape.push(' ');
        }
        needs_space = false;
        shape.push_str(&text);
    }
    if let Some((end, _)) = shape.char_indices().nth(MAX_SHAPE_CHARS) {
        shape.truncate(end);
        shape.push_str("...");
    }
    shape
}

/// Returns whether a token consists of punctuation only. Any other token that is not a word may
/// contain a value.
fn is_symbol(token: &Token) -> bool {
    token
        .to_string()
        .chars()
        .all(|c| c.is_ascii_punctuation() && c != '\'' && c != '"')
}
