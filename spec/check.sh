#!/usr/bin/env bash
# Checks the Promela models with Spin: each model exhaustively, then each variant with one
# guard removed, which must violate the assertion that the guard protects.
# Prints one line per run; exits 0 only if every verdict is as expected.
set -euo pipefail

readonly JOBS=2
readonly MAX_DEPTH=20000
readonly MEMORY_LIMIT_MB=900

# model | flags | expected verdict: "holds", or part of the text of the assertion that must fail
readonly RUNS='
records||holds
orders|-DSPLIT_CHECK|holds
tickets||holds
tickets|-DSPLIT_CHECK|holds
orders||holds
orders|-DFENCES|holds
orders|-DCOUNT_REPEATS=10|holds
tickets|-DWITNESS_COMPLETED| 0 (
tickets|-DWITNESS_SECOND_TICKET|t==1
tickets|-DWITNESS_SECOND_ATTEMPT|attempt[
tickets|-DNO_HOME -DONLY_T1|ran[0]
tickets|-DNO_INCARNATION -DONLY_T1|ran[0]
tickets|-DNO_FORGOTTEN_UNKNOWN -DONLY_T1|ran[0]
tickets|-DNO_BREAK_UNKNOWN -DONLY_T1|ran[0]
tickets|-DNO_TICKET_KEPT -DONLY_T1|ran[0]
tickets|-DNO_DISPATCH_MARK|said_not_run[
tickets|-DNO_CLOSE|said_not_run[
tickets|-DNO_ATTEMPT_ID|ran[t]
tickets|-DSPLIT_CHECK -DDROP_SAYS_NOT_RUN|said_not_run[
tickets|-DNO_DEADLINE_RECHECK|deadline_passed
tickets|-DNO_FRESHNESS_RECHECK|leave_bound_passed
tickets|-DNO_GAP_DROP|leave_bound_passed
tickets|-DSPLIT_CHECK -DSTRICT_TIME|deadline_passed
records|-DWITNESS_END|crashes==2
records|-DNO_JOIN|>=top[
records|-DNO_TOMBSTONE|>=top[
records|-DABSENCE_DELETES|in_force[d]==2
records|-DJOIN_BEFORE_VALIDATE -DCRASHES=1|>=floor[
records|-DNO_PEERS_AT_START|>=floor[
records|-DNO_POLL -DCRASHES=0|in_force[0]==published
records|-DNO_ANTI_ENTROPY|in_force[0]==in_force[1]
records|-DSTRICT_FLEET|>=fleet_top
orders|-DWITNESS_END|target_died
orders|-DFENCES -DNO_FENCE|>=fence
orders|-DFENCES -DFENCE_IS_HIGHEST|all_took_effect
orders|-DNO_REPEAT|held==3
orders|-DFENCES -DNO_REPEAT|held==3
orders|-DNO_FRESHNESS|settled|
orders|-DNO_GAP_REFRESH|settled|
orders|-DSTRICT_PARTITION|settled|
orders|-DSPLIT_CHECK -DSTRICT_TIME|settled|
'

if ! command -v spin >/dev/null; then
	apt-get update -qq >/dev/null
	apt-get install -y -qq spin >/dev/null 2>&1
fi
command -v gcc >/dev/null || { echo 'gcc is missing: install gcc and libc6-dev' >&2; exit 2; }

spec_dir=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
work_dir=$(mktemp -d)
trap 'rm -rf "$work_dir"' EXIT

# Builds and runs one verifier, and writes its verdict to $work_dir/$number/verdict.
check() {
	local number=$1 model=$2 flags=$3 expected=$4
	local dir=$work_dir/$number
	local optimise=-O2 states failed verdict=WRONG seen
	[[ $expected == holds ]] || optimise=-O0
	mkdir "$dir"
	cd "$dir"

	# shellcheck disable=SC2086 # flags are separate arguments
	if ! spin -a $flags "$spec_dir/$model.pml" >build.log 2>&1 ||
		! gcc "$optimise" -w -DSAFETY -DNOREDUCE -DMEMLIM="$MEMORY_LIMIT_MB" -o pan pan.c >>build.log 2>&1; then
		printf '%-8s %-38s %9s  WRONG: does not build: %s\n' "$model" "${flags:-(all guards)}" - "$(head -1 build.log)" >verdict
		return
	fi
	./pan -n -m"$MAX_DEPTH" >run.log 2>&1 || true

	states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' run.log)
	failed=$(sed -n 's/^pan:[0-9]*: //p' run.log | head -1)
	seen=${failed:-no error}
	if [[ $expected == holds ]]; then
		if grep -q 'errors: 0$' run.log && [[ -z $failed ]] && is_exhaustive run.log; then
			verdict=ok
			seen='holds, exhaustive'
		elif [[ -z $failed ]]; then
			seen='the search was not exhaustive'
		fi
	elif grep -q 'errors: [1-9]' run.log && [[ $failed == 'assertion violated'*"$expected"* ]]; then
		verdict=ok
		seen='counterexample found'
	fi
	printf '%-8s %-38s %9s  %s: %s\n' "$model" "${flags:-(all guards)}" "${states:--}" "$verdict" "$seen" >verdict
}

is_exhaustive() {
	grep -q '^Full statespace search' "$1" &&
		! grep -qiE 'too small|not completed|out of memory|memory limit|truncated|interrupted' "$1"
}

number=0
while IFS= read -r line; do
	[[ -n $line ]] || continue
	model=${line%%|*}
	rest=${line#*|}
	number=$((number + 1))
	while (($(jobs -rp | wc -l) >= JOBS)); do
		wait -n
	done
	check "$number" "$model" "${rest%%|*}" "${rest#*|}" &
done <<<"$RUNS"
wait

wrong=0
for ((i = 1; i <= number; i++)); do
	if [[ ! -s $work_dir/$i/verdict ]]; then
		echo "run $i left no verdict"
		wrong=$((wrong + 1))
		continue
	fi
	cat "$work_dir/$i/verdict"
	grep -q '  ok: ' "$work_dir/$i/verdict" || wrong=$((wrong + 1))
done

echo "$number runs, $wrong not as expected"
((wrong == 0))
