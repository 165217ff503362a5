#!/usr/bin/env bash
# Generates config.json and hosts.json of each deployment in misc/deployments/.
set -euo pipefail
cd "$(dirname "$0")/deployments" 2>/dev/null || { mkdir -p "$(dirname "$0")/deployments" && cd "$(dirname "$0")/deployments"; }

KeySpaceSize=65536

# add_key KEY VALUE: adds a key to the configuration.
add_key() { config+=("  \"$1\": $2"); }

# add_host NAME KIND ADDRESS FAILURE_DOMAIN [SERVICE]: adds a row to the host list.
add_host() {
  local service=""
  [ -z "${5:-}" ] || service=",\"service\":\"$5\""
  hosts+=("  {\"name\":\"$1\",\"kind\":\"$2\",\"address\":\"$3\",\"failure_domain\":\"$4\"$service,\"state\":\"live\"}")
}

# add_group NAME SERVICES SERVERS SLOTS CONNECTIONS CONNECTION_COST_MS COLD_LIMIT THIRD_OCTET: adds a
# group with one shard per service, and its upstreams. Replica r of service s is in failure domain
# (s + r) mod 3, so that consecutive replicas are in different failure domains.
add_group() {
  local name=$1 services=$2 servers=$3 third_octet=$8 shards="" fourth_octet=0 s r from to service letter
  add_key "group/$name" "{\"slots\":$4,\"connections\":$5,\"connection_cost_ms\":$6,\"cold_limit\":$7}"
  for ((s = 0; s < services; s++)); do
    service=$(printf '%s-%02d' "$name" $((s + 1)))
    from=$((s * KeySpaceSize / services))
    to=$(((s + 1) * KeySpaceSize / services))
    shards+="${shards:+,}{\"id\":\"$service\",\"service\":\"$service\",\"from\":$from,\"to\":$to}"
    for ((r = 0; r < servers; r++)); do
      letter=$(printf "\\$(printf '%03o' $((97 + r)))")
      fourth_octet=$((fourth_octet + 1))
      add_host "$service-$letter" upstream "127.0.$third_octet.$fourth_octet:8000" "${domains[$(((s + r) % 3))]}" "$service"
    done
  done
  add_key "index/$name" "{\"snapshots\":[{\"id\":1,\"shards\":[$shards]}]}"
}

# add_profile NAME GROUP SCOPE MIN_COVERAGE DEADLINE_MS ENOUGH_AFTER_MS PRIORITY REPEATABLE
# ON_LOW_COVERAGE: adds a query profile.
add_profile() {
  add_key "profile/$1" "{\"group\":\"$2\",\"scope\":\"$3\",\"min_coverage\":$4,\"deadline_ms\":$5,\"enough_after_ms\":$6,\"priority\":\"$7\",\"repeatable\":$8,\"extra_load\":0.05,\"on_low_coverage\":\"$9\"}"
}

# begin_deployment FAILURE_DOMAIN...: starts a deployment with six entry hosts, two in each of three
# failure domains.
begin_deployment() {
  config=() hosts=() domains=("$@")
  local i
  for ((i = 1; i <= 6; i++)); do
    add_host "h$i" entry "127.0.1.$i" "${domains[$(((i - 1) / 2))]}"
  done
  add_key out/domains '[]'
  add_key out/hosts '[]'
}

# join_lines LINE...: prints the lines with a comma after each but the last.
join_lines() { local IFS=$'\n'; printf '%s' "$*" | sed '$!s/$/,/'; }

# write_deployment DIRECTORY: writes the files of the deployment.
write_deployment() {
  mkdir -p "$1"
  printf '{\n%s\n}\n' "$(join_lines "${config[@]}")" >"$1/config.json"
  printf '[\n%s\n]\n' "$(join_lines "${hosts[@]}")" >"$1/hosts.json"
}

begin_deployment luzon-bulacan visayas-iloilo mindanao-bukidnon
add_group trial-field 20 2 2 25 6 1 10
add_group entry-desk 30 2 2 25 6 1 11
add_group secretary 1 7 3 100 1 1 12
add_group running-order 1 3 3 100 1 1 13
add_profile live-scoresheet trial-field all 0.9 200 80 critical true answer
add_profile draw running-order key 1 500 500 high true refuse
add_profile entry-fee entry-desk key 1 2000 2000 critical false refuse
add_profile handler-lookup secretary key 1 500 500 high true refuse
write_deployment bantay-kawan

begin_deployment brum-a nottm-a stoke-a
add_group seat-finder 20 2 3 30 6 1 10
add_group deposit-desk 30 2 3 30 6 1 11
add_group season-ledger 1 13 4 40 1 2 12
add_group coach-planner 1 6 4 40 1 2 13
add_profile matinee-listing seat-finder all 0.99 800 800 normal true answer
add_profile access-check seat-finder all 0.5 150 50 critical true answer
add_profile deposit deposit-desk key 1 2000 2000 critical false refuse
add_profile group-booking coach-planner key 1 500 500 high true refuse
add_profile reconciliation season-ledger all 1 10000 10000 bulk true answer
write_deployment footlights
