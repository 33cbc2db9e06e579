//! Detection of valid edits that can interrupt service.

use siskinhook_types::{Database, DatabaseId, Entry};

use crate::check::RESERVED_CONNECTIONS;

/// Returns the effects of an edit that the operator has to confirm, one sentence each.
#[must_use]
pub fn dangerous_effects(before: Option<&Entry>, after: Option<&Entry>) -> Vec<String> {
    let mut effects = Vec::new();
    match (before, after) {
        (Some(before), None) => effects.push(format!(
            "removes entry {} with databases {}; callers of them are refused",
            before.name,
            before
                .databases
                .keys()
                .map(DatabaseId::as_str)
                .collect::<Vec<_>>()
                .join(", ")
        )),
        (before, Some(after)) => {
            connection_effects(before, after, &mut effects);
            database_effects(before, after, &mut effects);
        }
        (None, None) => {}
    }
    effects
}

fn connection_effects(before: Option<&Entry>, after: &Entry, effects: &mut Vec<String>) {
    let new = after.limits.connections;
    let old = before.map(|entry| entry.limits.connections);
    if new > RESERVED_CONNECTIONS || old == Some(new) {
        return;
    }
    effects.push(if new == 0 {
        "sets connections to 0: no server of the entry is used any more".into()
    } else {
        format!(
            "sets connections to {new}: {RESERVED_CONNECTIONS} are reserved for control, so no \
             statement runs"
        )
    });
}

fn database_effects(before: Option<&Entry>, after: &Entry, effects: &mut Vec<String>) {
    let old = |id: &DatabaseId| before.and_then(|entry| entry.databases.get(id));
    for (id, database) in &after.databases {
        let previous = old(id);
        if previous == Some(database) {
            continue;
        }
        let total = database.servers.len();
        let remaining = database.servers.iter().filter(|s| !s.leaving).count();
        if total == 0 {
            effects.push(format!(
                "removes the last server of database {id}: its callers are refused"
            ));
        } else if remaining == 0 {
            effects.push(format!(
                "all servers of database {id} are leaving: it gets no new work"
            ));
        } else if remaining <= total / 2 {
            effects.push(format!(
                "only {remaining} of {total} servers of database {id} stay, which is no majority: \
                 once the leaving ones are gone no write is confirmed"
            ));
        }
        if let Some(previous) = previous
            && total > 0
            && !majorities_overlap(previous, database)
        {
            effects.push(format!(
                "changes the group of database {id} so that a majority may hold none of the \
                 acknowledged writes; add or remove one server per edit, and wait until a new \
                 one has caught up"
            ));
        }
    }
    for id in before.into_iter().flat_map(|entry| entry.databases.keys()) {
        if !after.databases.contains_key(id) {
            effects.push(format!("removes database {id}: its callers are refused"));
        }
    }
}

/// Returns whether every majority of the new group shares a server with every majority of the old
/// group. If not, a new majority may lack acknowledged writes, as these are guaranteed to be on a
/// majority of the old group only.
fn majorities_overlap(old: &Database, new: &Database) -> bool {
    let shared = |a: &Database, b: &Database| {
        a.servers
            .iter()
            .filter(|s| b.servers.iter().any(|other| other.name == s.name))
            .count()
    };
    let common = shared(old, new);
    if old.servers.is_empty() {
        return true;
    }
    let majority = |group: &Database| group.servers.len() / 2 + 1;
    let removed = old.servers.len() - common;
    let added = new.servers.len() - shared(new, old);
    majority(old).saturating_sub(removed) + majority(new).saturating_sub(added) > common
}
