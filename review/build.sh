#!/bin/sh
# Builds the stand-ins of the script cases, with the standard library alone: target/review/stand.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/stand review/stand/main.rs
