//! The `siskinhook.*` settings of a caller.

use siskinhook_types::{Class, Failure, FailureKind, RequestId, SessionId, Token, sqlstate};
use smol_str::{SmolStr, ToSmolStr, format_smolstr};

/// Prefix of the settings that the front end interprets itself.
pub(crate) const PREFIX: &str = "siskinhook.";

/// Maximum length of a request id or session name. Both are stored in the database and in logs.
const MAX_NAME_BYTES: usize = 128;

/// Settings that a caller makes per session or per statement.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerOptions {
    /// Class of work; defaults to the class in the catalogue entry.
    pub class: Option<Class>,
    /// Maximum staleness of reads in milliseconds; defaults to the value in the catalogue entry.
    pub max_age: Option<u64>,
    /// Idempotency key of the next write or transaction; cleared once that has used it.
    pub request: Option<RequestId>,
    /// Whether a statement that may have run already may be run again.
    pub repeatable: bool,
    /// Time within which a statement must start, in milliseconds; defaults to the value in the
    /// catalogue entry.
    pub deadline: Option<u64>,
    /// Causal token of an earlier write that reads must see.
    pub token: Option<Token>,
    /// Session name shown in logs.
    pub session: Option<SessionId>,
}

impl CallerOptions {
    /// Sets an option, given its name without prefix. An empty value or `default` resets it.
    ///
    /// # Errors
    /// Fails with SQLSTATE 22023 for an invalid value and 42704 for an unknown setting. The message
    /// lists what is accepted.
    pub fn set(&mut self, name: &str, value: &str) -> Result<(), Failure> {
        let reset = value.is_empty() || value.eq_ignore_ascii_case("default");
        match name {
            "class" => self.class = if reset { None } else { Some(to_class(value)?) },
            "max_age" => {
                self.max_age = if reset {
                    None
                } else {
                    Some(to_millis(name, value)?)
                }
            }
            "request_id" => {
                self.request = if reset {
                    None
                } else {
                    Some(to_name(name, value)?)
                }
            }
            "repeatable" => self.repeatable = !reset && to_switch(name, value)?,
            "deadline" => {
                self.deadline = if reset {
                    None
                } else {
                    Some(to_millis(name, value)?)
                }
            }
            "token" => self.token = if reset { None } else { Some(to_token(value)?) },
            "session" => {
                self.session = if reset {
                    None
                } else {
                    Some(to_name(name, value)?)
                }
            }
            _ => return Err(unknown_setting(name)),
        }
        Ok(())
    }

    /// Returns the value that `SHOW` prints for an option, given its name without prefix.
    ///
    /// # Errors
    /// Fails with SQLSTATE 42704 if the setting does not exist.
    pub fn get(&self, name: &str) -> Result<SmolStr, Failure> {
        let number = |value: Option<u64>| value.map_or_else(SmolStr::default, |v| v.to_smolstr());
        Ok(match name {
            "class" => match self.class {
                None => SmolStr::default(),
                Some(Class::Short) => "short".into(),
                Some(Class::Long) => "long".into(),
            },
            "max_age" => number(self.max_age),
            "request_id" => self.request.clone().unwrap_or_default(),
            "repeatable" => if self.repeatable { "on" } else { "off" }.into(),
            "deadline" => number(self.deadline),
            "token" => self
                .token
                .as_ref()
                .map_or_else(SmolStr::default, |t| format_smolstr!("{t}")),
            "session" => self.session.clone().unwrap_or_default(),
            _ => return Err(unknown_setting(name)),
        })
    }
}

fn to_class(value: &str) -> Result<Class, Failure> {
    match value.to_ascii_lowercase().as_str() {
        "short" => Ok(Class::Short),
        "long" => Ok(Class::Long),
        _ => Err(invalid_value("class", value, "short or long")),
    }
}

fn to_millis(name: &str, value: &str) -> Result<u64, Failure> {
    value
        .parse()
        .map_err(|_| invalid_value(name, value, "a whole number of milliseconds"))
}

fn to_switch(name: &str, value: &str) -> Result<bool, Failure> {
    match value.to_ascii_lowercase().as_str() {
        "on" | "true" | "1" | "yes" => Ok(true),
        "off" | "false" | "0" | "no" => Ok(false),
        _ => Err(invalid_value(name, value, "on or off")),
    }
}

fn to_name(name: &str, value: &str) -> Result<SmolStr, Failure> {
    if value.len() > MAX_NAME_BYTES || value.chars().any(char::is_control) {
        return Err(invalid_value(
            name,
            value,
            "at most 128 bytes without control characters",
        ));
    }
    Ok(value.into())
}

fn to_token(value: &str) -> Result<Token, Failure> {
    value
        .parse()
        .map_err(|error: siskinhook_types::ParseTokenError| {
            Failure::not_run(
                FailureKind::BadRequest,
                sqlstate::INVALID_VALUE,
                error.to_string(),
            )
        })
}

fn invalid_value(name: &str, value: &str, expected: &str) -> Failure {
    let excerpt: String = value.chars().take(MAX_NAME_BYTES).collect();
    Failure::not_run(
        FailureKind::BadRequest,
        sqlstate::INVALID_VALUE,
        format!("invalid value for setting {PREFIX}{name}: {excerpt:?}; expected {expected}"),
    )
}

fn unknown_setting(name: &str) -> Failure {
    Failure::not_run(
        FailureKind::BadRequest,
        "42704",
        format!(
            "unknown setting {PREFIX}{name}; the settings are class, max_age, request_id, \
             repeatable, deadline, token and session"
        ),
    )
}
