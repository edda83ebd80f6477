"""Decides which data centres get no new work, from the operators' records.

Load pattern: operators empty a data centre while traffic runs and give it back
later. All of its load moves to the other data centres at once. Meanwhile hosts
start, freeze and are cut off, and the store is slow, unavailable or restored
from an older copy.

A restored store gives out offsets again in a higher era. Its newest values may
be those of the copy, which lack what was written last. So a record among the
newest values is weighed against what the host knows, and a record that was read
as a change isn't, as it was certainly written after the restore.
"""

import enum
from collections.abc import Iterable, Mapping
from typing import NamedTuple, Protocol, TypeVar

from chervilarch import store_records as store

# Data centres whose evacuation is known, and as many whose evacuation ended.
MAX_NAMES = 1024
# How long an evacuation that a restored store lacks holds, while the store can
# be read. Operators write again what they wrote, by hand or by a program that
# tries again for a while; no specification gives a figure.
GRACE_S = 60.0
# How long the end of an evacuation is remembered. The copy that a store is
# restored from is some seconds old.
END_MEMORY_S = 300.0


class _Located(Protocol):
    data_centre: str


class _Listing(Protocol):
    entry: _Located


_ListingT = TypeVar("_ListingT", bound=_Listing)


class _Status(enum.Enum):
    """What is known of a data centre's evacuation.

    `LAPSED` is an evacuation that wasn't written again after a restore.
    """

    EVACUATED = "evacuated"
    ENDED = "ended"
    LAPSED = "lapsed"


class Origin(enum.Enum):
    """How a record became known.

    `CHANGE` and `PEER` are certain. The store's newest values, `NEWEST`, may be
    those of a copy that is older than what hosts know.
    """

    CHANGE = "change"
    NEWEST = "newest values"
    PEER = "another host"


class Outcome(enum.Enum):
    """What a record or the time led to for a data centre."""

    EVACUATED = "evacuated"
    ENDED = "ended"
    IGNORED = "ignored"


class Change(NamedTuple):
    """The begin or end of an evacuation, or a decision against one.

    Attributes:
        data_centre: its name.
        outcome: what was decided.
        reason: what it was decided by.
        position: place of the record that decided.
    """

    data_centre: str
    outcome: Outcome
    reason: str
    position: store.Position


class _Entry(NamedTuple):
    """The last that is known of one data centre.

    Attributes:
        status: whether it is evacuated.
        position: place of the record that said so.
        value: the record's value.
        is_certain: whether it isn't only known from the newest values.
        since: monotonic time at which it became known.
        grace_until: monotonic time at which an evacuation that the restored
            store lacks lapses, None if the store has it.
        copied_up_to: of an end, the highest offset at which the newest values
            of a later era may have the evacuation that it ended.
        is_stored: of an end, whether the store has the ended evacuation.
    """

    status: _Status
    position: store.Position
    value: bytes = b""
    is_certain: bool = True
    since: float = 0.0
    grace_until: float | None = None
    copied_up_to: int = -1
    is_stored: bool = False


