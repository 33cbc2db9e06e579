//! Parsing of the parts of a statement that SQLite does not handle: PostgreSQL casts, `FOR UPDATE`,
//! simulated work and the types of parameters.

use indexmap::IndexMap;

use crate::{
    database::SqlError,
    value::{self, oid},
};

/// A statement prepared for SQLite.
#[derive(Clone, Debug, Default)]
pub(crate) struct Parsed {
    /// Text passed to SQLite.
    pub text: String,
    /// Words, operators and literals of the text, without whitespace and comments.
    pub tokens: Vec<String>,
    /// Type OIDs that parameters are cast to, by parameter number.
    pub casts: IndexMap<usize, u32>,
    /// Arguments of the `work_ms` calls.
    pub work: Vec<WorkArgument>,
    /// Whether the text ends in `FOR UPDATE`.
    pub locking: bool,
}

/// Argument of a `work_ms` call.
#[derive(Clone, Copy, Debug)]
pub(crate) enum WorkArgument {
    /// Literal number of milliseconds.
    Literal(u64),
    /// Number, from 1, of the parameter that holds the milliseconds.
    Param(usize),
}

/// Splits a text into tokens. Whitespace and comments are tokens of their own.
fn tokenize(sql: &str) -> Vec<&str> {
    let bytes = sql.as_bytes();
    let mut found = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let rest = &sql[at..];
        let length = match bytes[at] {
            b if b.is_ascii_whitespace() => rest
                .find(|c: char| !c.is_ascii_whitespace())
                .unwrap_or(rest.len()),
            b'-' if rest.starts_with("--") => rest.find('\n').unwrap_or(rest.len()),
            b'/' if rest.starts_with("/*") => rest.find("*/").map_or(rest.len(), |end| end + 2),
            quote @ (b'\'' | b'"') => rest[1..]
                .find(char::from(quote))
                .map_or(rest.len(), |end| end + 2),
            b if b.is_ascii_alphanumeric() || b == b'_' || b == b'$' || b >= 0x80 => rest
                .find(|c: char| !(c.is_alphanumeric() || c == '_' || c == '$'))
                .unwrap_or(rest.len())
                .max(1),
            _ => ["::", "<=", ">=", "<>", "!=", "||"]
                .iter()
                .find(|operator| rest.starts_with(**operator))
                .map_or(1, |operator| operator.len()),
        };
        // Do not split a multi-byte character that is not alphanumeric.
        let length = (length..=rest.len())
            .find(|end| rest.is_char_boundary(*end))
            .unwrap_or(rest.len());
        found.push(&rest[..length]);
        at += length;
    }
    found
}

fn is_blank(token: &str) -> bool {
    token.starts_with(|c: char| c.is_ascii_whitespace())
        || token.starts_with("--")
        || token.starts_with("/*")
}

/// Returns the number of a parameter token such as `$2`.
///
/// The protocol counts parameters in 16 bits. Rejecting larger numbers here also bounds the memory
/// used for a text that contains a huge number.
fn param_number(token: &str) -> Option<usize> {
    let number: u16 = token.strip_prefix('$')?.parse().ok()?;
    Some(number.into())
}

