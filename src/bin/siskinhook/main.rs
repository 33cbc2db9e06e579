//! `siskinhook`: runs a node, checks its settings file, or runs the demo.

mod check;
mod demo;
mod flags;
mod hosted;
mod run;
mod shutdown;
mod standin;

use std::process::ExitCode;

use flags::{Siskinhook, SiskinhookCmd};

fn main() -> ExitCode {
    let flags = Siskinhook::from_env_or_exit();
    let result = match flags.subcommand {
        SiskinhookCmd::Run(run) => run::run(&run),
        SiskinhookCmd::Hosted(hosted) => hosted::run(&hosted),
        SiskinhookCmd::Check(check) => Ok(check::run(&check)),
        SiskinhookCmd::Demo(demo) => demo::run(&demo),
        SiskinhookCmd::Standin(standin) => standin::run(&standin),
    };
    match result {
        Ok(code) => code,
        Err(error) => {
            eprintln!("siskinhook: {error:#}");
            ExitCode::FAILURE
        }
    }
}
