#!/bin/sh
# Builds what the scripts of the cases 11 and up start, besides jaydoord, into
# target/review-3. Needs only the packages of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/1[1-9]/case.cpp; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -I. -pthread "$source" standin/Process.cpp \
    -o "target/review-3/case-$number" -lfmt
done
