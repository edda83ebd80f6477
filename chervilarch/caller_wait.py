"""Estimates how long a retrying caller has waited before this request.

A caller that retries allows only the rest of its time, so a shorter time than
other callers of the route allow shows a retry.
"""

# The longest time allowed is forgotten after one to two windows.
_WINDOW_S = 30.0
# A request that allows at least this share of the longest time is the caller's
# first. The times of first requests on one route differ by up to 0.15 of the
# longest.
_FIRST_SHARE = 0.75


class WaitEstimator:
    """Tracks the longest time that callers of each route allowed lately."""

    def __init__(self):
        self._current: dict[str, float] = {}
        self._previous: dict[str, float] = {}
        self._ends_at = float("-inf")

    def observe(self, route: str, allowed_s: float, now: float) -> float:
        """Records the time that a caller allows.

        Args:
            route: name of the route.
            allowed_s: the time in seconds.
            now: monotonic time in seconds.

        Returns:
            Estimated time that the caller has waited so far, in seconds.
        """
        if now >= self._ends_at:
            is_recent = now < self._ends_at + _WINDOW_S
            self._previous = self._current if is_recent else {}
            self._current = {}
            self._ends_at = now + _WINDOW_S
        current = max(allowed_s, self._current.get(route, 0.0))
        self._current[route] = current
        longest = max(current, self._previous.get(route, 0.0))
        if allowed_s >= _FIRST_SHARE * longest:
            return 0.0
        return longest - allowed_s
