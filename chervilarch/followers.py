"""Followers of the configuration and the endpoints in the platform's store."""

from collections.abc import Callable, Iterable

from chervilarch import (
    endpoint_list,
    evacuation_follower,
    guards,
    hosts,
    routing_table,
    state_log,
    store,
    tasks,
    topic_follower,
)
from chervilarch import loop as loops
from chervilarch.futures import Future
from chervilarch.scheduling import cold_starts, evacuation

# How soon the end of a grace time is tried again while the store is away.
_EXPIRY_RETRY_S = 0.1
_MS_PER_S = 1000
# An endpoint that comes and leaves as planned is listed for longer than this.
_MAX_READ_GAP_S = 3.0
# When a host asks another one after a restore, in seconds. It may have missed
# the end of an evacuation that the copy has, or have taken a new one for an old
# one. By the first time, all hosts have noticed the restore; the second time
# probably asks another host.
_ASK_AFTER_RESTORE_S = (1.0, 3.0)
# Messages between hosts have no room for higher numbers.
_MAX_SENT = 2**63 - 1


class ConfigFollower:
    """Holds the newest configuration and notifies listeners of it.

    Attributes:
        table: the configuration in force, None if there is none yet.
        applied_at: monotonic time since which it is in force.
        topic_follower: follows the configuration's topic.
    """

    def __init__(
        self,
        loop: loops.Loop,
        source: store.Store,
        key: str,
        decode: Callable[[bytes], "routing_table.RoutingTable | tuple"],
        wait_s: float,
    ):
        """Creates the follower.

        Args:
            loop: the event loop.
            source: the platform's store.
            key: key of the configuration in its topic.
            decode: parses a configuration; returns a tuple with a `reason` if
                it isn't valid.
            wait_s: how long a read waits for a change. A silent connection is
                noticed only when the read times out, which the store's client
                does one second after that.
        """
        self.table: routing_table.RoutingTable | None = None
        self._key = key
        # The record of the configuration in force.
        self._record: store.Record | None = None
        self._decode = decode
        self._loop = loop
        self.applied_at = float("-inf")
        self._listeners: list[Callable[[routing_table.RoutingTable], None]] = []
        # Reads wait for a change, with no pause between them.
        self.topic_follower = topic_follower.TopicFollower(
            loop, source, store.Topic.CONFIGURATION, wait_s, 0.0
        )
        self.topic_follower.on_snapshot = self._apply_snapshot
        self.topic_follower.on_change = self._apply_record
        self.topic_follower.beliefs = self._beliefs
        self.topic_follower.on_beliefs = self._apply_beliefs
        self._evacuations: evacuation_follower.EvacuationFollower | None = None

    def follow_evacuations(
        self, evacuations: evacuation_follower.EvacuationFollower
    ) -> None:
        """Passes on the records of evacuations, which are in the same topic."""
        self._evacuations = evacuations
        evacuations.is_store_away = self.topic_follower.is_outdated
        self.topic_follower.on_removed = evacuations.apply_removed
        self.topic_follower.on_restore = self._ask_after_restore

    def _ask_after_restore(self) -> None:
        """Asks other hosts what they know of evacuations, if there are any."""
        # Looked at when the restored store's values have been applied.
        for delay_s in _ASK_AFTER_RESTORE_S:
            self._loop.call_later(delay_s, self._ask_of_evacuations)

    def _ask_of_evacuations(self) -> None:
        if self._evacuations.has_any():
            self.topic_follower.ask_peer()

    def add_listener(
        self, listener: Callable[[routing_table.RoutingTable], None]
    ) -> None:
        """Calls `listener` with each new version."""
        self._listeners.append(listener)

    def _beliefs(self) -> store.Beliefs:
        """Returns what is in force, which the store may have lost."""
        beliefs = store.Beliefs((self._record,) if self._record else ())
        if self._evacuations is None:
            return beliefs
        evacuations = self._evacuations.beliefs()
        return store.Beliefs(
            beliefs.records + evacuations.records, evacuations.removed
        )

    def _apply_beliefs(
        self, beliefs: store.Beliefs, precede_copy: bool = False
    ) -> None:
        if self._evacuations is not None:
            position = self.topic_follower.state().position
            guards.call(self._evacuations.apply_beliefs, beliefs, position)
        self._apply_configurations(beliefs.records)

    def _apply_snapshot(
        self, records: Iterable[store.Record], is_copy: bool = False
    ) -> None:
        records = list(records)
        if self._evacuations is not None:
            # Before the configuration, with which work begins.
            guards.call(
                self._evacuations.apply_snapshot,
                records,
                self.topic_follower.state().position,
                evacuation.Origin.PEER
                if self.topic_follower.is_peers_snapshot
                else evacuation.Origin.NEWEST,
            )
        self._apply_configurations(records)

    def _apply_configurations(self, records: Iterable[store.Record]) -> None:
        for record in records:
            guards.call(self._apply_configuration, record)

    def _apply_record(self, record: store.Record) -> bool:
        if self._evacuations is not None and self._evacuations.owns(record.key):
            guards.call(self._evacuations.apply_record, record)
            return True
        return self._apply_configuration(record)

    def _apply_configuration(self, record: store.Record) -> bool:
        if record.key != self._key or not record.value:
            return False
        table = self._decode(record.value)
        if not isinstance(table, routing_table.RoutingTable):
            state_log.log_fault("configuration unreadable", reason=table.reason)
            return False
        if not self._is_newer(table, record):
            return False
        has_changed = self._record is None or self._record.value != record.value
        self._record = record
        if not has_changed:
            return False
        state_log.log_change(
            "configuration in force",
            version=table.version,
            was=self.table.version if self.table else None,
            routes=len(table.routes()),
            caller_limits=table.caller_limits._asdict(),
        )
        self.table = table
        self.applied_at = self._loop.now()
        for listener in self._listeners:
            guards.call(listener, table)
        return True

    def _is_newer(
        self, table: routing_table.RoutingTable, record: store.Record
    ) -> bool:
        """Returns whether a record replaces the one in force.

        A version that a restore lost may be given to another configuration. All
        hosts then end with the one at the higher position, whichever they read
        first.
        """
        if self.table is None or table.version > self.table.version:
            return True
        return (
            table.version == self.table.version
            and record.position > self._record.position
        )


