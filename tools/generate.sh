#!/usr/bin/env bash
# Regenerates the protobuf and connect-go code from the files in proto. It needs protoc. The generated code is
# committed, so that the build does not.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
(cd tools && go build -o "$bin/" google.golang.org/protobuf/cmd/protoc-gen-go connectrpc.com/connect/cmd/protoc-gen-connect-go)
PATH="$bin:$PATH" protoc -I proto --go_out=. --go_opt=module=dragonflyport \
  --connect-go_out=. --connect-go_opt=module=dragonflyport,package_suffix= \
  proto/platform.proto proto/operator.proto
