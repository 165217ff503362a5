#!/usr/bin/env bash
# Shows a deployment at work on loopback and checks what it prints. Exits 0 only if all checks held.
#   demo.sh [bantay-kawan|footlights]
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
deployment=${1:-bantay-kawan}
build=${PERSIMMON_BUILD:-$root/build}
run=$(mktemp -d)
control=http://127.0.0.1:7001
entry=127.0.1.1:7100
failures=0

# Profiles with operation and key, the paying profile, the profile for the load, and the failure
# domain that leaves.
case $deployment in
  bantay-kawan)
    queries=("live-scoresheet search" "draw lookup dog-17" "handler-lookup lookup handler-4")
    payment=entry-fee load_profile=live-scoresheet domain=luzon-bulacan
    ;;
  footlights)
    queries=("matinee-listing search" "access-check search" "group-booking lookup school-9"
      "reconciliation search")
    payment=deposit load_profile=access-check domain=brum-a
    ;;
  *)
    echo "usage: demo.sh [bantay-kawan|footlights]" >&2
    exit 2
    ;;
esac

cleanup() {
  echo "stopping the deployment"
  "$root/misc/run_deployment.sh" stop "$run" || true
  if [ "$failures" = 0 ]; then rm -rf "$run"; else echo "logs are in $run"; fi
}
trap cleanup EXIT
trap 'exit 130' INT TERM

# check TEXT COMMAND...: runs a command and prints whether it held.
check() {
  local text=$1
  shift
  if "$@"; then
    echo "  held: $text"
  else
    echo "  FAILED: $text"
    failures=$((failures + 1))
  fi
}

# field NAME: prints the first number or word that standard input gives for a JSON member.
field() { grep -o "\"$1\":\"\\?[^,\"}]*" | sed -n '1s/.*:"\?//p'; }

query() { "$build/persimmonctl" query --entry "$entry" --json "$@" || true; }

fault() { curl -fs -m 5 -X POST -d "$1" "$control/fault" >/dev/null; }

domain_age_ms() {
  curl -fs -m 5 "$control/state" | grep -o "\"failure_domains\":{.*\"upstreams\"" |
    grep -o "\"$domain\":{\"last_request_age_ms\":[0-9]*" | sed 's/.*://'
}

run_queries() {
  local line profile operation key answer
  for line in "${queries[@]}"; do
    read -r profile operation key <<<"$line"
    answer=$(query --profile "$profile" --query "{\"op\":\"$operation\"}" ${key:+--key "$key"})
    echo "$profile: coverage $(field fraction <<<"$answer"), $(field elapsed_ms <<<"$answer") ms"
    check "$profile is done" test "$(field outcome <<<"$answer")" = "done"
  done
}

press_twice() {
  local home id first second count
  home=$(curl -fs -m 5 "http://$entry/v1/locate?caller=demo&profile=$payment" | field home)
  id=$home:demo-$$
  first=$(query --profile "$payment" --query '{"op":"pay","amount":25}' --key payer-1 --request-id "$id")
  second=$(query --profile "$payment" --query '{"op":"pay","amount":25}' --key payer-1 --request-id "$id")
  count=$(curl -fs -m 5 "$control/executions?request_id=$id" | field count)
  echo "$payment pressed twice with id $id: executed $count time(s)"
  check "both answers are done" test "$(field outcome <<<"$first")$(field outcome <<<"$second")" = donedone
  check "the upstreams executed it once" test "$count" = 1
}

leave_and_return() {
  local load age_out age_back
  echo "taking $domain out and back under 20 queries/s (about 16 s)"
  "$build/persimmon-load" --entries 127.0.1.1:7100,127.0.1.3:7100,127.0.1.5:7100 --rate 20 --seconds 16 \
    --seed 1 --config "$root/misc/deployments/$deployment/config.json" --mix "$load_profile=1" --json \
    >"$run/load.json" &
  load=$!
  echo "$load load" >>"$run/pids"
  sleep 2
  fault "{\"kind\":\"config_set\",\"key\":\"out/domains\",\"value\":[\"$domain\"]}"
  sleep 6
  age_out=$(domain_age_ms || true)
  fault '{"kind":"config_set","key":"out/domains","value":[]}'
  sleep 6
  age_back=$(domain_age_ms || true)
  check "the load ran to its end" wait "$load"
  echo "6 s after it left, the last request to $domain was ${age_out:-?} ms old; 6 s after its return ${age_back:-?} ms"
  check "no new work for at least 2 s while it was out" test "${age_out:-0}" -ge 2000
  check "it gets work again" test "${age_back:-999999}" -lt 1000
  echo "$load_profile: $(field sent <"$run/load.json") sent, p50 $(field p50 <"$run/load.json") ms," \
    "p99 $(field p99 <"$run/load.json") ms, mean coverage $(field mean_coverage <"$run/load.json")"
  check "every query was done" test "$(field sent <"$run/load.json")" = "$(field "done" <"$run/load.json")"
}

echo "building"
"$root/misc/build.sh" "${PERSIMMON_BUILD:-build}"
"$root/misc/run_deployment.sh" start "$deployment" "$run"
run_queries
press_twice
leave_and_return
if [ "$failures" -gt 0 ]; then
  echo "$failures check(s) failed"
  exit 1
fi
echo "all checks held"
