"""Runs a stage that streams tokens, resuming the stream when it breaks."""

from chervilarch import (
    attempts,
    call_stage,
    endpoint_state,
    endpoints,
    request,
    tokens,
)
from chervilarch.exchanges import ByteStream, TransferFailure

# Silence between tokens after which a stream counts as lost.
MAX_SILENCE_S = 1.5
# The first token may take this share of the remaining time.
FIRST_TOKEN_SHARE = 0.5
MIN_FIRST_TOKEN_S = 2.0
_HTTP_OK = 200


def run_stream(run: call_stage.StageRun) -> call_stage.StageResult:
    """Collects all tokens of a stage; a new attempt resumes a broken stream."""
    run.ctrl.retry_budget.earn()
    sequence = tokens.TokenSequence(run.req.max_tokens)
    last_failure = None
    while True:
        remaining_s = run.remaining_s()
        if remaining_s <= 0:
            return call_stage.StageFailure(last_failure, is_late=True)
        slot = run.acquire(remaining_s if not run.excluded else 0.0)
        if isinstance(slot, endpoints.NoSlot):
            if run.excluded and not slot.is_pool_down:
                # No other endpoint has a free slot: allow the excluded ones.
                run.excluded.clear()
                continue
            is_late = run.remaining_s() <= 0
            return call_stage.StageFailure(last_failure, is_late=is_late)
        attempt_result = _run_attempt(run, slot, sequence)
        if isinstance(attempt_result, attempts.Success):
            return attempt_result
        last_failure = attempt_result
        run.excluded.add(slot.endpoint.key)
        if last_failure.cause is attempts.FailureCause.REJECTED:
            return call_stage.StageFailure(last_failure)
        # A silent endpoint was left only once a retry had been spent.
        if last_failure is not _SILENT and not call_stage.try_spend_retry(run):
            is_late = run.remaining_s() <= 0
            return call_stage.StageFailure(last_failure, is_late=is_late)


def _run_attempt(
    run: call_stage.StageRun,
    slot: endpoint_state.Slot,
    sequence: tokens.TokenSequence,
) -> attempts.Success | attempts.Failure:
    """Sends one attempt and reads its stream to its end or first fault."""
    attempt = attempts.Attempt(request.new_id(), slot)
    resumed_from = len(sequence.texts)
    exchange = attempts.build_exchange(
        run.req,
        run.stage,
        attempt,
        run.stage_input,
        run.remaining_s(),
        generated=sequence.texts,
        fresh=bool(run.excluded),
    )
    run.record_start(attempt, resumed_from=resumed_from)
    sequence.begin_attempt(attempt.attempt_id)
    started_at = run.ctrl.clock.monotonic()
    stream = run.ctrl.streams.open_stream(exchange)
    try:
        attempt_result = _read(run, stream, sequence, attempt.attempt_id)
    except BaseException:
        # The caller has left (`emit` raised), or this router has a fault;
        # neither says anything about the endpoint.
        run.ctrl.endpoints.abandon(slot)
        raise
    finally:
        stream.cancel()
    elapsed_s = run.ctrl.clock.monotonic() - started_at
    run.record_end(attempt, attempt_result, elapsed_s, stream.result)
    return attempt_result


def _read(
    run: call_stage.StageRun,
    stream: ByteStream,
    sequence: tokens.TokenSequence,
    attempt_id: str,
) -> attempts.Success | attempts.Failure:
    clock = run.ctrl.clock
    # Bytes that complete no token don't end a silence: a stalled stream may
    # drip. Neither does a caller that reads slowly begin one.
    allowed_s = max(MIN_FIRST_TOKEN_S, FIRST_TOKEN_SHARE * run.remaining_s())
    last_token_at = clock.monotonic()
    while True:
        remaining_s = run.remaining_s()
        if remaining_s <= 0:
            return attempts.Failure(
                attempts.FailureCause.LATE, "deadline passed"
            )
        # What was received during a pause of this process is still read.
        wait_s = max(0.0, last_token_at + allowed_s - clock.monotonic())
        chunk = stream.read(min(wait_s, remaining_s))
        if chunk == b"":
            return _classify_end(stream, attempt_id)
        start = len(sequence.texts)
        ended = _feed(run.req, sequence, chunk or b"")
        if ended is not None:
            return ended
        if len(sequence.texts) > start:
            last_token_at, allowed_s = clock.monotonic(), MAX_SILENCE_S
        elif chunk is None or wait_s == 0.0:
            if call_stage.try_spend_retry(run):
                return _SILENT
            # Nothing could replace the endpoint, which may go on.
            last_token_at, allowed_s = clock.monotonic(), MAX_SILENCE_S


def _feed(
    req: request.PipelineRequest, sequence: tokens.TokenSequence, chunk: bytes
) -> attempts.Success | attempts.Failure | None:
    """Passes on a chunk's tokens; returns the result of an ended stream."""
    start = len(sequence.texts)
    fault = sequence.feed(chunk)
    _emit(req, sequence, start)
    if fault is not None:
        return attempts.Failure(_FAULT_CAUSES[fault], fault.value)
    if sequence.ended:
        return attempts.Success("".join(sequence.texts))
    return None


_SILENT = attempts.Failure(attempts.FailureCause.LOST, "the stream is silent")
_FAULT_CAUSES = {
    tokens.StreamFault.NOT_OWN: attempts.FailureCause.NOT_OWN,
    tokens.StreamFault.GAP: attempts.FailureCause.FAILED,
    tokens.StreamFault.MALFORMED: attempts.FailureCause.FAILED,
    tokens.StreamFault.SHORT: attempts.FailureCause.FAILED,
    tokens.StreamFault.OVERFLOW: attempts.FailureCause.FAILED,
    tokens.StreamFault.EXCESS: attempts.FailureCause.FAILED,
    tokens.StreamFault.IDLE: attempts.FailureCause.FAILED,
    tokens.StreamFault.ENGINE: attempts.FailureCause.FAILED,
}


def _classify_end(stream: ByteStream, attempt_id: str) -> attempts.Failure:
    """Returns the failure of a transfer that ended without an end event."""
    result = stream.result
    if isinstance(result, TransferFailure) or result.status != _HTTP_OK:
        attempt_result = attempts.classify(result, attempt_id)
        if isinstance(attempt_result, attempts.Failure):
            return attempt_result
    return attempts.Failure(
        attempts.FailureCause.LOST, "the stream has no end event"
    )


def _emit(
    req: request.PipelineRequest, sequence: tokens.TokenSequence, start: int
) -> None:
    """Passes the tokens from index `start` on to a caller that streams."""
    if req.emit is not None and len(sequence.texts) > start:
        req.emit(sequence.texts[start:], start)
