"""Structured lines: bounded, never waiting, one schema."""

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
            pass  # The test closed it.


class Clock:
    """Seconds that the test sets."""

    now = 0.0

    def __call__(self):
        return self.now


@pytest.fixture
def handler(pipe):
    clock = Clock()
    made = state_log.BoundedHandler(pipe[1], clock, max_lines_per_s=10)
    made.clock = clock
    made.counted = {}
    made.on_left_out = made.counted.__setitem__
    logger = logging.getLogger("chervilarch")
    before = logger.handlers[:]
    state_log.set_up_bounded(made)
    yield made
    logger.handlers[:] = before


def lines(reader):
    return [json.loads(line) for line in os.read(reader, 1 << 20).splitlines()]


def test_every_line_has_the_same_first_fields(pipe, handler):
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


def test_a_fault_of_the_program_brings_its_traceback(pipe, handler):
    try:
        raise ValueError("broken")
    except ValueError as exc:
        state_log.log_exception("task failed", exc)
    line = lines(pipe[0])[0]
    assert "ValueError: broken" in line["exc_info"]


def test_lines_are_bounded_and_what_is_left_out_is_counted(pipe, handler):
    for _ in range(50):
        state_log.log_decision("request sent", request_id="r")
    assert len(lines(pipe[0])) == 6
    handler.clock.now = 1.0
    state_log.log_decision("request sent", request_id="r")
    told, _ = lines(pipe[0])
    assert told["event"] == "lines left out"
    assert told["lines"] == {"request sent": 44}
    assert handler.counted == {"request sent": 44}


def test_problems_and_changes_go_before_ordinary_decisions(pipe, handler):
    for _ in range(50):
        state_log.log_decision("request sent")
    state_log.log_decision("request ended", is_problem=True)
    state_log.log_change("configuration in force")
    events = [line["event"] for line in lines(pipe[0])]
    assert events[-2:] == ["request ended", "configuration in force"]


def test_a_reader_that_stops_costs_lines_and_no_wait(pipe, handler):
    handler._max_lines = 10**6
    for _ in range(5000):
        state_log.log_change("endpoint listed", filler="x" * 100)
    assert handler._left_out["endpoint listed"] > 0
    first = os.read(pipe[0], 1 << 20)
    handler.clock.now = 1.0
    state_log.log_change("endpoint listed")
    rest = os.read(pipe[0], 1 << 20)
    for line in (first + rest).splitlines():
        json.loads(line)


def test_a_closed_output_costs_lines_only(pipe, handler):
    os.close(pipe[1])
    state_log.log_change("endpoint listed")
    assert handler._left_out["endpoint listed"] == 1
