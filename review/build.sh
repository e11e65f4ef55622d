#!/usr/bin/env bash
# Builds the stand-ins of all cases into target/review. It needs no network: the module has no dependencies.
set -euo pipefail
cd "$(dirname "$0")"
GOFLAGS=-buildvcs=false go build -o ../target/review/standin ./standin
