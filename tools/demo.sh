#!/usr/bin/env bash
# Installs the dependencies, builds, and runs the Frigoporto example on 127.140.0.0/16.
# Exits with 0 only if every step succeeds. With --keep, the mesh keeps running.
set -euo pipefail
cd "$(dirname "$0")/.."
keep="${1:-}"
export BUILD_DIR="${BUILD_DIR:-build/demo}" # Separate folder, since this build has no tests.
build="$BUILD_DIR"
example=examples/frigoporto
ctl="$build/bin/savorywheelctl"
folder="$(mktemp -d "${TMPDIR:-/tmp}/savorywheel-demo.XXXXXX")"
text="$folder/mesh.yaml"
callers=(127.140.1.1 127.140.1.3 127.140.1.5) # One node per region.
platform=127.140.250.1
loads=() nodes_up=() backends_up=() platform_up=()
export SAVORYWHEEL_NODE=127.140.1.1:7001 SAVORYWHEEL_KEY=demonstration-key-of-ann

step() { printf '\n== %s\n' "$*"; }

fail() {
    echo "demo: not seen: $*; logs are in $folder" >&2
    exit 1
}

start() { # start GROUP NAME PROGRAM ARGUMENT...
    local -n group="$1"
    local name="$2" program="$3"
    shift 3
    "$build/bin/$program" "$@" >>"$folder/$name.log" 2>&1 &
    group+=($!)
    echo $! >>"$folder/pids"
}

# Sends SIGTERM to processes and waits for them; fails unless all exit with code 0.
stop() { # stop PID...
    local failed=0 pid
    for pid in "$@"; do
        kill -TERM "$pid" 2>/dev/null || true
    done
    for pid in "$@"; do
        wait "$pid" || failed=1
    done
    return "$failed"
}

# Callers stop first, and nodes before backend servers, so that nodes can complete their requests.
stop_all() {
    local failed=0 pid
    rm -f "$folder/load"
    for pid in "${loads[@]}"; do
        wait "$pid" || failed=1
    done
    stop "${nodes_up[@]}" || failed=1
    stop "${backends_up[@]}" || failed=1
    stop "${platform_up[@]}" || failed=1
    loads=() nodes_up=() backends_up=() platform_up=()
    return "$failed"
}

wait_for() { # wait_for SECONDS DESCRIPTION COMMAND...
    local limit=$((SECONDS + $1)) what="$2"
    shift 2
    until "$@"; do
        ((SECONDS < limit)) || fail "$what"
        sleep 0.5
    done
    echo "seen: $what"
}

show_status() { "$ctl" status; }

# Succeeds if status shows the move as STATUS ("done", "in progress", "withdrawn"; empty for any).
has_move() { # has_move SERVICE STATUS
    "$ctl" status | awk -v service="$1" -v wanted="move $2" '
        /^  [^ ]/ { inside = $1 == service }
        inside && index($0, "    " wanted) == 1 { found = 1 }
        END { exit !found }'
}

has_shares() { # has_shares SERVICE SHARES
    "$ctl" status | awk -v service="$1" -v wanted="$2" '
        $1 == service && index($0, wanted) { found = 1 } END { exit !found }'
}

version_everywhere() { # Status shows the version at all nodes of each failure domain.
    [ "$("$ctl" status | grep -c " version $1 (3 of 3 nodes heard)")" -eq 6 ]
}

all_nodes_known() { [ "$("$ctl" status 2>/dev/null | grep -c ' of 3 nodes heard')" -eq 6 ]; }

