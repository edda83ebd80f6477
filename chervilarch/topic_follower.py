"""Follows one topic of the platform's store, alone or with neighbours."""

from collections.abc import Callable, Iterable

from chervilarch import guards, state_log, store, tasks
from chervilarch import loop as loops
from chervilarch.futures import Future

# Timeout of a read of the newest values; it doubles with each failure. The
# store answers in milliseconds, or in up to 0.3 s while it is slow. After an
# outage, connections that were opened during it stay without an answer.
_FIRST_NEWEST_TIMEOUT_S = 0.5
_MAX_NEWEST_TIMEOUT_S = 2.0
# A host reads later by this share of the read period for each neighbour of a
# lower rank. The store's answer and the update take some milliseconds.
_DELAY_PER_RANK = 0.1
# Doubled with each failure before it is used, so the first retry comes after
# twice this time.
_MIN_RETRY_S = 0.1
_MAX_RETRY_S = 0.8
# Hosts of a higher rank retry later, as they get updates from the others; no
# later than this, so that they are up to date 3 s after an outage.
_MAX_RANKED_RETRY_S = 2.0
# The store was unavailable to all hosts if no host's read became known for this
# much longer than the read period.
_OUTAGE_MARGIN_S = 0.3
# A host that starts asks the live hosts until one answers that isn't starting
# too. It serves without such an answer after the first of these times, or after
# the second one if a live host doesn't answer at all.
_MAX_JOIN_WAIT_S = 0.5
_MAX_SILENT_PEER_WAIT_S = 1.0
_JOIN_PERIOD_S = 0.1
# A host that serves without such an answer asks on at this pace.
_LATE_JOIN_PERIOD_S = 1.0
_NOWHERE = store.Position(-1, 0)
_OUTDATED = store.StoreError("the answer is older than a restore of the store")


