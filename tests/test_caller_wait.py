"""Tests of the estimated wait of retrying callers."""

import types

from chervilarch import caller_wait, routed, routed_filters


def test_a_shorter_allowed_time_shows_a_retry():
    estimator = caller_wait.WaitEstimator()
    assert estimator.observe("r1", 8.0, 0.0) == 0.0
    assert estimator.observe("r1", 6.9, 1.0) == 0.0
    assert estimator.observe("r1", 3.5, 4.0) == 4.5
    assert estimator.observe("r2", 3.5, 4.0) == 0.0


def test_the_longest_time_is_forgotten_after_two_windows():
    estimator = caller_wait.WaitEstimator()
    estimator.observe("r1", 8.0, 0.0)
    assert estimator.observe("r1", 3.0, 31.0) == 5.0
    assert estimator.observe("r1", 3.0, 62.0) == 0.0


def test_a_long_silence_resets_the_estimate():
    estimator = caller_wait.WaitEstimator()
    estimator.observe("r1", 8.0, 0.0)
    assert estimator.observe("r1", 3.0, 100.0) == 0.0


def test_the_objective_counts_from_the_first_attempt():
    now = 100.0
    ctrl = types.SimpleNamespace(
        caller_wait=caller_wait.WaitEstimator(),
        configuration=types.SimpleNamespace(applied_at=now),
        endpoints=types.SimpleNamespace(
            topic_follower=types.SimpleNamespace(read_at=now)
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
            prompt=routed.Prompt(),
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
