"""Load measures of the product's policy, compared with baseline policies."""

import random
import threading
from collections.abc import Callable
from typing import NamedTuple

from bench import baseline_router, fleet, load, overhead, report

_KEY = "load-key"
PRODUCT = "product"
_ROUTERS = 3
_STAGES = ["encode", "retrieve", "rerank", "model"]
_MODEL_MS = 200.0
_MODEL_SLOTS = 2
# Relative speeds of the model servers, the largest four times the smallest.
_SPEEDS = (0.5, 1.0, 1.0, 1.0, 1.5, 2.0)
_SHORT_STAGE_MS = 10.0
# Requests per second that the model servers can serve.
CAPACITY = _MODEL_SLOTS * sum(_SPEEDS) / (_MODEL_MS / 1000)
_WARM_S = 4.0
_WARM_RATE = 25.0
# As `standins.endpoint.BYTES_PER_UNIT`.
_UNIT_BYTES = 4096


class PolicyRun(NamedTuple):
    """A running fleet and the name of its routers' policy."""

    policy: str
    running: fleet.Fleet


def specs(lag_s: float = 2.0) -> list[fleet.EndpointSpec]:
    """Returns six model servers and three endpoints of each other pool."""
    lag_options = ("--load-lag-s", str(lag_s))
    short_options = (
        "--unit-ms",
        str(_SHORT_STAGE_MS),
        "--slots",
        "16",
        *lag_options,
    )
    endpoints = [
        fleet.EndpointSpec(pool, "call", "a", short_options)
        for pool in _STAGES[:3]
        for _ in range(3)
    ]
    for speed in _SPEEDS:
        options = ("--unit-ms", str(_MODEL_MS), "--speed", str(speed))
        options += ("--slots", str(_MODEL_SLOTS), *lag_options)
        endpoints.append(fleet.EndpointSpec("model", "call", "a", options))
    return endpoints


def run_with_policy(
    policy: str, workload: Callable[[PolicyRun], "Result"], **row_values
) -> "Result":
    """Starts a fleet under a policy, warms it up and runs a workload on it."""
    argv: tuple[str, ...] = ("chervilarch.router",)
    if policy != PRODUCT:
        argv = ("bench.baseline_router", "--policy", policy)
    with fleet.Fleet(specs(), ["a"], _ROUTERS, router_argv=argv) as running:
        path = overhead.write_configuration(
            running.folder,
            {name: overhead.call_pool(name) for name in _STAGES},
            {"survey": _STAGES, "ask": ["model"]},
            **row_values,
        )
        running.wait_in_force(running.publish(None, path))
        running.wait_endpoints_known()
        run = PolicyRun(policy, running)
        load.run(make_requests(run, _WARM_RATE, _WARM_S, random.Random(1)))
        return workload(run)


class Result(NamedTuple):
    """Samples and figures of a workload under one policy.

    Attributes:
        phases: samples of each phase of the workload, by its name.
        figures: sums of the routers' counters, by name; for `overload` instead
            the useful answers per second ("useful") and the share of answers
            after the peak ("after").
    """

    phases: dict[str, list[load.Sample]]
    figures: dict[str, int]


def make_requests(
    run: PolicyRun,
    rate: float,
    seconds: float,
    rng: random.Random,
    start_s: float = 0.0,
    pipeline: str = "survey",
    deadline_s: float | None = None,
    long_share: float = 0.0,
    long_units: int = 30,
) -> list[load.ScheduledRequest]:
    """Returns requests at Poisson times, in turn to each router.

    A `long_share` of them has a prompt of `long_units` work units.
    """
    requests = []
    times = load.poisson_times(rate, seconds, rng, start_s)
    for number, at_s in enumerate(times):
        router = run.running.routers[number % len(run.running.routers)]
        headers = {"Authorization": f"Bearer {_KEY}"}
        if deadline_s is not None:
            headers["Deadline-Ms"] = str(deadline_s * 1000)
        is_long = rng.random() < long_share
        text = f"request {number}"
        if is_long:
            # Shorter, as the stand-in also counts the JSON around the text.
            text = text.ljust(long_units * _UNIT_BYTES - 64, "x")
        requests.append(
            load.ScheduledRequest(
                at_s,
                f"http://{router.address}/v1/pipelines/{pipeline}/runs",
                {"input": text},
                headers,
                "long" if is_long else "short",
            )
        )
    return requests


