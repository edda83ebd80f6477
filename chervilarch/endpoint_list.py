"""Builds the list of endpoints from their records in the platform's store."""

from typing import NamedTuple

from chervilarch import endpoint_state, hosts, store
from chervilarch.decoding import Unreadable

# Endpoints whose entry expired in an outage of the store, or was lost in its
# restore from an older copy, renew it within about this time, unless they have
# ended. The platform specifies the figure.
EXPIRY_GRACE_S = 2.0
# How long and for how many endpoints at most a removal is remembered. The copy
# that a store is restored from is some seconds old.
REMOVAL_MEMORY_S = 300.0
MAX_REMOVALS = 4096
# A start further ahead of this host's time of day isn't believed: it would hide
# every later record of the endpoint. Clocks that are wrong by a time zone still
# agree.
_MAX_START_AHEAD_S = 24 * 3600.0
_MS_PER_S = 1000
# Runs of an endpoint whose versions are remembered.
_MAX_RUNS = 4


class Listing(NamedTuple):
    """One record of an endpoint.

    Attributes:
        entry: identity and address; `incarnation` is its start in Unix ms.
        sequence: increases with each record of one run.
        cold_s: how much longer it was cold when it wrote the record, in
            seconds; None if the record's figure can't be used.
        version: version of its software, "" if it names none.
    """

    entry: hosts.HostEntry
    sequence: int
    cold_s: float | None = 0.0
    version: str = ""


def check_start(listing: Listing, wall_s: float) -> Listing | Unreadable:
    """Returns the listing if its start is believable.

    Args:
        listing: the listing.
        wall_s: this host's time of day in Unix seconds.
    """
    latest_ms = (wall_s + _MAX_START_AHEAD_S) * _MS_PER_S
    if listing.entry.incarnation > latest_ms:
        return Unreadable("its start lies too far in the future")
    return listing


def runs(
    listed: dict[str, dict[str, Listing]],
) -> set[endpoint_state.EndpointRun]:
    """Returns the runs in a list of endpoints by pool and id."""
    return {
        endpoint_state.EndpointRun(name, listing.entry.incarnation)
        for listings in listed.values()
        for name, listing in listings.items()
    }


class _Seen(NamedTuple):
    incarnation: int
    sequence: int
    is_leaving: bool


class _Grace(NamedTuple):
    """An entry that is no longer in the store but may return.

    Attributes:
        until: monotonic time of the end.
        is_removed: whether a record removed it; else it is only missing.
    """

    until: float
    is_removed: bool


