#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. Needs no network: they use only the standard library.
set -e
cd "$(dirname "$0")/standin-2"
GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review/standin-2 .