def sum_counters(run: PolicyRun) -> dict[str, int]:
    """Returns the counters of all routers, summed."""
    total: dict[str, int] = {}
    for router in run.running.routers:
        for name, value in fleet.fetch_status(router)["counters"].items():
            total[name] = total.get(name, 0) + value
    return total


def answered_share(samples: list[load.Sample], within_s: float) -> float:
    """Returns the share of complete answers within a time."""
    if not samples:
        return 0.0
    in_time = sum(
        sample.outcome == "answer" and sample.elapsed_s <= within_s
        for sample in samples
    )
    return in_time / len(samples)


def p99(samples: list[load.Sample], label: str = "short") -> float:
    """Returns the 99th percentile of the times; failures count as infinite."""
    times = [
        sample.elapsed_s if sample.outcome == "answer" else float("inf")
        for sample in samples
        if sample.label == label
    ]
    return load.percentile(times, 99)


def compare(
    workload: Callable[[PolicyRun], Result],
    policies: tuple[str, ...],
    **row_values,
) -> dict[str, Result]:
    """Runs the same workload under each policy, one after the other."""
    return {
        policy: run_with_policy(policy, workload, **row_values)
        for policy in policies
    }


ALL = (PRODUCT, *baseline_router.POLICIES)


def attainment(policies: tuple[str, ...] = ALL) -> list[report.Measure]:
    """Measures complete answers within the deadline at 70% of the capacity."""
    deadline_s = 2.0

    def workload(run: PolicyRun) -> Result:
        requests = make_requests(
            run,
            0.7 * CAPACITY,
            12.0,
            random.Random(2),
            deadline_s=deadline_s,
        )
        return Result({"all": load.run(requests)}, sum_counters(run))

    results = compare(workload, policies)
    values = {
        policy: answered_share(result.phases["all"], deadline_s)
        for policy, result in results.items()
    }
    return [_make_measure("attainment", values, at_least=0.99)]


def overload(policies: tuple[str, ...] = ALL) -> list[report.Measure]:
    """Measures answers in time while load peaks at 1.5 times the capacity."""
    ramp_s, peak_s, after_s = 2.0, 10.0, 8.0

    def workload(run: PolicyRun) -> Result:
        unloaded = load.run(make_requests(run, 5.0, 6.0, random.Random(3)))
        median_s = load.percentile([item.elapsed_s for item in unloaded], 50)
        deadline_s = 2 * median_s
        rng = random.Random(4)
        phases = [(0.0, 3.0, 0.5), (3.0, ramp_s, 1.0)]
        phases += [(3.0 + ramp_s, peak_s, 1.5)]
        phases += [(3.0 + ramp_s + peak_s, after_s, 0.5)]
        requests = []
        for start_s, seconds, factor in phases:
            requests += make_requests(
                run,
                factor * CAPACITY,
                seconds,
                rng,
                start_s,
                deadline_s=deadline_s,
            )
        busy_s = _busy_s(run)
        samples = load.run(requests)
        busy_s = _busy_s(run) - busy_s
        print(f"  model servers worked {busy_s:.1f} s in slots")
        peak_start_s = 3.0 + ramp_s
        during = [
            s for s in samples if peak_start_s <= s.at_s < peak_start_s + peak_s
        ]
        after = [s for s in samples if s.at_s >= peak_start_s + peak_s + 5.0]
        useful = answered_share(during, deadline_s) * len(during) / peak_s
        _print_outcomes(run, "crest", deadline_s, during)
        return Result(
            {"during": during, "after": after},
            {"useful": useful, "after": answered_share(after, deadline_s)},
        )

    results = compare(workload, policies)
    useful = {
        policy: result.figures["useful"] / CAPACITY
        for policy, result in results.items()
    }
    after = {
        policy: result.figures["after"] for policy, result in results.items()
    }
    best_baseline = max(
        (value for name, value in useful.items() if name != PRODUCT),
        default=0.0,
    )
    refusals = [
        sample.elapsed_s
        for sample in results[PRODUCT].phases["during"]
        if sample.outcome.startswith("not_run")
    ]
    return [
        _make_measure("crest useful share of capacity", useful, at_least=0.9),
        report.Measure(
            "crest ahead of the best baseline",
            useful[PRODUCT] - best_baseline,
            at_least=0.0,
        ),
        _make_measure("crest share 5 s after it", after, at_least=0.99),
        report.Measure(
            "refusal p99 ms at overload",
            load.percentile(refusals, 99) * 1000,
            at_most=100,
        ),
    ]


