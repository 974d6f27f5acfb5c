#!/bin/sh
# Builds the stand-ins of the cases 11 to 15.
set -eu
cd "$(dirname "$0")/standins-3"
mkdir -p ../../target
go build -o ../../target/review-3 .
