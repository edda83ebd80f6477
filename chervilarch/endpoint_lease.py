"""Leases an endpoint for a final call, with a permit if it needs one."""

from chervilarch import (
    outcomes,
    pieces,
    placement,
    prompt_blocks,
    state_log,
    stop_admission,
    tasks,
)
from chervilarch import routed_context as contexts

# Wait for a permit that is accepted while other endpoints are left.
_SHORT_WAIT_S = 0.05
# Share of the time left that may be spent waiting for a permit. Up to the
# objective it may be more.
_WAIT_SHARE = 0.2
# A permit that is used later than this after its time may come on top of those
# of other hosts. Replies take up to a third of it, with repeated requests.
_PERMIT_VALID_S = 0.75
# A cold endpoint may be warm, or another one listed, before this host may use
# one. A look takes up to 0.5 ms with 45 endpoints.
_LOOK_AGAIN_S = 0.5


def lease(
    ctx: contexts.RoutedContext,
    requirements: placement.Requirements,
    tried: set[str],
    may_wait: bool = True,
) -> tasks.Coroutine[placement.Lease | outcomes.NotRun | None]:
    """Chooses an endpoint that wasn't tried, unless the request is refused.

    Args:
        ctx: the request.
        requirements: what the call needs of the endpoint.
        tried: ids of endpoints that aren't to be chosen.
        may_wait: whether to wait for a permit if all endpoints need one, or for
            the first one if all are closed: paused, avoided or on trial.

    Returns:
        The lease, a refusal if the prompt was blocked since its admission, this
        host stops before a first call can end, or no endpoint has a permit or
        opens in time, or None if there is no endpoint.
    """
    # The list of endpoints may be older than a pause of the process.
    yield ctx.ctrl.resumption.confirmed()
    leased = yield from _lease_with_permit(ctx, requirements, tried, may_wait)
    # Asked last: a wait for a permit may take seconds.
    refused = _blocked_refusal(ctx)
    if refused is None and not ctx.req.attempts_sent:
        refused = ctx.stop_refusal(stop_admission.Step.CALL)
    if refused is None:
        return leased
    if isinstance(leased, placement.Lease):
        ctx.ctrl.placement.abandon(leased)
    return refused


def _blocked_refusal(ctx: contexts.RoutedContext) -> outcomes.NotRun | None:
    req = ctx.req
    block = ctx.ctrl.prompt_guard.find_block(
        req.prompt.shared_parts(), req.tested_block
    )
    return None if block is None else blocked_outcome(ctx, block)


def _lease_with_permit(
    ctx: contexts.RoutedContext,
    requirements: placement.Requirements,
    tried: set[str],
    may_wait: bool,
) -> tasks.Coroutine[placement.Lease | outcomes.NotRun | None]:
    own = ctx.ctrl.placement
    while True:
        chosen = yield from _pick(ctx, requirements, tried, may_wait)
        if not isinstance(chosen, placement.Lease):
            return chosen
        run = chosen.slot.endpoint
        if ctx.ctrl.limits.per_s(run) is None:
            return chosen
        # An endpoint without a permit is chosen only if no other is left.
        is_last = own.wait_s(run) > 0.0
        max_wait_s = _SHORT_WAIT_S
        if is_last and may_wait:
            max_wait_s = longest_wait_s(ctx, chosen.slot.expected_s)
        is_leased = False
        asked_at = ctx.now()
        try:
            permit = yield ctx.ctrl.permits.acquire(run, max_wait_s)
            if permit.is_granted:
                if permit.wait_s > 0.0:
                    yield tasks.sleep(ctx.ctrl.loop, permit.wait_s)
                # The endpoint may have begun to leave meanwhile, or the process
                # was paused.
                late_s = ctx.now() - asked_at - permit.wait_s
                is_leased = own.is_usable(chosen) and late_s < _PERMIT_VALID_S
                if is_leased:
                    return chosen
                continue
        finally:
            if not is_leased:
                own.abandon(chosen)
        own.defer(run, ctx.now() + permit.wait_s)
        state_log.log_decision(
            "permit denied",
            request_id=ctx.req.id,
            endpoint=run.key,
            per_s=ctx.ctrl.limits.per_s(run),
            wait_ms=round(permit.wait_s * 1000),
            max_wait_ms=round(max_wait_s * 1000),
        )
        if is_last:
            return refusal(permit.wait_s)


