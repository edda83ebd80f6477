"""The filter chain that every routed request passes, in order.

A filter is a generator that returns its own outcome or that of the filters
after it.
"""

import itertools
from collections.abc import Callable

from chervilarch import (
    endpoint_lease,
    final_call,
    outcomes,
    stage_inputs,
    state_log,
    stop_admission,
    stream_call,
    tasks,
)
from chervilarch.routed_context import RoutedContext
from chervilarch.scheduling import homes, version_history

NextFilter = Callable[[], tasks.Coroutine[outcomes.Outcome]]
Filter = Callable[
    [RoutedContext, NextFilter], tasks.Coroutine[outcomes.Outcome]
]
# Retry-After of a host without configuration; it expects one about then.
_NO_CONFIGURATION_RETRY_S = 0.5
# Retry-After while a whole pool is evacuated; nothing tells how long that is.
_EVACUATED_RETRY_S = 1.0
# Retry-After of a stream that another host may know, or this one once it
# reaches the store again.
_UNKNOWN_STREAM_RETRY_S = 1.0


def check_configuration(
    ctx: RoutedContext, call_next: NextFilter
) -> tasks.Coroutine[outcomes.Outcome]:
    """Refuses requests while this host has no configuration."""
    if ctx.table is None:
        return outcomes.NotRun(
            outcomes.Reason.NO_CONFIGURATION,
            "this host has no configuration yet",
            "send the request to another host",
            _NO_CONFIGURATION_RETRY_S,
        )
    return (yield from call_next())


def find_route(
    ctx: RoutedContext, call_next: NextFilter
) -> tasks.Coroutine[outcomes.Outcome]:
    """Finds the route of the request's HTTP host name and path."""
    req = ctx.req
    route = ctx.table.find(req.host, req.path)
    if route is None:
        return outcomes.Rejected(
            outcomes.Reason.UNKNOWN_PIPELINE,
            "no route has this host and path",
            "correct the host or the path",
        )
    req.route = route
    return (yield from call_next())


def identify_account(
    ctx: RoutedContext, call_next: NextFilter
) -> tasks.Coroutine[outcomes.Outcome]:
    """Finds the account of the caller's key, and sets the priority."""
    req = ctx.req
    if ctx.table.has_accounts and req.route.needs_key:
        req.account = ctx.table.account_of_key(req.api_key)
        if req.account is None:
            return outcomes.Rejected(
                outcomes.Reason.UNAUTHENTICATED,
                "the Authorization header names no known key",
                'send "Authorization: Bearer KEY" with the account\'s key',
            )
    req.priority = ctx.table.urgency(req.route, req.account)
    return (yield from call_next())


def set_deadline(
    ctx: RoutedContext, call_next: NextFilter
) -> tasks.Coroutine[outcomes.Outcome]:
    """Sets the deadline and the time at which the objective is missed.

    The deadline is the earlier of the route's time-out and the caller's own.
    The objective counts from the caller's first request, its retries included.
    """
    req = ctx.req
    allowed_s = req.route.timeout_s
    waited_s = 0.0
    if req.allowed_s is not None:
        allowed_s = min(allowed_s, req.allowed_s)
        waited_s = ctx.ctrl.caller_wait.observe(
            req.route.name, req.allowed_s, ctx.now()
        )
    req.deadline_at = req.arrived_at + allowed_s
    req.objective_at = req.arrived_at + req.route.objective_s - waited_s
    state_log.log_decision(
        "request taken",
        request_id=req.id,
        account=req.account.name if req.account else "",
        route=req.route.name,
        priority=req.priority,
        allowed_ms=round(allowed_s * 1000),
        waited_ms=round(waited_s * 1000),
        pieces=req.piece_counts,
        prompt_parts=[part for part, _ in req.prompt.parts],
        config_version=ctx.table.version,
        config_age_s=round(ctx.now() - ctx.ctrl.configuration.applied_at, 1),
        endpoints_age_s=round(
            ctx.now() - ctx.ctrl.endpoints.topic_follower.read_at, 1
        ),
    )
    return (yield from call_next())


def refuse_outside_regions(
    ctx: RoutedContext, call_next: NextFilter
) -> tasks.Coroutine[outcomes.Outcome]:
    """Refuses requests that no endpoint in their allowed regions can serve.

    A key counts for this also on a route that needs none.
    """
    req = ctx.req
    account = req.account or ctx.table.account_of_key(req.api_key)
    req.regions = homes.allowed_regions(req.route, account)
    if req.regions is None:
        return (yield from call_next())
    # A missing count of pieces means 1.
    counts = itertools.chain(req.piece_counts, itertools.repeat(1))
    pools = [
        req.route.pool_for(req.id),
        *(s.pool for s, n in zip(req.route.stages, counts, strict=False) if n),
    ]
    lacking = [
        pool
        for pool in pools
        if not ctx.ctrl.placement.has_endpoint(pool, req.regions)
    ]
    if not lacking:
        return (yield from call_next())
    ctx.ctrl.meters.count_region_refusal()
    state_log.log_decision(
        "no endpoint in allowed regions",
        is_problem=True,
        request_id=req.id,
        pools=lacking,
        regions=sorted(req.regions),
        endpoints_age_s=round(
            ctx.now() - ctx.ctrl.endpoints.topic_follower.read_at, 1
        ),
    )
    return outcomes.NotRun(
        outcomes.Reason.NO_ENDPOINT,
        "the allowed regions have no endpoint of a pool that is needed",
        "send the request again after the time given",
    )


def refuse_while_stopping(
    ctx: RoutedContext, call_next: NextFilter
) -> tasks.Coroutine[outcomes.Outcome]:
    """Refuses requests that would be cut off when this host stops."""
    refusal = ctx.stop_refusal(stop_admission.Step.REQUEST)
    if refusal is not None:
        return refusal
    return (yield from call_next())


