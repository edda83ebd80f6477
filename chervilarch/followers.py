"""Controllers that follow the platform's store: configuration and endpoints."""

from collections.abc import Callable

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
# How long a read of the configuration waits for a change. A connection that
# has gone silent is noticed this late, and the bound on changes is 2 s.
_CONFIG_WAIT_S = 2.0
_FIRST_RETRY_S = 0.1
_MAX_RETRY_S = 0.8
# The store counts as having been away after failures for this long.
_OUTAGE_S = 0.3


class TopicFollower:
    """Hands over the newest value of each key, then every change."""

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
        self._offset = 0
        self._failed_since: float | None = None
        self._delay_s = _FIRST_RETRY_S
        self._newest_timeout_s = _FIRST_NEWEST_TIMEOUT_S
        self.read_at = float("-inf")
        self.on_snapshot: Callable[[dict[str, bytes]], None] = _ignore
        self.on_change: Callable[[str, bytes], None] = _ignore
        self.on_read: Callable[[], None] = _ignore
        self.on_outage_end: Callable[[], None] = _ignore

    def start(self) -> None:
        """Begins to follow."""
        tasks.Task(self._run())

    def _run(self) -> tasks.Steps[None]:
        while True:
            has_snapshot = yield from self._read_snapshot()
            while has_snapshot:
                has_snapshot = yield from self._read_changes()
            yield tasks.sleep(self._loop, self._delay_s)

    def _read_snapshot(self) -> tasks.Steps[bool]:
        """Reads all pages; they aren't one snapshot, so the first end holds."""
        values: dict[str, bytes] = {}
        end, after = None, ""
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
        self._offset = end
        self._newest_timeout_s = _FIRST_NEWEST_TIMEOUT_S
        self._note_success()
        self.on_snapshot(values)
        self.on_read()
        return True

    def _read_changes(self) -> tasks.Steps[bool]:
        """Reads once; False if a snapshot is needed."""
        changes = yield self._store.read_changes(
            self._topic, self._offset, self._wait_s
        )
        if isinstance(changes, store.StoreError):
            if changes.is_dropped:
                state_log.log_change(
                    "store history dropped", topic=self._topic.value
                )
                return False
            self._note_failure(changes)
            yield tasks.sleep(self._loop, self._delay_s)
            return True
        self._note_success()
        for change in changes.changes:
            self.on_change(change.key, change.value)
            self._offset = change.offset + 1
        self.on_read()
        if self._pause_s and self._offset >= changes.end:
            yield tasks.sleep(self._loop, self._pause_s)
        return True

    def _note_success(self) -> None:
        now = self._loop.now()
        self.read_at = now
        self._delay_s = _FIRST_RETRY_S
        failed_since, self._failed_since = self._failed_since, None
        if failed_since is None:
            return
        away_s = now - failed_since
        state_log.log_change(
            "store reachable", topic=self._topic.value, away_s=round(away_s, 3)
        )
        if away_s >= _OUTAGE_S:
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
    ):
        self.book: route_book.RouteBook | None = None
        self._key = key
        self._decode = decode
        self._loop = loop
        self.taken_at = float("-inf")
        self._listeners: list[Callable[[route_book.RouteBook], None]] = []
        self.follower = TopicFollower(
            loop, source, store.Topic.CONFIGURATION, _CONFIG_WAIT_S, 0.0
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

    def _take(self, key: str, value: bytes) -> None:
        if key != self._key or not value:
            return
        book = self._decode(value)
        if not isinstance(book, route_book.RouteBook):
            state_log.log_fault("configuration unreadable", reason=book.reason)
            return
        if self.book is not None and book.version <= self.book.version:
            return
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
        self._changed = False
        self._listeners: list[Callable[[dict], None]] = []
        self.follower = TopicFollower(
            loop, source, store.Topic.ENDPOINTS, 0.0, pause_s
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

    def _take(self, name: str, value: bytes) -> None:
        now = self._loop.now()
        if not value:
            if self._list.remove(name, now):
                self._note_gone(name, "removed from the list")
            return
        listing = self._decode(name, value)
        if not isinstance(listing, endpoint_list.Listing):
            if name not in self._unreadable:
                self._unreadable.add(name)
                state_log.log_fault(
                    "endpoint entry unreadable",
                    endpoint=name,
                    reason=listing.reason,
                )
            if self._list.remove(name, now):
                self._changed = True
            return
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
