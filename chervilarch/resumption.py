"""Confirms after a pause of the process what it had learned before.

A process that was stopped, or whose machine was suspended, holds a
configuration and a list of endpoints that may have changed meanwhile. Requests
wait in its sockets. They are served once both were read anew, by this host or
another one, or after a short time, as the store may be unavailable.
"""

from collections.abc import Callable

from chervilarch import guards, state_log, tasks
from chervilarch import loop as loops
from chervilarch.futures import Future

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
