#!/usr/bin/env bash
# Measures the control-plane cost of a deployment without load. Usage:
# scripts/idle.sh [DEPLOYMENT] [MILLISECONDS]
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/fleet.sh

deployment=${1:-library}
duration_ms=${2:-10000}
settle_s=6

fleet_init "$deployment" "$(mktemp -d)"
trap fleet_stop EXIT
trap 'exit 130' INT TERM
fleet_start
fleet_apply_config
fleet_wait_ready 20000
fleet_check_running
sleep "$settle_s"
mapfile -t daemon_pids < <(fleet_daemon_pids)
bin/mangopost-load usage --for-ms "$duration_ms" --store "$fleet_platform_addr" "${daemon_pids[@]}"
