#!/bin/sh
# Builds the programs of the cases and the project's stand-ins that they use,
# into review/build. Needs the build of deploy/system.toml first.
set -eu
cd "$(dirname "$0")/.."
out=review/build
mkdir -p "$out"
flags="-std=c++20 -O1 -I. -Wall -Wextra -Wno-mismatched-new-delete"
for source in tests/LineDeployment tests/LineGroup standin/Process; do
  g++ $flags -c "$source.cpp" -o "$out/$(basename "$source").o" &
done
wait
for folder in review/[1-5]; do
  [ -f "$folder/case.cpp" ] || continue
  g++ $flags "$folder/case.cpp" "$out"/LineDeployment.o "$out"/LineGroup.o \
    "$out"/Process.o target/daemon/libjaydoor_http.a \
    target/wire/libjaydoor_wire.a target/base/libjaydoor_base.a \
    -lprotobuf -lboost_json -lfmt -lxxhash -lz -lcrypto -lpthread \
    -o "$out/case-$(basename "$folder")" &
done
wait
for folder in review/[1-5]; do
  [ ! -f "$folder/case.cpp" ] || [ -x "$out/case-$(basename "$folder")" ]
done
