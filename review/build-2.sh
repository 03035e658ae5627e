#!/bin/bash
# Builds the stand-ins of the cases of the second review, under target/. Run it
# after the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/*/case.cpp; do
  case_folder=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O2 -Wall -Wextra "$source" -o "target/review-2/case-$case_folder" -pthread
done
