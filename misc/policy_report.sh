#!/usr/bin/env bash
# Table and targets of measure_policy.sh, which sources this file and sets work, the directory of the
# results.

TargetLatencyRatio=3
TargetExtraLoadPercent=5
TargetCoveragePercent=99
TargetGoodputPercent=90
TargetAddedLatencyMs=2
TargetMemoryMb=20
TargetCpuPercent=0.5
# Deadline of the critical profile access-check, and the limit of its p99 latency under overload.
AccessCheckDeadlineMs=150
ShardsPerQuery=20

print_header() {
  printf '%-10s %-7s %-15s %5s %7s %7s %7s %8s %6s %6s %5s  %s\n' scenario policy profile sent p50 p99 \
    p99.9 coverage full extra peak refusals
}

# executions RESULT: prints the upstream executions of the run, as counted by the simulated upstreams.
executions() { echo $(($(jq .executions "$1.after") - $(jq .executions "$1.before"))); }

# extra_percent RESULT: prints the upstream executions beyond the required ones, in percent of these.
extra_percent() {
  jq -r --argjson executed "$(executions "$1")" \
    '([.profiles[].needed_executions] | add) as $needed
     | if $needed > 0 then ($executed / $needed - 1) * 100 * 10 | round / 10 else 0 end' "$1.load"
}

# report_rows SCENARIO POLICY RESULT: prints one row for each profile of the run.
report_rows() {
  local peak
  peak=$(jq '[.upstreams[].peak_load] | max' "$3.after")
  jq -r --arg extra "$(extra_percent "$3")" --arg peak "$peak" '
    def round1: . * 10 | round / 10;
    .profiles | to_entries[] | .key as $name | .value
    | [$name, .sent, (.latency_ms.p50, .latency_ms.p99, .latency_ms.p999 | round1),
       (.mean_coverage * 1000 | round / 10),
       (if .done > 0 then (.coverage_percent["100"] // 0) / .done * 100 | round1 else 0 end),
       $extra, $peak,
       (.errors | to_entries | map("\(.key)=\(.value)") | join(",") | if . == "" then "-" else . end)]
    | map(tostring) | join(" ")' "$3.load" |
    while read -r name sent p50 p99 p999 coverage full extra peak errors; do
      printf '%-10s %-7s %-15s %5s %7s %7s %7s %7s%% %5s%% %5s%% %5s  %s\n' "$1" "$2" "$name" "$sent" \
        "$p50" "$p99" "$p999" "$coverage" "$full" "$extra" "$peak" "$errors"
    done
}

# check_target DESCRIPTION VALUE OPERATOR TARGET: prints whether the value meets the target.
check_target() {
  local verdict=missed
  if awk "BEGIN { exit !($2 $3 $4) }"; then verdict=reached; fi
  echo "  $verdict: $1: $2 (target $3 $4)"
}

# profile_value RESULT PROFILE PATH: prints a number of the load report.
profile_value() { jq -r ".profiles[\"$2\"]$3 // 0" "$1.load"; }

# failed_requests RESULT PROFILE: prints the number of requests whose outcome is not done.
failed_requests() { jq -r ".profiles[\"$2\"] | .sent - .done" "$1.load"; }

# goodput_percent RESULT: prints the percentage of the capacity that is spent on shards of answers with
# the outcome done. This is the utilization in the middle of the run, times the fraction of all
# executions of the run that contributed to such an answer. A cancelled execution counts as wasted in
# full.
goodput_percent() {
  local used executed
  used=$(($(jq .executions "$1.last") - $(jq .executions "$1.first")))
  executed=$(executions "$1")
  jq -r --argjson used "$used" --argjson executed "$executed" --argjson capacity "$(capacity)" \
    --argjson shards $ShardsPerQuery --argjson seconds "$(cat "$1.seconds")" \
    '([.profiles[] | .done * .mean_coverage * $shards] | add) as $useful
     | $used / ($capacity * $shards * $seconds) * $useful / $executed * 1000 | round / 10' "$1.load"
}

# report_targets SCENARIO: compares the results with the targets of the design document that apply to
# this scenario.
report_targets() {
  local naive=${work:?}/$1-naive managed=$work/$1-managed
  if [ ! -f "$managed.load" ]; then return 0; fi
  if [ "$1" = straggler ] && [ -f "$naive.load" ]; then
    check_target "matinee-listing p99, naive over managed" \
      "$(calculate "$(profile_value "$naive" matinee-listing .latency_ms.p99) / $(profile_value "$managed" matinee-listing .latency_ms.p99)")" \
      ">=" $TargetLatencyRatio
  fi
  if [ "$1" = straggler ]; then
    check_target "extra upstream executions in percent" "$(extra_percent "$managed")" "<=" $TargetExtraLoadPercent
  fi
  if [ "$1" = overload ]; then
    check_target "useful shard answers, percent of capacity" "$(goodput_percent "$managed")" ">=" $TargetGoodputPercent
    [ ! -f "$naive.load" ] || echo "  naive: useful shard answers, percent of capacity: $(goodput_percent "$naive")"
    check_target "access-check p99 in ms" "$(profile_value "$managed" access-check .latency_ms.p99)" "<=" $AccessCheckDeadlineMs
    check_target "access-check not done" "$(failed_requests "$managed" access-check)" "<=" 0
    return
  fi
  check_target "matinee-listing mean coverage in percent" \
    "$(calculate "$(profile_value "$managed" matinee-listing .mean_coverage) * 100")" ">=" $TargetCoveragePercent
  if [ "$1" = domain ]; then
    check_target "access-check not done" "$(failed_requests "$managed" access-check)" "<=" 0
    check_target "deposit not done" "$(failed_requests "$managed" deposit)" "<=" 0
  fi
}

# report_added_latency LOAD_REPORT
report_added_latency() {
  local p50
  p50=$(jq '.profiles["matinee-listing"].latency_ms.p50 * 100 | round / 100' "$1")
  check_target "median of a query over $ShardsPerQuery shards in ms, simulated upstreams at 0.01 ms" "$p50" "<=" $TargetAddedLatencyMs
}

# cpu_ticks PID: prints the user and system time of a process in clock ticks.
cpu_ticks() { awk '{ print $14 + $15 }' "/proc/$1/stat"; }

# report_idle NAME PID SECONDS: measures a process for this time and prints its targets.
report_idle() {
  local before after memory
  before=$(cpu_ticks "$2")
  sleep "$3"
  after=$(cpu_ticks "$2")
  memory=$(awk '/^VmRSS/ { print $2 / 1024 }' "/proc/$2/status")
  check_target "$1 idle memory in MB" "$memory" "<=" $TargetMemoryMb
  check_target "$1 idle processor time in percent of a core" \
    "$(calculate "($after - $before) / $(getconf CLK_TCK) / $3 * 100")" "<=" $TargetCpuPercent
}
