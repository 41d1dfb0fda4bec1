#!/bin/sh
# Builds the stand-ins that the scripts start. It needs no network.
set -eu
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR=target/review cargo build --release --offline --manifest-path review/stand/Cargo.toml
