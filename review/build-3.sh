#!/usr/bin/env bash
# Builds the stand-ins of the third review, after the build of the deploy file; needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standins-3/Cargo.toml
