//! Command line of the soak.

use std::path::PathBuf;

xflags::xflags! {
    /// Runs gateways as processes, injects faults from outside and checks invariants.
    cmd soak {
        /// First seed; 1 if absent.
        optional --seed seed: u64
        /// Number of seeds, one after the other; 1 if absent.
        optional --seeds seeds: u64
        /// Seconds of faults with each seed; 12 if absent.
        optional --seconds seconds: u64
        /// Number of gateways, 300 at most; 3 if absent.
        optional --gateways gateways: usize
        /// Number of engines; 6 if absent.
        optional --engines engines: usize
        /// Number of injectors, whose faults overlap; drawn from the seed if absent.
        optional --injectors injectors: u64
        /// Scenarios to play, separated by commas, instead of what the seed draws; `none` for none.
        optional --scenarios names: String
        /// Executable of the daemon; the one that was built beside this program if absent.
        optional --daemon path: PathBuf
        /// Number of callers; 16 if absent.
        optional --callers callers: usize
    }
}
