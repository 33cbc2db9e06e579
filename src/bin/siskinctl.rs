//! `siskinctl`: the command line tool for operators.

use std::{ffi::OsString, process::ExitCode};

use anyhow::{Context, bail};
use siskinhook_standin::{DEMO_COMMANDS, demo_command};
use tokio::runtime::Builder;

fn main() -> ExitCode {
    siskinhook_operator::main(demo)
}

/// Sends a command to the control interface of a running demo.
fn demo(arguments: Vec<OsString>) -> anyhow::Result<()> {
    let mut words: Vec<String> = arguments
        .into_iter()
        .map(OsString::into_string)
        .collect::<Result<_, _>>()
        .map_err(|word| anyhow::anyhow!("{} is not valid UTF-8", word.display()))?;
    let json = take_flag(&mut words, "--json");
    let Some(index) = words.iter().position(|word| word == "--control") else {
        bail!(
            "state the control address that the demo printed: siskinctl demo --control IP:PORT \
             COMMAND\n{DEMO_COMMANDS}"
        );
    };
    words.remove(index);
    if index == words.len() {
        bail!("--control needs an address ip:port");
    }
    let control = words.remove(index);
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .context("cannot create the runtime")?;
    println!(
        "{}",
        runtime.block_on(demo_command(&control, &words, json))?
    );
    Ok(())
}

/// Removes a flag from the arguments and returns whether it was there.
fn take_flag(words: &mut Vec<String>, flag: &str) -> bool {
    let before = words.len();
    words.retain(|word| word != flag);
    words.len() < before
}
