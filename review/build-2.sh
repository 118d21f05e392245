#!/bin/sh
# Builds the stand-ins and the drivers of the second review's cases into review/bin/. Needs g++ alone.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
for source in src-2/*.cpp; do
  program="bin/r2-$(basename "$source" .cpp)"
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "$program" "$source"
done
