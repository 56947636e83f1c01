#!/bin/sh
# Builds the stand-ins of the scripts, which use the standard library only.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review
exec rustc --edition 2024 -O review/standin/main.rs -o target/review/standin
