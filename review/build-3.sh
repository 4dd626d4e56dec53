#!/bin/sh
# Builds the stand-ins of the third review's scripts, without a network, into review/harness-3/bin/.
set -eu
cd "$(dirname "$0")/harness-3"
GOFLAGS=-mod=mod GOPROXY=off GOWORK=off go build -o bin/ ./cmd/...
