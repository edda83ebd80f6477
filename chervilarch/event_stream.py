"""Server-sent events: an incremental parser and an encoder."""

from typing import NamedTuple

# Bounds the bytes that a parser keeps of an incomplete event.
MAX_EVENT_BYTES = 1024 * 1024


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
        self._partial = b""

    def feed(self, chunk: bytes) -> list[Event] | EventOverflow:
        """Returns the events that a chunk completes."""
        data = (self._partial + chunk).replace(b"\r\n", b"\n")
        *blocks, self._partial = data.split(b"\n\n")
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
