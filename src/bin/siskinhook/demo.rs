//! `siskinhook demo`: runs a whole site, its nodes and its stand-ins, in one process.

use std::process::ExitCode;

use anyhow::{Context, bail};
use siskinhook_demo::{Demo, DemoOptions, SiteName};
use siskinhook_settings::LogSettings;
use tokio::runtime::Runtime;

use crate::{flags, shutdown};

/// Runs the demo until SIGINT or SIGTERM.
pub fn run(flags: &flags::Demo) -> anyhow::Result<ExitCode> {
    let options = DemoOptions {
        site: parse_site(flags.site.as_deref())?,
        seed: flags.seed.unwrap_or(1),
        ..DemoOptions::default()
    };
    let log = LogSettings {
        level: flags.log.as_deref().unwrap_or("warn").into(),
        ..LogSettings::default()
    };
    siskinhook_telemetry::init(&log)?;
    let runtime = Runtime::new().context("cannot create the runtime")?;
    runtime.block_on(async {
        let demo = Demo::start(options).await?;
        if flags.json {
            println!("{}", serde_json::to_string(demo.summary())?);
        } else {
            println!("{}", demo.summary());
        }
        shutdown::requested().await?;
        if !flags.json {
            println!("shutting down");
        }
        demo.stop().await;
        Ok(ExitCode::SUCCESS)
    })
}

/// Parses the name of a site. The default is `shiftdesk`.
pub fn parse_site(name: Option<&str>) -> anyhow::Result<SiteName> {
    match name {
        None | Some("shiftdesk") => Ok(SiteName::Shiftdesk),
        Some("uze") => Ok(SiteName::Uze),
        Some(other) => bail!("unknown site {other:?}; the sites are shiftdesk and uze"),
    }
}
