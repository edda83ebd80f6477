"""Decides which requests a host that stops still takes. Does no I/O.

A refusal at once costs a caller the time until another host serves it. A
request that is cut off at the end of the grace period costs it all the time
until then, and leaves it in doubt whether one that may run only once has run.

A deadline before that end is certain; how long past answers took is not, as a
few requests take many times longer than the rest.
"""

import collections
import enum
from collections.abc import Callable
from typing import NamedTuple

from chervilarch import outcomes, routed

# Times that are kept of each route and step.
_KEPT_TIMES = 32
# Strict requests must have this multiple of the usual times.
_STRICT_MARGIN = 1.5
# A request that is more likely to be cut off is refused whatever that costs.
_MAX_CUT_SHARE = 0.5
# Wait of a caller whose next attempt reaches another host.
RETRY_S = 0.1


class Step(enum.Enum):
    """From when on the time to the end of an answer counts."""

    REQUEST = "request"
    CALL = "final call"


class StopTimes(NamedTuple):
    """When a stop's periods end, in monotonic seconds.

    Strict requests are streams and requests that may run only once: cutting
    them off leaves callers without an answer or in doubt.

    Attributes:
        notice_ends_at: when the balancer has noticed the stop. Later requests
            come on open connections only, and their retries reach other hosts.
        ends_at: when requests in flight are cut off.
    """

    notice_ends_at: float
    ends_at: float

    def is_certain(self, deadline_at: float) -> bool:
        """Returns whether a request with this deadline won't be cut off."""
        return deadline_at <= self.ends_at

    def allows_estimate(self, is_strict: bool, taken_at: float) -> bool:
        """Returns whether a request may be taken by how long others took."""
        return not is_strict or taken_at <= self.notice_ends_at

    def has_time(self, is_strict: bool, expected_s: float, now: float) -> bool:
        """Returns whether a request that takes this long would end in time."""
        margin = _STRICT_MARGIN if is_strict else 1.0
        return margin * expected_s <= self.ends_at - now


# The times of a host that isn't asked to stop.
NO_STOP = StopTimes(float("inf"), float("inf"))


def build_refusal(retry_s: float) -> outcomes.NotRun:
    """Returns the outcome of a request that a stop might cut off.

    Args:
        retry_s: time until another host serves the caller, in seconds.
    """
    return outcomes.NotRun(
        outcomes.Reason.SHUTTING_DOWN,
        "this host stops before the request can end",
        "send the request to another host",
        retry_s,
    )


class Forecast(NamedTuple):
    """What a stopping host knows of when a request will end.

    Attributes:
        left_s: time until requests in flight are cut off, in seconds.
        deadline_s: time until the request's deadline, in seconds.
        known_times: how many answers of its route and step are known.
        longest_s: the longest of them in seconds, 0 for none.
        allows_estimate: whether they count.
        cut_share: share of them that would be cut off, with the margin; 1 if
            there are none or they don't count.
    """

    left_s: float
    deadline_s: float
    known_times: int
    longest_s: float
    allows_estimate: bool
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
        self._stop = NO_STOP
        self._times: dict[tuple[str, Step], collections.deque[float]] = (
            collections.defaultdict(
                lambda: collections.deque(maxlen=_KEPT_TIMES)
            )
        )

    def begin(self, notice_ends_at: float, ends_at: float) -> None:
        """Begins a stop; `StopTimes` says what the arguments are."""
        self._stop = StopTimes(notice_ends_at, ends_at)

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
        if self._stop is NO_STOP:
            return None
        is_strict = req.route.is_stream or not req.is_retryable()
        # A request whose stages have run was taken before.
        allows_estimate = step is Step.CALL or self._stop.allows_estimate(
            is_strict, now
        )
        times = self._times.get((req.route.name, step), ())
        cut_share = 1.0
        if times and allows_estimate:
            cut_share = sum(
                not self._stop.has_time(is_strict, time_s, now)
                for time_s in times
            ) / len(times)
        return Forecast(
            self._stop.ends_at - now,
            req.deadline_at - now,
            len(times),
            max(times, default=0.0),
            allows_estimate,
            cut_share,
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
        forecast = self.forecast(req, step, now)
        if forecast is None or self._stop.is_certain(req.deadline_at):
            return None
        retry_s = RETRY_S
        if not self.has_neighbour():
            retry_s = max(RETRY_S, self._stop.notice_ends_at - now)
        if not forecast.cut_share:
            return None
        if (
            req.is_retryable()
            and forecast.cut_share <= _MAX_CUT_SHARE
            and forecast.cut_share * forecast.left_s <= retry_s
        ):
            return None
        return build_refusal(retry_s)
