//! Fleet membership as seen by one node, and the catalogue that a node has applied.

use indexmap::IndexMap;
use smol_str::SmolStr;

use crate::{
    Database, DatabaseId, Entry, NodeId, Region, Revision, Server, ServerId, ServiceId, Zone,
    value_type,
};

value_type! {
    /// Membership state of a node, as seen by one node.
    #[derive(Copy, Hash)]
    pub enum MemberState {
        /// Answers probes.
        Alive,
        /// Did not answer a probe and has not refuted the suspicion yet.
        Suspect,
        /// Announced that it is leaving; continues to serve the work that it has.
        Leaving,
        /// Considered to have failed or to have left the fleet.
        Dead,
    }

    /// A node of the fleet.
    pub struct Member {
        /// Name of the node.
        pub name: NodeId,
        /// Region that the node runs in.
        pub region: Region,
        /// Availability zone that the node runs in.
        pub zone: Zone,
        /// Address of its control interface (JSON-RPC) as `ip:port`.
        pub peer: SmolStr,
        /// Address that accepts links from other nodes, as `ip:port`.
        pub link: SmolStr,
        /// Membership state.
        pub state: MemberState,
        /// Incarnation number. The member itself raises it to refute a suspicion.
        pub incarnation: u64,
        /// Catalogue revision that the member last reported as applied.
        pub revision: Revision,
    }

    /// All members that a node knows.
    pub struct FleetView {
        /// Name of the node that holds this view.
        pub local: NodeId,
        /// Members by name, the local node included.
        pub members: IndexMap<NodeId, Member>,
    }

    /// The catalogue at one revision.
    #[derive(Default)]
    pub struct Catalogue {
        /// Revision number; 0 for the empty catalogue.
        pub revision: Revision,
        /// Entries by service name.
        pub entries: IndexMap<ServiceId, Entry>,
    }

    /// An accepted change of the catalogue, which produces `revision` from the preceding revision.
    pub struct Change {
        /// Revision that the change produces.
        pub revision: Revision,
        /// Id of the edit, chosen by the operator's tool.
        pub edit: SmolStr,
        /// Service whose entry changes.
        pub service: ServiceId,
        /// The new entry; `None` removes the entry.
        pub entry: Option<Entry>,
    }
}

impl Catalogue {
    /// Applies a change if it produces the next revision; returns whether it was applied.
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

    /// Returns a database and the entry that contains it.
    #[must_use]
    pub fn database(&self, name: &str) -> Option<(&Entry, &Database)> {
        self.entries
            .values()
            .find_map(|entry| Some((entry, entry.databases.get(name)?)))
    }

    /// Returns a server and the name of its database.
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
