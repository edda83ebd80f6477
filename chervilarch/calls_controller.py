"""Controller of claims on calls that may not be repeated.

Claims are appended in groups. A call is dispatched only after its claim was
read back as the first of its key. A claim that wasn't read back in time is
abandoned: it is never dispatched, and released once it turns up.
"""

import collections
import enum
import threading
import uuid
from collections.abc import Callable
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError
from typing import Any, NamedTuple

from chervilarch import (
    calls,
    clocks,
    follower,
    log_client,
    metrics,
    records,
    state_log,
)

# Appends a second of the whole fleet; the log takes several hundred.
FLEET_APPENDS_PER_S = 200.0
MIN_APPEND_PERIOD_S = 0.02
MAX_GROUP = 200
# How far behind the log's head a view may be to answer for a key.
MAX_VIEW_AGE_S = 2.0
_RESEND_PERIOD_S = 0.5
_POLL_S = 0.05
_PRUNE_PERIOD_S = 30.0


class Won(NamedTuple):
    """This host's claim is the first; it may dispatch once."""

    claim_id: str


class HeldElsewhere(NamedTuple):
    """Another claim is the first."""

    entry: calls.CallEntry


class Rejection(enum.Enum):
    """Why there was no claim to decide on."""

    LOG_UNAVAILABLE = "log unavailable"
    KEY_OUT_OF_WINDOW = "key out of window"
    KEY_REUSED = "key reused with another request"


ClaimResult = Won | HeldElsewhere | Rejection


def append_period_s(writers: int) -> float:
    """Returns the time between a host's appends that keeps the fleet's rate."""
    return max(MIN_APPEND_PERIOD_S, writers / FLEET_APPENDS_PER_S)


