"""Controllers that follow the platform's store: configuration and endpoints."""

from collections.abc import Callable, Iterable
from concurrent.futures import Future

from chervilarch import (
    endpoint_list,
    hosts,
    route_book,
    state_log,
    store,
    tasks,
)
from chervilarch import loop as loops

# A read of the newest values that takes longer is given up; the bound doubles
# with each failure. The store answers in milliseconds, in up to 0.3 s while it
# is slow, and a connection made while it was silent stays silent.
_FIRST_NEWEST_TIMEOUT_S = 0.5
_MAX_NEWEST_TIMEOUT_S = 2.0
# A host reads this share of its usual time later for each neighbour that
# should have read before. The answer and its news take some milliseconds.
_LATER_PER_TURN = 0.1
_FIRST_RETRY_S = 0.1
_MAX_RETRY_S = 0.8
# A host that reads after others waits longer, as it will hear their news; no
# longer than this, so that it is up to date again 3 s after an outage.
_MAX_RETRY_IN_TURN_S = 2.0
# The store counts as having been away for all hosts when nobody's reading was
# heard of for this much longer than usual.
_OUTAGE_S = 0.3


class TopicFollower:
    """Hands over the newest value of each key, then every change.

    Attributes:
        read_at: monotonic time at which the store held nothing newer than
            what was handed over.
    """

    def __init__(
        self,
        loop: loops.Loop,
        source: store.Store,
        topic: store.Topic,
        wait_s: float,
        pause_s: float,
        tells_changes: bool,
    ):
        """Creates the follower.

        Args:
            loop: the event loop.
            source: the platform's store.
            topic: what to follow.
            wait_s: how long a read waits for a change.
            pause_s: time between reads.
            tells_changes: whether other hosts are told the changes, or only
                that there are some.
        """
        self._loop = loop
        self._store = source
        self._topic = topic
        self._wait_s = wait_s
        self._pause_s = pause_s
        self._tells_changes = tells_changes
        self._offset: int | None = None
        self._failed_since: float | None = None
        self._delay_s = _FIRST_RETRY_S
        self._newest_timeout_s = _FIRST_NEWEST_TIMEOUT_S
        self._has_gap = False
        self._heard_of_reader = False
        self._newest: dict[str, bytes] = {}
        self._news: Future = Future()
        self.read_at = float("-inf")
        self.on_snapshot: Callable[[dict[str, bytes]], None] = _ignore
        # Returns whether the record says anything that others must hear.
        self.on_change: Callable[[str, bytes], bool] = _ignore
        self.on_read: Callable[[], None] = _ignore
        self.on_outage_end: Callable[[], None] = _ignore
        # Set by whoever shares readings between hosts.
        self.turn: Callable[[], int] = _first
        self.on_news: Callable[[store.TopicNews], None] = _ignore
        self.ask_peer: Callable[[], Future] = _ask_nobody

    def start(self) -> None:
        """Begins to follow."""
        tasks.Task(self._run())

    def has_read(self) -> bool:
        """Tells whether there was a first reading."""
        return self._offset is not None

    def state(self) -> store.TopicNews:
        """Returns how far this host has read, without the changes."""
        return store.TopicNews(
            self._topic, self._offset, self._offset, self.read_at
        )

    def snapshot(self) -> store.TopicNews:
        """Returns how far this host has read, and the newest values."""
        state = self.state()
        return state._replace(
            changes=tuple(
                store.Change(state.end, key, value)
                for key, value in self._newest.items()
            )
        )

    def take_news(self, news: store.TopicNews, host: str) -> None:
        """Takes what another host has read."""
        if self._offset is None or news.end < self._offset:
            return
        usual_s = self._wait_s + self._pause_s
        if news.read_at > self.read_at - usual_s / 2:
            self._heard_of_reader = True
        if news.first > self._offset:
            self._has_gap = True
            tasks.resolve(self._news, None)
            return
        if news.end == self._offset and news.read_at <= self.read_at:
            return
        self._note_success(news.read_at, host)
        self._hand_over(news.changes, news.end)
        tasks.resolve(self._news, None)

    def _run(self) -> tasks.Steps[None]:
        while True:
            has_snapshot = yield from self._read_snapshot()
            if not has_snapshot and not self.has_read():
                has_snapshot = yield from self._take_snapshot_of_peer()
            while has_snapshot:
                yield from self._rest()
                has_snapshot = yield from self._read_changes()
            yield tasks.sleep(self._loop, self._delay_s)

    def _rest(self) -> tasks.Steps[None]:
        """Waits until this host has to read."""
        while not self._has_gap and self._due_at() > self._loop.now():
            yield from self._wait_for_news(self._due_at())

    def _wait_for_news(self, until: float) -> tasks.Steps[None]:
        """Waits up to a monotonic time, or until a neighbour has read."""
        self._news = Future()
        yield from tasks.wait(self._loop, self._news, until)

    def _due_at(self) -> float:
        """Returns when to read, unless there is news of another's reading."""
        turn = self.turn()
        if not turn or not self._heard_of_reader:
            return self.read_at + self._pause_s
        usual_s = self._wait_s + self._pause_s
        return self.read_at + usual_s * (1 + _LATER_PER_TURN * turn)

    def _read_snapshot(self) -> tasks.Steps[bool]:
        """Reads all pages; they aren't one snapshot, so the first end holds."""
        values: dict[str, bytes] = {}
        end, after = None, ""
        began_at = self._loop.now()
        while True:
            page = yield self._store.read_newest(
                self._topic, after, self._newest_timeout_s
            )
            if isinstance(page, store.StoreError):
                self._newest_timeout_s = min(
                    _MAX_NEWEST_TIMEOUT_S, 2 * self._newest_timeout_s
                )
                self._note_failure(page)
                return False
            for change in page.changes:
                values[change.key] = change.value
            end = page.end if end is None else end
            if not page.has_more or not page.changes:
                break
            after = page.changes[-1].key
        self._newest_timeout_s = _FIRST_NEWEST_TIMEOUT_S
        self._note_success(began_at, "")
        self._take_snapshot(values, end)
        return True

    def _take_snapshot_of_peer(self) -> tasks.Steps[bool]:
        """Takes another host's newest values while the store is away."""
        news: store.TopicNews | None = yield self.ask_peer()
        if news is None:
            return False
        self.read_at = news.read_at
        state_log.log_change(
            "newest values from a peer",
            topic=self._topic.value,
            values=len(news.changes),
            age_s=round(self._loop.now() - news.read_at, 3),
        )
        values = {change.key: change.value for change in news.changes}
        self._take_snapshot(values, news.end)
        return True

    def _take_snapshot(self, values: dict[str, bytes], end: int) -> None:
        self._newest = values
        self._offset = end
        self.on_snapshot(values)
        self.on_read()

    def _read_changes(self) -> tasks.Steps[bool]:
        """Reads once; False if a snapshot is needed."""
        self._has_gap = False
        self._heard_of_reader = False
        began_at = self._loop.now()
        first = self._offset
        changes = yield self._store.read_changes(
            self._topic, first, self._wait_s
        )
        if isinstance(changes, store.StoreError):
            if changes.is_dropped:
                state_log.log_change(
                    "store history dropped", topic=self._topic.value
                )
                return False
            self._note_failure(changes)
            delay_s = min(
                self._delay_s * 2 ** self.turn(), _MAX_RETRY_IN_TURN_S
            )
            yield from self._wait_for_news(self._loop.now() + delay_s)
            return True
        end = first + len(changes.changes)
        self._has_gap = end < changes.end
        if not changes.changes:
            # The store has waited in vain for the whole time.
            began_at = min(began_at + self._wait_s, self._loop.now())
        self._note_success(self.read_at if self._has_gap else began_at, "")
        self._tell(changes.changes, end)
        return True

    def _tell(self, changes: list[store.Change], end: int) -> None:
        """Hands over what was read and tells the other hosts."""
        first = self._offset
        told = self._hand_over(changes, end)
        if first > end:
            return
        if changes and not self._tells_changes:
            first, told = end, []
        self.on_news(
            store.TopicNews(self._topic, first, end, self.read_at, tuple(told))
        )

    def _hand_over(
        self, changes: Iterable[store.Change], end: int
    ) -> list[store.Change]:
        """Hands over the new changes; returns those that others must hear."""
        told = []
        for change in changes:
            if change.offset < self._offset:
                continue
            self._newest[change.key] = change.value
            if not change.value:
                del self._newest[change.key]
            if self.on_change(change.key, change.value):
                told.append(change)
        self._offset = max(self._offset, end)
        self.on_read()
        return told

    def _note_success(self, read_at: float, host: str) -> None:
        """Notes a reading, of this host if `host` is empty."""
        unread_s = self._loop.now() - self.read_at
        self.read_at = max(self.read_at, read_at)
        self._delay_s = _FIRST_RETRY_S
        failed_since, self._failed_since = self._failed_since, None
        if failed_since is None:
            return
        away_s = self._loop.now() - failed_since
        state_log.log_change(
            "store reachable",
            topic=self._topic.value,
            away_s=round(away_s, 3),
            through=host,
        )
        # A host that alone was cut off has heard from its neighbours.
        if unread_s >= self._wait_s + self._pause_s + _OUTAGE_S:
            self.on_outage_end()

    def _note_failure(self, error: store.StoreError) -> None:
        self._delay_s = min(_MAX_RETRY_S, 2 * self._delay_s)
        if self._failed_since is None:
            self._failed_since = self._loop.now()
            state_log.log_fault(
                "store unreachable",
                topic=self._topic.value,
                reason=error.reason,
            )


