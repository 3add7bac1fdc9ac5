#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, without a network.
set -eu
cd "$(dirname "$0")/.."
exec cargo build --release --locked --offline --manifest-path review/standins-2/Cargo.toml \
    --target-dir target/review-2
