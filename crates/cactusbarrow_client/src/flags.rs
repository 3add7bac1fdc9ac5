//! Command line of the operators' client.

use std::net::SocketAddr;
use std::path::PathBuf;

xflags::xflags! {
    /// Operators' client of cactusbarrow.
    cmd cactusbarrow {
        /// Address of the platform's store; 127.0.0.1:8500 if absent.
        optional --store addr: SocketAddr
        /// Print JSON.
        optional --json

        /// Check documents on their own, without the store.
        cmd validate {
            /// Document files in YAML.
            repeated files: PathBuf
        }
        /// Show what applying documents would change.
        cmd plan {
            /// Document files in YAML.
            repeated files: PathBuf
            /// Object to delete, as kind/name; may be repeated.
            repeated --delete key: String
        }
        /// Bring documents into force.
        cmd apply {
            /// Document files in YAML.
            repeated files: PathBuf
            /// Object to delete, as kind/name; may be repeated.
            repeated --delete key: String
            /// Name of the operation; use it again to retry. Drawn at random if absent.
            optional --operation id: String
            /// Revision that the change was made from; the one in force if absent.
            optional --expected-revision revision: u64
        }
        /// Show the objects in force, or one of them.
        cmd get {
            /// Object, as kind/name.
            optional key: String
        }
        /// Show the revision in force, in the store and in processes.
        cmd status {
            /// Admin address of a process; may be repeated.
            repeated --process addr: SocketAddr
        }
        /// Give a backend server no new work.
        cmd drain {
            /// Name of the backend server.
            required name: String
            /// Name of the operation; use it again to retry.
            optional --operation id: String
        }
        /// Give a backend server new work again.
        cmd undrain {
            /// Name of the backend server.
            required name: String
            /// Name of the operation; use it again to retry.
            optional --operation id: String
        }
        /// Show whether an operation was accepted.
        cmd operation {
            /// Name of the operation.
            required id: String
        }
        /// Show the course of one request, from log lines of gateways.
        cmd explain {
            /// Id of the request.
            required request_id: String
            /// Log files; standard input if absent.
            repeated files: PathBuf
        }
        /// Print the JSON Schema of the documents.
        cmd schema {}
    }
}
