#!/bin/bash
# Builds the stand-ins of the scripts of cases 6 to 10. They use the standard library only.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/harness-2/Cargo.toml --target-dir target/review-2
