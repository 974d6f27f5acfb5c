#!/usr/bin/env bash
# Model-checks every specification in this directory exhaustively, and checks
# that each of its mutations is rejected. Each file declares its runs in its
# header:
#
#   check: safety FLAGS                    assertions and invalid end states
#   check: acyclic FLAGS                   every run ends (no cycles)
#   deep: MODE FLAGS                       a check that only -deep runs
#   mutation: assertion FLAGS | MEANING    must violate an assertion
#
# A truncated search is a failure. Prints one line per run.
# Usage: check.sh [-deep] [FILE.pml ...]
set -euo pipefail
cd "$(dirname "$0")"

readonly max_depth=2000000         # steps; the run fails if the search is deeper
memory_limit_mb=1200               # per run; the run fails if it reaches the limit
parallel_runs=3                    # together they use less than 4 GB
kinds='check\|mutation'
if [ "${1:-}" = -deep ]; then
  shift
  memory_limit_mb=7000
  parallel_runs=1
  kinds=deep
fi

work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# exhaustive FILE: succeeds if the search covered the full state space.
exhaustive() {
  grep -q '^Full statespace search' "$1" &&
    ! grep -qiE 'search not completed|max search depth too small|out of memory|bit statespace|truncated' "$1"
}

# check_one INDEX FILE KIND(check|mutation) MODE REST: runs one search, writes its
# result line to INDEX.line and, if it fails, the end of its output to INDEX.bad.
check_one() {
  local index=$1 file=$2 kind=${3/deep/check} mode=$4 rest=$5
  local dir=$work/$index flags=${rest%%|*} meaning="" build=(-O2 -w) run=("-m$max_depth" -w22)
  [[ $rest == *'|'* ]] && meaning=${rest#*|}
  if [ "$mode" = acyclic ]; then
    build+=(-DNP -DNOCLAIM)
    run+=(-l)
  else
    build+=(-DSAFETY -DNOCLAIM)
  fi
  mkdir "$dir"
  cp "$file" "$dir/"
  local verdict=FAIL
  # shellcheck disable=SC2086 # flags are split into words
  if (cd "$dir" && ulimit -v 2000000 && spin -a $flags "$file" >spin.out 2>&1 &&
    gcc "${build[@]}" "-DMEMLIM=$memory_limit_mb" -o pan pan.c >gcc.out 2>&1); then
    (cd "$dir" && ./pan "${run[@]}" >pan.out 2>&1) || true
    case $kind:$mode in
      check:*) grep -q 'errors: 0$' "$dir/pan.out" && exhaustive "$dir/pan.out" && verdict=pass ;;
      mutation:assertion) grep -q '^pan:[0-9]*: assertion violated' "$dir/pan.out" && verdict=rejected ;;
    esac
  else
    cat "$dir"/spin.out "$dir"/gcc.out >"$dir/pan.out" 2>/dev/null || true
  fi
  local states depth
  states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' "$dir/pan.out" | head -1)
  depth=$(sed -n 's/.*depth reached \([0-9]*\).*/\1/p' "$dir/pan.out" | head -1)
  printf '%-11s %-9s states=%-9s depth=%-6s verdict=%-8s %s %s%s\n' "$file" "$kind" \
    "${states:-0}" "${depth:-0}" "$verdict" "$mode" "$(echo $flags)" "${meaning:+ |$meaning}" >"$work/$index.line"
  if [ "$verdict" = FAIL ]; then
    tail -n 30 "$dir/pan.out" >"$work/$index.bad"
  fi
  rm -rf "$dir"
}

files=("$@")
[ ${#files[@]} -gt 0 ] || files=(*.pml)
index=1000
for file in "${files[@]}"; do
  grep -q '^ \* check: ' "$file" || { echo "$file declares no check" >&2; exit 1; }
  grep -q '^ \* mutation: ' "$file" || { echo "$file declares no mutation" >&2; exit 1; }
  while read -r kind mode rest; do
    index=$((index + 1))
    while [ "$(jobs -pr | wc -l)" -ge "$parallel_runs" ]; do wait -n; done
    check_one "$index" "$file" "${kind%:}" "$mode" "$rest" &
  done < <(sed -n 's/^ \* \(\('"$kinds"'\): .*\)/\1/p' "$file")
done
wait

cat "$work"/*.line
if compgen -G "$work/*.bad" >/dev/null; then
  for bad in "$work"/*.bad; do
    echo "--- $(cat "${bad%.bad}.line")"
    cat "$bad"
  done
  echo "model checking failed"
  exit 1
fi
[ "$(cat "$work"/*.line | wc -l)" -eq $((index - 1000)) ] || { echo "a run left no result" >&2; exit 1; }
