"""Controller of claims on non-repeatable calls.

Claims are appended in groups. A call is dispatched only after its claim was
read back as the first of its key. A claim that isn't read back in time is
abandoned: it is never dispatched, and it is released if the log shows it later.
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

# Appends per second of all hosts together; the log handles several hundred.
FLEET_APPENDS_PER_S = 200.0
MIN_APPEND_PERIOD_S = 0.02
MAX_GROUP_RECORDS = 200
# How far this host's state may lag behind the log when it answers for a key.
MAX_LAG_S = 2.0
_RESEND_PERIOD_S = 0.5
_POLL_S = 0.05
_PRUNE_PERIOD_S = 30.0


class Won(NamedTuple):
    """This host's claim holds the call; it may dispatch the call once."""

    claim_id: str


class HeldElsewhere(NamedTuple):
    """Another claim, of this host or another, holds the call."""

    entry: calls.CallEntry


class Rejection(enum.Enum):
    """Why a key could not be claimed."""

    LOG_UNAVAILABLE = "log unavailable"
    KEY_OUT_OF_WINDOW = "key out of window"
    KEY_REUSED = "key reused with another request"


ClaimResult = Won | HeldElsewhere | Rejection


def append_period_s(writer_count: int) -> float:
    """Returns the time between a host's appends that keeps the total rate."""
    return max(MIN_APPEND_PERIOD_S, writer_count / FLEET_APPENDS_PER_S)


