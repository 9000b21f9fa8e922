#!/usr/bin/env bash
# Builds whinlatch, starts a platform, four engines, a plain service and three daemons as processes
# on free loopback ports, and serves prompts and calls while a share changes, one daemon leaves and
# another is killed. The last line it prints counts the outcomes that callers and fakes recorded.
set -euo pipefail
cd "$(dirname "$0")"

ACCOUNT=members
KEY=demo-key
KEY_SHA256=$(printf %s "$KEY" | sha256sum | cut -d' ' -f1)
MODEL=assistant
# A group stays within one provider, so three engines of the old one hold the longest prompt.
ENGINES=(old-1 old-2 old-3 new-1)
DAEMONS=(entry-1 entry-2 entry-3)
ENGINE_MEMORY_TOKENS=400000
ANSWER_TOKENS=64
LONG_PROMPT_BYTES=4000000

dir=$(mktemp -d)
declare -A pid address
pids=()

# Ends the processes that this script started, by their ids, on every exit of the script.
clean_up() {
  trap - EXIT INT TERM
  for id in "${pids[@]}"; do
    kill "$id" 2>>"$dir/clean_up.log" || true
  done
  wait || true
  rm -rf "$dir"
}
trap clean_up EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

say() { printf '%s\n' "$*"; }

# start NAME COMMAND...: runs the command in the background and waits until it prints its address.
start() {
  local name=$1
  shift
  : >"$dir/$name.log"
  "$@" >>"$dir/$name.log" 2>&1 &
  pid[$name]=$!
  pids+=("$!")
  wait_until grep -q '^listening ' "$dir/$name.log"
}

wait_until() {
  until "$@"; do sleep 0.05; done
}

