#!/bin/sh
# Builds the stand-ins that the scripts of the second review start. Run from anywhere, after the build of
# the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/cases review/stand-ins-2/main.rs
