#!/usr/bin/env bash
# run.sh [SECONDS]: builds the fuzz target with clang and runs it for a
# bounded time.  Input that fails is left in the work folder that it prints.
set -euo pipefail
cd "$(dirname "$0")/../../.."
work=$(mktemp -d)
mkdir -p "$work/corpus"
cflags=$(pkg-config --cflags glib-2.0 libevent msgpack libxxhash)
libs=$(pkg-config --libs glib-2.0 libevent msgpack libxxhash)
for c in packages/base/{al,er,st}.c packages/wire/{fr,ms}.c; do
  clang -std=gnu11 -D_GNU_SOURCE -g -O1 -fsanitize=fuzzer-no-link,address,undefined \
    -Ipackages/base -Ipackages/wire $cflags -c "$c" -o "$work/$(basename "$c").o"
done
clang++ -std=c++17 -g -O1 -fsanitize=fuzzer,address,undefined -Ipackages/base \
  -Ipackages/wire $cflags packages/wire/fuzz/ms_fuzz.cc "$work"/*.o $libs -o "$work/ms_fuzz"
echo "work folder: $work"
"$work/ms_fuzz" -max_total_time="${1:-60}" -max_len=4096 -timeout=5 -use_value_profile=1 \
  -artifact_prefix="$work/" "$work/corpus"
