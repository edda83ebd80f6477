"""The filter chain that every request passes in order.

A filter returns its own outcome or that of the filters after it.
"""

from collections.abc import Callable

from chervilarch import (
    admission,
    controllers,
    idempotency,
    keys,
    outcomes,
    request,
    settings,
    stages,
    stop_admission,
)

NextFilter = Callable[[], outcomes.Outcome]
_MS_PER_S = 1000


class FilterContext:
    """A request, and the controllers and settings that filters use.

    Attributes:
        stop_times: when the periods of a stop of this host end.
    """

    def __init__(
        self,
        ctrl: controllers.Controllers,
        cfg: settings.Settings,
        req: request.PipelineRequest,
        stop_times: stop_admission.StopTimes,
    ):
        self.ctrl = ctrl
        self.cfg = cfg
        self.req = req
        self.stop_times = stop_times


Filter = Callable[[FilterContext, NextFilter], outcomes.Outcome]


def check_freshness(
    ctx: FilterContext, call_next: NextFilter
) -> outcomes.Outcome:
    """Refuses requests while the configuration is missing or may be stale."""
    if ctx.ctrl.rules.ruleset is None:
        return outcomes.NotRun(
            outcomes.Reason.NO_CONFIGURATION,
            "this host has no configuration yet",
            "send the request to another host",
        )
    age_s = ctx.ctrl.configuration.contact_age_s()
    if age_s > ctx.cfg.bounds.stale_after_s:
        return outcomes.NotRun(
            outcomes.Reason.STALE_CONFIGURATION,
            f"this host has heard neither log nor peers for {age_s:.0f} s",
            "send the request to another host",
        )
    return call_next()


def identify_account(
    ctx: FilterContext, call_next: NextFilter
) -> outcomes.Outcome:
    """Finds the account of the secret key that the caller sent."""
    key = ctx.req.headers.api_key
    account = find_account(ctx.ctrl, ctx.cfg, key) if key else None
    if account is None:
        return outcomes.Rejected(
            outcomes.Reason.UNAUTHENTICATED,
            "the Authorization header names no known key",
            'send "Authorization: Bearer KEY" with the account\'s key',
        )
    ctx.req.account = account
    ctx.req.trace.account = account.name
    return call_next()


def find_account(
    ctrl: controllers.Controllers, cfg: settings.Settings, key: str
):
    """Returns the account of a secret key, None if it has none.

    The configuration in force is looked up first, then `caller_keys` of the
    settings.
    """
    ruleset = ctrl.rules.ruleset
    if ruleset is None:
        return None
    account = ruleset.account_of_key(key)
    if account is None and cfg.caller_keys:
        name = cfg.caller_keys.get(keys.key_digest(key), "")
        account = ruleset.account(name)
    return account


def find_rule(ctx: FilterContext, call_next: NextFilter) -> outcomes.Outcome:
    """Finds the pipeline, and the rule in force for the account now."""
    req = ctx.req
    ruleset = ctx.ctrl.rules.ruleset
    pipeline = ruleset.pipelines.get(req.pipeline_name)
    if pipeline is None:
        return outcomes.Rejected(
            outcomes.Reason.UNKNOWN_PIPELINE,
            f"there is no pipeline {req.pipeline_name!r}",
            "name one of: " + ", ".join(sorted(ruleset.pipelines)),
        )
    wall_s = ctx.ctrl.clock.wall()
    rule = ruleset.rule_in_force(pipeline.name, req.account.name, wall_s)
    if rule is None:
        return outcomes.Rejected(
            outcomes.Reason.FORBIDDEN,
            f"the day's sheet has no row in force for pipeline "
            f"{pipeline.name!r} and account {req.account.name!r}",
            "ask the operators for a row, or come back within its times",
        )
    req.pipeline = pipeline
    req.rule = rule
    req.trace.add_step(
        "rule",
        priority=rule.priority,
        deadline_s=rule.deadline_s,
        version=ctx.ctrl.configuration.state.version,
    )
    return call_next()


def set_deadline(ctx: FilterContext, call_next: NextFilter) -> outcomes.Outcome:
    """Sets the deadline to the earlier of the rule's and the caller's."""
    req = ctx.req
    allowed_s = req.rule.deadline_s
    if req.headers.deadline_ms is not None:
        allowed_s = min(allowed_s, req.headers.deadline_ms / _MS_PER_S)
    req.deadline_at = req.arrived_at + allowed_s
    return call_next()


