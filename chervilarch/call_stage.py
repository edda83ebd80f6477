"""Runs a stage that answers with one reply: retries, hedges, or neither."""

import concurrent.futures
import random
import time
from typing import Any, NamedTuple

from chervilarch import (
    attempts,
    budgets,
    controllers,
    endpoint_state,
    endpoints,
    exchanges,
    request,
    rules,
    transfers,
)

# An attempt without an answer for this many times its expected time counts as
# a failure of the endpoint rather than as load.
SILENT_FACTOR = 4.0
# A hedge starts when an attempt takes this many times its expected time, or
# its expected time and this many deviations.
HEDGE_FACTOR = 1.2
HEDGE_DEVIATIONS = 4.0
MAX_HEDGE_FACTOR = 1.6
# How long a second attempt may wait for an endpoint.
SECOND_WAIT_S = 0.05
MIN_HEDGE_DELAY_S = 0.02
# Without hedge budget, a second attempt starts after this many hedge delays.
BACKUP_FACTOR = 6.0
MIN_BACKUP_S = 0.5
# A second attempt waits no longer than this share of what remains.
BACKUP_SHARE = 0.3
_BACKOFF_S = 0.02


class Running(NamedTuple):
    """An attempt whose transfer is under way."""

    attempt: attempts.Attempt
    call: transfers.Call
    started_at: float


class StageFailure(NamedTuple):
    """A stage without an answer; `bad` is None if no endpoint was found."""

    bad: attempts.Failure | None
    is_late: bool = False


StageResult = attempts.Success | StageFailure


