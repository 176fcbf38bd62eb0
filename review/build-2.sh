#!/bin/sh
# Builds the stand-ins of cases 4 to 7 into target/review-2. Needs only the Rust compiler. Those of case 5 take some
# files of the first review (review/tool) as they are.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/standin review/tool-2/main.rs
rustc --edition 2024 -O -A dead_code -o target/review-2/foreign review/tool-2/foreign/main.rs
