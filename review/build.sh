#!/bin/sh
# Builds the stand-ins that the scripts start. Run it after the build of deploy/system.toml.
set -e
cd "$(dirname "$0")"
GOFLAGS=-buildvcs=false go build -o bin/harness ./harness
