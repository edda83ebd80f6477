"""The decisions under load: the product's policy beside simple ones."""

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
# Speeds of the model servers; the largest is four times the smallest.
_SPEEDS = (0.5, 1.0, 1.0, 1.0, 1.5, 2.0)
_SIDE_MS = 10.0
# Requests a second that the model servers can take.
CAPACITY = _MODEL_SLOTS * sum(_SPEEDS) / (_MODEL_MS / 1000)
_WARM_S = 4.0
_WARM_RATE = 25.0
_UNIT_BYTES = 4096


class Run(NamedTuple):
    """A fleet under one policy."""

    policy: str
    running: fleet.Fleet


def specs(lag_s: float = 2.0) -> list[fleet.EndpointSpec]:
    """Returns three endpoints of each side pool and six model servers."""
    lag = ("--load-lag-s", str(lag_s))
    side = ("--unit-ms", str(_SIDE_MS), "--slots", "16", *lag)
    listed = [
        fleet.EndpointSpec(pool, "call", "a", side)
        for pool in _STAGES[:3]
        for _ in range(3)
    ]
    for speed in _SPEEDS:
        options = ("--unit-ms", str(_MODEL_MS), "--speed", str(speed))
        options += ("--slots", str(_MODEL_SLOTS), *lag)
        listed.append(fleet.EndpointSpec("model", "call", "a", options))
    return listed


def with_policy(
    policy: str, use: Callable[[Run], "Result"], **rule
) -> "Result":
    """Starts a fleet under a policy, warms it up and uses it."""
    argv: tuple[str, ...] = ("chervilarch.router",)
    if policy != PRODUCT:
        argv = ("bench.baseline_router", "--policy", policy)
    with fleet.Fleet(specs(), ["a"], _ROUTERS, router_argv=argv) as running:
        path = overhead.write_configuration(
            running.folder,
            {name: overhead.call_pool(name) for name in _STAGES},
            {"survey": _STAGES, "ask": ["model"]},
            **rule,
        )
        running.wait_in_force(running.publish(None, path))
        running.wait_endpoints_known()
        run = Run(policy, running)
        load.run(shots(run, _WARM_RATE, _WARM_S, random.Random(1)))
        return use(run)


class Result(NamedTuple):
    """Samples of a measure's parts under one policy."""

    parts: dict[str, list[load.Sample]]
    counters: dict[str, int]


def shots(
    run: Run,
    rate: float,
    seconds: float,
    rng: random.Random,
    start_s: float = 0.0,
    pipeline: str = "survey",
    deadline_s: float | None = None,
    long_share: float = 0.0,
    long_units: int = 30,
) -> list[load.Shot]:
    """Returns seeded requests spread over the routers."""
    listed = []
    times = load.poisson_times(rate, seconds, rng, start_s)
    for number, at_s in enumerate(times):
        router = run.running.routers[number % len(run.running.routers)]
        headers = {"Authorization": f"Bearer {_KEY}"}
        if deadline_s is not None:
            headers["Deadline-Ms"] = str(deadline_s * 1000)
        is_long = rng.random() < long_share
        text = f"request {number}"
        if is_long:
            text = text.ljust(long_units * _UNIT_BYTES - 64, "x")
        listed.append(
            load.Shot(
                at_s,
                f"http://{router.address}/v1/pipelines/{pipeline}/runs",
                {"input": text},
                headers,
                "long" if is_long else "short",
            )
        )
    return listed


def counters(run: Run) -> dict[str, int]:
    """Returns the routers' counters, added up."""
    total: dict[str, int] = {}
    for router in run.running.routers:
        for name, value in fleet.status(router)["counters"].items():
            total[name] = total.get(name, 0) + value
    return total


def answered(samples: list[load.Sample], within_s: float) -> float:
    """Returns the share of whole answers within a time."""
    if not samples:
        return 0.0
    good = sum(
        sample.outcome == "answer" and sample.elapsed_s <= within_s
        for sample in samples
    )
    return good / len(samples)


def p99(samples: list[load.Sample], label: str = "short") -> float:
    """Returns the 99th percentile of the time, infinite for no answer."""
    times = [
        sample.elapsed_s if sample.outcome == "answer" else float("inf")
        for sample in samples
        if sample.label == label
    ]
    return load.percentile(times, 99)


def compare(
    use: Callable[[Run], Result], policies: tuple[str, ...], **rule
) -> dict[str, Result]:
    """Runs the same work under each policy, one after the other."""
    return {policy: with_policy(policy, use, **rule) for policy in policies}


ALL = (PRODUCT, *baseline_router.POLICIES)


def attainment(policies: tuple[str, ...] = ALL) -> list[report.Measure]:
    """Whole answers within the deadline at 70% of the capacity."""
    deadline_s = 2.0

    def use(run: Run) -> Result:
        listed = shots(
            run,
            0.7 * CAPACITY,
            12.0,
            random.Random(2),
            deadline_s=deadline_s,
        )
        return Result({"all": load.run(listed)}, counters(run))

    results = compare(use, policies)
    values = {
        policy: answered(result.parts["all"], deadline_s)
        for policy, result in results.items()
    }
    return [_measure("attainment", values, at_least=0.99)]


