#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10, their stand-ins included, into target/review-2. Needs a
# C++17 compiler and the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
compiler="${CXX:-g++}"
flags=(-std=c++17 -O1 -Wall -Wextra -pthread -I review/harness-2)
"$compiler" "${flags[@]}" -c review/harness-2/deployment.cc -o "$out/deployment.o"
for number in 6 7 8 9 10; do
  [ -f "review/$number/scenario.cc" ] || continue
  "$compiler" "${flags[@]}" "review/$number/scenario.cc" "$out/deployment.o" -o "$out/case-$number"
done
# Shown and left out of the five cases; see REPORT-2.md.
for name in tenants resend; do
  "$compiler" "${flags[@]}" "review/left-out-2/$name.cc" "$out/deployment.o" -o "$out/left-out-$name"
done
