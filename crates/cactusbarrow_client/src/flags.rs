//! Command-line interface of the operators' client.

use std::net::SocketAddr;
use std::path::PathBuf;

xflags::xflags! {
    /// Operators' client of cactusbarrow.
    cmd cactusbarrow {
        /// Address of the platform's store; 127.0.0.1:8500 if absent.
        optional --store addr: SocketAddr
        /// Print JSON.
        optional --json

        /// Validate documents without contacting the store.
        cmd validate {
            /// YAML files with documents.
            repeated files: PathBuf
        }
        /// Show what applying documents would change.
        cmd plan {
            /// YAML files with documents.
            repeated files: PathBuf
            /// Object to delete, as kind/name; may be repeated.
            repeated --delete key: String
        }
        /// Commit documents to the configuration in the store.
        cmd apply {
            /// YAML files with documents.
            repeated files: PathBuf
            /// Object to delete, as kind/name; may be repeated.
            repeated --delete key: String
            /// ID of the operation; reuse it to retry safely. Random if absent.
            optional --operation id: String
            /// Revision on which the change is based; the current one if absent.
            optional --expected-revision revision: u64
        }
        /// Show all objects of the current configuration, or one of them.
        cmd get {
            /// Object, as kind/name.
            optional key: String
        }
        /// Show the current revision of the store, and the state of processes.
        cmd status {
            /// Admin address of a process; may be repeated.
            repeated --process addr: SocketAddr
        }
        /// Stop sending new work to a backend server.
        cmd drain {
            /// Name of the backend server.
            required name: String
            /// ID of the operation; reuse it to retry safely. Random if absent.
            optional --operation id: String
        }
        /// Resume sending new work to a backend server.
        cmd undrain {
            /// Name of the backend server.
            required name: String
            /// ID of the operation; reuse it to retry safely. Random if absent.
            optional --operation id: String
        }
        /// Show whether an operation was accepted.
        cmd operation {
            /// ID of the operation.
            required id: String
        }
        /// Show what happened to one request, from the log lines of gateways.
        cmd explain {
            /// ID of the request.
            required request_id: String
            /// Log files; standard input if absent.
            repeated files: PathBuf
        }
        /// Print the JSON Schema of the documents.
        cmd schema {}
    }
}
