//! Loading of settings files.

use std::{fs, path::Path};

use crate::{Document, NodeSettings, Problem, SettingsError, check::check};

/// Parses and checks a settings text. `source` is the name of the text in error messages.
///
/// # Errors
/// Returns all problems with line and column.
pub fn parse(source: &str, text: &str) -> Result<NodeSettings, SettingsError> {
    let document = Document::parse(source, text)?;
    let settings: NodeSettings = document.read()?;
    let problems = check(&settings, &document);
    if problems.is_empty() {
        Ok(settings)
    } else {
        Err(document.error(problems))
    }
}

/// Reads, parses and checks a settings file.
///
/// # Errors
/// Fails when the file cannot be read; otherwise returns all problems with line and column.
pub fn load(path: &Path) -> Result<NodeSettings, SettingsError> {
    let source = path.display().to_string();
    let text = fs::read_to_string(path).map_err(|error| SettingsError {
        source: source.clone(),
        problems: vec![Problem {
            line: 1,
            column: 1,
            field: String::new(),
            message: format!("the file cannot be read: {error}; check path and permissions"),
        }],
    })?;
    parse(&source, &text)
}