/// Parses a statement and prepares its text for SQLite.
pub(crate) fn parse(sql: &str) -> Parsed {
    let mut parsed = Parsed::default();
    let raw = tokenize(sql);
    let mut at = 0;
    while at < raw.len() {
        let token = raw[at];
        at += 1;
        if is_blank(token) {
            parsed.text.push_str(token);
            if token.starts_with("--") {
                parsed.text.push('\n');
            }
            continue;
        }
        if token == "::"
            && let Some(name) = raw.get(at)
        {
            at += 1;
            let number = parsed.tokens.last().and_then(|last| param_number(last));
            if let Some(number) = number {
                parsed.casts.insert(number, value::type_oid(name));
            }
            continue;
        }
        if token.eq_ignore_ascii_case("work_ms") && raw.get(at) == Some(&"(") {
            match raw.get(at + 1) {
                Some(argument) if param_number(argument).is_some() => {
                    let number = param_number(argument).unwrap_or_default();
                    parsed.casts.insert(number, oid::INT8);
                    parsed.work.push(WorkArgument::Param(number));
                }
                Some(argument) => {
                    if let Ok(milliseconds) = argument.parse() {
                        parsed.work.push(WorkArgument::Literal(milliseconds));
                    }
                }
                None => {}
            }
            continue;
        }
        parsed.text.push_str(token);
        parsed.tokens.push(token.to_owned());
    }
    while parsed.tokens.last().is_some_and(|token| token == ";") {
        parsed.tokens.pop();
    }
    if let [.., first, second] = parsed.tokens.as_slice()
        && first.eq_ignore_ascii_case("for")
        && second.eq_ignore_ascii_case("update")
    {
        let end = parsed.text.to_ascii_lowercase().rfind("for");
        parsed.text.truncate(end.unwrap_or(parsed.text.len()));
        parsed.tokens.truncate(parsed.tokens.len() - 2);
        parsed.locking = true;
    }
    parsed
}

impl Parsed {
    /// Returns a token in upper case, or an empty string past the end.
    pub fn word(&self, index: usize) -> String {
        self.tokens
            .get(index)
            .map(|token| token.to_ascii_uppercase())
            .unwrap_or_default()
    }

    /// Rejects statements that must not reach SQLite: several statements in one text, and commands
    /// that would access files or settings outside the log.
    pub fn check(&self) -> Result<(), SqlError> {
        let first = self.word(0);
        if matches!(first.as_str(), "ATTACH" | "DETACH" | "PRAGMA" | "VACUUM") {
            return Err(SqlError::new("0A000", format!("{first} is not supported")));
        }
        if self.tokens.iter().any(|token| token == ";") {
            return Err(SqlError::new(
                "42601",
                "more than one statement in one message; send them one by one",
            ));
        }
        Ok(())
    }

    /// Returns the command tag of a statement that returned or changed `rows` rows.
    pub fn tag(&self, rows: usize) -> String {
        let verb = match self.word(0).as_str() {
            "WITH" => self
                .tokens
                .iter()
                .map(|token| token.to_ascii_uppercase())
                .find(|token| matches!(token.as_str(), "INSERT" | "UPDATE" | "DELETE"))
                .unwrap_or_else(|| "SELECT".into()),
            "VALUES" => "SELECT".into(),
            word => word.to_owned(),
        };
        match verb.as_str() {
            "INSERT" | "REPLACE" => format!("INSERT 0 {rows}"),
            "SELECT" | "UPDATE" | "DELETE" => format!("{verb} {rows}"),
            "CREATE" | "DROP" | "ALTER" => {
                let object = self
                    .tokens
                    .iter()
                    .skip(1)
                    .map(|token| token.to_ascii_uppercase())
                    .find(|token| matches!(token.as_str(), "TABLE" | "INDEX" | "VIEW" | "TRIGGER"));
                format!("{verb} {}", object.unwrap_or_default())
            }
            _ => verb,
        }
    }

    /// Returns the highest parameter number.
    pub fn params(&self) -> usize {
        let in_text = self
            .tokens
            .iter()
            .filter_map(|token| param_number(token))
            .max();
        let in_work = self.work.iter().map(|work| match work {
            WorkArgument::Param(number) => *number,
            WorkArgument::Literal(_) => 0,
        });
        in_text
            .into_iter()
            .chain(in_work)
            .chain(self.casts.keys().copied())
            .max()
            .unwrap_or(0)
    }

