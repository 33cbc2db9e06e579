//! `siskinhook standin`: runs the stand-ins of a site without nodes.

use std::process::ExitCode;

use anyhow::Context;
use siskinhook_demo::{Demo, DemoOptions};
use tokio::runtime::Runtime;

use crate::{demo::parse_site, flags::Standin, shutdown};

/// Runs the stand-ins until SIGINT or SIGTERM.
pub fn run(flags: &Standin) -> anyhow::Result<ExitCode> {
    let options = DemoOptions {
        site: parse_site(flags.site.as_deref())?,
        nodes: Some(0),
        seed: flags.seed.unwrap_or(1),
    };
    let runtime = Runtime::new().context("cannot create the runtime")?;
    runtime.block_on(async {
        let demo = Demo::start(options).await?;
        let platform = demo
            .site()
            .address("platform")
            .context("the platform has no address")?;
        println!("platform: {platform}");
        println!("control: {}", demo.summary().control);
        shutdown::requested().await?;
        Ok(ExitCode::SUCCESS)
    })
}
