#!/usr/bin/env bash
# Builds the binaries, starts the stand-in for the users' platform and two entry hosts on loopback,
# and sends a request on every route to hosts found by look-up. Exits with 0 only if every request
# was answered.
set -euo pipefail
root="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
bin="$root/target/release"
folder="$root/out/quickstart/platform"
store=127.0.0.1:17000
pids=()
stop() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait
}
trap stop EXIT

cargo build --release --locked --manifest-path "$root/Cargo.toml" \
  -p marjorampick-platform -p marjorampick-platform-standin
mkdir -p "$folder"

"$bin/marjorampick-platform-standin" world --store "$store" &
pids+=($!)
for number in 1 2; do
  ip=127.0.0.$((10 + number))
  cat >"$folder/entry-$number.toml" <<SETTINGS
[host]
name = "entry-$number"
region = "north"
failure_domain = "north-a"
[[failure_domain]]
name = "north-a"
region = "north"
[[failure_domain]]
name = "south-a"
region = "south"
[listen]
callers = "$ip:17001"
lookup = "$ip:17002"
readiness = "$ip:17003"
peers = "$ip:17004"
metrics = "$ip:17005"
[store]
address = "$store"
configuration_time = "2500ms"
drain_time = "2500ms"
[stop]
grace = "4s"
[lookup]
longest_lifetime = "5s"
[rates]
window = "5s"
overage = 0.1
slack = 20
[retries]
ratio = 0.2
window = "10s"
allowance = 56
SETTINGS
  "$bin/marjorampick-platform" "$folder/entry-$number.toml" >"$folder/entry-$number.log" &
  pids+=($!)
done
# A new host spends from a workspace's limit only after the other hosts have seen it.
sleep 5
for number in 1 2; do
  "$bin/marjorampick-platform-standin" call --lookup "127.0.0.$((10 + number)):17002"
done
echo "quickstart: every route was served; logs are in $folder"
