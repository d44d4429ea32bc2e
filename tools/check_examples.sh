#!/usr/bin/env bash
# Checks that the configuration texts and settings of all examples have no findings.
set -euo pipefail
build="$(cd "${1:-build}" && pwd)"
cd "$(dirname "$0")/.."
for example in frigoporto kaldmaa; do
    folder="$build/examples/$example"
    rm -rf "$folder"
    tools/make_settings.sh "$example" "$folder"
    [ "$(find "$folder" -name '*.yaml' | wc -l)" -eq 18 ]
    "$build/bin/savorywheel-check" --text "examples/$example/mesh.yaml" --settings "$folder"/*.yaml
done