class StageRun:
    """One stage of one request."""

    def __init__(
        self,
        ctrl: controllers.Controllers,
        req: request.PipelineRequest,
        stage: rules.Pool,
        stage_input: Any,
        units: float,
        reserve_s: float,
    ):
        self.ctrl = ctrl
        self.req = req
        self.stage = stage
        self.stage_input = stage_input
        self.units = units
        self._reserve_s = reserve_s
        self.tried: set[str] = set()

    def remaining_s(self) -> float:
        """Returns the time this stage may still take."""
        now = self.ctrl.clock.monotonic()
        return self.req.deadline_at - now - self._reserve_s

    def acquire(
        self, timeout_s: float
    ) -> endpoint_state.Slot | endpoints.NoSlot:
        """Takes a slot on an endpoint that wasn't tried yet."""
        work = endpoint_state.Work(
            self.stage.name,
            self.units,
            self.req.rule.priority,
            exclude=frozenset(self.tried),
            finish_by=self.req.deadline_at - self._reserve_s,
            is_stream=self.stage.protocol == rules.PROTOCOL_STREAM,
        )
        slot = self.ctrl.endpoints.acquire(work, timeout_s)
        if isinstance(slot, endpoints.NoSlot):
            self.req.trace.note(
                "no slot",
                stage=self.stage.name,
                pool_down=slot.is_pool_down,
                waited_ms=round(slot.waited_s * 1000, 1),
            )
        return slot

    def start(
        self, slot: endpoint_state.Slot, timeout_s: float, fresh: bool
    ) -> Running:
        """Sends an attempt."""
        attempt = attempts.Attempt(request.new_id(), slot)
        exchange = attempts.build_exchange(
            self.req,
            self.stage,
            attempt,
            self.stage_input,
            timeout_s,
            fresh=fresh,
        )
        self.note_start(attempt, fresh=fresh)
        call = self.ctrl.transfers.start_call(exchange)
        return Running(attempt, call, self.ctrl.clock.monotonic())

    def note_start(self, attempt: attempts.Attempt, **detail: Any) -> None:
        """Counts an attempt that is about to be sent."""
        self.req.any_dispatched = True
        self.ctrl.metrics.count(f"stage.{self.stage.name}.attempts")
        self.req.trace.note(
            "attempt",
            stage=self.stage.name,
            endpoint=attempt.slot.endpoint.address,
            attempt_id=attempt.attempt_id,
            **detail,
        )

    def note_end(
        self,
        attempt: attempts.Attempt,
        judged: attempts.Success | attempts.Failure,
        elapsed_s: float,
        result: exchanges.TransferResult | None,
    ) -> None:
        """Counts an attempt's end and gives its slot back."""
        slot = attempt.slot
        load = attempts.reported_load(result)
        if load is not None:
            self.ctrl.endpoints.report_load(slot.endpoint.address, load)
        self._finish(slot, judged, elapsed_s)
        stage = f"stage.{self.stage.name}"
        if isinstance(judged, attempts.Success):
            self.ctrl.histograms.record(stage, elapsed_s)
            verdict, detail = "good", ""
        else:
            self.ctrl.metrics.count(f"{stage}.{judged.kind.name.lower()}")
            verdict, detail = judged.kind.value, judged.detail
        self.req.trace.note(
            "attempt ended",
            attempt_id=attempt.attempt_id,
            result=verdict,
            detail=detail,
        )

    def collect(self, running: Running) -> attempts.Success | attempts.Failure:
        """Judges a finished attempt and gives its slot back."""
        result = running.call.future.result()
        judged = attempts.classify(result, running.attempt.attempt_id)
        elapsed_s = self.ctrl.clock.monotonic() - running.started_at
        self.note_end(running.attempt, judged, elapsed_s, result)
        if isinstance(judged, attempts.Failure):
            self.tried.add(running.attempt.slot.endpoint.address)
        return judged

    def drop(self, running: Running) -> None:
        """Cancels an attempt whose answer is no longer wanted."""
        running.call.cancel()
        elapsed_s = self.ctrl.clock.monotonic() - running.started_at
        self.ctrl.endpoints.finish_unanswered(running.attempt.slot, elapsed_s)
        self.ctrl.metrics.count(f"stage.{self.stage.name}.hedges_lost")

    def _finish(
        self,
        slot: endpoint_state.Slot,
        judged: attempts.Success | attempts.Failure,
        elapsed_s: float,
    ) -> None:
        if isinstance(judged, attempts.Success):
            self.ctrl.endpoints.finish(slot, elapsed_s, True)
            return
        if judged.kind is attempts.FailureCause.LEAVING:
            controllers.note_leaving(self.ctrl, slot.endpoint)
        if judged.kind in (
            attempts.FailureCause.REJECTED,
            attempts.FailureCause.DECLINED,
            attempts.FailureCause.LEAVING,
        ):
            self.ctrl.endpoints.abandon(slot)
            return
        is_late = judged.kind is attempts.FailureCause.LATE
        if is_late and elapsed_s < SILENT_FACTOR * slot.expected_s:
            # The deadline came first; that is load, not a failure.
            self.ctrl.endpoints.finish_late(slot, elapsed_s)
            return
        self.ctrl.endpoints.finish(slot, elapsed_s, False)


def run_repeatable(run: StageRun) -> StageResult:
    """Runs a stage that may be tried again and hedged."""
    run.ctrl.retry_budget.earn()
    run.ctrl.hedge_budget.earn()
    bad = None
    while True:
        remaining_s = run.remaining_s()
        if remaining_s <= 0:
            return StageFailure(bad, is_late=True)
        slot = run.acquire(remaining_s if not run.tried else 0.0)
        if isinstance(slot, endpoints.NoSlot):
            if run.tried and not slot.is_pool_down:
                run.tried.clear()
                time.sleep(random.uniform(0.5, 1.0) * _BACKOFF_S)
                continue
            return StageFailure(bad, is_late=run.remaining_s() <= 0)
        judged = _race(run, slot)
        if isinstance(judged, attempts.Success):
            return judged
        bad = judged
        if bad.kind is attempts.FailureCause.REJECTED:
            return StageFailure(bad)
        if bad.kind is not attempts.FailureCause.LEAVING and not may_retry(run):
            return StageFailure(bad, is_late=run.remaining_s() <= 0)


