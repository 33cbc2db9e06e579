//! `siskinhook check`: checks a settings file.

use std::process::ExitCode;

use crate::flags::Check;

/// Checks the file; exit code 0 when it is right, 1 when not.
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
