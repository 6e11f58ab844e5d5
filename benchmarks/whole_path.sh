#!/usr/bin/env bash
# Latency and throughput of the whole path on loopback, compared in one run with calls that go to the
# worker's stand-in directly. Closed loop, a bounded count: benchmarks/whole_path.sh [REQUESTS]
# Prints one line per case: where, callers, and the load's report; then the processor time and the
# resident memory of the instance.
set -euo pipefail
cd "$(dirname "$0")/.."
programs=build/release
requests=${1:-50000}
folder=$(mktemp -d)
pids=()
finish() {
  kill "${pids[@]}" 2>/dev/null || true
  rm -rf "$folder"
}
trap finish EXIT

# Starts a program in the background, waits for its ready line and stores the address after a key.
address=
start() { # key, program, arguments...
  local key=$1 out="$folder/${#pids[@]}"
  shift
  "$@" >"$out" 2>"$out.log" &
  pids+=($!)
  until grep -q event=ready "$out"; do read -rt 0.05 <> <(:) || true; done
  address=$(sed -E "s/.* $key=([^ ]*).*/\1/" "$out")
}

listed=""
for index in 0 1 2 3; do
  start workers "$programs/worker-stand-in"
  [ "$index" -gt 0 ] || worker=$address
  listed+="{\"name\":\"w$index\",\"address\":\"$address\",\"service\":\"register-search\",\"slots\":8,\"connections\":64,
    \"rack\":\"r\",\"data_centre\":\"d\",\"region\":\"t\"},"
done
cat >"$folder/list.json" <<J
{"revision": 1, "instances": [{"name": "entry"}], "workers": [${listed%,}]}
J
start address "$programs/platform-stand-in" --list "$folder/list.json"
cat >"$folder/settings.json" <<J
{"instance": "entry", "region": "t", "data_centre": "d", "caller_listen": "127.0.0.1:0",
 "admin_listen": "127.0.0.1:0", "peer_listen": "127.0.0.1:0", "platform": "$address"}
J
start callers "$programs/plantaingapd" "$folder/settings.json"
entry=$address
instance=${pids[-1]}
# The instance must own the workers before it is measured.
until [ "$(curl -s -o "$folder/warm" -w '%{http_code}' -H 'Plantaingap-Idempotent: true' -X POST -d warm \
  "http://$entry/services/register-search/")" = 200 ]; do sleep 0.1; done

ticks() { awk '{print $14 + $15}' "/proc/$instance/stat"; }
for callers in 1 2 4 8 16; do
  echo "direct callers=$callers $("$programs/load" --server "$worker" --target /serve/register-search/ \
    --callers "$((callers > 8 ? 8 : callers))" --requests "$requests" | tail -1)"
  before=$(ticks)
  echo "through callers=$callers $("$programs/load" --server "$entry" --target /services/register-search/ \
    --class quick --callers "$callers" --requests "$requests" | tail -1)"
  echo "through callers=$callers processor_us_per_request=$((($(ticks) - before) * 10000 / requests))"
done
grep -E 'VmRSS|VmHWM' "/proc/$instance/status"