class Evacuations:
    """The evacuated data centres, and the evacuations that have ended."""

    def __init__(self) -> None:
        self._entries: dict[str, _Entry] = {}
        # Data centres of the listed endpoints.
        self._listed: frozenset[str] = frozenset()
        # Data centres whose newest record can't be read. An evacuation that was
        # written before it hasn't ended.
        self._unreadable: set[str] = set()

    def is_evacuated(self, data_centre: str) -> bool:
        """Returns whether a data centre gets no new work."""
        entry = self._entries.get(data_centre)
        return entry is not None and entry.status is _Status.EVACUATED

    def without_evacuated(
        self, listed: Mapping[str, Mapping[str, _ListingT]]
    ) -> dict[str, dict[str, _ListingT]]:
        """Returns the endpoints that may get work.

        Args:
            listed: all endpoints, by pool and id. Pools stay, if empty.
        """
        return {
            pool: {
                name: listing
                for name, listing in listings.items()
                if not self.is_evacuated(listing.entry.data_centre)
            }
            for pool, listings in listed.items()
        }

    def set_listed(self, data_centres: Iterable[str]) -> None:
        """Sets the data centres of all endpoints."""
        self._listed = frozenset(data_centres)

    def evacuated(self) -> dict[str, store.Record]:
        """Returns the record of each evacuated data centre, without a key."""
        return {
            name: store.Record(
                entry.position.offset, "", entry.value, entry.position.era
            )
            for name, entry in self._entries.items()
            if entry.status is _Status.EVACUATED
        }

    def ended(self) -> dict[str, store.Position]:
        """Returns where the evacuations ended that are remembered as ended."""
        return {
            name: entry.position
            for name, entry in self._entries.items()
            if entry.status is _Status.ENDED
        }

    def has_any(self) -> bool:
        """Returns whether an evacuation, or an end of one, is known."""
        return bool(self._entries)

    def has_memory(self) -> bool:
        """Returns whether `expire` has something to look at."""
        return any(
            entry.grace_until is not None
            or entry.status is not _Status.EVACUATED
            for entry in self._entries.values()
        )

    def apply_record(
        self, data_centre: str, record: store.Record, now: float
    ) -> list[Change]:
        """Applies a record that was read as a change.

        Args:
            data_centre: the data centre that it is about.
            record: an empty value ends the evacuation.
            now: monotonic time in seconds.
        """
        self._unreadable.discard(data_centre)
        return self._apply(data_centre, record, now, Origin.CHANGE)

    def apply_snapshot(
        self,
        records: Mapping[str, store.Record | None],
        position: store.Position,
        now: float,
        origin: Origin = Origin.NEWEST,
    ) -> list[Change]:
        """Applies the records of all evacuations.

        Args:
            records: the records by data centre, None for one that can't be
                read, which changes nothing.
            position: what they go up to.
            now: monotonic time in seconds.
            origin: whether the store or another host holds them true.
        """
        self._rebase(position)
        self._unreadable = {
            name for name, record in records.items() if record is None
        }
        changes = []
        for name, record in records.items():
            if record is not None:
                changes += self._apply(name, record, now, origin)
                # Another host may hold true what the restored store lacks.
                self._start_grace(name, position, now)
        for name, entry in list(self._entries.items()):
            if name not in records:
                changes += self._apply_missing(name, entry, position, now)
        return changes

    def apply_peer(
        self,
        records: Mapping[str, store.Record],
        ended: Mapping[str, store.Position],
        position: store.Position,
        now: float,
    ) -> list[Change]:
        """Applies what another host holds true that hasn't read further.

        Args:
            records: its evacuations by data centre.
            ended: where it knows evacuations to have ended.
            position: how far this host has read.
            now: monotonic time in seconds.
        """
        changes = []
        for name, record in records.items():
            # This host read the end of such a record, and has forgotten it.
            is_over = (
                name not in self._entries
                and name not in self._unreadable
                and record.era == position.era
                and record.position < position
            )
            if not is_over:
                changes += self._apply(name, record, now, Origin.PEER)
                self._start_grace(name, position, now)
        return changes + self.apply_ended(ended, now)

    def apply_ended(
        self, ended: Mapping[str, store.Position], now: float
    ) -> list[Change]:
        """Applies the ends of evacuations that another host knows."""
        changes = []
        for name, position in ended.items():
            record = store.Record(position.offset, "", b"", position.era)
            changes += self._apply(name, record, now, Origin.PEER)
        return changes

    def expire(self, now: float, is_store_away: bool) -> list[Change]:
        """Ends evacuations that weren't written again after a restore.

        Args:
            now: monotonic time in seconds.
            is_store_away: whether the store can't be read. Operators can't
                write then, so the grace period starts anew.
        """
        changes = []
        for name, entry in list(self._entries.items()):
            is_old = now - entry.since >= END_MEMORY_S
            if entry.grace_until is not None:
                if is_store_away:
                    until = now + GRACE_S
                    self._entries[name] = entry._replace(grace_until=until)
                elif entry.grace_until <= now:
                    self._entries[name] = _Entry(
                        _Status.LAPSED, entry.position, since=now
                    )
                    reason = "not written again after a restore of the store"
                    changes.append(
                        Change(name, Outcome.ENDED, reason, entry.position)
                    )
            elif (
                entry.status is not _Status.EVACUATED
                and is_old
                and not entry.is_stored
            ):
                del self._entries[name]
        return changes

    def _apply(
        self, name: str, record: store.Record, now: float, origin: Origin
    ) -> list[Change]:
        """Applies one record; returns what it changed."""
        old = self._entries.get(name)
        is_certain = origin is not Origin.NEWEST
        if record.value:
            entry = _Entry(
                _Status.EVACUATED,
                record.position,
                record.value,
                is_certain=is_certain,
                since=now,
            )
        else:
            entry = _Entry(
                _Status.ENDED,
                record.position,
                since=now,
                copied_up_to=_copied_up_to(old, record.position),
                is_stored=old is not None and old.position == record.position,
            )
        if old is None:
            return self._set(name, entry, origin.value)
        if _is_copy(entry, old):
            return self._end_copy(name, entry.position, now)
        if _is_copy(old, entry):
            return self._end_copy(name, old.position, now)
        if not _supersedes(entry, old):
            return []
        if entry.status is old.status:
            entry = entry._replace(
                since=old.since,
                is_certain=is_certain
                or (old.is_certain and entry.position == old.position),
            )
            if entry.position == old.position:
                entry = entry._replace(grace_until=old.grace_until)
        return self._set(name, entry, origin.value)

    def _end_copy(
        self, name: str, position: store.Position, now: float
    ) -> list[Change]:
        """Ignores a copy's record of an evacuation that is known as ended."""
        was = self.is_evacuated(name)
        self._entries[name] = _Entry(
            _Status.ENDED,
            position,
            since=now,
            copied_up_to=position.offset,
            is_stored=True,
        )
        outcome = Outcome.ENDED if was else Outcome.IGNORED
        reason = "ended before the store was restored from an older copy"
        return [Change(name, outcome, reason, position)]

    def _set(self, name: str, entry: _Entry, reason: str) -> list[Change]:
        """Sets the entry of a data centre if there is room for it."""
        is_evacuated = entry.status is _Status.EVACUATED
        was = self.is_evacuated(name)
        changes = []
        if self._is_full(is_evacuated, name):
            spare = self._find_spare(is_evacuated, name)
            if spare is None:
                reason = f"more than {MAX_NAMES} data centres are evacuated"
                return [Change(name, Outcome.IGNORED, reason, entry.position)]
            position = self._entries.pop(spare).position
            if is_evacuated:
                text = "gave way to the evacuation of a listed data centre"
                changes = [Change(spare, Outcome.ENDED, text, position)]
        # The entry that changed last is the last to give way.
        self._entries.pop(name, None)
        self._entries[name] = entry
        if is_evacuated != was:
            outcome = Outcome.EVACUATED if is_evacuated else Outcome.ENDED
            changes.append(Change(name, outcome, reason, entry.position))
        return changes

    def _is_full(self, is_evacuated: bool, name: str) -> bool:
        """Returns whether an entry more than those of others is too many."""
        return MAX_NAMES <= sum(
            (entry.status is _Status.EVACUATED) == is_evacuated
            for other, entry in self._entries.items()
            if other != name
        )

    def _find_spare(self, is_evacuated: bool, name: str) -> str | None:
        """Returns the data centre whose entry gives way to that of another.

        The oldest end gives way to any other. An evacuation gives way only if
        its data centre has no endpoints and the other one has.
        """
        spares = (
            other
            for other, entry in self._entries.items()
            if (entry.status is _Status.EVACUATED) == is_evacuated
            and not (is_evacuated and other in self._listed)
        )
        if is_evacuated and name not in self._listed:
            return None
        return next(spares, None)

    def _apply_missing(
        self, name: str, entry: _Entry, position: store.Position, now: float
    ) -> list[Change]:
        """Applies that a snapshot has no record of a data centre."""
        if entry.status is not _Status.EVACUATED:
            if entry.is_stored and entry.position < position:
                self._entries[name] = entry._replace(is_stored=False, since=now)
            return []
        if entry.position.era < position.era:
            self._start_grace(name, position, now)
            return []
        if entry.position >= position:
            return []
        # It ended at some place before the end of the snapshot.
        end = store.Record(position.offset - 1, "", b"", position.era)
        return self._apply(name, end, now, Origin.NEWEST)

    def _start_grace(
        self, name: str, position: store.Position, now: float
    ) -> None:
        """Lets an evacuation lapse that the restored store lacks."""
        entry = self._entries.get(name)
        if (
            entry is not None
            and entry.status is _Status.EVACUATED
            and entry.position.era < position.era
            and entry.grace_until is None
        ):
            until = now + GRACE_S
            self._entries[name] = entry._replace(grace_until=until)

    def _rebase(self, position: store.Position) -> None:
        """Moves entries at places that the store no longer has an era back.

        A restored store whose answers name no era goes on in the same one.
        """
        for name, entry in self._entries.items():
            era, offset = entry.position
            if era == position.era and offset >= position.offset:
                self._entries[name] = entry._replace(
                    position=store.Position(era - 1, offset)
                )


