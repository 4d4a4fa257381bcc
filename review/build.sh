#!/usr/bin/env bash
# Builds the stand-ins of the scripts of this review into target/review/. They need the C++ compiler
# only. The project's programs come from the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[0-9]*/case.cc; do
  [ -e "$source" ] || continue
  name=$(basename "$(dirname "$source")")
  "${CXX:-g++}" -std=c++17 -O1 -Wall -Wextra -pthread -Ireview/harness "$source" \
    review/harness/deployment.cc -o "target/review/case-$name"
done
