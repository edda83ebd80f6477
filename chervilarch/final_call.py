"""The final call of a request whose answer is passed on whole."""

from concurrent.futures import Future
from typing import NamedTuple

from chervilarch import (
    attempts,
    exchanges,
    outcomes,
    placement,
    routed,
    stage_inputs,
    state_log,
    tasks,
)
from chervilarch import routed_context as contexts

# The answer needs this long back to the caller, in seconds.
RETURN_S = 0.01
# With less time left than this, a call isn't worth sending.
MIN_CALL_S = 0.02
# When to come back after all endpoints declined.
DECLINED_RETRY_S = 0.1
# A second attempt starts once the first takes so many times the expected
# time, and this much longer.
_HEDGE_RATIO = 2.5
_HEDGE_S = 0.05


class Success(NamedTuple):
    """A whole reply of the endpoint to this very request."""

    head: routed.ReplyHead
    body: bytes


class Sent(NamedTuple):
    """An attempt under way."""

    lease: placement.Lease
    transfer: object
    future: "Future[Success | attempts.Failure]"


def classify(
    head: routed.ReplyHead | None,
    result: exchanges.TransferResult,
    request_id: str,
) -> Success | attempts.Failure:
    """Decides what a transfer's result says of its attempt."""
    if isinstance(result, exchanges.TransferFailure):
        return attempts.Failure(
            attempts.lost_kind(result), f"{result.kind.value}: {result.detail}"
        )
    if head.is_other_endpoint:
        return attempts.Failure(
            attempts.FailureCause.LEAVING, "another endpoint's"
        )
    if head.did_not_run:
        return attempts.Failure(
            attempts.FailureCause.DECLINED, f"status {head.status}, not run"
        )
    if head.request_id != request_id:
        return attempts.Failure(
            attempts.FailureCause.NOT_OWN, "the reply names another request"
        )
    if not head.is_stamped:
        return attempts.Failure(
            attempts.FailureCause.FAILED, f"status {head.status}, not signed"
        )
    return Success(head, result.body)


def settle(
    ctx: contexts.RoutedContext,
    lease: placement.Lease,
    judged: Success | attempts.Failure,
) -> None:
    """Gives an endpoint back with what the attempt showed of it."""
    if isinstance(judged, Success):
        ctx.req.runs += 1
        ctx.ctrl.answered_routes.add(ctx.req.route.name)
        ctx.ctrl.placement.finish(lease, judged.head.status < 500)
        return
    ctx.req.runs += not judged.surely_not_run()
    entry = lease.listing.entry
    if judged.kind is attempts.FailureCause.NOT_SENT:
        ctx.ctrl.placement.finish_unreachable(lease)
    elif judged.kind is attempts.FailureCause.LEAVING:
        ctx.ctrl.endpoints.mark_gone(entry.name, entry.incarnation)
        ctx.ctrl.placement.abandon(lease)
    elif judged.kind is attempts.FailureCause.DECLINED:
        ctx.ctrl.placement.abandon(lease, is_slow=True)
    elif judged.kind is attempts.FailureCause.LATE:
        # A route that was never answered in time says nothing of endpoints.
        if ctx.req.route.name in ctx.ctrl.answered_routes:
            ctx.ctrl.placement.finish_late(lease)
        else:
            ctx.ctrl.placement.abandon(lease)
    else:
        ctx.ctrl.placement.finish(lease, False)
    state_log.log_decision(
        "attempt failed",
        is_problem=True,
        request_id=ctx.req.id,
        endpoint=entry.name,
        kind=judged.kind.value,
        detail=judged.detail,
        elapsed_ms=ctx.elapsed_ms(),
    )


def failure(
    ctx: contexts.RoutedContext, last: attempts.Failure | None
) -> outcomes.Outcome:
    """Returns the outcome when no attempt gave an answer."""
    if not ctx.req.runs:
        if last is None:
            return outcomes.NotRun(
                outcomes.Reason.NO_ENDPOINT,
                "no endpoint of the pool is known",
                "send the request again a little later",
                DECLINED_RETRY_S,
            )
        return outcomes.NotRun(
            outcomes.Reason.OVERLOADED,
            f"no endpoint took the request: {last.detail}",
            "send the request again a little later",
            DECLINED_RETRY_S,
        )
    detail = last.detail if last else "no reply"
    if ctx.left_s() <= MIN_CALL_S:
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


def may_send_again(ctx: contexts.RoutedContext, pool: str) -> bool:
    """Decides on one more send, within attempts, time and budget."""
    req = ctx.req
    if req.runs and not req.may_repeat():
        return False
    if req.runs >= req.route.max_attempts:
        return False
    if ctx.left_s() <= RETURN_S + MIN_CALL_S:
        return False
    return ctx.ctrl.retry_budgets.spend(pool, ctx.now())


