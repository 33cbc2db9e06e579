//! Starts and stops the node's owners and group monitors after changes of catalogue or fleet.

use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};
use siskinhook_types::{
    Catalogue, DatabaseId, FleetView, Links, NodeId, Platform, Server, ServerId, Targets,
};
use tokio::sync::watch;

use crate::{
    core::{Core, Route, View, build_routes},
    engine::Inner,
    group::Group,
    owner::Owner,
};

/// Owners and group monitors that this node should run.
struct Plan {
    /// Servers that this node owns.
    owned: IndexMap<ServerId, (Server, Arc<Route>)>,
    /// Groups that this node monitors, with its rank and the number of nodes that monitor the
    /// group.
    groups: IndexMap<DatabaseId, (Arc<Route>, (u32, usize))>,
}

/// Applies every change of catalogue or fleet until the engine stops, then retires all owners.
pub async fn run<T: Targets, L: Links, P: Platform>(
    inner: Arc<Inner<T, L, P>>,
    mut catalogue: watch::Receiver<Arc<Catalogue>>,
    mut fleet: watch::Receiver<Arc<FleetView>>,
) {
    let stop = inner.stop.clone();
    loop {
        let entries = catalogue.borrow_and_update().clone();
        let members = fleet.borrow_and_update().clone();
        apply_view(&inner, &entries, &members);
        tokio::select! {
            biased;
            () = stop.cancelled() => break,
            changed = catalogue.changed() => if changed.is_err() { stop.cancelled().await; },
            changed = fleet.changed() => if changed.is_err() { stop.cancelled().await; },
        }
        if stop.is_cancelled() {
            break;
        }
    }
    for owner in std::mem::take(&mut *inner.core.owners()).into_values() {
        owner.retire();
    }
    inner.core.groups().clear();
}

fn apply_view<T: Targets, L: Links, P: Platform>(
    inner: &Inner<T, L, P>,
    catalogue: &Catalogue,
    fleet: &Arc<FleetView>,
) {
    let core = &inner.core;
    let routes = Arc::new(build_routes(catalogue));
    core.set_view(View {
        routes: routes.clone(),
        fleet: fleet.clone(),
    });
    let plan = make_plan(core, &routes, fleet);
    apply_groups(core, &inner.platform, &plan);
    apply_owners(core, &plan);
    core.changes.send_modify(|version| *version += 1);
}

fn make_plan<T: Targets>(
    core: &Core<T>,
    routes: &IndexMap<DatabaseId, Arc<Route>>,
    fleet: &Arc<FleetView>,
) -> Plan {
    let local = &core.identity.node;
    let mut plan = Plan {
        owned: IndexMap::new(),
        groups: IndexMap::new(),
    };
    for (database, route) in routes {
        let mut watchers: IndexSet<NodeId> = IndexSet::new();
        for server in &route.servers {
            let Some(owner) = core.owner_cache.owner(fleet, server) else {
                continue;
            };
            if owner == *local && siskinhook_fleet::owns(fleet, server) {
                plan.owned
                    .insert(server.name.clone(), (server.clone(), route.clone()));
            }
            watchers.insert(owner);
        }
        if let Some(rank) = watchers.get_index_of(local) {
            let rank = u32::try_from(rank).unwrap_or(u32::MAX);
            let ranking = (rank, watchers.len());
            plan.groups
                .insert(database.clone(), (route.clone(), ranking));
        }
    }
    plan
}

fn apply_groups<T: Targets, P: Platform>(core: &Arc<Core<T>>, platform: &P, plan: &Plan) {
    let mut groups = core.groups();
    groups.retain(|database, _| plan.groups.contains_key(database));
    for (database, (route, ranking)) in &plan.groups {
        let unchanged = groups
            .get(database)
            .filter(|group| group.serves(&route.servers));
        if let Some(group) = unchanged {
            group.update(&route.servers, ranking.0, ranking.1);
            continue;
        }
        let group = Group::start(core, platform.clone(), database, &route.servers, *ranking);
        groups.insert(database.clone(), group);
    }
}

fn apply_owners<T: Targets>(core: &Arc<Core<T>>, plan: &Plan) {
    let groups = core.groups().clone();
    let mut owners = core.owners();
    owners.retain(|name, owner| {
        let keep = plan.owned.get(name).is_some_and(|(server, route)| {
            let group = groups.get(&route.database);
            owner.server.address == server.address
                && owner.limits == route.limits
                && group.is_some_and(|group| Arc::ptr_eq(group, &owner.group))
        });
        if !keep {
            owner.retire();
        }
        keep
    });
    for (name, (server, route)) in &plan.owned {
        let Some(group) = groups.get(&route.database) else {
            continue;
        };
        if let Some(owner) = owners.get(name) {
            owner.set_leaving(server.leaving);
        } else {
            owners.insert(
                name.clone(),
                Owner::start(core, server, &route.limits, group),
            );
        }
    }
}
