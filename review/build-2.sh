#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 and later, without a network. The build of the deploy file builds the entry
# host itself.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/standin-2"
cargo build --release --locked --offline
