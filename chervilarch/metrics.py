"""The router's counters and timers, for statsd and `chervilarch-status`.

The gateway's metrics are in `telemetry`.
"""

import collections
import threading

import statsd


class Metrics:
    """Counts events in memory and sends them to statsd if it has an address."""

    def __init__(self, address: str | None, prefix: str = "chervilarch"):
        self._lock = threading.Lock()
        self._counts: collections.Counter[str] = collections.Counter()
        self._client = None
        if address:
            host, port = address.rsplit(":", 1)
            self._client = statsd.StatsClient(host, int(port), prefix=prefix)

    def count(self, name: str, amount: int = 1) -> None:
        """Adds to a counter."""
        with self._lock:
            self._counts[name] += amount
        if self._client is not None:
            self._client.incr(name, amount)

    def time(self, name: str, seconds: float) -> None:
        """Records a duration."""
        if self._client is not None:
            self._client.timing(name, seconds * 1000)

    def counts(self) -> dict[str, int]:
        """Returns a copy of all counters."""
        with self._lock:
            return dict(self._counts)
