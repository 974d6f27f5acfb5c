#!/bin/sh
# Builds the stand-ins of the cases 11 to 14 into target/. Needs no network: they use the
# standard library only.
set -eu
cd "$(dirname "$0")/standins-3"
mkdir -p ../../target
GOWORK=off GOTOOLCHAIN=local go build -buildvcs=false -o ../../target/review-3 .
