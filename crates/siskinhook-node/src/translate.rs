//! Converts the settings of a node into the settings of its components.

use anyhow::Context;
use indexmap::IndexMap;
use siskinhook_engine::{EngineSettings, LinkOptions, Login, PgOptions};
use siskinhook_fleet::FleetSettings;
use siskinhook_frontend::{FrontendSettings, Users};
use siskinhook_platform::BudgetSettings;
use siskinhook_settings::{ExposeSecret, NodeSettings, SecretSource};
use smol_str::SmolStr;

pub(crate) fn read_secret(source: &SecretSource) -> anyhow::Result<SmolStr> {
    Ok(source.read()?.expose_secret().into())
}

pub(crate) fn budget(settings: &NodeSettings) -> BudgetSettings {
    let platform = &settings.platform;
    BudgetSettings {
        reads: platform.reads,
        writes: platform.writes,
        share: platform.share,
        ..BudgetSettings::default()
    }
}

pub(crate) fn fleet(settings: &NodeSettings) -> FleetSettings {
    let fleet = &settings.fleet;
    FleetSettings {
        probe_interval: fleet.probe_interval,
        probe_timeout: fleet.probe_timeout,
        suspicion_timeout: fleet.suspicion_timeout,
        indirect_probes: fleet.indirect_probes as usize,
        fan_out: fleet.gossip_fanout as usize,
        list_interval: fleet.list_interval,
        poll_interval: settings.catalogue.poll_interval,
        ..FleetSettings::default()
    }
}

pub(crate) fn engine(settings: &NodeSettings) -> EngineSettings {
    let failover = &settings.failover;
    EngineSettings {
        poll_interval: failover.poll_interval,
        idle_interval: failover.idle_interval,
        probe_timeout: failover.probe_timeout,
        platform_timeout: failover.table_timeout,
        rank_delay: failover.rank_delay,
        connect_timeout: failover.connect_timeout,
        silence: settings.requests.silence,
        part_buffer: settings.requests.row_buffer as usize,
        max_reroutes: settings.requests.attempts,
        ..EngineSettings::default()
    }
}

pub(crate) fn links(settings: &NodeSettings) -> LinkOptions {
    LinkOptions {
        connect_timeout: settings.failover.connect_timeout,
        idle_timeout: settings.requests.idle_link,
        address_overrides: settings.dial.clone(),
        ..LinkOptions::default()
    }
}

pub(crate) fn targets(settings: &NodeSettings) -> anyhow::Result<PgOptions> {
    let mut logins = IndexMap::new();
    for (name, credential) in &settings.credentials {
        let password = read_secret(&credential.password)
            .with_context(|| format!("setting credentials.{name}.password"))?;
        let login = Login {
            user: credential.user.to_string(),
            password: password.to_string(),
        };
        logins.insert(name.clone(), login);
    }
    Ok(PgOptions {
        connect_timeout: settings.failover.connect_timeout,
        logins,
        address_overrides: settings.dial.clone(),
    })
}

pub(crate) fn frontend(settings: &NodeSettings) -> FrontendSettings {
    let requests = &settings.requests;
    FrontendSettings {
        max_connections: requests.connections as usize,
        max_message: requests.message_size as usize,
        startup_timeout: requests.login_timeout,
        ..FrontendSettings::default()
    }
}

pub(crate) fn users(settings: &NodeSettings) -> anyhow::Result<Users> {
    let mut users = Users::default();
    for (name, source) in &settings.callers {
        let password = read_secret(source).with_context(|| format!("setting callers.{name}"))?;
        users.add(name.clone(), &password);
    }
    Ok(users)
}
