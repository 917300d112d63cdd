#!/usr/bin/env bash
# Runs a small site on one machine as separate processes: a stand-in platform, an
# engine and a service in each of two zones, and a daemon in each zone. It shows
# the site's status, runs one program and stops at Ctrl-C; with "once" it stops
# after the program.
set -euo pipefail
cd "$(dirname "$0")/../.."

folder="$(mktemp -d)"
started=()
stop() {
  for ((i = ${#started[@]} - 1; i >= 0; i--)); do
    kill "${started[i]}" 2>/dev/null || true
    wait "${started[i]}" 2>/dev/null || true
  done
  rm -rf "$folder"
}
trap stop EXIT

for program in jasmineknot jasmineknotd jasmineknotbench; do
  go build -o "$folder/$program" "./$program"
done

start() { # name, command...
  "$folder/$2" "${@:3}" >"$folder/$1.log" 2>&1 &
  started+=("$!")
}

start platform jasmineknotbench standin-platform --address 127.0.0.1:8100
port=0
for zone in a b; do
  port=$((port + 1))
  start "engine-$zone" jasmineknotbench standin-engine --address "127.0.0.1:820$port" --model chef-8b --time-scale 0.1
  start "deposits-$zone" jasmineknotbench standin-service --address "127.0.0.1:830$port"
  cat >"$folder/$zone-1.json" <<EOF
{"host": "$zone-1", "zone": "$zone", "listen": "127.0.0.1:810$port", "http": "127.0.0.1:800$port",
 "platform": "http://127.0.0.1:8100", "data_folder": "$folder/$zone-1",
 "token_keys": [{"id": "k1", "secret": "replace this secret on a real site"}]}
EOF
  start "$zone-1" jasmineknotd run --settings "$folder/$zone-1.json"
done

export JASMINEKNOT_SERVER=http://127.0.0.1:8001 JASMINEKNOT_TEAM=site
until curl -sf http://127.0.0.1:8001/healthz >/dev/null && curl -sf http://127.0.0.1:8002/healthz >/dev/null; do sleep 0.1; done

edit() { # section, entries
  echo "{\"section\": \"$1\", \"base_revision\": 0, \"value\": {\"owner\": \"site\", \"entries\": $2}}" |
    "$folder/jasmineknot" config edit -
}

edit priorities '{"interactive": {"level": 0, "weight": 10}}'
edit models '{"chef-8b": {"versions": ["1"], "replicas": 1}}'
edit hosts '{
  "a-1": {"zone": "a", "address": "127.0.0.1:8101", "state": "live"},
  "b-1": {"zone": "b", "address": "127.0.0.1:8102", "state": "live"}}'
edit endpoints '{
  "engine-a": {"zone": "a", "address": "127.0.0.1:8201", "kind": "engine", "models": ["chef-8b"], "slots": 16, "cache_tokens": 200000, "checks_fencing": true, "state": "live"},
  "engine-b": {"zone": "b", "address": "127.0.0.1:8202", "kind": "engine", "models": ["chef-8b"], "slots": 16, "cache_tokens": 200000, "checks_fencing": true, "state": "live"},
  "deposits-a": {"zone": "a", "address": "127.0.0.1:8301", "kind": "service", "service": "deposits", "slots": 16, "state": "live"},
  "deposits-b": {"zone": "b", "address": "127.0.0.1:8302", "kind": "service", "service": "deposits", "slots": 16, "state": "live"}}'
edit payments '{"deposits": {"timeout": "10s", "paths": {"/actions/*": {"repeatable": false}}}}'
edit programs '{"default": {"models": ["chef-8b"], "budget_tokens": 200000, "max_turns": 96, "max_duration": "1h", "tool_timeout": "1m", "idle_limit": "10m", "priority": "interactive"}}'
edit objectives '{"answers": {"measure": "turns", "within": "5s", "target": 0.99, "window": "720h"}}'

until curl -sf http://127.0.0.1:8002/readyz >/dev/null; do sleep 0.1; done
sleep 2 # the daemons' heartbeats and zone digests
"$folder/jasmineknot" program run --model chef-8b --workspace demo --max-tokens 30 "a menu for 120 guests" "without fish"
"$folder/jasmineknot" status
"$folder/jasmineknot" report --html "$folder/report.html"
if [ "${1:-}" != once ]; then
  echo "the site serves callers at http://127.0.0.1:8001 and http://127.0.0.1:8002, logs are in $folder; stop it by Ctrl-C"
  wait
fi
