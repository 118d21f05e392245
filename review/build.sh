#!/usr/bin/env bash
# Builds the review's stand-ins into review/bin. The project's own program is built by the deploy file's command.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in [0-9]*/case.cpp; do
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "bin/case$(dirname "$source")"
done
