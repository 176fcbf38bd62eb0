#!/bin/sh
# Builds the stand-ins that the scripts start, after the build of the deploy file. Needs nothing but rustc.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
rustc --edition 2024 -O -o target/review-tool review/tool/main.rs
