"""Coroutines: generators that yield futures.

Everything runs in the loop's thread. A coroutine yields a future and is resumed
with its result. Cancelling its task raises `Cancelled` where it waits.

What has ended refers to nobody that waited for it, and the other way round. So
the objects of a request are freed at its end, without the garbage collector.
"""

import collections
from collections.abc import Generator, Sequence
from typing import Any, TypeVar

from chervilarch import loop as loops
from chervilarch import state_log
from chervilarch.futures import Future

T = TypeVar("T")
Coroutine = Generator[Future, Any, T]


class Cancelled(BaseException):
    """Raised in the coroutine of a cancelled task."""


class TimedOut:
    """The type of `TIMED_OUT`."""


# Returned by `wait` on a timeout.
TIMED_OUT = TimedOut()


class Task:
    """Runs a coroutine; it starts at once."""

    def __init__(self, coroutine: Coroutine):
        # None once it has ended.
        self._coroutine: Coroutine | None = coroutine
        self._awaited: Future | None = None
        self._cancel_requested = False
        # Resolves with the coroutine's return value, or with None if it raised
        # an exception or was cancelled.
        self.future: Future = Future()
        self._resume(None)

    def cancel(self) -> None:
        """Raises `Cancelled` in the coroutine unless it has ended."""
        if self._coroutine is None:
            return
        if self._coroutine.gi_running:
            self._cancel_requested = True
            return
        awaited, self._awaited = self._awaited, None
        if awaited is not None:
            awaited.remove_done_callback(self._on_done)
        self._advance(lambda: self._coroutine.throw(Cancelled()))

    def _on_done(self, fut: Future) -> None:
        if fut is self._awaited:
            self._awaited = None
            self._resume(fut.result())

    def _resume(self, value: Any) -> None:
        self._advance(lambda: self._coroutine.send(value))

    def _advance(self, step) -> None:
        try:
            fut = step()
        except StopIteration as stop:
            self._end(stop.value)
            return
        except Cancelled:
            self._end(None)
            return
        except Exception as exc:  # noqa: BLE001
            # An exception in one task must not end the process.
            state_log.log_exception("task failed", exc)
            self._end(None)
            return
        if self._cancel_requested:
            self._cancel_requested = False
            self.cancel()
            return
        self._awaited = fut
        fut.add_done_callback(self._on_done)

    def _end(self, value: Any) -> None:
        self._coroutine = None
        self.future.set_result(value)


def resolve(fut: Future, value: Any) -> None:
    """Sets a future's result unless it is done."""
    if not fut.done():
        fut.set_result(value)


def done(value: T) -> "Future[T]":
    """Returns a future that is already resolved."""
    fut: Future = Future()
    fut.set_result(value)
    return fut


def sleep(loop: loops.Loop, delay_s: float) -> Future:
    """Returns a future that resolves after a delay in seconds."""
    fut: Future = Future()
    loop.call_later(delay_s, lambda: resolve(fut, None))
    return fut


def first_of(*futs: Future) -> Coroutine[None]:
    """Waits until the first of some futures is done."""
    yield from _await_first(Future(), futs)


def wait_first(
    loop: loops.Loop, futs: Sequence[Future], until: float
) -> Coroutine[TimedOut | None]:
    """Waits for the first of some futures, or `TIMED_OUT` at a time.

    Args:
        loop: the event loop.
        futs: the futures.
        until: monotonic time in seconds.
    """
    woken: Future = Future()
    timer = loop.call_at(until, lambda: resolve(woken, TIMED_OUT))
    try:
        return (yield from _await_first(woken, futs))
    finally:
        timer.cancel()


def wait(loop: loops.Loop, fut: Future, until: float) -> Coroutine[Any]:
    """Waits for a future's result, or `TIMED_OUT` at a monotonic time."""
    if not fut.done():
        yield from wait_first(loop, [fut], until)
    return fut.result() if fut.done() else TIMED_OUT


def _await_first(woken: Future, futs: Sequence[Future]) -> Coroutine[Any]:
    """Waits for a future that others resolve, which may outlive the wait."""

    def wake(done: Future) -> None:
        resolve(woken, None)

    for fut in futs:
        fut.add_done_callback(wake)
    try:
        return (yield woken)
    finally:
        for fut in futs:
            fut.remove_done_callback(wake)


class Mailbox:
    """A queue that one task reads from."""

    def __init__(self) -> None:
        self._items: collections.deque = collections.deque()
        self._ready: Future = Future()

    def __len__(self) -> int:
        return len(self._items)

    def put(self, item: Any) -> None:
        """Adds an item and wakes the reader."""
        self._items.append(item)
        resolve(self._ready, None)

    def ready(self) -> Future:
        """Returns a future that resolves once there is an item."""
        if self._items:
            return done(None)
        if self._ready.done():
            self._ready = Future()
        return self._ready

    def peek(self) -> Any:
        """Returns the oldest item; the queue must not be empty."""
        return self._items[0]

    def pop(self) -> Any:
        """Removes and returns the oldest item; the queue must not be empty."""
        return self._items.popleft()
