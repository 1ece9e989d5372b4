#!/usr/bin/env bash
# Runs a deployment under load with one fault per second and checks the targets'
# run records. Usage: scripts/soak.sh [library|magnolia] [REQUESTS] [SEED]
# The seed selects the faults: a router or placer is killed and restarted; a
# router, placer or target process is paused for up to 1.9 s; the store is down,
# slow, stale or loses answers. Exit status: 0 if every guarantee held, 2 if one
# was violated, 1 on other errors.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/fleet.sh

deployment=${1:-library}
requests=${2:-200000}
RANDOM=${3:-1}
rate=1500
out_dir=$(mktemp -d)
run_id="soak-$(date +%s)"
duration_ms=$((requests * 1000 / rate + 2000))

fleet_init "$deployment" "$out_dir/logs"
trap fleet_stop EXIT
trap 'exit 130' INT TERM

# restart_process N: restarts process number N of the fleet after it was killed.
restart_process() {
  local host=${fleet_names[$1]%-*} role=${fleet_names[$1]##*-} file
  file=$(printf '%s\n' "${fleet_host_files[@]}" | grep "/$host.toml\$")
  "bin/mangopost-$role" --config "$fleet_dir/$file" >>"$fleet_log_dir/${fleet_names[$1]}.log" 2>&1 &
  fleet_pids[$1]=$!
}

# pick_process PATTERN: prints the number of a random process whose name matches.
pick_process() {
  local i matching=()
  for i in "${!fleet_names[@]}"; do
    [[ ${fleet_names[$i]} =~ $1 ]] && matching+=("$i")
  done
  echo "${matching[$((RANDOM % ${#matching[@]}))]}"
}

kill_and_restart() {
  local i
  i=$(pick_process "$1")
  kill -KILL "${fleet_pids[$i]}" 2>/dev/null || true
  wait "${fleet_pids[$i]}" 2>/dev/null || true
  restart_process "$i"
  echo "killed ${fleet_names[$i]}" >>"$out_dir/faults.log"
}

pause_process() {
  local i
  i=$(pick_process "$1")
  kill -STOP "${fleet_pids[$i]}" 2>/dev/null || return 0
  sleep "0.$((RANDOM % 9 + 1))"
  [ $((RANDOM % 2)) = 0 ] || sleep 1
  kill -CONT "${fleet_pids[$i]}" 2>/dev/null || true
  echo "paused ${fleet_names[$i]}" >>"$out_dir/faults.log"
}

# set_store_faults FAULTS: sets the faults of the platform stand-in to a JSON
# object.
set_store_faults() {
  local host=${fleet_platform_addr%:*} port=${fleet_platform_addr##*:}
  exec 3<>"/dev/tcp/$host/$port"
  printf 'POST /v1/faults HTTP/1.1\r\nHost: platform\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s' \
    "${#1}" "$1" >&3
  head -n 1 <&3 >>"$out_dir/faults.log"
  exec 3<&- 3>&-
  echo "store $1" >>"$out_dir/faults.log"
}

inject_fault() {
  case $((RANDOM % 9)) in
    0) kill_and_restart 'router$' ;;
    1) kill_and_restart 'placer$' ;;
    2) pause_process 'router$' ;;
    3) pause_process 'placer$' ;;
    4) pause_process '^targets-' ;;
    5) set_store_faults '{"down": true}' ;;
    6) set_store_faults '{"lose_answer_every": 2}' ;;
    7) set_store_faults '{"slow_ms": 120, "stale_ms": 1500}' ;;
    8) set_store_faults '{}' ;;
  esac
}

fleet_start
fleet_apply_config
fleet_wait_ready 20000
sleep 2
mapfile -t entry_flags < <(fleet_entry_flags)
mapfile -t admin_flags < <(fleet_admin_flags)
bin/mangopost-load run --mix "experiments/mixes/$deployment.toml" --rate "$rate" \
  --duration-ms "$duration_ms" --run "$run_id" --out "$out_dir" "${entry_flags[@]}" >/dev/null &
load_pid=$!
while kill -0 "$load_pid" 2>/dev/null; do
  inject_fault
  sleep 1
done
wait "$load_pid" || true
set_store_faults '{}'
sleep 2
status=0
bin/mangopost-load judge --results "$out_dir" --run "$run_id" "${admin_flags[@]}" || status=$?
echo
echo "faults: $(wc -l <"$out_dir/faults.log"), report: $out_dir/report.html, logs: $out_dir/logs"
exit "$status"
