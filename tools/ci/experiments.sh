#!/usr/bin/env bash
# Runs short experiments with a fixed seed, the demo and the soak; fails if any of
# them violates an invariant. Times are printed but not checked, since they depend on the host.
set -euo pipefail
cd "$(dirname "$0")/../.."
passed=0
for name in failover router_loss at_most_once drain config membership backup; do
    cargo run --locked --quiet --release --example experiment -- "$name" --short --seed 1 --json
    passed=$((passed + 1))
done
cargo run --locked --quiet --release --example demo
cargo build --locked --quiet --release
while read -r seed _; do
    cargo run --locked --quiet --release --example soak -- --seed "$seed" --seconds 8
done < <(grep -v '^#' tools/ci/soak_seeds.txt)
echo "experiments: $passed passed, 0 failed"
