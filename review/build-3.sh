#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3. Needs g++ alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for program in memory stop; do
  g++ -std=c++17 -O2 -Wall -Wextra -pthread "review/harness-3/$program.cc" -o "target/review-3/$program"
done
