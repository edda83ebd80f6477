"""Chooses an endpoint for one attempt, without side effects.

Two endpoints are sampled, weighted towards fast ones, and the one with the
shorter expected wait is taken. This host's own counts and ages have full
weight; reported load has less the older the report is.

Of the functions here the gateway calls only `choose`.
"""

import math
import random
import zlib
from collections.abc import Sequence
from typing import NamedTuple

# A load report loses half its weight in this time, in seconds.
REPORT_HALF_LIFE_S = 1.0
# Bound on the work of an affinity endpoint, as a multiple of the mean.
AFFINITY_BOUND = 1.25
# Factor on the expected wait at endpoints of other data centres.
REMOTE_PENALTY = 1.3
# A local endpoint loses its precedence above this share of its limit.
SPILL_SHARE = 0.8
# Work of this many units or more is long.
LONG_UNITS = 8.0
# Share of a pool's endpoints that long work is restricted to.
LONG_SHARE = 0.5
# Factor on the trust of those endpoints for short work, while there is long
# work.
SHORT_TRUST = 0.4
MIN_LATENCY_S = 0.001
# An endpoint is expected to finish in time if the time left is at least this
# multiple of the time without load.
TIMELY_MARGIN = 1.1


class EndpointView(NamedTuple):
    """What a host knows of an endpoint when it chooses.

    Attributes:
        key: key of the endpoint in its table: its address in the router, its id
            in the gateway.
        is_local: whether it is in this host's data centre.
        in_flight: attempts this host has running there.
        units: work units of those attempts.
        limit: bound on `in_flight`.
        latency_s: smoothed time of a work unit.
        base_s: time of a work unit without load.
        oldest_s: age of the oldest attempt still running, per work unit.
        reported_load: queue and running work it last reported, less the
            attempts of this host.
        report_age_s: age of that report.
        trust: 1.0 for a healthy endpoint, less while it is suspected to be
            slow or recovers from ejection.
        is_pausing: whether its limit asks to wait before the next attempt.
    """

    key: str
    is_local: bool
    in_flight: int
    units: float
    limit: float
    latency_s: float
    base_s: float
    oldest_s: float = 0.0
    reported_load: float = 0.0
    report_age_s: float = float("inf")
    trust: float = 1.0
    is_pausing: bool = False


def expected_wait_s(view: EndpointView) -> float:
    """Returns the expected time of one more work unit on an endpoint."""
    # A straggler shows in the age of its attempts before any answer is late.
    unit_s = max(MIN_LATENCY_S, view.latency_s, view.oldest_s)
    weight = 0.5 ** (view.report_age_s / REPORT_HALF_LIFE_S)
    load = view.units + weight * max(0.0, view.reported_load)
    penalty = 1.0 if view.is_local else REMOTE_PENALTY
    return unit_s * (1.0 + load) * penalty / max(0.05, view.trust)


def is_long(units: float) -> bool:
    """Returns whether work is restricted to the endpoints for long work."""
    return units >= LONG_UNITS


def long_work_endpoints(views: Sequence[EndpointView]) -> frozenset[str]:
    """Returns the endpoints for long work, the same on every host."""
    ranked = sorted(views, key=lambda view: zlib.crc32(view.key.encode()))
    count = math.ceil(LONG_SHARE * len(ranked))
    return frozenset(view.key for view in ranked[:count])


def filter_by_length(
    views: Sequence[EndpointView], units: float, long_work_seen: bool
) -> list[EndpointView]:
    """Restricts long work to its endpoints; short work prefers the others.

    Args:
        views: endpoints of a pool.
        units: size of the work.
        long_work_seen: whether the pool had long work recently.
    """
    if len(views) < 2 or not (long_work_seen or is_long(units)):
        return list(views)
    long_endpoints = long_work_endpoints(views)
    if is_long(units):
        return [view for view in views if view.key in long_endpoints]
    return [
        view._replace(trust=view.trust * SHORT_TRUST)
        if view.key in long_endpoints
        else view
        for view in views
    ]


def timely(
    views: Sequence[EndpointView], units: float, remaining_s: float
) -> list[EndpointView]:
    """Returns the endpoints that can be expected to finish in time."""
    needed_s = units * TIMELY_MARGIN
    return [view for view in views if view.base_s * needed_s <= remaining_s]


def has_capacity(view: EndpointView) -> bool:
    """Returns whether an endpoint may get one more attempt."""
    return allows_attempt(view.in_flight, view.limit, view.is_pausing)


def allows_attempt(in_flight: int, limit: float, is_pausing: bool) -> bool:
    """Returns whether a limit allows one more attempt."""
    return not is_pausing and in_flight + 1 <= max(1.0, limit)


def choose(
    views: Sequence[EndpointView],
    rng: random.Random,
    prefix: bytes = b"",
) -> EndpointView | None:
    """Chooses an endpoint with capacity; returns None if there is none.

    Args:
        views: healthy endpoints of a pool that weren't tried yet.
        rng: source of random numbers.
        prefix: the start of a prompt that an endpoint may have cached.
    """
    available = [view for view in views if has_capacity(view)]
    if not available:
        return None
    if prefix:
        preferred = _affinity_endpoint(views, prefix)
        if _is_within_affinity_bound(preferred, available):
            return preferred
    candidates = _prefer_local(available)
    if len(candidates) > 2:
        candidates = _draw_two(candidates, rng)
    return min(candidates, key=expected_wait_s)


def _draw_two(
    views: list[EndpointView], rng: random.Random
) -> list[EndpointView]:
    weights = [
        view.trust / max(MIN_LATENCY_S, view.latency_s, view.oldest_s)
        for view in views
    ]
    first = rng.choices(range(len(views)), weights)[0]
    weights[first] = 0.0
    second = rng.choices(range(len(views)), weights)[0]
    return [views[first], views[second]]


def _prefer_local(views: list[EndpointView]) -> list[EndpointView]:
    local = [
        view
        for view in views
        if view.is_local and view.in_flight <= SPILL_SHARE * view.limit
    ]
    return local or views


def _affinity_endpoint(
    views: Sequence[EndpointView], prefix: bytes
) -> EndpointView:
    """Returns the endpoint with the highest hash, the same on every host."""
    return max(views, key=lambda view: zlib.crc32(prefix + view.key.encode()))


def _is_within_affinity_bound(
    preferred: EndpointView, available: list[EndpointView]
) -> bool:
    if preferred not in available or preferred.trust < 1.0:
        return False
    mean = sum(view.units for view in available) / len(available)
    return preferred.units + 1 <= AFFINITY_BOUND * (mean + 1)
