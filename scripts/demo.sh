#!/usr/bin/env bash
# Runs a whole deployment on loopback under a mixed load, prints the report and
# stops it. Usage: scripts/demo.sh [library|magnolia] [OUTPUT-FOLDER]
# MIX names another mix file. Exit status: 0 if every guarantee held, 2 if one was
# violated, 1 on other errors.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/fleet.sh

deployment=${1:-library}
out_dir=${2:-$(mktemp -d)}
ready_ms=20000
# A gateway that has just started answers "unknown" to requests that, given the
# clock skew, may have been sent before it started.
settle_s=2
run_id="demo-$(date +%s)"

fleet_init "$deployment" "$out_dir/logs"
trap fleet_stop EXIT
trap 'exit 130' INT TERM

fleet_start
fleet_apply_config
fleet_wait_ready "$ready_ms"
fleet_check_running
sleep "$settle_s"

mapfile -t entry_flags < <(fleet_entry_flags)
mapfile -t admin_flags < <(fleet_admin_flags)
bin/mangopost-load run --mix "${MIX:-experiments/mixes/$deployment.toml}" --run "$run_id" --out "$out_dir" "${entry_flags[@]}" >/dev/null
fleet_check_running
status=0
bin/mangopost-load judge --results "$out_dir" --run "$run_id" "${admin_flags[@]}" || status=$?
echo
echo "report: $out_dir/report.html, logs: $out_dir/logs"
exit "$status"
