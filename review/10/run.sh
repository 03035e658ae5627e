#!/bin/bash
# Runs the case; see claim.txt. TROUBLE=0 leaves the disruption out. Exits with
# 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
program=target/review-2/case-$(basename "$here")
[ -x "$program" ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout 118 "$program" "$here/record.txt" "$folder"
result=$?
[ "$result" -le 1 ] || exit 2
exit "$result"
