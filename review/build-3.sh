#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15; it needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/harness-3/Cargo.toml \
    --target-dir target/review-3
