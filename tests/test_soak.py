"""The soak's checks find each kind of violation; its seeds can be repeated."""

import random
import types

import pytest

from soak import checks, faults, records


def run(**changes):
    default = records.Run(
        10.0, "1-1", "desk-1", "book", "gw-0", 0, "crew", False
    )
    return default._replace(**changes)


def answer(**changes):
    default = records.Answer(
        9.9, 10.1, "1-1", "book", "gw-0", 200, True, True, (), 0, False
    )
    return default._replace(**changes)


def build_history(runs=(), answers=(), **fields):
    history = records.History()
    for item in runs:
        history.runs[item.request_id].append(item)
    history.answers += answers
    for name, value in fields.items():
        setattr(history, name, value)
    return history


def disturbance(target, begin=8.0, end=9.0, kind="cut"):
    return records.Disturbance(begin, end, target, kind)


STREAM = {"route": "note", "expected_events": 3, "events": (1, 2, 3)}
LOOK = run(route="look", endpoint="desk-1")
DEADLY = run(route="draft", prompt=("p1", "dead1", "own"))
LIMIT = records.Limit("desk-1", 2.0, 5.0, 20.0)
EVACUATION = records.Evacuation("a", 1.0, 20.0)
WORK = records.Work(6.5, "desk-1", "a", "gw-0")
PIECES = WORK._replace(endpoint="maker-1", gateway="")
ARRIVALS = {"desk-1": [(10.0, "gw-0")] * 18}
MOVED = [(1.0, "desk"), (5.0, "other")]


@pytest.mark.parametrize(
    ("history", "expected"),
    [
        (build_history([run(), run(endpoint="desk-2")]), "ran 2 times"),
        (build_history([run()], [answer(status=503)]), "answered 503 and ran"),
        (
            build_history([run()], [answer(matches_request=False)]),
            "belongs to another",
        ),
        (
            build_history([], [answer(**{**STREAM, "events": (1, 3)})]),
            "got events",
        ),
        (
            build_history([], [answer(**{**STREAM, "events": (1, 2)})]),
            "looks whole",
        ),
        (build_history([run(tenant="forged")]), "ran as 'forged'"),
        (build_history([run(has_authorization=True)]), "ran as"),
        (
            build_history([run()], leaving_since={"desk-1": 7.5}),
            "after it was leaving",
        ),
        (
            build_history([LOOK], [answer(route="look")], lookup_pools=MOVED),
            "moved long ago",
        ),
        (
            build_history(
                [],
                [answer(status=None)],
                disturbances=[disturbance("gw-0", 9.0, 12.0, "term")],
            ),
            "cut off by a shutdown",
        ),
        (
            build_history(
                [], [answer(status=503, sent_at=31.0, route="look")] * 8
            ),
            "0 of 8 served",
        ),
        (
            build_history(
                [DEADLY._replace(request_id=f"1-{n}") for n in range(4)],
                crashes={"dead1": [1.0] * 5},
            ),
            "dead1 was sent 4 times",
        ),
        (
            build_history(limits=[LIMIT], arrivals=ARRIVALS),
            "desk-1 got 18 requests with a limit of 2.0",
        ),
        (
            build_history(evacuations=[EVACUATION], work=[WORK]),
            "desk-1 got work of gw-0 5.50 s after the evacuation of a",
        ),
        (
            build_history(evacuations=[EVACUATION], work=[PIECES]),
            "maker-1 got work of a coordinator",
        ),
        (build_history(violations=["gw-0 ended with 1"]), "gw-0 ended"),
    ],
)
def test_violation_is_found(history, expected):
    violations = checks.find_violations(history, 30.0)
    assert len(violations) >= 1 and expected in violations[0]


