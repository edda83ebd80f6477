"""The final call of a request whose answer isn't streamed.

Streamed calls use the functions for the end of an attempt too.
"""

from typing import NamedTuple

from chervilarch import (
    attempts,
    endpoint_lease,
    exchanges,
    http_client,
    outcomes,
    placement,
    routed,
    stage_inputs,
    state_log,
    tasks,
)
from chervilarch import routed_context as contexts
from chervilarch.futures import Future

_MS_PER_S = 1000
# Time reserved for sending the answer to the caller, in seconds.
RETURN_MARGIN_S = 0.01
# No call is sent with less time left than this.
MIN_CALL_S = 0.02
# Retry-After of a request that no endpoint took.
DECLINED_RETRY_S = 0.1
# Before a request is sent to another endpoint, a check of whether the last one
# crashed may take this long. One that crashed refuses connections at once.
_CRASH_CHECK_WAIT_S = 0.05
# A hedge starts once the first attempt has taken this many times its expected
# time plus this extra time.
_HEDGE_RATIO = 2.5
_HEDGE_EXTRA_S = 0.05


_OUT_OF_TIME = attempts.Failure(
    attempts.FailureCause.LATE, "no reply before the deadline"
)


class Success(NamedTuple):
    """A complete, stamped reply to this request."""

    head: routed.ReplyHead
    body: bytes


class RunningAttempt(NamedTuple):
    """An attempt that has no result yet."""

    lease: placement.Lease
    transfer: http_client.Transfer
    future: "Future[Success | attempts.Failure]"


def classify(
    head: routed.ReplyHead | None,
    result: exchanges.TransferResult,
    request_id: str,
) -> Success | attempts.Failure:
    """Returns how an attempt ended, by the result of its transfer."""
    if isinstance(result, exchanges.TransferFailure):
        return attempts.Failure(
            attempts.transfer_failure_cause(result),
            f"{result.kind.value}: {result.detail}",
        )
    # A refusal that names another request proves nothing of this one.
    if head.request_id not in ("", request_id):
        return attempts.Failure(
            attempts.FailureCause.NOT_OWN, "the reply names another request"
        )
    if head.is_misdirected:
        return attempts.Failure(
            attempts.FailureCause.LEAVING, "another endpoint's"
        )
    if head.did_not_run:
        return attempts.Failure(
            attempts.FailureCause.DECLINED, f"status {head.status}, not run"
        )
    if not head.request_id:
        return attempts.Failure(
            attempts.FailureCause.NOT_OWN, "the reply names no request"
        )
    if not head.is_stamped:
        return attempts.Failure(
            attempts.FailureCause.FAILED, f"status {head.status}, not signed"
        )
    return Success(head, result.body)


def record_head(
    ctx: contexts.RoutedContext, lease: placement.Lease, head: routed.ReplyHead
) -> None:
    """Records what the head of an attempt's reply says of the endpoint."""
    # A status of 0 means that there was no reply.
    if not head.status or head.is_misdirected:
        return
    ctx.ctrl.limits.record_answer(lease.slot.endpoint, head.limit_per_s)
    if head.is_leaving:
        entry = lease.listing.entry
        ctx.ctrl.endpoints.mark_leaving(entry.name, entry.incarnation)
    if head.pause_s is not None:
        ctx.ctrl.placement.pause(lease.slot.endpoint, ctx.now() + head.pause_s)


