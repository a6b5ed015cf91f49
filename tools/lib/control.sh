# What control costs each daemon: the verb `control` of tools/measure. To be
# sourced after cluster.sh and measure.sh, with scratch set.
#
# Variables: CONTROL_SIZES, a list of DAEMONS:GROUPS; CONTROL_SAMPLES and
# CONTROL_SAMPLE_SECONDS; CONTROL_POOLER_FLAGS, flags for every pooler;
# CONTROL_CONNECTIONS, idle connections of callers at one gateway, a list.
# Daemons listen at port 25000 and the next ones, of 127.0.0.1 and up.

CONTROL_SIZES=${CONTROL_SIZES:-4:9 8:9 16:9 32:9 8:1 8:3 8:18}
CONTROL_SAMPLES=${CONTROL_SAMPLES:-5}
CONTROL_SAMPLE_SECONDS=${CONTROL_SAMPLE_SECONDS:-1.5}
CONTROL_CHANGES=${CONTROL_CHANGES:-5}
CONTROL_POOLER_FLAGS=${CONTROL_POOLER_FLAGS:-}
CONTROL_CONNECTIONS=${CONTROL_CONNECTIONS:-0 3000 9000}
CONTROL_DOMAINS=5
# Time until lists are read, ranks are known and start-up work has ended.
CONTROL_SETTLE_SECONDS=5

# Prints a deployment of the given number of VMs and groups of three servers.
control_shape() {
  awk -v daemons="$1" -v groups="$2" -v domains=$CONTROL_DOMAINS \
    -v declaration="$3" 'BEGIN {
      printf "{\"name\":\"control\",\"declaration\":\"%s\",", declaration
      printf "\"platform\":{\"address\":\"127.0.0.1\",\"port\":25000},"
      printf "\"delays\":{\"between_failure_domains_us\":0,"
      printf "\"to_callers_us\":0,\"connect_ms\":0},\n\"vms\":["
      for (vm = 0; vm < daemons; ++vm)
        printf "%s\n{\"id\":\"vm-%d\",\"address\":\"127.0.%d.%d\",\"failure_domain\":\"domain-%d\",\"request_port\":25001,\"peer_port\":25002,\"status_port\":25003,\"caller_port\":25005}",
          vm ? "," : "", vm, 10 + int(vm / 200), 1 + vm % 200, vm % domains
      printf "],\n\"upstreams\":["
      for (server = 0; server < 3 * groups; ++server)
        printf "%s\n{\"id\":\"group-%d-%d\",\"group\":\"group-%d\",\"address\":\"127.0.%d.%d\",\"port\":25010,\"control_port\":25011,\"failure_domain\":\"domain-%d\",\"slots\":4,\"connections\":64}",
          server ? "," : "", int(server / 3), server % 3, int(server / 3),
          5 + int(server / 200), 1 + server % 200, server % domains
      print "]}"
    }'
}

# Prints a declaration; each number gives a different one.
control_declaration() {
  echo "classes:"
  echo "  lookup:"
  echo "    access: read"
  echo "    served_in: [domain-0, domain-1, domain-2, domain-3, domain-4]"
  echo "    max_staleness: 500ms"
  echo "    may_be_repeated: yes"
  echo "    deadline: $((1000 + $1))ms"
  echo "    objective: 99.9%"
}

# Starts a deployment without its gateways.
control_start() {
  local id address domain request peer status
  control_declaration 0 >"$scratch/declaration.yaml"
  control_shape "$1" "$2" "$scratch/declaration.yaml" >"$scratch/control.json"
  CLUSTER_DIR=$scratch/logs
  mkdir -p "$CLUSTER_DIR"
  cluster_read "$scratch/control.json" || return 1
  cluster_launch platform currantshed-standin-platform --address 127.0.0.1 \
    --port 25000 --shape "$CLUSTER_SHAPE"
  for id in "${CLUSTER_UPSTREAMS[@]}"; do
    cluster_upstream_start "$id"
  done
  cluster_await 10 cluster_platform_up || return 1
  for id in "${CLUSTER_UPSTREAMS[@]}"; do
    cluster_await 10 cluster_state "$id" >/dev/null || return 1
  done
  cluster_await 10 cluster_apply || return 1
  for id in "${CLUSTER_VMS[@]}"; do
    read -r address domain request peer status _ <<<"${CLUSTER_VM[$id]}"
    # shellcheck disable=SC2086
    cluster_launch "pooler.$id" currantshed-pooler --vm "$id" \
      --failure-domain "$domain" --address "$address" \
      --request-port "$request" --peer-port "$peer" \
      --status-port "$status" --platform-url "http://127.0.0.1:25000" \
      --log-level warning $CONTROL_POOLER_FLAGS
  done
  cluster_await 30 control_wait_once
}

