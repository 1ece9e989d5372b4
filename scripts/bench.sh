#!/usr/bin/env bash
# Runs experiments end to end on a deployment on loopback. Usage:
# scripts/bench.sh [EXPERIMENT.toml...]
# Without arguments, it measures the overhead of the request path.
# DEPLOYMENT selects the deployment: library (default) or magnolia.
# FLEET_MAXPROCS sets GOMAXPROCS of all processes of the fleet, to emulate small
# hosts.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/fleet.sh

fleet_init "${DEPLOYMENT:-library}" "$(mktemp -d)"
trap fleet_stop EXIT
trap 'exit 130' INT TERM
GOMAXPROCS="${FLEET_MAXPROCS:-}" fleet_start
fleet_apply_config
fleet_wait_ready 20000
fleet_check_running
sleep 4

mapfile -t entry_flags < <(fleet_entry_flags)
mapfile -t admin_flags < <(fleet_admin_flags)
mapfile -t router_flags < <(printf -- '--router\n%s\n' "${fleet_router_addrs[@]}")

if [ $# -eq 0 ]; then
  mapfile -t target_flags < <(fleet_target_flags pinjaman)
  mapfile -t daemon_pids < <(fleet_daemon_pids | grep -- '-router=')
  for mix in experiments/mixes/overhead*.toml; do
    echo "== $mix"
    bin/mangopost-load overhead --mix "$mix" "${entry_flags[@]}" "${target_flags[@]}" "${daemon_pids[@]}"
  done
fi
for experiment in "$@"; do
  bin/mangopost-load bench --experiment "$experiment" --platform "$fleet_platform_addr" \
    "${entry_flags[@]}" "${admin_flags[@]}" "${router_flags[@]}"
done
fleet_check_running
