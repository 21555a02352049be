#!/usr/bin/env bash
# Measures a deployment on loopback under load and failures; ends by itself in under five minutes.
#
# measure.sh karnerand|lothian     results go to out/measure/<deployment>
#
# Timeline:
#  15 s  the largest workspace sends five times its rate for 20 s
#  25 s  an entry host is killed
#  40 s  another entry host is stopped as planned
#  50 s  the store is down for 60 s
# 100 s  lothian only: a region is lost with its hosts and backend servers
set -euo pipefail
source "$(dirname "${BASH_SOURCE[0]}")/fleet.sh"
deployment=${1:-karnerand}
seconds=125
folder="$FLEET_ROOT/out/measure/$deployment"
rm -rf "$folder"
mkdir -p "$folder"
trap fleet_stop EXIT

cargo build --release --workspace --bins --locked --manifest-path "$FLEET_ROOT/Cargo.toml"
fleet_start "$deployment" "$folder"
fleet_ready
store="http://$(fleet_net "$deployment").100:2380"

declare -A keys=()
# `requests` lists service:method:path:body bytes:idempotency key:rate, and `small` lists the small
# workspaces as name:rate.
case "$deployment" in
  karnerand)
    anchor=fleet-anchor
    requests="status:GET:/status/driver-7:0:false:120 signing:POST:/sign:512:true:15
      uploads:PUT:/documents/licence:131072:false:8 activation:POST:/activate:256:true:5"
    small="city-couriers:8 night-bikes:2 village-post:0.5"
    small_service=status
    ;;
  lothian)
    anchor=city-hall
    requests="catalogue:GET:/gowns/ivory-12:0:false:100 deposits:POST:/deposits:256:true:12
      uploads:PUT:/photos/set-3:262144:false:5 bookings:POST:/bookings:256:true:6"
    small="border-gowns:8 tweed-tailors:2 haddington-veils:0.5"
    small_service=catalogue
    ;;
  *) echo "measure: expected karnerand or lothian" >&2 && exit 2 ;;
esac

for document in "$FLEET_ROOT/settings/$deployment/documents"/*.toml; do
  service=$(basename "$document" .toml)
  fleet_document "$document"
  keys[$service:$anchor]=$(fleet_key "$service" "$anchor")
done
for entry in $small; do
  keys[$small_service:${entry%%:*}]=$(fleet_key "$small_service" "${entry%%:*}")
done
sleep 2

lookups=$(printf '"%s", ' "${FLEET_LOOKUPS[@]}")
stream() {
  local name=$1 service=$2 key=$3 method=$4 path=$5 bytes=$6 idempotency=$7 rate=$8
  printf '[[stream]]\nname = "%s"\nservice = "%s"\nkey = "%s"\nmethod = "%s"\npath = "%s"\n' \
    "$name" "$service" "$key" "$method" "$path"
  printf 'body_bytes = %s\nidempotency_key = %s\nrate = %s\n' "$bytes" "$idempotency" "$rate"
}
{
  echo "seconds = $seconds"
  for request in $requests; do
    IFS=: read -r service method path bytes idempotency rate <<<"$request"
    stream "anchor $service" "$service" "${keys[$service:$anchor]}" "$method" "$path" "$bytes" "$idempotency" "$rate"
    echo "lookups = [${lookups%, }]"
    if [ "$service" = "$small_service" ]; then
      echo "peak = { from = 15, to = 35, rate = 2000 }"
    fi
    # The same request goes directly to the backend servers, to show the latency the system adds.
    direct=$(jq -r --arg s "$service" '[.hosts[] | select(.service == $s) | "\"" + .address + "\""] | join(", ")' "$folder/hosts.json")
    stream "direct $service" "$service" none "$method" "$path" "$bytes" false 3
    echo "direct = [$direct]"
  done
  IFS=: read -r service method path bytes idempotency rate <<<"$(tr -s ' \n' '\n' <<<"$requests" | grep "^$small_service:")"
  for entry in $small; do
    stream "${entry%%:*} $service" "$service" "${keys[$service:${entry%%:*}]}" "$method" "$path" "$bytes" false "${entry##*:}"
    echo "lookups = [${lookups%, }]"
  done
} >"$folder/plan.toml"

"$FLEET_BIN/marjorampick-load" --json "$folder/report.json" --plots "$folder" "$folder/plan.toml" >"$folder/table.txt" &
load=$!
FLEET_PIDS+=("$load")
names=("${!FLEET_HOST_PIDS[@]}")
sleep 25
echo "25 s: killing ${names[0]}"
kill -KILL "${FLEET_HOST_PIDS[${names[0]}]}"
sleep 15
echo "40 s: stopping ${names[1]} by plan"
kill -TERM "${FLEET_HOST_PIDS[${names[1]}]}"
sleep 10
echo "50 s: the store is away for 60 s"
python3 "$FLEET_ROOT/scripts/measure.py" faults "$store" '{"down": true}'
if [ "$deployment" = lothian ]; then
  sleep 50
  echo "100 s: region kingdom-fife is lost with its backend servers"
  kill -KILL "${FLEET_REGION_PIDS[kingdom-fife]}"
  for name in "${names[@]}"; do
    case "$name" in kingdom-fife-*) kill -KILL "${FLEET_HOST_PIDS[$name]}" 2>/dev/null || true ;; esac
  done
  sleep 10
else
  sleep 60
fi
echo "110 s: the store is back"
python3 "$FLEET_ROOT/scripts/measure.py" faults "$store" '{}'
wait "$load"
cat "$folder/table.txt"
grep -h "drained in" "$folder"/*.log || true
[ "$deployment" = lothian ] && mv "$folder/hosts.json" "$folder/all-hosts.json" &&
  jq '{hosts: [.hosts[] | select(.region != "kingdom-fife")]}' "$folder/all-hosts.json" >"$folder/hosts.json"
python3 "$FLEET_ROOT/scripts/measure.py" summary "$folder" "$folder/hosts.json" "$store"
