"""Straight-line code over `concurrent.futures`: generators that yield futures.

Everything runs in the loop's thread. A task yields a future and is resumed
with its result. Cancelling a task raises `Cancelled` where it waits.
"""

import collections
from collections.abc import Generator
from concurrent.futures import Future
from typing import Any, TypeVar

from chervilarch import loop as loops
from chervilarch import state_log

T = TypeVar("T")
Steps = Generator[Future, Any, T]


class Cancelled(BaseException):
    """Raised inside a task that was cancelled."""


class TimedOut:
    """The type of `TIMED_OUT`."""


# What `wait` returns when the time is up.
TIMED_OUT = TimedOut()


class Task:
    """A running generator."""

    def __init__(self, steps: Steps):
        self._steps = steps
        self._waits_for: Future | None = None
        self._ended = False
        self._cancel_asked = False
        # Resolves with the generator's return value; None if it broke.
        self.future: Future = Future()
        self._resume(None)

    def cancel(self) -> None:
        """Raises `Cancelled` in the task; one that ended is left alone."""
        if self._ended:
            return
        if self._steps.gi_running:
            self._cancel_asked = True
            return
        self._waits_for = None
        self._advance(lambda: self._steps.throw(Cancelled()))

    def _on_done(self, fut: Future) -> None:
        if fut is self._waits_for:
            self._waits_for = None
            self._resume(fut.result())

    def _resume(self, value: Any) -> None:
        self._advance(lambda: self._steps.send(value))

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
            # One broken task must not end the process.
            state_log.log_exception("task failed", exc)
            self._end(None)
            return
        if self._cancel_asked:
            self._cancel_asked = False
            self.cancel()
            return
        self._waits_for = fut
        fut.add_done_callback(self._on_done)

    def _end(self, value: Any) -> None:
        self._ended = True
        self.future.set_result(value)


def resolve(fut: Future, value: Any) -> None:
    """Sets a future's result unless it has one."""
    if not fut.done():
        fut.set_result(value)


def done(value: T) -> "Future[T]":
    """Returns a future that has its result."""
    fut: Future = Future()
    fut.set_result(value)
    return fut


def sleep(loop: loops.Loop, delay_s: float) -> Future:
    """Returns a future that resolves after a delay in seconds."""
    fut: Future = Future()
    loop.call_later(delay_s, lambda: resolve(fut, None))
    return fut


def first_of(*futs: Future) -> Future:
    """Returns a future that resolves once any of the given ones has."""
    result: Future = Future()
    for fut in futs:
        fut.add_done_callback(lambda _: resolve(result, None))
    return result


def wait(loop: loops.Loop, fut: Future, until: float) -> Steps[Any]:
    """Waits for a future up to a monotonic time; may return `TIMED_OUT`."""
    if fut.done():
        return fut.result()
    result: Future = Future()
    timer = loop.call_at(until, lambda: resolve(result, TIMED_OUT))
    fut.add_done_callback(lambda ended: resolve(result, ended.result()))
    try:
        return (yield result)
    finally:
        timer.cancel()


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
        """Returns a future that is resolved once there is an item."""
        if self._items:
            return done(None)
        if self._ready.done():
            self._ready = Future()
        return self._ready

    def take(self) -> Any:
        """Removes and returns the oldest item; there must be one."""
        return self._items.popleft()