class ConfigFollower:
    """Keeps the newest configuration."""

    def __init__(
        self,
        loop: loops.Loop,
        source: store.Store,
        key: str,
        decode: Callable[[bytes], "route_book.RouteBook | tuple"],
        wait_s: float,
    ):
        """Creates the follower.

        Args:
            loop: the event loop.
            source: the platform's store.
            key: name of the configuration in its topic.
            decode: reads a configuration.
            wait_s: how long a read waits for a change; a connection that has
                gone silent is noticed this late.
        """
        self.book: route_book.RouteBook | None = None
        self._key = key
        self._decode = decode
        self._loop = loop
        self.taken_at = float("-inf")
        self._listeners: list[Callable[[route_book.RouteBook], None]] = []
        self.follower = TopicFollower(
            loop, source, store.Topic.CONFIGURATION, wait_s, 0.0, False
        )
        self.follower.on_snapshot = self._take_snapshot
        self.follower.on_change = self._take

    def add_listener(
        self, listener: Callable[[route_book.RouteBook], None]
    ) -> None:
        """Calls `listener` with each new version."""
        self._listeners.append(listener)

    def _take_snapshot(self, values: dict[str, bytes]) -> None:
        for key, value in values.items():
            self._take(key, value)

    def _take(self, key: str, value: bytes) -> bool:
        if key != self._key or not value:
            return False
        book = self._decode(value)
        if not isinstance(book, route_book.RouteBook):
            state_log.log_fault("configuration unreadable", reason=book.reason)
            return False
        if self.book is not None and book.version <= self.book.version:
            return False
        state_log.log_change(
            "configuration in force",
            version=book.version,
            was=self.book.version if self.book else None,
            routes=len(book.routes()),
        )
        self.book = book
        self.taken_at = self._loop.now()
        for listener in self._listeners:
            listener(book)
        return True


