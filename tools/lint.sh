#!/usr/bin/env bash
# Checks format and lint of the given files, or of the whole tree.
set -euo pipefail
cd "$(dirname "$0")/.."
build="${BUILD_DIR:-build}"
if (($#)); then
    files=("$@")
else
    mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cpp' '*.hpp')
fi
clang-format --dry-run --Werror "${files[@]}"
sources=()
for file in "${files[@]}"; do
    [[ "$file" == *.cpp ]] && sources+=("$file")
done
((${#sources[@]})) || exit 0
printf '%s\0' "${sources[@]}" | xargs -0 -n 1 -P "$(nproc)" clang-tidy --quiet -p "$build" 2>/dev/null
echo "lint: ${#files[@]} files clean"
