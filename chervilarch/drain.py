"""Counts requests in flight, and waits for them on shutdown."""

import contextlib
import threading
from collections.abc import Iterator


class Gate:
    """Every request passes through while it is served."""

    def __init__(self) -> None:
        self._cond = threading.Condition()
        self._in_flight = 0
        self._draining = False

    @contextlib.contextmanager
    def enter(self) -> Iterator[None]:
        """Counts a request for as long as it is served."""
        with self._cond:
            self._in_flight += 1
        try:
            yield
        finally:
            with self._cond:
                self._in_flight -= 1
                self._cond.notify_all()

    def in_flight(self) -> int:
        """Returns how many requests are being served."""
        with self._cond:
            return self._in_flight

    def is_draining(self) -> bool:
        """Tells whether a shutdown has begun."""
        return self._draining

    def begin_drain(self) -> None:
        """Turns readiness off; requests are still served."""
        self._draining = True

    def wait_idle(self) -> None:
        """Waits until no request is being served."""
        with self._cond:
            self._cond.wait_for(lambda: self._in_flight == 0)
