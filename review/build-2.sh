#!/usr/bin/env bash
# Builds the stand-ins that the second review's scripts start, into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/standin-2/Cargo.toml --target-dir target/review-2
