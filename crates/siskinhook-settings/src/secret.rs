//! References to secrets that are stored outside the settings.

use std::{env, fmt, fs, path::PathBuf};

use secrecy::SecretString;
use serde::{Deserialize, Serialize, Serializer};

/// Source that a secret is read from. The settings do not contain the secret itself, except in
/// the form `demo`, which is for demonstrations on loopback addresses.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum SecretSource {
    /// Name of an environment variable.
    Env(String),
    /// Path of a file; trailing white space is not part of the secret.
    File(PathBuf),
    /// The secret itself; refused unless the setting `demo` is on.
    Demo(#[serde(serialize_with = "hide")] String),
}

// Serialized settings must not contain the secret.
fn hide<S: Serializer>(_: &str, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_str("[hidden]")
}

/// Error for a secret that could not be read.
#[derive(Debug)]
pub struct SecretError {
    message: String,
}

impl SecretSource {
    /// Reads the secret.
    ///
    /// # Errors
    /// Fails when the environment variable or file is missing, unreadable or empty.
    pub fn read(&self) -> Result<SecretString, SecretError> {
        let fail = |message| SecretError { message };
        let text = match self {
            Self::Env(name) => env::var(name).map_err(|error| {
                fail(format!(
                    "environment variable {name}: {error}; set it before starting the node"
                ))
            })?,
            Self::File(path) => fs::read_to_string(path).map_err(|error| {
                fail(format!(
                    "secret file {}: {error}; create it, readable for the node only",
                    path.display()
                ))
            })?,
            Self::Demo(text) => text.clone(),
        };
        let text = text.trim_end();
        if text.is_empty() {
            return Err(fail(format!("{self} is empty; write a secret into it")));
        }
        Ok(text.into())
    }
}

impl fmt::Display for SecretSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Env(name) => write!(f, "environment variable {name}"),
            Self::File(path) => write!(f, "secret file {}", path.display()),
            Self::Demo(_) => f.write_str("demo secret"),
        }
    }
}

// Implemented by hand because the derived implementation would print a demo secret.
impl fmt::Debug for SecretSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "SecretSource({self})")
    }
}

impl fmt::Display for SecretError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for SecretError {}
