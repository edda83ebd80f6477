"""Clocks that are passed in, so that decisions run the same under a test."""

import time
from typing import NamedTuple, Protocol

_NANOSECONDS = 1_000_000_000


class Clock(Protocol):
    """Source of time for every component."""

    def wall(self) -> float:
        """Returns seconds since the Unix epoch."""

    def monotonic(self) -> float:
        """Returns seconds that also count while the host is suspended."""


class SystemClock(NamedTuple):
    """The host's own clocks."""

    def wall(self) -> float:
        """Returns seconds since the Unix epoch."""
        return time.time()

    def monotonic(self) -> float:
        """Returns seconds of CLOCK_BOOTTIME, which counts suspensions."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) / _NANOSECONDS


class ManualClock:
    """A clock that moves only when told to."""

    def __init__(self, now: float = 1_000_000.0):
        self.now = now

    def wall(self) -> float:
        """Returns the set time in seconds."""
        return self.now

    def monotonic(self) -> float:
        """Returns the set time in seconds."""
        return self.now

    def advance(self, seconds: float) -> None:
        """Moves the clock forward."""
        self.now += seconds