call() { # call ADDRESS SERVICE METHOD PATH
    local body=()
    [ "$3" = GET ] || body=(--data-binary "container=7")
    [ "$(curl -s -o /dev/null -w '%{http_code}' --max-time 5 -X "$3" -H "Host: $2" \
        ${body[@]+"${body[@]}"} "http://$1:7000$4" 2>/dev/null)" = 200 ]
}

# Sets the target version of a service and its deadline in the text: rewrite SERVICE VERSION SECONDS
rewrite() {
    local due
    due="$(date -u -d "+$3 seconds" +%Y-%m-%dT%H:%M:%SZ)"
    awk -v service="$1" -v version="$2" -v due="$due" '
        /^  - name:/ { inside = $3 == service }
        inside && /weight: 100/ { print "      - {name: " version ", weight: 100}"; print "    by: " due; next }
        { print }' "$text" >"$text.new"
    mv "$text.new" "$text"
}

load() { # Closed-loop callers at one node; one connection per 100 requests.
    while [ -e "$folder/load" ]; do
        curl -s -o /dev/null -H 'Host: plugboard' "http://$1:7000/plugs?n=[1-100]" || true
        curl -s -o /dev/null -H 'Host: bookdesk' "http://$1:7000/booking?n=[1-100]" || true
    done
}

trap 'stop_all || true' EXIT

step "install what is needed, and build"
tools/packages.sh
tools/build.sh -DSAVORYWHEEL_BUILD_TESTS=OFF >"$folder/build.log" || fail "the build"

step "check the text and the settings of 18 nodes"
cp "$example/mesh.yaml" "$text"
tools/make_settings.sh frigoporto "$folder/nodes"
"$build/bin/savorywheel-check" --text "$text" --settings "$folder"/nodes/*.yaml

step "start the platform stand-in, 18 nodes and 18 backend servers"
start platform_up platform standin-platform --listen "$platform:9000"
mapfile -t nodes < <(grep -v '^#' "$example/nodes.list")
for node in "${nodes[@]}"; do
    read -r name address _ <<<"$node"
    start nodes_up "$name" savorywheel-node --settings "$folder/nodes/$name.yaml"
done
for node in "${nodes[@]}"; do
    read -r name address _ _ service version slots <<<"$node"
    start backends_up "$name-backend" standin-backend --service "$service" --version-name "$version" \
        --listen "$address:8000" --node "$address:7001" --slots "$slots"
done
wait_for 60 "every node is known in each of six failure domains" all_nodes_known

step "apply the text"
"$ctl" diff "$text"
"$ctl" apply "$text" || fail "the text accepted"
wait_for 30 "version 1 in force in every failure domain" version_everywhere 1
show_status

step "send a request on every route from every region"
for address in "${callers[@]}"; do
    for route in "plugboard GET /plugs" "plugboard GET /availability" "bookdesk POST /bookings" \
        "bookdesk GET /booking" "coldlog GET /logs" "coldlog POST /gate-in"; do
        read -r service method path <<<"$route"
        wait_for 20 "$service $method $path through $address" call "$address" "$service" "$method" "$path"
    done
done

touch "$folder/load"
for address in "${callers[@]}"; do
    load "$address" &
    loads+=($!)
done

step "roll a good version of plugboard out"
rewrite plugboard v2 40
"$ctl" diff "$text"
"$ctl" apply "$text" || fail "the text with plugboard v2 accepted"
wait_for 20 "the move in progress" has_move plugboard "in progress"
show_status
ended() { ! has_move "$1" "in progress"; }
wait_for 120 "the move ended" ended plugboard
show_status
has_move plugboard "done" || fail "the good version kept"
has_shares plugboard "v2 100 %" || fail "plugboard at v2"

step "let a bad version of bookdesk be taken back"
for node in "${nodes[@]}"; do
    read -r name address _ _ service version _ <<<"$node"
    if [ "$service $version" = "bookdesk v2" ]; then
        curl -sf -o /dev/null -X PUT "http://$address:8000/control?fail_permille=500"
    fi
done
rewrite bookdesk v2 60
"$ctl" apply "$text" || fail "the text with bookdesk v2 accepted"
wait_for 20 "the move known at this node" has_move bookdesk ""
wait_for 120 "the move ended" ended bookdesk
has_move bookdesk "withdrawn" || fail "the bad version taken back"
has_shares bookdesk "v1 100 %" || fail "bookdesk back at v1"
show_status

step "set an override"
"$ctl" override set coldlog v1=100 --reason "the lab looks at a lost log" || fail "the override accepted"
overridden() { "$ctl" --node 127.140.3.6:7001 override list | grep -q 'coldlog: override v1 100 % by ann'; }
wait_for 20 "the override at a node in another region" overridden
show_status
"$ctl" history

if [ "$keep" = --keep ]; then
    trap - EXIT
    rm -f "$folder/load"
    for pid in "${loads[@]}"; do
        wait "$pid"
    done
    cat <<TRY

The mesh runs. Its logs, text and settings are in $folder. Try:
  export SAVORYWHEEL_NODE=$SAVORYWHEEL_NODE SAVORYWHEEL_KEY=$SAVORYWHEEL_KEY
  $ctl status
  $ctl override release coldlog --seen VERSION --reason "the lab is done"
  $ctl diff $text
  curl -H 'Host: plugboard' http://${callers[1]}:7000/plugs
  curl -X PUT '$platform:9000/fault?down=1'    # The platform's service goes out; calls go on.
Stop it: kill \$(cat $folder/pids)
TRY
    exit 0
fi

step "stop everything"
trap - EXIT
stop_all || fail "every process ended by itself with code 0"
rm -rf "$folder"
echo "demo: each step was seen"
