"""Confirms after a pause of the process what it had learned before.

A process that was stopped, or whose machine was suspended, holds a
configuration and a list of endpoints that may have changed meanwhile. Requests
wait in its sockets. They are served once both were read anew, by this host or
another one, or after a short time, as the store may be unavailable.
"""

from collections.abc import Callable
from concurrent.futures import Future

from chervilarch import guards, state_log, store, tasks
from chervilarch import loop as loops

# Longest time from the end of a pause until what was known before it is used
# again. The store answers in up to 0.3 s while it is slow.
_CONFIRM_TIMEOUT_S = 1.0
# The same with further, shorter pauses meanwhile; a longer one starts anew.
_MAX_CONFIRM_S = 3.0
_CHECK_PERIOD_S = 0.01


class Resumption:
    """Holds back work after a pause until what it relies on is confirmed."""

    def __init__(self, loop: loops.Loop):
        self._loop = loop
        self._checks: list[Callable[[float], bool]] = []
        self._pending: Future | None = None
        self._give_up_at = float("-inf")
        self._latest_at = float("-inf")
        loop.add_resume_listener(self._on_resume)

    def add_check(self, is_confirmed: Callable[[float], bool]) -> None:
        """Adds a condition.

        Args:
            is_confirmed: gets the monotonic time at which the pause ended;
                returns whether what it stands for was learned since.
        """
        self._checks.append(is_confirmed)

    def confirmed(self) -> "Future[None]":
        """Resolves once work may begin; at once if there was no pause."""
        return self._pending or tasks.done(None)

    def _on_resume(self, paused_s: float) -> None:
        now = self._loop.now()
        if self._pending is None or paused_s >= _CONFIRM_TIMEOUT_S:
            self._latest_at = now + _MAX_CONFIRM_S
        self._give_up_at = min(now + _CONFIRM_TIMEOUT_S, self._latest_at)
        if self._pending is None:
            self._pending = Future()
            self._loop.call_soon(self._check)

    def _check(self) -> None:
        now = self._loop.now()
        resumed_at = self._loop.resumed_at
        # A check that raises hasn't confirmed anything.
        is_confirmed = all(
            guards.call(check, resumed_at) for check in self._checks
        )
        if not is_confirmed and now < self._give_up_at:
            self._loop.call_later(_CHECK_PERIOD_S, self._check)
            return
        pending, self._pending = self._pending, None
        tasks.resolve(pending, None)
        waited_s = round(now - resumed_at, 3)
        if is_confirmed:
            state_log.log_change("confirmed after a pause", waited_s=waited_s)
        else:
            state_log.log_fault(
                "not confirmed after a pause", waited_s=waited_s
            )


class ResumableStore:
    """A store client whose reads that wait for a change end with a pause.

    The connection of such a read may be dead, and its answer tells nothing of
    the pause. The next read of each topic doesn't wait.
    """

    def __init__(self, loop: loops.Loop, source: store.Store):
        self._source = source
        self._reads: dict[Future, int] = {}
        # Topics whose first read after a pause is still to come.
        self._unread_topics: set[store.Topic] = set()
        loop.add_resume_listener(self._on_resume)

    @property
    def eras(self) -> store.EraWatch:
        """The eras of the underlying client."""
        return self._source.eras

    def read_newest(
        self, topic: store.Topic, after: str, timeout_s: float
    ) -> "Future[store.NewestPage | store.StoreError]":
        """Reads a page of the newest value of each key."""
        return self._source.read_newest(topic, after, timeout_s)

    def read_changes(
        self, topic: store.Topic, offset: int, wait_s: float
    ) -> "Future[store.RecordPage | store.StoreError]":
        """Reads records from an offset on; a pause ends the read."""
        if topic in self._unread_topics:
            self._unread_topics.remove(topic)
            wait_s = 0.0
        fut: Future = Future()
        self._reads[fut] = offset
        self._source.read_changes(topic, offset, wait_s).add_done_callback(
            lambda done: self._finish(fut, done.result())
        )
        return fut

    def put(
        self, topic: store.Topic, key: str, value: bytes, timeout_s: float
    ) -> "Future[store.StoreError | None]":
        """Sets the newest value of a key."""
        return self._source.put(topic, key, value, timeout_s)

    def _finish(
        self, fut: Future, result: store.RecordPage | store.StoreError
    ) -> None:
        self._reads.pop(fut, None)
        tasks.resolve(fut, result)

    def _on_resume(self, paused_s: float) -> None:
        self._unread_topics.update(store.Topic)
        era = self._source.eras.era or 0
        for fut, offset in list(self._reads.items()):
            # There may be a further record, so the reader reads again at once.
            self._finish(fut, store.RecordPage([], offset + 1, 0, era))
