#!/usr/bin/env bash
# Builds the cases' stand-ins: programs of their own on the standard library alone.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for case in foreign memory moved; do
  rustc --edition 2024 -O -A dead_code -o "bin/$case" "src/$case.rs"
done
