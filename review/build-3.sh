#!/usr/bin/env bash
# Builds the stand-ins of the third review into target/review-3/, with the packages of the deploy file alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in http store floor fleet trials; do
    c++ -std=c++20 -O1 -Wall -Wextra -c "review/standins-3/$source.cpp" -o "target/review-3/$source.o" &
    pids="${pids:-} $!"
done
for pid in $pids; do wait "$pid"; done
c++ -pthread target/review-3/{http,store,floor,fleet,trials}.o -o target/review-3/trials