def _pick(
    ctx: contexts.RoutedContext,
    requirements: placement.Requirements,
    tried: set[str],
    may_wait: bool,
) -> tasks.Coroutine[placement.Lease | outcomes.NotRun | None]:
    """Chooses an endpoint; if all are closed, waits for the first if it may."""
    has_waited = False
    while True:
        chosen = ctx.ctrl.placement.pick(requirements, tried)
        if chosen is not None:
            return chosen
        open_s = ctx.ctrl.placement.pause_s(
            requirements.pool,
            tried,
            requirements.regions,
            requirements.version,
        )
        if not open_s:
            return None
        pause_s = open_s
        is_cold = ctx.ctrl.placement.is_any_cold(
            requirements.pool, requirements.regions
        )
        # Requests that came later aren't ahead of one that waits already.
        if is_cold and not has_waited:
            ctx.ctrl.meters.count_cold_wait()
            pause_s += ctx.ctrl.placement.queue_s(
                requirements.pool, tried, requirements.regions
            )
            state_log.log_decision(
                "cold endpoints closed",
                request_id=ctx.req.id,
                pool=requirements.pool,
                wait_ms=round(pause_s * 1000),
                left_ms=round(ctx.remaining_s() * 1000),
                waiting=ctx.ctrl.placement.waiting[requirements.pool],
            )
        if not may_wait or pause_s > longest_wait_s(ctx, 0.0):
            return closed_refusal(ctx, requirements.pool, pause_s)
        has_waited = True
        wait_s = min(open_s, _LOOK_AGAIN_S) if is_cold else open_s
        ctx.ctrl.placement.waiting[requirements.pool] += 1
        try:
            yield tasks.sleep(ctx.ctrl.loop, wait_s)
        finally:
            ctx.ctrl.placement.waiting[requirements.pool] -= 1
        # The process may have been paused meanwhile.
        yield ctx.ctrl.resumption.confirmed()


def longest_wait_s(ctx: contexts.RoutedContext, expected_s: float) -> float:
    """Returns how long a request may wait for a permit or a pause's end."""
    remaining_s = ctx.remaining_s() - expected_s
    to_objective_s = ctx.req.objective_at - ctx.now() - expected_s
    return max(
        0.0, min(remaining_s, max(to_objective_s, _WAIT_SHARE * remaining_s))
    )


def refusal(wait_s: float) -> outcomes.NotRun:
    """Returns the outcome of a request that gets no permit in time.

    Args:
        wait_s: time until an endpoint has one.
    """
    return outcomes.NotRun(
        outcomes.Reason.ENDPOINT_LIMIT,
        "all endpoints of the pool get as many requests as they take now",
        "send the request again after the time given",
        wait_s,
    )


def closed_refusal(
    ctx: contexts.RoutedContext, pool: str, wait_s: float
) -> outcomes.NotRun:
    """Returns the outcome of a request whose endpoints are closed for long."""
    if ctx.ctrl.placement.is_any_cold(pool, ctx.req.regions):
        # Other hosts may have shares of other endpoints, so that it is of use
        # to come back sooner than this host may send anything.
        return outcomes.NotRun(
            outcomes.Reason.ENDPOINT_LIMIT,
            "all endpoints of the pool that may get requests have just started",
            "send the request again after the time given",
            min(wait_s, pieces.retry_after_s(max(0.0, ctx.remaining_s()))),
        )
    if not ctx.ctrl.placement.is_any_avoided(pool, ctx.req.regions):
        return refusal(wait_s)
    return outcomes.NotRun(
        outcomes.Reason.NO_ENDPOINT,
        "all endpoints of the pool are avoided after replies without end",
        "send the request again after the time given",
        wait_s,
    )


def blocked_outcome(
    ctx: contexts.RoutedContext, block: prompt_blocks.PromptBlock
) -> outcomes.NotRun:
    """Returns the outcome of a request that was refused for its prompt."""
    parts = ",".join(sorted(block.parts))
    return outcomes.NotRun(
        outcomes.Reason.PROMPT_BLOCKED,
        f"engines crashed on prompts with these parts: {parts}",
        "change the prompt, or send it again after the time given",
        max(0.0, block.held_until - ctx.now()),
    )
