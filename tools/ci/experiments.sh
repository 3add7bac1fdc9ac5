#!/usr/bin/env bash
# Short runs of the experiments with a fixed seed; fails if a count that must hold does not.
# Times are printed and not judged: they depend on the machine.
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
