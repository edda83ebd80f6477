"""Runs a stage that answers with one reply, with retries and hedges.

`stream_stage` uses `StageRun` and `StageFailure` too.
"""

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

# An attempt that misses the deadline counts as a failure of the endpoint if it
# ran at least this many times its expected time, otherwise as load.
UNRESPONSIVE_FACTOR = 4.0
# A hedge starts after an attempt's expected time and HEDGE_DEVIATIONS
# deviations, but at most MAX_HEDGE_FACTOR times the expected time. The delay
# is raised to MIN_HEDGE_FACTOR times the expected time plus
# HEDGE_DELAY_OFFSET_S where it would be less.
MIN_HEDGE_FACTOR = 1.2
HEDGE_DEVIATIONS = 4.0
MAX_HEDGE_FACTOR = 1.6
# How long a hedge may wait for a slot.
HEDGE_SLOT_WAIT_S = 0.05
# Added to the least delay of a hedge.
HEDGE_DELAY_OFFSET_S = 0.02
# If no hedge could start, for lack of a slot or of hedge budget, one on the
# retry budget starts after this many hedge delays and at least
# MIN_LATE_HEDGE_DELAY_S, unless MAX_HEDGE_DELAY_SHARE makes it start earlier.
LATE_HEDGE_FACTOR = 6.0
MIN_LATE_HEDGE_DELAY_S = 0.5
# Share of the remaining time that bounds the extra delay of a hedge on the
# retry budget; also a hedge's delay while the expected time is unknown.
MAX_HEDGE_DELAY_SHARE = 0.3
_BACKOFF_S = 0.02


class RunningAttempt(NamedTuple):
    """An attempt whose transfer is in progress."""

    attempt: attempts.Attempt
    transfer: transfers.TransferHandle
    started_at: float


class StageFailure(NamedTuple):
    """A stage without an answer.

    Attributes:
        last_failure: how the last attempt failed. None if there was none, or if
            `run_non_repeatable` got no further slot or time after attempts
            that certainly ran nothing.
        is_late: whether the stage's time has run out.
    """

    last_failure: attempts.Failure | None
    is_late: bool = False


StageResult = attempts.Success | StageFailure


