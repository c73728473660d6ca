#!/usr/bin/env bash
# bench-path.sh BUILD_DIR: cost of the request path, all in one run on
# loopback: direct calls to an engine without delays, the same through a bare
# pass-through proxy, and through one VM.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$1/packages
requests=${PATH_REQUESTS:-12000}
streams=${PATH_STREAMS:-2000}
rounds=${PATH_ROUNDS:-3}
work=$(mktemp -d)
pids=()
cleanup ()
{
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap cleanup EXIT
trap 'exit 130' INT TERM
ulimit -n "$(ulimit -Hn)" 2>/dev/null || true
field () { sed -n "s/.*\"$1\":\([0-9.]*\).*/\1/p" <<<"$2"; }
calc () { awk "BEGIN { printf \"$1\", $2 }"; }
start () # NAME command...
{
  local name=$1
  shift
  "$@" >"$work/$name.out" 2>"$work/$name.log" &
  pids+=($!)
  eval "pid_$name=$!"
  disown
}
address ()
{
  local n
  for ((n = 0; n < 100; n++)); do
    if grep -q listening "$work/$1.out" 2>/dev/null; then
      sed -n 's/.* listening //p' "$work/$1.out"
      return 0
    fi
    sleep 0.05
  done
  echo "path: $1 did not start" >&2
  return 1
}
cpu_ticks () { awk '{ print $14 + $15 }' "/proc/$1/stat"; }
rss_kb () { awk '/^VmRSS/ { print $2 }' "/proc/$1/status"; }
next_port=$((20000 + ($$ * 37) % 10000))
take_port ()
{
  while (exec 3<>"/dev/tcp/127.0.0.1/$next_port") 2>/dev/null; do
    next_port=$((next_port + 1))
  done
  port=$next_port
  next_port=$((next_port + 1))
}

# set_up EXTRA-ENGINE-OPTIONS...: platform, engine, pass-through and VM.
set_up ()
{
  local n
  start platform "$bin/testing/standin-platform"
  platform=$(address platform)
  start engine "$bin/testing/standin-engine" --instant --slots 4096 \
    --platform "$platform" "$@"
  engine=$(address engine)
  start proxy "$bin/testing/passthrough" 127.0.0.1:0 "$engine"
  proxy=$(address proxy)
  take_port; vm=127.0.0.1:$port
  take_port; peers=127.0.0.1:$port
  cat >"$work/vm.yaml" <<YAML
vm: {name: vm-0, region: region-1, data_center: dc-1}
listen: {callers: $vm, peers: $peers}
platform: {store: $platform, vm_list: $platform, weights: $platform}
log: {level: warning, format: plain}
limits: {open_requests: 200000, connections: 8192}
YAML
  curl -sS -f -X POST "http://$platform/vms" -d "{\"vms\":[{\"name\":\"vm-0\",
    \"kind\":\"vm\",\"address\":\"$vm\",\"peer_address\":\"$peers\",
    \"region\":\"region-1\",\"data_center\":\"dc-1\",\"state\":\"live\"}]}" \
    >/dev/null
  start vm "$bin/server/dotterelbend" --config "$work/vm.yaml"
  for ((n = 0; n < 200; n++)); do
    curl -sS -f -m 1 "http://$vm/readyz" >/dev/null 2>&1 && break
    sleep 0.05
  done
  sleep 1
}
tear_down ()
{
  local pid
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  sleep 0.2
  pids=()
  rm -f "$work"/*.out
}
load () { "$bin/testing/pathload" --target "$1" "${@:2}" || true; }
# Requests a second of processor time of process $2, as one core would serve.
per_core ()
{
  local before after out
  before=$(cpu_ticks "$2")
  out=$(load "$1" --connections 32 --requests "$requests")
  after=$(cpu_ticks "$2")
  echo "$out" >>"$work/runs"
  calc "%.0f\n" "$(field requests "$out") * $(getconf CLK_TCK) / ($after - $before + 0.001)"
}
median () { sort -n | awk '{ v[NR] = $1 } END { print v[int((NR + 1) / 2)] }'; }

set_up
load "$engine" --connections 32 --requests 1000 >/dev/null
load "$proxy" --connections 32 --requests 1000 >/dev/null
load "$vm" --connections 32 --requests 1000 >/dev/null
for ((i = 0; i < rounds; i++)); do
  per_core "$engine" "$pid_engine" >>"$work/rps_direct"
  per_core "$proxy" "$pid_proxy" >>"$work/rps_proxy"
  per_core "$vm" "$pid_vm" >>"$work/rps_vm"
done
direct=$(median <"$work/rps_direct")
through=$(median <"$work/rps_proxy")
ours=$(median <"$work/rps_vm")
errors=$(sed -n 's/.*"errors":\([0-9]*\).*/\1/p' "$work/runs" \
  | awk '{ sum += $1 } END { print sum + 0 }')
echo "path: requests/s of one core, median of $rounds: engine $direct, pass-through $through, VM $ours (errors $errors)"

rate=$((ours / 2))
[ "$rate" -ge 100 ] || rate=100
[ "$rate" -le 20000 ] || rate=20000
for ((i = 0; i < rounds; i++)); do
  for what in engine proxy vm; do
    out=$(load "${!what}" --connections 64 --rate "$rate" \
      --requests $((rate * 2)) --seconds 10)
    [ "$(field errors "$out")" = 0 ] || echo "path: $what: $out" >&2
    field p99_us "$out" >>"$work/p99_$what"
  done
done
p99_direct=$(median <"$work/p99_engine")
p99_proxy=$(median <"$work/p99_proxy")
p99_vm=$(median <"$work/p99_vm")
echo "path: p99 at $rate requests/s, median of $rounds: engine $p99_direct us, pass-through $p99_proxy us, VM $p99_vm us"
tear_down

set_up --stall-after 1
before=$(rss_kb "$pid_vm")
start hold "$bin/testing/pathload" --target "$vm" --connections "$streams" --hold
for ((n = 0; n < 300; n++)); do
  [ -s "$work/hold.out" ] && break
  sleep 0.1
done
open=$(field open "$(cat "$work/hold.out")")
after=$(rss_kb "$pid_vm")
if [ "${open:-0}" != "$streams" ]; then
  echo "path: only ${open:-some} of $streams streams are open" >&2
fi
kb=$(calc "%.1f" "($after - $before) / $streams")
echo "path: $streams open streams: VM $before KB before, $after KB with them"
tear_down

ratio=$(calc "%.2f" "$ours / $through")
added=$(calc "%.2f" "($p99_vm - $p99_direct) / (($p99_proxy > $p99_direct) ? $p99_proxy - $p99_direct : 1)")
echo "path: $ratio of pass-through requests a second, $added of its added p99, $kb KB a stream"
