#!/usr/bin/env bash
# run.sh N: runs case N of the second review, after the build of the deploy
# file and review/build-2.sh.  Ends with 1 if the rule was broken, 0 if it
# held, 2 if the case could not run.  TROUBLE=0 leaves the disruption out.
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
program=review/$1/target/case
if [ ! -x "$program" ] || [ ! -x target/packages/server/dotterelbend ]; then
  echo "build first: see deploy/system.toml and review/build-2.sh" >&2
  exit 2
fi
RIG_DIR=$(mktemp -d) || exit 2
export RIG_DIR
trap 'rm -rf "$RIG_DIR"' EXIT
timeout -k 2 110 "$program"
status=$?
[ $status -le 1 ] || status=2
exit $status
