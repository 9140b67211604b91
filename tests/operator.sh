#!/usr/bin/env bash
# Tests of dvctl with a running deployment: publish, trial and promote,
# concurrent publishing, lost answers and outage of the log, rollback.
set -u
BUILD=$1
. "$(dirname "$0")/../scripts/lib.sh"
. "$ROOT/settings/nordvik.sh"
DIR=$(mktemp -d "${TMPDIR:-/tmp}/dandelionvalve-test.XXXXXX")
trap 'stop_all; rm -rf "$DIR"' EXIT
ENGINES=1 SERVICES=1 ROUTERS=3
failed=0

# ctl CODE TEXT ARGUMENT...: runs dvctl and checks the exit code and that the
# output contains TEXT.
ctl() {
  local code=$1 text=$2 out got
  shift 2
  out=$("$BUILD/dvctl" --platform "$NET.1:7000" --author tester "$@" 2>&1)
  got=$?
  if [ $got -ne "$code" ] || [[ "$out" != *"$text"* ]]; then
    echo "dvctl $*: expected exit code $code and '$text', got $got: $out"
    failed=1
  fi
}

# fault NAME: injects a fault into the log; ok removes it.
fault() {
  exec 9<>"/dev/tcp/$NET.1/7000"
  printf 'POST /faults HTTP/1.0\r\nContent-Length: %d\r\n\r\n%s' \
    "${#1}" "$1" >&9
  head -n 1 <&9 >/dev/null
  exec 9>&-
}

# variant NUMBER: writes the document with queue_requests = NUMBER and prints
# its file name.
variant() {
  sed "0,/kind = \"model\"/s//kind = \"model\"\nqueue_requests = $1/" \
    "$DIR/document.toml" >"$DIR/variant-$1.toml"
  echo "$DIR/variant-$1.toml"
}

start_deployment >/dev/null || exit 1
ctl 0 "ok" check "$DIR/document.toml"
ctl 0 "no difference" diff "$DIR/document.toml"
ctl 0 "+queue_requests = 11" diff "$(variant 11)"
ctl 2 "nothing is in trial" promote
ctl 0 "trial: version 0" trial "$(variant 11)"
ctl 0 "in force on 3 of 3 listed routers" --wait promote
ctl 0 "queue_requests = 11" show
ctl 0 "accepted" history
ctl 0 "3 routers and 2 agents listed, 5 answered" status

ctl 0 "1 routers asked, 1 answered" --routers "$NET.201:9000" status
ctl 1 "no answer" --routers "$NET.201:9000,127.0.0.1:9" status
ctl 2 "127.0.0.1" --routers "127.0.0.1" status

# Concurrent publishing: exit code 3 reports a lost race. Both succeed if they
# do not overlap.
"$BUILD/dvctl" --platform "$NET.1:7000" publish "$(variant 12)" \
  >"$DIR/a.out" 2>&1 &
first=$!
"$BUILD/dvctl" --platform "$NET.1:7000" publish "$(variant 13)" \
  >"$DIR/b.out" 2>&1 &
second=$!
wait $first
codes=$?
wait $second
codes="$codes $?"
case $codes in
"0 3" | "3 0" | "0 0") ;;
*)
  echo "concurrent publishing: unexpected exit codes $codes"
  cat "$DIR/a.out" "$DIR/b.out"
  failed=1
  ;;
esac

# An append whose answer is lost is found by reading the log.
fault lose-answer
ctl 0 "is accepted" publish "$(variant 14)"
fault ok
ctl 0 "queue_requests = 14" show
# While the log refuses appends, the configuration does not change.
fault refuse
ctl 1 "" publish "$(variant 15)"
fault ok
ctl 0 "queue_requests = 14" show
ctl 0 "in force on 3 of 3 listed routers" --wait rollback 0
ctl 2 "needs an accepted version" rollback 12345
ctl 2 "no such version" show 12345
exit $failed