class StageRun:
    """One stage of one request, and the endpoints that it leaves out.

    Attributes:
        units: predicted size of the work, in work units.
        excluded: addresses of endpoints that `acquire` leaves out: those whose
            attempt failed and, while a hedge acquires its slot, that of the
            first attempt. Repeatable stages clear it when no other endpoint
            has a free slot.
    """

    def __init__(
        self,
        ctrl: controllers.Controllers,
        req: request.PipelineRequest,
        stage: rules.Pool,
        stage_input: Any,
        units: float,
        reserve_s: float,
    ):
        """Creates a run; `reserve_s` is time kept for the later stages."""
        self.ctrl = ctrl
        self.req = req
        self.stage = stage
        self.stage_input = stage_input
        self.units = units
        self._reserve_s = reserve_s
        self.excluded: set[str] = set()

    def remaining_s(self) -> float:
        """Returns the time this stage may still take."""
        now = self.ctrl.clock.monotonic()
        return self.req.deadline_at - now - self._reserve_s

    def acquire(
        self, timeout_s: float
    ) -> endpoint_state.Slot | endpoints.NoSlot:
        """Acquires a slot on an endpoint that isn't excluded."""
        work = endpoint_state.Work(
            self.stage.name,
            self.units,
            self.req.rule.priority,
            exclude=frozenset(self.excluded),
            finish_by=self.req.deadline_at - self._reserve_s,
            is_stream=self.stage.protocol == rules.PROTOCOL_STREAM,
        )
        slot = self.ctrl.endpoints.acquire(work, timeout_s)
        if isinstance(slot, endpoints.NoSlot):
            self.req.trace.add_step(
                "no slot",
                stage=self.stage.name,
                pool_down=slot.is_pool_down,
                waited_ms=round(slot.waited_s * 1000, 1),
            )
        return slot

    def start(
        self, slot: endpoint_state.Slot, timeout_s: float, fresh: bool
    ) -> RunningAttempt:
        """Starts the transfer of a new attempt."""
        attempt = attempts.Attempt(request.new_id(), slot)
        exchange = attempts.build_exchange(
            self.req,
            self.stage,
            attempt,
            self.stage_input,
            timeout_s,
            fresh=fresh,
        )
        self.record_start(attempt, fresh=fresh)
        transfer = self.ctrl.transfers.submit_cancellable(exchange)
        return RunningAttempt(attempt, transfer, self.ctrl.clock.monotonic())

    def record_start(self, attempt: attempts.Attempt, **detail: Any) -> None:
        """Records an attempt that is about to be sent."""
        self.req.any_attempt_started = True
        self.ctrl.metrics.count(f"stage.{self.stage.name}.attempts")
        self.req.trace.add_step(
            "attempt",
            stage=self.stage.name,
            endpoint=attempt.slot.endpoint.key,
            attempt_id=attempt.attempt_id,
            **detail,
        )

    def record_end(
        self,
        attempt: attempts.Attempt,
        attempt_result: attempts.Success | attempts.Failure,
        elapsed_s: float,
        transfer_result: exchanges.TransferResult | None,
    ) -> None:
        """Records how an attempt ended and releases its slot."""
        slot = attempt.slot
        load = attempts.reported_load(transfer_result)
        if load is not None:
            self.ctrl.endpoints.report_load(slot.endpoint.key, load)
        self._release_slot(slot, attempt_result, elapsed_s)
        stage = f"stage.{self.stage.name}"
        if isinstance(attempt_result, attempts.Success):
            self.ctrl.histograms.record(stage, elapsed_s)
            result_text, detail = "good", ""
        else:
            self.ctrl.metrics.count(
                f"{stage}.{attempt_result.cause.name.lower()}"
            )
            result_text, detail = (
                attempt_result.cause.value,
                attempt_result.detail,
            )
        self.req.trace.add_step(
            "attempt ended",
            attempt_id=attempt.attempt_id,
            result=result_text,
            detail=detail,
        )

    def collect(
        self, running: RunningAttempt
    ) -> attempts.Success | attempts.Failure:
        """Waits for an attempt's result, records it and releases the slot."""
        transfer_result = running.transfer.future.result()
        try:
            attempt_result = attempts.classify(
                transfer_result, running.attempt.attempt_id
            )
        finally:
            # Returns the room of the body.
            running.transfer.cancel()
        elapsed_s = self.ctrl.clock.monotonic() - running.started_at
        self.record_end(
            running.attempt, attempt_result, elapsed_s, transfer_result
        )
        if isinstance(attempt_result, attempts.Failure):
            self.excluded.add(running.attempt.slot.endpoint.key)
        return attempt_result

    def cancel(self, running: RunningAttempt) -> None:
        """Cancels an attempt that another one has beaten."""
        running.transfer.cancel()
        elapsed_s = self.ctrl.clock.monotonic() - running.started_at
        self.ctrl.endpoints.finish_cancelled(running.attempt.slot, elapsed_s)
        self.ctrl.metrics.count(f"stage.{self.stage.name}.hedges_lost")

    def _release_slot(
        self,
        slot: endpoint_state.Slot,
        attempt_result: attempts.Success | attempts.Failure,
        elapsed_s: float,
    ) -> None:
        if isinstance(attempt_result, attempts.Success):
            self.ctrl.endpoints.finish(slot, elapsed_s, True)
            return
        if attempt_result.cause is attempts.FailureCause.LEAVING:
            controllers.mark_endpoint_leaving(self.ctrl, slot.endpoint)
        if attempt_result.cause in (
            attempts.FailureCause.REJECTED,
            attempts.FailureCause.DECLINED,
            attempts.FailureCause.LEAVING,
        ):
            self.ctrl.endpoints.abandon(slot)
            return
        is_late = attempt_result.cause is attempts.FailureCause.LATE
        if is_late and elapsed_s < UNRESPONSIVE_FACTOR * slot.expected_s:
            # The deadline came first: this counts as load, not as a failure.
            self.ctrl.endpoints.finish_late(slot, elapsed_s)
            return
        self.ctrl.endpoints.finish(slot, elapsed_s, False)


def run_repeatable(run: StageRun) -> StageResult:
    """Runs a repeatable stage with retries and hedges."""
    run.ctrl.retry_budget.earn()
    run.ctrl.hedge_budget.earn()
    last_failure = None
    while True:
        remaining_s = run.remaining_s()
        if remaining_s <= 0:
            return StageFailure(last_failure, is_late=True)
        slot = run.acquire(remaining_s if not run.excluded else 0.0)
        if isinstance(slot, endpoints.NoSlot):
            if run.excluded and not slot.is_pool_down:
                # No other endpoint has a free slot: allow the excluded ones.
                run.excluded.clear()
                time.sleep(random.uniform(0.5, 1.0) * _BACKOFF_S)
                continue
            return StageFailure(last_failure, is_late=run.remaining_s() <= 0)
        attempt_result = _run_hedged(run, slot)
        if isinstance(attempt_result, attempts.Success):
            return attempt_result
        last_failure = attempt_result
        if last_failure.cause is attempts.FailureCause.REJECTED:
            return StageFailure(last_failure)
        # Moving on from a leaving endpoint costs no retry.
        if (
            last_failure.cause is not attempts.FailureCause.LEAVING
            and not try_spend_retry(run)
        ):
            return StageFailure(last_failure, is_late=run.remaining_s() <= 0)


