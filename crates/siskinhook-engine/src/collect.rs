//! Collects reports on a database's group from the owners of its servers, for operators.

use std::time::Duration;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use futures::future::join_all;
use serde_json::{Value, json};
use siskinhook_types::{
    DatabaseId, Freshness, Kind, Link, Links, NodeId, Part, Platform, Request, Server, Statement,
    Targets,
};

use crate::{
    Engine,
    clock::{now, until},
    core::Route,
};

/// Time within which an owner must send its report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

impl<T: Targets, L: Links, P: Platform> Engine<T, L, P> {
    /// Collects reports on a database's group from the owners of its servers and merges them, so
    /// that the row of each server comes from its owner. The rows of owners that do not answer
    /// in time show this node's own view. Returns `None` if the database is not in the catalogue.
    pub async fn collect_report(&self, database: &DatabaseId) -> Option<Value> {
        let route = self.route(database)?;
        let mut collected = json!(self.report().databases.get(database)?);
        let reports = route
            .servers
            .iter()
            .map(|server| self.report_of_owner(&route, server));
        let reports = join_all(reports).await;
        for (server, report) in route.servers.iter().zip(reports) {
            let Some(mut report) = report else { continue };
            let newer = report["term"].as_u64() > collected["term"].as_u64();
            if newer || collected["term"].is_null() {
                for field in ["primary", "term", "anchor_age"] {
                    collected[field] = report[field].take();
                }
            }
            let name = server.name.as_str();
            collected["servers"][name] = report["servers"][name].take();
        }
        Some(collected)
    }

    async fn report_of_owner(&self, route: &Route, server: &Server) -> Option<Value> {
        let owner = self.owner_of(server)?;
        if owner == self.identity().node {
            return Some(json!(self.report().databases.get(&route.database)?));
        }
        until(now() + REPORT_TIMEOUT, self.fetch(&owner, route, server)).await?
    }

    async fn fetch(&self, owner: &NodeId, route: &Route, server: &Server) -> Option<Value> {
        let mut link = self.links().open(owner).await.ok()?;
        let request = Request {
            database: route.database.clone(),
            server: server.name.clone(),
            caller: self.identity().node.clone(),
            session: self.identity().node.clone(),
            kind: Kind::Report,
            statement: Statement::simple(""),
            freshness: Freshness::default(),
            class: route.class,
            deadline: now() + REPORT_TIMEOUT,
            id: None,
        };
        link.start(request).await.ok()?;
        let mut report = None;
        loop {
            match link.next().await.ok()? {
                Part::Row { data, .. } => report = decode(data),
                Part::Done { .. } => return report,
                Part::Parameters(_) | Part::Columns(_) => {}
            }
        }
    }
}

/// Encodes a report as a row with a single text field.
pub fn encode(report: &Value) -> Part {
    let text = report.to_string();
    let mut data = BytesMut::with_capacity(4 + text.len());
    data.put_i32(i32::try_from(text.len()).unwrap_or(i32::MAX));
    data.put_slice(text.as_bytes());
    Part::Row {
        fields: 1,
        data: data.freeze(),
    }
}

fn decode(mut data: Bytes) -> Option<Value> {
    if data.remaining() < 4 {
        return None;
    }
    let length = usize::try_from(data.get_i32()).ok()?;
    serde_json::from_slice(data.get(..length)?).ok()
}
