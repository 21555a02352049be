"""Control calls and the summary of scripts/measure.sh; only the standard library."""

import concurrent.futures
import json
import sys
import urllib.request


def get(url):
    with urllib.request.urlopen(url, timeout=3) as answer:
        return json.load(answer)


def put(url, value):
    body = json.dumps(value).encode()
    request = urllib.request.Request(url, data=body, method="PUT")
    urllib.request.urlopen(request, timeout=3).read()


def runs(list_file):
    """Runs by idempotency key over all backend servers."""
    with open(list_file) as file:
        backends = [host for host in json.load(file)["hosts"] if host.get("service")]
    urls = [f"http://{host['address']}/_admin/runs" for host in backends]
    counts = {}
    with concurrent.futures.ThreadPoolExecutor(8) as pool:
        for record in pool.map(get, urls):
            for key, count in record["runs"].items():
                counts[key] = counts.get(key, 0) + count
    return counts


def within_rate(stream):
    """Requests refused for the rate; the plan keeps every workspace but the anchor within it."""
    return stream["not_run"].get("rate", 0)


def summary(folder, list_file, store):
    with open(f"{folder}/report.json") as file:
        streams = json.load(file)["streams"]
    once = {key: count for key, count in runs(list_file).items() if is_once(key, streams)}
    doubled = sum(1 for count in once.values() if count > 1)
    system = [stream for stream in streams if not stream["name"].startswith("direct ")]
    usual = [stream for stream in system if "anchor" not in stream["name"]]
    worst = min(usual, key=lambda stream: stream["served"] / max(stream["sent"], 1))
    counts = get(f"{store}/counts")
    result = {
        "doubled_runs": doubled,
        "keys_run": len(once),
        "wrongful_rate_refusals": sum(within_rate(stream) for stream in usual),
        "requests_within_rate": sum(stream["sent"] for stream in usual),
        "worst_stream": worst["name"],
        "worst_share": worst["served"] / max(worst["sent"], 1),
        "unknown": sum(sum(stream["unknown"].values()) for stream in system),
        "store_calls": counts,
    }
    for stream in system:
        direct = f"direct {stream['name'].split(' ', 1)[-1]}"
        base = next((other for other in streams if other["name"] == direct), None)
        if base and "p50" in stream["latency_ms"] and "p50" in base["latency_ms"]:
            added = stream["latency_ms"]["p50"] - base["latency_ms"]["p50"]
            result[f"added_p50_ms {stream['name']}"] = round(added, 3)
    return result


def is_once(key, streams):
    return any(key.startswith(f"{stream['name']}-") for stream in streams)


def main(command, *arguments):
    if command == "faults":
        store, faults = arguments
        put(f"{store}/faults", json.loads(faults))
    elif command == "summary":
        result = summary(*arguments)
        with open(f"{arguments[0]}/summary.json", "w") as file:
            json.dump(result, file, indent=2)
        for name, value in result.items():
            print(f"{name:<44} {value}")
    else:
        sys.exit(f"unknown command {command}")


main(*sys.argv[1:])
