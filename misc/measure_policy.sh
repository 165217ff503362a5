#!/usr/bin/env bash
# Compares the managed policy with the naive policy: runs the same load with the same seed once with
# each policy on all entries, with real processes on loopback. Prints a table and the targets.
#   measure_policy.sh [--scenario NAME] [--network PREFIX] [--seed N] [--seconds N] [--policy NAME]
# Scenarios: steady straggler slow overload domain everything idle. --network replaces the
# first two octets of all addresses (default 127.60). EXTRA_LOAD replaces extra_load of all profiles.
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
# One slot per server keeps the capacity below what the CPU of the machine can serve.
OverloadSlots=1
OverloadFactor=1.5
# Ratio of mean to median of the log-normal execution times of the simulated upstreams, for a spread of
# 0.2.
MeanToMedianRatio=1.0202
SeatFinderServers=2
WarmUpS=4
# At the low rate of this scenario the 99th percentile requires a longer run.
StragglerSecondsFactor=3
SettleS=2
EvacuationStartS=3
EvacuationEndS=9

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
      echo "unknown argument $1; see the usage comment in the script" >&2
      exit 2
      ;;
  esac
  shift 2
done

work=$(mktemp -d)
run=$work/run
deployment_directory=$work/footlights
trap 'stop_deployment; rm -rf "$work"' EXIT
trap 'exit 130' INT TERM

# inject_fault JSON: sends a fault to the control endpoint of the deployment simulator.
inject_fault() { curl -fs -m 5 -X POST -d "$1" "http://$network.0.1:7001/fault" >/dev/null; }

# set_load MIX QUERIES_PER_S SERVICE_TIME_MS
set_load() { mix=$1 rate=$2 service_time=$3; }

# configure SCENARIO: writes the deployment files of a run and sets its load.
configure() {
  mkdir -p "$deployment_directory"
  cp "$root"/misc/deployments/footlights/*.json "$deployment_directory"
  if [ -n "${EXTRA_LOAD:-}" ]; then
    sed -i "s/\"extra_load\":[0-9.]*/\"extra_load\":$EXTRA_LOAD/" "$deployment_directory/config.json"
  fi
  case $1 in
    # At this rate a straggler stays below its capacity, even if the naive policy sends it half of the
    # requests.
    straggler) set_load matinee-listing=3,access-check=1 16 $ServiceTimeMs ;;
    domain | everything) set_load matinee-listing=2,access-check=2,deposit=1 50 $ServiceTimeMs ;;
    overload)
      # Moves the archive search to the same group, so that all three priorities compete.
      sed -i -e "/\"group\/seat-finder\"/s/\"slots\":[0-9]*/\"slots\":$OverloadSlots/" \
        -e '/"profile\/reconciliation"/s/season-ledger/seat-finder/' "$deployment_directory/config.json"
      set_load access-check=1,matinee-listing=2,reconciliation=1 \
        "$(calculate "$(capacity) * $OverloadFactor")" $OverloadServiceTimeMs
      ;;
    *) set_load matinee-listing=1,access-check=1 50 $ServiceTimeMs ;;
  esac
}

calculate() { awk "BEGIN { print $1 }"; }

# capacity: prints the queries/s that the seat-finder servers can execute in the overload scenario.
capacity() {
  calculate "$SeatFinderServers * $OverloadSlots * 1000 / ($OverloadServiceTimeMs * $MeanToMedianRatio)"
}

# Slows one replica of each service of the seat-finder group.
slow_replicas() {
  local service
  for service in $(seq -w 1 20); do
    inject_fault "{\"kind\":\"slow\",\"upstream\":\"seat-finder-$service-a\",\"delay_ms\":$SlowDelayMs}"
  done
}

