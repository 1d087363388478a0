#!/usr/bin/env bash
# Checks format and style and runs every test, with fixed seeds and fake clocks.
set -euo pipefail
cd "$(dirname "$0")"

sources=$(git ls-files '*.go' | grep -v '\.pb\.go$')
unformatted=$(go tool gofumpt -l $sources)
if [ -n "$unformatted" ]; then
  echo "not formatted by gofumpt:"
  echo "$unformatted"
  exit 1
fi
go tool revive -config revive.toml -set_exit_status $(go list ./... | grep -v /wire | sed 's#^lovageshift#.#')
go vet ./...

# Packages with rapid's properties take its seed; the others do not know the flag.
properties=$(go list -f '{{if .XTestImports}}{{.ImportPath}} {{join .XTestImports " "}}{{end}}' ./... | awk '/pgregory.net\/rapid/ {print $1}')
others=$(go list ./... | grep -vxF "$properties" | grep -v '/trial$')
go test -race -count=1 -timeout 5m $others
go test -race -count=1 -timeout 5m $properties -args -rapid.seed=1
# The measurements run the same code as the fleet's tests, but too much of it for the race detector.
go test -count=1 -timeout 5m ./trial

# Fuzz the readers of requests and of configurations for a fixed count.
go test ./entry -run '^$' -fuzz FuzzParseCompletion -fuzztime 3000x
go test ./folder -run '^$' -fuzz FuzzMerge -fuzztime 3000x
