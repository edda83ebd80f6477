"""Runs non-repeatable calls at most once and reports whether they ran."""

import msgspec

from chervilarch import (
    calls,
    calls_controller,
    controllers,
    decoding,
    outcomes,
    records,
)
from chervilarch import request as requests
from chervilarch.outcomes import Reason

CLAIM_TIMEOUT_S = 3.0
# How long a "not run" outcome waits for the log to show earlier requests.
PROOF_TIMEOUT_S = 0.08
MAX_RECORDED_BYTES = 16 * 1024
_KEY_REMEDY = "send a new UUIDv7 as Idempotency-Key, made within the last hour"
_SAME_KEY_REMEDY = "send the request again with the same Idempotency-Key"


def run_claimed(
    ctrl: controllers.Controllers, req: requests.PipelineRequest, call_next
) -> outcomes.Outcome:
    """Claims the key and runs the request, or returns the holder's outcome."""
    key = req.headers.idempotency_key
    if calls.key_time(key) is None:
        return outcomes.Rejected(
            Reason.BAD_KEY,
            "this pipeline may not be repeated and needs an Idempotency-Key"
            if not key
            else f"the Idempotency-Key {key!r} is not a UUIDv7",
            _KEY_REMEDY,
        )
    call = calls.CallKey(req.account.name, key)
    digest = calls.request_digest(req.pipeline_name, req.body)
    while True:
        remaining_s = req.deadline_at - ctrl.clock.monotonic()
        if remaining_s <= 0:
            return _deadline_passed()
        claim = ctrl.calls.claim(
            call, digest, min(CLAIM_TIMEOUT_S, remaining_s)
        )
        req.trace.add_step("claim", key=key, result=type(claim).__name__)
        if isinstance(claim, calls_controller.Won):
            return _run(ctrl, req, call, claim, call_next)
        if isinstance(claim, calls_controller.Rejection):
            return _rejection_outcome(claim, key)
        outcome = _wait_for_holder(ctrl, req, call, digest)
        if outcome is not None:
            return outcome


def prove_not_run(
    ctrl: controllers.Controllers,
    req: requests.PipelineRequest,
    outcome: outcomes.NotRun,
) -> outcomes.Outcome:
    """Returns "not run" only if no earlier request can have run.

    An earlier request with the same key may have gone through another host. If
    the log can't rule that out in time, the outcome is "unknown".
    """
    key = req.headers.idempotency_key
    if not key or req.not_run_proved or req.headers.is_first_request:
        return outcome
    if req.pipeline is not None and req.pipeline.is_repeatable():
        return outcome
    if req.account is not None and ctrl.calls.synchronize(PROOF_TIMEOUT_S):
        call = calls.CallKey(req.account.name, key)
        entry = ctrl.calls.entry(call)
        in_window = calls.is_key_in_window(key, ctrl.clock.wall())
        if in_window and (entry is None or not entry.claim_id):
            return outcome
    return outcomes.Unknown(
        outcome.reason,
        f"{outcome.detail}; this attempt was not run, but whether an earlier "
        "one with the same Idempotency-Key ran can't be seen now",
        _SAME_KEY_REMEDY,
    )


def _run(
    ctrl: controllers.Controllers,
    req: requests.PipelineRequest,
    call: calls.CallKey,
    claim: calls_controller.Won,
    call_next,
) -> outcomes.Outcome:
    """Runs the request, then releases its key or records the outcome."""
    req.claim_id = claim.claim_id
    try:
        outcome = call_next()
    except BaseException:
        _finish_after_fault(ctrl, req, call)
        raise
    if not req.non_repeatable_may_have_run:
        # Holding the claim proves that no other request with this key has
        # run: a claim is released only if its call can't have run.
        req.not_run_proved = True
        ctrl.calls.release(call, claim.claim_id)
        return outcome
    name, output = _outcome_to_record(outcome)
    ctrl.calls.record_result(call, claim.claim_id, name, output)
    # Later requests with the key get the recorded one.
    return outcomes.Answer(output) if name == "answer" else outcome


