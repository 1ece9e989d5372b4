#!/usr/bin/env bash
# Measures how long accepted configurations take to be in force at every host.
# Usage: scripts/spread.sh [DEPLOYMENT] [CHANGES]. Exit status: 2 if one took
# longer than 12 s.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/fleet.sh

fleet_init "${1:-library}" "$(mktemp -d)"
trap fleet_stop EXIT
trap 'exit 130' INT TERM
fleet_start
fleet_apply_config >/dev/null
fleet_wait_ready 20000
fleet_check_running
sleep 2
mapfile -t router_flags < <(printf -- '--router\n%s\n' "${fleet_router_addrs[@]}")
bin/mangopost-load spread --platform "$fleet_platform_addr" --changes "${2:-10}" "${router_flags[@]}"
