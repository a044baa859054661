#!/bin/sh
# SPDX-License-Identifier: Apache-2.0
# Builds the drivers of the review's scripts, with their stand-ins, into target/review/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for folder in review/[1-9]*/; do
  number=$(basename "$folder")
  [ -f "$folder/case.cpp" ] || continue
  "${CXX:-g++}" -std=c++20 -O2 -pthread -Wall -Wextra -I review/common "$folder/case.cpp" \
    -o "target/review/case-$number"
done
