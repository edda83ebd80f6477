"""Micro-benchmarks: time and memory per item of code without I/O.

The figures are for docs/CAPACITY.md.
"""

import random
import time
import tracemalloc
from collections.abc import Callable

import uuid6

from bench import overhead, report
from chervilarch import (
    calls,
    configuration,
    keys,
    membership,
    messages,
    records,
    rules,
)

_CALLS = 20000
_ACCOUNTS = (5, 500, 20000)
_REPEATS = 200
_KEY = b"a key for measuring"


def _mean_seconds(work: Callable[[], object], repeats: int) -> float:
    started = time.perf_counter()
    for _ in range(repeats):
        work()
    return (time.perf_counter() - started) / repeats


def _measure_calls() -> list[report.Measure]:
    """Measures folding claims and their results."""
    bodies = []
    for number in range(_CALLS):
        key = str(uuid6.uuid7())
        claim = records.Claim(f"claim-{number}", "account", key, "digest")
        result = records.Result(claim.claim_id, "account", key, "answer", 1)
        bodies += [claim, result]
    now = time.time()
    tracemalloc.start()
    state = calls.CallState()
    for offset, body in enumerate(bodies):
        calls.fold(state, records.Record(offset, now, body))
    traced_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    state = calls.CallState()
    started = time.perf_counter()
    for offset, body in enumerate(bodies):
        calls.fold(state, records.Record(offset, now, body))
    elapsed_s = time.perf_counter() - started
    return [
        report.Measure("calls: us a record", elapsed_s / len(bodies) * 1e6),
        report.Measure("calls: bytes a key held", traced_bytes / _CALLS),
    ]


def _make_document(accounts: int) -> dict:
    return {
        "time_zone": "UTC",
        "pools": {"encode": overhead.call_pool("encode")},
        "accounts": {
            f"account-{number}": {
                "key_sha256": keys.key_digest(str(number)),
                "weight": 1,
            }
            for number in range(accounts)
        },
        "pipelines": {"one": {"stages": ["encode"]}},
        "schedule": {},
    }


def _measure_configuration(accounts: int) -> list[report.Measure]:
    """Measures folding a change of one account and indexing the result."""
    document = _make_document(accounts)
    path = "/accounts/account-1/weight"
    patch = [{"op": "replace", "path": path, "value": 2}]
    state = configuration.ConfigState(0, 0, document)
    record = records.Record(1, 0.0, records.Publish("p", 0, patch, ""))
    fold_s = _mean_seconds(lambda: configuration.fold(state, record), 3)
    index_s = _mean_seconds(lambda: rules.Ruleset(document), 3)
    name = f"configuration, {accounts} accounts: "
    return [
        report.Measure(name + "ms a publish folded", fold_s * 1000),
        report.Measure(name + "ms a version indexed", index_s * 1000),
    ]


def _measure_gossip() -> list[report.Measure]:
    """Measures coding datagrams with and without member updates."""
    own = membership.Member("entry-100", "10.0.0.100:8081", "fukuoka", 10**12)
    measures = []
    for updates in (0, membership.MAX_UPDATES_PER_MESSAGE):
        gossip = messages.Gossip(
            "ping", own, own.address, 10**6, 10**6, members=(own,) * updates
        )
        frame = messages.encode_gossip(_KEY, gossip)
        encode_s = _mean_seconds(
            lambda gossip=gossip: messages.encode_gossip(_KEY, gossip),
            _REPEATS,
        )
        decode_s = _mean_seconds(
            lambda frame=frame: messages.decode_gossip(_KEY, frame), _REPEATS
        )
        name = f"gossip, {updates} news: "
        measures += [
            report.Measure(name + "bytes a datagram", len(frame)),
            report.Measure(name + "us to encode", encode_s * 1e6),
            report.Measure(name + "us to decode", decode_s * 1e6),
        ]
    return measures


def _measure_spread(members: int) -> report.Measure:
    """Simulates gossip; returns the time until all have one member update.

    Only pings and their acks spread it.
    """
    rng = random.Random(members)
    informed = {0}
    periods = 0
    while len(informed) < members:
        periods += 1
        for sender in range(members):
            target = rng.randrange(members)
            if sender in informed or target in informed:
                # The ping and its ack carry updates in both directions.
                informed |= {sender, target}
    name = f"gossip, {members} routers: s until all have heard"
    return report.Measure(
        name, periods * membership.PROBE_PERIOD_S, at_most=4.0
    )


def measure() -> list[report.Measure]:
    """Runs all measures of this module."""
    measures = _measure_calls()
    for accounts in _ACCOUNTS:
        measures += _measure_configuration(accounts)
    measures += _measure_gossip()
    measures += [_measure_spread(members) for members in (8, 32, 350)]
    return measures


if __name__ == "__main__":
    report.print_measures(measure())
