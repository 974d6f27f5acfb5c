#!/usr/bin/env bash
# Builds the programs, starts stand-ins for the platform, the engines and the
# services of the Piedmont example and one balsamd, and sends two requests through
# it: a streamed chat completion and a booking. Then explains the decisions on a
# third request.
set -euo pipefail
cd "$(dirname "$0")"

dir=$(mktemp -d)
pids=()
stop() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$dir"
}
trap stop EXIT

go build -o "$dir" ./cmd/balsamd ./cmd/balsamctl ./cmd/balsam-standin
cat >"$dir/instances.json" <<'JSON'
[{"name": "piedmont-entry-1", "availability_zone": "piedmont-a", "peer_address": "127.0.0.1:21202", "leaving": false}]
JSON

"$dir/balsam-standin" -platform 127.0.0.1:21200 -declared examples/piedmont/declared.toml \
  -instances "$dir/instances.json" -from-declared examples/piedmont/declared.toml >"$dir/standin.log" 2>&1 &
pids+=($!)
"$dir/balsamd" -settings examples/piedmont/balsamd.toml >"$dir/balsamd.log" 2>&1 &
pids+=($!)

export BALSAM_KEY=example-key-of-cooperative-desk
echo "== a streamed chat completion"
if ! "$dir/balsamctl" send -tries 20 -model repair-desk "How do I weave a herringbone pattern?"; then
  cat "$dir/balsamd.log"; exit 1
fi
echo "== a booking, which may not be repeated: a ticket is taken first"
"$dir/balsamctl" send -tries 20 -route "POST /bookings" '{"chair": "ladder-back", "weaver": 7}'
echo "== why the instance decided so"
request=$("$dir/balsamctl" send -tries 20 -model repair-desk "And a plain one?" | sed -n 's/.*request=//p')
"$dir/balsamctl" explain 127.0.0.1:21203 "$request"
