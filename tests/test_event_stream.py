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
        relayed += splitter.feed(_EVENTS[start : start + size])
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
