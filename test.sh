#!/usr/bin/env bash
# Runs the formatter, linters, build, model checking and the tests with the race
# detector. Tests listed in KNOWN-RED.txt are skipped; the list is printed.
set -euo pipefail
cd "$(dirname "$0")"

step() { printf '\n== %s\n' "$1"; }

step "gofmt"
unformatted=$(git ls-files '*.go' | grep -v '\.pb\.go$' | xargs gofmt -l)
if [ -n "$unformatted" ]; then
  echo "not formatted:"; echo "$unformatted"; exit 1
fi

step "go vet"
go vet ./...

step "staticcheck"
go tool staticcheck ./...

step "go build"
go build ./...

if [ -x spec/check.sh ]; then
  step "model checking"
  ./spec/check.sh
fi

step "known faults"
skip=""
if [ -f KNOWN-RED.txt ]; then
  cat KNOWN-RED.txt
  # A line "test: TestName" names a test to skip.
  skip=$(sed -n 's/^test: *\(Test[A-Za-z0-9_/]*\).*/^\1$/p' KNOWN-RED.txt | paste -sd'|' -)
else
  echo "none"
fi

step "go test -race"
go test -race -count=1 -timeout 20m ${skip:+-skip "$skip"} ./...
