#!/usr/bin/env bash
# Runs one case: starts the processes of the deploy file and the stand-ins, and
# ends them. Exit code: 1 the rule was broken, 0 it held, 2 it could not run.
set -uo pipefail
number=$1
cd "$(dirname "$0")/.."
program=target/review/case-$number
record=review/$number/record.txt
if [ ! -x "$program" ]; then
  echo "$program is missing: run review/build.sh" >"$record"
  exit 2
fi
run=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' deploy/system.toml | head -n 1)
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
REVIEW_PROGRAM=$run REVIEW_TEMP=$folder REVIEW_RECORD=$record "$program"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
