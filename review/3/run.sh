#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves out the disruption.
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
SCRATCH=$(mktemp -d) || exit 2
export SCRATCH
trap 'rm -rf "$SCRATCH"' EXIT
[ -x target/review/case3 ] && [ -x target/release/whinlatchd ] || exit 2
target/review/case3 review/3/record.txt
