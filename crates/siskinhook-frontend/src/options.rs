//! The settings by which a caller states what it wants.

use siskinhook_types::{Class, Failure, FailureKind, RequestId, SessionId, Token, sqlstate};
use smol_str::{SmolStr, ToSmolStr, format_smolstr};

/// Prefix of the settings that siskinhook itself interprets.
pub(crate) const PREFIX: &str = "siskinhook.";

/// Longest request id and session name in bytes. They are stored in the database and in logs.
const MAX_NAME_BYTES: usize = 128;

/// What a caller states per session or per statement.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerOptions {
    /// Class of work; the catalogue's when absent.
    pub class: Option<Class>,
    /// Maximum age of reads in milliseconds; the catalogue's when absent.
    pub max_age: Option<u64>,
    /// Idempotency key of the next write or transaction; removed after it.
    pub request: Option<RequestId>,
    /// Whether a statement that may have run may be run again.
    pub repeatable: bool,
    /// Milliseconds within which a statement is to start; the catalogue's when absent.
    pub deadline: Option<u64>,
    /// Causal token of an earlier write.
    pub token: Option<Token>,
    /// Name of the session, for logs.
    pub session: Option<SessionId>,
}

impl CallerOptions {
    /// Sets an option by its name without prefix; an empty value or `default` resets it.
    ///
    /// # Errors
    /// Fails with SQLSTATE 22023 or 42704, naming the setting and the accepted values.
    pub fn set(&mut self, name: &str, value: &str) -> Result<(), Failure> {
        let reset = value.is_empty() || value.eq_ignore_ascii_case("default");
        match name {
            "class" => self.class = if reset { None } else { Some(class(value)?) },
            "max_age" => {
                self.max_age = if reset {
                    None
                } else {
                    Some(millis(name, value)?)
                }
            }
            "request_id" => {
                self.request = if reset {
                    None
                } else {
                    Some(text(name, value)?)
                }
            }
            "repeatable" => self.repeatable = !reset && switch(name, value)?,
            "deadline" => {
                self.deadline = if reset {
                    None
                } else {
                    Some(millis(name, value)?)
                }
            }
            "token" => self.token = if reset { None } else { Some(token(value)?) },
            "session" => {
                self.session = if reset {
                    None
                } else {
                    Some(text(name, value)?)
                }
            }
            _ => return Err(unknown(name)),
        }
        Ok(())
    }

    /// Returns an option by its name without prefix, as `SHOW` prints it.
    ///
    /// # Errors
    /// Fails with SQLSTATE 42704 when there is no such setting.
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
            _ => return Err(unknown(name)),
        })
    }
}

fn class(value: &str) -> Result<Class, Failure> {
    match value.to_ascii_lowercase().as_str() {
        "short" => Ok(Class::Short),
        "long" => Ok(Class::Long),
        _ => Err(invalid("class", value, "short or long")),
    }
}

fn millis(name: &str, value: &str) -> Result<u64, Failure> {
    value
        .parse()
        .map_err(|_| invalid(name, value, "a whole number of milliseconds"))
}

fn switch(name: &str, value: &str) -> Result<bool, Failure> {
    match value.to_ascii_lowercase().as_str() {
        "on" | "true" | "1" | "yes" => Ok(true),
        "off" | "false" | "0" | "no" => Ok(false),
        _ => Err(invalid(name, value, "on or off")),
    }
}

fn text(name: &str, value: &str) -> Result<SmolStr, Failure> {
    if value.len() > MAX_NAME_BYTES || value.chars().any(char::is_control) {
        return Err(invalid(
            name,
            value,
            "at most 128 bytes without control characters",
        ));
    }
    Ok(value.into())
}

fn token(value: &str) -> Result<Token, Failure> {
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

fn invalid(name: &str, value: &str, expected: &str) -> Failure {
    let shown: String = value.chars().take(MAX_NAME_BYTES).collect();
    Failure::not_run(
        FailureKind::BadRequest,
        sqlstate::INVALID_VALUE,
        format!("invalid value for setting {PREFIX}{name}: {shown:?}; expected {expected}"),
    )
}

fn unknown(name: &str) -> Failure {
    Failure::not_run(
        FailureKind::BadRequest,
        "42704",
        format!(
            "unknown setting {PREFIX}{name}; the settings are class, max_age, request_id, \
             repeatable, deadline, token and session"
        ),
    )
}
