#!/bin/sh
# Builds the programs of the cases 6 to 10. Each holds its stand-ins; no library
# but the standard one is needed.
set -eu
cd "$(dirname "$0")"
out="../target/review-2"
mkdir -p "$out"
for number in 6 7 8 9 10; do
  [ -f "$number/case.cpp" ] || continue
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "$out/case-$number" \
    "$number/case.cpp"
done
