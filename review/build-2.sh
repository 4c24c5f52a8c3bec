#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review. They need the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/standins-2/Cargo.toml --target-dir target/review-2
