//! Command line of `siskinhook`.

use std::path::PathBuf;

xflags::xflags! {
    /// A proxy between callers and replicated databases.
    cmd siskinhook {
        /// Run a node until it is told to stop (SIGINT or SIGTERM drains it).
        cmd run {
            /// Settings file: JSON with comments.
            required --settings settings: PathBuf
        }
        /// Run a node on the users' platform until SIGTERM drains it.
        cmd hosted {
            /// Settings file: JSON with comments, as made from `deploy/node.jsonc`.
            required --settings settings: PathBuf
        }
        /// Check a settings file and print what is wrong with line and column.
        cmd check {
            /// Settings file: JSON with comments.
            required --settings settings: PathBuf
        }
        /// Run a whole site with stand-ins and nodes in this process.
        cmd demo {
            /// Site: shiftdesk (default) or uze.
            optional --site site: String
            /// Seed of the stand-ins' random choices.
            optional --seed seed: u64
            /// Log level on standard error: off, error, warn (default), info, debug or trace.
            optional --log log: String
            /// Print one JSON object with all addresses when ready.
            optional --json
        }
        /// Run the stand-ins of a site only, for nodes started by `siskinhook run`.
        cmd standin {
            /// Site: shiftdesk (default) or uze.
            optional --site site: String
            /// Seed of the stand-ins' random choices.
            optional --seed seed: u64
        }
    }
}