def finish_attempt(
    ctx: contexts.RoutedContext,
    lease: placement.Lease,
    attempt_result: Success | attempts.Failure,
    tried: set[str],
) -> None:
    """Counts an ended attempt and ends its lease of the endpoint.

    Args:
        ctx: the request.
        lease: lease of the attempt's endpoint.
        attempt_result: how the attempt ended.
        tried: ids of the endpoints that the request isn't sent to again.
    """
    guard = ctx.ctrl.prompt_guard
    if isinstance(attempt_result, Success):
        ctx.req.possible_runs += 1
        ctx.ctrl.answered_routes.add(ctx.req.route.name)
        _learn_cost(ctx, lease)
        ctx.ctrl.placement.finish(lease, attempt_result.head.status < 500)
        ctx.ctrl.avoided.record_answer(
            lease.slot.endpoint, lease.slot.started_at
        )
        if attempt_result.head.status < 400:
            guard.record_answer(lease, attempt_result.head.ends_at_close)
        guard.record_end(lease, None)
        return
    ctx.req.possible_runs += not attempt_result.certainly_not_run()
    entry = lease.listing.entry
    _end_lease(ctx, lease, attempt_result.cause, tried)
    state_log.log_decision(
        "attempt failed",
        is_problem=True,
        request_id=ctx.req.id,
        endpoint=entry.name,
        kind=attempt_result.cause.value,
        has_begun=lease.slot.has_answered,
        answered_ms=round(lease.slot.answered_s() * _MS_PER_S),
        is_crash_evidence=guard.record_end(lease, attempt_result.cause),
        detail=attempt_result.detail,
        elapsed_ms=ctx.elapsed_ms(),
    )


def _learn_cost(ctx: contexts.RoutedContext, lease: placement.Lease) -> None:
    """Learns from a complete stream of several events how long it took."""
    answered_s = lease.slot.answered_s()
    if not ctx.req.route.is_prompt or not answered_s:
        return
    account = ctx.req.account.name if ctx.req.account else ""
    route = ctx.req.route.name
    ratio = ctx.ctrl.costs.observe(
        route, account, ctx.req.prompt.answer_size(), answered_s
    )
    ctx.ctrl.meters.observe_cost_ratio(route, ratio)


def _end_lease(
    ctx: contexts.RoutedContext,
    lease: placement.Lease,
    cause: attempts.FailureCause,
    tried: set[str],
) -> None:
    """Releases the endpoint of a failed attempt and counts the failure."""
    entry = lease.listing.entry
    if cause is attempts.FailureCause.NOT_SENT:
        if ctx.ctrl.loop.resumed_at > lease.slot.started_at:
            # The time for the connection ran out in a pause of this process.
            ctx.ctrl.placement.abandon(lease)
            tried.discard(entry.name)
        else:
            ctx.ctrl.placement.finish_unreachable(lease)
    elif cause is attempts.FailureCause.LEAVING:
        ctx.ctrl.endpoints.mark_ended(entry.name, entry.incarnation)
        ctx.ctrl.placement.abandon(lease)
    elif cause is attempts.FailureCause.DECLINED:
        ctx.ctrl.placement.abandon(lease, is_suspect=True)
    elif cause is attempts.FailureCause.LATE:
        # If nothing on this route was ever answered in time, the time-out is
        # no evidence against this endpoint.
        if ctx.req.route.name in ctx.ctrl.answered_routes:
            ctx.ctrl.placement.finish_late(lease)
        else:
            ctx.ctrl.placement.abandon(lease)
    elif cause is attempts.FailureCause.NO_ROOM:
        ctx.ctrl.placement.abandon(lease)
    elif cause is attempts.FailureCause.ENDLESS:
        ctx.ctrl.placement.finish_endless(lease)
    else:
        ctx.ctrl.placement.finish(lease, False)


def may_crash_endpoint(
    ctx: contexts.RoutedContext,
    lease: placement.Lease,
    failure: attempts.Failure,
) -> tasks.Coroutine[bool]:
    """Returns whether a failed request is suspected to crash endpoints."""
    if failure.certainly_not_run():
        return False
    guard = ctx.ctrl.prompt_guard
    checked = guard.crash_check(lease)
    until = ctx.now() + _CRASH_CHECK_WAIT_S
    yield from tasks.wait(ctx.ctrl.loop, checked, until)
    return guard.is_suspect(ctx.req.prompt.shared_parts())