# inject_scenario_faults SCENARIO: starts the faults of a run.
inject_scenario_faults() {
  case $1 in
    straggler) slow_replicas ;;
    slow | everything)
      inject_fault "{\"kind\":\"slow\",\"delay_ms\":$SlowDelayMs,\"share\":$SlowShare}"
      if [ "$1" = everything ]; then slow_replicas; fi
      ;;
  esac
}

evacuate_and_restore() {
  sleep $EvacuationStartS
  inject_fault '{"kind":"config_set","key":"out/domains","value":["brum-a"]}'
  sleep $((EvacuationEndS - EvacuationStartS))
  inject_fault '{"kind":"config_set","key":"out/domains","value":[]}'
}

# send_load SECONDS OUTPUT SEED: runs the load generator and writes its report to a file.
send_load() {
  "$build/persimmon-load" --entries "$network.1.1:7100,$network.1.3:7100,$network.1.5:7100" \
    --rate "$rate" --seconds "$1" --seed "$3" --connections 1000 --config "$deployment_directory/config.json" \
    --mix "$mix" --json >"$2"
}

simulator_state() { curl -fs -m 5 "http://$network.0.1:7001/state"; }

# begin_run: starts the deployment; prints the last lines of its logs if that fails.
begin_run() {
  if ! start_deployment >"$work/log"; then
    tail -n 3 "$work/log" "$run"/*.log >&2
    exit 1
  fi
}

# sample_middle SECONDS RESULT: saves the counters at two times under load, so that the start and the
# end of the load are excluded.
sample_middle() {
  sleep $SettleS
  simulator_state >"$2.first"
  sleep $(($1 - SettleS - 1))
  simulator_state >"$2.last"
}

# measure SCENARIO POLICY: executes one run and prints its rows of the table.
measure() {
  local scenario=$1 policy=$2 result=$work/$1-$2 load_s=$seconds
  configure "$scenario"
  STANDIN_FLAGS="--service-time $service_time --seed $seed" ENTRY_FLAGS="--policy $policy" begin_run
  send_load $WarmUpS "$work/warm.json" $((seed + 1000))
  inject_scenario_faults "$scenario"
  simulator_state >"$result.before"
  case $scenario in
    straggler) load_s=$((seconds * StragglerSecondsFactor)) ;;
    domain | everything)
      load_s=$((EvacuationEndS + 5))
      evacuate_and_restore &
      ;;
  esac
  sample_middle "$load_s" "$result" &
  send_load "$load_s" "$result.load" "$seed"
  simulator_state >"$result.after"
  echo $((load_s - SettleS - 1)) >"$result.seconds"
  stop_deployment
  report_rows "$scenario" "$policy" "$result"
}

# measure_idle: measures memory and CPU time of each daemon of one host without load.
measure_idle() {
  local name pid
  configure idle
  begin_run
  sleep $WarmUpS
  for name in agent-h1 dispatch-h1 entry-h1; do
    pid=$(awk -v name=$name '$2 == name { print $1 }' "$run/pids")
    report_idle "$name" "$pid" "$seconds" &
  done
  sleep $((seconds + 1))
  stop_deployment
}

# measure_added_latency: measures the latency that entry and dispatcher add to a query over 20 shards.
measure_added_latency() {
  configure steady
  set_load matinee-listing=1 20 0.01
  STANDIN_FLAGS="--service-time 0.01 --seed $seed" begin_run
  send_load $WarmUpS "$work/warm.json" $((seed + 1000))
  send_load "$seconds" "$work/added.load" "$seed"
  stop_deployment
  report_added_latency "$work/added.load"
}

echo "cores $(nproc), load average $(cut -d' ' -f1 /proc/loadavg), seed $seed, $(git -C "$root" describe --always --dirty)"
print_header
for scenario in "${scenarios[@]}"; do
  if [ "$scenario" = idle ]; then
    measure_added_latency
    measure_idle
    continue
  fi
  for policy in "${policies[@]}"; do measure "$scenario" "$policy"; done
  report_targets "$scenario"
done
