# Reads the rows of control.sh and prints medians by size, and the slopes of a
# least-squares fit over the medians of each VM, as one JSON object.

# Sorts values[1..count] in place, and returns the given quantile.
function percentile(values, count, share,   at, to, held) {
  for (at = 2; at <= count; ++at) {
    held = values[at]
    for (to = at - 1; to >= 1 && values[to] > held; --to)
      values[to + 1] = values[to]
    values[to + 1] = held
  }
  at = int(count * share + 0.999999)
  return values[at < 1 ? 1 : at]
}

# Median over the samples of one VM at one size.
function sampled(key, field,   count, at, list) {
  count = samples[key]
  for (at = 1; at <= count; ++at) list[at] = value[key, at, field]
  return percentile(list, count, 0.5)
}

function three(list, count) {
  return sprintf("{\"median\":%.4g,\"p10\":%.4g,\"p90\":%.4g}",
    percentile(list, count, 0.5), percentile(list, count, 0.1),
    percentile(list, count, 0.9))
}

# Solves the normal equations by Gauss-Jordan elimination; sets slope[] and
# error[].
function fit(field, from,   n, row, a, b, k, m, pivot, factor, y, e, rest) {
  k = 4
  for (a = 1; a <= k; ++a)
    for (b = 1; b <= 2 * k; ++b) m[a, b] = (b == a + k) ? 1 : 0
  for (a = 1; a <= k; ++a) side[a] = 0
  n = 0
  for (row = 1; row <= keys; ++row) {
    x[1] = 1; x[2] = daemons[order[row]]; x[3] = owned[order[row]]
    x[4] = changes[order[row]]
    y = middle[order[row], field]
    ++n
    for (a = 1; a <= k; ++a) {
      side[a] += x[a] * y
      for (b = 1; b <= k; ++b) m[a, b] += x[a] * x[b]
    }
  }
  for (pivot = 1; pivot <= k; ++pivot) {
    factor = m[pivot, pivot]
    if (factor == 0) return 0
    for (b = 1; b <= 2 * k; ++b) m[pivot, b] /= factor
    for (a = 1; a <= k; ++a) {
      if (a == pivot) continue
      factor = m[a, pivot]
      for (b = 1; b <= 2 * k; ++b) m[a, b] -= factor * m[pivot, b]
    }
  }
  for (a = 1; a <= k; ++a) {
    slope[a] = 0
    for (b = 1; b <= k; ++b) slope[a] += m[a, b + k] * side[b]
  }
  rest = 0
  for (row = 1; row <= keys; ++row) {
    e = middle[order[row], field] - slope[1] - slope[2] * daemons[order[row]] \
      - slope[3] * owned[order[row]] - slope[4] * changes[order[row]]
    rest += e * e
  }
  for (a = 1; a <= k; ++a)
    error[a] = n > k ? sqrt(rest / (n - k) * m[a, a + k]) : 0
  return 1
}

BEGIN {
  fields = split("control_percent process_percent resident_mb " \
    "heartbeat_bytes_per_second platform_calls_per_second " \
    "socket_bytes_per_second", name, " ")
  split("base per_daemon per_owned_group per_change_per_second", term, " ")
}

{
  key = $1 ":" $2 ($3 > 0 ? ":changing" : "") " " $4
  if (!(key in samples)) {
    order[++keys] = key
    daemons[key] = $1; owned[key] = $5; changes[key] = $3
  }
  ++samples[key]
  for (at = 1; at <= fields; ++at) value[key, samples[key], at] = $(6 + at)
}

END {
  for (row = 1; row <= keys; ++row) {
    key = order[row]
    split(key, part, " ")
    if (!(part[1] in vms)) sizes[++count] = part[1]
    ++vms[part[1]]
    ownedSum[part[1]] += owned[key]
    for (at = 1; at <= fields; ++at) {
      middle[key, at] = sampled(key, at)
      bySize[part[1], at, vms[part[1]]] = middle[key, at]
    }
  }
  printf "{\"verb\":\"control\",\"sizes\":["
  for (size = 1; size <= count; ++size) {
    one = sizes[size]
    printf "%s\n {\"size\":\"%s\",\"owned_mean\":%.2f", (size > 1 ? "," : ""),
      one, ownedSum[one] / vms[one]
    for (at = 1; at <= fields; ++at) {
      for (vm = 1; vm <= vms[one]; ++vm) list[vm] = bySize[one, at, vm]
      printf ",\"%s\":%s", name[at], three(list, vms[one])
    }
    printf "}"
  }
  printf "],\n\"slopes\":{"
  for (at = 1; at <= fields; ++at) {
    printf "%s\n \"%s\":{", (at > 1 ? "," : ""), name[at]
    if (fit(at))
      for (a = 1; a <= 4; ++a)
        printf "%s\"%s\":{\"value\":%.4g,\"error\":%.2g}", (a > 1 ? "," : ""),
          term[a], slope[a], error[a]
    printf "}"
  }
  printf "},\n\"propagation_seconds\":{"
  while ((getline line <propagation) > 0) {
    split(line, part, " ")
    if (!(part[1] in told)) {
      toldOrder[++tolds] = part[1]
    }
    spread[part[1], ++told[part[1]]] = part[2]
  }
  for (size = 1; size <= tolds; ++size) {
    one = toldOrder[size]
    delete list
    for (at = 1; at <= told[one]; ++at) list[at] = spread[one, at]
    printf "%s\"%s\":%s", (size > 1 ? "," : ""), one, three(list, told[one])
  }
  printf "},\n\"list_bytes\":{"
  at = 0
  while ((getline line <lists) > 0) {
    split(line, part, " ")
    printf "%s\"%s %s\":%d", (at++ ? "," : ""), part[1], part[2], part[3]
  }
  printf "},\n\"platform_counts\":{"
  at = 0
  while ((getline line <counts) > 0) {
    space = index(line, " ")
    printf "%s\"%s\":%s", (at++ ? ",\n " : ""), substr(line, 1, space - 1),
      substr(line, space + 1)
  }
  printf "},\n\"callers\":["
  at = 0
  while ((getline line <callers) > 0) printf "%s%s", (at++ ? "," : ""), line
  print "]}"
}
