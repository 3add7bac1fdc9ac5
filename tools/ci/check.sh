#!/usr/bin/env bash
# Runs all checks of CI; contributors run the same script.
set -euo pipefail
cd "$(dirname "$0")/../.."
bash tools/ci/install.sh
cargo fmt --all --check
cargo clippy --locked --workspace --all-targets -- --deny warnings
RUSTDOCFLAGS="--deny warnings" cargo doc --locked --workspace --no-deps --quiet
cargo test --locked --workspace
bash tools/ci/experiments.sh
