#!/usr/bin/env bash
# demo.sh BUILD_DIR: end-to-end run with stand-in upstreams on loopback.
# 9 VMs, 9 engines of three speeds and 3 services in 3 data centres of 2
# regions.  During the run one VM is killed, one is drained, and one setting is
# changed.  Exits non-zero when callers and upstreams disagree.
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
requests=${DEMO_REQUESTS:-1200}
rate=${DEMO_RATE:-60}
seed=${DEMO_SEED:-1}
bin=$build/packages
token=demo-root-token-0123456789
work=$(mktemp -d)
pids=()
cleanup ()
{
  local status=$?
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  if [ "$status" = 0 ]; then
    rm -rf "$work"
  else
    echo "demo: failed; logs are kept in $work"
  fi
}
trap cleanup EXIT
trap 'exit 130' INT TERM
begin=$(date +%s%N)
stage () { printf 'demo: %5.1f s  %s\n' "$((($(date +%s%N) - begin) / 100000000))e-1" "$*"; }

# start NAME command...: starts a process; its log is $work/NAME.log.
start ()
{
  local name=$1
  shift
  "$@" >"$work/$name.out" 2>"$work/$name.log" &
  pids+=($!)
  eval "pid_${name//-/_}=$!"
}
# address NAME: the address that a stand-in announced.
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
  echo "demo: $1 did not start" >&2
  return 1
}
post () { curl -sS -f -m 5 -X POST -d "$2" "http://$1" >/dev/null; }

# Free loopback ports below the range that outgoing connections use.
next_port=$((20000 + ($$ * 37) % 10000))
take_port ()
{
  while (exec 3<>"/dev/tcp/127.0.0.1/$next_port") 2>/dev/null; do
    next_port=$((next_port + 1))
  done
  port=$next_port
  next_port=$((next_port + 1))
}

start platform "$bin/testing/standin-platform" --list-lag-ms 300
platform=$(address platform)

centres=(rajkot-a jamnagar-b ahmedabad-a)
regions=(gujarat-west gujarat-west gujarat-east)
upstreams=()
for i in 0 1 2; do
  speeds=("30 4000" "50 8000" "90 16000")
  for s in 0 1 2; do
    read -r decode prefill <<<"${speeds[$s]}"
    start "engine-$i$s" "$bin/testing/standin-engine" --platform "$platform" \
      --name "engine-${centres[$i]}-$s" --region "${regions[$i]}" \
      --data-center "${centres[$i]}" --slots 8 --decode "$decode" \
      --prefill "$prefill" --decode-fall 0.05 --time-scale 5 \
      --report-lag-ms 100 --cache-gap-rate 0.02
    upstreams+=("engine-$i$s")
  done
  start "service-$i" "$bin/testing/standin-service" --platform "$platform" \
    --name "orders-${centres[$i]}" --service orders \
    --region "${regions[$i]}" --data-center "${centres[$i]}" --delay-ms 5
  upstreams+=("service-$i")
done
for u in "${upstreams[@]}"; do address "$u" >/dev/null; done
stage "1 platform, 9 engines and 3 services run"

vm_callers=()
vm_admin=()
entries=()
for v in 0 1 2 3 4 5 6 7 8; do
  centre=${centres[$((v / 3))]}
  region=${regions[$((v / 3))]}
  take_port; callers=127.0.0.1:$port
  take_port; admin=127.0.0.1:$port
  take_port; peers=127.0.0.1:$port
  vm_callers+=("$callers")
  vm_admin+=("$admin")
  cat >"$work/vm-$v.yaml" <<YAML
vm: {name: vm-$v, region: $region, data_center: $centre}
listen: {callers: $callers, admin: $admin, peers: $peers}
platform: {store: $platform, vm_list: $platform, weights: $platform}
log: {level: info, format: plain}
admin:
  tokens:
    - {token: $token, scope: root}
