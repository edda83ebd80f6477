"""Decides whether a request can be answered before its deadline.

Only the router uses it.
"""

from collections.abc import Sequence
from typing import NamedTuple

# Factor on expected waits: endpoints are never all busy at once, so a backlog
# takes longer to clear.
WAIT_MARGIN = 1.25


class StageEstimate(NamedTuple):
    """Expected times and queue of one stage.

    Attributes:
        units: size of the work in work units.
        unit_s: mean time of a work unit, 0 while unknown.
        base_s: least time of a work unit, 0 while unknown.
        backlog: attempts ahead of this one beyond `limit`.
        limit: attempts that run at a time.
    """

    units: float
    unit_s: float
    base_s: float
    backlog: float
    limit: float


def expected_s(estimates: Sequence[StageEstimate]) -> float:
    """Returns the expected time of a chain of stages, waits included."""
    return sum(
        _busy_service_s(estimate) + wait_s(estimate) for estimate in estimates
    )


def service_s(estimate: StageEstimate) -> float:
    """Returns the least time of a stage once it runs."""
    return estimate.units * estimate.base_s


def wait_s(estimate: StageEstimate) -> float:
    """Returns the expected wait before a stage runs."""
    if estimate.limit <= 0:
        return 0.0
    ideal_s = max(0.0, estimate.backlog) * estimate.unit_s / estimate.limit
    return WAIT_MARGIN * ideal_s


def _busy_service_s(estimate: StageEstimate) -> float:
    """Returns the time of a stage; after a backlog any endpoint may run it."""
    return estimate.units * (
        estimate.unit_s if estimate.backlog > 0 else estimate.base_s
    )


def can_finish(estimates: Sequence[StageEstimate], remaining_s: float) -> bool:
    """Returns whether a request can be expected to finish in time."""
    return expected_s(estimates) <= remaining_s