    /// Infers the parameter types from casts and from the columns that parameters are used with.
    ///
    /// `column_type` returns the type OID of a column of a table; without a table, it searches all
    /// tables.
    pub fn param_types(
        &self,
        column_type: impl Fn(Option<&str>, Column<'_>) -> Option<u32>,
    ) -> Vec<u32> {
        let mut types = vec![oid::TEXT; self.params()];
        for (index, token) in self.tokens.iter().enumerate() {
            let Some(number) = param_number(token).filter(|number| *number > 0) else {
                continue;
            };
            let found = self
                .insert_column_type(index, &column_type)
                .or_else(|| self.operand_type(index, &column_type));
            if let Some(found) = found {
                types[number - 1] = found;
            }
        }
        for (number, oid) in &self.casts {
            if *number > 0 {
                types[number - 1] = *oid;
            }
        }
        types
    }

    /// Returns the type of the column that a parameter of an `INSERT … VALUES` list is stored in.
    fn insert_column_type(
        &self,
        index: usize,
        column_type: &impl Fn(Option<&str>, Column<'_>) -> Option<u32>,
    ) -> Option<u32> {
        let into = self
            .tokens
            .iter()
            .position(|token| token.eq_ignore_ascii_case("into"))?;
        let values = self
            .tokens
            .iter()
            .position(|token| token.eq_ignore_ascii_case("values"))?;
        if index < values {
            return None;
        }
        let table = self.tokens.get(into + 1)?.trim_matches('"');
        let mut depth = 0;
        let mut position = 0;
        for token in &self.tokens[values + 1..index] {
            match token.as_str() {
                "(" => {
                    depth += 1;
                    if depth == 1 {
                        position = 0;
                    }
                }
                ")" => depth -= 1,
                "," if depth == 1 => position += 1,
                _ => {}
            }
        }
        if depth == 0 {
            return None;
        }
        let names: Vec<&str> = self.tokens[into + 2..values]
            .iter()
            .map(|token| token.trim_matches('"'))
            .filter(|token| !matches!(*token, "(" | ")" | ","))
            .collect();
        match names.get(position) {
            Some(name) => column_type(Some(table), Column::Name(name)),
            None => column_type(Some(table), Column::Index(position)),
        }
    }

    /// Returns the type of the column that a parameter is compared or combined with by an operator.
    fn operand_type(
        &self,
        index: usize,
        column_type: &impl Fn(Option<&str>, Column<'_>) -> Option<u32>,
    ) -> Option<u32> {
        let before = |steps: usize| Some(self.tokens[index.checked_sub(steps)?].as_str());
        let last = before(1)?.to_ascii_uppercase();
        if matches!(last.as_str(), "LIMIT" | "OFFSET") {
            return Some(oid::INT8);
        }
        let is_operator = |token: &str| {
            matches!(
                token.to_ascii_uppercase().as_str(),
                "=" | "<"
                    | ">"
                    | "<="
                    | ">="
                    | "<>"
                    | "!="
                    | "+"
                    | "-"
                    | "*"
                    | "/"
                    | "LIKE"
                    | "IS"
                    | "BETWEEN"
            )
        };
        if is_operator(&last) {
            let found = column_type(None, Column::Name(before(2)?.trim_matches('"')));
            if found.is_some() {
                return found;
            }
        }
        if matches!(last.as_str(), "(" | ",") {
            // `column IN ($1, $2)`
            let start = self.tokens[..index]
                .iter()
                .rposition(|token| token.eq_ignore_ascii_case("in"))?;
            let closed = self.tokens[start..index].iter().any(|token| token == ")");
            if !closed {
                let name = self.tokens.get(start.checked_sub(1)?)?;
                return column_type(None, Column::Name(name.trim_matches('"')));
            }
        }
        if self
            .tokens
            .get(index + 1)
            .is_some_and(|next| is_operator(next))
        {
            let name = self.tokens.get(index + 2)?;
            return column_type(None, Column::Name(name.trim_matches('"')));
        }
        None
    }
}

/// Reference to a column.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Column<'a> {
    /// By name.
    Name(&'a str),
    /// By index in the table, from 0.
    Index(usize),
}
