#!/usr/bin/env bash
# Runs all tests under the race detector with fixed seeds; this is the test command of the README. Tests listed in
# KNOWN-RED.txt ("test: PACKAGE TestName") run separately and may fail. Each is printed with whether it still fails.
set -uo pipefail
cd "$(dirname "$0")/.."
export GOFLAGS=-buildvcs=false
rapid_seed=20261204
skip=""
red=()
if [ -s KNOWN-RED.txt ]; then
  while read -r _ pkg name; do
    red+=("$pkg $name")
    skip="$skip${skip:+|}^$name\$"
  done < <(grep '^test: ' KNOWN-RED.txt)
fi

# Only the tests of packages that import rapid accept its flags.
with_rapid=$(go list -f '{{.ImportPath}} {{join .TestImports " "}} {{join .XTestImports " "}}' ./... | awk '/pgregory.net\/rapid/ {print $1}')
# Packages whose tests run nodes in real time. They run one after another with no other tests beside them, since a
# node short of CPU time stops answering and the other nodes treat it as silent.
real_time=$(go list ./internal/vm/dfpnode ./internal/standin/dfpproofs ./internal/standin/dfpendtoend \
  ./internal/standin/dfplab ./internal/link/dfppeer ./platform/dfpadapter ./platform/dfpfake)
without=$(go list ./... | grep -vxF "${with_rapid:-none}" | grep -vxF "$real_time")
status=0
go test -race -timeout 10m ${skip:+-skip "$skip"} $without || status=1
go test -race -timeout 15m -p 1 -parallel 4 ${skip:+-skip "$skip"} $real_time || status=1
if [ -n "$with_rapid" ]; then
  go test -race -timeout 15m ${skip:+-skip "$skip"} $with_rapid -rapid.seed=$rapid_seed -rapid.nofailfile || status=1
fi
for entry in "${red[@]:-}"; do
  [ -n "$entry" ] || continue
  read -r pkg name <<<"$entry"
  flags=""
  if grep -qxF "dragonflyport/${pkg#./}" <<<"$with_rapid"; then flags="-rapid.seed=$rapid_seed -rapid.nofailfile"; fi
  if go test -race -run "^$name\$" "$pkg" $flags >/dev/null 2>&1; then
    echo "KNOWN-RED turned green: $entry (remove it from KNOWN-RED.txt)"
  else
    echo "KNOWN-RED still red: $entry"
  fi
done
exit $status