def limit_account(
    ctx: FilterContext, call_next: NextFilter
) -> outcomes.Outcome:
    """Enforces the account's request rate over the whole fleet."""
    req = ctx.req
    limit = req.rule.limit_per_s
    if not ctx.ctrl.account_limits.admit(req.account.name, limit):
        return outcomes.NotRun(
            outcomes.Reason.ACCOUNT_LIMIT,
            f"account {req.account.name!r} is over {limit:g} requests a second",
            "send more slowly, or ask the operators for a higher limit",
        )
    return call_next()


def admit(ctx: FilterContext, call_next: NextFilter) -> outcomes.Outcome:
    """Refuses a request that isn't expected to finish by its deadline."""
    req = ctx.req
    remaining_s = req.deadline_at - ctx.ctrl.clock.monotonic()
    estimates = stages.estimate_stages(ctx.ctrl, req, req.pipeline.stages)
    service_s = sum(admission.service_s(estimate) for estimate in estimates)
    expected_s = admission.expected_s(estimates)
    req.trace.add_step(
        "admission",
        expected_ms=round(expected_s * _MS_PER_S, 1),
        remaining_ms=round(remaining_s * _MS_PER_S, 1),
    )
    if admission.can_finish(estimates, remaining_s):
        return _stop_refusal(ctx, expected_s) or call_next()
    if service_s > remaining_s:
        return outcomes.NotRun(
            outcomes.Reason.DEADLINE_TOO_SHORT,
            f"the stages take about {service_s:.2f} s, "
            f"{remaining_s:.2f} s remain",
            "allow a longer deadline",
        )
    return outcomes.NotRun(
        outcomes.Reason.OVERLOADED,
        f"an answer would take about {expected_s:.2f} s, "
        f"{remaining_s:.2f} s remain",
        "send the request again a little later",
    )


def _stop_refusal(
    ctx: FilterContext, expected_s: float
) -> outcomes.NotRun | None:
    """Returns the refusal of a request that a stop would cut off.

    Args:
        ctx: the request.
        expected_s: expected time of the request, 0 if it isn't known.
    """
    req = ctx.req
    if ctx.stop_times.is_certain(req.deadline_at):
        return None
    now = ctx.ctrl.clock.monotonic()
    is_strict = req.wants_stream or not req.pipeline.is_repeatable()
    if (
        expected_s
        and ctx.stop_times.allows_estimate(is_strict, now)
        and ctx.stop_times.has_time(is_strict, expected_s, now)
    ):
        return None
    return stop_admission.build_refusal(0.0)


def run_stages(ctx: FilterContext, call_next: NextFilter) -> outcomes.Outcome:
    """Runs the pipeline's stages; the last filter."""
    return stages.run_pipeline(ctx.ctrl, ctx.req)


def claim_call(ctx: FilterContext, call_next: NextFilter) -> outcomes.Outcome:
    """Runs a non-repeatable pipeline at most once per idempotency key."""
    if ctx.req.pipeline.is_repeatable():
        return call_next()
    return idempotency.run_claimed(ctx.ctrl, ctx.req, call_next)


def guard_not_run(
    ctx: FilterContext, call_next: NextFilter
) -> outcomes.Outcome:
    """Keeps a "not run" outcome only if no earlier request can have run."""
    outcome = call_next()
    if isinstance(outcome, outcomes.NotRun):
        return idempotency.prove_not_run(ctx.ctrl, ctx.req, outcome)
    return outcome


CHAIN: tuple[Filter, ...] = (
    guard_not_run,
    check_freshness,
    identify_account,
    find_rule,
    set_deadline,
    limit_account,
    admit,
    claim_call,
    run_stages,
)


def run_chain(
    ctx: FilterContext, chain: tuple[Filter, ...] = CHAIN
) -> outcomes.Outcome:
    """Passes a request through a chain; its trace shows where it ended."""
    first, *rest = chain
    outcome = first(ctx, lambda: run_chain(ctx, tuple(rest)))
    if (
        not isinstance(outcome, outcomes.Answer)
        and not ctx.req.trace.ending_filter
    ):
        ctx.req.trace.ending_filter = first.__name__
        ctx.req.trace.add_step(
            "refused",
            filter=first.__name__,
            outcome=outcomes.outcome_name(outcome),
            reason=outcome.reason.value,
        )
    return outcome
