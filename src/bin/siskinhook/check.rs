//! `siskinhook check`: checks a settings file.

use std::process::ExitCode;

use crate::flags::Check;

/// Checks the settings file. The exit code is 0 when it is valid, and 1 when it is not.
pub fn run(flags: &Check) -> ExitCode {
    match siskinhook_settings::load(&flags.settings) {
        Ok(settings) => {
            println!(
                "{}: settings of node {} in zone {} are valid",
                flags.settings.display(),
                settings.name,
                settings.zone
            );
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
