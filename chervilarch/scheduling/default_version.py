"""Decides which software version of a pool is its default.

Streams that begin at any other version are recorded before their first event,
so a stream without a record began at the default version. Nothing here does
I/O or reads a clock.
"""

from typing import NamedTuple

# Wall clocks of hosts may differ, and be set, by about this time.
_CLOCK_MARGIN_S = 10.0
# A default version moves only when no endpoint of it has been listed for as
# long as its streams may live and this time. Until then a host whose list is
# old may still begin streams at it, and an endpoint that has left may go on.
_LINGER_S = 15.0


class DefaultVersion(NamedTuple):
    """The default version of a pool, as it is kept in the platform's store.

    Attributes:
        version: the version.
        era: the store's era in which it was written.
        since: Unix seconds from which on streams at other versions have a
            record in that era; 0.0 if all of them have.
    """

    version: str
    era: int
    since: float


class Candidate(NamedTuple):
    """A version that endpoints of a pool have.

    Attributes:
        version: the version.
        endpoints: number of endpoints that may get work.
        oldest_start: start of the oldest one in Unix seconds.
    """

    version: str
    endpoints: int
    oldest_start: float


def is_proof(
    default: DefaultVersion | None,
    era: int,
    span_s: float,
    wall_s: float,
) -> bool:
    """Returns whether a stream without a record began at the default version.

    A restore of the store loses records, so none that was missing proves
    anything until the streams of that time have ended.

    Args:
        default: the pool's default version, None if there is none.
        era: the store's era in which the record wasn't found.
        span_s: for how long a stream may be taken up.
        wall_s: time of day in Unix seconds.
    """
    if default is None or default.era != era:
        return False
    return (
        not default.since or default.since + span_s + _CLOCK_MARGIN_S <= wall_s
    )


def next_default(
    default: DefaultVersion | None,
    candidates: list[Candidate],
    era: int,
    unlisted_s: float,
    span_s: float,
    wall_s: float,
    has_seen_restore: bool,
) -> DefaultVersion | None:
    """Returns what the pool's default version becomes, None if it stays.

    Args:
        default: the default version now, None if there is none.
        candidates: the versions of the endpoints that may get work.
        era: the store's era.
        unlisted_s: for how long no endpoint of the default version has been
            listed, as far as this host can know.
        span_s: for how long a stream may be taken up.
        wall_s: time of day in Unix seconds.
        has_seen_restore: whether the store was restored since this host
            started, so that a default version may be lost.
    """
    # While there was no default version, all streams were recorded.
    since = wall_s if has_seen_restore else 0.0
    if default is not None:
        since = default.since if default.era == era else wall_s
        if unlisted_s < span_s + _LINGER_S:
            written_again = DefaultVersion(default.version, era, since)
            return None if default.era == era else written_again
    if not candidates:
        return None
    best = min(
        candidates, key=lambda c: (-c.endpoints, c.oldest_start, c.version)
    )
    return DefaultVersion(best.version, era, since)
