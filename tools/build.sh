#!/usr/bin/env bash
# build.sh BUILD_DIR [cmake options]: installs what is missing and builds.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/install-deps.sh
dir=$1
shift
[ -f "$dir/build.ninja" ] && [ $# -eq 0 ] || cmake -S . -B "$dir" -G Ninja "$@" >/dev/null
cmake --build "$dir" --parallel