class WholeCall:
    """Sends a request and passes on the whole reply."""

    def __init__(
        self, ctx: contexts.RoutedContext, inputs: stage_inputs.StageInputs
    ):
        self._ctx = ctx
        self._inputs = inputs
        self._pool = ctx.req.route.pool_for(ctx.req.id)
        self._tried: set[str] = set()
        self._sent: list[Sent] = []

    def run(self) -> tasks.Steps[outcomes.Outcome]:
        """Returns an `Answer` whose output is a `Success`, or a failure."""
        try:
            return (yield from self._run())
        finally:
            self._stop()

    def _run(self) -> tasks.Steps[outcomes.Outcome]:
        ctx = self._ctx
        last: Success | attempts.Failure | None = None
        ctx.ctrl.retry_budgets.earn(self._pool)
        self._send()
        while self._sent:
            yield from self._wait()
            for sent in [s for s in self._sent if s.future.done()]:
                self._sent.remove(sent)
                judged = sent.future.result()
                settle(ctx, sent.lease, judged)
                if isinstance(judged, Success) and not self._is_worth_repeating(
                    judged
                ):
                    return outcomes.Answer(judged)
                last = judged
            if not self._sent and may_send_again(ctx, self._pool):
                self._send()
        if isinstance(last, Success):
            return outcomes.Answer(last)
        return failure(ctx, last)

    def _is_worth_repeating(self, good: Success) -> bool:
        """Tells whether another endpoint may do better than a fault."""
        req = self._ctx.req
        return (
            good.head.status >= 500
            and req.may_repeat()
            and req.runs < req.route.max_attempts
        )

    def _wait(self) -> tasks.Steps[None]:
        """Waits for a reply; starts a second attempt if it takes long."""
        ctx = self._ctx
        futs = tasks.first_of(*(sent.future for sent in self._sent))
        req = ctx.req
        if not req.may_repeat() or req.sends >= req.route.max_attempts:
            yield futs
            return
        slot = self._sent[0].lease.slot
        hedge_at = slot.started_at + _HEDGE_RATIO * slot.expected_s + _HEDGE_S
        done = yield from tasks.wait(ctx.ctrl.loop, futs, hedge_at)
        if not isinstance(done, tasks.TimedOut):
            return
        if ctx.left_s() > RETURN_S + MIN_CALL_S and (
            ctx.ctrl.retry_budgets.spend(self._pool, ctx.now())
        ):
            if self._send():
                return
        yield futs

    def _send(self) -> bool:
        ctx = self._ctx
        need = placement.Requirements(self._pool, finish_by=ctx.req.deadline_at)
        lease = ctx.ctrl.placement.pick(need, self._tried)
        if lease is None:
            return False
        self._tried.add(lease.listing.entry.name)
        ctx.req.sends += 1
        fut: Future = Future()
        exchange = ctx.ctrl.wire.build_call(
            ctx.req,
            lease.listing,
            ctx.left_s() - RETURN_S,
            self._inputs.handles(),
            ctx.req.resume_after,
        )
        transfer = ctx.ctrl.client.start(
            exchange, lambda result: self._resolve(fut, transfer, result)
        )
        log_send(ctx, lease)
        self._sent.append(Sent(lease, transfer, fut))
        return True

    def _resolve(self, fut: Future, transfer, result) -> None:
        head = self._ctx.ctrl.wire.read_head(transfer.status, transfer.headers)
        tasks.resolve(fut, classify(head, result, self._ctx.req.id))

    def _stop(self) -> None:
        """Ends attempts that lost, or whose caller left."""
        for sent in self._sent:
            # A call that may run only once is left to end by itself: cutting
            # it can't undo it.
            if self._ctx.req.may_repeat():
                sent.transfer.cancel()
            self._ctx.ctrl.placement.abandon(sent.lease, is_slow=True)


def log_send(ctx: contexts.RoutedContext, lease: placement.Lease) -> None:
    """Logs that a request goes to an endpoint, and on what grounds."""
    entry = lease.listing.entry
    state_log.log_decision(
        "request sent",
        request_id=ctx.req.id,
        endpoint=entry.name,
        address=entry.address,
        data_centre=entry.data_centre,
        attempt=ctx.req.sends,
        expected_ms=round(lease.slot.expected_s * 1000),
        left_ms=round(ctx.left_s() * 1000),
        elapsed_ms=ctx.elapsed_ms(),
    )
