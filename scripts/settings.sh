#!/bin/sh
# Writes the sample settings of both deployments from settings/host.toml.template.
set -eu
cd "$(dirname "$0")/.."
token=$(printf operator | sha256sum | cut -d' ' -f1)

# Prints the lookup block that assigns a client network to a region.
block() {
    printf '[[lookup.block]]\\nprefix = "%s"\\nregion = "%s"\\n' "$1" "$2"
}

# generate DEPLOYMENT NET CLIENTS HOST...
# Clients of the first region are in 127.0.CLIENTS.0/24, those of each other region in the next /24.
generate() {
    deployment=$1
    net=$2
    clients=$3
    shift 3
    folder=settings/$deployment/hosts
    mkdir -p "$folder"
    seeds="\"$net.1:7400\", \"$net.4:7400\", \"$net.7:7400\""
    blocks=""
    for host in "$@"; do
        region=${host%-?-?}
        case $blocks in
            *"\"$region\""*) ;;
            *)
                blocks="$blocks$(block "127.0.$clients.0\\/24" "$region")"
                clients=$((clients + 1))
                ;;
        esac
    done
    number=1
    for host in "$@"; do
        sed -e "s/@NAME@/$host/g" -e "s/@REGION@/${host%-?-?}/" -e "s/@DOMAIN@/${host%-?}/" \
            -e "s/@ADDRESS@/$net.$number/" -e "s/@NET@/$net/" -e "s/@TOKEN@/$token/" \
            -e "s/@SEEDS@/$seeds/" -e "s/@BLOCKS@/$blocks/" \
            settings/host.toml.template | sed -e '/^$/N;/^\n$/D' > "$folder/$host.toml"
        number=$((number + 1))
    done
}

karnerand="ee-north-a-1 ee-north-a-2 ee-north-b-1 fi-south-a-1 fi-south-b-1 fi-south-b-2 \
    de-central-a-1 de-central-b-1"
lothian="lothian-a-1 lothian-a-2 lothian-b-1 tweeddale-a-1 tweeddale-b-1 tweeddale-b-2 \
    kingdom-fife-a-1 kingdom-fife-b-1"

# Unquoted on purpose: the list splits into host names, which contain no spaces.
# shellcheck disable=SC2086
generate karnerand 127.0.1 21 $karnerand
# shellcheck disable=SC2086
generate lothian 127.0.2 31 $lothian