def crest(policies: tuple[str, ...] = ALL) -> list[report.Measure]:
    """Useful answers while demand swings to 1.5 times the capacity."""
    rise_s, crest_s, after_s = 2.0, 10.0, 8.0

    def use(run: Run) -> Result:
        calm = load.run(shots(run, 5.0, 6.0, random.Random(3)))
        median = load.percentile([item.elapsed_s for item in calm], 50)
        deadline_s = 2 * median
        rng = random.Random(4)
        parts = [(0.0, 3.0, 0.5), (3.0, rise_s, 1.0)]
        parts += [(3.0 + rise_s, crest_s, 1.5)]
        parts += [(3.0 + rise_s + crest_s, after_s, 0.5)]
        listed = []
        for start_s, seconds, factor in parts:
            listed += shots(
                run,
                factor * CAPACITY,
                seconds,
                rng,
                start_s,
                deadline_s=deadline_s,
            )
        busy_s = _busy_s(run)
        samples = load.run(listed)
        busy_s = _busy_s(run) - busy_s
        print(f"  model servers worked {busy_s:.1f} s in slots")
        begin = 3.0 + rise_s
        during = [s for s in samples if begin <= s.at_s < begin + crest_s]
        after = [s for s in samples if s.at_s >= begin + crest_s + 5.0]
        useful = answered(during, deadline_s) * len(during) / crest_s
        _note(run, "crest", deadline_s, during)
        return Result(
            {"during": during, "after": after},
            {"useful": useful, "after": answered(after, deadline_s)},
        )

    results = compare(use, policies)
    useful = {
        policy: result.counters["useful"] / CAPACITY
        for policy, result in results.items()
    }
    after = {
        policy: result.counters["after"] for policy, result in results.items()
    }
    best = max(
        (value for name, value in useful.items() if name != PRODUCT),
        default=0.0,
    )
    refusals = [
        sample.elapsed_s
        for sample in results[PRODUCT].parts["during"]
        if sample.outcome.startswith("not_run")
    ]
    return [
        _measure("crest useful share of capacity", useful, at_least=0.9),
        report.Measure(
            "crest ahead of the best baseline",
            useful[PRODUCT] - best,
            at_least=0.0,
        ),
        _measure("crest share 5 s after it", after, at_least=0.99),
        report.Measure(
            "refusal p99 ms at overload",
            load.percentile(refusals, 99) * 1000,
            at_most=100,
        ),
    ]


def head_of_line(policies: tuple[str, ...] = ALL) -> list[report.Measure]:
    """Short work beside 2% of work that is 30 times longer."""
    rate = 0.35 * CAPACITY

    def use(run: Run) -> Result:
        without = load.run(
            shots(run, rate, 12.0, random.Random(5), pipeline="ask")
        )
        beside = load.run(
            shots(
                run,
                rate,
                20.0,
                random.Random(5),
                pipeline="ask",
                long_share=0.02,
            )
        )
        _note_times(run, "hol without", without)
        _note_times(run, "hol short", [s for s in beside if s.label == "short"])
        return Result({"without": without, "beside": beside}, counters(run))

    results = compare(use, policies)
    values = {
        policy: p99(result.parts["beside"]) / p99(result.parts["without"])
        for policy, result in results.items()
    }
    return [_measure("hol p99 ratio of short work", values, at_most=1.5)]


def straggler(policies: tuple[str, ...] = ALL) -> list[report.Measure]:
    """The tail while one model server of six is slowed ten times."""
    rate = 0.4 * CAPACITY
    spells = [(1.0, 4.0), (7.0, 9.0), (12.0, 18.0)]

    def use(run: Run) -> Result:
        without = load.run(shots(run, rate, 12.0, random.Random(6)))
        servers = [
            item for item in run.running.endpoints if item.spec.pool == "model"
        ]
        timers = []
        for number, (start_s, end_s) in enumerate(spells):
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
        during = load.run(shots(run, rate, 20.0, random.Random(6)))
        for timer in timers:
            timer.join()
        _note_times(run, "straggler without", without)
        _note_times(run, "straggler during", during)
        return Result({"without": without, "during": during}, counters(run))

    results = compare(use, policies)
    values = {
        policy: p99(result.parts["during"]) / p99(result.parts["without"])
        for policy, result in results.items()
    }
    used = results[PRODUCT].counters
    stage_attempts = sum(
        value for name, value in used.items() if name.endswith(".attempts")
    )
    return [
        _measure("straggler p99 ratio", values, at_most=1.5),
        report.Measure(
            "hedges as a share of attempts",
            used.get("hedges", 0) / stage_attempts,
            at_most=0.05,
        ),
    ]


def _busy_s(run: Run) -> float:
    """Returns the time that model servers' slots have worked."""
    return sum(
        fleet.endpoint_counts(item)["busy_s"]
        for item in run.running.endpoints
        if item.spec.pool == "model"
    )


def _note(
    run: Run, name: str, deadline_s: float, samples: list[load.Sample]
) -> None:
    """Prints what became of a part's requests."""
    outcomes: dict[str, int] = {}
    for sample in samples:
        late = sample.outcome == "answer" and sample.elapsed_s > deadline_s
        label = "late answer" if late else sample.outcome
        outcomes[label] = outcomes.get(label, 0) + 1
    print(
        f"  {name} under {run.policy}: deadline {deadline_s * 1000:.0f} ms, "
        f"{outcomes}"
    )


def _note_times(run: Run, name: str, samples: list[load.Sample]) -> None:
    """Prints the percentiles of a part's times."""
    times = [sample.elapsed_s * 1000 for sample in samples]
    p50, p95, p99_ms = (load.percentile(times, q) for q in (50, 95, 99))
    print(
        f"  {name} under {run.policy}: p50 {p50:.0f}, p95 {p95:.0f}, "
        f"p99 {p99_ms:.0f} ms of {len(times)}"
    )


def _measure(
    name: str,
    values: dict[str, float],
    at_least: float | None = None,
    at_most: float | None = None,
) -> report.Measure:
    baselines = {k: v for k, v in values.items() if k != PRODUCT}
    return report.Measure(name, values[PRODUCT], at_least, at_most, baselines)