def run_once(run: StageRun) -> StageResult:
    """Runs a stage that may not be repeated.

    Another endpoint is tried only if the first certainly ran nothing.
    """
    while True:
        remaining_s = run.remaining_s()
        if remaining_s <= 0:
            return StageFailure(None, is_late=True)
        slot = run.acquire(remaining_s)
        if isinstance(slot, endpoints.NoSlot):
            return StageFailure(None, is_late=run.remaining_s() <= 0)
        dispatched_before = run.req.dispatched_once
        # Set before the call is sent, so that no fault can hide it.
        run.req.dispatched_once = True
        # A fresh connection keeps libcurl from sending the call twice.
        running = run.start(slot, run.remaining_s(), fresh=True)
        judged = run.collect(running)
        if isinstance(judged, attempts.Success):
            return judged
        if not judged.surely_not_run():
            return StageFailure(judged)
        run.req.dispatched_once = dispatched_before
        if not may_retry(run):
            return StageFailure(judged)


def may_retry(run: StageRun) -> bool:
    """Takes an attempt from the retry budget, if one is left."""
    if not run.ctrl.retry_budget.spend():
        run.ctrl.metrics.count("retries.denied")
        run.req.trace.note("retry denied", reason="retry budget spent")
        return False
    run.ctrl.metrics.count("retries")
    return True


def _race(run: StageRun, slot: endpoint_state.Slot):
    """Runs an attempt and, if it is slow, a second one beside it.

    The first goes on, so that work that really takes long is not lost.
    """
    remaining_s = max(0.001, run.remaining_s())
    first = run.start(slot, remaining_s, bool(run.tried))
    hedge_s = _hedge_delay_s(slot, remaining_s)
    if _wait([first], hedge_s):
        return run.collect(first)
    second = _start_second(run, first, run.ctrl.hedge_budget, "hedges")
    if second is None:
        backup_s = max(MIN_BACKUP_S, BACKUP_FACTOR * hedge_s) - hedge_s
        if _wait([first], min(backup_s, BACKUP_SHARE * remaining_s)):
            return run.collect(first)
        second = _start_second(run, first, run.ctrl.retry_budget, "backups")
    if second is None:
        return run.collect(first)
    return _first_good(run, first, second)


def _hedge_delay_s(slot: endpoint_state.Slot, remaining_s: float) -> float:
    """Returns after what time an attempt counts as slow."""
    if slot.expected_s <= 0:
        return BACKUP_SHARE * remaining_s
    early_s = HEDGE_FACTOR * slot.expected_s + MIN_HEDGE_DELAY_S
    uneven_s = slot.expected_s + HEDGE_DEVIATIONS * slot.deviation_s
    return max(early_s, min(uneven_s, MAX_HEDGE_FACTOR * slot.expected_s))


def _start_second(
    run: StageRun, first: Running, budget: budgets.Budget, counter: str
) -> Running | None:
    """Sends a second attempt elsewhere, if the budget has one left."""
    address = first.attempt.slot.endpoint.address
    run.tried.add(address)
    slot = run.acquire(SECOND_WAIT_S)
    run.tried.discard(address)
    if isinstance(slot, endpoints.NoSlot):
        return None
    if not budget.spend():
        run.ctrl.endpoints.abandon(slot)
        return None
    run.ctrl.metrics.count(counter)
    run.req.trace.note("second attempt", stage=run.stage.name, why=counter)
    return run.start(slot, max(0.001, run.remaining_s()), fresh=True)


def _first_good(run: StageRun, first: Running, second: Running):
    """Returns the first good answer of two attempts and drops the other."""
    waiting = [first, second]
    judged = None
    while waiting:
        for running in _wait(waiting, None):
            waiting.remove(running)
            judged = run.collect(running)
            if isinstance(judged, attempts.Success):
                for loser in waiting:
                    run.drop(loser)
                return judged
    return judged


def _wait(waiting: list[Running], timeout_s: float | None) -> list[Running]:
    futures = [running.call.future for running in waiting]
    done, _ = concurrent.futures.wait(
        futures, timeout_s, concurrent.futures.FIRST_COMPLETED
    )
    return [running for running in waiting if running.call.future in done]
