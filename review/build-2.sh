#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 6. Needs no network. The program itself is built by the
# deploy file's build line.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
CARGO_TARGET_DIR=../../target/review-2 cargo build --release --offline
