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
# Seeds that KNOWN-RED.txt lists run and are reported; they may break only the invariant listed there.
while read -r seed _; do
    invariant=$(sed -n "s/^soak seed: $seed: //p" KNOWN-RED.txt)
    soak=(cargo run --locked --quiet --release --example soak -- --seed "$seed" --seconds 8)
    if [ -z "$invariant" ]; then
        "${soak[@]}"
    elif output=$("${soak[@]}" 2>&1); then
        echo "known red: soak seed $seed passes now"
    else
        echo "known red: soak seed $seed fails"
        echo "$output"
        # The soak prints the first violations only, so all of them must be seen.
        total=$(sed -n "s/^seed $seed: \([0-9]*\) broken promises.*/\1/p" <<<"$output")
        listed=$(grep -cF "  $invariant: " <<<"$output")
        if [ "$total" != "$listed" ]; then
            exit 1
        fi
    fi
done < <(grep -v '^#' tools/ci/soak_seeds.txt)
cargo run --locked --quiet --release --example soak -- --scenarios stops --injectors 0 --seed 36 --seconds 16
cargo run --locked --quiet --release --example soak -- --scenarios single-stops --injectors 0 --seed 39 --seconds 16
echo "experiments: $passed passed, 0 failed"
