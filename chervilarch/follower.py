"""A thread that reads one stream of the log as it grows."""

import random
import threading
from collections.abc import Callable
from typing import Protocol

from chervilarch import clocks, log_client

_FIRST_BACKOFF_S = 0.1
_MAX_BACKOFF_S = 1.0
# Bounds how often a busy stream is read.
_MIN_READ_PERIOD_S = 0.01


class Reader(Protocol):
    """Takes what a follower reads."""

    def next_offset(self) -> int:
        """Returns the offset to read from."""

    def take_page(self, page: log_client.LogPage) -> None:
        """Takes a page of records."""


class Follower:
    """Feeds a reader with the pages of a stream."""

    def __init__(
        self,
        client: log_client.LogClient,
        stream: str,
        reader: Reader,
        clock: clocks.Clock,
        on_state: Callable[[str, bool, str], None],
    ):
        self._client = client
        self._stream = stream
        self._reader = reader
        self._clock = clock
        self._on_state = on_state
        self._reachable: bool | None = None
        self._stop = threading.Event()
        self._rng = random.Random()
        self._thread = threading.Thread(
            target=self._run, name=f"follow-{stream}", daemon=True
        )
        self.last_contact = float("-inf")

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Asks the thread to end; a read under way is not waited for."""
        self._stop.set()

    def is_failing(self) -> bool:
        """Tells whether the log's last answer was none."""
        return self._reachable is False

    def contact_age_s(self) -> float:
        """Returns how long ago the log last answered, in seconds."""
        return self._clock.monotonic() - self.last_contact

    def _run(self) -> None:
        backoff_s = _FIRST_BACKOFF_S
        wait_s = 0.0
        while not self._stop.is_set():
            asked_at = self._clock.monotonic()
            page = self._client.read(
                self._stream, self._reader.next_offset(), wait_s
            )
            if isinstance(page, log_client.LogError):
                self._note(False, page.reason)
                self._stop.wait(backoff_s * self._rng.uniform(0.5, 1.0))
                backoff_s = min(_MAX_BACKOFF_S, backoff_s * 2)
                wait_s = 0.0
                continue
            backoff_s = _FIRST_BACKOFF_S
            wait_s = log_client.LONG_POLL_S
            self._reader.take_page(page)
            # The reply holds all that was appended before it was asked for.
            self.last_contact = asked_at
            self._note(True, "")
            self._stop.wait(_MIN_READ_PERIOD_S)

    def _note(self, reachable: bool, reason: str) -> None:
        if reachable != self._reachable:
            self._reachable = reachable
            self._on_state(self._stream, reachable, reason)
