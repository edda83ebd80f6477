"""State of a caller's request while it passes the filter chain."""

import uuid
from collections.abc import Callable
from typing import Any, NamedTuple

from chervilarch import explanations, rules


class CallerHeaders(NamedTuple):
    """Values of the headers that a caller sent with a request.

    Attributes:
        api_key: the account's secret key, "" for none.
        idempotency_key: "" for none.
        is_first_request: whether the caller says that it never sent the
            idempotency key before.
        deadline_ms: time that the caller allows for an answer, or None.
    """

    api_key: str = ""
    idempotency_key: str = ""
    is_first_request: bool = False
    deadline_ms: float | None = None


class PipelineRequest:
    """One request, whose state the filters and stages fill in.

    Attributes:
        any_attempt_started: whether an attempt was started, even if it
            reached no endpoint.
        claim_id: the claim that won the request's idempotency key, "" for none;
            it stays set after a release.
        non_repeatable_may_have_run: whether a non-repeatable call may have run;
            set before each is sent, and taken back if it certainly didn't run.
        not_run_proved: whether a claim proved that no earlier request with
            the idempotency key ran.
        emit: passes tokens, and the index of the first, on to the caller.
    """

    def __init__(
        self,
        pipeline_name: str,
        body: bytes,
        document: dict[str, Any],
        headers: CallerHeaders,
        trace: explanations.Trace,
        arrived_at: float,
    ):
        self.id = trace.request_id
        self.pipeline_name = pipeline_name
        self.body = body
        self.input = document["input"]
        self.max_tokens: int = document.get("max_tokens", 64)
        self.wants_stream: bool = document.get("stream", False)
        self.headers = headers
        self.trace = trace
        self.arrived_at = arrived_at
        self.account: rules.Account | None = None
        self.pipeline: rules.Pipeline | None = None
        self.rule: rules.Rule | None = None
        self.deadline_at = float("inf")
        self.claim_id = ""
        self.non_repeatable_may_have_run = False
        self.not_run_proved = False
        self.any_attempt_started = False
        self.emit: Callable[[list[str], int], None] | None = None


def new_id() -> str:
    """Returns a unique id for a request or an attempt."""
    return uuid.uuid4().hex
