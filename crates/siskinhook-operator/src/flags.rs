//! Command line arguments of siskinctl.

use std::path::PathBuf;

xflags::xflags! {
    /// Operates siskinhook through any one live node.
    ///
    /// Environment: SISKINCTL_NODES (addresses separated by commas), SISKINCTL_OPERATOR,
    /// SISKINCTL_TOKEN.
    ///
    /// Exit codes: 0 done; 1 failed; 2 wrong arguments; 3 not accepted (faults, confirmation
    /// needed, other partner); 4 conflict, the entry changed; 5 no node or platform reachable,
    /// nothing done; 6 outcome unknown, repeat with the same --id; 7 wrong operator or token;
    /// 8 wait timed out.
    cmd siskinctl {
        /// Address ip:port of a node's operator interface; repeat it to name more, which are
        /// tried in this order.
        repeated --node address: String
        /// Name of the operator.
        optional --operator name: String
        /// File with the operator's token.
        optional --token-file path: PathBuf
        /// Writes JSON for programs.
        optional --json

        /// Shows and edits the catalogue.
        cmd catalogue {
            /// Lists the entries in force on the node.
            cmd list {}
            /// Shows an accepted entry as a text to edit; its first line states the base revision.
            cmd show {
                /// Service.
                required service: String
            }
            /// Proposes an entry from a file, or the removal of one.
            cmd edit {
                /// File with the entry in JSON with comments.
                optional file: PathBuf
                /// Removes the entry of this service instead.
                optional --remove service: String
                /// Revision of the entry that the edit is based on, when the file does not state it.
                optional --base revision: u64
                /// Id of the edit; state the same one to repeat an edit whose outcome is unknown.
                optional --id id: String
                /// Reason for the audit trail.
                optional --reason text: String
                /// Confirms effects that can interrupt service.
                optional --confirm
                /// Waits until the edit is in force on all live nodes.
                optional --wait
            }
            /// Checks a file without contacting a node.
            cmd validate {
                /// File with the entry.
                required file: PathBuf
            }
            /// Shows the difference between a file and the accepted entry, and dangerous effects.
            cmd diff {
                /// File with the entry.
                required file: PathBuf
            }
            /// Lists the accepted edits of an entry, newest first.
            cmd history {
                /// Service.
                required service: String
                /// Largest number of edits.
                optional --limit number: usize
            }
            /// Undoes the change of a revision by a new one.
            cmd undo {
                /// Revision.
                required revision: u64
                /// Id of the edit; state the same one to repeat an edit whose outcome is unknown.
                optional --id id: String
                /// Reason for the audit trail.
                optional --reason text: String
                /// Confirms effects that can interrupt service.
                optional --confirm
                /// Waits until the edit is in force on all live nodes.
                optional --wait
            }
            /// Waits until a revision is in force on all live nodes.
            cmd wait {
                /// Revision.
                required revision: u64
                /// Longest wait in seconds; 30 by default.
                optional --timeout seconds: u64
            }
        }
        /// Lists the nodes that the node knows.
        cmd fleet {}
        /// Shows state, servers, queues and pools of the node.
        cmd node {}
        /// Shows a database's group: terms, roles, positions, owners.
        cmd database {
            /// Database.
            required name: String
        }
        /// Lists the sessions of callers on the node.
        cmd session {
            /// Only sessions of this database.
            optional --database name: String
        }
        /// Tells a node to finish its work and leave.
        cmd drain {
            /// Name of the node.
            required name: String
            /// Reason for the audit trail.
            optional --reason text: String
        }
        /// Tells a draining node to serve again.
        cmd undrain {
            /// Name of the node.
            required name: String
            /// Reason for the audit trail.
            optional --reason text: String
        }
        /// Shows the audit trail, newest first.
        cmd audit {
            /// Only records of this entry.
            optional --entry service: String
            /// Only records of this person or node.
            optional --person name: String
            /// Only records since a time (2026-03-01T06:00:00Z) or for a duration (2h, 7days).
            optional --since time: String
            /// Largest number of records; 100 by default.
            optional --limit number: usize
        }
        /// Shows where a statement would go and why, without running it.
        cmd explain {
            /// Database.
            required database: String
            /// Statement.
            required sql: String
            /// Maximum age in milliseconds.
            optional --max-age milliseconds: u64
            /// Causal token of an earlier write.
            optional --token token: String
        }
        /// Runs a demonstration on this machine; see `siskinctl demo help`.
        cmd demo {
            /// Arguments of the demonstration.
            repeated args: String
        }
    }
}
