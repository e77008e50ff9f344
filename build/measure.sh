#!/usr/bin/env bash
# Measures a cell of separate processes on loopback: the resource use of boxes at rest and under load, and the
# effects of overload, a killed box and an unresponsive store. Usage: measure.sh rest|load|overload|faults BOXES WORKERS
set -euo pipefail
home="$(cd "$(dirname "$0")/.." && pwd)"
what="$1"; boxes="$2"; workers="$3"
dir="$(mktemp -d)"
stop_cell()
{
    xargs -r kill -9 < "$dir/pids" 2>/dev/null || true
    while xargs -r kill -0 < "$dir/pids" 2>/dev/null; do sleep 0.2; done
}
trap stop_cell EXIT
"$home/build/start-cell.sh" "$dir" "$boxes" "$workers" > /dev/null
pid() { awk -v n="$1" '$1==n{print $2}' "$dir/ids"; }
ticks() { awk '{print $14+$15}' "/proc/$(pid "$1")/stat"; }
resident() { awk '/VmRSS/{print $2}' "/proc/$(pid "$1")/status"; }
servers() { local list=""; for i in $(seq "${1:-1}" "$boxes"); do list="$list,127.0.0.1:$((17700 + 10 * i))"; done; echo "${list#,}"; }
bytes() { curl -s "127.0.0.1:$((17700 + 10 * $1 + 1))/metrics" | awk '/^gaugehollow_peer_bytes_total/{s+=$2} END {printf "%d", s}'; }
calls() { curl -s "127.0.0.1:17700/standin/calls" | tr ',{}' '\n\n\n' | awk -F: 'NF==2{s+=$2} END {printf "%d", s}'; }
load() { "$home/bin/gaugehollow" load --seed "$1" --mix "$2" --rate "$3" --seconds "$4" --servers "$5" 2>/dev/null; }
mix() { sed "s/\"millis\": \([0-9]*\)/\"millis\": \10/" "$home/examples/mix.json" > "$dir/slow.json"; echo "$dir/slow.json"; }
case "$what" in
rest)
    sleep 40
    before=(); for i in $(seq "$boxes"); do before[i]=$(ticks "box$i"); done; b=$(bytes 1); c=$(calls)
    sleep 30
    for i in $(seq "$boxes"); do echo "box$i $(resident "box$i") kB, $(($(ticks "box$i") - before[i])) ticks of 10 ms in 30 s"; done
    echo "box1 sent $(( ($(bytes 1) - b) / 30 )) B/s in calls to peers; the platform got $(( ($(calls) - c) / 30 )) calls/s from $boxes boxes"
    ;;
load)
    load 1 "$home/examples/mix.json" 200 10 "$(servers)" > /dev/null
    for rate in 100 300 600
    do
        t=0; for i in $(seq "$boxes"); do t=$((t - $(ticks "box$i"))); done
        echo "rate $rate"; load 2 "$home/examples/mix.json" "$rate" 10 "$(servers)"
        for i in $(seq "$boxes"); do t=$((t + $(ticks "box$i"))); done
        echo "all boxes: $t ticks of 10 ms in about 10 s; box1 $(resident box1) kB"
    done
    ;;
overload)
    load 1 "$home/examples/mix.json" 200 5 "$(servers)" > /dev/null
    for rate in 84 134 160 336; do echo "rate $rate"; load 2 "$(mix)" "$rate" 15 "$(servers)"; done
    ;;
faults)
    load 1 "$home/examples/mix.json" 100 5 "$(servers)" > /dev/null
    echo "box1 killed after 5 of 25 s, asked through the others"
    (sleep 5; kill -9 "$(pid box1)") & load 2 "$home/examples/mix.json" 60 25 "$(servers 2)"
    echo "store silent from 3 to 18 of 25 s"
    (sleep 3; curl -s -X PUT -d '{"down":true,"rosterDown":true}' 127.0.0.1:17700/standin/switches; sleep 15
        curl -s -X PUT -d '{}' 127.0.0.1:17700/standin/switches) > /dev/null & load 3 "$home/examples/mix.json" 60 25 "$(servers 2)"
    ;;
esac
