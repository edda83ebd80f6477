"""The steps that a router records of its requests."""

import pytest

from chervilarch import clocks, explanations


@pytest.fixture
def recent():
    return explanations.Explanations()


def add(recent, number, steps):
    trace = explanations.Trace(f"r{number}", clocks.ManualClock())
    recent.add(trace)
    for _ in range(steps):
        trace.add_step("no slot", stage="encode", waited_ms=1.0)
    return trace


def kept_steps(recent, count):
    found = [recent.find(f"r{number}", None) for number in range(count)]
    return [len(trace.steps()) for trace in found if trace is not None]


def test_requests_of_many_steps_do_not_add_up_without_a_bound(recent):
    for number in range(2000):
        add(recent, number, 500)
    kept = kept_steps(recent, 2000)
    assert kept == [200] * 500
    assert recent.find("r1999", None) is not None


def test_as_many_requests_of_few_steps_are_kept_as_before(recent):
    for number in range(6000):
        add(recent, number, 10)
    assert kept_steps(recent, 6000) == [10] * explanations.MAX_REQUESTS


def test_a_dropped_request_that_goes_on_takes_no_room(recent):
    dropped = add(recent, 0, 1)
    for number in range(1, 6000):
        add(recent, number, 1)
    for _ in range(100):
        dropped.add_step("late")
    assert recent.find("r0", None) is None
    assert recent._total_steps == explanations.MAX_REQUESTS
