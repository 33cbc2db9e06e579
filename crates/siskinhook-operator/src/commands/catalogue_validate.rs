//! `siskinctl catalogue validate`: validates a file without calling a node.

use std::{fs, io::Write, path::Path};

use siskinhook_catalogue::parse_entry;
use siskinhook_types::Entry;

use crate::{ExitError, flags};

pub fn run(flags: &flags::Validate, out: &mut dyn Write) -> Result<(), ExitError> {
    let (_, entry) = read_entry(&flags.file)?;
    writeln!(out, "entry {} has no faults", entry.name)?;
    Ok(())
}

/// Reads and validates the entry in a file; returns the text of the file and the entry.
pub fn read_entry(path: &Path) -> Result<(String, Entry), ExitError> {
    let source = path.display().to_string();
    let text = fs::read_to_string(path)
        .map_err(|error| ExitError::Usage(format!("cannot read file {source}: {error}")))?;
    let entry =
        parse_entry(&source, &text).map_err(|error| ExitError::NotAccepted(error.to_string()))?;
    Ok((text, entry))
}
