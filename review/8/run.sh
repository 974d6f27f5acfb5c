#!/usr/bin/env bash
# Plays case 8. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 leaves the disruption out. Build first: the build line of deploy/system.toml,
# then review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/balsamd ] && [ -x target/standins-2 ] || { echo "not built"; exit 2; }
exec target/standins-2 left review/8
