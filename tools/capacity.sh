#!/usr/bin/env bash
# capacity.sh BUILD_DIR: measures the cost of decisions against the size of
# the fleet and prints the tables of docs/CAPACITY.md.
set -euo pipefail
cd "$(dirname "$0")/.."
dir=$1
mkdir -p "$dir/bench"
"$dir/packages/bench/dotterelbend-capacity" | tee "$dir/bench/capacity.txt"