@pytest.mark.parametrize(
    "history",
    [
        build_history([run()], [answer()]),
        build_history(
            evacuations=[EVACUATION],
            work=[
                WORK._replace(arrived_at=6.2),
                WORK._replace(arrived_at=20.1),
                WORK._replace(data_centre="b"),
            ],
        ),
        build_history(
            evacuations=[EVACUATION],
            work=[WORK, PIECES],
            disturbances=[disturbance("gw-0", 3.0, 4.0)],
        ),
        build_history(
            evacuations=[EVACUATION],
            work=[WORK],
            disturbances=[disturbance("store", 5.0, 5.5)],
        ),
        build_history(
            [run(), run(endpoint="desk-2")][:1], [answer(status=502)]
        ),
        build_history([], [answer(status=503)]),
        build_history([DEADLY] * 9, crashes={"dead1": [1.0] * 4}),
        build_history([DEADLY] * 3, crashes={"dead1": [1.0] * 5}),
        build_history([DEADLY] * 9, crashes={"dead1": [8.0] * 5}),
        build_history(
            [DEADLY] * 9,
            crashes={"dead1": [1.0] * 5},
            disturbances=[disturbance("gw-0")],
        ),
        build_history(limits=[LIMIT], arrivals={"desk-1": [(10.0, "")] * 17}),
        build_history(
            limits=[LIMIT],
            arrivals=ARRIVALS,
            disturbances=[disturbance("gw-0")],
        ),
        build_history(
            [run(route="draft")] * 2, [answer(**{**STREAM, "route": "draft"})]
        ),
        build_history(
            [], [answer(**{**STREAM, "events": (1,), "is_complete": False})]
        ),
        build_history([run()], leaving_since={"desk-1": 8.5}),
        build_history(
            [run()],
            leaving_since={"desk-1": 7.5},
            disturbances=[disturbance("store")],
        ),
        build_history(
            [LOOK],
            [answer(route="look")],
            lookup_pools=MOVED,
            disturbances=[disturbance("gw-0")],
        ),
        build_history(
            [LOOK], [answer(route="look")], lookup_pools=[(1.0, "desk")]
        ),
        build_history(
            [],
            [answer(status=None, caller_gave_up=True)],
            disturbances=[disturbance("gw-0", 9.0, 12.0, "term")],
        ),
    ],
)
def test_allowed_history_has_no_violation(history):
    assert checks.find_violations(history, 30.0) == []


# Drawn by the code before evacuations were injected.
DRAWN = [
    (
        3,
        [
            ("_restore_store", 1),
            ("_freeze", 1),
            ("_publish", 1),
            ("_publish", 3),
            ("_restore_store", 1),
        ],
    ),
    (
        55,
        [
            ("_freeze", 1),
            ("_freeze", 1),
            ("_spread_deadly_part", 3),
            ("_flap_endpoint", 1),
            ("_restore_store", 1),
            ("_terminate", 3),
            ("_flap_endpoint", 1),
        ],
    ),
]


def draw_faults(seed, monkeypatch):
    """Returns the first faults that a seed draws; none is injected."""
    made = faults.SoakEnvironment(
        None,
        [],
        records.History(),
        random.Random(seed),
        random.Random(0),
        [],
    )
    drawn = []

    async def record(fault, times, rng):
        drawn.append((fault.__name__, times))

    async def pass_time(seconds):
        clock.now += seconds

    async def evacuate_none(seconds):
        pass

    clock = types.SimpleNamespace(now=0.0, monotonic=lambda: clock.now)
    monkeypatch.setattr(made, "_inject_evacuations", evacuate_none)
    monkeypatch.setattr(faults, "_repeat", record)
    monkeypatch.setattr(faults, "time", clock)
    real = faults.asyncio
    monkeypatch.setattr(
        faults,
        "asyncio",
        types.SimpleNamespace(
            sleep=pass_time, create_task=real.create_task, gather=real.gather
        ),
    )
    real.run(made.inject(5.0))
    return drawn


@pytest.mark.parametrize(("seed", "expected"), DRAWN)
def test_seeds_draw_the_faults_that_they_drew(seed, expected, monkeypatch):
    """A fault added to the list would change those of all earlier seeds."""
    assert draw_faults(seed, monkeypatch) == expected
