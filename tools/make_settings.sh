#!/usr/bin/env bash
# Generates the settings files of an example's nodes: tools/make_settings.sh EXAMPLE FOLDER
# Reads examples/EXAMPLE/nodes.list, one node per line. SAVORYWHEEL_KEYS sets the operators' keys, such
# as "ann=KEY bob=KEY"; the default keys are for demonstrations only.
set -euo pipefail
cd "$(dirname "$0")/.."
list="examples/$1/nodes.list"
folder="$2"
read -ra keys <<<"${SAVORYWHEEL_KEYS:-ann=demonstration-key-of-ann bob=demonstration-key-of-bob}"
mkdir -p "$folder"
mapfile -t nodes < <(grep -v '^#' "$list")
network="$(awk '!/^#/ { split($2, part, "."); print part[1] "." part[2]; exit }' "$list")"
seeds="$(awk '!/^#/ && count++ < 3 { print "  - " $2 ":7002" }' "$list")"
for node in "${nodes[@]}"; do
    read -r name address domain region _ <<<"$node"
    {
        echo "name: $name"
        echo "failure_domain: $domain"
        echo "region: $region"
        echo "address: $address"
        echo "ports: {traffic: 7000, admin: 7001, peer: 7002}"
        echo "store: $network.250.1:9000"
        echo "log_level: info"
        echo "operators:"
        for key in "${keys[@]}"; do
            echo "  - {name: ${key%%=*}, key: ${key#*=}}"
        done
        echo "seeds:"
        echo "$seeds"
    } >"$folder/$name.yaml"
done
