"""What goes in and out of transfers: requests, replies and streams."""

import collections
import enum
import threading
from collections.abc import Callable
from typing import NamedTuple

STREAM_BUFFER_BYTES = 256 * 1024


class FailureKind(enum.Enum):
    """Why a transfer gave no whole reply."""

    REFUSED = "refused"
    TIMED_OUT = "timed_out"
    BROKEN = "broken"
    TOO_LARGE = "too_large"
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
        target: path and query to send exactly so, instead of the URL's.
    """

    method: str
    url: str
    body: bytes = b""
    headers: tuple[str, ...] = ()
    timeout_s: float = 10.0
    fresh: bool = False
    target: str = ""


class Reply(NamedTuple):
    """A whole HTTP reply."""

    status: int
    headers: dict[str, str]
    body: bytes
    elapsed_s: float


class TransferFailure(NamedTuple):
    """A transfer without a whole reply.

    Attributes:
        kind: what went wrong.
        detail: libcurl's words.
        sent: whether any byte of the request may have left this host.
    """

    kind: FailureKind
    detail: str
    sent: bool


TransferResult = Reply | TransferFailure


class ByteStream:
    """Bytes of a streamed reply, handed over with back pressure."""

    def __init__(self, resume: Callable[[], None], cancel: Callable[[], None]):
        self._cond = threading.Condition()
        self._chunks: collections.deque[bytes] = collections.deque()
        self._size = 0
        self._paused = False
        self._resume = resume
        self._cancel = cancel
        self.result: TransferResult | None = None
        self.status = 0

    def offer(self, chunk: bytes) -> bool:
        """Takes a chunk from the transfer thread; False asks it to pause."""
        with self._cond:
            if self._size >= STREAM_BUFFER_BYTES:
                self._paused = True
                return False
            self._chunks.append(chunk)
            self._size += len(chunk)
            self._cond.notify()
            return True

    def finish(self, result: TransferResult) -> None:
        """Marks the end of the transfer."""
        with self._cond:
            self.result = result
            self._cond.notify()

    def read(self, timeout_s: float) -> bytes | None:
        """Returns all bytes at hand, b"" at the end, None after a timeout."""
        with self._cond:
            self._cond.wait_for(
                lambda: self._chunks or self.result is not None, timeout_s
            )
            data = b"".join(self._chunks)
            self._chunks.clear()
            self._size = 0
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
