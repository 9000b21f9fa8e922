#!/usr/bin/env bash
# Plays each day of this folder on the sites given, at three seeds each, and prints a line a play.
# FLEETBENCH names the bench's program; more options go to it through PLAY_OPTIONS.
set -euo pipefail
cd "$(dirname "$0")/../.."
: "${FLEETBENCH:?set it to the path of the program fleetbench}"

for site in "$@"; do
  for day in deploy/days/*.toml; do
    for seed in 1 2 3; do
      # shellcheck disable=SC2086
      "$FLEETBENCH" run "$site" "$day" --seed "$seed" ${PLAY_OPTIONS:-} 2>&1 |
        grep -E "^$(basename "$day" .toml) |^rules broken" ||
        printf '%s seed %s was not played\n' "$day" "$seed"
    done
  done
done
