#!/usr/bin/env bash
# Runs clang-format and clang-tidy on the given files, or on the whole tree. Skips clang-tidy for files
# that passed before with the same content, project headers and lint rules.
set -euo pipefail
cd "$(dirname "$0")/.."
build="${BUILD_DIR:-build}"
if (($#)); then
    files=("$@")
else
    mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cpp' '*.hpp')
fi
clang-format --dry-run --Werror "${files[@]}"

export build
export clean_folder="$build/lint-clean"
mkdir -p "$clean_folder"
ninja -C "$build" -t deps >"$build/lint-deps"

lint_one() {
    local source="$1" key
    key="$(
        {
            awk -v source="/$source" '
                /^[^ ].*: #deps/ { object = $1; inside = index(object, source ".o:") > 0 }
                inside && /^ / { print $1 }' "$build/lint-deps" |
                sed "s|^\.\./||" | grep "^$PWD/\|^[^/]" | sort -u | xargs -r cat 2>/dev/null
            cat "$source" .clang-tidy
        } | sha256sum | cut -d ' ' -f 1
    )"
    [ -f "$clean_folder/$key" ] && return 0
    clang-tidy --quiet -p "$build" "$source" 2>/dev/null && touch "$clean_folder/$key"
}
export -f lint_one

sources=()
for file in "${files[@]}"; do
    [[ "$file" == *.cpp ]] && sources+=("${file#"$PWD"/}")
done
((${#sources[@]})) || exit 0
printf '%s\0' "${sources[@]}" | xargs -0 -n 1 -P "$(nproc)" bash -c 'lint_one "$1"' _
echo "lint: ${#files[@]} files clean"
