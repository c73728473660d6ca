#!/usr/bin/env bash
# model.sh [MODEL.pml...]: checks the models under models/ with Spin.
# Each model is checked as it is (no violation may be found, and the search
# has to be exhaustive) and once per "SEEDED FAULT: NAME" line in it with
# -DNAME (a violation must be found).  Fails as well when there is no model, a
# model has no seeded fault, or a variant does not compile.
set -euo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
root=$PWD
memory_mb=2000
max_depth=200000
bound=""
run_pan () # model define -> 0: no error found, 1: error found, 2: not checked
{
  local start=$SECONDS states depth errors kind
  bound=""
  rm -rf "${work:?}"/*
  if ! (cd "$work" && spin -a ${2:+"-D$2"} "$root/$1" >spin.out 2>&1 \
      && gcc -O1 -DSAFETY -DCOLLAPSE -DMEMLIM=$memory_mb -o pan pan.c \
        >gcc.out 2>&1); then
    echo "$1 ${2:-as designed}: does not compile"
    sed 's/^/  /' "$work/spin.out" "$work/gcc.out" 2>/dev/null | head -20
    return 2
  fi
  (cd "$work" && ./pan -m$max_depth >pan.out 2>&1) || true
  states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' "$work/pan.out")
  depth=$(sed -n 's/.*depth reached \([0-9]*\).*/\1/p' "$work/pan.out")
  errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' "$work/pan.out")
  kind=$(sed -n 's/^pan:1: \(.*\) (at depth.*/\1/p' "$work/pan.out" | head -1)
  printf '%-20s %-28s states %-9s depth %-6s errors %-2s %3d s  %s\n' \
    "$(basename "$1")" "${2:-as designed}" "$states" "$depth" "$errors" \
    $((SECONDS - start)) "$kind"
  bound=$(grep -o 'max search depth too small\|out of memory\|memory limit' \
    "$work/pan.out" | head -1 || true)
  if [ -n "$bound" ]; then
    echo "  bound reached, the search is not exhaustive: $bound"
  fi
  [ -n "$errors" ] || return 2
  [ "$errors" = 0 ] || return 1
}
failed=0
fail ()
{
  echo "  FAILED: $1"
  failed=1
}
shopt -s nullglob
models=("$@")
[ ${#models[@]} -gt 0 ] || models=(models/*.pml)
[ ${#models[@]} -gt 0 ] || fail "there is no model under models/"
for model in "${models[@]}"; do
  code=0
  run_pan "$model" "" || code=$?
  [ $code = 0 ] || fail "$model is violated or was not checked"
  [ $code != 0 ] || [ -z "$bound" ] || fail "$model: $bound"
  mapfile -t faults < <(sed -n 's/.*SEEDED FAULT: \([A-Z_]*\).*/\1/p' "$model")
  [ ${#faults[@]} -gt 0 ] || fail "$model has no seeded fault"
  for fault in "${faults[@]}"; do
    code=0
    run_pan "$model" "$fault" || code=$?
    [ $code = 1 ] || fail "$model: seeded fault $fault was not found"
  done
done
exit $failed
