"""Finds at which software version a stream that is taken up may go on.

docs/design/stream-versions.md says what is known by whom and when.
"""

import collections
import random
from collections.abc import Callable
from typing import NamedTuple

from chervilarch import (
    clocks,
    endpoint_list,
    hosts,
    routing_table,
    state_log,
    store,
    stream_records,
    tasks,
)
from chervilarch import loop as loops
from chervilarch.futures import Future
from chervilarch.scheduling import default_version, version_history

_MS_PER_S = 1000
_MAX_OWN = 20_000
# Longest search for a record.
_MAX_FIND_S = 0.5
# Longest wait for a list of endpoints that is younger than a take-up. Hosts
# read it about once in 0.8 s.
_MAX_LIST_WAIT_S = 1.0
# The entry of an endpoint that has started again is in the list by this time
# after the endpoint's first answers.
_MAX_ENTRY_DELAY_S = 3.0
# A stream may begin without a record if no other version was listed for this
# time: it would be taken for one of a version that no host has an endpoint of.
_ALONE_S = 5.0
# How often it is looked at whether it may.
_RECORD_CHECK_S = 0.25
# Default versions are looked after once in this time, later by up to the second
# time, or one that allows this many hosts a second.
_KEEP_PERIOD_S = 0.3
_KEEP_SPREAD_S = 0.3
_KEEPERS_PER_S = 100.0


class _OwnStream(NamedTuple):
    pool: str
    version: str
    begun_at: float
    # Monotonic time until which it may be taken up.
    until: float
    engine: version_history.EngineVersion


