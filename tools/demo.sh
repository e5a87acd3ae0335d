#!/usr/bin/env bash
# Builds greengageworks, runs a small fleet on loopback, submits jobs through two
# entries and checks that every task was started exactly once. Exits with 0 if
# all checks passed and with 1 if a check failed.
set -euo pipefail
cd "$(dirname "$0")/.."
build_dir=${BUILD_DIR:-build}
tools/build.sh
bin="$build_dir/bin"
work=$(mktemp -d)
pids=()

stop_all() {
  local pid
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap stop_all EXIT

fail() {
  echo "FAILED: $*" >&2
  tail -n 3 "$work"/*.log >&2
  exit 1
}

# start NAME PROGRAM ARGUMENT...: starts a program with its output in NAME.log.
start() {
  local name=$1
  shift
  "$bin/$1" "${@:2}" >"$work/$name.log" 2>&1 &
  pids+=($!)
}

# address NAME PATTERN: waits until the program prints an address after PATTERN
# and prints that address.
address() {
  local found=""
  for _ in $(seq 300); do
    found=$(sed -n "s/.*$2\([0-9.]*:[0-9]*\).*/\1/p" "$work/$1.log" | head -n 1)
    [[ -n "$found" ]] && break
    sleep 0.1
  done
  [[ -n "$found" ]] || fail "$1 did not start"
  echo "$found"
}

# field JSON EXPRESSION: prints a Python expression over the parsed JSON `v`.
field() {
  python3 -c 'import json,sys; v=json.loads(sys.argv[1]); print(eval(sys.argv[2]))' "$1" "$2"
}

# metric ADDRESS NAME: prints the value of a counter, summed over its labels.
metric() {
  curl -sf "http://$1/metrics" | awk -v name="$2" '$1 ~ "^" name "({|$)" { sum += $NF } END { print sum + 0 }'
}

# uuid7: prints a new UUID of version 7.
uuid7() {
  python3 -c 'import os,time,uuid
t=int(time.time()*1000).to_bytes(6,"big"); r=bytearray(os.urandom(10))
r[0]=0x70|r[0]&15; r[2]=0x80|r[2]&63; print(uuid.UUID(bytes=t+bytes(r)))'
}

# job ENTRY ID ORGANISATION TASKS...: submits a job and prints the answer.
job() {
  local entry=$1 id=$2 organisation=$3
  shift 3
  local tasks
  tasks=$(IFS=,; echo "$*")
  curl -s --max-time 40 "http://$entry/v1/jobs" -d "{\"organisation\":\"$organisation\",\"template\":\"quote\",
    \"job_id\":\"$id\",\"tasks\":[$tasks]}"
}

echo "== starting two entries and three agents with their backend servers"
log_options=()
# Uses the program fake-log as the platform's log if it has been built.
if [[ -x "$bin/fake-log" ]]; then
  start log fake-log --address 127.0.0.1:0
  log_options=(--log-address "$(address log 'listening on ')")
fi
start entry1 greengage-entry --http-address 127.0.0.1:0 --peer-address 127.0.0.1:0 "${log_options[@]}"
entry1=$(address entry1 ' http=')
seeds=$(address entry1 ' peer=')
start entry2 greengage-entry --http-address 127.0.0.1:0 --peer-address 127.0.0.1:0 --seeds "$seeds" "${log_options[@]}"
entry2=$(address entry2 ' http=')
seeds="$seeds,$(address entry2 ' peer=')"
backends=()
agents=()
for i in 1 2 3; do
  start "backend$i" fake-backend --address 127.0.0.1:0 --run-time-ms 100 --speed-factor "$i"
  backends+=("$(address "backend$i" 'listening on ')")
  start "agent$i" greengage-agent --backend-address "${backends[-1]}" --peer-address 127.0.0.1:0 \
    --seeds "$seeds" --metrics-address 127.0.0.1:0
  agents+=("$(address "agent$i" ' metrics=')")
done

# Succeeds if both entries list the three workers.
workers_listed() {
  local entry workers
  for entry in "$entry1" "$entry2"; do
    workers=$(curl -sf "http://$entry/v1/workers") || return 1
    [[ $(field "$workers" 'len(v["workers"])') == 3 ]] || return 1
  done
}
for _ in $(seq 300); do
  workers_listed && break
  sleep 0.1
done
workers_listed || fail "the entries do not list the three agents"
for name in entry1 entry2; do echo "$name: http://${!name}"; done

echo "== publishing a template and two organisations"
# publish ENTRY PATH DOCUMENT: publishes a document through an entry.
publish() {
  curl -sf -X PUT "http://$1/v1/$2" -d "$3" >/dev/null
}
for entry in "$entry1" "$entry2"; do
  # With a log one publication is enough; without one each entry has its own
  # configuration.
  if [[ ${#log_options[@]} -gt 0 && "$entry" == "$entry2" ]]; then continue; fi
  for document in templates/quote organisations/valley-coop organisations/himal; do
    published=0
    for _ in $(seq 100); do
      publish "$entry" "$document" '{}' && published=1 && break
      sleep 0.1
    done
    [[ $published == 1 ]] || fail "cannot publish $document through $entry"
  done
done

echo "== running jobs through both entries"
answer=""
for _ in $(seq 100); do
  # All entries apply the configuration within 4 s.
  answer=$(job "$entry2" "$(uuid7)" himal '"warm-up"')
  [[ $(field "$answer" 'v["status"]') == complete ]] && break
  sleep 0.1
done
expected=1
complete=1
for i in $(seq 1 10); do
  entry=$entry1 organisation=valley-coop
  ((i % 2)) && entry=$entry2 organisation=himal
  id=$(uuid7)
  answer=$(job "$entry" "$id" "$organisation" 1 2 3 4 5)
  [[ $(field "$answer" 'v["status"] == "complete" and len(v["results"]) == 5') == True ]] ||
    fail "job $i: $answer"
  expected=$((expected + 5))
  complete=$((complete + 1))
done
echo "$complete jobs complete, the last one: $answer"

echo "== resubmitting the last job through the same and the other entry"
repeated_answer=$(job "$entry1" "$id" valley-coop 1 2 3 4 5)
[[ "$repeated_answer" == "$answer" ]] || fail "the second answer differs: $repeated_answer"
other_answer=$(job "$entry2" "$id" valley-coop 1 2 3 4 5)
echo "other entry: $other_answer"
[[ "$other_answer" == "$answer" ]] || fail "the answer of the other entry differs"

echo "== counters"
started=0
for i in 0 1 2; do
  count=$(metric "${agents[$i]}" greengage_tasks_started_total)
  echo "agent $((i + 1)): $count tasks started, $(metric "${agents[$i]}" greengage_starts_refused_total) refused"
  started=$((started + count))
done
for name in entry1 entry2; do
  echo "$name: $(metric "${!name}" greengage_requests_total) requests, $(metric "${!name}" greengage_answers_total) answers"
done
counts=""
for backend in "${backends[@]}"; do counts+="$(curl -sf "http://$backend/starts"),"; done
not_once=$(field "[${counts%,}]" '[t for t in set(k for d in v for k in d) if sum(d.get(t, 0) for d in v) != 1]')
total=$(field "[${counts%,}]" 'sum(len(d) for d in v)')
echo "tasks expected $expected, started $started, seen by the backend servers $total, not exactly once: $not_once"
[[ "$not_once" == "[]" ]] || fail "some tasks were not started exactly once"
[[ "$started" == "$expected" && "$total" == "$expected" ]] || fail "the number of starts is wrong"
echo "== done: every task was started exactly once"
