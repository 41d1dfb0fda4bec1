#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 4 to 8 start. Needs no network and no other package.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/stand-2/Cargo.toml \
    --target-dir target/review-2
