#!/bin/sh
# Writes the sample settings of both deployments from settings/host.toml.template.
set -eu
cd "$(dirname "$0")/.."
token=$(printf operator | sha256sum | cut -d' ' -f1)

# Clients of each region in the samples: 127.0.<net>.<from> up to the next block.
block() {
    printf '[[lookup.block]]\\nstart = "%s"\\nregion = "%s"\\n' "$1" "$2"
}

# deployment net host...
generate() {
    deployment=$1
    net=$2
    shift 2
    folder=settings/$deployment/hosts
    mkdir -p "$folder"
    seeds="\"$net.1:7400\", \"$net.4:7400\", \"$net.7:7400\""
    blocks=""
    from=1
    for host in "$@"; do
        region=${host%-?-?}
        case $blocks in
            *"\"$region\""*) ;;
            *) blocks="$blocks$(block "$net.$from" "$region")" ;;
        esac
        from=$((from + 1))
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

# One line of the list of hosts: name service region domain address.
line() {
    pair=""
    [ -z "$2" ] || pair="\"service\": \"$2\", "
    printf '%s    {"name": "%s", %s"region": "%s", "domain": "%s", "address": "%s", "state": "live"}' \
        "$separator" "$1" "$pair" "$3" "$4" "$5"
    separator=",
"
}

# deployment net backends domains services(name=count) host...
list() {
    deployment=$1
    net=$2
    backends=$3
    domains=$4
    services=$5
    shift 5
    separator=""
    echo '{"hosts": ['
    number=1
    for host in "$@"; do
        line "$host" "" "${host%-?-?}" "${host%-?}" "$net.$number:8080"
        number=$((number + 1))
    done
    address=1
    for service in $services; do
        count=${service#*=}
        service=${service%=*}
        number=0
        # Instances spread evenly over the failure domains.
        while [ "$number" -lt "$count" ]; do
            for domain in $domains; do
                [ "$number" -lt "$count" ] || break
                number=$((number + 1))
                line "$service-$number" "$service" "${domain%-?}" "$domain" "$backends.$address:8000"
                address=$((address + 1))
            done
        done
    done
    printf '\n]}\n'
}

karnerand="ee-north-a-1 ee-north-a-2 ee-north-b-1 fi-south-a-1 fi-south-b-1 fi-south-b-2 \
    de-central-a-1 de-central-b-1"
lothian="lothian-a-1 lothian-a-2 lothian-b-1 tweeddale-a-1 tweeddale-b-1 tweeddale-b-2 \
    kingdom-fife-a-1 kingdom-fife-b-1"

# The names of the hosts hold no spaces.
# shellcheck disable=SC2086
generate karnerand 127.0.1 $karnerand
# shellcheck disable=SC2086
generate lothian 127.0.2 $lothian
# shellcheck disable=SC2086
list karnerand 127.0.1 127.0.11 \
    "ee-north-a ee-north-b fi-south-a fi-south-b de-central-a de-central-b" \
    "status=12 signing=12 uploads=12 activation=12" $karnerand > settings/karnerand/hosts.json
# shellcheck disable=SC2086
list lothian 127.0.2 127.0.12 \
    "lothian-a lothian-b tweeddale-a tweeddale-b kingdom-fife-a kingdom-fife-b" \
    "catalogue=14 deposits=12 uploads=12 bookings=12" $lothian > settings/lothian/hosts.json
