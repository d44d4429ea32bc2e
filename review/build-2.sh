#!/usr/bin/env bash
# Builds the stand-ins and trials of the second review into target/review-2. Needs g++ and
# nlohmann-json3-dev, which the deploy file names.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
jobs=()
for source in review/standins-2/server.cc review/{6,7,8,9,10}/trial.cc; do
    [ -f "$source" ] || continue
    name="$(basename "$(dirname "$source")")"
    [ "$name" = standins-2 ] && name=server || name="trial-$name"
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -I review/standins-2 "$source" -o "target/review-2/$name" &
    jobs+=($!)
done
for job in "${jobs[@]}"; do
    wait "$job"
done
