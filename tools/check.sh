#!/usr/bin/env bash
# check.sh BUILD_DIR: formatter and linter over all sources.
# check.sh --format: rewrites the sources with the formatter.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t all < <(git ls-files --cached --others --exclude-standard '*.c' '*.h' '*.cc')
if [ "$1" = --format ]; then
  clang-format -i "${all[@]}"
  exit 0
fi
clang-format --dry-run --Werror "${all[@]}"
mapfile -t sources < <(git ls-files --cached --others --exclude-standard '*.c')
printf '%s\n' "${sources[@]}" | xargs -P 8 -n 1 clang-tidy -p "$1" --quiet 2>/dev/null
echo "check: ${#all[@]} files formatted, ${#sources[@]} linted"
