"""One attempt at a stage: its HTTP request and what its reply means."""

import enum
from typing import Any, NamedTuple

import msgspec

from chervilarch import decoding, endpoint_state, exchanges, request, rules

_HTTP_OK = 200
_MS_PER_S = 1000
LOAD_HEADER = "x-load"
# Of an endpoint's error text, which explanations, records of the log and
# callers' answers hold, this much is kept.
MAX_DETAIL_CHARS = 500
_ABSENT = msgspec.Raw()


class FailureCause(enum.Enum):
    """Why an attempt gave no usable answer."""

    # No byte of the request left this host.
    NOT_SENT = "not sent"
    # The endpoint replied that it ran nothing.
    DECLINED = "declined"
    # The endpoint ran nothing, as it is leaving or another one replied.
    LEAVING = "leaving"
    # The endpoint replied that the request is invalid (status 4xx).
    REJECTED = "rejected"
    # The endpoint replied with another error, or not in the protocol.
    FAILED = "failed"
    # The transfer failed, or its stream stopped; bytes may have been sent.
    LOST = "lost"
    # The time ran out; bytes may have been sent.
    LATE = "late"
    # The reply was broken off by this host, as no end was in sight; the request
    # may have run.
    ENDLESS = "endless"
    # The time ran out while this host had no room for the reply; the request
    # may have run.
    NO_ROOM = "no room"
    # The reply belongs to another attempt or request.
    NOT_OWN = "not own"
    # A stage's result that the attempt needs is no longer stored.
    INPUT_GONE = "input gone"


class _ReplyBody(msgspec.Struct):
    """An endpoint's reply, whose parts stay undecoded.

    Decoded, nested lists take many times the memory of their bytes.
    """

    attempt_id: msgspec.Raw = _ABSENT
    output: msgspec.Raw = _ABSENT
    error: msgspec.Raw = _ABSENT
    ran: msgspec.Raw = _ABSENT


class Success(NamedTuple):
    """A complete answer that belongs to the attempt.

    Attributes:
        output: text of a stream, or JSON as `msgspec.Raw`.
    """

    output: Any


class Failure(NamedTuple):
    """How an attempt without a usable answer ended.

    Attributes:
        cause: why there is no answer.
        detail: text for the request's explanation.
    """

    cause: FailureCause
    detail: str

    def certainly_not_run(self) -> bool:
        """Returns whether it is certain that the endpoint ran nothing."""
        return self.cause in (
            FailureCause.NOT_SENT,
            FailureCause.DECLINED,
            FailureCause.LEAVING,
            FailureCause.INPUT_GONE,
        )


class Attempt(NamedTuple):
    """An attempt in progress and the slot that it holds."""

    attempt_id: str
    slot: endpoint_state.Slot


def build_exchange(
    req: request.PipelineRequest,
    stage: rules.Pool,
    attempt: Attempt,
    stage_input: Any,
    timeout_s: float,
    generated: list[str] | None = None,
    fresh: bool = False,
) -> exchanges.Exchange:
    """Returns the HTTP request of an attempt."""
    payload = {
        "attempt_id": attempt.attempt_id,
        "request_id": req.id,
        "request": req.input,
        "input": stage_input,
    }
    if stage.protocol == rules.PROTOCOL_STREAM:
        payload["max_tokens"] = req.max_tokens
        payload["generated"] = generated or []
    headers = [
        "Content-Type: application/json",
        f"X-Request-Id: {req.id}",
        f"X-Attempt-Id: {attempt.attempt_id}",
        f"X-Account: {req.account.name}",
        f"X-Priority: {req.rule.priority}",
        f"Deadline-Ms: {int(timeout_s * _MS_PER_S)}",
    ]
    if not stage.repeatable:
        headers.append(f"Idempotency-Key: {req.headers.idempotency_key}")
    return exchanges.Exchange(
        "POST",
        f"http://{attempt.slot.endpoint.key}{stage.path}",
        msgspec.json.encode(payload),
        tuple(headers),
        timeout_s,
        fresh,
    )


def classify(
    result: exchanges.TransferResult, attempt_id: str
) -> Success | Failure:
    """Returns how an attempt ended, given its transfer's result."""
    if isinstance(result, exchanges.TransferFailure):
        return Failure(
            transfer_failure_cause(result),
            f"{result.kind.value}: {result.detail}",
        )
    reply = decoding.attempt(_decode_body, result.body)
    if isinstance(reply, decoding.Unreadable):
        return Failure(
            FailureCause.FAILED,
            f"status {result.status}, not JSON: {reply.reason}",
        )
    if _text_of(reply.attempt_id) != attempt_id:
        return Failure(FailureCause.NOT_OWN, "the reply names another attempt")
    if result.status == _HTTP_OK:
        if reply.output is _ABSENT:
            return Failure(FailureCause.FAILED, "the reply has no output")
        # One line, which an event needs, and apart from the rest of the body.
        return Success(
            msgspec.Raw(msgspec.json.format(reply.output, indent=-1))
        )
    error = _text_of(reply.error)
    detail = f"status {result.status}" if error is None else error
    detail = detail[:MAX_DETAIL_CHARS]
    if memoryview(reply.ran) == b"false":
        leaving = error == "leaving"
        return Failure(
            FailureCause.LEAVING if leaving else FailureCause.DECLINED, detail
        )
    if 400 <= result.status < 500:
        return Failure(FailureCause.REJECTED, detail)
    return Failure(FailureCause.FAILED, detail)


def _decode_body(body: bytes) -> _ReplyBody:
    """Decodes a reply.

    Raises:
        one of `decoding.ERRORS`: it isn't a JSON object in UTF-8.
    """
    if not body.isascii():
        # What stays undecoded isn't checked by the decoder.
        body.decode()
    return msgspec.json.decode(body, type=_ReplyBody)


def _text_of(field: msgspec.Raw) -> str | None:
    """Returns a field's text, None if it holds none."""
    if memoryview(field)[:1] != b'"':
        return None
    return msgspec.json.decode(field)


def transfer_failure_cause(failure: exchanges.TransferFailure) -> FailureCause:
    """Returns the cause of an attempt's failure, given its failed transfer."""
    if not failure.sent:
        return FailureCause.NOT_SENT
    if failure.kind is exchanges.FailureKind.TIMED_OUT:
        return FailureCause.LATE
    if failure.kind is exchanges.FailureKind.ENDLESS:
        return FailureCause.ENDLESS
    if failure.kind is exchanges.FailureKind.NO_ROOM:
        return FailureCause.NO_ROOM
    return FailureCause.LOST


def reported_load(result: exchanges.TransferResult | None) -> float | None:
    """Returns the load in a reply's header, None if absent or malformed."""
    if not isinstance(result, exchanges.Reply):
        return None
    try:
        return float(result.headers[LOAD_HEADER])
    except (KeyError, ValueError):
        return None
