#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/standin/*.cc; do
    g++ -std=c++20 -O2 -Wall -Wextra -pthread -o "target/review/$(basename "$source" .cc)" "$source"
done
