#!/bin/bash
# Builds the stand-ins of the second review's scripts, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/cases review/standin-2/main.rs