def run_non_repeatable(run: StageRun) -> StageResult:
    """Runs a non-repeatable stage.

    Another endpoint is tried only if it is certain that the last ran nothing.
    """
    while True:
        remaining_s = run.remaining_s()
        if remaining_s <= 0:
            return StageFailure(None, is_late=True)
        slot = run.acquire(remaining_s)
        if isinstance(slot, endpoints.NoSlot):
            return StageFailure(None, is_late=run.remaining_s() <= 0)
        may_have_run_before = run.req.non_repeatable_may_have_run
        # Set before the attempt is sent, so that an exception can't hide
        # that it may have run.
        run.req.non_repeatable_may_have_run = True
        # A fresh connection keeps libcurl from sending the attempt twice.
        running = run.start(slot, run.remaining_s(), fresh=True)
        attempt_result = run.collect(running)
        if isinstance(attempt_result, attempts.Success):
            return attempt_result
        if not attempt_result.certainly_not_run():
            return StageFailure(attempt_result)
        run.req.non_repeatable_may_have_run = may_have_run_before
        if not try_spend_retry(run):
            return StageFailure(attempt_result)


def try_spend_retry(run: StageRun) -> bool:
    """Spends a retry from the retry budget; returns whether one was left."""
    if not run.ctrl.retry_budget.spend():
        run.ctrl.metrics.count("retries.denied")
        run.req.trace.add_step("retry denied", reason="retry budget spent")
        return False
    run.ctrl.metrics.count("retries")
    return True


def _run_hedged(run: StageRun, slot: endpoint_state.Slot):
    """Runs an attempt and, if it is slow, a hedge on another endpoint.

    The first attempt continues, so that long work isn't started over.
    """
    remaining_s = max(0.001, run.remaining_s())
    first = run.start(slot, remaining_s, bool(run.excluded))
    hedge_delay_s = _hedge_delay_s(slot, remaining_s)
    if _wait([first], hedge_delay_s):
        return run.collect(first)
    hedge = _start_hedge(run, first, run.ctrl.hedge_budget, "hedges")
    if hedge is None:
        extra_delay_s = (
            max(MIN_LATE_HEDGE_DELAY_S, LATE_HEDGE_FACTOR * hedge_delay_s)
            - hedge_delay_s
        )
        if _wait(
            [first], min(extra_delay_s, MAX_HEDGE_DELAY_SHARE * remaining_s)
        ):
            return run.collect(first)
        hedge = _start_hedge(run, first, run.ctrl.retry_budget, "backups")
    if hedge is None:
        return run.collect(first)
    return _first_success(run, first, hedge)


def _hedge_delay_s(slot: endpoint_state.Slot, remaining_s: float) -> float:
    """Returns the time after which an attempt is hedged."""
    if slot.expected_s <= 0:
        return MAX_HEDGE_DELAY_SHARE * remaining_s
    min_delay_s = MIN_HEDGE_FACTOR * slot.expected_s + HEDGE_DELAY_OFFSET_S
    deviation_delay_s = slot.expected_s + HEDGE_DEVIATIONS * slot.deviation_s
    return max(
        min_delay_s, min(deviation_delay_s, MAX_HEDGE_FACTOR * slot.expected_s)
    )


def _start_hedge(
    run: StageRun, first: RunningAttempt, budget: budgets.Budget, counter: str
) -> RunningAttempt | None:
    """Starts a hedge on another endpoint if a slot and budget are left."""
    address = first.attempt.slot.endpoint.key
    run.excluded.add(address)
    slot = run.acquire(HEDGE_SLOT_WAIT_S)
    run.excluded.discard(address)
    if isinstance(slot, endpoints.NoSlot):
        return None
    if not budget.spend():
        run.ctrl.endpoints.abandon(slot)
        return None
    run.ctrl.metrics.count(counter)
    run.req.trace.add_step("second attempt", stage=run.stage.name, why=counter)
    return run.start(slot, max(0.001, run.remaining_s()), fresh=True)


def _first_success(run: StageRun, first: RunningAttempt, hedge: RunningAttempt):
    """Returns the first successful answer and cancels the other attempt.

    If both attempts fail, the failure that was collected last is returned.
    """
    pending = [first, hedge]
    attempt_result = None
    while pending:
        for running in _wait(pending, None):
            pending.remove(running)
            attempt_result = run.collect(running)
            if isinstance(attempt_result, attempts.Success):
                for other in pending:
                    run.cancel(other)
                return attempt_result
    return attempt_result


def _wait(
    pending: list[RunningAttempt], timeout_s: float | None
) -> list[RunningAttempt]:
    futures = [running.transfer.future for running in pending]
    done, _ = concurrent.futures.wait(
        futures, timeout_s, concurrent.futures.FIRST_COMPLETED
    )
    return [running for running in pending if running.transfer.future in done]
