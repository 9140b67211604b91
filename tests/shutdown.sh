#!/usr/bin/env bash
# SIGTERM to a router and an agent during 200 streamed answers: readiness fails
# while the answers continue, every answer is complete, and the exit code is 0.
set -u
BUILD=$1
. "$(dirname "$0")/../scripts/lib.sh"
. "$ROOT/settings/nordvik.sh"
DIR=$(mktemp -d "${TMPDIR:-/tmp}/dandelionvalve-test.XXXXXX")
trap 'stop_all; rm -rf "$DIR"' EXIT
ENGINES=4 ENGINE_SLOTS=100 SERVICES=1 ROUTERS=1
DECODE_US=30000 PREFILL_US=0 DRAIN_WAIT_MS=1000
failed=0

# status_of ADDRESS PATH: prints the HTTP status, or nothing without a
# connection.
status_of() {
  local line=""
  exec 9<>"/dev/tcp/${1%:*}/${1##*:}" || return 0
  printf 'GET %s HTTP/1.0\r\n\r\n' "$2" >&9
  read -r line <&9
  exec 9>&-
  echo "$line" | cut -d' ' -f2
}

# check NAME VALUE EXPECTED
check() {
  if [ "$2" != "$3" ]; then
    echo "$1: got '$2', expected '$3'"
    failed=1
  fi
}

start_deployment >/dev/null || exit 1
write_load 200 200 1
sed -i 's/^max_tokens.*/max_tokens = 100/; s/^bookings_percent.*/bookings_percent = 0/; /^admins/d; /^services/d' \
  "$DIR/load.toml"
"$BUILD/dvload" --config "$DIR/load.toml" >"$DIR/load.out" 2>&1 &
load=$!
for _ in $(seq 1 200); do
  started=$(grep -c event=admit "$DIR"/planner-*.log | awk -F: '{ s += $2 } END { print s }')
  [ "$started" -ge 200 ] && break
  sleep 0.05
done
check "streams under way" "$started" 200
agent=$(eval echo "\$PID_${MODEL_POOL}_1")
kill -TERM "$agent" "$PID_router_1"
sleep 0.3
# SIGTERM may be sent twice; the second one must not cut the drain short.
kill -TERM "$agent" "$PID_router_1"
check "readiness of the router" "$(status_of "$NET.201:9000" /readyz)" 503
check "health of the router" "$(status_of "$NET.201:9000" /healthz)" 200
wait "$load"
check "exit code of the load" $? 0
wait "$PID_router_1"
check "exit code of the router" $? 0
wait "$agent"
check "exit code of the agent" $? 0
grep -q "done 200, not-run 0, unknown 0, broken 0, wrong 0" "$DIR/load.out" || {
  cat "$DIR/load.out"
  failed=1
}
exit $failed
