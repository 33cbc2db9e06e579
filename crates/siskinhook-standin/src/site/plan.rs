//! Sizes and seeded tables of a site.

use std::time::Duration;

use indexmap::IndexMap;
use siskinhook_types::{DatabaseId, PartnerId, Region, ServiceId, Zone};

use crate::{network::Latencies, server::ServerOptions};

/// Sizes and seeded tables of a site.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Region of the site.
    pub region: Region,
    /// Zones of the region.
    pub zones: Vec<Zone>,
    /// Service of the catalogue entry.
    pub service: ServiceId,
    /// Owner of the catalogue entry.
    pub owner: PartnerId,
    /// Databases, with the statements that seed them.
    pub databases: IndexMap<DatabaseId, Vec<String>>,
    /// Number of nodes.
    pub nodes: usize,
    /// Options of each server.
    pub server: ServerOptions,
    /// Latencies of the network.
    pub latencies: Latencies,
}

fn seed(statements: &[&str]) -> Vec<String> {
    let outcome = "CREATE TABLE siskinhook_outcome (request_id text PRIMARY KEY, tag text)";
    statements
        .iter()
        .copied()
        .chain([outcome])
        .map(str::to_owned)
        .collect()
}

impl Plan {
    /// Returns the plan of the Shared Shift Desk as deployed today.
    #[must_use]
    pub fn shiftdesk() -> Self {
        let databases = [
            (
                "shifts",
                seed(&[
                    "CREATE TABLE shifts (id bigint PRIMARY KEY, cafe text NOT NULL, \
                     starts text NOT NULL, claimed_by text)",
                    "INSERT INTO shifts VALUES (1, 'Ahmedabad Law Garden', '06:30', NULL), \
                     (2, 'Vadodara Alkapuri', '07:00', NULL), (3, 'Surat Athwa', '06:45', NULL), \
                     (4, 'Ahmedabad Navrangpura', '07:15', NULL)",
                ]),
            ),
            (
                "claims",
                seed(&[
                    "CREATE TABLE claims (shift_id bigint PRIMARY KEY, barista text NOT NULL)",
                    "INSERT INTO claims VALUES (90, 'meera'), (91, 'kiran')",
                ]),
            ),
            (
                "payroll",
                seed(&[
                    "CREATE TABLE payroll (barista text PRIMARY KEY, amount bigint NOT NULL)",
                    "INSERT INTO payroll VALUES ('meera', 41200), ('kiran', 38750), \
                     ('dhruv', 40100)",
                ]),
            ),
        ];
        Self {
            region: "guj-west".into(),
            zones: ["ahd-a", "vdr-b", "srt-c"].map(Into::into).into(),
            service: "shiftdesk-db".into(),
            owner: "sabarmati".into(),
            databases: databases.map(|(name, seed)| (name.into(), seed)).into(),
            nodes: 8,
            server: ServerOptions::default(),
            latencies: Latencies::default(),
        }
    }

    /// Returns the plan of the head office's connection pooler as deployed today.
    #[must_use]
    pub fn uze() -> Self {
        let databases = [
            (
                "orders",
                seed(&[
                    "CREATE TABLE orders (id bigint PRIMARY KEY, workshop text NOT NULL, \
                     braid text NOT NULL, metres bigint NOT NULL)",
                    "INSERT INTO orders VALUES (1, 'Split', 'eight-strand', 120), \
                     (2, 'Sinj', 'solid', 40), (3, 'Omis', 'twelve-strand', 75)",
                ]),
            ),
            (
                "stock",
                seed(&[
                    "CREATE TABLE stock (spool bigint PRIMARY KEY, fibre text NOT NULL, \
                     metres bigint NOT NULL)",
                    "INSERT INTO stock VALUES (1, 'hemp', 900), (2, 'flax', 1250), \
                     (3, 'polyamide', 3100)",
                ]),
            ),
            (
                "billing",
                seed(&[
                    "CREATE TABLE royalties (invoice text PRIMARY KEY, franchisee text NOT NULL, \
                     amount bigint NOT NULL)",
                    "INSERT INTO royalties VALUES ('2025-12-split', 'Split', 18400), \
                     ('2025-12-sinj', 'Sinj', 9200)",
                ]),
            ),
        ];
        Self {
            region: "hr-jug".into(),
            zones: ["split-a", "split-b", "sinj-a", "omis-a"]
                .map(Into::into)
                .into(),
            service: "uze-core".into(),
            owner: "uzarija".into(),
            databases: databases.map(|(name, seed)| (name.into(), seed)).into(),
            nodes: 8,
            server: ServerOptions {
                connections: 32,
                setup: Duration::from_millis(27),
                ..ServerOptions::default()
            },
            latencies: Latencies::default(),
        }
    }
}