class EndpointFollower:
    """Keeps the list of endpoints and tells listeners of changes."""

    def __init__(
        self,
        loop: loops.Loop,
        source: store.Store,
        decode: Callable[[str, bytes], "endpoint_list.Listing | tuple"],
        pause_s: float,
    ):
        self._loop = loop
        self._decode = decode
        self._list = endpoint_list.EndpointList()
        self._unreadable: set[str] = set()
        # What the last record of each endpoint says, without its sequence.
        self._said: dict[str, hosts.HostEntry | bytes] = {}
        self._changed = False
        self._listeners: list[Callable[[dict], None]] = []
        self.follower = TopicFollower(
            loop, source, store.Topic.ENDPOINTS, 0.0, pause_s, True
        )
        self.follower.on_snapshot = self._take_snapshot
        self.follower.on_change = self._take
        self.follower.on_read = self._tell
        self.follower.on_outage_end = self._note_outage_end

    def add_listener(
        self,
        listener: Callable[[dict[str, dict[str, endpoint_list.Listing]]], None],
    ) -> None:
        """Calls `listener` with the usable endpoints, by pool and id."""
        self._listeners.append(listener)

    def mark_gone(self, name: str, incarnation: int) -> None:
        """Drops a run of an endpoint that is known to have ended."""
        if self._list.mark_gone(name, incarnation):
            state_log.log_change(
                "endpoint gone", endpoint=name, reason="address in other use"
            )
            self._changed = True
            # Listeners may be in the middle of their own change.
            self._loop.call_soon(self._tell)

    def _note_outage_end(self) -> None:
        self._list.note_outage_end(self._loop.now())
        self._loop.call_later(endpoint_list.LAPSE_GRACE_S + 0.01, self._expire)

    def _expire(self) -> None:
        for name in self._list.expire(self._loop.now()):
            self._note_gone(name, "lapsed while the store was away")
        self._tell()

    def _take_snapshot(self, values: dict[str, bytes]) -> None:
        for name, value in values.items():
            self._take(name, value)
        now = self._loop.now()
        if self._list.remove_missing(set(values), now):
            self._changed = True

    def _take(self, name: str, value: bytes) -> bool:
        """Takes a record; returns whether it says anything new."""
        now = self._loop.now()
        if not value:
            self._said.pop(name, None)
            if self._list.remove(name, now):
                self._note_gone(name, "removed from the list")
            return True
        listing = self._decode(name, value)
        is_readable = isinstance(listing, endpoint_list.Listing)
        says = listing.entry if is_readable else value
        is_new = self._said.get(name) != says
        self._said[name] = says
        if not is_readable:
            if name not in self._unreadable:
                self._unreadable.add(name)
                state_log.log_fault(
                    "endpoint entry unreadable",
                    endpoint=name,
                    reason=listing.reason,
                )
            if self._list.remove(name, now):
                self._changed = True
            return is_new
        self._unreadable.discard(name)
        if self._list.take(name, listing):
            self._changed = True
            entry = self._list.find(name).entry
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
        return is_new

    def _note_gone(self, name: str, reason: str) -> None:
        self._changed = True
        state_log.log_change("endpoint gone", endpoint=name, reason=reason)

    def _tell(self) -> None:
        if not self._changed:
            return
        self._changed = False
        by_pool: dict[str, dict[str, endpoint_list.Listing]] = {}
        for name, listing in self._list.listed().items():
            by_pool.setdefault(listing.entry.pool, {})[name] = listing
        for listener in self._listeners:
            listener(by_pool)


def _ignore(*_args) -> None:
    pass


def _first() -> int:
    return 0


def _ask_nobody() -> Future:
    return tasks.done(None)
