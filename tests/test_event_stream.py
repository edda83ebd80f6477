"""Splitting of event streams, at a cost that grows with their bytes only."""

import random
import tracemalloc

import pytest

from chervilarch import event_stream

_EVENTS = b"id: 1\ndata: a\n\n: c\n\nid: 2\ndata: b\n\n\n\nid: 3\ndata: c\n\n"


@pytest.fixture
def allocated():
    """Returns a function that adds up the memory that calls need."""
    tracemalloc.start()

    def measure(call, args):
        total = 0
        for arg in args:
            tracemalloc.reset_peak()
            before, _ = tracemalloc.get_traced_memory()
            call(arg)
            total += tracemalloc.get_traced_memory()[1] - before
        return total

    yield measure
    tracemalloc.stop()


@pytest.mark.parametrize(
    "create", [event_stream.EventParser, event_stream.EventSplitter]
)
def test_a_long_event_is_not_copied_with_each_chunk(allocated, create):
    parser = create()
    chunks = [b"x" * 1024] * 512
    assert allocated(parser.feed, chunks) < 8 * 512 * 1024


@pytest.mark.parametrize("size", [1, 2, 3, 7, 100])
def test_chunks_of_any_size_give_the_same_events(size):
    splitter = event_stream.EventSplitter()
    relayed, ids = b"", []
    for start in range(0, len(_EVENTS), size):
        relayed += splitter.feed(_EVENTS[start : start + size]).data
        ids.append(splitter.last_id)
    assert relayed == _EVENTS
    assert ids == sorted(ids) and ids[-1] == "3"


def test_a_line_end_in_two_chunks_ends_an_event_of_the_parser():
    rng = random.Random(1)
    data = b"event: a\r\ndata: 1\r\n\r\ndata: 2\n\ndata: 3\r\n\r\n"
    for _ in range(50):
        parser = event_stream.EventParser()
        cut = sorted(rng.sample(range(len(data)), 4))
        parts = zip([0, *cut], [*cut, len(data)], strict=True)
        events = [
            e for start, end in parts for e in parser.feed(data[start:end])
        ]
        assert [event.data for event in events] == [b"1", b"2", b"3"]


def feed_all(splitter, *chunks):
    parts = [splitter.feed(chunk) for chunk in chunks]
    return [(part.data, part.has_event) for part in parts]


def test_comments_are_kept_until_the_first_event_and_then_passed_on():
    splitter = event_stream.EventSplitter()
    assert feed_all(
        splitter, b": a\n", b"\n\n", b"data: b\n", b"\n: c\n\nda", b"ta: d"
    ) == [
        (b"", False),
        (b"", False),
        (b"", False),
        (b": a\n\n\ndata: b\n\n: c\n\n", True),
        (b"", False),
    ]
    assert splitter.end_attempt() is None
    assert feed_all(splitter, b"id: 1\n\n", b": e\n\n", b"\n\n\n", b"\n") == [
        (b"id: 1\n\n", True),
        (b": e\n\n", False),
        (b"\n\n\n", False),
        (b"", False),
    ]
    assert splitter.end_attempt() == b"\n"


@pytest.mark.parametrize("start", [b"", b"data: x\n\n"])
@pytest.mark.parametrize("idle", [b": c\n", b": c\n\n", b"\n", b": "])
def test_bytes_without_an_event_are_bounded(start, idle):
    splitter = event_stream.EventSplitter()
    splitter.feed(start)
    chunk = idle * 256
    for _ in range(event_stream.MAX_IDLE_BYTES // len(chunk)):
        splitter.feed(chunk)
        assert not splitter.fault()
    splitter.feed(chunk)
    assert splitter.fault() == "too many bytes without an event"


def test_an_event_ends_the_count_of_bytes_without_one():
    splitter = event_stream.EventSplitter()
    for _ in range(100):
        splitter.feed(b": c\n\n" * 1000)
        assert not splitter.fault()
        splitter.feed(b"data: x\n\n")
    splitter.feed(b"data: " + b"x" * event_stream.MAX_EVENT_BYTES)
    assert splitter.fault() == "an event is too long"


@pytest.mark.parametrize("size", [1, 2, 3, 100])
def test_events_whose_lines_end_with_crlf_are_passed_on(size):
    data = b": a\r\n\r\n" + b"id: 1\r\ndata: b\r\n\r\n" + b": c\r\n\r\n"
    splitter = event_stream.EventSplitter()
    parts = [data[i : i + size] for i in range(0, len(data), size)]
    passed = feed_all(splitter, *parts)
    assert b"".join(part for part, _ in passed) == data
    assert sum(has_event for _, has_event in passed) == 1
    assert splitter.last_id == "1" and splitter.end_attempt() == b""
