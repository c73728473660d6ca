#!/usr/bin/env bash
# bench.sh BUILD_DIR SEED [options]: measures the decisions against baselines
# and writes BUILD_DIR/bench/report.csv.  --seeds N runs N seeds from SEED on
# and prints the median and the worst of each figure.
set -euo pipefail
cd "$(dirname "$0")/.."
dir=$1
seed=${2:-1}
shift 2 || shift $#
mkdir -p "$dir/bench"
"$dir/packages/bench/dotterelbend-bench" --seed "$seed" \
  --report "$dir/bench/report.csv" "$@" | tee "$dir/bench/report.txt"
