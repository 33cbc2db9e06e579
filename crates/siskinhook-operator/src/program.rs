//! The program siskinctl.

use std::{env, ffi::OsString, fs, io::Write, process::ExitCode};

use crate::{
    ExitError,
    client::Nodes,
    commands,
    context::Context,
    flags::{Catalogue, CatalogueCmd, Siskinctl, SiskinctlCmd},
};

/// Runs siskinctl with the arguments of the process. `demo` gets the arguments after `demo`.
pub fn main(demo: impl FnOnce(Vec<OsString>) -> anyhow::Result<()>) -> ExitCode {
    let arguments: Vec<OsString> = env::args_os().skip(1).collect();
    if let Some((first, rest)) = arguments.split_first()
        && first == "demo"
    {
        return match demo(rest.to_vec()) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("siskinctl demo: {error:#}");
                ExitCode::FAILURE
            }
        };
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("siskinctl: the runtime cannot be started: {error}");
            return ExitCode::FAILURE;
        }
    };
    let mut out = std::io::stdout().lock();
    let mut notes = std::io::stderr().lock();
    ExitCode::from(runtime.block_on(run(arguments, &mut out, &mut notes)))
}

/// Runs one command; returns the exit code. Results go to `out`; progress, warnings and errors
/// go to `notes`.
pub async fn run(arguments: Vec<OsString>, out: &mut dyn Write, notes: &mut dyn Write) -> u8 {
    let flags = match Siskinctl::from_vec(arguments) {
        Ok(flags) => flags,
        Err(error) if error.is_help() => {
            // A closed output is the reader's choice.
            let _ = writeln!(out, "{error}");
            return 0;
        }
        Err(error) => {
            let _ = writeln!(notes, "siskinctl: {error}; see siskinctl --help");
            return 2;
        }
    };
    match dispatch(flags, out, notes).await {
        Ok(()) => 0,
        Err(error) => {
            let _ = writeln!(notes, "siskinctl: {error}");
            error.code()
        }
    }
}

async fn dispatch(
    flags: Siskinctl,
    out: &mut dyn Write,
    notes: &mut dyn Write,
) -> Result<(), ExitError> {
    // Works without a node, so that a text can be checked anywhere.
    if let SiskinctlCmd::Catalogue(Catalogue {
        subcommand: CatalogueCmd::Validate(validate),
    }) = &flags.subcommand
    {
        return commands::catalogue_validate::run(validate, out);
    }
    let operator = flags
        .operator
        .or_else(|| env::var("SISKINCTL_OPERATOR").ok())
        .ok_or_else(|| {
            ExitError::Usage(
                "no operator is stated; add --operator or set SISKINCTL_OPERATOR".into(),
            )
        })?;
    let token = match &flags.token_file {
        Some(path) => fs::read_to_string(path)
            .map_err(|error| ExitError::Usage(format!("token file {}: {error}", path.display())))?,
        None => env::var("SISKINCTL_TOKEN").map_err(|_| {
            ExitError::Usage("no token is stated; add --token-file or set SISKINCTL_TOKEN".into())
        })?,
    };
    let mut addresses = flags.node;
    if addresses.is_empty()
        && let Ok(list) = env::var("SISKINCTL_NODES")
    {
        addresses = list
            .split(',')
            .map(|address| address.trim().into())
            .collect();
    }
    let context = Context {
        nodes: Nodes::new(addresses, &operator, token.trim_end())?,
        operator,
        json: flags.json,
        out,
        notes,
    };
    commands::run(context, flags.subcommand).await
}
