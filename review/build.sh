#!/bin/bash
# Builds the stand-ins of the review's scripts. They use the standard library only.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/harness/Cargo.toml --target-dir target/review
