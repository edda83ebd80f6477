"""Counts requests in flight, and waits for them on shutdown.

Only the router uses it; the gateway has `serving.ServingState`.
"""

import contextlib
import threading
from collections.abc import Iterator


class RequestTracker:
    """Counts requests in flight and holds whether the process is draining."""

    def __init__(self) -> None:
        self._cond = threading.Condition()
        self._in_flight = 0
        self._draining = False

    @contextlib.contextmanager
    def track(self) -> Iterator[None]:
        """Counts a request as in flight while the context is open."""
        with self._cond:
            self._in_flight += 1
        try:
            yield
        finally:
            with self._cond:
                self._in_flight -= 1
                self._cond.notify_all()

    def in_flight(self) -> int:
        """Returns the number of requests in flight."""
        with self._cond:
            return self._in_flight

    def is_draining(self) -> bool:
        """Returns whether a shutdown has begun."""
        return self._draining

    def begin_drain(self) -> None:
        """Marks this process as draining; requests are still served."""
        self._draining = True

    def wait_idle(self) -> None:
        """Waits until no request is in flight."""
        with self._cond:
            self._cond.wait_for(lambda: self._in_flight == 0)
