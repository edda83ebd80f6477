"""Decides at which software version a stream may go on.

Endpoints of several versions of their software may serve one pool. What two of
them write doesn't fit together, so a stream goes on only at the version that
began it. Nothing here does I/O or reads a clock.
"""

import enum
from collections.abc import Iterable
from typing import NamedTuple

# Hosts' lists of endpoints, and clocks, may differ by about this time.
MARGIN_S = 2.0


class Origin(enum.Enum):
    """How a host knows which version began a stream."""

    OWN = "own stream"
    RECORD = "record"
    SOLE = "sole version"


class BegunAt(NamedTuple):
    """The version that began a stream.

    Attributes:
        version: the version.
        origin: how it is known.
        age_s: time since the stream began, None if it isn't known.
    """

    version: str
    origin: Origin
    age_s: float | None = None


class ListedRun(NamedTuple):
    """A run of an endpoint in the list.

    Attributes:
        version: version of its software.
        started_at: start in Unix seconds, 0.0 if unknown.
    """

    version: str
    started_at: float


class _Presence:
    """When a version was listed for a pool; times are monotonic seconds."""

    def __init__(self, now: float):
        self.since = now
        # Infinite while it is listed.
        self.until = float("inf")
        # Start of its oldest listed run in Unix seconds.
        self.oldest_start = 0.0


class VersionHistory:
    """Which versions each pool's endpoints had lately, as this host knows."""

    def __init__(self) -> None:
        self._pools: dict[str, dict[str, _Presence]] = {}
        # When the first endpoint of a pool was listed.
        self._known_since: dict[str, float] = {}

    def update(
        self, listed: dict[str, Iterable[ListedRun]], now: float
    ) -> None:
        """Replaces the listed runs.

        Args:
            listed: the runs of all endpoints, also of those that leave and
                still write streams, by pool.
            now: monotonic time in seconds.
        """
        for pool in self._pools.keys() | listed.keys():
            present = self._pools.setdefault(pool, {})
            starts: dict[str, list[float]] = {}
            for run in listed.get(pool, ()):
                starts.setdefault(run.version, []).append(run.started_at)
            if starts:
                self._known_since.setdefault(pool, now)
            for version, presence in present.items():
                if version not in starts:
                    presence.until = min(presence.until, now)
            for version, known in starts.items():
                presence = present.setdefault(version, _Presence(now))
                if presence.until <= now:
                    presence.since = now
                presence.until = float("inf")
                presence.oldest_start = min(filter(None, known), default=0.0)

    def versions(self, pool: str, span_s: float, now: float) -> set[str]:
        """Returns the versions that were listed in the last `span_s`."""
        return {
            version
            for version, presence in self._pools.get(pool, {}).items()
            if presence.until >= now - span_s
        }

    def mixed_s(self, pool: str, span_s: float, now: float) -> float | None:
        """Returns for how long a pool has had several versions.

        Args:
            pool: the pool.
            span_s: time for which a version counts after it has left.
            now: monotonic time in seconds.

        Returns:
            Seconds, None if it has had one version only in the last `span_s`.
        """
        recent = self.versions(pool, span_s, now)
        if len(recent) < 2:
            return None
        since = sorted(self._pools[pool][version].since for version in recent)
        return now - since[1]

    def sole_version(
        self, pool: str, span_s: float, now: float, wall_s: float
    ) -> str | None:
        """Returns the only version that a pool has had for some time.

        A host that hasn't seen the pool for that long believes in the version
        if an endpoint of it has run for longer: if there had been another one
        beside it, the hosts of that time would have recorded streams.

        Args:
            pool: the pool.
            span_s: the time in seconds.
            now: monotonic time in seconds.
            wall_s: time of day in Unix seconds.

        Returns:
            The version, None if there were several or none, or it isn't known.
        """
        recent = self.versions(pool, span_s, now)
        if len(recent) != 1:
            return None
        (version,) = recent
        if self._known_since[pool] <= now - span_s:
            return version
        start = self._pools[pool][version].oldest_start
        is_old = 0.0 < start <= wall_s - span_s - MARGIN_S
        return version if is_old else None


def decide(
    recorded: BegunAt | None,
    is_read: bool,
    sole: str | None,
    has_records: bool,
) -> BegunAt | None:
    """Returns the version that began another host's stream, None if unknown.

    Hosts record streams while they know of several versions, so a stream
    without a record is known only if no host can have known of a second one.

    Args:
        recorded: the version in the stream's record.
        is_read: whether the records were read; a record that couldn't be read
            may be there.
        sole: the pool's only version since before the stream began.
        has_records: whether streams of the pool were recorded since then.
    """
    if recorded is not None:
        return recorded
    if is_read and sole is not None and not has_records:
        return BegunAt(sole, Origin.SOLE)
    return None
