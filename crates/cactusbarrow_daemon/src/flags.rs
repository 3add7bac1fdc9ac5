//! Command line of the daemon.

use std::path::PathBuf;

xflags::xflags! {
    /// Daemon of cactusbarrow.
    cmd cactusbarrowd {
        /// Run a router on an entry host.
        cmd router {
            /// File with the router's settings, in YAML.
            required --settings file: PathBuf
            /// Check the settings and exit.
            optional --check
        }
        /// Run an agent beside a backend server.
        cmd agent {
            /// File with the agent's settings, in YAML.
            required --settings file: PathBuf
            /// Check the settings and exit.
            optional --check
        }
        /// Run a gateway on an entry host of the users' platform.
        cmd gateway {
            /// File with the platform's settings, in YAML; the platform names it if absent.
            optional --settings file: PathBuf
            /// Check the settings and exit.
            optional --check
        }
    }
}
