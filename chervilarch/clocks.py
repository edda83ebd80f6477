"""Clocks, passed in so that tests can control the time."""

import time
from typing import NamedTuple, Protocol

_NANOSECONDS = 1_000_000_000


class Clock(Protocol):
    """The source of time of all components."""

    def wall(self) -> float:
        """Returns seconds since the Unix epoch."""

    def monotonic(self) -> float:
        """Returns seconds that also count while the host is suspended."""


class SystemClock(NamedTuple):
    """The clocks of the operating system."""

    def wall(self) -> float:
        """Returns seconds since the Unix epoch."""
        return time.time()

    def monotonic(self) -> float:
        """Returns seconds of CLOCK_BOOTTIME, which counts suspensions."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) / _NANOSECONDS


class ManualClock:
    """A clock for tests, which moves only by `advance`."""

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
