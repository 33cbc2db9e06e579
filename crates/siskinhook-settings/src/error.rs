//! Errors in a settings or catalogue text, with line and column.

use std::fmt;

/// A problem at a line and column of a text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Line, counted from 1.
    pub line: usize,
    /// Column in characters, counted from 1.
    pub column: usize,
    /// Path of the field, for example `failover.poll_interval`; empty when the problem
    /// concerns the whole text.
    pub field: String,
    /// Description of the problem and its remedy.
    pub message: String,
}

/// All problems found in a text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// Name of the text, for example the file name.
    pub source: String,
    /// The problems, in the order of the text.
    pub problems: Vec<Problem>,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, problem) in self.problems.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            let Problem {
                line,
                column,
                field,
                message,
            } = problem;
            write!(f, "{}:{line}:{column}: ", self.source)?;
            if !field.is_empty() {
                write!(f, "{field}: ")?;
            }
            f.write_str(message)?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsError {}
