"""Pure adaptive limit on the work that one endpoint is given at a time."""

import math
from typing import NamedTuple

MIN_LIMIT = 1.0
MAX_LIMIT = 256.0
FIRST_LIMIT = 8.0
# Latency may be this many times the unloaded one before the limit shrinks.
_TOLERANCE = 2.0
_SMOOTHING = 0.1
_FAILURE_FACTOR = 0.9
# The unloaded latency is forgotten slowly, so that a slower one is learnt.
_BASE_DRIFT = 0.002
_LATENCY_GAIN = 0.2


class LimitState(NamedTuple):
    """What is learnt of an endpoint from its answers.

    Attributes:
        limit: attempts that may run there at a time.
        base_s: time of a work unit without load; 0 before the first answer.
        latency_s: smoothed time of a work unit.
    """

    limit: float = FIRST_LIMIT
    base_s: float = 0.0
    latency_s: float = 0.0


def after_answer(
    state: LimitState, unit_s: float, in_flight: int
) -> LimitState:
    """Returns the state after an answer that took `unit_s` a work unit."""
    if state.base_s == 0.0:
        return LimitState(state.limit, unit_s, unit_s)
    base_s = min(unit_s, state.base_s * (1 + _BASE_DRIFT))
    latency_s = _smooth_latency(state.latency_s, unit_s)
    gradient = max(0.5, min(1.0, _TOLERANCE * base_s / latency_s))
    wanted = state.limit * gradient + math.sqrt(state.limit)
    if wanted > state.limit and in_flight < state.limit / 2:
        # A limit that isn't used says nothing about a higher one.
        wanted = state.limit
    limit = state.limit + _SMOOTHING * (wanted - state.limit)
    return LimitState(_clamp(limit), base_s, latency_s)


def after_failure(state: LimitState) -> LimitState:
    """Returns the state after a failed or timed-out attempt."""
    return state._replace(limit=_clamp(state.limit * _FAILURE_FACTOR))


def _smooth_latency(latency_s: float, unit_s: float) -> float:
    """Rises at once with a slow answer and falls gradually."""
    if unit_s > latency_s:
        return latency_s + 0.5 * (unit_s - latency_s)
    return latency_s + _LATENCY_GAIN * (unit_s - latency_s)


def _clamp(limit: float) -> float:
    return max(MIN_LIMIT, min(MAX_LIMIT, limit))
