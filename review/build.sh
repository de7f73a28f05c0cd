#!/usr/bin/env bash
# Builds the stand-ins and callers that the scripts of the review start: one program, std only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/kit review/kit/main.rs
