"""Decides which requests a gateway that stops still takes. Does no I/O.

A refusal at once costs a caller the time until another host serves it. A
request that is cut off at the end of the grace period costs it all the time
until then, and leaves it in doubt whether one that may run only once has run.
"""

import collections
import enum
from collections.abc import Callable
from typing import NamedTuple

from chervilarch import outcomes, routed

# Times that are kept of each route and step.
_KEPT_TIMES = 32
# Streams and requests that may run only once must have this multiple of the
# usual times: cutting them off leaves callers without an answer or in doubt.
_STRICT_MARGIN = 1.5
# A request that is more likely to be cut off is refused whatever that costs.
_MAX_CUT_SHARE = 0.5
# Wait of a caller whose next attempt reaches another host.
RETRY_S = 0.1


class Step(enum.Enum):
    """From when on the time to the end of an answer counts."""

    REQUEST = "request"
    CALL = "final call"


class Forecast(NamedTuple):
    """What a stopping host knows of when a request will end.

    Attributes:
        left_s: time until requests in flight are cut off, in seconds.
        deadline_s: time until the request's deadline, in seconds.
        known_times: how many answers of its route and step the rest rests on.
        longest_s: the longest of them in seconds, 0 for none.
        cut_share: share of them that would be cut off, with the margin.
    """

    left_s: float
    deadline_s: float
    known_times: int
    longest_s: float
    cut_share: float


class StopAdmission:
    """The end of the grace period, and how long answers have taken.

    Attributes:
        has_neighbour: returns whether another host of this data centre serves.
            Without one, the balancer sends callers here until it has noticed
            the stop.
    """

    def __init__(self, has_neighbour: Callable[[], bool]):
        self.has_neighbour = has_neighbour
        self._notice_ends_at = 0.0
        self._ends_at: float | None = None
        self._times: dict[tuple[str, Step], collections.deque[float]] = (
            collections.defaultdict(
                lambda: collections.deque(maxlen=_KEPT_TIMES)
            )
        )

    def begin(self, notice_ends_at: float, ends_at: float) -> None:
        """Begins a stop.

        Args:
            notice_ends_at: monotonic time at which the balancer has noticed.
            ends_at: monotonic time at which requests in flight are cut off.
        """
        self._notice_ends_at = notice_ends_at
        self._ends_at = ends_at

    def record(self, route: str, step: Step, elapsed_s: float) -> None:
        """Records how long a route's complete answer took from a step on."""
        self._times[route, step].append(elapsed_s)

    def forecast(
        self, req: routed.RoutedRequest, step: Step, now: float
    ) -> Forecast | None:
        """Returns what is known of a request, or None if no stop has begun.

        Args:
            req: a request of which nothing was sent yet.
            step: what comes next.
            now: monotonic time in seconds.
        """
        if self._ends_at is None:
            return None
        left_s = self._ends_at - now
        times = self._times.get((req.route.name, step), ())
        return Forecast(
            left_s,
            req.deadline_at - now,
            len(times),
            max(times, default=0.0),
            self._cut_share(req, step, left_s),
        )

    def refusal(
        self, req: routed.RoutedRequest, step: Step, now: float
    ) -> outcomes.NotRun | None:
        """Returns the refusal of a request that should not be taken.

        Args:
            req: a request of which nothing was sent yet.
            step: what comes next.
            now: monotonic time in seconds.
        """
        if self._ends_at is None or req.deadline_at <= self._ends_at:
            return None
        left_s = self._ends_at - now
        retry_s = RETRY_S
        if not self.has_neighbour():
            retry_s = max(RETRY_S, self._notice_ends_at - now)
        cut_share = self._cut_share(req, step, left_s)
        if not cut_share:
            return None
        if (
            req.is_retryable()
            and cut_share <= _MAX_CUT_SHARE
            and cut_share * left_s <= retry_s
        ):
            return None
        return outcomes.NotRun(
            outcomes.Reason.SHUTTING_DOWN,
            "this host stops before the request can end",
            "send the request to another host",
            retry_s,
        )

    def _cut_share(
        self, req: routed.RoutedRequest, step: Step, left_s: float
    ) -> float:
        """Returns the share of such requests that would be cut off."""
        times = self._times.get((req.route.name, step))
        if not times:
            return 1.0
        is_strict = req.route.is_stream or not req.is_retryable()
        margin = _STRICT_MARGIN if is_strict else 1.0
        return sum(margin * time_s > left_s for time_s in times) / len(times)
