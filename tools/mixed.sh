#!/usr/bin/env bash
# Runs a command of dragonflyport-lab that starts node processes (soak, measure faults) with nodes of two builds:
# about half of the nodes run the program built from the working tree, the others that of an older commit.
#
#   tools/mixed.sh COMMIT COMMAND [FLAG...]      for example: tools/mixed.sh 9995082 soak --seed 1
#
# dragonflyport-lab builds the programs with the go command that it finds in PATH. This script puts a wrapper of go
# first in PATH, which replaces the built node by a second script. The second script runs one of the two builds,
# depending on the node's settings file or link address. The last lines printed are the number of starts of nodes of
# each build.
set -euo pipefail
cd "$(dirname "$0")/.."
commit=$1; shift
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
mkdir "$dir/source" "$dir/bin"
git archive "$commit" | tar -x -C "$dir/source"
(cd "$dir/source" && go build -buildvcs=false -o "$dir/old-node" ./cmd/dragonflyport)
go build -buildvcs=false -o "$dir/lab" ./cmd/dragonflyport-lab

cat >"$dir/node" <<SCRIPT
#!/usr/bin/env bash
build=new
args="\$*"
case "\$args" in
*--link-address*) # Chosen by a hash, since the ports that the operating system chooses all have the same parity.
  address=\${args#*--link-address }; address=\${address%% *}
  hash=\$(cksum <<<"\$address")
  if [ \$((\${hash%% *} % 2)) -eq 0 ]; then build=old; fi ;;
*) # Nodes 0, 3, 5 and 6 of each 8 get the old build, so that each zone and each service has both.
  number=\$(grep -oE 'node-[0-9]+\.toml' <<<"\$args \${DRAGONFLYPORT_NODE_FILE:-}" | grep -oE '[0-9]+' | head -1)
  case \$((number % 8)) in 0 | 3 | 5 | 6) build=old ;; esac ;;
esac
echo "\$build" >>"$dir/starts"
exec "$dir/\$build-node" "\$@"
SCRIPT
chmod +x "$dir/node"

real_go=$(command -v go)
cat >"$dir/bin/go" <<SCRIPT
#!/usr/bin/env bash
set -e
"$real_go" "\$@"
if [ "\$1 \$2" = "build -o" ]; then
  [ -e "$dir/new-node" ] || cp "\$3/dragonflyport" "$dir/new-node"
  cp "$dir/node" "\$3/dragonflyport.script"
  mv "\$3/dragonflyport.script" "\$3/dragonflyport"
fi
SCRIPT
chmod +x "$dir/bin/go"

status=0
PATH="$dir/bin:$PATH" "$dir/lab" "$@" || status=$?
sort "$dir/starts" | uniq -c | sed 's/$/ build: starts of its nodes/'
exit "$status"
