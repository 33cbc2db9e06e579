//! `siskinhook hosted`: runs a node on the users' platform.

use std::process::ExitCode;

use crate::flags::Hosted;

/// Runs a node until SIGTERM, then drains it.
pub fn run(flags: &Hosted) -> anyhow::Result<ExitCode> {
    siskinhook_hosted::run(&flags.settings)?;
    Ok(ExitCode::SUCCESS)
}
