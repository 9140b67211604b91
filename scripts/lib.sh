# Functions shared by the scripts: build the programs and start a deployment on
# loopback. stop_all ends only the processes in PIDS.

ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
BUILD=${BUILD:-$ROOT/build}
PACKAGES="build-essential meson ninja-build pkg-config libevent-dev
  libhttp-parser-dev libmsgpack-dev liblog4c-dev libpopt-dev libcunit1-dev libxxhash-dev
  uthash-dev libsodium-dev libjansson-dev libgsl-dev libtomlplusplus-dev
  librapidcheck-dev zlib1g-dev scdoc"
PIDS=()

install_packages() {
  local missing=()
  local package
  for package in "$@"; do
    dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
  done
  [ ${#missing[@]} -eq 0 ] && return 0
  echo "installing: ${missing[*]}"
  apt-get update -qq && apt-get install -y -qq "${missing[@]}" >/dev/null
}

build() {
  # shellcheck disable=SC2086
  install_packages $PACKAGES || return 1
  [ -f "$BUILD/build.ninja" ] ||
    meson setup "$BUILD" "$ROOT" "$@" >/dev/null || return 1
  ninja -C "$BUILD" >"$BUILD/build.log" 2>&1 || {
    cat "$BUILD/build.log"
    return 1
  }
}

stop_all() {
  local pid
  for pid in "${PIDS[@]}"; do
    kill -TERM "$pid" 2>/dev/null
  done
  for pid in "${PIDS[@]}"; do
    wait "$pid" 2>/dev/null
  done
  PIDS=()
}

# start NAME PROGRAM [ARGUMENT...]: starts a program in the background. Its
# standard output goes to NAME.out, its errors to NAME.log, its id to PID_NAME.
start() {
  local name=$1
  shift
  "$@" >"$DIR/$name.out" 2>"$DIR/$name.log" &
  PIDS+=($!)
  eval "PID_${name//-/_}=$!"
}

# wait_http ADDRESS PATH: waits up to 200 attempts, 50 ms apart, for status 200.
wait_http() {
  local host=${1%:*} port=${1##*:} line
  for _ in $(seq 1 200); do
    if exec 9<>"/dev/tcp/$host/$port"; then
      printf 'GET %s HTTP/1.0\r\n\r\n' "$2" >&9
      read -r line <&9
      exec 9>&-
      case $line in *" 200 "*) return 0 ;; esac
    fi 2>/dev/null
    sleep 0.05
  done
  echo "no status 200 from $1$2 after 200 attempts" >&2
  return 1
}

# Derives loopback networks from the process id, so that concurrent runs use
# different addresses.
choose_network() {
  NET="127.$((16 + $$ / 250 % 200)).$((1 + $$ % 250))"
  NET_B="127.$((16 + $$ / 250 % 200 + 1)).$((1 + $$ % 250))"
  NET_C="127.$((16 + $$ / 250 % 200 + 2)).$((1 + $$ % 250))"
}

# zone_of INDEX: the zone of a VM; zones are assigned in turn.
zone_of() {
  local zones
  read -r -a zones <<<"$ZONES"
  echo "${zones[$(($1 % ${#zones[@]}))]}"
}

KEY=6b65792d6f662d7468652d64656d6f2d6465706c6f796d656e742d2d2d2d2d2d

write_common() {
  cat <<EOF
name = "$1"
zone = "$2"
environment = "production"
platform = "$NET.1:7000"
admin = "$3"
log_level = "${LOG_LEVEL:-info}"
EOF
}

# write_agent NAME INDEX POOL SLOTS LINK_IP ENDPOINT: writes the settings of an
# agent and adds its VM to the list.
write_agent() {
  {
    write_common "$1" "$(zone_of "$2")" "$5:9000"
    cat <<EOF
links = "$5:7000"
[control]
keys = ["$KEY"]
address = "$5:7100"
[endpoint]
address = "$6"
pool = "$3"
slots = $4
EOF
  } >"$DIR/$1.toml"
  VMS+=("{\"name\":\"$1\",\"role\":\"agent\",\"zone\":\"$(zone_of "$2")\",\"pool\":\"$3\",\"address\":\"$5:7000\",\"control\":\"$5:7100\",\"admin\":\"$5:9000\",\"weight\":$4,\"state\":\"live\"}")
}

# write_router INDEX: writes the settings of a router and adds its VM to the
# list.
write_router() {
  local ip="$NET.$((200 + $1))"
  {
    write_common "router-$1" "$(zone_of "$1")" "$ip:9000"
    cat <<EOF
[control]
keys = ["$KEY"]
address = "$ip:7100"
[callers]
address = "$ip:8080"
drain_wait_ms = ${DRAIN_WAIT_MS:-200}
EOF
  } >"$DIR/router-$1.toml"
  VMS+=("{\"name\":\"router-$1\",\"role\":\"router\",\"zone\":\"$(zone_of "$1")\",\"control\":\"$ip:7100\",\"admin\":\"$ip:9000\",\"state\":\"live\"}")
}

write_standin() {
  {
    cat <<EOF
log_level = "warning"
platform = "$NET.1:7000"
vms = '''[$(
      IFS=,
      echo "${VMS[*]}"
    )]'''
[[group]]
prefix = "$MODEL_POOL"
kind = "engine"
first = "$NET_B.1:8000"
count = $ENGINES
slots = $ENGINE_SLOTS
prefill_us_per_token = ${PREFILL_US:-20}
decode_us_per_token = ${DECODE_US:-4000}
cache_tokens = ${CACHE_TOKENS:-30000}
[[group]]
prefix = "$SERVICE_POOL"
kind = "service"
first = "$NET_C.1:8000"
count = $SERVICES
decode_us_per_token = ${SERVICE_US:-3000}
EOF
  } >"$DIR/standin.toml"
}

# write_document: prints the configuration document.
write_document() {
  local i
  cat <<EOF
[[pool]]
name = "$MODEL_POOL"
kind = "model"
bound_multiple = ${MULTIPLE:-1.25}
[pool.placement]
models = ["$MODEL"]

[[pool]]
name = "$SERVICE_POOL"
kind = "service"

[[route]]
name = "completions"
path = "/v1/chat/completions"
methods = ["POST"]
pool = "$MODEL_POOL"
affinity = "$AFFINITY"
repeatable = true
first_byte_ms = 8000
idle_ms = 5000

[[route]]
name = "bookings"
path = "$BOOKING_PATH"
methods = ["POST"]
pool = "$SERVICE_POOL"
repeatable = false
key_required = true
deadline_ms = 20000

[[route]]
name = "quotes"
path = "${BOOKING_PATH%/*}/quotes"
methods = ["POST"]
pool = "$SERVICE_POOL"
repeatable = true

[[route]]
name = "status"
path = "${BOOKING_PATH%/*}/status/*"
methods = ["GET"]
pool = "$SERVICE_POOL"
repeatable = true
EOF
  for i in $(seq 1 "$ACCOUNTS"); do
    printf '\n[[account]]\nname = "account-%02d"\nkey_hash = "%s"\nweight = %d\n' \
      "$i" "$(echo "demo-key-$i" | "$BUILD/dvctl" hash-key)" \
      $((i <= 2 ? 4 : 1))
  done
}

# quoted ITEM...: prints the items as a TOML array of strings.
quoted() {
  local list=""
  local item
  for item in "$@"; do
    list+="\"$item\", "
  done
  echo "[${list%, }]"
}

# write_load REQUESTS CONNECTIONS SEED: writes the load file.
write_load() {
  local i callers=() keys=() admins=() engines=() services=()
  for i in $(seq 1 "$ROUTERS"); do
    callers+=("$NET.$((200 + i)):8080")
    admins+=("$NET.$((200 + i)):9000")
  done
  for i in $(seq 1 "$ACCOUNTS"); do keys+=("demo-key-$i"); done
  for i in $(seq 1 "$ENGINES"); do engines+=("$NET_B.$i:8000"); done
  for i in $(seq 1 "$SERVICES"); do services+=("$NET_C.$i:8000"); done
  cat >"$DIR/load.toml" <<EOF
routers = $(quoted "${callers[@]}")
admins = $(quoted "${admins[@]}")
keys = $(quoted "${keys[@]}")
engines = $(quoted "${engines[@]}")
services = $(quoted "${services[@]}")
requests = $1
connections = $2
seed = $3
chats = 2000
archives = $ARCHIVES
prompt_bytes = $PROMPT_BYTES
max_tokens = 8
zipf_exponent = 1.01
bookings_percent = 10
resend_percent = 30
booking_path = "$BOOKING_PATH"
model = "$MODEL"
log_level = "error"
csv = "$DIR/load.csv"
EOF
}

# start_deployment: starts stand-ins, agents and routers, publishes the
# configuration and waits until all agents and routers are ready.
start_deployment() {
  local i
  VMS=()
  choose_network
  mkdir -p "$DIR"
  for i in $(seq 1 "$ENGINES"); do
    write_agent "$MODEL_POOL-$i" "$i" "$MODEL_POOL" "$ENGINE_SLOTS" \
      "$NET.$((10 + i))" "$NET_B.$i:8000"
  done
  for i in $(seq 1 "$SERVICES"); do
    write_agent "$SERVICE_POOL-$i" "$i" "$SERVICE_POOL" "$SERVICE_SLOTS" \
      "$NET.$((100 + i))" "$NET_C.$i:8000"
  done
  for i in $(seq 1 "$ROUTERS"); do write_router "$i"; done
  write_standin
  write_document >"$DIR/document.toml"
  start standin "$BUILD/dvstandin" --config "$DIR/standin.toml"
  wait_http "$NET.1:7000" /vms || return 1
  "$BUILD/dvctl" --platform "$NET.1:7000" --author demo \
    publish "$DIR/document.toml" || return 1
  for i in $(seq 1 "$ENGINES"); do
    start "$MODEL_POOL-$i" "$BUILD/dvagent" --config "$DIR/$MODEL_POOL-$i.toml"
  done
  for i in $(seq 1 "$SERVICES"); do
    start "$SERVICE_POOL-$i" "$BUILD/dvagent" \
      --config "$DIR/$SERVICE_POOL-$i.toml"
  done
  for i in $(seq 1 "$ROUTERS"); do
    start "router-$i" "$BUILD/dvrouter" --config "$DIR/router-$i.toml"
  done
  for i in $(seq 1 "$ENGINES"); do
    wait_http "$NET.$((10 + i)):9000" /readyz || return 1
  done
  for i in $(seq 1 "$SERVICES"); do
    wait_http "$NET.$((100 + i)):9000" /readyz || return 1
  done
  for i in $(seq 1 "$ROUTERS"); do
    wait_http "$NET.$((200 + i)):9000" /readyz || return 1
  done
}
