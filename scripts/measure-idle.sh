#!/usr/bin/env bash
# Measures what control work costs an entry host without callers: processor time, memory and
# bytes on loopback.
#
# measure-idle.sh [karnerand|lothian] [SECONDS]
set -euo pipefail
source "$(dirname "${BASH_SOURCE[0]}")/fleet.sh"
deployment=${1:-karnerand}
seconds=${2:-20}
folder="$FLEET_ROOT/out/idle/$deployment"
trap fleet_stop EXIT

cargo build --release --workspace --bins --locked --manifest-path "$FLEET_ROOT/Cargo.toml"
fleet_start "$deployment" "$folder"
fleet_ready

# Clock ticks of user and system time of all entry hosts.
ticks() {
  local pid sum=0 fields
  for pid in "${FLEET_HOST_PIDS[@]}"; do
    read -r -a fields <"/proc/$pid/stat"
    sum=$((sum + fields[13] + fields[14]))
  done
  echo "$sum"
}

# Bytes received on the loopback interface, from all processes on the machine.
loopback() {
  awk '/lo:/ { print $2 }' /proc/net/dev
}

sample() {
  local label=$1 hosts=${#FLEET_HOST_PIDS[@]} before_ticks before_bytes hz pid resident=0
  hz=$(getconf CLK_TCK)
  before_ticks=$(ticks)
  before_bytes=$(loopback)
  sleep "$seconds"
  local spent=$(($(ticks) - before_ticks)) moved=$(($(loopback) - before_bytes))
  for pid in "${FLEET_HOST_PIDS[@]}"; do
    resident=$((resident + $(awk '/VmRSS/ { print $2 }' "/proc/$pid/status")))
  done
  awk -v label="$label" -v spent="$spent" -v hz="$hz" -v s="$seconds" -v n="$hosts" -v moved="$moved" \
    -v resident="$resident" 'BEGIN {
      printf "%-20s %.2f%% of a core, %.1f MB, %.1f KB/s of loopback traffic, each of %d hosts\n",
        label, 100 * spent / hz / s / n, resident / 1024 / n, moved / 1000 / s / n, n }'
}

sample "without documents"
for document in "$FLEET_ROOT/settings/$deployment/documents"/*.toml; do
  fleet_document "$document" >/dev/null
done
sleep 3
sample "with documents"