class CallsController:
    """Claims, releases and results, by the log's order."""

    def __init__(
        self,
        client: log_client.LogClient,
        clock: clocks.Clock,
        counters: metrics.Metrics,
        writers: Callable[[], int],
    ):
        self._client = client
        self._clock = clock
        self._metrics = counters
        self._writers = writers
        self._cond = threading.Condition()
        self._state = calls.CallState()
        self._building: calls.CallState | None = calls.CallState()
        self._read_offset = 0
        self._pruned_at = 0.0
        self._retention_s = 0.0
        self._outbox: collections.deque[records.Body] = collections.deque()
        self._undecided: dict[str, Future[ClaimResult]] = {}
        self._abandoned: dict[str, records.Claim] = {}
        self._unconfirmed: dict[str, tuple[float, records.Body]] = {}
        self._sync_asked_at = float("-inf")
        self._synced_at = float("-inf")
        self._stop = threading.Event()
        self._sync_thread = threading.Thread(
            target=self._run_sync, name="claims-sync", daemon=True
        )
        self._thread = threading.Thread(
            target=self._run_appender, name="claims", daemon=True
        )
        self.follower = follower.Follower(
            client, records.CALLS_STREAM, self, clock, self._note_log_state
        )

    def start(self) -> None:
        """Starts following and appending."""
        self.follower.start()
        self._thread.start()
        self._sync_thread.start()

    def stop(self) -> None:
        """Stops; what is still unconfirmed is left to the log's readers."""
        self._stop.set()
        self.follower.stop()
        with self._cond:
            self._cond.notify_all()

    def is_current(self) -> bool:
        """Tells whether the whole window is seen up to a moment ago."""
        with self._cond:
            whole = self._building is None
            # A log that forgets sooner could hide an earlier claim.
            whole = whole and self._retention_s >= calls.MIN_RETENTION_S
        # A long poll may be under way since the log was last asked.
        return whole and self.follower.contact_age_s() <= (
            log_client.LONG_POLL_S + MAX_VIEW_AGE_S
        )

    def is_catching_up(self) -> bool:
        """Tells whether the window is being read from a log that answers."""
        with self._cond:
            is_whole = self._building is None
        is_read = is_whole and self.follower.last_contact > float("-inf")
        return not is_read and not self.follower.is_failing()

    def synchronize(self, timeout_s: float) -> bool:
        """Waits until all that is in the log now was folded.

        Returns:
            False if the log gave no answer in time.
        """
        asked_at = self._clock.monotonic()
        with self._cond:
            self._sync_asked_at = asked_at
            self._cond.notify_all()
            return self._cond.wait_for(
                lambda: self._synced_at >= asked_at and not self._building,
                timeout_s,
            )

    def unconfirmed(self) -> int:
        """Returns how many releases and results the log has yet to show."""
        with self._cond:
            return len(self._unconfirmed)

    def entry(self, call: calls.CallKey) -> calls.CallEntry | None:
        """Returns what the log says of a key."""
        with self._cond:
            return self._state.entry(call)

    def claim(
        self, call: calls.CallKey, digest: str, timeout_s: float
    ) -> ClaimResult:
        """Claims a key and waits until the log's order decides.

        Args:
            call: account and key.
            digest: hash of the request.
            timeout_s: how long to wait for the claim to be read back.
        """
        entry = self.entry(call)
        if entry is not None and entry.digest != digest:
            return Rejection.KEY_REUSED
        if entry is not None and entry.claim_id:
            return HeldElsewhere(entry)
        if not self.is_current():
            return Rejection.LOG_UNAVAILABLE
        if not calls.is_key_in_window(call.key, self._clock.wall()):
            return Rejection.KEY_OUT_OF_WINDOW
        claim = records.Claim(uuid.uuid4().hex, call.account, call.key, digest)
        fut: Future[ClaimResult] = Future()
        with self._cond:
            self._undecided[claim.claim_id] = fut
            self._outbox.append(claim)
            self._cond.notify_all()
        try:
            return fut.result(timeout_s)
        except FutureTimeoutError:
            return self._abandon(claim, fut)

    def release(self, call: calls.CallKey, claim_id: str) -> None:
        """Gives up a claim that was never and will never be dispatched."""
        self._send_until_seen(records.Release(claim_id, call.account, call.key))

    def record_result(
        self, call: calls.CallKey, claim_id: str, outcome: str, output: Any
    ) -> None:
        """Records the outcome of a dispatched call."""
        self._send_until_seen(
            records.Result(claim_id, call.account, call.key, outcome, output)
        )

    def wait_for_result(
        self, call: calls.CallKey, timeout_s: float
    ) -> calls.CallEntry | None:
        """Waits until a key has a result or is released; returns its entry."""

        def settled() -> bool:
            entry = self._state.entry(call)
            return entry is None or not entry.claim_id or bool(entry.result)

        with self._cond:
            self._cond.wait_for(settled, timeout_s)
            return self._state.entry(call)

    def next_offset(self) -> int:
        """Returns the offset that the follower reads next."""
        return self._read_offset

    def handle_page(self, page: log_client.LogPage) -> None:
        """Folds a page of the stream and decides the claims it shows."""
        with self._cond:
            if page.next_offset < self._read_offset:
                self._metrics.count("calls.log_behind")
                return
            if page.first_offset > self._read_offset:
                # Records expired unread: the window is built anew.
                self._building = calls.CallState()
                self._metrics.count("calls.window_rebuilt")
            self._retention_s = page.retention_s
            state = self._building or self._state
            for record in page.records:
                if isinstance(record.body, records.Unreadable):
                    self._metrics.count("calls.unreadable_record")
                calls.fold(state, record)
                self._confirm(record.body)
            self._read_offset = max(
                page.first_offset,
                page.records[-1].offset + 1
                if page.records
                else self._read_offset,
            )
            if self._building is not None:
                self._finish_building(page)
            if self._building is None:
                self._decide(page.records)
            self._prune()
            self._cond.notify_all()

    def _prune(self) -> None:
        if self._state.log_time - self._pruned_at >= _PRUNE_PERIOD_S:
            self._pruned_at = self._state.log_time
            calls.prune(self._state)

    def _finish_building(self, page: log_client.LogPage) -> None:
        if self._read_offset < page.next_offset:
            return
        self._state = self._building
        self._building = None
        self._decide_all()

    def _decide_all(self) -> None:
        # Claims that were read while the window was being built.
        for call, entry in self._state.entries.items():
            self._decide_claim(entry.claim_id, call)

    def _decide(self, page_records: list[records.Record]) -> None:
        for record in page_records:
            if isinstance(record.body, records.Claim):
                claim = record.body
                call = calls.CallKey(claim.account, claim.key)
                self._decide_claim(claim.claim_id, call)

    def _decide_claim(self, claim_id: str, call: calls.CallKey) -> None:
        holds = self._state.holds(call, claim_id)
        if claim_id in self._abandoned:
            del self._abandoned[claim_id]
            if holds:
                self._queue_release(claim_id, call)
            return
        fut = self._undecided.pop(claim_id, None)
        if fut is None:
            return
        entry = self._state.entry(call)
        if holds:
            fut.set_result(Won(claim_id))
        elif entry is None:
            fut.set_result(Rejection.KEY_OUT_OF_WINDOW)
        elif entry.claim_id:
            fut.set_result(HeldElsewhere(entry))
        else:
            fut.set_result(Rejection.KEY_REUSED)

    def _queue_release(self, claim_id: str, call: calls.CallKey) -> None:
        release = records.Release(claim_id, call.account, call.key)
        self._unconfirmed[claim_id] = (float("-inf"), release)
        self._metrics.count("calls.abandoned_claim_released")

    def _abandon(
        self, claim: records.Claim, fut: "Future[ClaimResult]"
    ) -> ClaimResult:
        with self._cond:
            if fut.done():
                return fut.result()
            del self._undecided[claim.claim_id]
            if claim in self._outbox:
                self._outbox.remove(claim)
            else:
                self._abandoned[claim.claim_id] = claim
        self._metrics.count("calls.abandoned_claim")
        return Rejection.LOG_UNAVAILABLE

    def _send_until_seen(self, body: records.Body) -> None:
        with self._cond:
            self._unconfirmed[body.claim_id] = (float("-inf"), body)
            self._cond.notify_all()

    def _confirm(self, body: records.Body) -> None:
        if isinstance(body, (records.Release, records.Result)):
            self._unconfirmed.pop(body.claim_id, None)

    def _note_log_state(self, stream: str, up: bool, reason: str) -> None:
        self._metrics.count(f"log.{stream}.{'up' if up else 'down'}")
        if not up:
            state_log.log_fault("log unreachable", stream=stream, reason=reason)

    def _run_appender(self) -> None:
        while not self._stop.is_set():
            group = self._take_group()
            if not group:
                continue
            self._metrics.count("calls.append")
            self._metrics.count("calls.append_records", len(group))
            result = self._client.append(records.CALLS_STREAM, group)
            if isinstance(result, log_client.LogError):
                self._metrics.count("calls.append_failed")
                state_log.log_fault(
                    "append failed",
                    stream=records.CALLS_STREAM,
                    records=len(group),
                    reason=result.reason,
                )
            self._stop.wait(append_period_s(self._writers()))

    def _run_sync(self) -> None:
        """Reads the log at once for whoever waits in `synchronize`."""
        while not self._stop.is_set():
            with self._cond:
                self._cond.wait_for(
                    lambda: (
                        self._sync_asked_at > self._synced_at
                        or self._stop.is_set()
                    )
                )
            started_at = self._clock.monotonic()
            page = self._client.read(
                records.CALLS_STREAM, self.next_offset(), 0.0
            )
            if isinstance(page, log_client.LogError):
                self._stop.wait(_POLL_S)
                continue
            self.handle_page(page)
            with self._cond:
                if self._read_offset >= page.next_offset:
                    self._synced_at = started_at
                self._cond.notify_all()

    def _take_group(self) -> list[records.Body]:
        with self._cond:
            self._cond.wait_for(
                lambda: self._outbox or self._stop.is_set(), _POLL_S
            )
            group: list[records.Body] = []
            while self._outbox and len(group) < MAX_GROUP:
                group.append(self._outbox.popleft())
            now = self._clock.monotonic()
            for claim_id, (sent_at, body) in self._unconfirmed.items():
                if len(group) >= MAX_GROUP:
                    break
                if now - sent_at >= _RESEND_PERIOD_S:
                    self._unconfirmed[claim_id] = (now, body)
                    group.append(body)
            return group
