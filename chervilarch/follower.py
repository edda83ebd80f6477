"""A thread that reads a stream of the log and hands on each page."""

import random
import threading
from collections.abc import Callable
from typing import Protocol

from chervilarch import clocks, log_client, state_log

_FIRST_BACKOFF_S = 0.1
_MAX_BACKOFF_S = 1.0
# Limits how often a stream that grows all the time is read.
_MIN_READ_PERIOD_S = 0.01


class PageHandler(Protocol):
    """Handles the pages that a follower reads."""

    def next_offset(self) -> int:
        """Returns the offset to read from."""

    def handle_page(self, page: log_client.LogPage) -> None:
        """Handles a page of records."""


class Follower:
    """Reads a stream page by page and passes each page to a handler."""

    def __init__(
        self,
        client: log_client.LogClient,
        stream: str,
        handler: PageHandler,
        clock: clocks.Clock,
        on_reachability_change: Callable[[str, bool, str], None],
    ):
        self._client = client
        self._stream = stream
        self._handler = handler
        self._clock = clock
        self._on_reachability_change = on_reachability_change
        self._reachable: bool | None = None
        self._stop = threading.Event()
        self._rng = random.Random()
        self._thread = threading.Thread(
            target=self._run, name=f"follow-{stream}", daemon=True
        )
        self.last_read_started_at = float("-inf")

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Signals the thread to end; doesn't wait for a read in progress."""
        self._stop.set()

    def is_failing(self) -> bool:
        """Returns whether the last read of the log failed."""
        return self._reachable is False

    def contact_age_s(self) -> float:
        """Returns the seconds since the last successful read started."""
        return self._clock.monotonic() - self.last_read_started_at

    def _run(self) -> None:
        backoff_s = _FIRST_BACKOFF_S
        wait_s = 0.0
        while not self._stop.is_set():
            started_at = self._clock.monotonic()
            page = self._client.read(
                self._stream, self._handler.next_offset(), wait_s
            )
            if isinstance(page, log_client.LogError):
                self._set_reachable(False, page.reason)
                self._stop.wait(backoff_s * self._rng.uniform(0.5, 1.0))
                backoff_s = min(_MAX_BACKOFF_S, backoff_s * 2)
                wait_s = 0.0
                continue
            backoff_s = _FIRST_BACKOFF_S
            wait_s = log_client.LONG_POLL_S
            try:
                self._handler.handle_page(page)
            except Exception as exc:  # noqa: BLE001
                # An exception must not end the thread.
                state_log.log_exception("log page not handled", exc)
                self._set_reachable(False, "a page can't be handled")
                self._stop.wait(_MAX_BACKOFF_S)
                continue
            # The page covers everything appended before the read started.
            self.last_read_started_at = started_at
            self._set_reachable(True, "")
            self._stop.wait(_MIN_READ_PERIOD_S)

    def _set_reachable(self, reachable: bool, reason: str) -> None:
        if reachable != self._reachable:
            self._reachable = reachable
            self._on_reachability_change(self._stream, reachable, reason)
