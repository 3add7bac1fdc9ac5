#!/usr/bin/env bash
# Runs all checks of CI; contributors run the same script.
set -euo pipefail
cd "$(dirname "$0")/../.."
bash tools/ci/install.sh
cargo fmt --all --check
cargo clippy --locked --workspace --all-targets -- --deny warnings
RUSTDOCFLAGS="--deny warnings" cargo doc --locked --workspace --no-deps --quiet
# Tests that KNOWN-RED.txt lists run last and are reported, but do not fail the run.
known_red=()
if [ -f KNOWN-RED.txt ]; then
    mapfile -t known_red < <(sed -n 's/^test: //p' KNOWN-RED.txt)
fi
skip=()
for name in "${known_red[@]}"; do
    skip+=(--skip "$name")
done
cargo test --locked --workspace --no-fail-fast -- --exact "${skip[@]}"
for name in "${known_red[@]}"; do
    # Only the test targets that define the test are run.
    targets=()
    while read -r file; do
        targets+=(--test "$(basename "$file" .rs)")
    done < <(grep -lE "^(async )?fn $name\(" tests/*.rs {crates,platform}/*/tests/*.rs platform/tests/*.rs)
    if [ ${#targets[@]} -eq 0 ]; then
        echo "KNOWN-RED.txt names a test that does not exist: $name"
        exit 1
    fi
    if output=$(cargo test --locked --workspace "${targets[@]}" -- --exact "$name" 2>&1); then
        state="passes now"
    else
        state=fails
    fi
    if ! grep -q "^test .*$name" <<<"$output"; then
        echo "KNOWN-RED.txt names a test that does not exist: $name"
        exit 1
    fi
    echo "known red: $name $state"
    grep -A1 "panicked at" <<<"$output" || true
done
bash tools/ci/experiments.sh
