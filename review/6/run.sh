#!/bin/bash
# Runs the case; see claim.txt. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
program=target/review-2/case-$(basename "$here")
[ -x "$program" ] || exit 2
"$program" "$here/record.txt" "$folder"
