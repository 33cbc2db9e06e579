//! Entry point of siskinctl: arguments, environment and exit code.

use std::{env, ffi::OsString, fs, io::Write, process::ExitCode};

use crate::{
    ExitError,
    client::Nodes,
    commands,
    context::Context,
    flags::{Catalogue, CatalogueCmd, Siskinctl, SiskinctlCmd},
};

/// Runs siskinctl with the arguments of the process. If the first one is `demo`, the remaining
/// arguments are passed to the function `demo`.
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
            eprintln!("siskinctl: cannot start the async runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    let mut out = std::io::stdout().lock();
    let mut err = std::io::stderr().lock();
    ExitCode::from(runtime.block_on(run(arguments, &mut out, &mut err)))
}

/// Runs one command and returns its exit code. Results are written to `out`; progress messages,
/// warnings and errors are written to `err`.
pub async fn run(arguments: Vec<OsString>, out: &mut dyn Write, err: &mut dyn Write) -> u8 {
    let flags = match Siskinctl::from_vec(arguments) {
        Ok(flags) => flags,
        Err(error) if error.is_help() => {
            // A write error is ignored: the reader may have closed the output.
            let _ = writeln!(out, "{error}");
            return 0;
        }
        Err(error) => {
            let _ = writeln!(err, "siskinctl: {error}; see siskinctl --help");
            return 2;
        }
    };
    match dispatch(flags, out, err).await {
        Ok(()) => 0,
        Err(error) => {
            let _ = writeln!(err, "siskinctl: {error}");
            error.code()
        }
    }
}

async fn dispatch(
    flags: Siskinctl,
    out: &mut dyn Write,
    err: &mut dyn Write,
) -> Result<(), ExitError> {
    // Validation needs neither a node nor credentials.
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
                "no operator is given; add --operator or set SISKINCTL_OPERATOR".into(),
            )
        })?;
    let token = match &flags.token_file {
        Some(path) => fs::read_to_string(path)
            .map_err(|error| ExitError::Usage(format!("token file {}: {error}", path.display())))?,
        None => env::var("SISKINCTL_TOKEN").map_err(|_| {
            ExitError::Usage("no token is given; add --token-file or set SISKINCTL_TOKEN".into())
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
        err,
    };
    commands::run(context, flags.subcommand).await
}
