#!/usr/bin/env bash
# Measures the managed policy against --policy naive: the same load with the same seed, once with
# all entries on each policy, over real processes on loopback. Prints one table and the targets.
#   measure_policy.sh [--scenario NAME] [--network PREFIX] [--seed N] [--seconds N] [--policy NAME]
# Scenarios: steady straggler slow overload domain everything idle. --network is the first two
# numbers of all addresses (default 127.60). EXTRA_LOAD replaces extra_load of all profiles.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
# shellcheck source=misc/run_deployment.sh
source "$root/misc/run_deployment.sh"
# shellcheck source=misc/policy_report.sh
source "$root/misc/policy_report.sh"

SlowDelayMs=300
SlowShare=0.05
ServiceTimeMs=5
OverloadServiceTimeMs=20
# With one slot per server the capacity is low enough that the machine is not the limit.
OverloadSlots=1
OverloadFactor=1.5
# Mean of the stand-in's log-normal execution time over its median, for a spread of 0.2.
MeanOverMedian=1.0202
SeatFinderServers=2
WarmUpS=4
# The rate is low, so that the 99th percentile needs a longer run.
StragglerSecondsFactor=3
DomainLeavesAfterS=3
DomainReturnsAfterS=9

scenarios=(steady straggler slow overload domain everything idle)
network=127.60 seed=1 seconds=10
policies=(naive managed)
while [ $# -gt 0 ]; do
  case $1 in
    --scenario) scenarios=("${2:?scenario}") ;;
    --network) network=${2:?network} ;;
    --seed) seed=${2:?seed} ;;
    --seconds) seconds=${2:?seconds} ;;
    --policy) policies=("${2:?policy}") ;;
    *)
      echo "unknown argument $1; see the head of the script" >&2
      exit 2
      ;;
  esac
  shift 2
done

work=$(mktemp -d)
run=$work/run
folder=$work/footlights
trap 'stop; rm -rf "$work"' EXIT
trap 'exit 130' INT TERM

fault() { curl -fs -m 5 -X POST -d "$1" "http://$network.0.1:7001/fault" >/dev/null; }

# set_load MIX RATE SERVICE_TIME_MS
set_load() { mix=$1 rate=$2 service_time=$3; }

# configure SCENARIO: writes the deployment for a run, and sets its load.
configure() {
  mkdir -p "$folder"
  cp "$root"/misc/deployments/footlights/*.json "$folder"
  if [ -n "${EXTRA_LOAD:-}" ]; then
    sed -i "s/\"extra_load\":[0-9.]*/\"extra_load\":$EXTRA_LOAD/" "$folder/config.json"
  fi
  case $1 in
    # At this rate a straggler that naive gives half of the work to is still below its capacity.
    straggler) set_load matinee-listing=3,access-check=1 16 $ServiceTimeMs ;;
    domain | everything) set_load matinee-listing=2,access-check=2,deposit=1 50 $ServiceTimeMs ;;
    overload)
      # The archive search is put on the same group, so that all three priorities compete.
      sed -i -e "/\"group\/seat-finder\"/s/\"slots\":[0-9]*/\"slots\":$OverloadSlots/" \
        -e '/"profile\/reconciliation"/s/season-ledger/seat-finder/' "$folder/config.json"
      set_load access-check=1,matinee-listing=2,reconciliation=1 \
        "$(calculate "$(capacity) * $OverloadFactor")" $OverloadServiceTimeMs
      ;;
    *) set_load matinee-listing=1,access-check=1 50 $ServiceTimeMs ;;
  esac
}

calculate() { awk "BEGIN { print $1 }"; }

# capacity: queries/s that the seat-finder servers can execute in the overload scenario.
capacity() {
  calculate "$SeatFinderServers * $OverloadSlots * 1000 / ($OverloadServiceTimeMs * $MeanOverMedian)"
}

slow_replicas() {
  local service
  for service in $(seq -w 1 20); do
    fault "{\"kind\":\"slow\",\"upstream\":\"seat-finder-$service-a\",\"delay_ms\":$SlowDelayMs}"
  done
}

# inject SCENARIO: switches the faults of a run on.
inject() {
  case $1 in
    straggler) slow_replicas ;;
    slow | everything)
      fault "{\"kind\":\"slow\",\"delay_ms\":$SlowDelayMs,\"share\":$SlowShare}"
      if [ "$1" = everything ]; then slow_replicas; fi
      ;;
  esac
}

domain_leaves_and_returns() {
  sleep $DomainLeavesAfterS
  fault '{"kind":"config_set","key":"out/domains","value":["brum-a"]}'
  sleep $((DomainReturnsAfterS - DomainLeavesAfterS))
  fault '{"kind":"config_set","key":"out/domains","value":[]}'
}

# send_load SECONDS OUTPUT SEED
send_load() {
  "$build/persimmon-load" --entries "$network.1.1:7100,$network.1.3:7100,$network.1.5:7100" \
    --rate "$rate" --seconds "$1" --seed "$3" --connections 1000 --config "$folder/config.json" \
    --mix "$mix" --json >"$2"
}

standin_state() { curl -fs -m 5 "http://$network.0.1:7001/state"; }

# measure SCENARIO POLICY: one run; prints its rows of the table.
measure() {
  local scenario=$1 policy=$2 result=$work/$1-$2 load_s=$seconds
  configure "$scenario"
  STANDIN_FLAGS="--service-time $service_time --seed $seed" ENTRY_FLAGS="--policy $policy" start >"$work/log"
  send_load $WarmUpS "$work/warm.json" $((seed + 1000))
  inject "$scenario"
  standin_state >"$result.before"
  case $scenario in
    straggler) load_s=$((seconds * StragglerSecondsFactor)) ;;
    domain | everything)
      load_s=$((DomainReturnsAfterS + 5))
      domain_leaves_and_returns &
      ;;
  esac
  send_load "$load_s" "$result.load" "$seed"
  standin_state >"$result.after"
  echo "$load_s" >"$result.seconds"
  stop
  report_rows "$scenario" "$policy" "$result"
}

# measure_idle: memory and processor time of each program of one host without load.
measure_idle() {
  local name pid
  configure idle
  start >"$work/log"
  sleep $WarmUpS
  for name in agent-h1 dispatch-h1 entry-h1; do
    pid=$(awk -v name=$name '$2 == name { print $1 }' "$run/pids")
    report_idle "$name" "$pid" "$seconds" &
  done
  sleep $((seconds + 1))
  stop
}

# measure_added_time: what the tier adds to a query over 20 shards.
measure_added_time() {
  configure steady
  set_load matinee-listing=1 20 0.01
  STANDIN_FLAGS="--service-time 0.01 --seed $seed" start >"$work/log"
  send_load $WarmUpS "$work/warm.json" $((seed + 1000))
  send_load "$seconds" "$work/added.load" "$seed"
  stop
  report_added_time "$work/added.load"
}

echo "cores $(nproc), load average $(cut -d' ' -f1 /proc/loadavg), seed $seed, $(git -C "$root" describe --always --dirty)"
print_header
for scenario in "${scenarios[@]}"; do
  if [ "$scenario" = idle ]; then
    measure_added_time
    measure_idle
    continue
  fi
  for policy in "${policies[@]}"; do measure "$scenario" "$policy"; done
  if [ "${#policies[@]}" = 2 ]; then report_targets "$scenario"; fi
done