YAML
  entries+=("{\"name\":\"vm-$v\",\"kind\":\"vm\",\"address\":\"$callers\",\
\"peer_address\":\"$peers\",\"region\":\"$region\",\
\"data_center\":\"$centre\",\"state\":\"live\"}")
done
post "$platform/vms" "{\"vms\":[$(IFS=,; echo "${entries[*]}")]}"
for v in 0 1 2 3 4 5 6 7 8; do
  start "vm-$v" "$bin/server/dotterelbend" --config "$work/vm-$v.yaml"
done
for v in 0 1 2 3 4 5 6 7 8; do
  for ((n = 0; ; n++)); do
    curl -sS -f -m 1 "http://${vm_callers[$v]}/readyz" >/dev/null 2>&1 && break
    if [ "$n" = 200 ]; then
      echo "demo: vm-$v is not ready" >&2
      exit 1
    fi
    sleep 0.05
  done
done
stage "9 VMs are ready in 3 data centres of 2 regions"

# version_of ADDRESS: settings version that a VM uses.
version_of ()
{
  curl -sS -m 1 -H "Authorization: Bearer $token" \
    "http://$1/admin/settings" 2>/dev/null \
    | sed -n 's/.*"version": *\([0-9]*\).*/\1/p' | head -1
}
# change_setting KEY VALUE: changes a setting of the root and prints how long
# it took until every running VM uses it.
change_setting ()
{
  local ctl=$bin/ctl/dotterelbendctl began now v wanted missing n
  began=$(date +%s%N)
  if ! DOTTERELBEND_TOKEN=$token "$ctl" --address "${vm_admin[0]}" \
      --operator demo set "$1" "$2" >"$work/set.out" 2>&1; then
    echo "demo: dotterelbendctl set failed: $(tail -1 "$work/set.out")" >&2
    return 1
  fi
  wanted=$(sed -n 's/^accepted as version \([0-9]*\).*/\1/p' "$work/set.out")
  for ((n = 0; n < 200; n++)); do
    missing=0
    for v in 0 1 2 4 5 6 7 8; do
      now=$(version_of "${vm_admin[$v]}")
      [ "${now:-0}" -ge "${wanted:?no version was accepted}" ] \
        || missing=$((missing + 1))
    done
    if [ "$missing" = 0 ]; then
      stage "setting $1=$2 is in force on 8 of 8 running VMs after $((($(date +%s%N) - began) / 1000000)) ms"
      return 0
    fi
    sleep 0.02
  done
  echo "demo: setting $1=$2 is not in force on $missing VMs" >&2
  return 1
}

seeds=$(IFS=,; echo "${vm_callers[*]}")
start load "$bin/testing/loadclient" --vms "$seeds" --requests "$requests" \
  --rate "$rate" --in-flight 200 --max-tokens 160 --seed "$seed" --timeout-ms 20000 \
  --report "$work/report.json"
load_pid=$pid_load
stage "load client sends $requests requests, $rate a second, seed $seed"
sleep 4
kill -KILL "$pid_vm_3"
{ wait "$pid_vm_3" || true; } 2>/dev/null
stage "vm-3 was killed with SIGKILL"
sleep 1
post "$platform/vms" '{"remove":["vm-3"]}'
sleep 3
change_setting tiers.strict_through 2
sleep 1
kill -TERM "$pid_vm_7"
stage "vm-7 drains after SIGTERM"
drain=0
wait "$pid_vm_7" || drain=$?
post "$platform/vms" '{"remove":["vm-7"]}'
stage "vm-7 ended with status $drain"
wait "$load_pid" || { echo "demo: the load client failed" >&2; exit 1; }
stage "load client ended: $(sed 's/^loadclient: //' "$work/load.log")"
received=()
for u in "${upstreams[@]}"; do
  curl -sS -f -m 5 "http://$(address "$u")/received" >"$work/$u.json"
  received+=("$work/$u.json")
done
stage "upstreams were asked what they received"
verdict=0
line=$("$bin/testing/loadclient" --judge "$work/report.json" "${received[@]}") \
  || verdict=1
echo "demo: $line"
if [ "$drain" != 0 ]; then
  echo "demo: the drained VM ended with status $drain" >&2
  exit 1
fi
exit $verdict
