#!/usr/bin/env bash
# Builds the stand-ins and drivers of the review's cases. They use the standard
# library only and are a module of their own, so that they stay out of the
# project's build and tests.
set -euo pipefail
cd "$(dirname "$0")/standins"
GOWORK=off go build -o ../bin/ ./cmd/...
