#!/usr/bin/env bash
# Runs the node and the command line of the work tree on what an older commit's programs wrote: rules and their history,
# keys, slot tables and the shared secret, under the same settings. Prints a line for each check; the exit
# status is 1 if one fails.
#
#   tools/olddata.sh COMMIT
set -euo pipefail
cd "$(dirname "$0")/.."
repo=$PWD
dir=$(mktemp -d)
pids=()
finish() {
  for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null && wait "$pid" 2>/dev/null; done || true
  rm -rf "$dir"
}
trap finish EXIT
mkdir "$dir/source" "$dir/old" "$dir/new"
git archive "$1" | tar -x -C "$dir/source"
(cd "$dir/source" && go build -buildvcs=false -o "$dir/old/" ./cmd/...)
go build -buildvcs=false -o "$dir/new/" ./cmd/...
cd "$dir"

read -r PLATFORM LINK_A CALLERS_A EGRESS_A OPERATOR_A BACKEND_A LINK_B CALLERS_B EGRESS_B OPERATOR_B BACKEND_B <<<"$(python3 -c "
import socket
s=[socket.socket() for _ in range(11)]
[x.bind(('127.0.0.1',0)) for x in s]
print(*['127.0.0.1:%d'%x.getsockname()[1] for x in s])")"
export DRAGONFLYPORT_PLATFORM_URL=http://$PLATFORM
failed=0
check() { # check TEXT COMMAND...
  local text=$1; shift
  if "$@"; then echo "ok: $text"; else echo "FAILED: $text"; failed=1; fi
}
start() { # start LOG COMMAND...; sets PID
  local log=$1; shift
  "$@" >"$log" 2>&1 & PID=$!; pids+=("$PID")
}
node_a() { start "$2" "$dir/$1/dragonflyport" node --zone ost-1 --region ost --secret-file node.secret --link-address "$LINK_A" \
  --caller-address "$CALLERS_A" --egress-address "$EGRESS_A" --operator-address "$OPERATOR_A"; }
node_b() { start "$2" "$dir/$1/dragonflyport" node --zone ost-1 --region ost --secret-file node.secret --link-address "$LINK_B" \
  --caller-address "$CALLERS_B" --egress-address "$EGRESS_B" --operator-address "$OPERATOR_B" --seeds "$LINK_A"; }
order() { # order CALLERS IDEMPOTENCY_KEY
  curl -s -m 6 -w '\n%{http_code}' -X POST -H "Authorization: Bearer $KEY" -H "Idempotency-Key: $2" -d pack "http://$1/order/1"
}
runs() { # The runs of orders on both backend servers.
  for backend in "$BACKEND_A" "$BACKEND_B"; do curl -s -m 6 "http://$backend/ledger"; done | grep -oE '"path":"/order/1"' | wc -l
}
served() { for _ in $(seq 60); do [ "$(curl -s -m 6 -o /dev/null -w '%{http_code}' -H "Authorization: Bearer $KEY" "http://$1/catalogue/1")" = 200 ] && return; sleep 0.25; done; return 1; }

# What the old build writes.
start platform.log old/dragonflyport-lab standin platform --listen "$PLATFORM"
(umask 077; head -c 24 /dev/urandom | base64 >node.secret)
node_a old node-a.log; NODE_A=$PID
start backend-a.log old/dragonflyport-lab standin backend --listen "$BACKEND_A" --service ordering --egress "http://$EGRESS_A"
sleep 2
old/dragonflyport key new waldspiel --comment test >key.txt
KEY=$(grep -oE 'dfpkey_[a-z0-9]+' key.txt | head -1)
cat >one.rules <<RULES
availability_zone ost-1 region=ost share=1 # test
organisation waldspiel rate=400/s burst=800 callers=40% # test
service ordering slots=20 connections=100 retries=2 # test
route POST /order/* service=ordering importance=critical idempotent=no # test
route GET /catalogue/* service=ordering importance=low # test
RULES
(cat one.rules; sed -n 's/^rule: //p' key.txt) >two.rules
(cat two.rules; echo "organisation nordlicht rate=5/s burst=5 # test") >three.rules
old/dragonflyport rules apply one.rules --seen 0 --by Marija >/dev/null
old/dragonflyport rules apply two.rules --seen 1 --by Petra >/dev/null
old/dragonflyport rules apply three.rules --seen 2 --by Ivo >/dev/null
check "the old node serves" served "$CALLERS_A"
first=$(order "$CALLERS_A" 0123456789abcdef)
check "an order runs through the old node" test "${first##*$'\n'}" = 200
for verb in show log "log --lines"; do old/dragonflyport rules $verb >"old-${verb// /}.txt" 2>&1 || true; done

# A new node joins the old one.
node_b new node-b.log; NODE_B=$PID
start backend-b.log old/dragonflyport-lab standin backend --listen "$BACKEND_B" --service ordering --egress "http://$EGRESS_B"
check "the new node serves beside the old one" served "$CALLERS_B"
again=$(order "$CALLERS_B" 0123456789abcdef)
check "a repeat through the new node gets the recorded answer" test "$again" = "$first"
second=$(order "$CALLERS_B" fedcba9876543210)
check "an order runs through the new node" test "${second##*$'\n'}" = 200
check "a repeat through the old node gets the recorded answer" test "$(order "$CALLERS_A" fedcba9876543210)" = "$second"
check "the recorded answers added no run" test "$(runs)" = 2
for verb in show log "log --lines"; do
  new/dragonflyport rules $verb >"new-${verb// /}.txt" 2>&1 || true
  check "rules $verb prints the same" cmp -s "old-${verb// /}.txt" "new-${verb// /}.txt"
done
(cat three.rules; echo "organisation wald rate=6/s burst=6 # test") >four.rules
check "the new command line applies version 4" new/dragonflyport rules apply four.rules --seen 3 --by Petra
(cat four.rules; echo "organisation feld rate=7/s burst=7 # test") >five.rules
check "the old command line applies version 5" old/dragonflyport rules apply five.rules --seen 4 --by Petra
sleep 2
check "the old node has version 5" grep -q '"rules_version": *5' <(curl -s -m 6 -X POST -H 'Content-Type: application/json' -d '{}' "http://$OPERATOR_A/dragonflyport.operator.v1.OperatorService/State" | python3 -c "import base64,json,sys; print(base64.b64decode(json.load(sys.stdin)['stateJson']).decode())")
check "the new node has version 5" grep -q '"rules_version": *5' <(curl -s -m 6 -X POST -H 'Content-Type: application/json' -d '{}' "http://$OPERATOR_B/dragonflyport.operator.v1.OperatorService/State" | python3 -c "import base64,json,sys; print(base64.b64decode(json.load(sys.stdin)['stateJson']).decode())")

# The old node is replaced under the same settings.
kill -TERM "$NODE_A"; wait "$NODE_A" || true
check "a repeat after the old node's stop gets the recorded answer" test "$(order "$CALLERS_B" 0123456789abcdef)" = "$first"
node_a new node-a2.log
check "a new node serves under the old node's settings" served "$CALLERS_A"
check "a repeat through it gets the recorded answer" test "$(order "$CALLERS_A" fedcba9876543210)" = "$second"
check "the recorded answers added no run, after all" test "$(runs)" = 2
check "rules log has all five versions" test "$(new/dragonflyport rules log | grep -cE '(Marija|Petra|Ivo)')" = 5
check "no node logged a panic" bash -c '! grep -l "panic" node-*.log'
exit "$failed"
