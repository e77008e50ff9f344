#!/usr/bin/env bash
# Starts a cell of separate processes on loopback for measurements: start-cell.sh DIRECTORY BOXES WORKERS
# Writes the process ids to DIRECTORY/pids; stop the processes with: xargs kill < DIRECTORY/pids
set -euo pipefail
home="$(cd "$(dirname "$0")/.." && pwd)"
dir="$1"; boxes="$2"; workers="$3"; port=17700
mkdir -p "$dir"; : > "$dir/pids"; : > "$dir/ids"
run()
{
    local name="$1"; shift
    "$home/bin/gaugehollow" "$@" > "$dir/$name.out" 2> "$dir/$name.log" &
    echo $! >> "$dir/pids"; echo "$name $!" >> "$dir/ids"
}
run platform platform-standin --listen 127.0.0.1:$port
until grep -q ready "$dir/platform.out"; do sleep 0.1; done
for i in $(seq "$workers")
do
    GAUGEHOLLOW_JAVA_FLAGS="-Xmx32m -XX:TieredStopAtLevel=1" run "w$i" worker-standin --id "w$i" --hall cell --platform 127.0.0.1:$port
done
for i in $(seq "$boxes")
do
    base=$((port + 10 * i))
    cat > "$dir/box$i.json" <<J
{"box":"box-$i","hall":"cell","callerAddress":"127.0.0.1:$base","operatorAddress":"127.0.0.1:$((base+1))",
 "peerAddress":"127.0.0.1:$((base+2))","platform":{"storeAddress":"127.0.0.1:$port","rosterAddress":"127.0.0.1:$port"}}
J
    run "box$i" entry --settings "$dir/box$i.json"
done
for i in $(seq "$boxes"); do until grep -q ready "$dir/box$i.out"; do sleep 0.1; done; done
cat > "$dir/resources.json" <<J
[{"kind":"teams","name":"demo","spec":{"homeHall":"cell"}},
 {"kind":"workloads","name":"lookup","spec":{"taskClass":"booking","repeatable":true}},
 {"kind":"workloads","name":"goal","spec":{"taskClass":"urgent","repeatable":false}},
 {"kind":"workloads","name":"rebuild","spec":{"taskClass":"batch","repeatable":true,"timeoutMillis":60000}}]
J
sleep 4
"$home/bin/gaugehollow" apply "$dir/resources.json" --server 127.0.0.1:$((port + 11))
