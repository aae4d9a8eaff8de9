#!/usr/bin/env bash
# Builds the stand-ins of the second review (review/4 to review/8): one program of the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/stand-2 review/stand-2/src/main.rs
