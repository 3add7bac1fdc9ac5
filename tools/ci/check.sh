#!/usr/bin/env bash
# Everything that CI checks; contributors run the same.
set -euo pipefail
cd "$(dirname "$0")/../.."
bash tools/ci/install.sh
cargo fmt --all --check
cargo clippy --locked --workspace --all-targets -- --deny warnings
RUSTDOCFLAGS="--deny warnings" cargo doc --locked --workspace --no-deps --quiet
cargo test --locked --workspace
bash tools/ci/experiments.sh
