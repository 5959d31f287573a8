#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review cases 6 to 10 start. Needs no network beyond what
# the build of the deploy file has fetched.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --manifest-path review/standins-2/Cargo.toml --target-dir target/review-2
