#!/usr/bin/env bash
# build.sh: builds the stand-ins and the programs of the scripts.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p target
flags=(-std=gnu11 -O2 -g -Wall -Wextra -Wno-format-truncation
  -D_GNU_SOURCE -pthread)
read -r -a libraries <<<"$(pkg-config --cflags --libs glib-2.0 jansson)"
for source in [1-9]/case.c; do
  number=${source%%/*}
  cc "${flags[@]}" -o "target/case-$number" "$source" standins/*.c \
    "${libraries[@]}"
done
