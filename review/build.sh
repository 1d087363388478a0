#!/usr/bin/env bash
# Builds the stand-in that the scripts of the cases start, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review-stand ./review/stand
