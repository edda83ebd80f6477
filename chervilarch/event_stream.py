"""Server-sent events: an incremental parser and an encoder."""

import re
from typing import NamedTuple

# Bounds the bytes that are kept of an incomplete event.
MAX_EVENT_BYTES = 1024 * 1024
# Bounds the comments and blank lines between two events.
MAX_IDLE_BYTES = 64 * 1024
_EVENT_END = b"\n\n"
# Lines may end with CRLF too.
_EVENT_ENDS = (_EVENT_END, b"\n\r\n")
_FIELD = re.compile(rb"^[^:\r\n]", re.MULTILINE)


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


def _end_of_events(data: bytes | bytearray, start: int) -> int:
    """Returns where the last event ends, 0 if none does after `start`."""
    found = [(data.rfind(end, start), len(end)) for end in _EVENT_ENDS]
    return max((at + size for at, size in found if at >= 0), default=0)


def _is_whole(chunk: bytes) -> bool:
    """Returns whether a chunk begins with a field and ends with an event."""
    return chunk[:1] not in b":\r\n" and chunk.endswith(_EVENT_ENDS)


class Complete(NamedTuple):
    """Bytes of a stream that can be passed on.

    Attributes:
        data: whole events, comments and blank lines.
        has_event: whether an event is among them.
    """

    data: bytes
    has_event: bool


class EventSplitter:
    """Splits a stream's bytes into complete events.

    Comments and blank lines are no events. Those before the first event of an
    attempt are kept until it is complete, later ones are passed on.

    Attributes:
        last_id: id of the last complete event or of the resumed one, "" for
            none.
    """

    def __init__(self) -> None:
        self.last_id = ""
        self._begin()

    def _begin(self) -> None:
        self._partial = bytearray()
        self._has_event = False
        # Where the first field of an event begins, -1 if there is none in the
        # part that was searched.
        self._field_at = -1
        self._searched_bytes = 0
        # Bytes that were passed on since the last event.
        self._idle_bytes = 0

    def feed(self, chunk: bytes) -> Complete:
        """Returns what a chunk completes."""
        if not self._partial and _is_whole(chunk):
            return self._complete_events(chunk)
        # The end may have begun in the chunk before.
        start = max(0, len(self._partial) - 2)
        self._partial += chunk
        end = _end_of_events(self._partial, start)
        self._find_field()
        has_event = 0 <= self._field_at < end
        if not end or not (has_event or self._has_event):
            return Complete(b"", False)
        data = bytes(self._partial[:end])
        del self._partial[:end]
        if has_event:
            self._field_at = -1
            self._searched_bytes = 0
            self._find_field()
            return self._complete_events(data)
        self._idle_bytes += end
        self._field_at = max(-1, self._field_at - end)
        self._searched_bytes -= end
        return Complete(data, False)

    def _complete_events(self, data: bytes) -> Complete:
        self._has_event = True
        self._idle_bytes = 0
        self._take_id(data)
        return Complete(data, True)

    def _find_field(self) -> None:
        if self._field_at >= 0:
            return
        found = _FIELD.search(self._partial, self._searched_bytes)
        self._field_at = found.start() if found else -1
        self._searched_bytes = len(self._partial)

    def _take_id(self, data: bytes) -> None:
        start = data.rfind(b"\nid:") + 1
        if data.startswith(b"id:", start):
            line = data[start : data.index(b"\n", start)]
            self.last_id = line[3:].strip().decode("latin-1")

    def kept_bytes(self) -> int:
        """Returns the size of what isn't complete."""
        return len(self._partial)

    def fault(self) -> str:
        """Returns which bound the stream exceeds, or ""."""
        if self._field_at >= 0:
            is_over = len(self._partial) > MAX_EVENT_BYTES
            return "an event is too long" if is_over else ""
        is_over = self._idle_bytes + len(self._partial) > MAX_IDLE_BYTES
        return "too many bytes without an event" if is_over else ""

    def end_attempt(self) -> bytes | None:
        """Prepares for the stream of the next attempt.

        Returns:
            Comments and blank lines after the last event, None if the stream
            has ended within an event.
        """
        rest = bytes(self._partial)
        line = rest[_end_of_events(rest, 0) :].strip()
        is_within = self._field_at >= 0 or bool(line)
        self._begin()
        return None if is_within else rest
