"""Applies the operators' evacuations to the endpoints that may get work."""

from collections.abc import Callable, Iterable

from chervilarch import (
    decoding,
    endpoint_list,
    guards,
    state_log,
    store,
    telemetry,
)
from chervilarch import loop as loops
from chervilarch.scheduling import evacuation

Listed = dict[str, dict[str, endpoint_list.Listing]]

# How often evacuations that a restored store lacks are looked at.
_EXPIRY_PERIOD_S = 1.0
# Longer values are passed on to other hosts as an empty object: all of them
# must fit a reply.
_MAX_VALUE_BYTES = 64
_EMPTY_OBJECT = b"{}"
# Unreadable records whose log line isn't repeated.
_MAX_LOGGED = 1024


class EvacuationFollower:
    """Knows the evacuations and passes on the endpoints that may get work.

    Attributes:
        on_ended: called with the data centre when an evacuation ends, before
            its endpoints may get work again.
        is_store_away: returns whether the records can't be read now.
    """

    def __init__(
        self,
        loop: loops.Loop,
        prefix: str,
        decode: Callable[[str, bytes], str | decoding.Unreadable],
        meters: telemetry.Telemetry,
    ):
        """Creates the follower.

        Args:
            loop: the event loop.
            prefix: what the keys of evacuations begin with; the data centre
                follows.
            decode: returns the data centre of a record, given the rest of its
                key and its value.
            meters: shows the number of evacuated data centres.
        """
        self._loop = loop
        self._prefix = prefix
        self._decode = decode
        self._meters = meters
        self._evacuations = evacuation.Evacuations()
        # All endpoints, by pool and id.
        self._listed: Listed = {}
        self._listeners: list[Callable[[Listed], None]] = []
        self._logged: set[int] = set()
        # Evacuated data centres that had no endpoints when that was logged.
        self._unknown: set[str] = set()
        self._unchecked: set[str] = set()
        self._is_expiring = False
        self.on_ended: Callable[[str], None] = _ignore
        self.is_store_away: Callable[[], bool] = bool

    def add_listener(self, listener: Callable[[Listed], None]) -> None:
        """Calls `listener` with the endpoints that may get work."""
        self._listeners.append(listener)

    def set_endpoints(self, listed: Listed) -> None:
        """Sets all endpoints, by pool and id."""
        self._listed = listed
        self._evacuations.set_listed(self._data_centres())
        self._log_unknown()
        self._notify_listeners()

    def is_pool_evacuated(self, pool: str) -> bool:
        """Returns whether a pool has endpoints, all evacuated."""
        listings = self._listed.get(pool)
        return bool(listings) and all(
            self._evacuations.is_evacuated(listing.entry.data_centre)
            for listing in listings.values()
        )

    def has_any(self) -> bool:
        """Returns whether an evacuation, or an end of one, is known."""
        return self._evacuations.has_any()

    def owns(self, key: str) -> bool:
        """Returns whether a key is that of an evacuation."""
        return key.startswith(self._prefix)

    def beliefs(self) -> store.Beliefs:
        """Returns the evacuations in force, and those known to have ended.

        An ended one is told as a removed run whose incarnation and sequence are
        the era and offset of the end.
        """
        return store.Beliefs(
            tuple(
                record._replace(key=self._prefix + name)
                for name, record in self._evacuations.evacuated().items()
            ),
            tuple(
                store.RemovedRun(self._prefix + name, *position)
                for name, position in self._evacuations.ended().items()
            ),
        )

    def apply_record(self, record: store.Record) -> None:
        """Applies a record that was read as a change."""
        data_centre = self._read_name(record)
        if data_centre is not None:
            self._apply(
                self._evacuations.apply_record(
                    data_centre, _shortened(record), self._loop.now()
                )
            )

    def apply_snapshot(
        self,
        records: Iterable[store.Record],
        position: store.Position,
        origin: evacuation.Origin,
    ) -> None:
        """Applies the records of all evacuations.

        Args:
            records: the records; others are left out.
            position: what they go up to.
            origin: the store's newest values, or another host.
        """
        by_name: dict[str, store.Record | None] = {}
        for record in records:
            if self.owns(record.key):
                name = record.key.removeprefix(self._prefix)
                is_readable = self._read_name(record) is not None
                by_name[name] = _shortened(record) if is_readable else None
        self._apply(
            self._evacuations.apply_snapshot(
                by_name, position, self._loop.now(), origin
            )
        )

    def apply_beliefs(
        self, beliefs: store.Beliefs, position: store.Position
    ) -> None:
        """Applies what another host holds true that hasn't read further.

        Args:
            beliefs: what it holds true; other records are left out.
            position: how far this host has read.
        """
        by_name = {}
        for record in beliefs.records:
            if self.owns(record.key) and record.value:
                name = self._read_name(record)
                if name is not None:
                    by_name[name] = _shortened(record)
        self._apply(
            self._evacuations.apply_peer(
                by_name,
                self._ends(beliefs.removed),
                position,
                self._loop.now(),
            )
        )

    def apply_removed(self, removed: Iterable[store.RemovedRun]) -> None:
        """Applies the ends of evacuations that another host knows."""
        ends = self._ends(removed)
        self._apply(self._evacuations.apply_ended(ends, self._loop.now()))

    def _ends(
        self, removed: Iterable[store.RemovedRun]
    ) -> dict[str, store.Position]:
        return {
            run.name.removeprefix(self._prefix): store.Position(
                run.incarnation, run.sequence
            )
            for run in removed
            if self.owns(run.name)
        }

    def _read_name(self, record: store.Record) -> str | None:
        """Returns the data centre of a record, None if it can't be read."""
        name = self._decode(record.key.removeprefix(self._prefix), record.value)
        if not isinstance(name, decoding.Unreadable):
            return name
        # One line for each record, however often it is read.
        digest = hash((record.key, record.value))
        if digest not in self._logged:
            if len(self._logged) >= _MAX_LOGGED:
                self._logged.clear()
            self._logged.add(digest)
            state_log.log_fault(
                "evacuation unreadable",
                key=record.key[: len(self._prefix) + 80],
                offset=record.offset,
                reason=name.reason,
            )
        return None

    def _apply(self, changes: list[evacuation.Change]) -> None:
        """Logs changes, tells of ended evacuations and updates listeners."""
        self._expire_later()
        if not changes:
            return
        for change in changes:
            self._log(change)
            if change.outcome is evacuation.Outcome.ENDED:
                self._unchecked.discard(change.data_centre)
                self._unknown.discard(change.data_centre)
                guards.call(self.on_ended, change.data_centre)
        evacuated = self._evacuations.evacuated()
        self._meters.set_evacuated_data_centres(len(evacuated))
        self._log_unknown()
        self._notify_listeners()

    def _log(self, change: evacuation.Change) -> None:
        fields = {
            "data_centre": change.data_centre,
            "reason": change.reason,
            "era": change.position.era,
            "offset": change.position.offset,
        }
        if change.outcome is evacuation.Outcome.IGNORED:
            state_log.log_fault("evacuation ignored", **fields)
            return
        fields["endpoints"] = sum(
            listing.entry.data_centre == change.data_centre
            for listings in self._listed.values()
            for listing in listings.values()
        )
        fields["evacuated"] = len(self._evacuations.evacuated())
        if change.outcome is evacuation.Outcome.ENDED:
            state_log.log_change("evacuation ended", **fields)
            return
        self._unchecked.add(change.data_centre)
        fields["empty_pools"] = sorted(
            pool for pool in self._listed if self.is_pool_evacuated(pool)
        )
        state_log.log_change("data centre evacuated", **fields)

    def _log_unknown(self) -> None:
        """Logs evacuated data centres without endpoints, each once."""
        if not self._listed:
            # The list wasn't read yet.
            return
        unchecked, self._unchecked = self._unchecked, set()
        for name in sorted(unchecked - self._data_centres() - self._unknown):
            self._unknown.add(name)
            state_log.log_fault(
                "evacuated data centre unknown", data_centre=name
            )

    def _data_centres(self) -> set[str]:
        return {
            listing.entry.data_centre
            for listings in self._listed.values()
            for listing in listings.values()
        }

    def _notify_listeners(self) -> None:
        listed = self._evacuations.without_evacuated(self._listed)
        for listener in self._listeners:
            guards.call(listener, listed)

    def _expire_later(self) -> None:
        """Looks again soon if an evacuation may lapse, or else later."""
        if not self._is_expiring and self._evacuations.has_memory():
            self._is_expiring = True
            self._loop.call_later(_EXPIRY_PERIOD_S, self._expire)

    def _expire(self) -> None:
        self._is_expiring = False
        is_away = self.is_store_away()
        now = self._loop.now()
        self._apply(self._evacuations.expire(now, is_away))


def _shortened(record: store.Record) -> store.Record:
    if len(record.value) <= _MAX_VALUE_BYTES:
        return record
    return record._replace(value=_EMPTY_OBJECT)


def _ignore(data_centre: str) -> None:
    pass
