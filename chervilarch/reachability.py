"""Finds out whether an address accepts connections."""

import enum
import errno
import selectors
import socket

from chervilarch import loop as loops
from chervilarch import tasks
from chervilarch.futures import Future


class Reachability(enum.Enum):
    """Result of a check."""

    ACCEPTS = "accepts connections"
    REFUSES = "refuses connections"
    UNKNOWN = "no reply"


def check(
    loop: loops.Loop, address: str, timeout_s: float
) -> "Future[Reachability]":
    """Connects to "ip:port" and closes the connection at once."""
    fut: Future[Reachability] = Future()
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)

    def end(result: Reachability) -> None:
        timer.cancel()
        loop.unwatch(sock)
        sock.close()
        tasks.resolve(fut, result)

    def on_ready(events: int) -> None:
        code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        end(_result_of(code))

    timer = loop.call_later(timeout_s, lambda: end(Reachability.UNKNOWN))
    host, port = address.rsplit(":", 1)
    code = sock.connect_ex((host, int(port)))
    if code == errno.EINPROGRESS:
        loop.watch(sock, selectors.EVENT_WRITE, on_ready)
    else:
        end(_result_of(code))
    return fut


def _result_of(code: int) -> Reachability:
    if code == 0:
        return Reachability.ACCEPTS
    if code in (errno.ECONNREFUSED, errno.ECONNRESET):
        return Reachability.REFUSES
    return Reachability.UNKNOWN
