#!/usr/bin/env bash
# Builds the stand-ins and the cases under review/, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
compile() { g++ -std=c++20 -O2 -Wall -Wextra -pthread "$@"; }
compile -c review/standins/stage.cpp -o target/review/stage.o
compile -c review/standins/memory.cpp -o target/review/memory.o
for source in review/[1-5]/case.cpp; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  compile "$source" target/review/memory.o target/review/stage.o \
    -o "target/review/case-$number"
done
