#!/usr/bin/env bash
# Builds the stand-ins and scripts of cases 6 to 10. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -C opt-level=1 -D warnings -o target/review-2/kit review/kit-2/main.rs
