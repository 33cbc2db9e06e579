//! A fake node with an operator interface and an in-memory platform.

use std::{
    collections::HashMap,
    ffi::OsString,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use indexmap::IndexMap;
use jsonrpsee::server::ServerHandle;
use serde_json::{Value, json};
use siskinhook_catalogue::{AuditLog, CatalogueReader, CatalogueStore};
use siskinhook_operator::{
    Explain, NodeState, NodeStatus, NodeView, OperatorService, Operators, Report, serve,
};
use siskinhook_platform::MemoryPlatform;
use siskinhook_settings::{OperatorAccount, SecretSource};
use siskinhook_types::{Catalogue, FleetView, Member, MemberState, NodeId, Revision};

/// State of the fake node that tests set and inspect.
#[derive(Debug, Default)]
pub struct NodeModel {
    pub catalogue: Catalogue,
    pub cut_off: bool,
    pub draining: HashMap<NodeId, bool>,
    /// Whether every accepted revision is in force on the other node as well.
    pub spread: bool,
}

#[derive(Clone, Debug, Default)]
pub struct FakeNode(pub Arc<Mutex<NodeModel>>);

impl FakeNode {
    pub fn set(&self, change: impl FnOnce(&mut NodeModel)) {
        change(&mut self.0.lock().expect("the lock is not poisoned"));
    }

    fn get<T>(&self, read: impl FnOnce(&NodeModel) -> T) -> T {
        read(&self.0.lock().expect("the lock is not poisoned"))
    }
}

impl NodeView for FakeNode {
    fn status(&self) -> NodeStatus {
        self.get(|model| NodeStatus {
            name: "entry-1".into(),
            region: "guj-west".into(),
            zone: "ahd-a".into(),
            version: "0.1.0".into(),
            state: NodeState::Ready,
            cut_off: model.cut_off,
            heard: if model.cut_off { 42_000 } else { 0 },
            revision: model.catalogue.revision,
        })
    }

    fn fleet(&self) -> FleetView {
        let member = |name: &str, zone: &str, revision| Member {
            name: name.into(),
            region: "guj-west".into(),
            zone: zone.into(),
            peer: "10.1.0.11:7102".into(),
            link: "10.1.0.11:7101".into(),
            state: MemberState::Alive,
            incarnation: 1,
            revision,
        };
        let (revision, spread) = self.get(|m| (m.catalogue.revision, m.spread));
        let behind = if spread { revision } else { 1 };
        let members = [
            member("entry-1", "ahd-a", revision),
            member("entry-2", "vdr-b", behind),
        ];
        FleetView {
            local: "entry-1".into(),
            members: members.into_iter().map(|m| (m.name.clone(), m)).collect(),
        }
    }

    fn catalogue(&self) -> Arc<Catalogue> {
        Arc::new(self.get(|model| model.catalogue.clone()))
    }

    async fn report(&self, report: Report) -> Result<Value, String> {
        Ok(match report {
            Report::Node => json!({
                "servers": [
                    { "server": "shifts-1", "slots": "2/2", "queue": 3, "idle": null },
                    { "server": "shifts-2", "slots": "0/2", "queue": 0, "idle": 4 },
                ],
                "learnt": { "short": "4 ms" },
            }),
            Report::Database(name) if name == "shifts" => {
                json!({
                    "term": 7,
                    "primary": "shifts-1",
                    "servers": {
                        "shifts-1": { "owner": "entry-1", "point": { "term": 7, "position": 90 }, "lag": null },
                        "shifts-2": { "owner": "entry-2", "point": { "term": 7, "position": 88 }, "lag": 2 },
                    },
                    "primary": "shifts-1",
                })
            }
            Report::Database(name) => {
                return Err(format!(
                    "database {name} is not in the catalogue; see catalogue list"
                ));
            }
            Report::Sessions(_) => json!([]),
        })
    }

    async fn drain(&self, node: &NodeId, drain: bool) -> Result<(), String> {
        if node != "entry-2" {
            return Err(format!("node {node} is not known; see siskinctl fleet"));
        }
        self.set(|model| {
            model.draining.insert(node.clone(), drain);
        });
        Ok(())
    }

    async fn explain(&self, question: Explain) -> Result<Value, String> {
        Ok(
            json!({ "database": question.database, "server": "shifts-2", "reason": "fresh replica in the own zone" }),
        )
    }

    fn on_edit_accepted(&self, revision: Revision) {
        self.set(|model| model.catalogue.revision = model.catalogue.revision.max(revision));
    }
}

pub struct Node {
    pub address: SocketAddr,
    pub view: FakeNode,
    pub platform: MemoryPlatform,
    pub audit: AuditLog<MemoryPlatform>,
    _server: ServerHandle,
}

impl Node {
    pub async fn start() -> Self {
        let account = |partner: &str, token: &str| OperatorAccount {
            partner: partner.into(),
            token: SecretSource::Demo(token.into()),
        };
        let accounts = IndexMap::from([
            ("hetal".into(), account("sabarmati", "secret-h")),
            ("ante".into(), account("uzarija", "secret-a")),
        ]);
        let operators = Operators::read(&accounts).expect("demo tokens are readable");
        let platform = MemoryPlatform::default();
        let view = FakeNode::default();
        let audit = AuditLog::new(platform.clone());
        let service = OperatorService::new(
            view.clone(),
            CatalogueStore::new(platform.clone(), 1),
            audit.clone(),
            clock,
        );
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let (address, server) = serve(any, service, operators)
            .await
            .expect("a loopback port is free");
        Self {
            address,
            view,
            platform,
            audit,
            _server: server,
        }
    }

    /// Loads the catalogue of the node from the platform.
    pub async fn pull(&self) {
        let reader = CatalogueReader::new(self.platform.clone());
        let loaded = reader.load().await.expect("the platform is up");
        self.view.set(|model| model.catalogue = loaded.catalogue);
    }
}

fn clock() -> SystemTime {
    // 2026-03-01T06:00:00Z
    UNIX_EPOCH + Duration::from_hours(492_318)
}

/// Runs siskinctl and returns its exit code, standard output and standard error.
pub async fn siskinctl(arguments: &[&str]) -> (u8, String, String) {
    let arguments: Vec<OsString> = arguments.iter().map(Into::into).collect();
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let code = siskinhook_operator::run(arguments, &mut out, &mut err).await;
    let text = |data| String::from_utf8(data).expect("the output is UTF-8");
    (code, text(out), text(err))
}
