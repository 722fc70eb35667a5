#!/usr/bin/env bash
# Builds the stand-ins of the cases; run it after the build of the deploy file.
# It needs g++ and nlohmann-json3-dev, which the deploy file names.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/case.cpp; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -Ireview/standins -o "target/review/case-$number" "$source" -lpthread
done
