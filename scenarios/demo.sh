#!/usr/bin/env bash
# The whole path as separate processes: an operator publishes, two data centres
# take it up, a caller is served, a batch task runs, the burn is reported.
set -euo pipefail
bin=${1:?"demo.sh BIN_FOLDER"}
out=$(mktemp -d)
pids=()
cleanup() {
    for it in "${pids[@]}"; do kill "$it" 2>/dev/null || true; done
    wait 2>/dev/null || true
    rm -rf "$out"
}
trap cleanup EXIT

say() { printf '\n== %s\n' "$*"; }
start() {
    local name=$1
    shift
    "$@" >"$out/$name.log" 2>&1 &
    pids+=($!)
}
# Runs a command until it succeeds; gives up after 10 s and shows what it said.
eventually() {
    for _ in $(seq 100); do
        "$@" >"$out/try" 2>&1 && return 0
        sleep 0.1
    done
    cat "$out/try" "$out"/*.log
    return 1
}
call() { # ADDRESS TEAM TARGET BODY
    python3 - "$@" <<'PY'
import http.client, sys
address, team, target, body = sys.argv[1:5]
connection = http.client.HTTPConnection(address, timeout=10)
connection.request("POST", target, body, {"Plantainhold-Team": team})
answer = connection.getresponse()
print(answer.status, answer.getheader("Plantainhold-Result"), answer.getheader("X-Request-Id"), answer.read().decode())
sys.exit(0 if answer.status == 200 else 1)
PY
}

cat >"$out/instances" <<'LIST'
vuosaari-1 entry 127.0.0.11:7081 vuosaari - - 0
pasila-1 entry 127.0.0.12:7081 pasila - - 0
lot-1 executor 127.0.0.21:8080 vuosaari r1 quote 8
lot-2 executor 127.0.0.22:8080 pasila r2 quote 8
worker-1 worker 127.0.0.31:7100 vuosaari r1 - 0
worker-2 worker 127.0.0.31:7100 vuosaari r2 - 0
worker-3 worker 127.0.0.32:7100 pasila r3 - 0
LIST
settings() { # ID DATA_CENTRE IP
    cat >"$out/$1.toml" <<TOML
[instance]
id = "$1"
data_centre = "$2"
caller_address = "$3:7080"
control_address = "$3:7081"
metrics_address = "$3:7082"
[platform]
log_address = "127.0.0.2:7000"
instances_address = "127.0.0.3:7001"
[tasks]
shards = 1
TOML
}
settings vuosaari-1 vuosaari 127.0.0.11
settings pasila-1 pasila 127.0.0.12

say "the platform's stand-ins start: log, instance list, workers, executors"
start log "$bin/standinLog" --address 127.0.0.2:7000 --journal "$out/log.journal"
start instances "$bin/standinInstances" --address 127.0.0.3:7001 --file "$out/instances"
start workers1 "$bin/standinWorkers" --address 127.0.0.31:7100 --worker worker-1:32000:128000:2:r1 --worker worker-2:32000:128000:0:r2 --journal "$out/workers1.journal"
start workers2 "$bin/standinWorkers" --address 127.0.0.32:7100 --worker worker-3:32000:128000:0:r3 --journal "$out/workers2.journal"
start executors "$bin/standinExecutors" --control 127.0.0.20:7200 --executor lot-1=127.0.0.21:8080 --executor lot-2=127.0.0.22:8080 --journal "$out/executors.journal"

say "an entry instance starts in each of two data centres"
start vuosaari-1 "$bin/plantainholdd" --config "$out/vuosaari-1.toml"
start pasila-1 "$bin/plantainholdd" --config "$out/pasila-1.toml"
eventually "$bin/plantainhold" status --server 127.0.0.11:7081
eventually "$bin/plantainhold" status --server 127.0.0.12:7081

say "an operator publishes profiles through vuosaari-1"
"$bin/plantainhold" config check "$PWD/examples/kahvisatama.toml"
"$bin/plantainhold" config publish examples/kahvisatama.toml --server 127.0.0.11:7081

say "the version is in force at pasila-1 as well"
in_force() { "$bin/plantainhold" config show --server 127.0.0.12:7081 | grep -q '^version 1 '; }
eventually in_force
"$bin/plantainhold" config show --server 127.0.0.12:7081

say "both are ready: they know a configuration, each other, and their share of the slots"
ready() { "$bin/plantainhold" status --server "$1" | grep -q ' ready'; }
not_ready() { "$bin/plantainhold" status --server "$1" | grep -q ' not ready'; }
is_ready() { ready "$1" && ! not_ready "$1"; }
eventually is_ready 127.0.0.11:7081
eventually is_ready 127.0.0.12:7081

say "a buyer asks either data centre for a quote"
eventually call 127.0.0.11:7080 paulig-lane "/quote?work_ms=20" "lot 17, 40 bags"
cat "$out/try"
request=$(awk '{print $3}' "$out/try")
eventually call 127.0.0.12:7080 paulig-lane "/quote?work_ms=20" "lot 18, 12 bags"
cat "$out/try"

say "why did the first quote go where it went; any instance can tell"
"$bin/plantainhold" explain "$request" --server 127.0.0.12:7081

say "a bad document is refused with number, file and line"
printf '[profile.x]\npriority = "soon"\nlatency_objective_ms = 1\ndeadline_ms = 10\nidempotent = true\n' >"$out/bad.toml"
"$bin/plantainhold" config check "$out/bad.toml" || echo "exit status $?"

say "an operator submits a batch task; it runs on a worker under a lease"
"$bin/plantainhold" task submit --server 127.0.0.11:7081 --id cupping-7 --team cupping "work 800"
shown() { "$bin/plantainhold" task show cupping-7 --server 127.0.0.11:7081 | grep "$1"; }
eventually shown ' assigned '
cat "$out/try"
eventually shown ' completed '
cat "$out/try"
echo "the workers' own journal:"
grep cupping-7 "$out"/workers*.journal | sed 's/^[^{]*//'

say "burn of the service's objective"
"$bin/plantainhold" report burn --server 127.0.0.11:7081 --html "$out/burn.html"

say "why did the task go where it went"
"$bin/plantainhold" explain cupping-7 --server 127.0.0.11:7081

say "a planned stop"
kill -TERM "${pids[5]}"
wait "${pids[5]}" && echo "vuosaari-1 stopped with status 0"
echo
echo "demo: done"
