# Functions that start and stop a deployment of examples/ on loopback. Other
# scripts source this file from the repository's root. Only processes started by
# these functions are stopped.

fleet_pids=()
fleet_names=()

# fleet_init DEPLOYMENT FOLDER: reads the topology (places.toml) and uses FOLDER
# for logs. DEPLOYMENT is a name in examples/ or a folder with the same layout.
# PORT_OFFSET is added to every port, so that two fleets can run at the same time.
fleet_init() {
  fleet_log_dir="$2"
  local source_dir="$1"
  [ -d "$source_dir" ] || source_dir="examples/$1"
  if [ ! -f "$source_dir/places.toml" ]; then
    echo "no deployment $1" >&2
    return 1
  fi
  fleet_dir="$fleet_log_dir/deployment"
  fleet_copy_deployment "$source_dir" "$fleet_dir" "${PORT_OFFSET:-0}"
  fleet_platform_addr=$(sed -n 's/^platform = "\(.*\)"/\1/p' "$fleet_dir/places.toml")
  mapfile -t fleet_host_files < <(sed -n 's/.*settings = "\([^"]*\)".*/\1/p' "$fleet_dir/places.toml")
  mapfile -t fleet_caller_addrs < <(sed -n 's/.*callers = "\([^"]*\)".*/\1/p' "$fleet_dir/places.toml")
  mapfile -t fleet_router_addrs < <(sed -n 's/.*router_operators = "\([^"]*\)".*/\1/p' "$fleet_dir/places.toml")
  mapfile -t fleet_target_files < <(sed -n 's/^targets = "\([^"]*\)"/\1/p' "$fleet_dir/places.toml")
  mapfile -t fleet_admin_addrs < <(sed -n 's/^targets_admin = "\([^"]*\)"/\1/p' "$fleet_dir/places.toml")
}

# fleet_copy_deployment FROM TO OFFSET: copies a deployment and adds OFFSET to its
# ports.
fleet_copy_deployment() {
  local file
  mkdir -p "$2"
  cp -R "$1/." "$2"
  find "$2" -name '*.toml' | while read -r file; do
    awk -v offset="$3" '{
      out = ""
      while (match($0, /127\.0\.0\.1:[0-9]+/)) {
        port = substr($0, RSTART + 10, RLENGTH - 10)
        out = out substr($0, 1, RSTART + 9) (port + offset)
        $0 = substr($0, RSTART + RLENGTH)
      }
      print out $0
    }' "$file" >"$file.moved"
    mv "$file.moved" "$file"
  done
}

# fleet_start_process NAME COMMAND...: starts a process in the background.
fleet_start_process() {
  local name=$1
  shift
  "$@" >"$fleet_log_dir/$name.log" 2>&1 &
  fleet_pids+=($!)
  fleet_names+=("$name")
}

# fleet_start: starts the platform, the targets and the processes of every host.
fleet_start() {
  local i name
  if bin/mangopost-load wait --timeout-ms 200 "http://$fleet_platform_addr/v1/hosts" 2>/dev/null; then
    echo "another platform listens on $fleet_platform_addr" >&2
    return 1
  fi
  fleet_start_process platform bin/mangopost-standin platform --listen "$fleet_platform_addr"
  bin/mangopost-load wait --timeout-ms 5000 "http://$fleet_platform_addr/v1/hosts"
  for i in "${!fleet_target_files[@]}"; do
    name=$(basename "${fleet_target_files[$i]}" .toml)
    fleet_start_process "targets-$name" bin/mangopost-standin targets \
      --config "$fleet_dir/${fleet_target_files[$i]}" --platform "$fleet_platform_addr" --admin "${fleet_admin_addrs[$i]}"
  done
  for i in "${!fleet_host_files[@]}"; do
    name=$(basename "${fleet_host_files[$i]}" .toml)
    fleet_start_process "$name-placer" bin/mangopost-placer --config "$fleet_dir/${fleet_host_files[$i]}"
    fleet_start_process "$name-router" bin/mangopost-router --config "$fleet_dir/${fleet_host_files[$i]}"
  done
}

# fleet_apply_config: applies the deployment's templates and clients.
fleet_apply_config() {
  local ctl=(bin/mangopostctl --platform "$fleet_platform_addr" --operator demo)
  "${ctl[@]}" template apply "$fleet_dir/templates.toml"
  "${ctl[@]}" client apply "$fleet_dir/clients.toml"
}

# fleet_wait_ready TIMEOUT_MS: waits until every router is ready.
fleet_wait_ready() {
  bin/mangopost-load wait --timeout-ms "$1" "${fleet_router_addrs[@]/%//ready}"
}

# fleet_check_running: fails if a process has ended by itself, and prints its name
# and the last line of its log.
fleet_check_running() {
  local i status=0
  for i in "${!fleet_pids[@]}"; do
    kill -0 "${fleet_pids[$i]}" 2>/dev/null && continue
    echo "${fleet_names[$i]} ended: $(tail -n 1 "$fleet_log_dir/${fleet_names[$i]}.log")" >&2
    status=1
  done
  return "$status"
}

# fleet_entry_flags: prints the load tool's flags for the listeners for callers.
fleet_entry_flags() {
  printf -- '--entry\n%s\n' "${fleet_caller_addrs[@]}"
}

# fleet_admin_flags: prints the load tool's flags for the target processes.
fleet_admin_flags() {
  printf -- '--admin\n%s\n' "${fleet_admin_addrs[@]}"
}

# fleet_target_flags SERVICE: prints the load tool's flags for a service's targets.
fleet_target_flags() {
  local file
  for file in "${fleet_target_files[@]}"; do
    awk -v service="$1" '
      /^service = / { is_match = ($3 == "\"" service "\"") }
      /^listen = / && is_match { gsub(/"/, "", $3); print "--target"; print $3 }
    ' "$fleet_dir/$file"
  done
}

# fleet_daemon_pids: prints the placers and routers as NAME=PID.
fleet_daemon_pids() {
  local i
  for i in "${!fleet_pids[@]}"; do
    case "${fleet_names[$i]}" in
      *-placer | *-router) echo "${fleet_names[$i]}=${fleet_pids[$i]}" ;;
    esac
  done
}

# fleet_stop: stops the processes that fleet_start started, with SIGTERM and, if
# they still run after 3 s, with SIGKILL.
fleet_stop() {
  local pid
  for pid in "${fleet_pids[@]}"; do
    kill -TERM "$pid" 2>/dev/null || true
  done
  for _ in $(seq 30); do
    fleet_any_running || break
    sleep 0.1
  done
  for pid in "${fleet_pids[@]}"; do
    kill -KILL "$pid" 2>/dev/null || true
  done
  wait "${fleet_pids[@]}" 2>/dev/null || true
  fleet_pids=()
  fleet_names=()
}

fleet_any_running() {
  local pid
  for pid in "${fleet_pids[@]}"; do
    kill -0 "$pid" 2>/dev/null && return 0
  done
  return 1
}
