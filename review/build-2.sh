#!/usr/bin/env bash
# Builds the stand-ins of the second review into target/review-2. The build of
# the deploy file comes before it.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
for source in review/standins-2/*.cpp; do
  name=$(basename "$source" .cpp)
  [ "$name" = harness ] && continue
  g++ -std=c++20 -O2 -Wall -Wextra "$source" review/standins-2/harness.cpp -o "$out/$name" \
    -lkj-http -lkj-async -lkj -lpthread &
done
for job in $(jobs -p); do
  wait "$job"
done
