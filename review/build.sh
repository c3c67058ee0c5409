#!/usr/bin/env bash
# Builds the stand-ins of the review's cases, without a network. The controllers come from the `build` line
# of `deploy/service.toml`.
set -euo pipefail
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR="$PWD/target/review" cargo build --release --offline --locked \
    --manifest-path review/standins/Cargo.toml
