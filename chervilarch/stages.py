"""Runs the stages of a pipeline, one after the other, under one deadline."""

import math
from typing import Any

from chervilarch import (
    admission,
    attempts,
    call_stage,
    controllers,
    outcomes,
    request,
    rules,
    stream_stage,
)

# Bytes of a request body that count as one work unit of a call stage.
BYTES_PER_UNIT = 4096
# Tokens that count as one work unit of a stream stage.
TOKENS_PER_UNIT = 64
_RETRY = "send the request again"
_SAME_KEY = "send the request again with the same Idempotency-Key"


def work_units(req: request.PipelineRequest, stage: rules.Pool) -> float:
    """Returns the predicted size of a stage's work in work units."""
    if stage.protocol == rules.PROTOCOL_STREAM:
        return max(1.0, req.max_tokens / TOKENS_PER_UNIT)
    return float(max(1, math.ceil(len(req.body) / BYTES_PER_UNIT)))


def estimate_stages(
    ctrl: controllers.Controllers,
    req: request.PipelineRequest,
    stages: tuple[rules.Pool, ...],
) -> list[admission.StageEstimate]:
    """Returns an estimate of each stage's work and of its pool's load."""
    estimates = []
    remaining_s = req.deadline_at - ctrl.clock.monotonic()
    for stage in stages:
        units = work_units(req, stage)
        pool = ctrl.endpoints.estimate(
            stage.name, units, remaining_s, req.rule.priority
        )
        estimates.append(
            admission.StageEstimate(
                units, pool.unit_s, pool.base_s, pool.backlog, pool.limit
            )
        )
    return estimates


def run_pipeline(
    ctrl: controllers.Controllers, req: request.PipelineRequest
) -> outcomes.Outcome:
    """Runs all stages of a request and returns its outcome."""
    upcoming_pools = [stage.name for stage in req.pipeline.stages]
    for pool in upcoming_pools:
        ctrl.endpoints.add_upcoming(pool, req.rule.priority, 1)
    try:
        return _run_stages(ctrl, req, upcoming_pools)
    finally:
        for pool in upcoming_pools:
            ctrl.endpoints.add_upcoming(pool, req.rule.priority, -1)


def _run_stages(
    ctrl: controllers.Controllers,
    req: request.PipelineRequest,
    upcoming_pools: list[str],
) -> outcomes.Outcome:
    value: Any = None
    for index, stage in enumerate(req.pipeline.stages):
        later = req.pipeline.stages[index + 1 :]
        reserve_s = sum(
            admission.service_s(estimate)
            for estimate in estimate_stages(ctrl, req, later)
        )
        run = call_stage.StageRun(
            ctrl, req, stage, value, work_units(req, stage), reserve_s
        )
        # From here on, the pool counts the attempt itself.
        ctrl.endpoints.add_upcoming(
            upcoming_pools.pop(0), req.rule.priority, -1
        )
        result = _run_stage(run)
        if isinstance(result, call_stage.StageFailure):
            return _failure_outcome(req, stage, result)
        value = result.output
    return outcomes.Answer(value)


def _run_stage(run: call_stage.StageRun) -> call_stage.StageResult:
    # A non-repeatable stage is read as one reply, whatever its protocol.
    if not run.stage.repeatable:
        return call_stage.run_non_repeatable(run)
    if run.stage.protocol == rules.PROTOCOL_STREAM:
        return stream_stage.run_stream(run)
    return call_stage.run_repeatable(run)


def _failure_outcome(
    req: request.PipelineRequest,
    stage: rules.Pool,
    failure: call_stage.StageFailure,
) -> outcomes.Outcome:
    """Returns the outcome of a request whose stage failed."""
    last_failure = failure.last_failure
    detail = f"stage {stage.name}: "
    detail += last_failure.detail if last_failure else "no endpoint had room"
    if req.non_repeatable_may_have_run:
        return _outcome_after_dispatch(req, last_failure, detail)
    remedy = _RETRY if req.pipeline.is_repeatable() else _SAME_KEY
    if failure.is_late:
        return _deadline_outcome(req, stage, detail, remedy)
    if not req.any_attempt_started:
        reason = outcomes.Reason.NO_ENDPOINT
        return outcomes.NotRun(reason, detail, remedy)
    if (
        last_failure is not None
        and last_failure.cause is attempts.FailureCause.REJECTED
    ):
        remedy = "correct the request; the stage refused its input"
    reason = (
        outcomes.Reason.STAGE_FAILED
        if last_failure
        else outcomes.Reason.NO_ENDPOINT
    )
    return outcomes.RanInPart(reason, detail, remedy, stage.name)


def _deadline_outcome(
    req: request.PipelineRequest, stage: rules.Pool, detail: str, remedy: str
) -> outcomes.Outcome:
    reason = outcomes.Reason.DEADLINE_PASSED
    if not req.any_attempt_started:
        return outcomes.NotRun(reason, detail, remedy)
    return outcomes.TooLate(reason, detail, remedy, stage.name)


def _outcome_after_dispatch(
    req: request.PipelineRequest,
    last_failure: attempts.Failure | None,
    detail: str,
) -> outcomes.Outcome:
    """Returns the outcome if a non-repeatable call may have run."""
    if (
        last_failure is not None
        and last_failure.cause is attempts.FailureCause.REJECTED
    ):
        return outcomes.RanInPart(
            outcomes.Reason.STAGE_FAILED,
            detail,
            "correct the request and send it with a new Idempotency-Key",
        )
    return outcomes.Unknown(
        outcomes.Reason.CONNECTION_LOST,
        detail,
        "ask the service whether it ran, or send the same Idempotency-Key "
        "again to learn a recorded outcome",
    )