class TopicFollower:
    """Passes the newest value of each key to callbacks, then every change.

    Attributes:
        read_at: monotonic time at which the store held nothing newer than
            what was passed to the callbacks.
        may_serve: whether a live host was asked for what it holds true, or none
            was found in time.
        has_joined: whether a live host has answered since the start or the last
            pause.
        is_peers_snapshot: whether the snapshot that was passed last is another
            host's, not the store's.
    """

    def __init__(
        self,
        loop: loops.Loop,
        source: store.Store,
        topic: store.Topic,
        wait_s: float,
        pause_s: float,
    ):
        """Creates the follower.

        Args:
            loop: the event loop.
            source: the platform's store.
            topic: what to follow.
            wait_s: how long a read waits for a change.
            pause_s: time between reads.
        """
        self._loop = loop
        self._store = source
        self._topic = topic
        self._wait_s = wait_s
        self._pause_s = pause_s
        # Time between the ends of two reads that find no change.
        self._read_period_s = wait_s + pause_s
        self._position: store.Position | None = None
        self._failed_since: float | None = None
        self._retry_delay_s = _MIN_RETRY_S
        self._newest_timeout_s = _FIRST_NEWEST_TIMEOUT_S
        # The furthest position that is known to exist. If it is beyond the own
        # one, a reply ended before the end of the log, an update of another
        # host was missed, or the store was restored. This host then reads at
        # once.
        self._known = _NOWHERE
        # The highest era that another host told of.
        self._told_era = 0
        # When to read the snapshot that a restore requires.
        self._snapshot_at = float("-inf")
        # Whether a neighbour has read since this host's last read began. This
        # host's next read then waits for its rank.
        self._peer_has_read = False
        self._update_received: Future = Future()
        self._fetching: Future = tasks.done(None)
        self.read_at = float("-inf")
        self.may_serve = False
        self.has_joined = False
        self.is_peers_snapshot = False
        # Gets all records, and whether the store has just been restored from
        # the copy that they are of.
        self.on_snapshot: Callable[[Iterable[store.Record], bool], None] = (
            _ignore
        )
        # Returns whether the record must be sent to other hosts.
        self.on_change: Callable[[store.Record], bool] = _ignore
        self.on_removed: Callable[[Iterable[store.RemovedRun]], None] = _ignore
        self.on_read: Callable[[], None] = _ignore
        # Returns what this host holds true of the topic.
        self.beliefs: Callable[[], store.Beliefs] = store.Beliefs
        # Takes what another host holds true that hasn't read further, and
        # whether that is of before a restore whose copy this host, which starts
        # or was paused, has read.
        self.on_beliefs: Callable[[store.Beliefs, bool], None] = _ignore
        self.on_outage_end: Callable[[], None] = _ignore
        # Called before the first snapshot of a restored store.
        self.on_restore: Callable[[], None] = _ignore
        # Set by StoreSharing.
        self.read_rank: Callable[[], int] = _zero
        self.restore_delay: Callable[[], float] = _zero
        self.on_update: Callable[[store.TopicUpdate], None] = _ignore
        self.has_peers: Callable[[], bool] = bool
        self.fetch_from_peer: Callable[[], Future] = _fetch_nothing

    def start(self) -> None:
        """Begins to follow."""
        self._store.eras.add_listener(
            lambda era: self._note_position(store.Position(era, 0))
        )
        tasks.Task(self._run())
        tasks.Task(self._join())
        self._loop.add_resume_listener(self._on_resume)

    def has_read(self) -> bool:
        """Returns whether a snapshot was read or fetched from a peer."""
        return self._position is not None

    def is_outdated(self) -> bool:
        """Returns whether the last read failed or is too long ago.

        The reads of other hosts that became known count as well.
        """
        unread_s = self._loop.now() - self.read_at
        return (
            self._failed_since is not None
            or unread_s >= self._read_period_s + _OUTAGE_MARGIN_S
        )

    def state(self) -> store.TopicUpdate:
        """Returns how far this host has read, without the records."""
        era, offset = self._position
        return store.TopicUpdate(
            self._topic, offset, offset, self.read_at, era=era
        )

    def snapshot(self) -> store.TopicUpdate:
        """Returns how far this host has read, and what it holds true."""
        return self.state()._replace(**self.beliefs()._asdict())

    def apply_update(self, update: store.TopicUpdate, source_ip: str) -> None:
        """Applies what another host has read.

        Args:
            update: what the other host sent.
            source_ip: its IP address, for the log.
        """
        if self._position is None or update.position < self._position:
            return
        if update.era > self._position.era:
            self._told_era = max(self._told_era, update.era)
            self._note_position(update.position)
            return
        # An update counts as a new read of the neighbour if its read time is
        # less than half a read period before this host's. An older one only
        # repeats what this host has read itself.
        if update.read_at > self.read_at - self._read_period_s / 2:
            self._peer_has_read = True
        has_gap = not update.is_complete and (
            len(update.records) < update.end - update.first
        )
        if update.first > self._position.offset or has_gap:
            self._note_position(update.position)
            return
        if update.position == self._position and update.read_at <= self.read_at:
            return
        self._record_success(update.read_at, source_ip)
        self._apply_changes(update.records, update.end)
        tasks.resolve(self._update_received, None)

    def _note_position(self, position: store.Position) -> None:
        """Takes note of a position that the store has reached."""
        if position <= self._known:
            return
        if position.era > self._known.era:
            self._snapshot_at = self._loop.now() + self.restore_delay()
        self._known = position
        tasks.resolve(self._update_received, None)

    def _is_behind(self) -> bool:
        """Returns whether there are records that this host hasn't read."""
        return not self.has_read() or self._known > self._position

    def _is_restored(self) -> bool:
        """Returns whether the own position is of before a restore."""
        return self._known.era > self._position.era

    def _run(self) -> tasks.Coroutine[None]:
        while True:
            has_snapshot = yield from self._read_snapshot()
            if not has_snapshot and self._is_behind():
                has_snapshot = yield from self._fetch_snapshot()
            delay_s = self._retry_delay_s
            while has_snapshot:
                yield from self._wait_until_due()
                has_snapshot = yield from self._read_changes()
                delay_s = self._retry_delay_s
                if self._is_restored():
                    delay_s = max(0.0, self._snapshot_at - self._loop.now())
            yield tasks.sleep(self._loop, delay_s)

    def _on_resume(self, paused_s: float) -> None:
        """Reads and asks again: the store may have lost a change, too."""
        tasks.resolve(self._update_received, None)
        if self.has_joined:
            self.has_joined = False
            tasks.Task(self._join())

    def _join(self) -> tasks.Coroutine[None]:
        """Asks a live host for what it holds true, until one has answered.

        The store may have been restored from a copy that lacks the newest
        configuration, or that lists endpoints which have left.
        """
        started_at = self._loop.now()
        while True:
            wait_s = _MAX_JOIN_WAIT_S
            known_era = self._known.era
            if self.has_peers():
                update = yield self._fetch()
                if update is None:
                    wait_s = _MAX_SILENT_PEER_WAIT_S
                elif isinstance(update, store.TopicUpdate):
                    self._merge(update)
                    if not -1 < known_era < self._known.era:
                        self.may_serve = self.has_joined = True
                        return
            is_late = self._loop.now() - started_at >= wait_s
            if is_late:
                self.may_serve = True
            yield tasks.sleep(
                self._loop,
                _LATE_JOIN_PERIOD_S if is_late else _JOIN_PERIOD_S,
            )

    def ask_peer(self) -> None:
        """Merges what a live host holds true, if one answers."""
        tasks.Task(self._fetch_snapshot())

    def _wait_until_due(self) -> tasks.Coroutine[None]:
        """Waits until this host must read."""
        while not self._is_behind() and self._due_at() > self._loop.now():
            yield from self._wait_for_update(self._due_at())

    def _wait_for_update(self, until: float) -> tasks.Coroutine[None]:
        """Waits until a monotonic time, or for an update of another host."""
        self._update_received = Future()
        yield from tasks.wait(self._loop, self._update_received, until)

    def _due_at(self) -> float:
        """Returns when to read if no update arrives before."""
        if self.read_at < self._loop.resumed_at:
            return self._loop.resumed_at
        read_rank = self.read_rank()
        if not read_rank or not self._peer_has_read:
            return self.read_at + self._pause_s
        return self.read_at + self._read_period_s * (
            1 + _DELAY_PER_RANK * read_rank
        )

    def _read_snapshot(self) -> tasks.Coroutine[bool]:
        """Reads all pages of newest values.

        The pages aren't read at one time: records are read from the end offset
        of the first page on, so that none between pages is missed. A restore
        between pages makes this start over.
        """
        known, own = self._known, self._position
        values: dict[str, store.Record] = {}
        position, after = None, ""
        started_at = self._loop.now()
        while True:
            page = yield self._store.read_newest(
                self._topic, after, self._newest_timeout_s
            )
            if self._is_outdated(page):
                page = _OUTDATED
            if isinstance(page, store.StoreError):
                self._newest_timeout_s = min(
                    _MAX_NEWEST_TIMEOUT_S, 2 * self._newest_timeout_s
                )
                self._record_failure(page)
                return False
            if position is not None and page.era != position.era:
                values.clear()
                position, after = None, ""
                started_at = self._loop.now()
                continue
            for record in page.records:
                values[record.key] = record
            position = position or store.Position(page.era, page.end)
            if not page.has_more or not page.records:
                break
            after = page.records[-1].key
        self._newest_timeout_s = _FIRST_NEWEST_TIMEOUT_S
        self._record_success(started_at, "")
        # A peer's snapshot that was merged meanwhile may go further.
        if self._position == own or position >= self._position:
            self._apply_snapshot(values.values(), position)
        self._confirm_position(known, position)
        return True

    def _is_outdated(
        self, page: store.NewestPage | store.RecordPage | store.StoreError
    ) -> bool:
        """Returns whether a page was read before a restore that is known."""
        if isinstance(page, store.StoreError):
            return False
        own_era = self._position.era if self._position else 0
        return page.era < max(own_era, self._store.eras.era or 0)

    def _confirm_position(
        self, known: store.Position, position: store.Position
    ) -> None:
        """Replaces what others told before a read by what the store says.

        Args:
            known: the furthest known position when the read began.
            position: the end of the topic in the store's answer.
        """
        if self._known == known:
            self._known = position
        self._known = max(self._known, position)

    def _fetch_snapshot(self) -> tasks.Coroutine[bool]:
        """Fetches newer values from a peer while the store is unavailable."""
        update = yield self._fetch()
        return isinstance(update, store.TopicUpdate) and self._merge(update)

    def _fetch(
        self,
    ) -> "Future[store.TopicUpdate | store.PeerStarting | None]":
        """Fetches a snapshot from a peer, one at a time."""
        if self._fetching.done():
            self._fetching = self.fetch_from_peer()
        return self._fetching

    def _merge(self, update: store.TopicUpdate) -> bool:
        """Merges a peer's snapshot; returns whether it went further."""
        if self.has_read() and (
            update.position <= self._position or not update.is_complete
        ):
            precede_copy = (
                not self.has_joined and update.era < self._position.era
            )
            self.on_beliefs(
                store.Beliefs(update.records, update.removed), precede_copy
            )
            return False
        self.read_at = max(self.read_at, update.read_at)
        state_log.log_change(
            "newest values from a peer",
            topic=self._topic.value,
            values=len(update.records),
            age_s=round(self._loop.now() - update.read_at, 3),
        )
        self._apply_snapshot(update.records, update.position, update.removed)
        return True

    def _apply_snapshot(
        self,
        records: Iterable[store.Record],
        position: store.Position,
        removed: Iterable[store.RemovedRun] | None = None,
    ) -> None:
        """Applies a snapshot.

        Args:
            records: its records.
            position: what it goes up to.
            removed: the removed runs if it is a peer's, None if the store's.
        """
        is_restored = self.has_read() and position.era > self._position.era
        self._position = position
        self.is_peers_snapshot = removed is not None
        if is_restored:
            guards.call(self.on_restore)
        is_copy = is_restored and removed is None
        guards.call(self.on_snapshot, records, is_copy)
        guards.call(self.on_removed, removed or ())
        guards.call(self.on_read)
        if is_restored and self._told_era < position.era:
            guards.call(self.on_update, self.state())

    def _read_changes(self) -> tasks.Coroutine[bool]:
        """Reads new records once; returns False if a snapshot is needed."""
        if self._is_restored():
            return False
        known = self._known
        self._peer_has_read = False
        started_at = self._loop.now()
        era, first = self._position
        # The first read after a pause doesn't wait for a change.
        is_resumed = self.read_at < self._loop.resumed_at
        wait_s = 0.0 if is_resumed else self._wait_s
        page = yield from self._request_changes(era, first, wait_s)
        if page is None:
            return self._loop.resumed_at > started_at
        if isinstance(page, store.StoreError):
            if page.is_dropped:
                state_log.log_change(
                    "store history dropped", topic=self._topic.value
                )
                return False
            self._record_failure(page)
            if self._is_behind():
                yield from self._fetch_snapshot()
            delay_s = min(
                self._retry_delay_s * 2 ** self.read_rank(), _MAX_RANKED_RETRY_S
            )
            yield from self._wait_for_update(self._loop.now() + delay_s)
            return True
        end = first + len(page.records)
        self._confirm_position(known, store.Position(era, page.end))
        if not page.records:
            # The store waited for a change until the wait time was over.
            started_at = min(started_at + wait_s, self._loop.now())
        self._record_success(self.read_at if end < page.end else started_at, "")
        self._apply_and_share(page.records, end)
        return True

    def _request_changes(
        self, era: int, first: int, wait_s: float
    ) -> tasks.Coroutine[store.RecordPage | store.StoreError | None]:
        """Returns the store's answer, or None after a restore or a pause."""
        resumed_at = self._loop.resumed_at
        read = self._store.read_changes(self._topic, first, wait_s)
        while not (
            read.done()
            or self._is_restored()
            or self._loop.resumed_at > resumed_at
        ):
            self._update_received = Future()
            yield from tasks.first_of(read, self._update_received)
        if not read.done() or self._position.era != era:
            return None
        page = read.result()
        if not isinstance(page, store.StoreError):
            self._note_position(store.Position(page.era, 0))
        if self._is_restored():
            # The first host to find out needn't wait for others.
            self._snapshot_at = self._loop.now()
            return None
        return _OUTDATED if self._is_outdated(page) else page

    def _apply_and_share(self, records: list[store.Record], end: int) -> None:
        """Applies the records that were read and sends them to other hosts."""
        era, first = self._position
        shared = self._apply_changes(records, end)
        # An update that arrived during the read went further.
        if first > end:
            return
        update = store.TopicUpdate(
            self._topic, first, end, self.read_at, tuple(shared), era
        )
        guards.call(self.on_update, update)

    def _apply_changes(
        self, records: Iterable[store.Record], end: int
    ) -> list[store.Record]:
        """Applies the new records; returns those to send to other hosts."""
        shared = []
        for record in records:
            if record.offset < self._position.offset:
                continue
            if guards.call(self.on_change, record):
                shared.append(record)
        era, offset = self._position
        self._position = store.Position(era, max(offset, end))
        guards.call(self.on_read)
        return shared

    def _record_success(self, read_at: float, source_ip: str) -> None:
        """Records a successful read.

        Args:
            read_at: monotonic time at which the store held nothing newer.
            source_ip: IP address of the host that read, "" for this one.
        """
        unread_s = self._loop.now() - self.read_at
        self.read_at = max(self.read_at, read_at)
        self._retry_delay_s = _MIN_RETRY_S
        failed_since, self._failed_since = self._failed_since, None
        if failed_since is None:
            return
        outage_s = self._loop.now() - failed_since
        state_log.log_change(
            "store reachable",
            topic=self._topic.value,
            away_s=round(outage_s, 3),
            through=source_ip,
        )
        # A host that alone lost the store still got updates from neighbours.
        if unread_s >= self._read_period_s + _OUTAGE_MARGIN_S:
            guards.call(self.on_outage_end)

    def _record_failure(self, error: store.StoreError) -> None:
        self._retry_delay_s = min(_MAX_RETRY_S, 2 * self._retry_delay_s)
        if self._failed_since is None:
            self._failed_since = self._loop.now()
            state_log.log_fault(
                "store unreachable",
                topic=self._topic.value,
                reason=error.reason,
            )


def _ignore(*_args) -> None:
    pass


def _zero() -> int:
    return 0


def _fetch_nothing() -> Future:
    return tasks.done(None)
