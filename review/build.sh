#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the review, into target/review. It needs only the packages of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/case.cpp; do
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -Wextra -o "target/review/case-$number" "$source" -pthread
done
