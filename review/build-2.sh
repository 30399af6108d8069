#!/bin/bash
# Builds the stand-ins of cases 6 to 10 into target/review-2, with the toolchain's own compiler and no package.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/{6,7,8,9,10}/main.rs; do
    [ -e "$source" ] || continue
    case=$(basename "$(dirname "$source")")
    rustc --edition 2024 -O -o "target/review-2/case-$case" "$source"
done
