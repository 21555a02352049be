#!/usr/bin/env bash
# Builds the stand-ins and drivers that the scripts of the cases start. Needs no network.
set -euo pipefail
root="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
cargo build --release --offline --locked \
  --manifest-path "$root/review/standin/Cargo.toml" --target-dir "$root/target/review"
