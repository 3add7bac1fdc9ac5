#!/usr/bin/env bash
# Installs build dependencies beyond the Rust toolchain: cmake, which builds nng.
set -euo pipefail
command -v cmake >/dev/null 2>&1 && exit 0
if [ "$(id -u)" -eq 0 ]; then sudo=; else sudo=sudo; fi
$sudo apt-get update -qq
$sudo apt-get install -y -qq cmake
