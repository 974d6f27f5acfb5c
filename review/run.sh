#!/usr/bin/env bash
# Plays one case: run.sh FOLDER PROGRAM. Each case's run.sh calls it.
set -uo pipefail
case_dir=$(cd "$1" && pwd)
root=$(cd "$(dirname "$0")/.." && pwd)
program=$root/review/bin/$2
if [ ! -x "$program" ] || [ ! -x "$root/target/balsamd" ]; then
  echo "not built: run the build of deploy/system.toml and review/build.sh" >&2
  exit 2
fi
export RECORD=$case_dir/record.txt BALSAMD=$root/target/balsamd
exec "$program"
