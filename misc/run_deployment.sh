#!/usr/bin/env bash
# Starts and stops a deployment on loopback: the deployment simulator, and an agent, a dispatcher and an
# entry for each entry host.
#   run_deployment.sh start DEPLOYMENT RUN_DIRECTORY [NETWORK]   starts all processes and waits until
#                                                                all entries are ready
#   run_deployment.sh stop RUN_DIRECTORY                         stops the processes of that run
# The run directory contains the logs and the process ids. NETWORK replaces the first two octets of all
# addresses (default 127.0). PERSIMMON_BUILD sets the build directory. STANDIN_FLAGS, DISPATCH_FLAGS
# and ENTRY_FLAGS are appended to the flags of the programs.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
build=${PERSIMMON_BUILD:-$root/build}

ReadyTimeoutS=30
# An entry that shuts down keeps serving until its locate answers have expired.
StopTimeoutS=15

# launch NAME PROGRAM FLAGS...: starts a program in the background and records its process id.
launch() {
  local name=$1 program=$2
  shift 2
  "$build/$program" "$@" >"$run/$name.log" 2>&1 </dev/null &
  echo "$! $name" >>"$run/pids"
}

# entry_hosts: prints name, address and failure domain of each entry host.
entry_hosts() {
  sed -n 's/.*"name":"\([^"]*\)","kind":"entry","address":"[0-9]*\.[0-9]*\.\([^"]*\)","failure_domain":"\([^"]*\)".*/\1 '"$network"'.\2 \3/p' \
    "$deployment_directory/hosts.json"
}

# wait_for_url URL: waits until a GET request succeeds.
wait_for_url() {
  local url=$1 deadline=$((SECONDS + ReadyTimeoutS))
  until curl -fs -m 2 -o /dev/null "$url"; do
    if [ "$SECONDS" -ge "$deadline" ]; then
      echo "no successful response from $url within $ReadyTimeoutS s" >&2
      return 1
    fi
    sleep 0.2
  done
}

start_deployment() {
  local name address domain platform=$network.0.1:7000
  mkdir -p "$run"
  : >"$run/pids"
  echo "starting the deployment simulator for $(basename "$deployment_directory") on $network"
  # shellcheck disable=SC2086
  launch standin persimmon-standin --deployment "$deployment_directory" --network "$network" --platform "$platform" \
    --control "$network.0.1:7001" ${STANDIN_FLAGS:-}
  wait_for_url "http://$platform/v1/config?since=0" || return 1
  while read -r name address domain; do
    echo "starting agent, dispatcher and entry on $name ($address, $domain)"
    launch "agent-$name" persimmon-agent --host "$name" --address "$address" --failure-domain "$domain" \
      --service "$platform" --admin "$address:7301"
    # shellcheck disable=SC2086
    launch "dispatch-$name" persimmon-dispatch --host "$name" --address "$address" \
      --failure-domain "$domain" --agent "$address:7300" --service "$platform" --admin "$address:7201" \
      ${DISPATCH_FLAGS:-}
    # shellcheck disable=SC2086
    launch "entry-$name" persimmon-entry --host "$name" --address "$address" --failure-domain "$domain" \
      --agent "$address:7300" --service "$platform" --admin "$address:7101" ${ENTRY_FLAGS:-}
  done < <(entry_hosts)
  echo "waiting until all entries are ready (at most $ReadyTimeoutS s)"
  while read -r name address domain; do
    wait_for_url "http://$address:7100/v1/locate?caller=start&profile=start" || return 1
  done < <(entry_hosts)
}

# Sends SIGTERM to all processes of the run, and SIGKILL to those that do not exit in time.
stop_deployment() {
  local pid name deadline=$((SECONDS + StopTimeoutS)) running=1
  [ -f "$run/pids" ] || return 0
  while read -r pid name; do kill -TERM "$pid" 2>/dev/null || true; done <"$run/pids"
  while [ "$running" = 1 ] && [ "$SECONDS" -lt "$deadline" ]; do
    running=0
    while read -r pid name; do
      if kill -0 "$pid" 2>/dev/null; then running=1; fi
    done <"$run/pids"
    sleep 0.2
  done
  while read -r pid name; do
    if kill -0 "$pid" 2>/dev/null; then
      echo "$name did not exit within $StopTimeoutS s; killing it" >&2
      kill -KILL "$pid" 2>/dev/null || true
    fi
  done <"$run/pids"
  rm -f "$run/pids"
}

# A script that sources this file uses only its functions.
if [ "${BASH_SOURCE[0]}" != "$0" ]; then
  return 0
fi

case ${1:-} in
  start)
    deployment_directory=$root/misc/deployments/${2:?deployment} run=${3:?run directory} network=${4:-127.0}
    start_deployment || {
      echo "the deployment failed to start; last lines of each log:" >&2
      tail -n 3 "$run"/*.log >&2
      stop_deployment
      exit 1
    }
    ;;
  stop)
    run=${2:?run directory}
    stop_deployment
    ;;
  *)
    echo "usage: run_deployment.sh start DEPLOYMENT RUN_DIRECTORY [NETWORK] | stop RUN_DIRECTORY" >&2
    exit 2
    ;;
esac
