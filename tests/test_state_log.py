"""Tests of structured log lines: one schema, rate limit, no blocking."""

import json
import logging
import os

import pytest

from chervilarch import state_log


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    for fd in (reader, writer):
        try:
            os.close(fd)
        except OSError:
            pass  # Already closed by the test.


class Clock:
    """A clock that the test sets, in seconds."""

    now = 0.0

    def __call__(self):
        return self.now


@pytest.fixture
def handler(pipe):
    clock = Clock()
    bounded = state_log.RateLimitedHandler(pipe[1], clock, max_lines_per_s=10)
    bounded.clock = clock
    bounded.counted = {}
    bounded.on_dropped = bounded.counted.__setitem__
    logger = logging.getLogger("chervilarch")
    before = logger.handlers[:]
    state_log.set_up_rate_limited(bounded)
    yield bounded
    logger.handlers[:] = before


def lines(reader):
    return [json.loads(line) for line in os.read(reader, 1 << 20).splitlines()]


def test_all_lines_start_with_the_same_fields(pipe, handler):
    state_log.log_change("endpoint listed", endpoint="e1")
    state_log.log_decision("request sent", request_id="r1")
    state_log.log_fault("store unreachable", reason="down")
    got = lines(pipe[0])
    assert [line["event"] for line in got] == [
        "endpoint listed",
        "request sent",
        "store unreachable",
    ]
    for line in got:
        assert list(line)[:3] == ["time", "level", "event"]
    assert got[1]["request_id"] == "r1" and got[2]["level"] == "warning"


def test_exception_is_logged_with_its_traceback(pipe, handler):
    try:
        raise ValueError("broken")
    except ValueError as exc:
        state_log.log_exception("task failed", exc)
    line = lines(pipe[0])[0]
    assert "ValueError: broken" in line["exc_info"]


def test_limits_lines_and_counts_dropped_ones(pipe, handler):
    for _ in range(50):
        state_log.log_decision("request sent", request_id="r")
    assert len(lines(pipe[0])) == 6
    handler.clock.now = 1.0
    state_log.log_decision("request sent", request_id="r")
    report, _ = lines(pipe[0])
    assert report["event"] == "lines left out"
    assert report["lines"] == {"request sent": 44}
    assert handler.counted == {"request sent": 44}


def test_problems_and_changes_have_a_reserved_share(pipe, handler):
    for _ in range(50):
        state_log.log_decision("request sent")
    state_log.log_decision("request ended", is_problem=True)
    state_log.log_change("configuration in force")
    events = [line["event"] for line in lines(pipe[0])]
    assert events[-2:] == ["request ended", "configuration in force"]


def test_slow_reader_loses_lines_and_does_not_block(pipe, handler):
    handler._max_lines = 10**6
    for _ in range(5000):
        state_log.log_change("endpoint listed", filler="x" * 100)
    assert handler._dropped["endpoint listed"] > 0
    first = os.read(pipe[0], 1 << 20)
    handler.clock.now = 1.0
    state_log.log_change("endpoint listed")
    rest = os.read(pipe[0], 1 << 20)
    for line in (first + rest).splitlines():
        json.loads(line)


def test_closed_output_only_drops_lines(pipe, handler):
    os.close(pipe[1])
    state_log.log_change("endpoint listed")
    assert handler._dropped["endpoint listed"] == 1
