"""Pure admission: can a request be answered before its deadline?"""

from collections.abc import Sequence
from typing import NamedTuple

# Endpoints are never all busy at once, so a backlog takes longer to clear.
WAIT_MARGIN = 1.25


class StageEstimate(NamedTuple):
    """What one stage is expected to take.

    Attributes:
        units: size of the work.
        unit_s: mean time of a work unit, 0 while unknown.
        best_s: least time of a work unit, 0 while unknown.
        backlog: attempts before this one beyond what may run at a time.
        limit: attempts that run at a time.
    """

    units: float
    unit_s: float
    best_s: float
    backlog: float
    limit: float


def expected_s(needs: Sequence[StageEstimate]) -> float:
    """Returns the expected time of a chain of stages, waits included."""
    return sum(_busy_service_s(need) + wait_s(need) for need in needs)


def service_s(need: StageEstimate) -> float:
    """Returns the least time of a stage once it runs."""
    return need.units * need.best_s


def wait_s(need: StageEstimate) -> float:
    """Returns the expected wait before a stage runs."""
    if need.limit <= 0:
        return 0.0
    waits = max(0.0, need.backlog) * need.unit_s / need.limit
    return WAIT_MARGIN * waits


def _busy_service_s(need: StageEstimate) -> float:
    """Returns the time of a stage; behind a backlog any endpoint may do it."""
    return need.units * (need.unit_s if need.backlog > 0 else need.best_s)


def can_finish(needs: Sequence[StageEstimate], remaining_s: float) -> bool:
    """Tells whether a request is worth starting."""
    return expected_s(needs) <= remaining_s
