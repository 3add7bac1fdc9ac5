#!/usr/bin/env bash
# Installs what the build needs beyond the Rust toolchain: cmake, for nng.
set -euo pipefail
command -v cmake >/dev/null 2>&1 && exit 0
if [ "$(id -u)" -eq 0 ]; then sudo=; else sudo=sudo; fi
$sudo apt-get update -qq
$sudo apt-get install -y -qq cmake
