//! Settings of the demo's nodes.

use indexmap::IndexMap;
use siskinhook_settings::{
    Addresses, CatalogueSettings, Credential, Drain, Failover, Fleet, LogSettings, NodeSettings,
    OperatorAccount, PlatformSettings, Requests, SecretSource,
};
use siskinhook_standin::{Endpoint, Plan};
use smol_str::SmolStr;

/// User of the callers.
pub(crate) const USER: &str = "demo";
/// Password of the callers.
pub(crate) const PASSWORD: &str = "demo";
/// Reference of the targets' credentials in the catalogue entry of the stand-in.
const CREDENTIALS: &str = "standin";

/// Operators of both partners: name, partner, token.
const OPERATORS: [(&str, &str, &str); 2] = [
    ("hetal", "sabarmati", "demo-hetal"),
    ("ante", "uzarija", "demo-ante"),
];

/// Milliseconds between reporting not ready and refusing callers; the demo has no balancer.
const NOTICE: std::time::Duration = std::time::Duration::from_millis(100);

pub(crate) fn operators() -> IndexMap<SmolStr, SmolStr> {
    OPERATORS
        .iter()
        .map(|(name, _, token)| ((*name).into(), (*token).into()))
        .collect()
}

/// Creates the settings of one node.
pub(crate) fn node(
    plan: &Plan,
    node: &Endpoint,
    addresses: Addresses,
    platform: SmolStr,
    dial: IndexMap<SmolStr, SmolStr>,
) -> NodeSettings {
    let demo = |text: &str| SecretSource::Demo(text.into());
    let credential = Credential {
        user: "siskinhook".into(),
        password: demo("siskinhook"),
    };
    let operators = OPERATORS.iter().map(|(name, partner, token)| {
        let account = OperatorAccount {
            partner: (*partner).into(),
            token: demo(token),
        };
        ((*name).into(), account)
    });
    NodeSettings {
        name: node.name.clone(),
        region: plan.region.clone(),
        zone: node.zone.clone(),
        addresses,
        platform: PlatformSettings::new(platform),
        dial,
        demo: true,
        secret: demo("demo-fleet-secret"),
        callers: IndexMap::from([(USER.into(), demo(PASSWORD))]),
        credentials: IndexMap::from([(CREDENTIALS.into(), credential)]),
        operators: operators.collect(),
        failover: Failover::default(),
        fleet: Fleet::default(),
        catalogue: CatalogueSettings::default(),
        requests: Requests::default(),
        drain: Drain {
            notice: NOTICE,
            ..Drain::default()
        },
        log: LogSettings::default(),
    }
}
