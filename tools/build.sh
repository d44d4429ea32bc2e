#!/usr/bin/env bash
# Configures and builds into build/ (or $BUILD_DIR) with ccache.
set -euo pipefail
cd "$(dirname "$0")/.."
build="${BUILD_DIR:-build}"
export CCACHE_BASEDIR="$PWD" CCACHE_NOHASHDIR=1
if [ ! -f "$build/build.ninja" ]; then
    cmake -S . -B "$build" -G Ninja -DCMAKE_CXX_COMPILER_LAUNCHER=ccache "$@" >/dev/null
fi
cmake --build "$build"
