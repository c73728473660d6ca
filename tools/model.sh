#!/usr/bin/env bash
# model.sh: checks every model under models/ with Spin.
# Each models/*.pml is checked as it is (no violation may be found) and once per
# "SEEDED FAULT: NAME" line in it with -DNAME (a violation must be found).
set -euo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
root=$PWD
run_pan () # model defines -> prints summary, returns 0 when no error was found
{
  (cd "$work" && rm -f pan* ./*.trail && spin -a $2 "$root/$1" >/dev/null \
    && gcc -O2 -DSAFETY -DCOLLAPSE -DMEMLIM=2048 -o pan pan.c \
    && ./pan -m200000 >pan.out 2>&1)
  local states depth errors
  states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' "$work/pan.out")
  depth=$(sed -n 's/.*depth reached \([0-9]*\).*/\1/p' "$work/pan.out")
  errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' "$work/pan.out")
  printf '%-28s %-24s states %-10s depth %-7s errors %s\n' \
    "$1" "${2:-as designed}" "$states" "$depth" "$errors"
  if grep -q 'max search depth too small\|out of memory' "$work/pan.out"; then
    echo "  bound reached: the search is not exhaustive"
  fi
  [ "$errors" = 0 ]
}
failed=0
shopt -s nullglob
for model in models/*.pml; do
  run_pan "$model" "" || { echo "  VIOLATION in $model"; failed=1; }
  while read -r fault; do
    if run_pan "$model" "-D$fault"; then
      echo "  $model: seeded fault $fault was not found"
      failed=1
    fi
  done < <(sed -n 's/.*SEEDED FAULT: \([A-Z_]*\).*/\1/p' "$model")
done
exit $failed
