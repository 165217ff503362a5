#!/usr/bin/env bash
# Starts and stops a deployment on loopback: the stand-ins, and agent, dispatcher and entry of each
# entry host.
#   run_deployment.sh start DEPLOYMENT RUN_FOLDER [NETWORK]   starts all and waits until ready
#   run_deployment.sh stop RUN_FOLDER                         stops what start has started
# NETWORK replaces the first two numbers of all addresses (default 127.0). PERSIMMON_BUILD names the
# build folder; STANDIN_FLAGS and ENTRY_FLAGS are added to the programs' flags.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
build=${PERSIMMON_BUILD:-$root/build}

ReadyTimeoutS=30
# A leaving entry serves for the validity of its locate answers before it exits.
StopTimeoutS=15

# launch NAME PROGRAM FLAGS...: starts a program and records its process id.
launch() {
  local name=$1 program=$2
  shift 2
  "$build/$program" "$@" >"$run/$name.log" 2>&1 </dev/null &
  echo "$! $name" >>"$run/pids"
}

# entry_hosts: prints name, address and failure domain of each entry host.
entry_hosts() {
  sed -n 's/.*"name":"\([^"]*\)","kind":"entry","address":"[0-9]*\.[0-9]*\.\([^"]*\)","failure_domain":"\([^"]*\)".*/\1 '"$network"'.\2 \3/p' \
    "$folder/hosts.json"
}

wait_for() {
  local url=$1 deadline=$((SECONDS + ReadyTimeoutS))
  until curl -fs -m 2 -o /dev/null "$url"; do
    if [ "$SECONDS" -ge "$deadline" ]; then
      echo "no answer from $url within $ReadyTimeoutS s" >&2
      return 1
    fi
    sleep 0.2
  done
}

start() {
  local name address domain platform=$network.0.1:7000
  mkdir -p "$run"
  : >"$run/pids"
  echo "starting the stand-ins of $(basename "$folder") on $network"
  # shellcheck disable=SC2086
  launch standin persimmon-standin --deployment "$folder" --network "$network" --platform "$platform" \
    --control "$network.0.1:7001" ${STANDIN_FLAGS:-}
  wait_for "http://$platform/v1/config?since=0" || return 1
  while read -r name address domain; do
    echo "starting agent, dispatcher and entry on $name ($address, $domain)"
    launch "agent-$name" persimmon-agent --host "$name" --address "$address" --failure-domain "$domain" \
      --service "$platform" --admin "$address:7301"
    launch "dispatch-$name" persimmon-dispatch --host "$name" --address "$address" \
      --failure-domain "$domain" --agent "$address:7300" --service "$platform" --admin "$address:7201"
    # shellcheck disable=SC2086
    launch "entry-$name" persimmon-entry --host "$name" --address "$address" --failure-domain "$domain" \
      --agent "$address:7300" --service "$platform" --admin "$address:7101" ${ENTRY_FLAGS:-}
  done < <(entry_hosts)
  echo "waiting until all entries are ready (at most $ReadyTimeoutS s)"
  while read -r name address domain; do
    wait_for "http://$address:7100/v1/locate?caller=start&profile=start" || return 1
  done < <(entry_hosts)
}

stop() {
  local pid name deadline=$((SECONDS + StopTimeoutS)) alive=1
  [ -f "$run/pids" ] || return 0
  while read -r pid name; do kill -TERM "$pid" 2>/dev/null || true; done <"$run/pids"
  while [ "$alive" = 1 ] && [ "$SECONDS" -lt "$deadline" ]; do
    alive=0
    while read -r pid name; do
      if kill -0 "$pid" 2>/dev/null; then alive=1; fi
    done <"$run/pids"
    sleep 0.2
  done
  while read -r pid name; do
    if kill -0 "$pid" 2>/dev/null; then
      echo "$name did not stop within $StopTimeoutS s and is killed" >&2
      kill -KILL "$pid" 2>/dev/null || true
    fi
  done <"$run/pids"
  rm -f "$run/pids"
}

# Sourced by another script, this file gives it only the functions.
if [ "${BASH_SOURCE[0]}" != "$0" ]; then
  return 0
fi

case ${1:-} in
  start)
    folder=$root/misc/deployments/${2:?deployment} run=${3:?run folder} network=${4:-127.0}
    start || {
      echo "the start failed; the last lines of the logs:" >&2
      tail -n 3 "$run"/*.log >&2
      stop
      exit 1
    }
    ;;
  stop)
    run=${2:?run folder}
    stop
    ;;
  *)
    echo "usage: run_deployment.sh start DEPLOYMENT RUN_FOLDER [NETWORK] | stop RUN_FOLDER" >&2
    exit 2
    ;;
esac
