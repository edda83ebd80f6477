"""A stream's stall counts from its last token, not from its last byte."""

import collections
import json
import types

import pytest

from chervilarch import attempts, budgets, clocks, stream_stage, tokens

_DEADLINE_S = 60.0


class DrippingStream:
    """Sends items at set times; a read waits on the manual clock."""

    result = None

    def __init__(self, clock, items):
        self._clock = clock
        self._items = collections.deque()
        due_at = clock.monotonic()
        for gap_s, data in items:
            due_at += gap_s
            self._items.append((due_at, data))

    def read(self, timeout_s):
        due_at, data = self._items[0]
        wait_s = max(0.0, due_at - self._clock.monotonic())
        if wait_s > timeout_s:
            self._clock.advance(timeout_s)
            return None
        self._clock.advance(wait_s)
        self._items.popleft()
        return data


def event(name, **data):
    body = json.dumps({"attempt_id": "a", **data}).encode()
    return b"event: %s\ndata: %s\n\n" % (name.encode(), body)


def token(index):
    return event("token", index=index, text="t")


@pytest.fixture
def read():
    clock = clocks.ManualClock()
    started_at = clock.monotonic()
    pauses_s = []

    def remaining_s():
        # A pause of the process between two reads.
        clock.advance(pauses_s.pop(0) if pauses_s else 0.0)
        return started_at + _DEADLINE_S - clock.monotonic()

    run = types.SimpleNamespace(
        remaining_s=remaining_s,
        ctrl=types.SimpleNamespace(
            clock=clock,
            metrics=types.SimpleNamespace(count=lambda name: None),
        ),
        req=types.SimpleNamespace(
            emit=None,
            trace=types.SimpleNamespace(add_step=lambda *args, **fields: None),
        ),
    )
    sequence = tokens.TokenSequence()
    sequence.begin_attempt("a")

    def run_read(items, on_tokens=None, pauses=(), retries=10.0):
        """Reads a stream; `on_tokens` passes the time of a slow caller."""
        pauses_s.extend(pauses)
        run.ctrl.retry_budget = budgets.Budget(0.0, retries)
        if on_tokens is not None:
            run.req.emit = lambda texts, start: on_tokens(clock)
        stream = DrippingStream(clock, items)
        result = stream_stage._read(run, stream, sequence, "a")
        return result, clock.monotonic() - started_at

    return run_read


def drip(count):
    gap_s = stream_stage.MAX_SILENCE_S / 4
    return [(gap_s, b":\n")] * count


def test_a_stream_that_only_drips_bytes_counts_as_silent(read):
    result, elapsed_s = read([(0.1, token(0)), *drip(1000)])
    assert isinstance(result, attempts.Failure)
    assert result.cause is attempts.FailureCause.LOST
    assert elapsed_s <= 0.1 + stream_stage.MAX_SILENCE_S + 0.01


def test_bytes_before_the_first_token_do_not_extend_its_wait(read):
    result, elapsed_s = read(drip(1000))
    assert result.cause is attempts.FailureCause.LOST
    first_s = max(
        stream_stage.MIN_FIRST_TOKEN_S,
        stream_stage.FIRST_TOKEN_SHARE * _DEADLINE_S,
    )
    assert elapsed_s <= first_s + 0.01


def test_a_slow_stream_that_goes_on_is_not_cut(read):
    gap_s = 0.9 * stream_stage.MAX_SILENCE_S
    count = int(0.9 * _DEADLINE_S / gap_s)
    items = [(gap_s, token(index)) for index in range(count)]
    result, _ = read([*items, (gap_s, event("end", tokens=count))])
    assert isinstance(result, attempts.Success)


def test_a_caller_that_reads_slowly_does_not_cut_a_sound_stream(read):
    delay_s = 2 * stream_stage.MAX_SILENCE_S
    items = [(0.1, token(0)), (0.1, token(1)), (0.1, event("end", tokens=2))]
    result, _ = read(items, lambda clock: clock.advance(delay_s))
    assert isinstance(result, attempts.Success)


def test_bytes_that_never_pause_do_not_extend_the_wait(read):
    items = [(0.1, token(0)), *[(0.001, b":\n")] * 100_000]
    result, elapsed_s = read(items)
    assert result.cause is attempts.FailureCause.LOST
    assert elapsed_s <= 0.1 + stream_stage.MAX_SILENCE_S + 0.01


def test_a_pause_of_the_process_does_not_cut_a_stream_that_went_on(read):
    pause_s = 2 * stream_stage.MAX_SILENCE_S
    items = [(0.1, token(0)), (0.1, token(1)), (0.1, event("end", tokens=2))]
    # The first two looks at the deadline come before the first token.
    result, _ = read(items, pauses=(0.0, 0.0, pause_s))
    assert isinstance(result, attempts.Success)


def test_a_silent_endpoint_is_kept_while_no_retry_is_left(read):
    gap_s = 2.5 * stream_stage.MAX_SILENCE_S
    items = [(0.1, token(0)), (gap_s, token(1)), (0.1, event("end", tokens=2))]
    result, _ = read(items, retries=0.0)
    assert isinstance(result, attempts.Success)
