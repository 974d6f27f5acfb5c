#!/usr/bin/env bash
# Runs the formatter, linters, build, model checking and the tests with the race
# detector, those of groups of clients last and without it. Tests listed in KNOWN-RED.txt
# are skipped; the list is printed.
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

# The crowds of clientcrowd take the processors, so that the package runs by itself. Its
# processes are built without the race detector.
alone=github.com/balsamstair/balsamstair/internal/clientcrowd

step "go test -race"
packages=$(go list ./... | grep -vxF "$alone")
# Package paths have no spaces.
# shellcheck disable=SC2086
go test -race -count=1 -timeout 20m ${skip:+-skip "$skip"} $packages

step "go test, groups of clients"
go test -count=1 -timeout 20m ${skip:+-skip "$skip"} "$alone"
