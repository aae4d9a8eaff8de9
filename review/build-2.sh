#!/bin/sh
# Builds the stand-ins of the second review (review/4 to review/8), with the standard library alone: target/review-2/stand-2.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/stand-2 review/stand-2/src/main.rs
