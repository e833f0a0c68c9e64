#!/bin/sh
# Builds every stand-in that a case of the second review starts. Run it after the build of deploy/balancer.toml.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
"${RUSTC:-rustc}" --edition 2021 -O -o target/review-2/driver review/standins-2/main.rs
