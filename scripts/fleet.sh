# Starts and stops a whole deployment on loopback. Sourced by quickstart.sh and measure.sh.
#
# fleet_start DEPLOYMENT FOLDER   starts stand-ins and 8 entry hosts
# fleet_ready                     waits until every host has its complete share
# fleet_document FILE             puts a service document
# fleet_key SERVICE WORKSPACE     issues a key and prints it
# fleet_stop                      stops everything that fleet_start started
#
# Every process is stopped by the id it was started with.

FLEET_ROOT="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
FLEET_BIN="${FLEET_BIN:-$FLEET_ROOT/target/release}"
FLEET_PIDS=()
declare -A FLEET_HOST_PIDS=()
declare -A FLEET_REGION_PIDS=()

# The operators' token; the sample settings contain its digest.
export MARJORAMPICK_TOKEN=operator

fleet_services() {
  case "$1" in
    karnerand) echo "status=12=9,4 signing=12=7,15 uploads=12=3,20 activation=12=3,15" ;;
    lothian) echo "catalogue=14=9,4 deposits=12=6,15 uploads=12=3,20 bookings=12=3,15" ;;
  esac
}

fleet_regions() {
  case "$1" in
    karnerand) echo "ee-north fi-south de-central" ;;
    lothian) echo "lothian tweeddale kingdom-fife" ;;
  esac
}

# Address prefix of the hosts in the sample settings.
fleet_sample_net() {
  case "$1" in
    karnerand) echo 127.0.1 ;;
    lothian) echo 127.0.2 ;;
  esac
}

# FLEET_NET, for instance 127.0.31, replaces this prefix, so that two fleets can run at once.
fleet_net() {
  echo "${FLEET_NET:-$(fleet_sample_net "$1")}"
}

# Writes the platform's list of hosts: the instances of every service, spread over regions and
# failure domains.
fleet_list() {
  local deployment=$1 file=$2 net regions service instances index region domain separator=""
  net=$(fleet_net "$deployment")
  read -r -a regions <<<"$(fleet_regions "$deployment")"
  {
    printf '{"hosts":['
    local port=10000
    for entry in $(fleet_services "$deployment"); do
      IFS='=' read -r service instances _ <<<"$entry"
      for ((index = 0; index < instances; index++)); do
        region=${regions[index % 3]}
        domain="$region-$([ $((index / 3 % 2)) -eq 0 ] && echo a || echo b)"
        printf '%s{"name":"%s-%02d","service":"%s","region":"%s","domain":"%s","address":"%s.100:%d","state":"live"}' \
          "$separator" "$service" "$((index + 1))" "$service" "$region" "$domain" "$net" "$((port++))"
        separator=","
      done
    done
    printf ']}\n'
  } >"$file"
}

fleet_spawn() {
  local name=$1
  shift
  "$@" >"$FLEET_FOLDER/$name.log" 2>&1 &
  FLEET_PIDS+=("$!")
}

fleet_start() {
  local deployment=$1 net paces=() entry pid
  FLEET_FOLDER=$2
  net=$(fleet_net "$deployment")
  mkdir -p "$FLEET_FOLDER"
  rm -rf "$FLEET_FOLDER/hosts"
  cp -r "$FLEET_ROOT/settings/$deployment/hosts" "$FLEET_FOLDER/hosts"
  sed -i "s/$(fleet_sample_net "$deployment")\./$net./g" "$FLEET_FOLDER"/hosts/*.toml
  fleet_list "$deployment" "$FLEET_FOLDER/hosts.json"
  for entry in $(fleet_services "$deployment"); do
    IFS='=' read -r service _ pace <<<"$entry"
    paces+=(--service "$service=$pace")
  done

  local names=() file name
  for file in "$FLEET_FOLDER"/hosts/*.toml; do
    name=$(basename "$file" .toml)
    names+=("$name=$(sed -n 's/^listen = "\(.*\):8080"/\1/p' "$file")")
  done
  "$FLEET_BIN/marjorampick-ctl" certificate --folder "$FLEET_FOLDER/hosts/tls" "${names[@]}" >/dev/null

  fleet_spawn store "$FLEET_BIN/marjorampick-standin" store --listen "$net.100:2379" --control "$net.100:2380"
  fleet_spawn list "$FLEET_BIN/marjorampick-standin" hosts --listen "$net.100:8090" --file "$FLEET_FOLDER/hosts.json"
  for region in $(fleet_regions "$deployment"); do
    fleet_spawn "backends-$region" "$FLEET_BIN/marjorampick-standin" backends \
      --file "$FLEET_FOLDER/hosts.json" --region "$region" "${paces[@]}"
    FLEET_REGION_PIDS[$region]=${FLEET_PIDS[-1]}
  done
  sleep 0.3
  for pid in "${FLEET_PIDS[@]}"; do
    kill -0 "$pid" 2>/dev/null && continue
    echo "fleet: a stand-in ended at once; is another fleet running on $net?" >&2
    cat "$FLEET_FOLDER"/{store,list}.log "$FLEET_FOLDER"/backends-*.log >&2
    return 1
  done
  FLEET_ADMIN=()
  FLEET_LOOKUPS=()
  for entry in "${names[@]}"; do
    name=${entry%%=*}
    fleet_spawn "$name" "$FLEET_BIN/marjorampick-entry" "$FLEET_FOLDER/hosts/$name.toml"
    FLEET_HOST_PIDS[$name]=${FLEET_PIDS[-1]}
    FLEET_ADMIN+=(--host "http://${entry##*=}:9090")
    FLEET_LOOKUPS+=("${entry##*=}:8081")
  done
}

fleet_ctl() {
  "$FLEET_BIN/marjorampick-ctl" "${FLEET_ADMIN[@]}" "$@"
}

# Waits until every host lists all members and the change of members has settled, so that every host
# has its complete share.
fleet_ready() {
  local attempt hosts=${#FLEET_LOOKUPS[@]}
  for attempt in $(seq 1 120); do
    # Columns: host, region, current, revision, revision in force, members.
    if fleet_ctl status 2>/dev/null | awk -v hosts="$hosts" \
      '$3 == "yes" && $4 == $5 && $6 == hosts { ready++ } END { exit ready != hosts }'; then
      # A larger share is used only after its change is in force and one loan term has passed.
      sleep 2.5
      return 0
    fi
    sleep 0.25
  done
  fleet_ctl status >&2
  return 1
}

fleet_document() {
  fleet_ctl document put "$1"
}

fleet_key() {
  fleet_ctl key issue "$1" "$2"
}

# Lets the entry hosts drain for at most 15 s, then kills every process that is left, including the
# stand-ins.
fleet_stop() {
  local pid attempt
  for pid in "${FLEET_HOST_PIDS[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for attempt in $(seq 1 150); do
    local alive=0
    for pid in "${FLEET_HOST_PIDS[@]}"; do kill -0 "$pid" 2>/dev/null && alive=1; done
    [ "$alive" -eq 0 ] && break
    sleep 0.1
  done
  for pid in "${FLEET_PIDS[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  for pid in "${FLEET_PIDS[@]}"; do wait "$pid" 2>/dev/null || true; done
  FLEET_PIDS=()
  FLEET_HOST_PIDS=()
  FLEET_REGION_PIDS=()
}
