//! Command line of the experiments.

xflags::xflags! {
    /// Measures the system under faults and load.
    cmd experiment {
        /// Name of the experiment.
        required name: String
        /// Seed of the load and of the faults; 1 if absent.
        optional --seed seed: u64
        /// Print the figures as one JSON object on one line.
        optional --json
        /// Run with a smaller load and fewer faults, as CI does.
        optional --short
    }
}
