#!/usr/bin/env bash
# Tests of command lines: exit codes and error messages.
set -u
BUILD=$1
DIR=$(mktemp -d "${TMPDIR:-/tmp}/dandelionvalve-test.XXXXXX")
trap 'rm -rf "$DIR"' EXIT
failed=0

# expect CODE TEXT COMMAND...: checks the exit code and that the output contains
# TEXT.
expect() {
  local code=$1 text=$2 out
  shift 2
  out=$("$@" 2>&1)
  local got=$?
  if [ $got -ne "$code" ] || [[ "$out" != *"$text"* ]]; then
    echo "expected $code '$text' from: $*"
    echo "got $got: $out"
    failed=1
  fi
}

for program in dvrouter dvdirect dvagent dvstandin dvload; do
  expect 0 "$program 0" "$BUILD/$program" --version
  expect 0 "Usage" "$BUILD/$program" --help
  expect 2 "--config FILE is needed" "$BUILD/$program"
  expect 2 "No such file" "$BUILD/$program" --config "$DIR/none.toml"
  expect 2 "unexpected argument" "$BUILD/$program" more
  echo 'name = 1' >"$DIR/bad.toml"
  expect 2 "bad.toml:1: name: must be a string" \
    "$BUILD/$program" --check --config "$DIR/bad.toml"
done
expect 2 "a command is needed" "$BUILD/dvctl"
expect 2 "unknown command 'dance'" "$BUILD/dvctl" dance
expect 2 "--platform ADDRESS is needed" "$BUILD/dvctl" history
expect 2 "needs a document file" "$BUILD/dvctl" check
printf '[[pool]]\nname = "a"\nkind = "b"\n' >"$DIR/document.toml"
expect 2 "document.toml:3: pool[0].kind: must be one of model, service" \
  "$BUILD/dvctl" check "$DIR/document.toml"
expect 1 "cannot be read" \
  "$BUILD/dvctl" --platform 127.0.0.1:9 history
expect 2 "explain needs" "$BUILD/dvctl" explain
expect 2 "not an IP number" \
  "$BUILD/dvctl" --routers nowhere --host h --path / explain
expect 1 "gave no answer" \
  "$BUILD/dvctl" --routers 127.0.0.1:9 --host h --path / explain
expect 0 "" bash -c "echo secret | '$BUILD/dvctl' hash-key"
expect 2 "an API key of 1 to" bash -c "'$BUILD/dvctl' hash-key </dev/null"
# A direct router applies changed settings on SIGHUP and also without it.
direct="$DIR/direct.toml"
cat >"$direct" <<'END'
name = "r"
zone = "z"
store = "127.0.0.1:1"
callers = "127.0.0.1:0"
ready = "127.0.0.1:0"
[links]
address = "127.0.0.1:0"
keys = ["00000000000000000000000000000000000000000000000000000000000000aa"]
seeds = ["127.0.0.1:2"]
[bounds]
retry_slack = 4
END
expect 0 "" "$BUILD/dvdirect" --check --config "$direct"
sed 's/retry_slack = 4/retry_slack = -4/' "$direct" >"$DIR/bad.toml"
expect 2 "bad.toml:11: bounds.retry_slack" \
  "$BUILD/dvdirect" --check --config "$DIR/bad.toml"
sed 's/"127.0.0.1:2"/"nowhere"/' "$direct" >"$DIR/bad.toml"
expect 2 "links.seeds: 'nowhere' is not an IP number with a port" \
  "$BUILD/dvdirect" --check --config "$DIR/bad.toml"
"$BUILD/dvdirect" --config "$direct" >"$DIR/direct.log" 2>&1 &
pid=$!

# logged PATTERN: waits up to 5 s for a log line that matches.
logged() {
  for _ in $(seq 1 100); do
    grep -q "$1" "$DIR/direct.log" && return 0
    sleep 0.05
  done
  echo "no log line matches '$1' within 5 s"
  cat "$DIR/direct.log"
  failed=1
}

logged "event=start"
sed -i 's/retry_slack = 4/retry_slack = 7/' "$direct"
kill -HUP "$pid"
logged "event=reload .*retry_slack=7"
sed -i 's/retry_slack = 7/retry_slack = 9/' "$direct"
logged "event=reload .*retry_slack=9"
echo 'name = 1' >"$direct"
logged "event=reload-failed"
kill -TERM "$pid"
wait "$pid" || {
  echo "dvdirect exited with $? after SIGTERM, expected 0"
  failed=1
}
exit $failed