class StreamVersions:
    """The versions that began streams, as far as this host can know.

    Attributes:
        list_read_at: returns the monotonic time as of which the list of
            endpoints is known.
        list_followed_since: returns the monotonic time from which on no change
            of the list was missed.
        list_read: returns a future that is done once the list was read again.
        is_list_old: returns whether changes of the list may be unknown here.
    """

    def __init__(
        self,
        loop: loops.Loop,
        clock: clocks.Clock,
        records: stream_records.StreamRecords,
        rng: random.Random,
        host_count: Callable[[], int],
    ):
        """Creates the versions; `start` has default versions looked after.

        Args:
            loop: the event loop.
            clock: its time of day tells the age of records.
            records: the records in the store.
            rng: spreads the work of all hosts over time.
            host_count: returns the number of hosts.
        """
        self._loop = loop
        self._clock = clock
        self._records = records
        self._rng = rng
        self._host_count = host_count
        self._history = version_history.VersionHistory()
        # Streams that this host began or took up, by id.
        self._own: collections.OrderedDict[str, _OwnStream] = (
            collections.OrderedDict()
        )
        # For how long streams may be taken up, by pool of a route whose streams
        # may be. It doesn't shrink: those begun before go on.
        self._spans: dict[str, float] = {}
        self.list_read_at: Callable[[], float] = loop.now
        self.list_followed_since: Callable[[], float] = loop.now
        self.list_read: Callable[[], Future] = Future
        self.is_list_old: Callable[[], bool] = bool
        records.on_defaults = self._record_unproven

    def start(self) -> None:
        """Begins to look after the default versions."""
        tasks.Task(self._keep_defaults())

    def set_routes(self, table: routing_table.RoutingTable) -> None:
        """Takes note of the pools whose streams may be taken up."""
        for route in table.routes():
            if route.is_stream and (
                route.retry_policy is routing_table.RetryPolicy.ANY
            ):
                for pool, _ in route.pools:
                    self._widen_span(pool, route.timeout_s)

    def set_endpoints(
        self, listed: dict[str, dict[str, endpoint_list.Listing]]
    ) -> None:
        """Takes note of the versions of all endpoints, also of leaving ones."""
        runs = {
            pool: [
                version_history.ListedRun(
                    listing.version,
                    listing.entry.incarnation / _MS_PER_S,
                    listing.entry.state == hosts.LEAVING,
                )
                for listing in listings.values()
            ]
            for pool, listings in listed.items()
        }
        self._history.update(runs, self._loop.now())
        self._correct_own()
        self._record_unproven()

    def preferred(self, pool: str) -> str | None:
        """Returns the version at which new streams begin at once, None for any.

        While the store is away, those at other versions would wait for it.
        """
        default = self._records.default(pool)
        if default is None or not self._records.is_store_away():
            return None
        return default.version

    def record(
        self,
        stream_id: str,
        pool: str,
        engine: version_history.EngineVersion,
        timeout_s: float,
        until: float,
    ) -> tasks.Coroutine[bool]:
        """Takes note of a stream that begins, before its first event is sent.

        Nothing is written if it begins at the pool's default version.

        Args:
            stream_id: the caller's id of the request.
            pool: pool of the engine.
            engine: version of the engine's software.
            timeout_s: how long streams of its route may take.
            until: monotonic time at which to give up.

        Returns:
            Whether it may begin: no host can take it for one of another
            version.
        """
        now = self._loop.now()
        span_s = self._widen_span(pool, timeout_s)
        version = engine.update()
        self._own.pop(stream_id, None)
        self._own[stream_id] = _OwnStream(
            pool, version, now, now + span_s, engine
        )
        self._forget_old(now)
        if not self._needs_record(pool, version):
            return True
        stored = self._records.write(stream_id, pool, version)
        default = self._records.default(pool)
        if default is not None and default.version == version:
            return True
        while not stored.done() and self._loop.now() < until:
            if self._is_alone(pool, version):
                return True
            wait_until = min(until, self._loop.now() + _RECORD_CHECK_S)
            yield from tasks.wait(self._loop, stored, wait_until)
        return stored.done() and stored.result()

    def find(
        self, stream_id: str, pool: str, timeout_s: float
    ) -> tasks.Coroutine["version_history.BegunAt | version_history.Unknown"]:
        """Returns the version that began a stream, if it is known.

        Args:
            stream_id: the id of the request that brought its first event, "" if
                the caller doesn't say it.
            pool: pool of the route's engines.
            timeout_s: how long streams of the route may take.
        """
        asked_at = self._loop.now()
        span_s = self._widen_span(pool, timeout_s)
        own = self._own.get(stream_id)
        if own is not None:
            return version_history.BegunAt(
                own.version,
                version_history.Origin.OWN,
                asked_at - own.begun_at,
            )
        read = yield from tasks.wait(
            self._loop, self._records.refresh(), asked_at + _MAX_FIND_S
        )
        stored = None
        if read is None:
            stored = self._stored_evidence(stream_id, pool, span_s)
        begun = yield from self._decide(pool, asked_at, span_s, stored)
        now = self._loop.now()
        default = self._records.default(pool)
        state_log.log_decision(
            "stream version looked up",
            resumed_id=stream_id,
            pool=pool,
            records=_records_state(read, stored),
            default=default and default.version,
            listed=sorted(self._history.versions(pool, span_s, now)),
            list_age_ms=_to_ms(now - self.list_read_at()),
            list_known_ms=_to_ms(now - self.list_followed_since()),
            unknown=getattr(begun, "reason", None),
        )
        return begun

    def _decide(
        self,
        pool: str,
        asked_at: float,
        span_s: float,
        stored: version_history.StoredEvidence | None,
    ) -> tasks.Coroutine["version_history.BegunAt | version_history.Unknown"]:
        """Returns the version that began another host's stream.

        If the store doesn't tell it, this waits for a read of the list of
        endpoints that may.
        """
        until = asked_at + _MAX_LIST_WAIT_S
        while True:
            listed = self._list_evidence(pool, asked_at, span_s)
            begun = version_history.decide(asked_at, span_s, stored, listed)
            if (
                isinstance(begun, version_history.BegunAt)
                or not listed.may_tell_later(asked_at, span_s)
                or self._loop.now() >= until
            ):
                return begun
            yield from tasks.wait(self._loop, self.list_read(), until)

    def _list_evidence(
        self, pool: str, asked_at: float, span_s: float
    ) -> version_history.ListEvidence:
        now = self._loop.now()
        return version_history.ListEvidence(
            self._history.versions(pool, now - asked_at + span_s, now),
            self.list_followed_since(),
            self.list_read_at(),
        )

    def _stored_evidence(
        self, stream_id: str, pool: str, span_s: float
    ) -> version_history.StoredEvidence:
        """Returns what the records that were read last say of a stream."""
        recorded = None
        found = self._records.known(stream_id) if stream_id else None
        if found is not None:
            recorded = version_history.BegunAt(
                found.version,
                version_history.Origin.RECORD,
                self._clock.wall() - found.begun_at,
            )
        default = self._records.default(pool)
        is_proof = default_version.is_proof(
            default, self._records.era(), span_s, self._clock.wall()
        )
        if is_proof and not stream_id:
            # It may have a record of any id.
            versions = self._records.versions(pool, span_s)
            is_proof = versions <= {default.version}
        return version_history.StoredEvidence(
            recorded, default.version if is_proof else None
        )

    def _needs_record(self, pool: str, version: str) -> bool:
        """Returns whether a stream is recorded in the store.

        Those at the default version are only while a restore of the store makes
        a missing record prove nothing, and the list has several versions.
        """
        default = self._records.default(pool)
        if default is None or default.version != version:
            return True
        span_s = self._spans[pool]
        return not default_version.is_proof(
            default, self._records.era(), span_s, self._clock.wall()
        ) and self._is_mixed(pool, span_s)

    def _is_mixed(self, pool: str, span_s: float) -> bool:
        now = self._loop.now()
        return len(self._history.versions(pool, span_s, now)) > 1

    def _is_alone(self, pool: str, version: str) -> bool:
        """Returns whether a pool had no other version for some time."""
        now = self._loop.now()
        versions = self._history.versions(pool, _ALONE_S, now)
        return (
            versions == {version}
            and self.list_followed_since() <= now - _ALONE_S
        )

    def _correct_own(self) -> None:
        """Corrects the versions of streams whose engine had started again.

        Its entry came only after their first event.
        """
        oldest = self.list_read_at() - _MAX_ENTRY_DELAY_S
        for stream_id in reversed(self._own):
            own = self._own[stream_id]
            if own.begun_at < oldest:
                return
            version = own.engine.update()
            if version != own.version:
                self._own[stream_id] = own._replace(version=version)
                self._records.write(stream_id, own.pool, version)
                state_log.log_change(
                    "stream version corrected",
                    request_id=stream_id,
                    pool=own.pool,
                    version=version,
                    was=own.version,
                )

    def _record_unproven(self) -> None:
        """Records this host's streams that others can't know otherwise."""
        now = self._loop.now()
        for stream_id, own in self._own.items():
            if (
                own.until > now
                and not self._records.is_own(stream_id)
                and self._needs_record(own.pool, own.version)
            ):
                self._records.write(stream_id, own.pool, own.version)

    def _keep_defaults(self) -> tasks.Coroutine[None]:
        """Sets default versions that are missing, left or of before a restore.

        Any host may do it; the store accepts the first one.
        """
        while True:
            spread_s = max(_KEEP_SPREAD_S, self._host_count() / _KEEPERS_PER_S)
            yield tasks.sleep(
                self._loop, _KEEP_PERIOD_S + self._rng.uniform(0.0, spread_s)
            )
            for pool in list(self._spans):
                if self._next_default(pool) is None:
                    continue
                error = yield self._records.refresh()
                if error is None:
                    yield from self._keep_default(pool)

    def _keep_default(self, pool: str) -> tasks.Coroutine[None]:
        """Sets the default version of a pool, as of the last read."""
        default = self._next_default(pool)
        if default is None:
            return
        error = yield from self._records.set_default(pool, default)
        if error is None or error.is_conflict:
            yield self._records.refresh()

    def _next_default(self, pool: str) -> default_version.DefaultVersion | None:
        default = self._records.default(pool)
        unlisted_s = 0.0
        if default is not None:
            # Its endpoints may have come back since the list was read.
            as_of = self.list_read_at()
            unlisted_s = min(
                self._history.unlisted_s(pool, default.version, as_of),
                as_of - self.list_followed_since(),
            )
        return default_version.next_default(
            default,
            self._history.candidates(pool),
            self._records.era(),
            unlisted_s,
            self._spans[pool],
            self._clock.wall(),
            self._records.has_seen_restore(),
        )

    def _widen_span(self, pool: str, timeout_s: float) -> float:
        """Returns for how long streams of a pool may be taken up."""
        span_s = timeout_s + version_history.MARGIN_S
        self._spans[pool] = max(span_s, self._spans.get(pool, 0.0))
        return self._spans[pool]

    def _forget_old(self, now: float) -> None:
        oldest = now - stream_records.RETENTION_S
        while self._own:
            key, own = next(iter(self._own.items()))
            if own.begun_at >= oldest and len(self._own) <= _MAX_OWN:
                return
            del self._own[key]


def _records_state(
    read: store.StoreError | tasks.TimedOut | None,
    stored: version_history.StoredEvidence | None,
) -> str:
    """Returns what a search for a record came to, for the log."""
    if isinstance(read, tasks.TimedOut):
        return "not read in time"
    if isinstance(read, store.StoreError):
        return f"not read: {read.reason}"
    return "none" if stored.recorded is None else "found"


def _to_ms(seconds: float) -> int | None:
    """Returns milliseconds, None for a time that never was."""
    return None if seconds == float("inf") else round(_MS_PER_S * seconds)
