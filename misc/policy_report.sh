#!/usr/bin/env bash
# Rows and targets of measure_policy.sh, which sources this file and sets work, the folder of the
# results.

GoalLatencyRatio=3
GoalExtraLoadPercent=5
GoalCoveragePercent=99
GoalUsefulPercent=90
GoalAddedMs=2
GoalMemoryMb=20
GoalCorePercent=0.5
# Answers of critical profiles under overload stay within this part of the deadline.
AccessCheckDeadlineMs=150
ShardsPerQuery=20

print_header() {
  printf '%-10s %-7s %-15s %5s %7s %7s %7s %8s %6s %6s %5s  %s\n' scenario policy profile sent p50 p99 \
    p99.9 coverage full extra peak refusals
}

# executions RESULT: upstream executions of the run, counted by the stand-ins.
executions() { echo $(($(jq .executions "$1.after") - $(jq .executions "$1.before"))); }

# extra_percent RESULT: upstream executions beyond the needed ones.
extra_percent() {
  jq -r --argjson executed "$(executions "$1")" \
    '([.profiles[].needed_executions] | add) as $needed
     | if $needed > 0 then ($executed / $needed - 1) * 100 * 10 | round / 10 else 0 end' "$1.load"
}

# report_rows SCENARIO POLICY RESULT: one row for each profile of the run.
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

# target TEXT VALUE OPERATOR GOAL
target() {
  local verdict=missed
  if awk "BEGIN { exit !($2 $3 $4) }"; then verdict=reached; fi
  echo "  $verdict: $1: $2 (goal $3 $4)"
}

# profile_value RESULT PROFILE PATH: a number of the load report.
profile_value() { jq -r ".profiles[\"$2\"]$3 // 0" "$1.load"; }

# refused RESULT PROFILE: requests without a done answer.
refused() { jq -r ".profiles[\"$2\"] | .sent - .done" "$1.load"; }

# useful_percent RESULT: shards in done answers, as a part of what the servers can execute.
useful_percent() {
  jq -r --argjson capacity "$(capacity)" --argjson shards $ShardsPerQuery \
    --argjson seconds "$(cat "$1.seconds")" \
    '[.profiles[] | .done * .mean_coverage * $shards] | add / ($capacity * $shards * $seconds) * 100
     | . * 10 | round / 10' "$1.load"
}

# report_targets SCENARIO: goals of the design page that this scenario shows.
report_targets() {
  local naive=${work:?}/$1-naive managed=$work/$1-managed
  if [ "$1" = straggler ]; then
    target "matinee-listing p99, naive over managed" \
      "$(calculate "$(profile_value "$naive" matinee-listing .latency_ms.p99) / $(profile_value "$managed" matinee-listing .latency_ms.p99)")" \
      ">=" $GoalLatencyRatio
    target "extra upstream executions in percent" "$(extra_percent "$managed")" "<=" $GoalExtraLoadPercent
  fi
  if [ "$1" = overload ]; then
    target "useful shard answers, percent of capacity" "$(useful_percent "$managed")" ">=" $GoalUsefulPercent
    echo "  naive: useful shard answers, percent of capacity: $(useful_percent "$naive")"
    target "access-check p99 in ms" "$(profile_value "$managed" access-check .latency_ms.p99)" "<=" $AccessCheckDeadlineMs
    target "access-check not done" "$(refused "$managed" access-check)" "<=" 0
    return
  fi
  target "matinee-listing mean coverage in percent" \
    "$(calculate "$(profile_value "$managed" matinee-listing .mean_coverage) * 100")" ">=" $GoalCoveragePercent
  if [ "$1" = domain ]; then
    target "access-check not done" "$(refused "$managed" access-check)" "<=" 0
    target "deposit not done" "$(refused "$managed" deposit)" "<=" 0
  fi
}

# report_added_time LOAD
report_added_time() {
  local p50
  p50=$(jq '.profiles["matinee-listing"].latency_ms.p50 * 100 | round / 100' "$1")
  target "median of a query over $ShardsPerQuery shards in ms, stand-ins at 0.01 ms" "$p50" "<=" $GoalAddedMs
}

processor_ticks() { awk '{ print $14 + $15 }' "/proc/$1/stat"; }

# report_idle NAME PID SECONDS
report_idle() {
  local before after memory
  before=$(processor_ticks "$2")
  sleep "$3"
  after=$(processor_ticks "$2")
  memory=$(awk '/^VmRSS/ { print $2 / 1024 }' "/proc/$2/status")
  target "$1 idle memory in MB" "$memory" "<=" $GoalMemoryMb
  target "$1 idle processor time in percent of a core" \
    "$(calculate "($after - $before) / $(getconf CLK_TCK) / $3 * 100")" "<=" $GoalCorePercent
}
