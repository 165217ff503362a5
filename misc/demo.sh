#!/usr/bin/env bash
# Runs a deployment on loopback, sends queries, repeats a payment, evacuates a failure domain under
# load, and checks the results. Exits with 0 only if all checks pass.
#   demo.sh [bantay-kawan|footlights]
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
deployment=${1:-bantay-kawan}
build=${PERSIMMON_BUILD:-$root/build}
run=$(mktemp -d)
control=http://127.0.0.1:7001
entry=127.0.1.1:7100
failures=0

# Queries as "PROFILE OPERATION [KEY]", the profile of payments, the profile of the generated load, and
# the failure domain that is evacuated.
case $deployment in
  bantay-kawan)
    queries=("live-scoresheet search" "draw lookup dog-17" "handler-lookup lookup handler-4")
    payment_profile=entry-fee load_profile=live-scoresheet domain=luzon-bulacan
    ;;
  footlights)
    queries=("matinee-listing search" "access-check search" "group-booking lookup school-9"
      "reconciliation search")
    payment_profile=deposit load_profile=access-check domain=brum-a
    ;;
  *)
    echo "usage: demo.sh [bantay-kawan|footlights]" >&2
    exit 2
    ;;
esac

cleanup() {
  echo "stopping the deployment"
  "$root/misc/run_deployment.sh" stop "$run" || true
  if [ "$failures" = 0 ]; then rm -rf "$run"; else echo "the logs are in $run"; fi
}
trap cleanup EXIT
trap 'exit 130' INT TERM

# check DESCRIPTION COMMAND...: runs a command and reports whether it succeeded.
check() {
  local description=$1
  shift
  if "$@"; then
    echo "  passed: $description"
  else
    echo "  FAILED: $description"
    failures=$((failures + 1))
  fi
}

# json_field NAME: prints the value of the first JSON member with this name on standard input.
json_field() { grep -o "\"$1\":\"\\?[^,\"}]*" | sed -n '1s/.*:"\?//p'; }

send_query() { "$build/persimmonctl" query --entry "$entry" --json "$@" || true; }

# inject_fault JSON: sends a fault to the control endpoint of the deployment simulator.
inject_fault() { curl -fs -m 5 -X POST -d "$1" "$control/fault" >/dev/null; }

# Prints the time since the last request to the failure domain, in ms.
domain_idle_ms() {
  curl -fs -m 5 "$control/state" | grep -o "\"failure_domains\":{.*\"upstreams\"" |
    grep -o "\"$domain\":{\"last_request_age_ms\":[0-9]*" | sed 's/.*://'
}

run_queries() {
  local line profile operation key answer
  for line in "${queries[@]}"; do
    read -r profile operation key <<<"$line"
    answer=$(send_query --profile "$profile" --query "{\"op\":\"$operation\"}" ${key:+--key "$key"})
    echo "$profile: coverage $(json_field fraction <<<"$answer"), $(json_field elapsed_ms <<<"$answer") ms"
    check "the outcome of $profile is done" test "$(json_field outcome <<<"$answer")" = "done"
  done
}

repeat_payment() {
  local home id first second count
  home=$(curl -fs -m 5 "http://$entry/v1/locate?caller=demo&profile=$payment_profile" | json_field home)
  id=$home:demo-$$
  first=$(send_query --profile "$payment_profile" --query '{"op":"pay","amount":25}' --key payer-1 --request-id "$id")
  second=$(send_query --profile "$payment_profile" --query '{"op":"pay","amount":25}' --key payer-1 --request-id "$id")
  count=$(curl -fs -m 5 "$control/executions?request_id=$id" | json_field count)
  echo "$payment_profile sent twice with id $id: executed $count time(s)"
  check "the outcome of both requests is done" test "$(json_field outcome <<<"$first")$(json_field outcome <<<"$second")" = donedone
  check "the upstreams executed the request once" test "$count" = 1
}

evacuate_and_restore() {
  local load idle_evacuated idle_restored
  echo "evacuating and restoring $domain at 20 queries/s (about 16 s)"
  "$build/persimmon-load" --entries 127.0.1.1:7100,127.0.1.3:7100,127.0.1.5:7100 --rate 20 --seconds 16 \
    --seed 1 --config "$root/misc/deployments/$deployment/config.json" --mix "$load_profile=1" --json \
    >"$run/load.json" &
  load=$!
  echo "$load load" >>"$run/pids"
  sleep 2
  inject_fault "{\"kind\":\"config_set\",\"key\":\"out/domains\",\"value\":[\"$domain\"]}"
  sleep 6
  idle_evacuated=$(domain_idle_ms || true)
  inject_fault '{"kind":"config_set","key":"out/domains","value":[]}'
  sleep 6
  idle_restored=$(domain_idle_ms || true)
  check "the load generator completed" wait "$load"
  echo "time since the last request to $domain: ${idle_evacuated:-?} ms at 6 s after the evacuation," \
    "${idle_restored:-?} ms at 6 s after the return"
  check "no request to the evacuated failure domain for at least 2 s" test "${idle_evacuated:-0}" -ge 2000
  check "the restored failure domain receives requests again" test "${idle_restored:-999999}" -lt 1000
  echo "$load_profile: $(json_field sent <"$run/load.json") sent, p50 $(json_field p50 <"$run/load.json") ms," \
    "p99 $(json_field p99 <"$run/load.json") ms, mean coverage $(json_field mean_coverage <"$run/load.json")"
  check "the outcome of every query is done" test "$(json_field sent <"$run/load.json")" = "$(json_field "done" <"$run/load.json")"
}

echo "building"
"$root/misc/build.sh" "${PERSIMMON_BUILD:-build}"
"$root/misc/run_deployment.sh" start "$deployment" "$run"
run_queries
repeat_payment
evacuate_and_restore
if [ "$failures" -gt 0 ]; then
  echo "$failures check(s) failed"
  exit 1
fi
echo "all checks passed"
