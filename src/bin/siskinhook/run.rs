//! `siskinhook run`: runs a node.

use std::process::ExitCode;

use anyhow::Context;
use siskinhook_node::{Listeners, Node};
use tokio::runtime::Runtime;

use crate::{flags::Run, shutdown};

/// Runs a node until SIGINT or SIGTERM, then drains it. The exit code is 0 when all work was
/// finished, and 2 when work was still running at the drain deadline.
pub fn run(flags: &Run) -> anyhow::Result<ExitCode> {
    let settings = siskinhook_settings::load(&flags.settings)?;
    siskinhook_telemetry::init(&settings.log)?;
    let listeners = Listeners::bind(&settings.addresses)?;
    let runtime = Runtime::new().context("cannot create the runtime")?;
    runtime.block_on(async {
        let node = Node::start(settings, listeners).await?;
        shutdown::requested().await?;
        Ok(if node.drain().await {
            ExitCode::SUCCESS
        } else {
            ExitCode::from(2)
        })
    })
}
