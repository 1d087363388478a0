#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/7 to review/10 start, with those of the project that they use, into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/stand2 ./review/stand2
