"""Idle cost of a router: processor time, memory and gossip bytes per second.

Measured over the number of routers, endpoints and accounts, for
docs/CAPACITY.md.
"""

import json
import pathlib
import time
from typing import NamedTuple

from bench import fleet, overhead, report
from chervilarch import keys

# Wait between the configuration being in force and the sample.
_SETTLE_S = 6.0
_SAMPLE_S = 10.0
# Sizes; while one varies, the others keep their smallest value.
_ROUTERS = (2, 4, 8, 16, 32)
_ENDPOINTS = (6, 60, 300)
_ACCOUNTS = (5, 500, 20000)
# Bounds of one idle router: share of one core, peak resident memory, and gossip
# bytes sent per second.
MAX_CORE_SHARE = 0.015
MAX_MEMORY_MB = 128.0
MAX_BYTES_PER_S = 8192.0


class Cost(NamedTuple):
    """Idle cost of one router, averaged over its fleet.

    Attributes:
        core_share: processor time as a share of one core.
        memory_mb: peak resident memory.
        sent_per_s: gossip bytes sent per second.
        start_s: time until the version is in force on every router, counted
            from when it is published and the endpoints are listed.
    """

    core_share: float
    memory_mb: float
    sent_per_s: float
    start_s: float


def _write_accounts(folder: pathlib.Path, accounts: int) -> pathlib.Path:
    path = overhead.write_configuration(
        folder, {"encode": overhead.call_pool("encode")}, {"one": ["encode"]}
    )
    document = json.loads(path.read_text())
    document["accounts"] = {
        f"account-{number}": {
            "key_sha256": keys.key_digest(str(number)),
            "weight": 1,
        }
        for number in range(accounts)
    }
    path.write_text(json.dumps(document))
    return path


def measure_cost(routers: int, endpoints: int, accounts: int) -> Cost:
    """Starts a fleet of this size and measures it while it is idle."""
    with fleet.Fleet([], ["a"], routers, bounds={"threads": 16}) as running:
        version = running.publish(
            None, _write_accounts(running.folder, accounts)
        )
        _list_endpoints(running, endpoints)
        started = time.monotonic()
        running.wait_in_force(version)
        start_s = time.monotonic() - started
        time.sleep(_SETTLE_S)
        before = [fleet.fetch_status(item)["usage"] for item in running.routers]
        sampled_from = time.monotonic()
        time.sleep(_SAMPLE_S)
        after = [fleet.fetch_status(item)["usage"] for item in running.routers]
        elapsed_s = time.monotonic() - sampled_from
    return Cost(
        _mean_rate(before, after, "cpu_s", elapsed_s),
        sum(item["max_rss_kb"] for item in after) / len(after) / 1024,
        _mean_rate(before, after, "gossip_bytes_sent", elapsed_s),
        start_s,
    )


def _mean_rate(
    before: list[dict], after: list[dict], name: str, elapsed_s: float
) -> float:
    total = sum(
        later[name] - earlier[name]
        for earlier, later in zip(before, after, strict=True)
    )
    return total / len(before) / elapsed_s


def _list_endpoints(running: fleet.Fleet, count: int) -> None:
    """Adds endpoints to the host list that are never called."""
    entries = [
        {
            "name": f"server-{number}",
            "address": f"127.1.{number // 250}.{number % 250 + 1}:9",
            "role": "endpoint",
            "pool": "encode",
            "data_centre": "a",
            "state": "live",
            "incarnation": 1,
        }
        for number in range(count)
    ]
    fleet.send_request(
        running.hosts_address, "PUT", "/hosts", {"hosts": entries}
    )


def measure() -> list[report.Measure]:
    """Measures the cost for every size."""
    sizes = [(routers, 6, 5) for routers in _ROUTERS]
    sizes += [(2, endpoints, 5) for endpoints in _ENDPOINTS[1:]]
    sizes += [(2, 6, accounts) for accounts in _ACCOUNTS[1:]]
    measures = []
    for size in sizes:
        cost = measure_cost(*size)
        name = "control {} routers, {} endpoints, {} accounts: ".format(*size)
        measures += [
            report.Measure(
                name + "core share", cost.core_share, at_most=MAX_CORE_SHARE
            ),
            report.Measure(name + "MB", cost.memory_mb, at_most=MAX_MEMORY_MB),
            report.Measure(
                name + "bytes/s sent", cost.sent_per_s, at_most=MAX_BYTES_PER_S
            ),
        ]
        print(f"  {name}{cost}", flush=True)
    return measures


if __name__ == "__main__":
    report.print_measures(measure())
