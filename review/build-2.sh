#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts: one program with the store, the backends and the clients. It needs no
# network and no dependency. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/harness-2"
mkdir -p ../../target
GOFLAGS=-buildvcs=false GOPROXY=off go build -o ../../target/review-2 .
