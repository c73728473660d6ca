#!/usr/bin/env bash
# build-2.sh: builds the programs of the cases of the second review, into
# review/N/target/.
set -euo pipefail
cd "$(dirname "$0")/.."
flags=$(pkg-config --cflags --libs glib-2.0 jansson)
for source in review/{6,7,8,9,10}/*.c; do
  [ -f "$source" ] || continue
  out=$(dirname "$source")/target
  mkdir -p "$out"
  # shellcheck disable=SC2086
  gcc -std=gnu11 -O2 -g -Wall -Wextra -o "$out/case" "$source" \
    review/common-2/rig.c $flags -pthread
done