class EndpointList:
    """The endpoints that may get work, by id."""

    def __init__(self) -> None:
        self._listed: dict[str, Listing] = {}
        # Kept for a while after an entry is removed, so that no old record
        # restores it.
        self._seen: dict[str, _Seen] = {}
        # When entries were removed, by id; the last one at the end.
        self._removed: dict[str, float] = {}
        self._graces: dict[str, _Grace] = {}
        self._ended_runs: dict[str, int] = {}
        # Versions of the last runs by their starts, by id.
        self._versions: dict[str, dict[int, str]] = {}
        self._grace_until = float("-inf")

    def listed(self) -> dict[str, Listing]:
        """Returns the endpoints that may get work."""
        return {
            name: listing
            for name, listing in self._listed.items()
            if listing.entry.state != hosts.LEAVING
        }

    def all(self) -> dict[str, Listing]:
        """Returns the listed endpoints, also those that leave."""
        return dict(self._listed)

    def find(self, name: str) -> Listing | None:
        """Returns the last listing of an endpoint, if it is still listed."""
        return self._listed.get(name)

    def version_at(self, listing: Listing, at_ms: float) -> str:
        """Returns the version of the run that an endpoint had at a time.

        Args:
            listing: a listing of the endpoint; its run started before.
            at_ms: the time in Unix ms.
        """
        started, version = listing.entry.incarnation, listing.version
        known = self._versions.get(listing.entry.name, {})
        for other_start, other in known.items():
            if started < other_start <= at_ms:
                started, version = other_start, other
        return version

    def start_grace(self, now: float) -> None:
        """Starts the grace time of entries that an outage or restore removed.

        Missing entries that still have one get as much time again.
        """
        self._grace_until = now + EXPIRY_GRACE_S
        for name, grace in self._graces.items():
            if not grace.is_removed:
                self._graces[name] = _Grace(self._grace_until, False)

    def apply(self, name: str, listing: Listing, is_copy: bool = False) -> bool:
        """Applies a record; returns whether it changed the list.

        Args:
            name: id of the endpoint.
            listing: the record.
            is_copy: whether it is in a copy that the store was restored from.
                This host may not have got the last sequences of a run that it
                knows to have been removed, so they don't list it again there.
        """
        entry = listing.entry
        is_leaving = entry.state == hosts.LEAVING
        seen = self._seen.get(name)
        if seen is not None:
            order = (entry.incarnation, listing.sequence)
            if order < seen[:2]:
                return False
            if self._was_removed(name) and (
                order == seen[:2]
                or (is_copy and entry.incarnation == seen.incarnation)
            ):
                self._seen[name] = seen._replace(sequence=listing.sequence)
                return False
            if entry.incarnation == seen.incarnation:
                is_leaving = is_leaving or seen.is_leaving
        if is_leaving:
            listing = listing._replace(
                entry=entry._replace(state=hosts.LEAVING)
            )
        self._seen[name] = _Seen(
            entry.incarnation, listing.sequence, is_leaving
        )
        self._remember_version(name, listing)
        self._graces.pop(name, None)
        if self._ended_runs.get(name) == entry.incarnation:
            return False
        old = self._listed.get(name)
        self._listed[name] = listing
        self._removed.pop(name, None)
        return old is None or old.entry != listing.entry

    def _remember_version(self, name: str, listing: Listing) -> None:
        known = self._versions.setdefault(name, {})
        known[listing.entry.incarnation] = listing.version
        if len(known) > _MAX_RUNS:
            del known[min(known)]

    def has_grace(self, name: str) -> bool:
        """Returns whether an entry isn't in the store but may return."""
        return name in self._graces

    def _was_removed(self, name: str) -> bool:
        grace = self._graces.get(name)
        return name in self._removed or (grace is not None and grace.is_removed)

    def removed_runs(self) -> list[store.RemovedRun]:
        """Returns the runs that are remembered as removed."""
        return [
            store.RemovedRun(name, *self._seen[name]) for name in self._removed
        ]

    def apply_removed(
        self, run: store.RemovedRun, now: float, precedes_copy: bool = False
    ) -> bool:
        """Removes a run that another host knows to have been removed.

        Args:
            run: the run.
            now: monotonic time in seconds.
            precedes_copy: whether the records that are known here are of a copy
                of the store that was restored after the removal. The other host
                may not have got the run's last sequences, so they don't make
                the removal void; the next one lists the run again.

        Returns:
            Whether it was listed. Records of a higher sequence or a later run
            that are known here make the removal void.
        """
        seen = self._seen.get(run.name)
        if seen is not None and run[1:3] < seen[:2]:
            if not precedes_copy or run.incarnation != seen.incarnation:
                return False
            run = run._replace(sequence=seen.sequence)
        is_leaving = run.is_leaving or (
            seen is not None
            and seen.is_leaving
            and seen.incarnation == run.incarnation
        )
        self._seen[run.name] = _Seen(run.incarnation, run.sequence, is_leaving)
        self._graces.pop(run.name, None)
        was_listed = self._listed.pop(run.name, None) is not None
        self._remember_removal(run.name, now)
        return was_listed

    def remove(self, name: str, now: float) -> bool:
        """Applies a removal; returns whether the entry was removed at once."""
        return self._remove(name, now, is_missing=False)

    def discard(self, name: str) -> bool:
        """Unlists an entry that was overwritten by one that can't be read.

        That says nothing of the endpoint: its next valid record lists it again.

        Returns:
            Whether it was listed.
        """
        self._graces.pop(name, None)
        return self._listed.pop(name, None) is not None

    def _remove(self, name: str, now: float, is_missing: bool) -> bool:
        listing = self._listed.get(name)
        if listing is None:
            return False
        grace = self._graces.get(name)
        if grace is not None:
            is_removed = grace.is_removed or not is_missing
            self._graces[name] = grace._replace(is_removed=is_removed)
            return False
        is_leaving = listing.entry.state == hosts.LEAVING
        if now < self._grace_until and not is_leaving:
            self._graces[name] = _Grace(self._grace_until, not is_missing)
            return False
        self._unlist(name, now)
        return True

    def _unlist(self, name: str, now: float) -> None:
        """Removes an entry and remembers its run."""
        del self._listed[name]
        self._remember_removal(name, now)

    def _remember_removal(self, name: str, now: float) -> None:
        self._removed.pop(name, None)
        self._removed[name] = now
        self.forget_old_removals(now)

    def forget_old_removals(self, now: float) -> None:
        """Forgets removals that are old or too many."""
        while self._removed:
            name, removed_at = next(iter(self._removed.items()))
            if (
                now - removed_at < REMOVAL_MEMORY_S
                and len(self._removed) <= MAX_REMOVALS
            ):
                return
            del self._removed[name]
            self._seen.pop(name, None)
            self._ended_runs.pop(name, None)
            self._versions.pop(name, None)

    def remove_missing(self, present: set[str], now: float) -> bool:
        """Applies a complete snapshot: other entries were removed."""
        missing = [name for name in self._listed if name not in present]
        return any([self._remove(name, now, True) for name in missing])

    def mark_leaving(self, name: str, incarnation: int) -> bool:
        """Marks a run as leaving before its record says so.

        Returns:
            Whether it is news.
        """
        listing = self._listed.get(name)
        if listing is None or listing.entry.incarnation != incarnation:
            return False
        if listing.entry.state == hosts.LEAVING:
            return False
        entry = listing.entry._replace(state=hosts.LEAVING)
        self._listed[name] = listing._replace(entry=entry)
        self._seen[name] = self._seen[name]._replace(is_leaving=True)
        return True

    def mark_ended(self, name: str, incarnation: int, now: float) -> bool:
        """Removes a run of an endpoint that is known to have ended."""
        listing = self._listed.get(name)
        if listing is None or listing.entry.incarnation != incarnation:
            return False
        self._ended_runs[name] = incarnation
        self._graces.pop(name, None)
        self._unlist(name, now)
        return True

    def has_missing(self) -> bool:
        """Returns whether a missing entry has a grace time."""
        return any(not grace.is_removed for grace in self._graces.values())

    def expire(self, now: float, is_store_away: bool = False) -> list[str]:
        """Removes entries whose grace time has ended; returns their ids.

        Missing ones stay while the store is away, as they can't return.
        """
        expired = [
            name
            for name, grace in self._graces.items()
            if grace.until <= now and (grace.is_removed or not is_store_away)
        ]
        for name in expired:
            del self._graces[name]
            self._unlist(name, now)
        return expired
