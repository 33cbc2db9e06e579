//! Settings and credentials of the demo's nodes.

use indexmap::IndexMap;
use siskinhook_settings::{
    Addresses, CatalogueSettings, Credential, Drain, Failover, Fleet, LogSettings, NodeSettings,
    OperatorAccount, PlatformSettings, Requests, SecretSource,
};
use siskinhook_standin::{Endpoint, Plan};
use smol_str::SmolStr;

/// User name with which callers log in.
pub(crate) const CALLER_USER: &str = "demo";
/// Password with which callers log in.
pub(crate) const CALLER_PASSWORD: &str = "demo";
/// Name under which the stand-in's catalogue entry refers to the targets' credentials.
const TARGET_CREDENTIALS: &str = "standin";

/// Operators of both partners, as (name, partner, token).
const OPERATORS: [(&str, &str, &str); 2] = [
    ("hetal", "sabarmati", "demo-hetal"),
    ("ante", "uzarija", "demo-ante"),
];

/// Time between reporting not ready and refusing callers. It is short because the demo has no
/// load balancer that must notice the change first.
const DRAIN_NOTICE: std::time::Duration = std::time::Duration::from_millis(100);

/// Returns the tokens of the operators by name.
pub(crate) fn operator_tokens() -> IndexMap<SmolStr, SmolStr> {
    OPERATORS
        .iter()
        .map(|(name, _, token)| ((*name).into(), (*token).into()))
        .collect()
}

/// Returns the settings of one node.
pub(crate) fn node_settings(
    plan: &Plan,
    node: &Endpoint,
    addresses: Addresses,
    platform: SmolStr,
    dial: IndexMap<SmolStr, SmolStr>,
) -> NodeSettings {
    let demo_secret = |text: &str| SecretSource::Demo(text.into());
    let credential = Credential {
        user: "siskinhook".into(),
        password: demo_secret("siskinhook"),
    };
    let operators = OPERATORS.iter().map(|(name, partner, token)| {
        let account = OperatorAccount {
            partner: (*partner).into(),
            token: demo_secret(token),
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
        secret: demo_secret("demo-fleet-secret"),
        callers: IndexMap::from([(CALLER_USER.into(), demo_secret(CALLER_PASSWORD))]),
        credentials: IndexMap::from([(TARGET_CREDENTIALS.into(), credential)]),
        operators: operators.collect(),
        failover: Failover::default(),
        fleet: Fleet::default(),
        catalogue: CatalogueSettings::default(),
        requests: Requests::default(),
        drain: Drain {
            notice: DRAIN_NOTICE,
            ..Drain::default()
        },
        log: LogSettings::default(),
    }
}