class EndpointFollower:
    """Holds the list of endpoints and notifies listeners of changes.

    Attributes:
        topic_follower: follows the topic of the endpoints' records.
        followed_since: monotonic time from which on the list was read without
            a gap in which an endpoint could have come and gone; infinite
            before the first read.
    """

    def __init__(
        self,
        loop: loops.Loop,
        source: store.Store,
        decode: Callable[[str, bytes], "endpoint_list.Listing | tuple"],
        pause_s: float,
    ):
        """Creates the follower.

        Args:
            loop: the event loop.
            source: the platform's store.
            decode: parses an endpoint's record; returns a tuple with a `reason`
                if it isn't valid.
            pause_s: time between reads.
        """
        self._loop = loop
        self._decode = decode
        self._endpoints = endpoint_list.EndpointList()
        # The newest valid record of each listed run; of one that leaves, the
        # newest that says so.
        self._records: dict[str, store.Record] = {}
        self._unreadable: set[str] = set()
        # Content of each endpoint's last record, without its sequence.
        self._last_content: dict[str, tuple[hosts.HostEntry, bool] | bytes] = {}
        # When the cold time ends of which the other hosts know.
        self._cold_ends: dict[str, float] = {}
        self._bad_cold_times: set[str] = set()
        # Called with each record in force and the time of the read; returns
        # whether other hosts must get it.
        self.on_report: Callable[[endpoint_list.Listing, float], bool] = _ignore
        self._changed = False
        self._listeners: list[Callable[[dict], None]] = []
        # These get the endpoints that leave, too.
        self._full_listeners: list[Callable[[dict], None]] = []
        self.followed_since = float("inf")
        self._followed_until = float("-inf")
        self._next_read: Future = Future()
        # Reads don't wait for a change.
        self.topic_follower = topic_follower.TopicFollower(
            loop, source, store.Topic.ENDPOINTS, 0.0, pause_s
        )
        self.topic_follower.on_snapshot = self._apply_snapshot
        self.topic_follower.on_change = self._apply_record
        self.topic_follower.on_removed = self._apply_removed
        self.topic_follower.on_read = self._on_read
        self.topic_follower.beliefs = self._beliefs
        self.topic_follower.on_beliefs = self._apply_beliefs
        self.topic_follower.on_outage_end = self._start_grace
        self.topic_follower.on_restore = self._handle_restore

    def add_listener(
        self,
        listener: Callable[[dict[str, dict[str, endpoint_list.Listing]]], None],
    ) -> None:
        """Calls `listener` with the usable endpoints, by pool and id."""
        self._listeners.append(listener)

    def add_full_listener(
        self,
        listener: Callable[[dict[str, dict[str, endpoint_list.Listing]]], None],
    ) -> None:
        """Calls `listener` with all listed endpoints, by pool and id."""
        self._full_listeners.append(listener)

    def _on_read(self) -> None:
        """Takes note of how far the list is known, and notifies listeners."""
        read_at = self.topic_follower.read_at
        if read_at > self._followed_until + _MAX_READ_GAP_S:
            self.followed_since = read_at
        self._followed_until = max(self._followed_until, read_at)
        self._notify_listeners()
        was, self._next_read = self._next_read, Future()
        tasks.resolve(was, None)

    def next_read(self) -> Future:
        """Returns a future that is done once the list was read again.

        A read of another host counts once it has become known.
        """
        return self._next_read

    def version_of(self, listing: endpoint_list.Listing, sent_at: float) -> str:
        """Returns the software version of the run that got a request.

        An endpoint may have started again under its id before the request was
        sent, of which the list tells only later.

        Args:
            listing: the endpoint as it was listed when it was chosen.
            sent_at: monotonic time in seconds after which it got the request.
        """
        clock = self._loop.clock
        sent_ms = _MS_PER_S * (clock.wall() - clock.monotonic() + sent_at)
        return self._endpoints.version_at(listing, sent_ms)

    def mark_leaving(self, name: str, incarnation: int) -> None:
        """Gives no more work to a run whose answer says that it leaves."""
        if self._endpoints.mark_leaving(name, incarnation):
            state_log.log_change(
                "endpoint leaving", endpoint=name, reason="its answer says so"
            )
            self._changed = True
            # Later, as the caller may be a listener in mid-change.
            self._loop.call_soon(self._notify_listeners)

    def mark_ended(self, name: str, incarnation: int) -> None:
        """Removes a run of an endpoint that is known to have ended."""
        if self._endpoints.mark_ended(name, incarnation, self._loop.now()):
            state_log.log_change(
                "endpoint gone", endpoint=name, reason="address in other use"
            )
            self._changed = True
            # Later, as the caller may be a listener in mid-change.
            self._loop.call_soon(self._notify_listeners)

    def _handle_restore(self) -> None:
        self._start_grace()
        # The other hosts need the renewals of entries that the copy lacks, also
        # if nothing but their sequence has changed.
        self._last_content.clear()
        self._cold_ends.clear()

    def _start_grace(self) -> None:
        self._endpoints.start_grace(self._loop.now())
        self._loop.call_later(endpoint_list.EXPIRY_GRACE_S + 0.01, self._expire)

    def _expire(self) -> None:
        is_away = self.topic_follower.is_outdated()
        for name in self._endpoints.expire(self._loop.now(), is_away):
            self._record_removal(name, "lapsed while the store was away")
        if is_away and self._endpoints.has_missing():
            self._loop.call_later(_EXPIRY_RETRY_S, self._expire)
        self._notify_listeners()

    def _beliefs(self) -> store.Beliefs:
        """Returns what the endpoints said last, and which runs were removed."""
        return store.Beliefs(
            tuple(
                record
                for name, record in self._records.items()
                if self._endpoints.find(name)
                and not self._endpoints.has_grace(name)
            ),
            tuple(
                run
                for run in self._endpoints.removed_runs()
                if max(abs(run.incarnation), abs(run.sequence)) <= _MAX_SENT
            ),
        )

    def _apply_beliefs(
        self, beliefs: store.Beliefs, precede_copy: bool = False
    ) -> None:
        """Applies what another host knows of entries, and adds none."""
        for record in beliefs.records:
            is_known = self._endpoints.find(record.key) is not None
            # The other host doesn't know that an entry with a grace time isn't
            # in the store.
            if is_known and not self._endpoints.has_grace(record.key):
                self._apply_record(record)
                continue
            listing = self._read_listing(record.key, record.value)
            is_leaving = (
                isinstance(listing, endpoint_list.Listing)
                and listing.entry.state == hosts.LEAVING
            )
            if is_leaving and is_known:
                self._apply_record(record)
            elif is_leaving:
                run = store.RemovedRun(
                    record.key,
                    listing.entry.incarnation,
                    listing.sequence,
                    is_leaving=True,
                )
                self._endpoints.apply_removed(run, self._loop.now())
        self._apply_removed(beliefs.removed, precede_copy)
        self._notify_listeners()

    def _apply_removed(
        self, removed: Iterable[store.RemovedRun], precede_copy: bool = False
    ) -> None:
        """Applies what another host knows to have been removed."""
        now = self._loop.now()
        for run in removed:
            if self._endpoints.apply_removed(run, now, precede_copy):
                self._record_removal(run.name, "removed at another host")

    def _apply_snapshot(
        self, records: Iterable[store.Record], is_copy: bool = False
    ) -> None:
        """Applies all records; other entries are removed without an event."""
        present = set()
        for record in records:
            present.add(record.key)
            guards.call(self._apply_record, record, is_copy)
        if self._endpoints.remove_missing(present, self._loop.now()):
            self._changed = True

    def _apply_record(
        self, record: store.Record, is_copy: bool = False
    ) -> bool:
        """Applies a record; returns whether other hosts must get it.

        Args:
            record: the record.
            is_copy: whether it is in the copy that the store was restored from.
        """
        name, value = record.key, record.value
        now = self._loop.now()
        if not value:
            self._last_content.pop(name, None)
            self._cold_ends.pop(name, None)
            self._bad_cold_times.discard(name)
            if self._endpoints.remove(name, now):
                self._record_removal(name, "removed from the list")
            return True
        listing = self._read_listing(name, value)
        is_readable = isinstance(listing, endpoint_list.Listing)
        content = (
            (listing.entry, bool(listing.cold_s)) if is_readable else value
        )
        is_new = self._last_content.get(name) != content
        self._last_content[name] = content
        if not is_readable:
            if name not in self._unreadable:
                self._unreadable.add(name)
                state_log.log_fault(
                    "endpoint entry unreadable",
                    endpoint=name,
                    reason=listing.reason,
                )
            if self._endpoints.discard(name):
                self._changed = True
            return is_new
        self._unreadable.discard(name)
        if self._endpoints.apply(name, listing, is_copy):
            self._changed = True
            is_new = True
            entry = self._endpoints.find(name).entry
            state_log.log_change(
                "endpoint leaving"
                if entry.state == hosts.LEAVING
                else "endpoint listed",
                endpoint=name,
                pool=entry.pool,
                address=entry.address,
                data_centre=entry.data_centre,
                sequence=listing.sequence,
            )
        believed = self._endpoints.find(name)
        if believed is not None and listing == believed:
            self._records[name] = record
            is_new = self._is_colder(name, listing, now) or is_new
            if listing.cold_s is not None:
                is_new = self.on_report(listing, now) or is_new
        return is_new

    def _is_colder(
        self, name: str, listing: endpoint_list.Listing, now: float
    ) -> bool:
        """Returns whether an endpoint is cold for longer than others know.

        The countdown of a known cold time is no news. An unusable figure is
        logged once.
        """
        if listing.cold_s is None:
            if name not in self._bad_cold_times:
                self._bad_cold_times.add(name)
                state_log.log_fault(
                    "cold time of an endpoint ignored",
                    endpoint=name,
                    reason="not a number of milliseconds up to a day",
                )
            return False
        self._bad_cold_times.discard(name)
        if not listing.cold_s:
            self._cold_ends.pop(name, None)
            return False
        end = now + listing.cold_s
        known_end = self._cold_ends.get(name, float("-inf"))
        if end <= known_end + cold_starts.NEWS_TOLERANCE_S:
            return False
        self._cold_ends[name] = end
        return True

    def _read_listing(
        self, name: str, value: bytes
    ) -> "endpoint_list.Listing | tuple":
        """Returns a record's listing, or a tuple with the reason for none."""
        listing = self._decode(name, value)
        if not isinstance(listing, endpoint_list.Listing):
            return listing
        return endpoint_list.check_start(listing, self._loop.clock.wall())

    def _record_removal(self, name: str, reason: str) -> None:
        self._changed = True
        state_log.log_change("endpoint gone", endpoint=name, reason=reason)

    def _notify_listeners(self) -> None:
        if not self._changed:
            return
        self._changed = False
        for name in [n for n in self._records if not self._endpoints.find(n)]:
            del self._records[name]
        for listeners, listed in (
            (self._full_listeners, self._endpoints.all()),
            (self._listeners, self._endpoints.listed()),
        ):
            by_pool = _by_pool(listed)
            for listener in listeners:
                guards.call(listener, by_pool)


def _by_pool(
    listed: dict[str, endpoint_list.Listing],
) -> dict[str, dict[str, endpoint_list.Listing]]:
    by_pool: dict[str, dict[str, endpoint_list.Listing]] = {}
    for name, listing in listed.items():
        by_pool.setdefault(listing.entry.pool, {})[name] = listing
    return by_pool


def _ignore(listing: endpoint_list.Listing, now: float) -> bool:
    return False
