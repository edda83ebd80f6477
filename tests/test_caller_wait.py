"""Tests of what is learnt of the callers' time."""

import types

from chervilarch import caller_wait, routed_filters


def test_a_caller_that_comes_again_has_waited():
    times = caller_wait.WaitEstimator()
    assert times.note("r1", 8.0, 0.0) == 0.0
    assert times.note("r1", 6.9, 1.0) == 0.0
    assert times.note("r1", 3.5, 4.0) == 4.5
    assert times.note("r2", 3.5, 4.0) == 0.0


def test_what_was_allowed_long_ago_is_forgotten():
    times = caller_wait.WaitEstimator()
    times.note("r1", 8.0, 0.0)
    assert times.note("r1", 3.0, 31.0) == 5.0
    assert times.note("r1", 3.0, 62.0) == 0.0


def test_a_silence_forgets_all():
    times = caller_wait.WaitEstimator()
    times.note("r1", 8.0, 0.0)
    assert times.note("r1", 3.0, 100.0) == 0.0


def test_the_objective_counts_from_the_first_attempt():
    now = 100.0
    ctrl = types.SimpleNamespace(
        caller_wait=caller_wait.WaitEstimator(),
        configuration=types.SimpleNamespace(taken_at=now),
        endpoints=types.SimpleNamespace(
            follower=types.SimpleNamespace(read_at=now)
        ),
    )
    route = types.SimpleNamespace(name="r1", timeout_s=30.0, objective_s=2.0)
    objectives = []
    for allowed_s in (8.0, 3.5):
        req = types.SimpleNamespace(
            id="id1",
            account=None,
            route=route,
            priority=1,
            piece_counts=[],
            arrived_at=now,
            allowed_s=allowed_s,
        )
        ctx = types.SimpleNamespace(
            ctrl=ctrl,
            req=req,
            table=types.SimpleNamespace(version=1),
            now=lambda: now,
        )
        for _ in routed_filters.set_deadline(ctx, lambda: iter(())):
            pass
        objectives.append(req.objective_at)
    assert objectives == [102.0, 97.5]