def failure_outcome(
    ctx: contexts.RoutedContext, last: attempts.Failure | None
) -> outcomes.Outcome:
    """Returns the outcome of a request without any answer.

    It is `NotRun` if no endpoint can have run the final call, even if stages
    ran. After the deadline it is `TooLate`, also if the route's requests may
    run only once: the call may have run.
    """
    if not ctx.req.possible_runs:
        pool = ctx.req.route.pool_for(ctx.req.id)
        retry_s = max(
            DECLINED_RETRY_S,
            ctx.ctrl.placement.shortest_wait_s(pool, ctx.req.regions),
        )
        if last is None:
            return outcomes.NotRun(
                outcomes.Reason.NO_ENDPOINT,
                "no endpoint of the pool is known",
                "send the request again a little later",
                retry_s,
            )
        return outcomes.NotRun(
            outcomes.Reason.OVERLOADED,
            f"no endpoint took the request: {last.detail}",
            "send the request again a little later",
            retry_s,
        )
    detail = last.detail if last else "no reply"
    if ctx.remaining_s() <= MIN_CALL_S:
        return outcomes.TooLate(
            outcomes.Reason.DEADLINE_PASSED,
            f"no answer before the deadline: {detail}",
            "allow a longer deadline",
        )
    return outcomes.Unknown(
        outcomes.Reason.CONNECTION_LOST,
        f"the endpoint's answer was lost: {detail}",
        "look up whether the request took effect",
    )


def try_spend_retry(ctx: contexts.RoutedContext, pool: str) -> bool:
    """Returns whether a retry is allowed, and takes it from the budget."""
    req = ctx.req
    if req.possible_runs and not req.is_retryable():
        return False
    if req.possible_runs >= req.route.max_attempts:
        return False
    if ctx.remaining_s() <= RETURN_MARGIN_S + MIN_CALL_S:
        return False
    return ctx.ctrl.retry_budgets.spend(pool, ctx.now())


