"""How long callers of each route wait, to know those that come again.

A caller that was refused comes again with what is left of its time. Its
answer's objective counts from its first attempt.
"""

# The longest time allowed is forgotten after one to two such windows.
_WINDOW_S = 30.0
# First attempts of one route's callers differ by less than this part of the
# longest time allowed; 0.15 was measured.
_FIRST_SHARE = 0.75


class WaitEstimator:
    """The longest time that callers of each route allowed lately."""

    def __init__(self):
        self._present: dict[str, float] = {}
        self._former: dict[str, float] = {}
        self._ends_at = float("-inf")

    def note(self, route: str, allowed_s: float, now: float) -> float:
        """Notes the time that a caller allows.

        Args:
            route: name of the route.
            allowed_s: the time in seconds.
            now: monotonic time in seconds.

        Returns:
            How long the caller has probably waited already, in seconds.
        """
        if now >= self._ends_at:
            is_recent = now < self._ends_at + _WINDOW_S
            self._former = self._present if is_recent else {}
            self._present = {}
            self._ends_at = now + _WINDOW_S
        present = max(allowed_s, self._present.get(route, 0.0))
        self._present[route] = present
        longest = max(present, self._former.get(route, 0.0))
        if allowed_s >= _FIRST_SHARE * longest:
            return 0.0
        return longest - allowed_s
