#!/usr/bin/env bash
# Measures the control-plane cost of the hosts of one cell without load, for
# several numbers of targets.
# Usage: scripts/control.sh [checks|plain] [MILLISECONDS] [TARGETS...]
# With "checks" the targets check grants.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/fleet.sh

grant_mode=${1:-checks}
duration_ms=${2:-8000}
shift $(($# < 2 ? $# : 2))
target_counts=("${@:-2 4 8 16 32}")
settle_s=6
shards_per_target=16

# write_deployment FOLDER TARGETS: writes a deployment that consists of the first
# data centre of the library, with the given number of targets of katalog.
write_deployment() {
  local i
  mkdir -p "$1/hosts" "$1/targets"
  cp examples/library/hosts/kl-*.toml "$1/hosts"
  cp examples/library/clients.toml "$1"
  awk -v shards="$(($2 * shards_per_target))" -v checks="$([ "$grant_mode" = checks ] && echo true || echo false)" '
    /^\[\[template\]\]/ { n++ }
    n > 1 { next }
    /^shards = / { print "shards = " shards; next }
    /^checks_grants = / { print "checks_grants = " checks; next }
    { print }
  ' examples/library/templates.toml >"$1/templates.toml"
  awk '/^\[\[data_centre\]\]/ { n++ } n < 2 { print }' examples/library/places.toml >"$1/places.toml"
  sed -i 's/"katalog", .*\]/"katalog"]/; s/services = .*/services = ["katalog"]/' "$1/clients.toml"
  for ((i = 1; i <= $2; i++)); do
    cat <<EOF
[[target]]
name = "katalog-$i"
service = "katalog"
data_centre = "kl-utama"
listen = "127.0.0.1:$((8100 + i))"
checks_grants = $([ "$grant_mode" = checks ] && echo true || echo false)
EOF
  done >"$1/targets/kl-utama.toml"
}

trap fleet_stop EXIT
trap 'exit 130' INT TERM
for count in ${target_counts[*]}; do
  work_dir=$(mktemp -d)
  write_deployment "$work_dir/from" "$count"
  fleet_init "$work_dir/from" "$work_dir/logs"
  fleet_start
  fleet_apply_config >/dev/null
  fleet_wait_ready 20000
  fleet_check_running
  sleep "$settle_s"
  echo "== $count targets, $grant_mode"
  mapfile -t daemon_pids < <(fleet_daemon_pids)
  bin/mangopost-load usage --for-ms "$duration_ms" --store "$fleet_platform_addr" "${daemon_pids[@]}"
  fleet_check_running
  fleet_stop
done
