#!/usr/bin/env bash
# Generates the Go code of wire.proto. Requires protoc.
set -euo pipefail
cd "$(dirname "$0")/.."
plugins=$(mktemp -d)
(cd tools && GOBIN="$plugins" go install google.golang.org/protobuf/cmd/protoc-gen-go storj.io/drpc/cmd/protoc-gen-go-drpc)
PATH="$plugins:$PATH" protoc --go_out=. --go_opt=module=lovageshift --go-drpc_out=. --go-drpc_opt=module=lovageshift wire/wire.proto
rm -rf "$plugins"
