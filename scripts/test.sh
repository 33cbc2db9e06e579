#!/usr/bin/env bash
# Runs formatter, linter and tests. Tests listed in KNOWN-RED.txt (lines `test: NAME`) run
# separately: they are expected to fail, are printed, and do not change the result.
set -euo pipefail
cd "$(dirname "$0")/.."
export CARGO_TERM_COLOR=never

cargo fmt --all --check
cargo clippy --workspace --all-targets --quiet -- -D warnings

mapfile -t known < <(grep -oP '^test: \K\S+' KNOWN-RED.txt 2>/dev/null || true)
skip=()
for name in "${known[@]}"; do skip+=(--skip "$name"); done
cargo test --workspace --quiet -- "${skip[@]}"

for name in "${known[@]}"; do
    echo "known failure, see KNOWN-RED.txt: $name"
    if cargo test --workspace --quiet -- "$name" >/dev/null 2>&1; then
        echo "$name passes now; remove it from KNOWN-RED.txt"
    fi
done
