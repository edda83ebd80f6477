"""Outcomes of a request and their representation over HTTP.

Outcomes are returned as values, not raised. All but an answer have a reason and
a remedy. In the router, "not run" means that no attempt was started. In the
gateway, it refers to the final call; stages may have run.
"""

import enum
from functools import singledispatch
from typing import Any, NamedTuple, TypedDict


class Reason(enum.Enum):
    """Why a request got no answer; the value is part of the protocol."""

    BAD_REQUEST = "bad-request"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    UNKNOWN_PIPELINE = "unknown-pipeline"
    NOT_IN_FORCE = "not-in-force"
    BAD_KEY = "bad-idempotency-key"
    KEY_REUSED = "idempotency-key-reused"
    KEY_OUT_OF_WINDOW = "idempotency-key-out-of-window"
    ACCOUNT_LIMIT = "account-limit"
    OVERLOADED = "overloaded"
    DEADLINE_TOO_SHORT = "deadline-too-short"
    DEADLINE_PASSED = "deadline-passed"
    NO_CONFIGURATION = "no-configuration"
    STALE_CONFIGURATION = "stale-configuration"
    LOG_UNAVAILABLE = "log-unavailable"
    IN_PROGRESS = "in-progress"
    NO_ENDPOINT = "no-endpoint"
    STAGE_FAILED = "stage-failed"
    ENDPOINT_LIMIT = "endpoint-limit"
    PROMPT_BLOCKED = "prompt-blocked"
    CONNECTION_LOST = "connection-lost"
    ANSWER_NOT_KEPT = "answer-not-kept"
    SHUTTING_DOWN = "shutting-down"
    STREAM_UNKNOWN = "stream-unknown"
    INTERNAL = "internal"


class Answer(NamedTuple):
    """The complete answer of a pipeline."""

    output: Any


class Rejected(NamedTuple):
    """The request itself is invalid; nothing was run for it."""

    reason: Reason
    detail: str
    remedy: str


class NotRun(NamedTuple):
    """The request, or in the gateway its final call, was not run.

    Router: no attempt was started for this request. Gateway: no endpoint can
    have run the final call; stages may have run, and endpoints may have
    declined the call. One exception: if the stages of a streamed request run
    again for a retry and fail, an earlier attempt may have run; this happens
    only on routes whose requests may run more than once.
    """

    reason: Reason
    detail: str
    remedy: str
    retry_after_s: float = 1.0


class RanInPart(NamedTuple):
    """An attempt was started, but there is no answer to return.

    If a non-repeatable call may have run, a stage rejected its input (this
    call's or a later stage's), or the call's answer was not kept.
    """

    reason: Reason
    detail: str
    remedy: str
    stage: str = ""


class Unknown(NamedTuple):
    """It is not known whether a non-repeatable call ran.

    The call may be of an earlier request with the same key. The outcome is the
    same if the call ran and a later stage failed without rejecting its input.
    """

    reason: Reason
    detail: str
    remedy: str


class TooLate(NamedTuple):
    """Time ran out, or the host stops, after an attempt was started.

    Router: time ran out, and no non-repeatable call can have run. Gateway: the
    final call was sent and may have run, also on routes whose requests may run
    only once.
    """

    reason: Reason
    detail: str
    remedy: str
    stage: str = ""


Outcome = Answer | Rejected | NotRun | RanInPart | Unknown | TooLate


class Problem(TypedDict):
    """Problem details (RFC 9457) with this system's extension members."""

    type: str
    title: str
    status: int
    detail: str
    outcome: str
    reason: str
    remedy: str
    retry_safe: bool
    request_id: str


_REJECTED_STATUS = {
    Reason.UNAUTHENTICATED: 401,
    Reason.FORBIDDEN: 403,
    Reason.UNKNOWN_PIPELINE: 404,
    Reason.KEY_REUSED: 422,
}
_NOT_RUN_STATUS = {Reason.ACCOUNT_LIMIT: 429}


@singledispatch
def outcome_name(outcome: Any) -> str:
    """Returns the outcome's name in the protocol."""
    raise TypeError(f"{type(outcome).__name__} is not an outcome")


@outcome_name.register
def _(outcome: Answer) -> str:
    return "answer"


@outcome_name.register
def _(outcome: Rejected) -> str:
    return "rejected"


@outcome_name.register
def _(outcome: NotRun) -> str:
    return "not_run"


@outcome_name.register
def _(outcome: RanInPart) -> str:
    return "ran_in_part"


@outcome_name.register
def _(outcome: Unknown) -> str:
    return "unknown"


@outcome_name.register
def _(outcome: TooLate) -> str:
    return "too_late"


@singledispatch
def http_status(outcome: Any) -> int:
    """Returns the HTTP status of an outcome."""
    raise TypeError(f"{type(outcome).__name__} is not an outcome")


@http_status.register
def _(outcome: Answer) -> int:
    return 200


@http_status.register
def _(outcome: Rejected) -> int:
    return _REJECTED_STATUS.get(outcome.reason, 400)


@http_status.register
def _(outcome: NotRun) -> int:
    return _NOT_RUN_STATUS.get(outcome.reason, 503)


@http_status.register
def _(outcome: RanInPart) -> int:
    return 502


@http_status.register
def _(outcome: Unknown) -> int:
    return 500


@http_status.register
def _(outcome: TooLate) -> int:
    return 504


@singledispatch
def is_retry_safe(outcome: Any) -> bool:
    """Returns whether the same request can safely be sent again."""
    # Repeatable work may run again, and with the same key a non-repeatable call
    # runs at most once.
    return True


@is_retry_safe.register
def _(outcome: Rejected) -> bool:
    return False


@is_retry_safe.register
def _(outcome: Unknown) -> bool:
    # With the same key, the call still runs at most once.
    return outcome.reason is not Reason.KEY_OUT_OF_WINDOW


def problem(outcome: Outcome, request_id: str) -> Problem:
    """Returns the problem details of an outcome other than an answer."""
    return Problem(
        type=f"urn:chervilarch:problem:{outcome.reason.value}",
        title=outcome.reason.value.replace("-", " "),
        status=http_status(outcome),
        detail=outcome.detail,
        outcome=outcome_name(outcome),
        reason=outcome.reason.value,
        remedy=outcome.remedy,
        retry_safe=is_retry_safe(outcome),
        request_id=request_id,
    )