def refuse_blocked_prompts(
    ctx: RoutedContext, call_next: NextFilter
) -> tasks.Coroutine[outcomes.Outcome]:
    """Refuses prompts that crash engines, before any stage runs."""
    req = ctx.req
    admission = ctx.ctrl.prompt_guard.admit(req.prompt.shared_parts())
    if admission.block is not None:
        return endpoint_lease.blocked_outcome(ctx, admission.block)
    req.tested_block = admission.tested
    return (yield from call_next())


def refuse_evacuated_pools(
    ctx: RoutedContext, call_next: NextFilter
) -> tasks.Coroutine[outcomes.Outcome]:
    """Refuses requests for pools that are wholly evacuated, before stages."""
    route, counts = ctx.req.route, ctx.req.piece_counts
    pools = [route.pool_for(ctx.req.id)] + [
        stage.pool
        for number, stage in enumerate(route.stages)
        if number >= len(counts) or counts[number]
    ]
    for pool in pools:
        if ctx.ctrl.evacuations.is_pool_evacuated(pool):
            return outcomes.NotRun(
                outcomes.Reason.NO_ENDPOINT,
                f"all endpoints of pool {pool} are evacuated",
                "send the request again when the evacuation has ended",
                _EVACUATED_RETRY_S,
            )
    return (yield from call_next())


def find_stream_version(
    ctx: RoutedContext, call_next: NextFilter
) -> tasks.Coroutine[outcomes.Outcome]:
    """Finds the software version that began a stream, before any stage runs.

    Refuses a stream that can't go on at it: what two versions write doesn't fit
    together.
    """
    req = ctx.req
    if not (req.resume_after and req.route.is_stream):
        return (yield from call_next())
    pool = req.route.pool_for(req.id)
    found = yield from ctx.ctrl.versions.find(
        req.resumed_id, pool, req.route.timeout_s
    )
    begun = found if isinstance(found, version_history.BegunAt) else None
    is_gone = begun is not None and not ctx.ctrl.placement.has_endpoint(
        pool, req.regions, begun.version
    )
    if is_gone and ctx.ctrl.versions.is_list_old():
        # Engines of the version may have come meanwhile.
        begun, is_gone = None, False
    state = "unknown" if begun is None else "gone" if is_gone else "known"
    ctx.ctrl.meters.count_resumed_stream(state)
    state_log.log_decision(
        "stream taken up",
        is_problem=state != "known",
        request_id=req.id,
        resumed_id=req.resumed_id,
        state=state,
        version=begun.version if begun else None,
        known_by=begun.origin.value if begun else None,
        age_ms=begun.age_s and round(begun.age_s * 1000) if begun else None,
    )
    if begun is None:
        return outcomes.NotRun(
            outcomes.Reason.STREAM_UNKNOWN,
            "it isn't known which version of the engines' software began the"
            " stream",
            "send the request as a new one, without the id of the last event",
            _UNKNOWN_STREAM_RETRY_S,
        )
    if is_gone:
        return outcomes.NotRun(
            outcomes.Reason.NO_ENDPOINT,
            f"no engine of version {begun.version}, which began the stream, is"
            " left",
            "send the request as a new one, without the id of the last event",
            max(_UNKNOWN_STREAM_RETRY_S, ctx.remaining_s()),
        )
    req.version = begun.version
    return (yield from call_next())


def refuse_over_limits(
    ctx: RoutedContext, call_next: NextFilter
) -> tasks.Coroutine[outcomes.Outcome]:
    """Refuses requests that would wait too long for an endpoint to open."""
    pool = ctx.req.route.pool_for(ctx.req.id)
    wait_s = ctx.ctrl.placement.shortest_wait_s(pool, ctx.req.regions)
    if wait_s > endpoint_lease.longest_wait_s(ctx, 0.0):
        if ctx.ctrl.placement.is_any_cold(pool, ctx.req.regions):
            ctx.ctrl.meters.count_cold_wait()
        return endpoint_lease.closed_refusal(ctx, pool, wait_s)
    return (yield from call_next())


def run_call(
    ctx: RoutedContext, call_next: NextFilter
) -> tasks.Coroutine[outcomes.Outcome]:
    """Runs the stages and the final call; the last filter."""
    inputs = stage_inputs.StageInputs(ctx)
    try:
        failed = yield from inputs.run()
        if failed is not None:
            return failed
        if (
            ctx.remaining_s()
            <= final_call.RETURN_MARGIN_S + final_call.MIN_CALL_S
        ):
            return outcomes.NotRun(
                outcomes.Reason.DEADLINE_PASSED,
                "the stages took all of the time",
                "allow a longer deadline",
            )
        refusal = ctx.stop_refusal(stop_admission.Step.CALL)
        if refusal is not None:
            return refusal
        ctx.req.call_began_at = ctx.now()
        if ctx.req.route.is_stream:
            return (yield from stream_call.StreamCall(ctx, inputs).run())
        return (yield from final_call.BufferedCall(ctx, inputs).run())
    finally:
        inputs.free()


CHAIN: tuple[Filter, ...] = (
    check_configuration,
    find_route,
    identify_account,
    set_deadline,
    refuse_outside_regions,
    refuse_while_stopping,
    refuse_blocked_prompts,
    refuse_evacuated_pools,
    find_stream_version,
    refuse_over_limits,
    run_call,
)


def run_chain(
    ctx: RoutedContext, chain: tuple[Filter, ...] = CHAIN
) -> tasks.Coroutine[outcomes.Outcome]:
    """Passes a request through the filters."""
    first, *rest = chain
    return (yield from first(ctx, lambda: run_chain(ctx, tuple(rest))))
