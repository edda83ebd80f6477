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

# Input of this size counts as one work unit of a call stage.
BYTES_PER_UNIT = 4096
# So many tokens count as one work unit of a stream stage.
TOKENS_PER_UNIT = 64
_RETRY = "send the request again"
_SAME_KEY = "send the request again with the same Idempotency-Key"


def work_units(req: request.PipelineRequest, stage: rules.Pool) -> float:
    """Returns the predicted size of a stage's work."""
    if stage.protocol == rules.PROTOCOL_STREAM:
        return max(1.0, req.max_tokens / TOKENS_PER_UNIT)
    return float(max(1, math.ceil(len(req.body) / BYTES_PER_UNIT)))


def stage_needs(
    ctrl: controllers.Controllers,
    req: request.PipelineRequest,
    stages: tuple[rules.Pool, ...],
) -> list[admission.StageEstimate]:
    """Returns what stages are expected to take."""
    needs = []
    remaining_s = req.deadline_at - ctrl.clock.monotonic()
    for stage in stages:
        units = work_units(req, stage)
        pool = ctrl.endpoints.estimate(stage.name, units, remaining_s)
        needs.append(
            admission.StageEstimate(
                units, pool.unit_s, pool.best_s, pool.backlog, pool.limit
            )
        )
    return needs


def run_pipeline(
    ctrl: controllers.Controllers, req: request.PipelineRequest
) -> outcomes.Outcome:
    """Runs all stages and returns the outcome."""
    upcoming = [stage.name for stage in req.pipeline.stages]
    for pool in upcoming:
        ctrl.endpoints.add_upcoming(pool, 1)
    try:
        return _run_stages(ctrl, req, upcoming)
    finally:
        for pool in upcoming:
            ctrl.endpoints.add_upcoming(pool, -1)


def _run_stages(
    ctrl: controllers.Controllers,
    req: request.PipelineRequest,
    upcoming: list[str],
) -> outcomes.Outcome:
    value: Any = None
    for index, stage in enumerate(req.pipeline.stages):
        later = req.pipeline.stages[index + 1 :]
        reserve_s = sum(
            admission.service_s(need) for need in stage_needs(ctrl, req, later)
        )
        run = call_stage.StageRun(
            ctrl, req, stage, value, work_units(req, stage), reserve_s
        )
        # From here on the attempt itself counts in the pool.
        ctrl.endpoints.add_upcoming(upcoming.pop(0), -1)
        result = _run_stage(run)
        if isinstance(result, call_stage.StageFailure):
            return _failure(req, stage, result)
        value = result.output
    return outcomes.Answer(value)


def _run_stage(run: call_stage.StageRun) -> call_stage.StageResult:
    if not run.stage.repeatable:
        return call_stage.run_once(run)
    if run.stage.protocol == rules.PROTOCOL_STREAM:
        return stream_stage.run_stream(run)
    return call_stage.run_repeatable(run)


def _failure(
    req: request.PipelineRequest,
    stage: rules.Pool,
    failure: call_stage.StageFailure,
) -> outcomes.Outcome:
    """Returns the outcome that a stage's failure leaves."""
    bad = failure.bad
    detail = f"stage {stage.name}: "
    detail += bad.detail if bad else "no endpoint had room"
    if req.dispatched_once:
        return _failure_after_dispatch(req, bad, detail)
    remedy = _RETRY if req.pipeline.is_repeatable() else _SAME_KEY
    if failure.is_late:
        return _late(req, stage, detail, remedy)
    if not req.any_dispatched:
        reason = outcomes.Reason.NO_ENDPOINT
        return outcomes.NotRun(reason, detail, remedy)
    if bad is not None and bad.kind is attempts.FailureCause.REJECTED:
        remedy = "correct the request; the stage refused its input"
    reason = (
        outcomes.Reason.STAGE_FAILED if bad else (outcomes.Reason.NO_ENDPOINT)
    )
    return outcomes.RanInPart(reason, detail, remedy, stage.name)


def _late(
    req: request.PipelineRequest, stage: rules.Pool, detail: str, remedy: str
) -> outcomes.Outcome:
    reason = outcomes.Reason.DEADLINE_PASSED
    if not req.any_dispatched:
        return outcomes.NotRun(reason, detail, remedy)
    return outcomes.TooLate(reason, detail, remedy, stage.name)


def _failure_after_dispatch(
    req: request.PipelineRequest, bad: attempts.Failure | None, detail: str
) -> outcomes.Outcome:
    """Returns the outcome after a call that may not be repeated was sent."""
    if bad is not None and bad.kind is attempts.FailureCause.REJECTED:
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
