"""Finds at which software version a stream that is taken up may go on."""

import collections
from collections.abc import Callable
from typing import NamedTuple

from chervilarch import (
    clocks,
    endpoint_list,
    state_log,
    store,
    stream_records,
    tasks,
)
from chervilarch import loop as loops
from chervilarch.scheduling import version_history

_MS_PER_S = 1000
_MAX_OWN = 20_000
# While a pool has had several versions for less than this, other hosts may not
# know it: a stream begins only when its record is stored.
_SETTLED_S = 5.0
# Longest wait for that; the store may be away.
_MAX_RECORD_WAIT_S = 0.5
# Longest search for a record.
_MAX_FIND_S = 0.5


class _OwnStream(NamedTuple):
    pool: str
    version: str
    begun_at: float
    # Monotonic time until which it may be taken up.
    until: float


class StreamVersions:
    """The versions that began streams, as far as this host can know."""

    def __init__(
        self,
        loop: loops.Loop,
        clock: clocks.Clock,
        records: stream_records.StreamRecords,
    ):
        self._loop = loop
        self._clock = clock
        self._records = records
        self._history = version_history.VersionHistory()
        # Streams that this host began or took up, by id.
        self._own: collections.OrderedDict[str, _OwnStream] = (
            collections.OrderedDict()
        )
        # Pools with several versions now.
        self._mixed_pools: set[str] = set()
        # Returns the monotonic time as of which the list is known.
        self.list_read_at: Callable[[], float] = loop.now

    def set_endpoints(
        self, listed: dict[str, dict[str, endpoint_list.Listing]]
    ) -> None:
        """Takes note of the versions of all endpoints, also of leaving ones."""
        runs = {
            pool: [
                version_history.ListedRun(
                    listing.version, listing.entry.incarnation / _MS_PER_S
                )
                for listing in listings.values()
            ]
            for pool, listings in listed.items()
        }
        now = self._loop.now()
        self._history.update(runs, now)
        was_mixed, self._mixed_pools = (
            self._mixed_pools,
            {
                pool
                for pool in runs
                if len(self._history.versions(pool, 0, now)) > 1
            },
        )
        self._record_begun(self._mixed_pools - was_mixed, now)

    def _record_begun(self, pools: set[str], now: float) -> None:
        """Records what began at pools that had one version until now."""
        for stream_id, own in self._own.items():
            if own.pool in pools and own.until > now:
                self._records.write(stream_id, own.pool, own.version)

    def record(
        self, stream_id: str, pool: str, version: str, timeout_s: float
    ) -> tasks.Coroutine[None]:
        """Takes note of a stream that begins.

        While the pool has several versions it is recorded in the store, also
        for other hosts. Without several ones nothing is written.

        Args:
            stream_id: the caller's id of the request.
            pool: pool of the engine.
            version: version of the engine's software.
            timeout_s: how long streams of its route may take.
        """
        now = self._loop.now()
        self._own.pop(stream_id, None)
        span_s = _span_s(timeout_s)
        self._own[stream_id] = _OwnStream(pool, version, now, now + span_s)
        self._forget_old(now)
        mixed_s = self._history.mixed_s(pool, span_s, now)
        if mixed_s is None:
            return
        stored = self._records.write(stream_id, pool, version)
        if mixed_s < _SETTLED_S:
            until = now + _MAX_RECORD_WAIT_S
            yield from tasks.wait(self._loop, stored, until)

    def find(
        self, stream_id: str, pool: str, timeout_s: float
    ) -> tasks.Coroutine["version_history.BegunAt | None"]:
        """Returns the version that began a stream, None if it isn't known.

        Args:
            stream_id: the id of the request that brought its first event, "" if
                the caller doesn't say it.
            pool: pool of the route's engines.
            timeout_s: how long streams of the route may take.
        """
        now = self._loop.now()
        span_s = _span_s(timeout_s)
        own = self._own.get(stream_id)
        if own is not None:
            return version_history.BegunAt(
                own.version, version_history.Origin.OWN, now - own.begun_at
            )
        search = tasks.Task(self._records.find(stream_id))
        until = now + _MAX_FIND_S
        found = yield from tasks.wait(self._loop, search.future, until)
        if isinstance(found, tasks.TimedOut):
            search.cancel()
        recorded = None
        if isinstance(found, stream_records.StreamRecord):
            age_s = self._clock.wall() - found.begun_at
            recorded = version_history.BegunAt(
                found.version, version_history.Origin.RECORD, age_s
            )
        is_read = not isinstance(found, tasks.TimedOut | store.StoreError)
        sole = self._history.sole_version(
            pool, span_s, self._loop.now(), self._clock.wall()
        )
        has_records = self._records.has_records(pool, span_s)
        state_log.log_decision(
            "stream version looked up",
            resumed_id=stream_id,
            pool=pool,
            records=_records_state(found),
            has_records=has_records,
            listed=sorted(self._history.versions(pool, span_s, now)),
            sole_version=sole,
            list_age_ms=round(1000 * (now - self.list_read_at())),
        )
        return version_history.decide(recorded, is_read, sole, has_records)

    def _forget_old(self, now: float) -> None:
        oldest = now - stream_records.RETENTION_S
        while self._own:
            key, own = next(iter(self._own.items()))
            if own.begun_at >= oldest and len(self._own) <= _MAX_OWN:
                return
            del self._own[key]


def _span_s(timeout_s: float) -> float:
    """Returns for how long after its beginning a stream may be taken up."""
    return timeout_s + version_history.MARGIN_S


def _records_state(
    found: stream_records.StreamRecord
    | store.StoreError
    | tasks.TimedOut
    | None,
) -> str:
    """Returns what a search for a record came to, for the log."""
    if isinstance(found, tasks.TimedOut):
        return "not read in time"
    if isinstance(found, store.StoreError):
        return f"not read: {found.reason}"
    return "none" if found is None else "found"
