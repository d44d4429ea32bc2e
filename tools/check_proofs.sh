#!/usr/bin/env bash
# Checks docs/PROOFS.md against ctest: every test that the page names must exist, and every test of a
# suite that starts with proof_ must be on the page.
set -euo pipefail
build="${1:-build}"
page="$(dirname "$0")/../docs/PROOFS.md"
ctest --test-dir "$build" -N | sed -n 's/^ *Test *#[0-9]*: //p' | sort -u >"$build/tests.list"
grep -o '`[a-z_]*\.[a-z0-9_]*\.[a-z0-9_]*`' "$page" | tr -d '`' | sort -u >"$build/proofs.list" || true
missing="$(comm -13 "$build/tests.list" "$build/proofs.list")"
unlisted="$(grep -E '^[a-z_]+\.proof_' "$build/tests.list" | comm -23 - "$build/proofs.list" || true)"
[ -z "$missing" ] || printf 'named in docs/PROOFS.md, unknown to ctest:\n%s\n' "$missing"
[ -z "$unlisted" ] || printf 'proofs that docs/PROOFS.md does not name:\n%s\n' "$unlisted"
[ -z "$missing$unlisted" ]