class BufferedCall:
    """Runs a final call with retries and a hedge; buffers the reply."""

    def __init__(
        self, ctx: contexts.RoutedContext, inputs: stage_inputs.StageInputs
    ):
        self._ctx = ctx
        self._inputs = inputs
        self._pool = ctx.req.route.pool_for(ctx.req.id)
        self._tried: set[str] = set()
        self._running: list[RunningAttempt] = []
        # Its reply's body is kept until this call ends.
        self._transfers: list[http_client.Transfer] = []

    def run(self) -> tasks.Coroutine[outcomes.Outcome]:
        """Returns an `Answer` whose output is a `Success`, or a failure."""
        try:
            return (yield from self._run())
        finally:
            self._abandon_running()
            for transfer in self._transfers:
                transfer.drop_body()

    def _run(self) -> tasks.Coroutine[outcomes.Outcome]:
        ctx = self._ctx
        last: Success | attempts.Failure | None = None
        may_crash = False
        ctx.ctrl.retry_budgets.earn(self._pool)
        refusal = yield from self._send()
        while self._running:
            yield from self._wait()
            for attempt in [a for a in self._running if a.future.done()]:
                self._running.remove(attempt)
                attempt_result = attempt.future.result()
                finish_attempt(ctx, attempt.lease, attempt_result, self._tried)
                if isinstance(
                    attempt_result, Success
                ) and not self._is_retryable_error(attempt_result):
                    return outcomes.Answer(attempt_result)
                last = attempt_result
                may_crash = isinstance(last, attempts.Failure) and (
                    yield from may_crash_endpoint(ctx, attempt.lease, last)
                )
            if (
                not self._running
                and not may_crash
                and try_spend_retry(ctx, self._pool)
            ):
                refusal = yield from self._send()
        if isinstance(last, Success):
            return outcomes.Answer(last)
        if refusal is not None and not ctx.req.possible_runs:
            return refusal
        return failure_outcome(ctx, last)

    def _is_retryable_error(self, success: Success) -> bool:
        """Returns whether to retry after a server error."""
        req = self._ctx.req
        return (
            success.head.status >= 500
            and req.is_retryable()
            and req.possible_runs < req.route.max_attempts
        )

    def _wait(self) -> tasks.Coroutine[None]:
        """Waits for a reply; sends a hedge if it takes long.

        Each call may send one hedge, timed by the oldest running attempt. So
        further hedges follow at once, as far as the route's `max_attempts` and
        the budget allow.
        """
        ctx = self._ctx
        replies = [attempt.future for attempt in self._running]
        req = ctx.req
        if (
            not req.is_retryable()
            or req.attempts_sent >= req.route.max_attempts
        ):
            yield from tasks.first_of(*replies)
            return
        slot = self._running[0].lease.slot
        hedge_at = (
            slot.started_at + _HEDGE_RATIO * slot.expected_s + _HEDGE_EXTRA_S
        )
        done = yield from tasks.wait_first(ctx.ctrl.loop, replies, hedge_at)
        if not isinstance(done, tasks.TimedOut):
            return
        if ctx.remaining_s() > RETURN_MARGIN_S + MIN_CALL_S and (
            ctx.ctrl.retry_budgets.spend(self._pool, ctx.now())
        ):
            running = len(self._running)
            yield from self._send(may_wait=False)
            if len(self._running) > running:
                return
        yield from tasks.first_of(*replies)

    def _send(
        self, may_wait: bool = True
    ) -> tasks.Coroutine[outcomes.NotRun | None]:
        """Sends an attempt if it can; may return why it can't."""
        ctx = self._ctx
        requirements = placement.Requirements(
            self._pool,
            finish_by=ctx.req.deadline_at,
            regions=ctx.req.regions,
        )
        lease = yield from endpoint_lease.lease(
            ctx, requirements, self._tried, may_wait
        )
        if not isinstance(lease, placement.Lease):
            return lease
        self._tried.add(lease.listing.entry.name)
        ctx.req.attempts_sent += 1
        fut: Future = Future()
        exchange = ctx.ctrl.wire.build_call(
            ctx.req,
            lease.listing,
            ctx.remaining_s() - RETURN_MARGIN_S,
            self._inputs.handles(),
            ctx.req.resume_after,
        )
        transfer = ctx.ctrl.client.start(
            exchange,
            lambda result: self._resolve(fut, lease, transfer, result),
        )
        transfer.keep_body()
        self._transfers.append(transfer)
        record_send(ctx, lease)
        self._running.append(RunningAttempt(lease, transfer, fut))
        return None

    def _resolve(
        self, fut: Future, lease: placement.Lease, transfer, result
    ) -> None:
        head = self._ctx.ctrl.wire.parse_head(
            transfer.head.status, transfer.head.headers
        )
        record_head(self._ctx, lease, head)
        tasks.resolve(fut, classify(head, result, self._ctx.req.id))

    def _abandon_running(self) -> None:
        """Abandons the attempts that are no longer needed.

        Their endpoints become suspects: another attempt answered first, or the
        request ended (because the caller left or this host stops) before they
        answered. One whose time has run out is late, also if the request's
        timer ran before libcurl's.
        """
        for attempt in self._running:
            # Cancelling a call that may run only once can't undo it, so it is
            # left to end by itself.
            if self._ctx.req.is_retryable():
                attempt.transfer.cancel()
            is_out_of_time = self._ctx.remaining_s() <= RETURN_MARGIN_S
            if is_out_of_time and not attempt.transfer.waits_for_room:
                finish_attempt(
                    self._ctx, attempt.lease, _OUT_OF_TIME, self._tried
                )
                continue
            self._ctx.ctrl.placement.abandon(attempt.lease, is_suspect=True)
            self._ctx.ctrl.prompt_guard.record_end(attempt.lease, None)


def record_send(ctx: contexts.RoutedContext, lease: placement.Lease) -> None:
    """Records and logs that a request was sent to an endpoint."""
    ctx.ctrl.placement.record_send(lease)
    ctx.ctrl.prompt_guard.record_send(lease, ctx.req.prompt.shared_parts())
    entry = lease.listing.entry
    state_log.log_decision(
        "request sent",
        request_id=ctx.req.id,
        endpoint=entry.name,
        address=entry.address,
        data_centre=entry.data_centre,
        attempt=ctx.req.attempts_sent,
        expected_ms=round(lease.slot.expected_s * 1000),
        left_ms=round(ctx.remaining_s() * 1000),
        elapsed_ms=ctx.elapsed_ms(),
    )
