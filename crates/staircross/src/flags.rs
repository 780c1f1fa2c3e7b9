//! Command-line arguments.

use std::path::PathBuf;

xflags::xflags! {
    /// A query tier over many shards.
    cmd staircross {
        /// Run a node.
        cmd node {
            /// Settings file (TOML).
            required --settings settings: PathBuf
            /// Address for callers, instead of the file's.
            optional --listen listen: String
            /// Address for other nodes, instead of the file's.
            optional --peer-listen peer_listen: String
            /// Zone, instead of the file's.
            optional --zone zone: String
            /// Region, instead of the file's.
            optional --region region: String
            /// Log filter, instead of the file's.
            optional --log log: String
        }
        /// Ask for data: one statement, or interactively when none is given.
        cmd query {
            /// Caller address of a node.
            required --node node: String
            /// Resume this session instead of opening one.
            optional --session session: String
            /// Print JSON, one object a line.
            optional --json
            /// The statement.
            optional statement: String
        }
        /// Look at or change configuration.
        cmd command {
            /// Caller address of a node.
            required --node node: String
            /// Print JSON.
            optional --json
            /// The statement.
            required statement: String
        }
        /// Show a node and the fleet as it sees it.
        cmd status {
            /// Caller address of a node.
            required --node node: String
            /// Print JSON.
            optional --json
        }
        /// Tell one request's way through the log of gateway nodes, with what they believed then.
        cmd explain {
            /// File with lines of one or several nodes.
            required --file file: PathBuf
            /// Id of the request.
            required --request request: String
        }
        /// Take a gateway node's recorded decisions again, and show where they come out otherwise.
        cmd replay {
            /// File that `node.record` of the node's settings named.
            required --file file: PathBuf
            /// Differences shown at the most (20).
            optional --most most: usize
        }
        /// Check settings and service documents before they are used.
        cmd check {
            /// Settings file (TOML).
            optional --settings settings: PathBuf
            /// Service document (JSON).
            optional --document document: PathBuf
        }
    }
}
