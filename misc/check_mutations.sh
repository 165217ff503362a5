#!/usr/bin/env bash
# Mutation test: disables one mechanism at a time in a copy of the sources and checks that its test
# fails. Prints one line per mutation and exits with 0 only if all mutations are detected. Takes about
# five minutes on 10 cores.
# Usage: misc/check_mutations.sh [NAME...]
set -euo pipefail
cd "$(dirname "$0")/.."
misc/build.sh build
export CMAKE_CXX_COMPILER_LAUNCHER=ccache
copy=$PWD/build-mutations
mkdir -p "$copy"
git archive HEAD | tar -x -C "$copy" --warning=no-timestamp
cd "$copy"
cmake -S . -B build -G Ninja -DCMAKE_BUILD_TYPE=Release >configure.log
cmake --build build -- --quiet

failed=0
selected=("$@")

is_selected() {
  [ "${#selected[@]}" -eq 0 ] || printf '%s\n' "${selected[@]}" | grep -qx "$1"
}

# report_mutation NAME STATUS: prints whether the test run with this exit status detected the mutation.
report_mutation() {
  if [ "$2" -ne 0 ]; then
    echo "detected      $1"
  else
    echo "NOT DETECTED  $1"
    failed=1
  fi
}

# mutate NAME FILE PERL_EXPRESSION TEST_PROGRAM TEST_CASES: edits the file with the expression, builds
# and runs the test cases.
mutate() {
  is_selected "$1" || return 0
  cp "$2" original.tmp
  perl -0pi -e "$3" "$2"
  if cmp -s "$2" original.tmp; then
    echo "NOT APPLIED   $1: the expression matches nothing in $2"
    failed=1
    return 0
  fi
  local status=0
  if cmake --build build -- --quiet >"build-$1.log" 2>&1; then
    PERSIMMON_RUN_KNOWN_RED=1 timeout 300 "build/tests/$4" -tc="$5" >"run-$1.log" 2>&1 || status=$?
    report_mutation "$1" "$status"
  else
    echo "NOT BUILT     $1: see $copy/build-$1.log"
    failed=1
  fi
  cp original.tmp "$2"
}

# mutate_flags NAME VARIABLE FLAGS TEST_CASES: runs the test cases with daemon flags that disable the
# mechanism. The test program reads the flags from the environment variable.
mutate_flags() {
  is_selected "$1" || return 0
  cmake --build build -- --quiet
  local status=0
  env "$2=$3" PERSIMMON_RUN_KNOWN_RED=1 timeout 300 build/tests/test_system -tc="$4" \
    >"run-$1.log" 2>&1 || status=$?
  report_mutation "$1" "$status"
}

mutate ids-not-recorded state/idempotency_store.cpp \
  's/if \(found != records\.end\(\)\) \{/if (found != records.end() \&\& unique.empty()) {/' \
  test_system 'concurrent submissions at every entry*'
mutate any-entry-runs-ids entry/non_repeatable_executor.cpp \
  's/co_return co_await forward\([^;]*;/co_return co_await start(std::move(request), *id, arrival);/' \
  test_system 'concurrent submissions at every entry*'
mutate incarnation-ignored entry/non_repeatable_executor.cpp \
  's/if \(id->home\.incarnation != identity_\.incarnation\)/if (id->unique.empty())/' \
  test_system 'a payment whose home is killed*'
mutate refusal-not-recorded state/idempotency_store.cpp \
  's/records\.emplace\(unique, Record\{true, \*refusal, \{\}\}\);/size_.fetch_sub(1);/' \
  test_state '*'
mutate snapshots-mixed state/query_merge.cpp \
  's/if \(result\.snapshot != plan_\.snapshot\)/if (result.shard.empty())/' test_state '*'
mutate crossed-answers dispatch/upstream_client.cpp \
  's/matchesRequest\(\*answer, execution\.request\)/(matchesRequest(*answer, execution.request) || !answer->shard.empty())/' test_dispatch '*'
mutate out-domains-ignored state/cluster_view.cpp \
  's/&& !outDomains\.contains\(host\.failureDomain\)//' test_system 'a failure domain is taken out*'
mutate leaving-ignored state/cluster_view.cpp \
  's/host\.state == protocol::HostState::Live/!host.name.empty()/' \
  test_system 'a leaving upstream*'
mutate older-revision-wins state/config_store.cpp \
  's/const bool isNewest = entry\.position\(\) > known\.newest\.position\(\);/const bool isNewest = true;/' \
  test_state '*'
mutate invalid-value-accepted state/config_store.cpp \
  's/change\.fault = errorOf\(parsed\);/change.fault = errorOf(parsed);\n        next.valid = entry;\n        next.document.reset();/' \
  test_state '*'
mutate shutdown-without-wait entry/caller_service.cpp \
  's/return options_\.validFor \+ OutOfServiceMargin;/return std::chrono::milliseconds(0);/' \
  test_system 'a rolling restart*'
mutate pause-not-noticed coordination/view_client.cpp \
  's/return state_->unverified \|\| [^;]*;/return false;/' test_coordination '*'
mutate_flags canary-off PERSIMMON_TEST_ENTRY_FLAGS '--canary off' 'a crashing query*'
mutate_flags naive-crash PERSIMMON_TEST_ENTRY_FLAGS '--policy naive' 'a crashing query*'
mutate_flags naive-cold PERSIMMON_TEST_ENTRY_FLAGS '--policy naive' 'upstreams that become cold*'
mutate_flags naive-late-answer PERSIMMON_TEST_ENTRY_FLAGS '--policy naive' 'a late response*'
exit "$failed"
