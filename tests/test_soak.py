"""The judge of the soak finds each kind of broken promise."""

import pytest

from soak import checks, records


def run(**changes):
    plain = records.Run(10.0, "1-1", "desk-1", "book", "gw-0", 0, "crew", False)
    return plain._replace(**changes)


def answer(**changes):
    plain = records.Answer(
        9.9, 10.1, "1-1", "book", "gw-0", 200, True, True, (), 0, False
    )
    return plain._replace(**changes)


def seen(runs=(), answers=(), **fields):
    made = records.Records()
    for item in runs:
        made.runs[item.request_id].append(item)
    made.answers += answers
    for name, value in fields.items():
        setattr(made, name, value)
    return made


def trouble(target, begin=8.0, end=9.0, kind="cut"):
    return records.Disturbance(begin, end, target, kind)


STREAM = {"route": "note", "wanted": 3, "events": (1, 2, 3)}
LOOK = run(route="look", endpoint="desk-1")
MOVED = [(1.0, "desk"), (5.0, "other")]


@pytest.mark.parametrize(
    ("made", "named"),
    [
        (seen([run(), run(endpoint="desk-2")]), "ran 2 times"),
        (seen([run()], [answer(status=503)]), "answered 503 and ran"),
        (seen([run()], [answer(is_own=False)]), "belongs to another"),
        (seen([], [answer(**{**STREAM, "events": (1, 3)})]), "got events"),
        (seen([], [answer(**{**STREAM, "events": (1, 2)})]), "looks whole"),
        (seen([run(tenant="forged")]), "ran as 'forged'"),
        (seen([run(has_key=True)]), "ran as"),
        (seen([run()], left_at={"desk-1": 7.5}), "after it was leaving"),
        (
            seen([LOOK], [answer(route="look")], moved_at=MOVED),
            "moved long ago",
        ),
        (
            seen(
                [],
                [answer(status=None)],
                disturbances=[trouble("gw-0", 9.0, 12.0, "term")],
            ),
            "cut off by a shutdown",
        ),
        (
            seen([], [answer(status=503, sent_at=31.0, route="look")] * 8),
            "0 of 8 served",
        ),
        (seen(broken=["gw-0 ended with 1"]), "gw-0 ended"),
    ],
)
def test_a_broken_promise_is_found(made, named):
    found = checks.find_broken(made, 30.0)
    assert len(found) >= 1 and named in found[0]


@pytest.mark.parametrize(
    "made",
    [
        seen([run()], [answer()]),
        seen([run(), run(endpoint="desk-2")][:1], [answer(status=502)]),
        seen([], [answer(status=503)]),
        seen(
            [run(route="draft")] * 2, [answer(**{**STREAM, "route": "draft"})]
        ),
        seen([], [answer(**{**STREAM, "events": (1,), "is_whole": False})]),
        seen([run()], left_at={"desk-1": 8.5}),
        seen([run()], left_at={"desk-1": 7.5}, disturbances=[trouble("store")]),
        seen(
            [LOOK],
            [answer(route="look")],
            moved_at=MOVED,
            disturbances=[trouble("gw-0")],
        ),
        seen([LOOK], [answer(route="look")], moved_at=[(1.0, "desk")]),
        seen(
            [],
            [answer(status=None, has_left=True)],
            disturbances=[trouble("gw-0", 9.0, 12.0, "term")],
        ),
    ],
)
def test_what_is_allowed_is_not_called_broken(made):
    assert checks.find_broken(made, 30.0) == []
