//! Command-line interface of the daemon.

use std::path::PathBuf;

xflags::xflags! {
    /// Daemon of cactusbarrow.
    cmd cactusbarrowd {
        /// Run a router on an entry host.
        cmd router {
            /// YAML file with the router's settings.
            required --settings file: PathBuf
            /// Validate the settings and exit.
            optional --check
        }
        /// Run an agent beside a backend server.
        cmd agent {
            /// YAML file with the agent's settings.
            required --settings file: PathBuf
            /// Validate the settings and exit.
            optional --check
        }
        /// Run a gateway on an entry host of the platform.
        cmd gateway {
            /// YAML file with the gateway's settings; defaults to $CACTUSBARROW_CONFIG.
            optional --settings file: PathBuf
            /// Validate the settings and exit.
            optional --check
        }
    }
}
