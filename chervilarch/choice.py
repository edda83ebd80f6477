"""Pure choice of an endpoint for one attempt.

Two endpoints are drawn, weighted towards fast ones, and the one with the
shorter expected wait is taken. Local counts and ages come first; reports of
load count less the older they are.
"""

import math
import random
import zlib
from collections.abc import Sequence
from typing import NamedTuple

# A load report loses half its weight in this time, in seconds.
REPORT_HALF_LIFE_S = 1.0
# An endpoint may hold this many times the mean work for the sake of a prefix.
AFFINITY_BOUND = 1.25
# Endpoints of other data centres look this much slower.
REMOTE_PENALTY = 1.3
# Above this share of its limit, the own data centre spills.
SPILL_SHARE = 0.8
# Work of this many units or more is long.
LONG_UNITS = 8.0
# Long work is kept to this share of a pool's endpoints.
LONG_SHARE = 0.5
# Short work trusts those endpoints less while there is long work.
SHORT_TRUST = 0.4
MIN_LATENCY_S = 0.001
# Time left, in unloaded times, for an endpoint to be in time.
TIMELY_MARGIN = 1.1


class EndpointView(NamedTuple):
    """What a host knows of an endpoint when it chooses.

    Attributes:
        address: "ip:port".
        is_local: whether it is in this host's data centre.
        in_flight: attempts this host has running there.
        units: work units of those attempts.
        limit: bound on `in_flight`.
        latency_s: smoothed time of a work unit.
        base_s: time of a work unit without load.
        oldest_s: age of the oldest attempt still running, per work unit.
        reported_load: queue and running work it last reported, less ours.
        report_age_s: age of that report.
        trust: 1.0 for a sound endpoint, less while it is suspected to be slow
            or returns from ejection.
        is_pausing: whether its limit asks to wait before the next attempt.
    """

    address: str
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
    # A straggler shows in the age of what it holds before any answer is late.
    unit_s = max(MIN_LATENCY_S, view.latency_s, view.oldest_s)
    weight = 0.5 ** (view.report_age_s / REPORT_HALF_LIFE_S)
    load = view.units + weight * max(0.0, view.reported_load)
    penalty = 1.0 if view.is_local else REMOTE_PENALTY
    return unit_s * (1.0 + load) * penalty / max(0.05, view.trust)


def is_long(units: float) -> bool:
    """Tells whether work is so long that it is kept to a part of a pool."""
    return units >= LONG_UNITS


def long_homes(views: Sequence[EndpointView]) -> frozenset[str]:
    """Returns the endpoints for long work, the same on every host."""
    ranked = sorted(views, key=lambda view: zlib.crc32(view.address.encode()))
    count = math.ceil(LONG_SHARE * len(ranked))
    return frozenset(view.address for view in ranked[:count])


def part_for_length(
    views: Sequence[EndpointView], units: float, long_work_seen: bool
) -> list[EndpointView]:
    """Keeps long work to its endpoints, and short work from them if it can.

    Args:
        views: endpoints of a pool.
        units: size of the work.
        long_work_seen: whether the pool had long work lately.
    """
    if len(views) < 2 or not (long_work_seen or is_long(units)):
        return list(views)
    homes = long_homes(views)
    if is_long(units):
        return [view for view in views if view.address in homes]
    return [
        view._replace(trust=view.trust * SHORT_TRUST)
        if view.address in homes
        else view
        for view in views
    ]


def timely(
    views: Sequence[EndpointView], units: float, remaining_s: float
) -> list[EndpointView]:
    """Returns the endpoints that can be expected to finish in time."""
    needed_s = units * TIMELY_MARGIN
    return [view for view in views if view.base_s * needed_s <= remaining_s]


def has_room(view: EndpointView) -> bool:
    """Tells whether an endpoint may take one more attempt."""
    return may_take(view.in_flight, view.limit, view.is_pausing)


def may_take(in_flight: int, limit: float, is_pausing: bool) -> bool:
    """Tells whether a limit leaves room for one more attempt."""
    return not is_pausing and in_flight + 1 <= max(1.0, limit)


def choose(
    views: Sequence[EndpointView],
    rng: random.Random,
    prefix: bytes = b"",
) -> EndpointView | None:
    """Chooses an endpoint with room, or None if none has.

    Args:
        views: sound endpoints of a pool that weren't tried yet.
        rng: source of random numbers.
        prefix: the start of a prompt that an endpoint may have cached.
    """
    roomy = [view for view in views if has_room(view)]
    if not roomy:
        return None
    if prefix:
        home = _prefix_home(views, prefix)
        if _may_take_prefix(home, roomy):
            return home
    candidates = _prefer_local(roomy)
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


def _prefix_home(views: Sequence[EndpointView], prefix: bytes) -> EndpointView:
    """Returns the endpoint with the highest hash, the same on every host."""
    return max(
        views, key=lambda view: zlib.crc32(prefix + view.address.encode())
    )


def _may_take_prefix(home: EndpointView, roomy: list[EndpointView]) -> bool:
    if home not in roomy or home.trust < 1.0:
        return False
    mean = sum(view.units for view in roomy) / len(roomy)
    return home.units + 1 <= AFFINITY_BOUND * (mean + 1)
