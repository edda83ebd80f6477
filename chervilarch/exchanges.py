"""Requests, replies and byte streams of outgoing HTTP transfers."""

import collections
import enum
import threading
from collections.abc import Callable
from typing import NamedTuple

STREAM_BUFFER_BYTES = 256 * 1024


class FailureKind(enum.Enum):
    """Why a transfer gave no complete reply."""

    REFUSED = "refused"
    TIMED_OUT = "timed_out"
    BROKEN = "broken"
    TOO_LARGE = "too_large"
    # No end of the reply was in sight when this side broke it off.
    ENDLESS = "endless"
    # The time ran out while this side left the reply unread for lack of room.
    NO_ROOM = "no_room"
    CANCELLED = "cancelled"


class Exchange(NamedTuple):
    """One HTTP request to be sent.

    Attributes:
        method: HTTP method.
        url: absolute URL whose host is an IP number.
        body: request body, empty for none.
        headers: header lines, "Name: value".
        timeout_s: bound on the whole transfer in seconds.
        fresh: whether a new connection is opened and closed afterwards, so
            that libcurl can't send the request a second time by itself.
        target: path and query to send as given, in place of the URL's; used by
            `http_client` only, not by `transfers`.
    """

    method: str
    url: str
    body: bytes = b""
    headers: tuple[str, ...] = ()
    timeout_s: float = 10.0
    fresh: bool = False
    target: str = ""


class Reply(NamedTuple):
    """A complete HTTP reply."""

    status: int
    headers: dict[str, str]
    body: bytes
    elapsed_s: float


class TransferFailure(NamedTuple):
    """A transfer without a complete reply.

    Attributes:
        kind: what went wrong.
        detail: libcurl's error message.
        sent: whether any byte of the request may have left this host.
    """

    kind: FailureKind
    detail: str
    sent: bool


TransferResult = Reply | TransferFailure


class ByteStream:
    """Buffer between a transfer and the reader of its streamed reply.

    The transfer pauses while the buffer is full.
    """

    def __init__(self, resume: Callable[[], None], cancel: Callable[[], None]):
        self._cond = threading.Condition()
        self._chunks: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        self._paused = False
        self._resume = resume
        self._cancel = cancel
        self.result: TransferResult | None = None
        self.status = 0

    def offer(self, chunk: bytes) -> bool:
        """Buffers a chunk; returns False if the transfer has to pause first."""
        with self._cond:
            if self._buffered_bytes >= STREAM_BUFFER_BYTES:
                self._paused = True
                return False
            self._chunks.append(chunk)
            self._buffered_bytes += len(chunk)
            self._cond.notify()
            return True

    def finish(self, result: TransferResult) -> None:
        """Records the result of the transfer, which ends the stream."""
        with self._cond:
            self.result = result
            self._cond.notify()

    def read(self, timeout_s: float) -> bytes | None:
        """Returns all buffered bytes, b"" at the end, None after a timeout."""
        with self._cond:
            self._cond.wait_for(
                lambda: self._chunks or self.result is not None, timeout_s
            )
            data = b"".join(self._chunks)
            self._chunks.clear()
            self._buffered_bytes = 0
            paused, self._paused = self._paused, False
            ended = self.result is not None
        if paused:
            self._resume()
        if data:
            return data
        return b"" if ended else None

    def cancel(self) -> None:
        """Stops the transfer and closes its connection."""
        self._cancel()