# Whether every VM has the last applied configuration.
control_wait_once() {
  "$BUILD/currantshedctl" wait --platform-url http://127.0.0.1:25000 \
    --version "$((control_changed + 1))" --timeout 19s \
    >>"$CLUSTER_DIR/apply.log" 2>&1
}

# Prints a status page of every pooler, each line prefixed by the VM's name.
control_pages() {
  local id address status addresses=()
  for id in "${CLUSTER_VMS[@]}"; do
    read -r address _ _ _ status _ <<<"${CLUSTER_VM[$id]}"
    addresses+=("http://$address:$status$1")
  done
  curl -s -m 20 -w '\n@ %{url_effective}\n' "${addresses[@]}" |
    awk -v names="${CLUSTER_VMS[*]}" 'BEGIN { split(names, name, " "); at = 1 }
      /^@ / { ++at; next }
      { print name[at], $0 }'
}

# Prints the number of groups that each VM owns and leads.
control_owned() {
  control_pages /status | awk '{
    led[$1] += gsub(/"rank":0/, "&")
    owned[$1] += gsub(/"rank":/, "&") }
    END { for (vm in owned) print vm, owned[vm], led[vm] }'
}

# Prints the current counters of each VM: processor seconds of the control
# thread and of the process, resident kB, heartbeat bytes and platform calls,
# and bytes at its open TCP sockets.
control_snapshot() {
  local id list=
  for id in "${CLUSTER_VMS[@]}"; do
    list+="$id ${CLUSTER_PID[pooler.$id]} "
  done
  {
    control_pages /metrics | grep -E \
      ' currantshed_pooler_(control_cpu|heartbeat_bytes|platform_calls)'
    for id in "${CLUSTER_VMS[@]}"; do
      awk -v vm="$id" '{ sum += $1 } END { print vm, "process", sum / 1e9 }' \
        "/proc/${CLUSTER_PID[pooler.$id]}"/task/*/schedstat
      awk -v vm="$id" '/VmRSS/ { print vm, "rss", $2 }' \
        "/proc/${CLUSTER_PID[pooler.$id]}/status"
    done
    ss -tinpHO state established | awk -v list="$list" 'BEGIN {
        count = split(list, word, " ")
        for (at = 1; at < count; at += 2) vm[word[at + 1]] = word[at] }
      match($0, /pid=[0-9]+/) {
        pid = substr($0, RSTART + 4, RLENGTH - 4)
        if (!(pid in vm)) next
        bytes = 0
        if (match($0, /bytes_sent:[0-9]+/))
          bytes += substr($0, RSTART + 11, RLENGTH - 11)
        if (match($0, /bytes_received:[0-9]+/))
          bytes += substr($0, RSTART + 15, RLENGTH - 15)
        print vm[pid], "socket", bytes }'
  } | awk '$2 ~ /control_cpu/ { control[$1] = $3 }
    $2 ~ /heartbeat_bytes/ { beats[$1] += $3 }
    $2 ~ /platform_calls/ { calls[$1] += $3 }
    $2 == "process" { process[$1] = $3 }
    $2 == "rss" { rss[$1] = $3 }
    $2 == "socket" { sockets[$1] += $3 }
    END { for (vm in process)
      print vm, control[vm], process[vm], rss[vm], beats[vm], calls[vm],
        sockets[vm] }'
}

# Prints one row for each VM between two snapshots: size, changes per second,
# owned and led groups, then control %, process %, MB, heartbeat bytes/s,
# platform calls/s, socket bytes/s.
control_rows() {
  awk -v size="$1" -v seconds="$4" -v changes="$5" -v owned="$scratch/owned" '
    BEGIN { split(size, part, ":")
      while ((getline line <owned) > 0) {
        split(line, word, " "); own[word[1]] = word[2]; led[word[1]] = word[3]
      } }
    NR == FNR { for (at = 2; at <= 7; ++at) before[$1, at] = $at; next }
    ($1, 2) in before {
      print part[1], part[2], changes / seconds, $1, own[$1] + 0, led[$1] + 0,
        100 * ($2 - before[$1, 2]) / seconds,
        100 * ($3 - before[$1, 3]) / seconds, $4 / 1024,
        ($5 - before[$1, 5]) / seconds, ($6 - before[$1, 6]) / seconds,
        ($7 - before[$1, 7]) / seconds }' "$2" "$3"
}

control_seconds_since() {
  awk -v from="$1" -v to="$EPOCHREALTIME" 'BEGIN { print to - from }'
}

# Takes one sample; the given command runs while it lasts.
control_sample() {
  local size=$1 changes=$2 from
  shift 2
  from=$EPOCHREALTIME
  control_snapshot >"$scratch/before"
  "$@" || return 1
  control_snapshot >"$scratch/after"
  # Both snapshots take equally long, so the interval is measured between their
  # starts.
  control_rows "$size" "$scratch/before" "$scratch/after" \
    "$(control_between "$from" "$control_again")" "$changes"
}

control_between() {
  awk -v from="$1" -v to="$2" 'BEGIN { print to - from }'
}

control_rest() {
  sleep "$CONTROL_SAMPLE_SECONDS"
  control_again=$EPOCHREALTIME
}

# Applies changes one after another, and writes how long each took to take
# effect at every VM.
control_change() {
  local round from
  for ((round = 1; round <= CONTROL_CHANGES; ++round)); do
    control_declaration $((++control_changed)) >"$scratch/declaration.yaml"
    from=$EPOCHREALTIME
    cluster_apply && control_wait_once || return 1
    echo "$1 $(control_seconds_since "$from")" >>"$scratch/propagation"
  done
  control_again=$EPOCHREALTIME
}

control_size() {
  local size=$1 sample
  control_changed=0
  control_start "${size%:*}" "${size#*:}" || return 1
  sleep "$CONTROL_SETTLE_SECONDS"
  control_owned >"$scratch/owned"
  curl -s "http://127.0.0.1:25000/control/counts?reset=true" >/dev/null
  for ((sample = 1; sample <= CONTROL_SAMPLES; ++sample)); do
    control_sample "$size" 0 control_rest >>"$scratch/rows" || return 1
  done
  echo "$size $(curl -s http://127.0.0.1:25000/control/counts)" \
    >>"$scratch/counts"
  control_sample "$size" "$CONTROL_CHANGES" control_change "$size" \
    >>"$scratch/rows" || return 1
  control_lists "$size"
  cluster_stop
}

# Size in bytes of the platform's two lists.
control_lists() {
  local list
  for list in currantshed upstream; do
    curl -s -o /dev/null -w "$1 $list %{size_download}\n" \
      "http://127.0.0.1:25000/v1/catalog/service/$list" >>"$scratch/lists"
  done
}


# Starts one gateway beside the first VM's pooler.
control_gateway() {
  local address request
  read -r address _ request _ <<<"${CLUSTER_VM[vm-0]}"
  cluster_launch gateway.vm-0 currantshed-gateway --vm vm-0 \
    --failure-domain domain-0 --address "$address" --caller-port 25005 \
    --status-port 25004 --pooler "$address:$request" --log-level warning \
    --connection-limit 20000
  cluster_await 10 curl -sf -m 2 -o /dev/null "http://$address:25004/readyz"
}

# Opens the given number of idle connections to a gateway, and prints its
# resident memory and its processor time over one second.
control_idle_callers() {
  local count=$1 address=$2 pid=$3 file opened=0
  ulimit -Sn "$(ulimit -Hn)"
  while [ "$opened" -lt "$count" ]; do
    exec {file}<>"/dev/tcp/$address/25005" || return 1
    opened=$((opened + 1))
  done
  sleep 1
  awk -v count="$count" -v before="$(control_process_seconds "$pid")" \
    -v after="$(sleep 1 && control_process_seconds "$pid")" '
    /VmRSS/ { printf "{\"idle_connections\":%d,\"resident_kb\":%d,\"process_percent\":%.2f}\n",
      count, $2, 100 * (after - before) }' "/proc/$pid/status"
}

control_process_seconds() {
  awk '{ sum += $1 } END { print sum / 1e9 }' "/proc/$1"/task/*/schedstat
}

control_callers() {
  local count address
  control_changed=0
  control_start 4 1 || return 1
  control_gateway || return 1
  read -r address _ <<<"${CLUSTER_VM[vm-0]}"
  for count in $CONTROL_CONNECTIONS; do
    (control_idle_callers "$count" "$address" "${CLUSTER_PID[gateway.vm-0]}") \
      >>"$scratch/callers" || return 1
  done
  cluster_stop
}

measure_control() {
  local size
  : >"$scratch/rows"
  for size in $CONTROL_SIZES; do
    echo "control: $size" >&2
    control_size "$size" || return 1
  done
  echo "control: callers" >&2
  control_callers || return 1
  awk -f tools/lib/control.awk -v propagation="$scratch/propagation" \
    -v callers="$scratch/callers" -v lists="$scratch/lists" -v counts="$scratch/counts" "$scratch/rows"
}
