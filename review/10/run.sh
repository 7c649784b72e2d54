#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
number=$(basename "$folder")
cd "$folder/../.." || exit 2
[ -x "target/review-2/case$number" ] && [ -x target/bin/oriolefleetd ] || exit 2
exec "target/review-2/case$number" "review/$number/record.txt"
