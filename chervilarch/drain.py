"""Counts requests in flight.

Only the router uses it; the gateway has `serving.ServingState`.
"""

import contextlib
import threading
from collections.abc import Iterator

from chervilarch import stop_admission


class RequestTracker:
    """Counts requests in flight and holds whether the process is draining.

    Attributes:
        stop_times: `stop_admission.NO_STOP` before it drains.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._in_flight = 0
        self._draining = False
        self.stop_times = stop_admission.NO_STOP

    @contextlib.contextmanager
    def track(self) -> Iterator[None]:
        """Counts a request as in flight while the context is open."""
        with self._lock:
            self._in_flight += 1
        try:
            yield
        finally:
            with self._lock:
                self._in_flight -= 1

    def in_flight(self) -> int:
        """Returns the number of requests in flight."""
        with self._lock:
            return self._in_flight

    def is_draining(self) -> bool:
        """Returns whether a shutdown has begun."""
        return self._draining

    def begin_drain(self, stop_times: stop_admission.StopTimes) -> None:
        """Marks this process as draining."""
        self.stop_times = stop_times
        self._draining = True
