//! Settings that every property test shares.

use proptest::test_runner::{Config, RngSeed};

/// Returns a configuration that runs the same cases every time.
pub(crate) fn fixed_seed_config(cases: u32) -> Config {
    Config {
        cases,
        rng_seed: RngSeed::Fixed(0x0cac_7050),
        failure_persistence: None,
        ..Config::default()
    }
}
