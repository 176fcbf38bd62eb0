#!/bin/sh
# Builds the stand-ins of cases 4 to 8: target/review-2/standin. Needs only the Rust compiler.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/standin review/tool-2/main.rs
