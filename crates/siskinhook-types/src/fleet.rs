//! The fleet as one node sees it, and the catalogue in force on a node.

use indexmap::IndexMap;
use smol_str::SmolStr;

use crate::{
    Database, DatabaseId, Entry, NodeId, Region, Revision, Server, ServerId, ServiceId, Zone,
    value_type,
};

value_type! {
    /// State of a member as one node sees it.
    #[derive(Copy, Hash)]
    pub enum MemberState {
        /// Answers probes.
        Alive,
        /// Did not answer a probe and has not refuted the suspicion yet.
        Suspect,
        /// Announced that it is leaving; still serves what it has.
        Leaving,
        /// Held to be gone.
        Dead,
    }

    /// A node of the fleet.
    pub struct Member {
        /// Name of the node.
        pub name: NodeId,
        /// Region it runs in.
        pub region: Region,
        /// Zone it runs in.
        pub zone: Zone,
        /// Address of its control interface (jsonrpsee) as `ip:port`.
        pub peer: SmolStr,
        /// Address that accepts links as `ip:port`.
        pub link: SmolStr,
        /// State.
        pub state: MemberState,
        /// Incarnation; the member itself raises it to refute a suspicion.
        pub incarnation: u64,
        /// Catalogue revision in force on it when last heard.
        pub revision: Revision,
    }

    /// All members that a node knows.
    pub struct FleetView {
        /// The node whose view this is.
        pub local: NodeId,
        /// Members by name, the local node included.
        pub members: IndexMap<NodeId, Member>,
    }

    /// The catalogue at one revision.
    #[derive(Default)]
    pub struct Catalogue {
        /// Revision; 0 is the empty catalogue.
        pub revision: Revision,
        /// Entries by service name.
        pub entries: IndexMap<ServiceId, Entry>,
    }

    /// One accepted change of the catalogue: revision `revision` follows from the one before.
    pub struct Change {
        /// Revision that the change makes.
        pub revision: Revision,
        /// Id of the edit, chosen by the operator's tool.
        pub edit: SmolStr,
        /// Service that the change concerns.
        pub service: ServiceId,
        /// The new entry; `None` removes it.
        pub entry: Option<Entry>,
    }
}

impl Catalogue {
    /// Applies a change if it is the next revision; returns whether it was applied.
    pub fn apply(&mut self, change: &Change) -> bool {
        if change.revision != self.revision + 1 {
            return false;
        }
        match &change.entry {
            Some(entry) => {
                self.entries.insert(change.service.clone(), entry.clone());
            }
            None => {
                self.entries.shift_remove(&change.service);
            }
        }
        self.revision = change.revision;
        true
    }

    /// Returns the entry and the group that serve a database.
    #[must_use]
    pub fn database(&self, name: &str) -> Option<(&Entry, &Database)> {
        self.entries
            .values()
            .find_map(|entry| Some((entry, entry.databases.get(name)?)))
    }

    /// Returns the database and record of a server.
    #[must_use]
    pub fn server(&self, name: &ServerId) -> Option<(&DatabaseId, &Server)> {
        self.entries
            .values()
            .flat_map(|entry| &entry.databases)
            .find_map(|(id, database)| {
                let server = database.servers.iter().find(|s| s.name == *name)?;
                Some((id, server))
            })
    }
}