def _finish_after_fault(
    ctrl: controllers.Controllers,
    req: requests.PipelineRequest,
    call: calls.CallKey,
) -> None:
    """Releases a claim whose call can't have run, or records "unknown"."""
    if req.non_repeatable_may_have_run:
        detail = "the router met a fault after the call was sent"
        ctrl.calls.record_result(call, req.claim_id, "unknown", detail)
    else:
        ctrl.calls.release(call, req.claim_id)


def _outcome_to_record(outcome: outcomes.Outcome):
    """Returns the outcome's name and the output to record for other hosts."""
    if isinstance(outcome, outcomes.Answer):
        data = msgspec.json.encode(outcome.output)
        if len(data) > MAX_RECORDED_BYTES:
            return "answer_not_kept", None
        output = decoding.attempt(msgspec.json.decode, data)
        if isinstance(output, decoding.Unreadable):
            # Other hosts couldn't read the page of the log with it.
            return "answer_not_kept", None
        return "answer", output
    return outcomes.outcome_name(outcome), outcome.detail


def _wait_for_holder(
    ctrl: controllers.Controllers,
    req: requests.PipelineRequest,
    call: calls.CallKey,
    digest: str,
) -> outcomes.Outcome | None:
    """Waits for the holder's outcome; returns None if the key is released."""
    remaining_s = req.deadline_at - ctrl.clock.monotonic()
    entry = ctrl.calls.wait_for_result(call, max(0.0, remaining_s))
    if entry is None or not entry.claim_id:
        return None
    if entry.digest != digest:
        return _rejection_outcome(
            calls_controller.Rejection.KEY_REUSED, call.key
        )
    if entry.result is None:
        return _in_progress(call.key)
    ctrl.metrics.count("calls.replayed")
    return _replay(entry.result)


def _replay(result: records.Result) -> outcomes.Outcome:
    if result.outcome == "answer":
        return outcomes.Answer(result.output)
    if result.outcome == "answer_not_kept":
        return outcomes.RanInPart(
            Reason.ANSWER_NOT_KEPT,
            "the call ran once and answered; the answer was too long to keep",
            "ask the service for the booking or posting",
        )
    if result.outcome == "ran_in_part":
        return outcomes.RanInPart(
            Reason.STAGE_FAILED,
            str(result.output),
            "correct the request and send it with a new Idempotency-Key",
        )
    return outcomes.Unknown(
        Reason.CONNECTION_LOST,
        str(result.output),
        "ask the service whether it ran",
    )


def _deadline_passed() -> outcomes.NotRun:
    return outcomes.NotRun(
        Reason.DEADLINE_PASSED,
        "the deadline passed before the call could be claimed",
        _SAME_KEY_REMEDY,
    )


def _in_progress(key: str) -> outcomes.Unknown:
    return outcomes.Unknown(
        Reason.IN_PROGRESS,
        f"another attempt holds the key {key} and has no outcome yet",
        _SAME_KEY_REMEDY,
    )


def _rejection_outcome(
    rejection: calls_controller.Rejection, key: str
) -> outcomes.Outcome:
    if rejection is calls_controller.Rejection.KEY_REUSED:
        return outcomes.Rejected(
            Reason.KEY_REUSED,
            f"the key {key} was used for another request",
            "send a new UUIDv7 for a new request",
        )
    if rejection is calls_controller.Rejection.KEY_OUT_OF_WINDOW:
        return outcomes.Unknown(
            Reason.KEY_OUT_OF_WINDOW,
            f"the key {key} is too old or from the future; "
            "whether it ran is no longer known",
            "ask the service whether it ran before sending a new key",
        )
    return outcomes.NotRun(
        Reason.LOG_UNAVAILABLE,
        "the platform's log can't be reached, so the call was not dispatched",
        _SAME_KEY_REMEDY,
    )
