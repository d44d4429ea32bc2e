#!/usr/bin/env bash
# Measures a mesh of processes on loopback; prints a table and writes JSON and an HTML page.
# Usage: tools/measure.sh [--deployment frigoporto|kaldmaa] [--nodes N] [--seconds S] [--out DIR]
#        [--quick]; `savorywheel-load measure --help` lists all options.
set -euo pipefail
folder="$(cd "$(dirname "$0")/.." && pwd)"
exec "${BUILD_DIR:-$folder/build}/bin/savorywheel-load" measure "$@"