# http METHOD ADDRESS PATH [BODY]: sends a request and prints the body of the answer.
http() {
  local method=$1 host=${2%:*} port=${2##*:} path=$3 body=${4-} fd
  exec {fd}<>"/dev/tcp/$host/$port"
  printf '%s %s HTTP/1.1\r\nhost: %s\r\ncontent-type: application/json\r\nconnection: close\r\n' \
    "$method" "$path" "$host:$port" >&"$fd"
  printf 'content-length: %d\r\n\r\n%s' "${#body}" "$body" >&"$fd"
  sed '1,/^\r$/d' <&"$fd"
  exec {fd}>&-
}

publish() {
  local value=${2//\"/\\\"}
  local control="{\"publish\":{\"key\":\"$1\",\"value\":\"$value\"}}"
  http POST "${address[platform]}" /standin/control "$control" >>"$dir/publish.log"
}

record() { printf '{"schema":2,"kind":"%s","spec":%s}' "$1" "$2"; }

publish_target() {
  publish "targets/$1" "$(record target "{\"target\":\"$1\",\"address\":\"${address[$1]}\",\
\"failure_domain\":\"a\",\"provider\":\"$2\",\"slots\":16,\"role\":$3}")"
}

publish_share() {
  publish routes/assistant "{\"schema\":1,\"kind\":\"route\",\"spec\":{\"subject\":\
{\"type\":\"model\",\"model\":\"$MODEL\"},\"new_share_percent\":$1}}"
}

publish_records() {
  publish accounts/$ACCOUNT "$(record account "{\"account\":\"$ACCOUNT\",\
\"key_sha256\":[\"$KEY_SHA256\"],\"requests_per_s\":1000,\"tokens_per_s\":100000000}")"
  publish routes/labels "$(record route '{"subject":{"type":"service","service":"labels",'\
'"idempotent":false},"providers":[{"provider":"old","share_per_mille":1000}]}')"
  publish policy "$(record policy '{"entries_ttl_ms":1000}')"
  publish_share 10
  publish_target labels old '{"type":"service","service":"labels"}'
  local engine
  for engine in "${ENGINES[@]}"; do
    publish_target "$engine" "${engine%-*}" "{\"type\":\"engine\",\"models\":[{\"model\":\
\"$MODEL\",\"version\":1}],\"memory_tokens\":$ENGINE_MEMORY_TOKENS,\"prefill_tokens_per_s\":400000,\
\"enforces_fencing\":true}"
  done
}

start_daemon() {
  cat >"$dir/$1.jsonc" <<SETTINGS
{
    "instance": "$1",
    "failure_domain": "${1##*-}",
    "caller_address": "127.0.0.1:0",
    "peer_address": "127.0.0.1:0",
    "platform_address": "${address[platform]}",
    "peer_key": "demo-peer-key",
}
SETTINGS
  start "$1" target/debug/whinlatchd --settings "$dir/$1.jsonc"
  local line
  line=$(grep -m1 '^listening ' "$dir/$1.log")
  address[$1]=$(sed 's/.*callers=\([^ ]*\).*/\1/' <<<"$line")
  address[$1.peers]=$(sed 's/.*peers=\([^ ]*\).*/\1/' <<<"$line")
}

# Sets the platform's list of instances. A platform's list lags behind; here the new instances are
# listed immediately.
list_instances() {
  local name daemons=""
  for name in "${DAEMONS[@]}"; do
    daemons+="${daemons:+,}{\"instance\":\"$name\",\"failure_domain\":\"${name##*-}\",\
\"caller_address\":\"${address[$name]}\",\"peer_address\":\"${address[$name.peers]}\",\
\"state\":\"live\"}"
  done
  http POST "${address[platform]}" /standin/control \
    "{\"instances\":{\"version\":0,\"daemons\":[$daemons],\"targets\":[]}}" >>"$dir/publish.log"
}

# Succeeds if a daemon has links to the two others and knows the runs of all targets.
is_ready() {
  local status
  status=$(target/debug/whinlatch status --json --entry "${address[$1]}") || return 1
  [ "$(grep -o '"linked":[ ]*true' <<<"$status" | wc -l)" -ge 2 ] &&
    ! grep -q '"incarnation":[ ]*null' <<<"$status" &&
    [ "$(grep -o '"prefill_tokens_per_s"' <<<"$status" | wc -l)" -eq 5 ]
}

# Succeeds if the route is in force on all three daemons, at this revision or a later one.
is_in_force_everywhere() {
  target/debug/whinlatch records --entry "${address[entry-3]}" | awk -v revision="$1" '
    $1 == "routes/assistant" && $3 >= revision && split($4, holders, ",") == 3 { found = 1 }
    END { exit !found }'
}

# ask FILE OPTION...: sends requests with the command-line tool in the background and writes the
# answers to FILE.
ask() {
  local file=$dir/$1
  shift
  : >"$file"
  target/debug/whinlatch ask --json --account "$ACCOUNT" --entry "${address[entry-1]}" \
    --entry "${address[entry-2]}" --entry "${address[entry-3]}" "$@" >>"$file" 2>"$file.err" &
  pids+=("$!")
  asking+=("$!")
}

ask_prompts() {
  ask "$1" --count "$2" --concurrency 8 --model "$MODEL" --prompt "short prompt {n}" \
    --max-tokens $ANSWER_TOKENS
}

ask_labels() {
  ask "$1" --count "$2" --concurrency 4 --service labels --body "$1 {n}"
}

# The tool's exit code differs from 0 if a request isn't completed. The count at the end looks at
# each request instead.
wait_for_answers() {
  local id
  for id in "${asking[@]}"; do wait "$id" || true; done
  asking=()
}

has_lines() { [ "$(wc -l <"$dir/$1")" -ge "$2" ]; }

runs_of_provider() {
  local name sum=0 count
  for name in "${ENGINES[@]}"; do
    [ "${name%-*}" = "$1" ] || continue
    count=$(http GET "${address[$name]}" /standin/stats |
      grep -o '"runs_by_attempt":{[^}]*}' | grep -o ':1' | wc -l)
    sum=$((sum + count))
  done
  echo "$sum"
}

engine_memory_is_back() {
  local name
  for name in "${ENGINES[@]}"; do
    http GET "${address[$name]}" /standin/stats | grep -q '"memory_used_tokens":0[,}]' || return 1
  done
}

# Prints a line `number outcome words text` for each answer to a prompt in a file.
prompt_lines() {
  sed -n 's/.*"number":\([0-9]*\).*"outcome":"\([a-z_]*\)".*"text":"\([^"]*\)".*/\1 \2 \3/p' \
    "$dir/$1" | awk '{ n = $1; o = $2; $1 = ""; $2 = ""; print n, o, NF - 2, $0 }' | sort -n
}

count_outcome() { cat "$dir"/answers-*.json | grep -c "\"outcome\":\"$1\"" || true; }

# Counts the completed answers that are truncated or differ from an earlier answer to the same prompt.
count_wrong_answers() {
  local file
  {
    prompt_lines answers-long.json | sed 's/^1 /long /'
    for file in answers-prompts-a.json answers-prompts-b.json answers-prompts-c.json; do
      prompt_lines "$file"
    done
  } | awk -v tokens=$ANSWER_TOKENS '
    $2 != "completed" { next }
    { number = $1; words = $3; $1 = ""; $2 = ""; $3 = "" }
    words != tokens { wrong++; next }
    number in text && text[number] != $0 { wrong++ }
    $0 in owner && owner[$0] != number { wrong++ }
    { text[number] = $0; owner[$0] = number }
    END { print wrong + 0 }'
}

# Prints a line `body runs` for each call that the service ran.
service_runs() {
  http GET "${address[labels]}" /standin/stats | grep -o '"runs_by_key":{[^}]*}' |
    grep -o '"answers[^"]*":[0-9]*' | sed 's/"\(.*\)":/\1 /'
}

# Prints a line `body outcome` for each call.
label_outcomes() {
  local file
  for file in answers-labels-a.json answers-labels-c.json; do
    sed -n "s/.*\"number\":\([0-9]*\).*\"outcome\":\"\([a-z_]*\)\".*/$file \1 \2/p" "$dir/$file"
  done
}

# Counts the calls that were reported as completed but never ran, or as not run but did run.
count_false_outcomes() {
  { service_runs | sed 's/^/runs /'; label_outcomes | sed 's/^/told /'; } | awk '
    $1 == "runs" { ran[$2 " " $3] = $4; next }
    $4 == "completed" && ran[$2 " " $3] == 0 { wrong++ }
    $4 == "not_run" && ran[$2 " " $3] > 0 { wrong++ }
    END { print wrong + 0 }'
}

say "building"
cargo build --quiet --bin whinlatchd --bin whinlatch --bin whinlatch-standins
began=$SECONDS
export WHINLATCH_KEY=$KEY

say "starting the platform, four engines, a plain service and three daemons"
start platform target/debug/whinlatch-standins platform
start labels target/debug/whinlatch-standins service --options '{"call_ms":20}'
for engine in "${ENGINES[@]}"; do
  start "$engine" target/debug/whinlatch-standins engine --options "{\"tokens_scale\":20,\
\"memory_tokens\":$ENGINE_MEMORY_TOKENS,\"answer_tokens\":$ANSWER_TOKENS,\
\"models\":[{\"model\":\"$MODEL\",\"version\":1}]}"
done
for name in platform labels "${ENGINES[@]}"; do
  address[$name]=$(sed -n 's/^listening //p' "$dir/$name.log" | head -1)
done
publish_records
for name in "${DAEMONS[@]}"; do start_daemon "$name"; done
list_instances
for name in "${DAEMONS[@]}"; do wait_until is_ready "$name"; done

say "sending short prompts, a prompt of a million tokens and calls that may not be repeated"
head -c $LONG_PROMPT_BYTES /dev/zero | tr '\0' x >"$dir/long-prompt"
asking=()
ask answers-long.json --model "$MODEL" --prompt-file "$dir/long-prompt" \
  --max-tokens $ANSWER_TOKENS
ask_labels answers-labels-a.json 20
ask_prompts answers-prompts-a.json 100
wait_for_answers
say "the prompt of a million tokens: $(grep -o '"outcome":"[a-z_]*","reason":"[a-z_]*"' \
  "$dir/answers-long.json")"
say "runs at the old provider: $(runs_of_provider old), at the new: $(runs_of_provider new)"

say "publishing a share of 60 % for the new provider while prompts run"
ask_prompts answers-prompts-b.json 200
wait_until has_lines answers-prompts-b.json 20
publish_share 60
revision=$(grep -o '"revision":[0-9]*' "$dir/publish.log" | tail -1 | grep -o '[0-9]*$')
wait_until is_in_force_everywhere "$revision"
say "in force on all daemons at revision $revision"
wait_for_answers
say "runs at the old provider: $(runs_of_provider old), at the new: $(runs_of_provider new)"

say "stopping entry-1 gracefully and killing entry-2 while prompts and calls run"
ask_prompts answers-prompts-c.json 200
ask_labels answers-labels-c.json 300
wait_until has_lines answers-prompts-c.json 20
kill -TERM "${pid[entry-1]}"
wait_until has_lines answers-prompts-c.json 60
kill -KILL "${pid[entry-2]}"
wait "${pid[entry-2]}" 2>>"$dir/clean_up.log" || true
wait_for_answers
left=0
wait "${pid[entry-1]}" || left=$?
say "entry-1 left with exit code $left"
wait_until engine_memory_is_back
say "the engines' memory is back; $((SECONDS - began)) s since the build"

admitted=$((1 + 20 + 100 + 200 + 200 + 300))
completed=$(count_outcome completed)
not_run=$(count_outcome not_run)
unknown=$(count_outcome unknown)
lost=$((admitted - completed - not_run - unknown + $(count_wrong_answers) + $(count_false_outcomes)))
doubled=$(service_runs | awk '$3 > 1 { doubled++ } END { print doubled + 0 }')
say "demo: admitted=$admitted completed=$completed not_run=$not_run unknown=$unknown lost=$lost doubled=$doubled"
[ "$lost" -eq 0 ] && [ "$doubled" -eq 0 ] && [ "$left" -eq 0 ]
