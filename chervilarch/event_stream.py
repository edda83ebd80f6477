"""Server-sent events: an incremental parser and an encoder."""

from typing import NamedTuple

# Bounds the bytes that are kept of an incomplete event.
MAX_EVENT_BYTES = 1024 * 1024
_EVENT_END = b"\n\n"


class Event(NamedTuple):
    """One server-sent event."""

    name: str
    data: bytes


class EventOverflow(NamedTuple):
    """An incomplete event that has grown over MAX_EVENT_BYTES."""

    reason: str


class EventParser:
    """Parses complete events from chunks of bytes."""

    def __init__(self) -> None:
        self._partial = bytearray()
        # May be the first half of a line's end.
        self._last_byte = b""

    def feed(self, chunk: bytes) -> list[Event] | EventOverflow:
        """Returns the events that a chunk completes."""
        chunk = self._last_byte + chunk
        self._last_byte = b"\r" if chunk.endswith(b"\r") else b""
        # The end may have begun in the chunk before.
        start = max(0, len(self._partial) - 1)
        self._partial += chunk.removesuffix(b"\r").replace(b"\r\n", b"\n")
        blocks: list[bytes] = []
        if self._partial.find(_EVENT_END, start) >= 0:
            *blocks, rest = bytes(self._partial).split(_EVENT_END)
            self._partial = bytearray(rest)
        if len(self._partial) > MAX_EVENT_BYTES:
            return EventOverflow("an event is longer than 1 MiB")
        return [_parse_event(block) for block in blocks if block]


def encode_event(name: str, data: bytes) -> bytes:
    """Returns the wire form of an event."""
    return b"event: %s\ndata: %s\n\n" % (name.encode(), data)


def _parse_event(block: bytes) -> Event:
    name = "message"
    data = []
    for line in block.split(b"\n"):
        field, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if field == b"data":
            data.append(value)
        elif field == b"event":
            name = value.decode("utf-8", "replace")
    return Event(name, b"\n".join(data))


class EventSplitter:
    """Splits a stream's bytes into complete events.

    Attributes:
        last_id: id of the last complete event or of the resumed one, "" for
            none.
    """

    def __init__(self) -> None:
        self._partial = bytearray()
        self.last_id = ""

    def feed(self, chunk: bytes) -> bytes:
        """Returns the bytes of the events that a chunk completes."""
        # The end may have begun in the chunk before.
        start = max(0, len(self._partial) - 1)
        self._partial += chunk
        end = self._partial.rfind(_EVENT_END, start)
        if end < 0:
            return b""
        end += len(_EVENT_END)
        complete = bytes(self._partial[:end])
        del self._partial[:end]
        self._take_id(complete)
        return complete

    def _take_id(self, data: bytes) -> None:
        start = data.rfind(b"\nid:") + 1
        if data.startswith(b"id:", start):
            line = data[start : data.index(b"\n", start)]
            self.last_id = line[3:].strip().decode("latin-1")

    def is_overlong(self) -> bool:
        """Returns whether an incomplete event exceeds the bound."""
        return len(self._partial) > MAX_EVENT_BYTES

    def discard_partial(self) -> bool:
        """Drops an incomplete event; returns whether there was one."""
        had_partial = bool(self._partial.strip())
        self._partial = bytearray()
        return had_partial
