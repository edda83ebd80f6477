"""Checks the body and headers that callers send."""

from typing import Any

import werkzeug

from chervilarch import outcomes, request
from chervilarch.outcomes import Reason

MAX_TOKENS = 65536


def read_headers(
    req: werkzeug.Request,
) -> request.CallerHeaders | outcomes.Rejected:
    """Parses the headers with account key, idempotency key and deadline."""
    deadline = req.headers.get("Deadline-Ms")
    try:
        deadline_ms = None if deadline is None else float(deadline)
    except ValueError:
        deadline_ms = float("nan")
    if deadline_ms is not None and not 0 < deadline_ms < float("inf"):
        return bad_request(
            f"the Deadline-Ms header is {deadline!r}",
            "send a number of milliseconds above 0",
        )
    return request.CallerHeaders(
        bearer_key(req),
        req.headers.get("Idempotency-Key", "").strip().strip('"'),
        req.headers.get("Idempotency-Attempt", "").strip() == "1",
        deadline_ms,
    )


def check_document(document: Any) -> outcomes.Rejected | None:
    """Returns why a decoded request body is invalid, or None if it is valid."""
    if not isinstance(document, dict) or "input" not in document:
        return bad_request('the body has no "input"', 'send {"input": ...}')
    unknown = set(document) - {"input", "stream", "max_tokens"}
    if unknown:
        return bad_request(
            f"the body has unknown fields: {', '.join(sorted(unknown))}",
            'send only "input", "stream" and "max_tokens"',
        )
    if not isinstance(document.get("stream", False), bool):
        return bad_request('"stream" is not a boolean', "send true or false")
    tokens = document.get("max_tokens", 1)
    is_number = isinstance(tokens, int) and not isinstance(tokens, bool)
    if not is_number or not 1 <= tokens <= MAX_TOKENS:
        return bad_request(
            '"max_tokens" is out of range', f"send 1 to {MAX_TOKENS}"
        )
    return None


def bearer_key(req: werkzeug.Request) -> str:
    """Returns the bearer token of the Authorization header, or ""."""
    scheme, _, key = req.headers.get("Authorization", "").partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""


def bad_request(detail: str, remedy: str) -> outcomes.Rejected:
    """Returns the rejection of an invalid request."""
    return outcomes.Rejected(Reason.BAD_REQUEST, detail, remedy)
