#!/bin/sh
# Builds the stand-ins and the runner of the cases 11 to 15, without a network.
cd "$(dirname "$0")/standins-3" || exit 2
CARGO_TARGET_DIR=../../target/review-3 cargo build --release --offline --locked
