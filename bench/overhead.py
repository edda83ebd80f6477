"""Overhead of one router: added latency, and its throughput."""

import json
import pathlib
import random

from bench import fleet, load, report
from chervilarch import keys

_POOLS = ["encode", "retrieve", "rerank"]
_KEY = "load-key"
_RATE = 100.0
_SECONDS = 8.0
_CONCURRENCY = 32
_TOKENS = 400
# Throughput that the developers aim at for one router process.
MIN_REQUESTS_PER_S = 100.0
MIN_TOKENS_PER_S = 20000.0


def write_configuration(
    folder: pathlib.Path, pools: dict, pipelines: dict, **row_values
) -> pathlib.Path:
    """Writes a configuration with one account and a schedule row per pipeline.

    `row_values` overrides values of each row. Returns the path of the file.
    """
    row = {
        "account": "*",
        "deadline_s": 10,
        "priority": 3,
        "limit_per_s": 1e6,
        "from": "00:00",
        "until": "24:00",
        **row_values,
    }
    document = {
        "time_zone": "UTC",
        "pools": pools,
        "accounts": {
            "load": {"key_sha256": keys.key_digest(_KEY), "weight": 1}
        },
        "pipelines": {
            name: {"stages": stages} for name, stages in pipelines.items()
        },
        "schedule": {name: {"pipeline": name, **row} for name in pipelines},
    }
    path = folder / "configuration.json"
    path.write_text(json.dumps(document))
    return path


def call_pool(name: str, repeatable: bool = True) -> dict:
    """Returns the configuration entry of a call pool."""
    return {"protocol": "call", "path": f"/{name}", "repeatable": repeatable}


STREAM_POOL = {"protocol": "stream", "path": "/generate", "repeatable": True}


def measure(seconds: float = _SECONDS) -> list[report.Measure]:
    """Measures added latency and throughput with a fleet of one router."""
    call_options = ("--unit-ms", "1", "--slots", "64")
    stream_options = (
        "--unit-ms",
        "2",
        "--tokens-per-unit",
        "1",
        "--slots",
        "64",
    )
    specs = [
        fleet.EndpointSpec(pool, "call", "a", call_options)
        for pool in _POOLS * 2
    ]
    specs += [
        fleet.EndpointSpec("generate", "stream", "a", stream_options)
        for _ in range(3)
    ]
    with fleet.Fleet(specs, ["a"], 1) as running:
        pools = {name: call_pool(name) for name in _POOLS}
        pools["generate"] = STREAM_POOL
        path = write_configuration(
            running.folder,
            pools,
            {"one": ["encode"], "three": _POOLS, "tokens": ["generate"]},
        )
        running.wait_in_force(running.publish(None, path))
        running.wait_endpoints_known()
        return _measure(running, seconds)


def _measure(running: fleet.Fleet, seconds: float) -> list[report.Measure]:
    direct_s = [
        sample.elapsed_s
        for sample in load.run(_direct_requests(running, seconds))
    ]
    routed_s = [
        sample.elapsed_s
        for sample in load.run(_routed_requests(running, "one", seconds))
    ]
    measures = [
        report.Measure(
            f"overhead added p{percent} ms, one stage",
            (
                load.percentile(routed_s, percent)
                - load.percentile(direct_s, percent)
            )
            * 1000,
        )
        for percent in (50, 99)
    ]
    for pipeline in ("one", "three"):
        samples = load.run_closed(
            lambda number, name=pipeline: _routed_request(running, name, 0.0),
            _CONCURRENCY,
            seconds,
        )
        answers = sum(sample.outcome == "answer" for sample in samples)
        bound = MIN_REQUESTS_PER_S if pipeline == "three" else None
        measures.append(
            report.Measure(
                f"overhead requests/s, pipeline {pipeline}",
                answers / seconds,
                at_least=bound,
            )
        )
    measures.append(_measure_tokens(running, seconds))
    return measures


def _measure_tokens(running: fleet.Fleet, seconds: float) -> report.Measure:
    samples = load.run_closed(
        lambda number: _routed_request(running, "tokens", 0.0), 160, seconds
    )
    elapsed_s = max(sample.at_s + sample.elapsed_s for sample in samples)
    tokens = sum(sample.tokens for sample in samples)
    return report.Measure(
        "overhead tokens/s", tokens / elapsed_s, at_least=MIN_TOKENS_PER_S
    )


def _direct_requests(
    running: fleet.Fleet, seconds: float
) -> list[load.ScheduledRequest]:
    endpoint = next(
        item for item in running.endpoints if item.spec.pool == "encode"
    )
    document = {"attempt_id": "a", "request_id": "r", "request": "hello"}
    return [
        load.ScheduledRequest(
            at_s, f"http://{endpoint.address}/encode", document, {}
        )
        for at_s in load.poisson_times(_RATE, seconds, random.Random(1))
    ]


def _routed_request(
    running: fleet.Fleet, pipeline: str, at_s: float
) -> load.ScheduledRequest:
    address = running.routers[0].address
    document = {"input": "hello"}
    if pipeline == "tokens":
        document = {"input": "hello", "stream": True, "max_tokens": _TOKENS}
    return load.ScheduledRequest(
        at_s,
        f"http://{address}/v1/pipelines/{pipeline}/runs",
        document,
        {"Authorization": f"Bearer {_KEY}"},
    )


def _routed_requests(
    running: fleet.Fleet, pipeline: str, seconds: float
) -> list[load.ScheduledRequest]:
    return [
        _routed_request(running, pipeline, at_s)
        for at_s in load.poisson_times(_RATE, seconds, random.Random(1))
    ]


if __name__ == "__main__":
    report.print_measures(measure())
