"""Which lost attempts count as crashes of their engines."""

import random
import socket

import loop_helpers as lh
import pytest

from chervilarch import (
    advisories,
    attempts,
    crash_evidence,
    endpoint_state,
    placement,
    prompt_guard,
    telemetry,
)
from chervilarch.stage_coordination import Peer

_BAD = frozenset(("p1", "bad"))


@pytest.fixture
def loop_and_clock():
    return lh.new_loop()


@pytest.fixture
def guard(loop_and_clock):
    loop, _ = loop_and_clock
    own = Peer("h1", ("127.0.0.1", lh.free_ports(1)))
    rng = random.Random(1)
    exchange = advisories.AdvisoryExchange(
        loop, own, lambda: [], b"k" * 16, rng
    )
    yield prompt_guard.PromptGuard(
        loop, exchange, telemetry.Telemetry(), rng, lh.FakeStore()
    )
    exchange.close()


def send(guard, name, address="127.0.0.1:1"):
    """Records a prompt that was sent to an engine."""
    run = endpoint_state.EndpointRun(name, 1)
    slot = endpoint_state.Slot(1, run, endpoint_state.Work("p"), 0.0)
    lease = placement.Lease(lh.listing(name, address=address), slot)
    guard.record_send(lease, _BAD)
    return lease


def list_endpoints(guard, *names):
    guard.set_endpoints({"p": {name: lh.listing(name) for name in names}})


def crashes(guard):
    return {report.endpoint for report in guard._evidence._reports.values()}


def test_an_engine_that_falls_silent_counts_once_it_leaves_the_list(guard):
    for name in ("e1", "e2"):
        lease = send(guard, name)
        guard.record_end(lease, attempts.FailureCause.LATE)
    list_endpoints(guard, "e1", "e2")
    assert crashes(guard) == set()
    list_endpoints(guard, "e2")
    assert crashes(guard) == {"e1"}


def test_an_engine_that_left_long_after_a_lost_attempt_does_not_count(
    guard, loop_and_clock
):
    lease = send(guard, "e1")
    guard.record_end(lease, attempts.FailureCause.LATE)
    loop_and_clock[1].advance(60.0)
    list_endpoints(guard)
    assert crashes(guard) == set()


def test_a_lost_attempt_at_an_engine_that_accepts_connections_does_not_count(
    guard, loop_and_clock
):
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        lease = send(guard, "e1", address)
        guard.record_end(lease, attempts.FailureCause.LOST)
        checked = guard.crash_check(lease)
        lh.run_until(loop_and_clock[0], checked.done)
    assert crashes(guard) == set()


def test_a_lost_attempt_at_an_engine_that_refuses_connections_counts(
    guard, loop_and_clock
):
    lease = send(guard, "e1", f"127.0.0.1:{lh.free_ports(1)}")
    guard.record_end(lease, attempts.FailureCause.LOST)
    checked = guard.crash_check(lease)
    lh.run_until(loop_and_clock[0], checked.done)
    assert crashes(guard) == {"e1"}


def test_prompts_that_had_an_event_are_not_blamed(guard, loop_and_clock):
    lease = send(guard, "e1", f"127.0.0.1:{lh.free_ports(1)}")
    guard.record_start(lease)
    guard.record_end(lease, attempts.FailureCause.LOST)
    checked = guard.crash_check(lease)
    lh.run_until(loop_and_clock[0], checked.done)
    list_endpoints(guard)
    assert crashes(guard) == set()


def test_the_record_of_lost_attempts_is_bounded(guard):
    for number in range(1000):
        for _ in range(40):
            lease = send(guard, f"e{number}")
            guard.record_end(lease, attempts.FailureCause.LATE)
    assert len(guard._lost) <= 256
    assert all(len(prompts) <= 32 for prompts in guard._lost.values())
    assert guard._waiting == {}


def test_the_record_of_told_starts_is_bounded(guard, loop_and_clock):
    for number in range(5000):
        loop_and_clock[1].advance(0.01)
        now = loop_and_clock[0].now()
        guard.merge([crash_evidence.PartStart(f"p{number}", now)])
    assert len(guard._told_at) <= 1024