def _copied_up_to(old: _Entry | None, end: store.Position) -> int:
    """Returns up to which offset a copy may have the evacuation that ended."""
    if (
        old is not None
        and old.status is _Status.EVACUATED
        and old.position.era == end.era
    ):
        return old.position.offset
    return end.offset - 1


def _is_copy(evacuation: _Entry, end: _Entry) -> bool:
    """Returns whether an entry is a copy's record of an ended evacuation.

    The copy's records keep their offsets, but are read in the later era. A new
    evacuation that was written at such an offset, in the second before this
    host noticed the restore, can't be told from it; a live host that read it as
    a change corrects this host.
    """
    return (
        evacuation.status is _Status.EVACUATED
        and end.status is _Status.ENDED
        and not evacuation.is_certain
        and evacuation.position.era > end.position.era
        and evacuation.position.offset <= end.copied_up_to
    )


def _supersedes(new: _Entry, old: _Entry) -> bool:
    """Returns whether an entry replaces another one of its data centre."""
    if new.position != old.position:
        return new.position > old.position
    # Two hosts differ on whether a record is a copy's of an ended evacuation:
    # one that read it as a change knows that it isn't.
    if new.status is _Status.EVACUATED:
        return old.status is not _Status.LAPSED and new.is_certain
    return not old.is_certain
