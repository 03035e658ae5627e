#!/usr/bin/env bash
# Builds the stand-ins and the scenarios of the cases into target/review. It
# needs only packages that the deploy file names.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
compile=(g++ -std=c++20 -O1)
"${compile[@]}" -c review/standin/standin.cc -o "$out/standin.o" &
objects=()
for case in review/[1-5]; do
  number=${case##*/}
  [ -f "$case/scenario.cc" ] || continue
  "${compile[@]}" -c "$case/scenario.cc" -o "$out/case-$number.o" &
  objects+=("$number")
done
failed=0
for job in $(jobs -p); do wait "$job" || failed=1; done
[ "$failed" = 0 ] || exit 1
for number in "${objects[@]}"; do
  g++ "$out/case-$number.o" "$out/standin.o" -o "$out/case-$number" \
    -lboost_url -lpthread
done
