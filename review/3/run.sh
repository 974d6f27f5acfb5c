#!/usr/bin/env bash
exec "$(dirname "$0")/../run.sh" "$(dirname "$0")" joined-versions
