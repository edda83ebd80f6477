"""Decides at which software version a stream may go on.

Endpoints of several versions of their software may serve one pool. What two of
them write doesn't fit together, so a stream goes on only at the version that
began it. What isn't known is refused: each piece of evidence says as of when it
holds and for how long it is complete. Nothing here does I/O or reads a clock.
"""

import enum
from collections.abc import Callable, Iterable
from typing import NamedTuple

from chervilarch.scheduling import default_version

# Hosts' lists of endpoints, and clocks, may differ by about this time.
MARGIN_S = 2.0


class Origin(enum.Enum):
    """How a host knows which version began a stream."""

    OWN = "own stream"
    RECORD = "record"
    DEFAULT = "default version"
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


class Unknown(NamedTuple):
    """No version that certainly began the stream; the reason is for the log."""

    reason: str


class StoredEvidence(NamedTuple):
    """What the store held of a stream after it was taken up.

    Attributes:
        recorded: the version in its record, None if it has none.
        default: version of all streams without a record, None if there may be
            others.
    """

    recorded: BegunAt | None
    default: str | None


class ListEvidence(NamedTuple):
    """What the list of endpoints says of a pool's versions.

    Attributes:
        versions: those that were listed since a stream may have begun.
        since: monotonic time from which on no change of the list was missed;
            infinite before its first read.
        as_of: monotonic time at which the list was last known to be complete.
    """

    versions: frozenset[str]
    since: float
    as_of: float

    def may_tell_later(self, asked_at: float, span_s: float) -> bool:
        """Returns whether the next read may tell what this one doesn't yet."""
        return (
            len(self.versions) == 1
            and self.since <= asked_at - span_s
            and self.as_of < asked_at
        )


class EngineVersion:
    """The software version of the engine that began a stream.

    The entry of an engine that has started again may come after the stream's
    first event. It counts while the engine goes on with the stream: what is
    listed later may be the engine's next run.

    Attributes:
        version: the version, as far as is known.
    """

    def __init__(self, find: Callable[[], str]):
        """Takes a function of the version that the list has for the engine.

        It is kept as long as the stream may be taken up, so it should hold
        nothing of the request.
        """
        self._find: Callable[[], str] | None = find
        self.version = find()

    def update(self) -> str:
        """Returns the version as the list has it now."""
        if self._find is not None:
            self.version = self._find()
        return self.version

    def settle(self) -> None:
        """Ends the updates: the engine no longer writes the stream."""
        self.update()
        self._find = None


class ListedRun(NamedTuple):
    """A run of an endpoint in the list.

    Attributes:
        version: version of its software.
        started_at: start in Unix seconds, 0.0 if unknown.
        is_leaving: whether it goes on with its requests but takes no others.
    """

    version: str
    started_at: float
    is_leaving: bool = False


class VersionHistory:
    """Which versions each pool's endpoints had lately, as this host knows."""

    def __init__(self) -> None:
        self._listed: dict[str, list[ListedRun]] = {}
        # When each version was listed last; infinite while it is listed.
        self._listed_until: dict[str, dict[str, float]] = {}

    def update(
        self, listed: dict[str, Iterable[ListedRun]], now: float
    ) -> None:
        """Replaces the listed runs.

        Args:
            listed: the runs of all endpoints, also of those that leave, by
                pool.
            now: monotonic time in seconds.
        """
        self._listed = {pool: list(runs) for pool, runs in listed.items()}
        for pool in self._listed_until.keys() | listed.keys():
            present = {run.version for run in self._listed.get(pool, ())}
            until = self._listed_until.setdefault(pool, {})
            for version in until.keys() - present:
                until[version] = min(until[version], now)
            until |= dict.fromkeys(present, float("inf"))

    def versions(self, pool: str, span_s: float, now: float) -> frozenset[str]:
        """Returns the versions that were listed in the last `span_s`."""
        return frozenset(
            version
            for version, until in self._listed_until.get(pool, {}).items()
            if until >= now - span_s
        )

    def unlisted_s(self, pool: str, version: str, now: float) -> float:
        """Returns for how long a version hasn't been listed, in seconds."""
        until = self._listed_until.get(pool, {}).get(version, float("-inf"))
        return max(0.0, now - until)

    def candidates(self, pool: str) -> list[default_version.Candidate]:
        """Returns the versions of the endpoints that may get work."""
        starts: dict[str, list[float]] = {}
        for run in self._listed.get(pool, ()):
            if not run.is_leaving:
                starts.setdefault(run.version, []).append(run.started_at)
        return [
            default_version.Candidate(version, len(known), min(known))
            for version, known in starts.items()
        ]


def decide(
    asked_at: float,
    span_s: float,
    stored: StoredEvidence | None,
    listed: ListEvidence,
) -> BegunAt | Unknown:
    """Returns the version that began another host's stream.

    Args:
        asked_at: monotonic time at which the stream was taken up.
        span_s: for how long a stream may be taken up.
        stored: what the store holds, None if it couldn't be read since the
            stream was taken up.
        listed: what the list of endpoints says.
    """
    if stored is not None and stored.recorded is not None:
        return stored.recorded
    if stored is not None and stored.default is not None:
        return BegunAt(stored.default, Origin.DEFAULT)
    reason = (
        "the records couldn't be read"
        if stored is None
        else "no record, and others may have been lost"
    )
    if len(listed.versions) != 1:
        return Unknown(reason)
    if listed.since > asked_at - span_s:
        return Unknown(f"{reason}; the list wasn't followed for long enough")
    if listed.as_of < asked_at:
        return Unknown(f"{reason}; the list is older than the take-up")
    (version,) = listed.versions
    return BegunAt(version, Origin.SOLE)
