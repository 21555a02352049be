#!/usr/bin/env bash
# Builds the binaries, starts both deployments on loopback one after the other, sends requests of
# every class to hosts found by look-up and prints what callers saw. Exits with 0 only if every
# request was answered.
#
# quickstart.sh [--keep] [karnerand|lothian]...
set -euo pipefail
source "$(dirname "${BASH_SOURCE[0]}")/fleet.sh"

keep=0
deployments=()
for argument in "$@"; do
  case "$argument" in
    --keep) keep=1 ;;
    karnerand | lothian) deployments+=("$argument") ;;
    *) echo "quickstart: unknown argument $argument" >&2 && exit 2 ;;
  esac
done
[ "${#deployments[@]}" -gt 0 ] || deployments=(karnerand lothian)
trap fleet_stop EXIT

cargo build --release --workspace --bins --locked --manifest-path "$FLEET_ROOT/Cargo.toml"

# Columns: class, service, method, path, body bytes, whether requests carry an idempotency key.
classes() {
  case "$1" in
    karnerand)
      echo "status status GET /status/driver-7 0 false"
      echo "signing signing POST /sign 512 true"
      echo "upload uploads PUT /documents/licence 262144 false"
      echo "activation activation POST /activate 256 true"
      ;;
    lothian)
      echo "catalogue catalogue GET /gowns/ivory-12 0 false"
      echo "slots catalogue GET /slots/saturday 0 false"
      echo "deposit deposits POST /deposits 256 true"
      echo "upload uploads PUT /photos/set-3 262144 false"
      echo "booking bookings POST /bookings 256 true"
      echo "cancellation bookings POST /cancellations 128 true"
      ;;
  esac
}

workspace() {
  case "$1" in
    karnerand) echo fleet-anchor ;;
    lothian) echo city-hall ;;
  esac
}

plan() {
  local deployment=$1 lookups class service method path bytes idempotency
  lookups=$(printf '"%s", ' "${FLEET_LOOKUPS[@]}")
  echo "seconds = 5"
  while read -r class service method path bytes idempotency; do
    cat <<STREAM
[[stream]]
name = "$class"
service = "$service"
key = "${keys[$service]}"
method = "$method"
path = "$path"
body_bytes = $bytes
idempotency_key = $idempotency
rate = 4
lookups = [${lookups%, }]
STREAM
  done < <(classes "$deployment")
}

run() {
  local deployment=$1 folder="$FLEET_ROOT/out/quickstart/$1" document service
  echo "== $deployment: starting stand-ins and 8 entry hosts"
  fleet_start "$deployment" "$folder"
  fleet_ready
  declare -A keys=()
  for document in "$FLEET_ROOT/settings/$deployment/documents"/*.toml; do
    service=$(basename "$document" .toml)
    fleet_document "$document"
    keys[$service]=$(fleet_key "$service" "$(workspace "$deployment")")
    echo "   document and key of $service are accepted"
  done
  # A new budget starts without tokens and fills at its rate.
  sleep 1
  plan "$deployment" >"$folder/plan.toml"
  "$FLEET_BIN/marjorampick-load" --all-served --json "$folder/report.json" "$folder/plan.toml"
}

for deployment in "${deployments[@]}"; do
  run "$deployment"
  if [ "$keep" -eq 1 ]; then
    echo "running; try:"
    echo "  MARJORAMPICK_TOKEN=operator $FLEET_BIN/marjorampick-ctl ${FLEET_ADMIN[*]} status"
    echo "  $FLEET_BIN/marjorampick-load $FLEET_FOLDER/plan.toml"
    echo "press Enter to stop"
    read -r _ || true
  fi
  fleet_stop
done
echo "quickstart: every class of ${deployments[*]} was served"