class CallsController:
    """Appends claims and outcomes; the log's order decides who holds a call."""

    def __init__(
        self,
        client: log_client.LogClient,
        clock: clocks.Clock,
        counters: metrics.Metrics,
        writer_count: Callable[[], int],
    ):
        self._client = client
        self._clock = clock
        self._metrics = counters
        self._writer_count = writer_count
        self._cond = threading.Condition()
        self._state = calls.CallState()
        self._rebuilding: calls.CallState | None = calls.CallState()
        self._read_offset = 0
        self._pruned_at = 0.0
        self._retention_s = 0.0
        self._outbox: collections.deque[records.Body] = collections.deque()
        self._pending_claims: dict[str, Future[ClaimResult]] = {}
        self._abandoned: dict[str, records.Claim] = {}
        self._unconfirmed: dict[str, tuple[float, records.Body]] = {}
        self._sync_requested_at = float("-inf")
        self._synced_at = float("-inf")
        self._stop = threading.Event()
        self._sync_thread = threading.Thread(
            target=self._run_sync, name="claims-sync", daemon=True
        )
        self._thread = threading.Thread(
            target=self._run_appender, name="claims", daemon=True
        )
        self.follower = follower.Follower(
            client, records.CALLS_STREAM, self, clock, self._report_log_state
        )

    def start(self) -> None:
        """Starts the threads that read and append."""
        self.follower.start()
        self._thread.start()
        self._sync_thread.start()

    def stop(self) -> None:
        """Signals the threads to end.

        Unconfirmed records aren't sent again; other hosts read those that
        reached the log.
        """
        self._stop.set()
        self.follower.stop()
        with self._cond:
            self._cond.notify_all()

    def is_current(self) -> bool:
        """Returns whether the state is complete and recent enough."""
        with self._cond:
            complete = self._rebuilding is None
            # With a shorter retention, an earlier claim may have expired.
            complete = complete and self._retention_s >= calls.MIN_RETENTION_S
        # The age counts from the start of a read, which may be a long poll.
        return complete and self.follower.contact_age_s() <= (
            log_client.LONG_POLL_S + MAX_LAG_S
        )

    def is_catching_up(self) -> bool:
        """Returns whether the state is being rebuilt from a reachable log."""
        with self._cond:
            complete = self._rebuilding is None
        caught_up = complete and self.follower.last_read_started_at > float(
            "-inf"
        )
        return not caught_up and not self.follower.is_failing()

    def synchronize(self, timeout_s: float) -> bool:
        """Waits until everything that is now in the log has been folded.

        Returns:
            False if the log didn't answer in time.
        """
        requested_at = self._clock.monotonic()
        with self._cond:
            self._sync_requested_at = requested_at
            self._cond.notify_all()
            return self._cond.wait_for(
                lambda: (
                    self._synced_at >= requested_at and not self._rebuilding
                ),
                timeout_s,
            )

    def unconfirmed(self) -> int:
        """Returns how many releases and results haven't been read back."""
        with self._cond:
            return len(self._unconfirmed)

    def entry(self, call: calls.CallKey) -> calls.CallEntry | None:
        """Returns the entry of a key, None if the key has none."""
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
        future: Future[ClaimResult] = Future()
        with self._cond:
            self._pending_claims[claim.claim_id] = future
            self._outbox.append(claim)
            self._cond.notify_all()
        try:
            return future.result(timeout_s)
        except FutureTimeoutError:
            return self._abandon(claim, future)

    def release(self, call: calls.CallKey, claim_id: str) -> None:
        """Releases a claim under which the call didn't and won't run."""
        self._send_until_confirmed(
            records.Release(claim_id, call.account, call.key)
        )

    def record_result(
        self, call: calls.CallKey, claim_id: str, outcome: str, output: Any
    ) -> None:
        """Records the outcome of a call that may have run."""
        self._send_until_confirmed(
            records.Result(claim_id, call.account, call.key, outcome, output)
        )

    def wait_for_result(
        self, call: calls.CallKey, timeout_s: float
    ) -> calls.CallEntry | None:
        """Waits until a key has a result or is released; returns its entry."""

        def has_ended() -> bool:
            entry = self._state.entry(call)
            return entry is None or not entry.claim_id or bool(entry.result)

        with self._cond:
            self._cond.wait_for(has_ended, timeout_s)
            return self._state.entry(call)

    def next_offset(self) -> int:
        """Returns the offset that the follower reads next."""
        return self._read_offset

    def handle_page(self, page: log_client.LogPage) -> None:
        """Folds a page of the stream and decides the claims in it."""
        with self._cond:
            if page.next_offset < self._read_offset:
                self._metrics.count("calls.log_behind")
                return
            if page.first_offset > self._read_offset:
                # Records expired before they were read: rebuild the state.
                self._rebuilding = calls.CallState()
                self._metrics.count("calls.window_rebuilt")
            self._retention_s = page.retention_s
            state = self._rebuilding or self._state
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
            if self._rebuilding is not None:
                self._finish_rebuilding(page)
            if self._rebuilding is None:
                self._decide_page(page.records)
            self._prune()
            self._cond.notify_all()

    def _prune(self) -> None:
        if self._state.log_time - self._pruned_at >= _PRUNE_PERIOD_S:
            self._pruned_at = self._state.log_time
            calls.prune(self._state)

    def _finish_rebuilding(self, page: log_client.LogPage) -> None:
        if self._read_offset < page.next_offset:
            return
        self._state = self._rebuilding
        self._rebuilding = None
        self._decide_holders()

    def _decide_holders(self) -> None:
        # Decides the claims that hold a key after a rebuild. Claims that lost
        # aren't in the state; those read before its last page time out.
        for call, entry in self._state.entries.items():
            self._decide_claim(entry.claim_id, call)

    def _decide_page(self, page_records: list[records.Record]) -> None:
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
        future = self._pending_claims.pop(claim_id, None)
        if future is None:
            return
        entry = self._state.entry(call)
        # The fold ignores a claim whose key is out of the window, is held, or
        # was released with another digest.
        if holds:
            future.set_result(Won(claim_id))
        elif entry is None:
            future.set_result(Rejection.KEY_OUT_OF_WINDOW)
        elif entry.claim_id:
            future.set_result(HeldElsewhere(entry))
        else:
            future.set_result(Rejection.KEY_REUSED)

    def _queue_release(self, claim_id: str, call: calls.CallKey) -> None:
        release = records.Release(claim_id, call.account, call.key)
        self._unconfirmed[claim_id] = (float("-inf"), release)
        self._metrics.count("calls.abandoned_claim_released")

    def _abandon(
        self, claim: records.Claim, future: "Future[ClaimResult]"
    ) -> ClaimResult:
        with self._cond:
            if future.done():
                return future.result()
            del self._pending_claims[claim.claim_id]
            if claim in self._outbox:
                self._outbox.remove(claim)
            else:
                self._abandoned[claim.claim_id] = claim
        self._metrics.count("calls.abandoned_claim")
        return Rejection.LOG_UNAVAILABLE

    def _send_until_confirmed(self, body: records.Body) -> None:
        with self._cond:
            self._unconfirmed[body.claim_id] = (float("-inf"), body)
            self._cond.notify_all()

    def _confirm(self, body: records.Body) -> None:
        if isinstance(body, (records.Release, records.Result)):
            self._unconfirmed.pop(body.claim_id, None)

    def _report_log_state(self, stream: str, up: bool, reason: str) -> None:
        self._metrics.count(f"log.{stream}.{'up' if up else 'down'}")
        if not up:
            state_log.log_fault("log unreachable", stream=stream, reason=reason)

    def _run_appender(self) -> None:
        while not self._stop.is_set():
            group = self._next_group()
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
            self._stop.wait(append_period_s(self._writer_count()))

    def _run_sync(self) -> None:
        """Reads the log without a long poll while `synchronize` waits."""
        while not self._stop.is_set():
            with self._cond:
                self._cond.wait_for(
                    lambda: (
                        self._sync_requested_at > self._synced_at
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

    def _next_group(self) -> list[records.Body]:
        with self._cond:
            self._cond.wait_for(
                lambda: self._outbox or self._stop.is_set(), _POLL_S
            )
            group: list[records.Body] = []
            while self._outbox and len(group) < MAX_GROUP_RECORDS:
                group.append(self._outbox.popleft())
            now = self._clock.monotonic()
            for claim_id, (sent_at, body) in self._unconfirmed.items():
                if len(group) >= MAX_GROUP_RECORDS:
                    break
                if now - sent_at >= _RESEND_PERIOD_S:
                    self._unconfirmed[claim_id] = (now, body)
                    group.append(body)
            return group
