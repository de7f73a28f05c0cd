#!/usr/bin/env bash
# Builds the stand-ins and callers of the cases 11 to 15. They need the Rust compiler and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/standin review/standin-3/main.rs
