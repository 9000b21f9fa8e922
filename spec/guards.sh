#!/usr/bin/env bash
# Removes each guard of guards.txt in a scratch copy and runs the test that must fail without it.
# Run manually, since each guard needs a build. Exits with 1 if a test passes without its guard, a
# guard's text isn't in its file, or the changed copy doesn't build.
# With an argument, only the guards whose test name contains it.
set -euo pipefail
cd "$(dirname "$0")/.."

# Time limit of a test without its guard, in s: many then wait for an event that never occurs.
most_s=60
scratch=target/guards
missed=0

copy() {
  mkdir -p "$scratch"
  git ls-files -z | grep -zvE '^(journal|docs)/' | tar --null -T - -cf - | tar xf - -C "$scratch"
}

while IFS=$'\t' read -r file old new suite test; do
  case $file in '' | '#'*) continue ;; esac
  case $test in *"${1:-}"*) ;; *) continue ;; esac
  copy
  text=$(<"$file")
  changed=${text/"$old"/"$new"}
  if [ "$changed" = "$text" ]; then
    printf 'NOT THERE  %s has no: %s\n' "$file" "$old"
    missed=1
    continue
  fi
  printf '%s\n' "$changed" >"$scratch/$file"
  read -r package name <<<"$suite"
  run=(cargo test --quiet --package "$package" --test "$name")
  if ! (cd "$scratch" && "${run[@]}" --no-run) >"$scratch/build.log" 2>&1; then
    printf 'NOT BUILT  %s: see %s/build.log\n' "$test" "$scratch"
    missed=1
  elif (cd "$scratch" && timeout "$most_s" "${run[@]}" -- --exact "$test") >"$scratch/test.log" 2>&1; then
    printf 'NOT FOUND  %s passes without: %s\n' "$test" "$old"
    missed=1
  else
    printf 'found      %s\n' "$test"
  fi
done <spec/guards.txt
exit "$missed"
