"""Follows one topic of the platform's store, alone or with neighbours."""

from collections.abc import Callable, Iterable
from concurrent.futures import Future

from chervilarch import loop as loops
from chervilarch import state_log, store, tasks

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
        # Time between the ends of two reads without news.
        self._usual_s = wait_s + pause_s
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
        self.read_rank: Callable[[], int] = _first
        self.on_update: Callable[[store.TopicUpdate], None] = _ignore
        self.ask_peer: Callable[[], Future] = _ask_nobody

    def start(self) -> None:
        """Begins to follow."""
        tasks.Task(self._run())

    def has_read(self) -> bool:
        """Tells whether there was a first reading."""
        return self._offset is not None

    def state(self) -> store.TopicUpdate:
        """Returns how far this host has read, without the changes."""
        return store.TopicUpdate(
            self._topic, self._offset, self._offset, self.read_at
        )

    def snapshot(self) -> store.TopicUpdate:
        """Returns how far this host has read, and the newest values."""
        state = self.state()
        return state._replace(
            changes=tuple(
                store.Change(state.end, key, value)
                for key, value in self._newest.items()
            )
        )

    def apply_update(self, news: store.TopicUpdate, host: str) -> None:
        """Takes what another host has read."""
        if self._offset is None or news.end < self._offset:
            return
        # Older news only repeats what this host has read itself.
        if news.read_at > self.read_at - self._usual_s / 2:
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
        read_rank = self.read_rank()
        if not read_rank or not self._heard_of_reader:
            return self.read_at + self._pause_s
        return self.read_at + self._usual_s * (1 + _LATER_PER_TURN * read_rank)

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
        news: store.TopicUpdate | None = yield self.ask_peer()
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
                self._delay_s * 2 ** self.read_rank(), _MAX_RETRY_IN_TURN_S
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
        self.on_update(
            store.TopicUpdate(
                self._topic, first, end, self.read_at, tuple(told)
            )
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
        if unread_s >= self._usual_s + _OUTAGE_S:
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


def _ignore(*_args) -> None:
    pass


def _first() -> int:
    return 0


def _ask_nobody() -> Future:
    return tasks.done(None)