def head_of_line(policies: tuple[str, ...] = ALL) -> list[report.Measure]:
    """Measures how 2% of requests that are 30 times longer delay short ones."""
    rate = 0.35 * CAPACITY

    def workload(run: PolicyRun) -> Result:
        undisturbed = load.run(
            make_requests(run, rate, 12.0, random.Random(5), pipeline="ask")
        )
        mixed = load.run(
            make_requests(
                run,
                rate,
                20.0,
                random.Random(5),
                pipeline="ask",
                long_share=0.02,
            )
        )
        _print_percentiles(run, "hol without", undisturbed)
        _print_percentiles(
            run, "hol short", [s for s in mixed if s.label == "short"]
        )
        return Result(
            {"without": undisturbed, "beside": mixed}, sum_counters(run)
        )

    results = compare(workload, policies)
    values = {
        policy: p99(result.phases["beside"]) / p99(result.phases["without"])
        for policy, result in results.items()
    }
    return [_make_measure("hol p99 ratio of short work", values, at_most=1.5)]


def straggler(policies: tuple[str, ...] = ALL) -> list[report.Measure]:
    """Measures the tail while one of six model servers is ten times slower."""
    rate = 0.4 * CAPACITY
    slow_periods = [(1.0, 4.0), (7.0, 9.0), (12.0, 18.0)]

    def workload(run: PolicyRun) -> Result:
        undisturbed = load.run(make_requests(run, rate, 12.0, random.Random(6)))
        servers = [
            item for item in run.running.endpoints if item.spec.pool == "model"
        ]
        timers = []
        for number, (start_s, end_s) in enumerate(slow_periods):
            server = servers[(1 + 2 * number) % len(servers)]
            for at_s, factor in ((start_s, 10.0), (end_s, 1.0)):
                timer = threading.Timer(
                    at_s,
                    fleet.configure_endpoint,
                    (server,),
                    {"slow_factor": factor},
                )
                timer.start()
                timers.append(timer)
        during = load.run(make_requests(run, rate, 20.0, random.Random(6)))
        for timer in timers:
            timer.join()
        _print_percentiles(run, "straggler without", undisturbed)
        _print_percentiles(run, "straggler during", during)
        return Result(
            {"without": undisturbed, "during": during}, sum_counters(run)
        )

    results = compare(workload, policies)
    values = {
        policy: p99(result.phases["during"]) / p99(result.phases["without"])
        for policy, result in results.items()
    }
    counters = results[PRODUCT].figures
    stage_attempts = sum(
        value for name, value in counters.items() if name.endswith(".attempts")
    )
    return [
        _make_measure("straggler p99 ratio", values, at_most=1.5),
        report.Measure(
            "hedges as a share of attempts",
            counters.get("hedges", 0) / stage_attempts,
            at_most=0.05,
        ),
    ]


def _busy_s(run: PolicyRun) -> float:
    """Returns the total busy time of the slots of all model servers."""
    return sum(
        fleet.endpoint_counts(item)["busy_s"]
        for item in run.running.endpoints
        if item.spec.pool == "model"
    )


def _print_outcomes(
    run: PolicyRun, name: str, deadline_s: float, samples: list[load.Sample]
) -> None:
    """Prints how the requests of a phase ended."""
    outcomes: dict[str, int] = {}
    for sample in samples:
        late = sample.outcome == "answer" and sample.elapsed_s > deadline_s
        label = "late answer" if late else sample.outcome
        outcomes[label] = outcomes.get(label, 0) + 1
    print(
        f"  {name} under {run.policy}: deadline {deadline_s * 1000:.0f} ms, "
        f"{outcomes}"
    )


def _print_percentiles(
    run: PolicyRun, name: str, samples: list[load.Sample]
) -> None:
    """Prints percentiles of the elapsed times of a phase."""
    times = [sample.elapsed_s * 1000 for sample in samples]
    p50, p95, p99_ms = (load.percentile(times, q) for q in (50, 95, 99))
    print(
        f"  {name} under {run.policy}: p50 {p50:.0f}, p95 {p95:.0f}, "
        f"p99 {p99_ms:.0f} ms of {len(times)}"
    )


def _make_measure(
    name: str,
    values: dict[str, float],
    at_least: float | None = None,
    at_most: float | None = None,
) -> report.Measure:
    baselines = {k: v for k, v in values.items() if k != PRODUCT}
    return report.Measure(name, values[PRODUCT], at_least, at_most, baselines)
