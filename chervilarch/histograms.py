"""Named HDR histograms of durations, for `chervilarch-status`."""

import collections
import threading
from typing import TypedDict

from hdrh.histogram import HdrHistogram

_LOWEST_US = 100
_HIGHEST_US = 600 * 1_000_000
_DIGITS = 2
_US_PER_S = 1_000_000
_US_PER_MS = 1000
# When there are more names, the least recently used one is dropped.
MAX_HISTOGRAMS = 1024


class Summary(TypedDict):
    """Percentiles of one histogram, in milliseconds."""

    count: int
    p50_ms: float
    p95_ms: float
    p99_ms: float
    max_ms: float


class Histograms:
    """A bounded set of named histograms."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._by_name: collections.OrderedDict[str, HdrHistogram] = (
            collections.OrderedDict()
        )

    def record(self, name: str, seconds: float) -> None:
        """Adds a duration to a named histogram."""
        value = min(_HIGHEST_US, max(_LOWEST_US, int(seconds * _US_PER_S)))
        with self._lock:
            histogram = self._by_name.get(name)
            if histogram is None:
                histogram = HdrHistogram(_LOWEST_US, _HIGHEST_US, _DIGITS)
                self._by_name[name] = histogram
            self._by_name.move_to_end(name)
            histogram.record_value(value)
            if len(self._by_name) > MAX_HISTOGRAMS:
                self._by_name.popitem(last=False)

    def summaries(self) -> dict[str, Summary]:
        """Returns the percentiles of every histogram."""
        with self._lock:
            return {
                name: _summary(histogram)
                for name, histogram in sorted(self._by_name.items())
            }


def _summary(histogram: HdrHistogram) -> Summary:
    p50, p95, p99 = (
        histogram.get_value_at_percentile(percentile) / _US_PER_MS
        for percentile in (50, 95, 99)
    )
    return Summary(
        count=histogram.get_total_count(),
        p50_ms=p50,
        p95_ms=p95,
        p99_ms=p99,
        max_ms=histogram.get_max_value() / _US_PER_MS,
    )
