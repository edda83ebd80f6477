"""Single-threaded event loop over `selectors`: sockets and timers."""

import collections
import heapq
import itertools
import os
import selectors
from collections.abc import Callable
from typing import Any

from chervilarch import clocks, guards, state_log

# Longest wait of one iteration. Timers, sockets and `wake` end a wait earlier.
# A callback that a signal handler adds without `wake` would be delayed by it;
# the gateway has no such handler: it blocks its signals and polls them.
_MAX_WAIT_S = 1.0
# The process counts as paused if the loop was held up for longer than this. It
# leaves room within the bounds on how old what a host believes may be, which
# are reads of the store of a second or so.
PAUSE_S = 0.5
# A turn of the loop that takes longer is logged: meanwhile nobody else is
# served.
LONG_TURN_S = 0.1


class Timer:
    """A callback scheduled for a time."""

    __slots__ = ("callback", "due_at")

    def __init__(self, due_at: float, callback: Callable[[], None]):
        self.due_at = due_at
        # None once it ran or was cancelled.
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        """Prevents the callback from running."""
        self.callback = None


class Loop:
    """Runs callbacks of sockets and timers, one at a time.

    Attributes:
        clock: the source of time.
        resumed_at: monotonic time at which the process last went on after a
            pause. A stopped process, a suspended machine and a callback that
            took too long are the same to the rest of the program.
        turns: number of iterations that have begun.
    """

    def __init__(self, clock: clocks.Clock):
        self.clock = clock
        self.turns = 0
        self.resumed_at = float("-inf")
        self._seen_at: float | None = None
        self._resume_listeners: list[Callable[[float], None]] = []
        self._selector = selectors.DefaultSelector()
        self._timers: list[tuple[float, int, Timer]] = []
        self._sequence = itertools.count()
        self._is_stopping = False
        self._handed_over: collections.deque[Callable[[], None]] = (
            collections.deque()
        )
        self._wake_recv, self._wake_send = os.pipe()
        os.set_blocking(self._wake_recv, False)
        os.set_blocking(self._wake_send, False)
        self.watch(self._wake_recv, selectors.EVENT_READ, self._on_wake)

    def now(self) -> float:
        """Returns the monotonic time in seconds."""
        return self.clock.monotonic()

    def add_resume_listener(self, listener: Callable[[float], None]) -> None:
        """Calls `listener` after each pause, before anything else runs.

        Args:
            listener: gets the length of the pause in seconds.
        """
        self._resume_listeners.append(listener)

    def call_at(self, due_at: float, callback: Callable[[], None]) -> Timer:
        """Runs a callback at a monotonic time in seconds."""
        timer = Timer(due_at, callback)
        heapq.heappush(self._timers, (due_at, next(self._sequence), timer))
        return timer

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> Timer:
        """Runs a callback after a delay in seconds."""
        return self.call_at(self.now() + delay_s, callback)

    def call_soon(self, callback: Callable[[], None]) -> Timer:
        """Runs a callback soon, after the one that is running now.

        It runs in the same iteration if a socket's callback adds it, in the
        next one if a timer's callback does.
        """
        return self.call_at(float("-inf"), callback)

    def call_every(self, period_s: float, callback: Callable[[], None]) -> None:
        """Runs a callback once a period, also if it raised the time before."""

        def run() -> None:
            self.call_later(period_s, run)
            callback()

        self.call_later(period_s, run)

    def call_from_thread(self, callback: Callable[[], None]) -> None:
        """Runs a callback on the loop; safe in other threads."""
        self._handed_over.append(callback)
        self.wake()

    def watch(
        self, fileobj: Any, events: int, callback: Callable[[int], None]
    ) -> None:
        """Calls back when a socket is ready; replaces an earlier watch."""
        try:
            self._selector.modify(fileobj, events, callback)
        except KeyError:
            self._selector.register(fileobj, events, callback)

    def unwatch(self, fileobj: Any) -> None:
        """Stops watching a socket, if it is watched."""
        try:
            self._selector.unregister(fileobj)
        except (KeyError, ValueError):
            pass

    def wake(self) -> None:
        """Interrupts the current wait; safe in signal handlers and threads."""
        try:
            os.write(self._wake_send, b"\0")
        except BlockingIOError:
            pass  # The pipe is full, so the loop wakes up anyway.

    def stop(self) -> None:
        """Makes `run` return after the current iteration."""
        self._is_stopping = True
        self.wake()

    def run(self) -> None:
        """Runs callbacks until `stop` is called."""
        while not self._is_stopping:
            self.run_once(_MAX_WAIT_S)

    def run_once(self, max_wait_s: float) -> None:
        """Runs one iteration: waits for events and runs what is due.

        Timers that come due during a socket's callback wait for the next
        iteration: what they wait for may have arrived meanwhile.
        """
        self.turns += 1
        timeout_s = self._timeout_s(max_wait_s)
        ready = self._selector.select(timeout_s)
        looked_at = self.now()
        if self._timers and self._timers[0][0] <= looked_at:
            # The wait ends without a look at the sockets if the process was
            # stopped in it, and they may be older than the timers in any case.
            ready = self._selector.select(0)
        self._detect_pause(timeout_s)
        for key, events in ready:
            guards.call(key.data, events)
            self._detect_pause(0.0)
        self.run_timers(looked_at)
        turn_s = self._seen_at - looked_at
        if turn_s > LONG_TURN_S:
            state_log.log_decision(
                "long turn",
                is_problem=True,
                turn_ms=round(turn_s * 1000),
                sockets=len(ready),
            )

    def run_timers(self, due_by: float) -> None:
        """Runs timers due by a time; those set meanwhile wait for the next."""
        due = []
        while self._timers and self._timers[0][0] <= due_by:
            due.append(heapq.heappop(self._timers)[2])
        for timer in due:
            callback, timer.callback = timer.callback, None
            if callback is not None:
                guards.call(callback)
                self._detect_pause(0.0)

    def close(self) -> None:
        """Frees the selector and the wake-up pipe."""
        self._selector.close()
        os.close(self._wake_recv)
        os.close(self._wake_send)

    def _detect_pause(self, wait_s: float) -> None:
        """Notifies listeners if the process was paused since the last call.

        Args:
            wait_s: how long it may have waited since then.
        """
        now = self.now()
        seen_at, self._seen_at = self._seen_at, now
        if seen_at is None or now - seen_at <= wait_s + PAUSE_S:
            return
        self.resumed_at = now
        paused_s = now - seen_at
        state_log.log_change("process was paused", paused_s=round(paused_s, 3))
        for listener in self._resume_listeners:
            guards.call(listener, paused_s)

    def _timeout_s(self, max_wait_s: float) -> float:
        while self._timers and self._timers[0][2].callback is None:
            heapq.heappop(self._timers)
        if not self._timers:
            return max_wait_s
        return min(max_wait_s, max(0.0, self._timers[0][0] - self.now()))

    def _on_wake(self, events: int) -> None:
        try:
            os.read(self._wake_recv, 4096)
        except BlockingIOError:
            pass  # The pipe is empty already.
        while self._handed_over:
            guards.call(self._handed_over.popleft())
