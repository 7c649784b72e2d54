#!/usr/bin/env bash
# Builds the cases of the second review, each with its stand-ins in one program, into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for number in 6 7 8 9 10; do
    [ -f "review/$number/case.cpp" ] || continue
    g++ -std=c++20 -O1 -Wall -Wextra -o "target/review-2/case$number" "review/$number/case.cpp" -pthread
done
