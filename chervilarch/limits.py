"""Adaptive concurrency limit of one endpoint, without side effects.

The limit follows the ratio of the slow average time of a work unit
(`average_s`) to the time without load (`base_s`). Work then waits in the
router's queue, where any endpoint can take it, rather than in the queue of one
endpoint. The gateway has no such queue; for calls without a prompt it prefers
endpoints below their limit.
"""

from typing import NamedTuple

# Below 1 there are pauses between attempts, which other hosts can use.
MIN_LIMIT = 0.2
MAX_LIMIT = 256.0
INITIAL_LIMIT = 4.0
# Times shorter than this say nothing about load, in seconds.
NOISE_S = 0.005
_SHRINK_FACTOR = 0.9
_FAILURE_FACTOR = 0.7
_GROWTH = 0.5
# The limit grows only while at least this share of it is used.
_USED_SHARE = 0.7
# Growth of the unloaded time with each answer, so that a lasting slowdown is
# learnt.
_BASE_DRIFT = 0.0005
_RISE_GAIN = 0.5
_FALL_GAIN = 0.25
_AVERAGE_GAIN = 0.1
_DEVIATION_GAIN = 0.25
# Half-life in seconds with which an estimate decays to the unloaded time while
# there are no answers.
FORGET_HALF_LIFE_S = 2.0


class Tolerance(NamedTuple):
    """Ratios of `average_s` to `base_s` at which a limit changes.

    Attributes:
        grow_below: the limit grows below this ratio.
        shrink_above: the limit shrinks above this ratio.
    """

    grow_below: float
    shrink_above: float


CALLS = Tolerance(1.1, 1.25)
# Engines batch: each stream slows down while the total throughput rises.
STREAMS = Tolerance(2.0, 3.0)


class LimitState(NamedTuple):
    """Limit of an endpoint and the estimates it is derived from.

    Attributes:
        limit: attempts that may run at a time.
        base_s: time of a work unit without load; 0 before the first answer.
        latency_s: smoothed time of a work unit.
        deviation_s: smoothed distance of answers from `latency_s`.
        average_s: slow average, which uneven work changes little.
        has_shrunk: whether the limit ever shrank; until then each answer that
            lets it grow adds 1.
    """

    limit: float = INITIAL_LIMIT
    base_s: float = 0.0
    latency_s: float = 0.0
    deviation_s: float = 0.0
    average_s: float = 0.0
    has_shrunk: bool = False


def after_answer(
    state: LimitState,
    unit_s: float,
    in_flight: int,
    tolerance: Tolerance = CALLS,
) -> LimitState:
    """Returns the state after an answer that took `unit_s` a work unit."""
    if state.base_s == 0.0:
        return LimitState(state.limit, unit_s, unit_s, unit_s / 2, unit_s)
    average_s = state.average_s + _AVERAGE_GAIN * (unit_s - state.average_s)
    base_s = min(average_s, state.base_s * (1 + _BASE_DRIFT))
    distance_s = abs(unit_s - state.latency_s)
    deviation_s = state.deviation_s + _DEVIATION_GAIN * (
        distance_s - state.deviation_s
    )
    latency_s = _smooth(state.latency_s, unit_s)
    ratio = max(0.0, average_s - NOISE_S) / base_s
    limit = _adjust(state, ratio, in_flight, tolerance)
    has_shrunk = state.has_shrunk or limit < state.limit
    return LimitState(
        limit, base_s, latency_s, deviation_s, average_s, has_shrunk
    )


def after_failure(state: LimitState) -> LimitState:
    """Returns the state after a failed or timed-out attempt."""
    limit = _clamp(state.limit * _FAILURE_FACTOR)
    return state._replace(limit=limit, has_shrunk=True)


def after_lower_bound(state: LimitState, unit_s: float) -> LimitState:
    """Returns the state after an attempt known to take `unit_s` or more."""
    if not state.latency_s < unit_s:
        return state
    return state._replace(latency_s=_smooth(state.latency_s, unit_s))


def decayed_latency_s(state: LimitState, idle_s: float) -> float:
    """Returns the estimate of a work unit `idle_s` after the last answer."""
    weight = 0.5 ** (idle_s / FORGET_HALF_LIFE_S)
    return state.base_s + weight * (state.latency_s - state.base_s)


def min_interval_s(state: LimitState) -> float:
    """Returns the least time between starts under a limit below 1."""
    if state.limit >= 1.0:
        return 0.0
    return state.latency_s / state.limit


def _adjust(
    state: LimitState, ratio: float, in_flight: int, tolerance: Tolerance
) -> float:
    limit = state.limit
    if ratio > tolerance.shrink_above:
        return _clamp(limit * _SHRINK_FACTOR)
    is_used = in_flight >= _USED_SHARE * limit
    if not is_used or ratio >= tolerance.grow_below:
        return limit
    growth = _GROWTH / max(1.0, limit) if state.has_shrunk else 1.0
    return _clamp(limit + growth)


def _smooth(latency_s: float, unit_s: float) -> float:
    """Moves further towards a slower answer than towards a faster one."""
    gain = _RISE_GAIN if unit_s > latency_s else _FALL_GAIN
    return latency_s + gain * (unit_s - latency_s)


def _clamp(limit: float) -> float:
    return max(MIN_LIMIT, min(MAX_LIMIT, limit))
