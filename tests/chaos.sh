#!/usr/bin/env bash
# Two failures at a time under load: agents are killed and paused, engines crash
# and hang, the log loses answers and refuses. No answer may be wrong, no
# idempotency key may run twice, and no request reported as not-run may have run.
set -u
BUILD=$1
. "$(dirname "$0")/../scripts/lib.sh"
. "$ROOT/settings/nordvik.sh"
DIR=$(mktemp -d "${TMPDIR:-/tmp}/dandelionvalve-test.XXXXXX")
trap 'stop_all; rm -rf "$DIR"' EXIT
ENGINES=6 ENGINE_SLOTS=8 SERVICES=3 ROUTERS=3 DECODE_US=8000

# post ADDRESS PATH BODY: sends a POST request and ignores the answer.
post() {
  exec 9<>"/dev/tcp/${1%:*}/${1##*:}" || return 0
  printf 'POST %s HTTP/1.0\r\nContent-Length: %d\r\n\r\n%s' "$2" "${#3}" "$3" >&9
  head -n 1 <&9 >/dev/null
  exec 9>&-
}

# restart NAME: kills an agent with SIGKILL and starts it again.
restart() {
  local pid
  pid=$(eval echo "\$PID_${1//-/_}")
  kill -KILL "$pid"
  wait "$pid" 2>/dev/null
  start "$1" "$BUILD/dvagent" --config "$DIR/$1.toml"
}

start_deployment >/dev/null || exit 1
write_load 9000 48 7
sed -i 's/^bookings_percent.*/bookings_percent = 40/' "$DIR/load.toml"
"$BUILD/dvload" --config "$DIR/load.toml" >"$DIR/load.out" 2>&1 &
load=$!
sleep 1
post "$NET_B.1:8000" /faults crash
restart field-1
sleep 1
post "$NET.1:7000" /faults lose-answer
restart planner-2
sleep 1
post "$NET.1:7000" /faults ok
paused=$PID_field_2
kill -STOP "$paused"
post "$NET_B.3:8000" /faults hang
sleep 2
kill -CONT "$paused"
post "$NET_B.3:8000" /faults ok
post "$NET.1:7000" /faults refuse
restart field-3
sleep 7
post "$NET.1:7000" /faults ok
post "$NET_B.4:8000" /faults crash
# dvload exits with 1 if one of these guarantees is violated.
wait "$load"
status=$?
cat "$DIR/load.out"
exit $status
