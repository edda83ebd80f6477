"""Translates callers' requests, endpoints' replies and stage calls."""

from urllib import parse

import msgspec

from chervilarch import (
    endpoint_list,
    exchanges,
    inbound,
    outcomes,
    pieces,
    routed,
)

_MS_PER_S = 1000
_JSON = "Content-Type: application/json"
_RELEASE_TIMEOUT_S = 1.0
# Promises nothing about whether a request ran.
_LOST_STATUS = 502
# Status with which an endpoint declines what was meant for another.
_MISDIRECTED = 421

# Headers that concern one connection only (RFC 9110, section 7.6.1).
_HOP_HEADERS = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    )
)
# Headers that only this system sets, and the caller's secret.
_OWN_HEADERS = frozenset(
    (
        "authorization",
        "tenant",
        "deadline-ms",
        "expect-instance",
        "expect-version",
        "request-priority",
        "inputs",
        "hold",
        "pin-ms",
        "kv-backup",
        "kv-from",
        "kv-fetch",
        "last-event-id",
    )
)
# Headers of endpoints that are meant for this system.
_REPLY_HEADERS = frozenset(("server-load", "instance-id", "not-executed"))
_FAILURES = {
    "late": pieces.LATE,
    "gone": pieces.INPUT_GONE,
    "room": pieces.FAILED,
    "error": pieces.FAILED,
}


class _PieceItem(msgspec.Struct, omit_defaults=True):
    id: str
    stage: int
    piece: int
    left_ms: int = 0
    key: str = ""
    inputs: tuple[str, ...] = ()


class _PieceAnswer(msgspec.Struct):
    handle: str = ""
    reason: str = ""


class _PieceAnswers(msgspec.Struct):
    items: list[_PieceAnswer]


class HttpWire:
    """Implements `routed.Wire`."""

    def parse_request(
        self, req: inbound.Inbound
    ) -> routed.RoutedRequest | outcomes.Rejected:
        """Reads a caller's request."""
        named = dict(reversed(req.headers))
        request_id = named.get("request-id", "")
        if not request_id:
            return outcomes.Rejected(
                outcomes.Reason.BAD_REQUEST,
                "the request has no id",
                "send a Request-Id header",
            )
        try:
            allowed_s = _milliseconds(named.get("deadline-ms"))
            prompt = _prompt(named)
            counts = _counts(named.get("pieces", ""))
        except ValueError as exc:
            return outcomes.Rejected(
                outcomes.Reason.BAD_REQUEST,
                f"a header can't be read: {exc}",
                "correct the header",
            )
        scheme, _, key = named.get("authorization", "").partition(" ")
        return routed.RoutedRequest(
            req,
            request_id,
            named.get("host", ""),
            key.strip() if scheme.lower() == "bearer" else "",
            allowed_s,
            prompt,
            counts,
            named.get("piece-key", ""),
            named.get("last-event-id", ""),
        )

    def build_call(
        self,
        req: routed.RoutedRequest,
        listing: endpoint_list.Listing,
        allowed_s: float,
        inputs: tuple[str, ...],
        resume_after: str,
    ) -> exchanges.Exchange:
        """Returns the final call of a request."""
        dropped = _connection_options(req.headers)
        headers = [
            _line(name, value)
            for name, value in req.headers
            if name not in dropped and name not in _OWN_HEADERS
        ]
        headers.append(f"Deadline-Ms: {max(1, int(allowed_s * _MS_PER_S))}")
        headers.append(f"Expect-Instance: {listing.entry.name}")
        if req.account is not None:
            headers.append(f"Tenant: {req.account.name}")
        if req.route.is_prompt:
            headers.append(f"Request-Priority: {min(9, req.priority)}")
        if inputs:
            headers.append(f"Inputs: {','.join(inputs)}")
        if resume_after:
            headers.append(f"Last-Event-Id: {resume_after}")
        return exchanges.Exchange(
            req.method,
            f"http://{listing.entry.address}/",
            req.body,
            tuple(headers),
            allowed_s,
            fresh=True,
            target=req.target,
        )

    def read_head(
        self, status: int, headers: inbound.Headers
    ) -> routed.ReplyHead:
        """Reads the head of an endpoint's reply."""
        named = dict(reversed(headers))
        dropped = _connection_options(headers) | _REPLY_HEADERS
        return routed.ReplyHead(
            status,
            named.get("request-id", ""),
            bool(named.get("response-stamp")),
            "not-executed" in named or status == _MISDIRECTED,
            status == _MISDIRECTED,
            [item for item in headers if item[0] not in dropped],
        )

    def build_refusal(
        self, outcome: outcomes.Outcome, request_id: str
    ) -> tuple[int, inbound.Headers, bytes]:
        """Returns status, headers and body of an answer of our own."""
        status = outcomes.http_status(outcome)
        headers = [("Content-Type", "application/problem+json")]
        if request_id:
            headers.append(("Request-Id", request_id))
        if isinstance(outcome, outcomes.NotRun):
            headers.append(("Retry-After", f"{outcome.retry_after_s:.3f}"))
        elif isinstance(outcome, outcomes.Unknown):
            status = _LOST_STATUS
        document = outcomes.problem(outcome, request_id)
        document["status"] = status
        return status, headers, msgspec.json.encode(document)

    def build_piece_call(
        self,
        listing: endpoint_list.Listing,
        batch: list[tuple[pieces.Job, int]],
        now: float,
        timeout_s: float,
    ) -> exchanges.Exchange:
        """Returns a call that makes pieces."""
        items = [
            _PieceItem(
                job.request_id,
                job.stage,
                piece,
                max(1, int((job.deadline_at - now) * _MS_PER_S)),
                "" if job.inputs else job.key,
                job.inputs,
            )
            for job, piece in batch
        ]
        return exchanges.Exchange(
            "POST",
            f"http://{listing.entry.address}/chervilarch/stage-run",
            msgspec.json.encode({"items": items}),
            (_JSON, f"Expect-Instance: {listing.entry.name}"),
            timeout_s,
            fresh=True,
        )

    def read_pieces(
        self, body: bytes, count: int
    ) -> list[routed.PieceReply] | None:
        """Reads the reply to it; None if it can't be read."""
        try:
            items = msgspec.json.decode(body, type=_PieceAnswers).items
        except msgspec.MsgspecError:
            return None
        if len(items) != count:
            return None
        return [
            routed.PieceReply(
                item.handle,
                ""
                if item.handle
                else _FAILURES.get(item.reason, pieces.FAILED),
                item.reason == "room",
            )
            for item in items
        ]

    def build_release(
        self, address: str, handles: list[str]
    ) -> exchanges.Exchange:
        """Returns a call that frees results."""
        return exchanges.Exchange(
            "POST",
            f"http://{address}/chervilarch/stage-free",
            msgspec.json.encode({"handles": handles}),
            (_JSON,),
            _RELEASE_TIMEOUT_S,
            fresh=True,
        )


def is_readiness_check(target: str) -> bool:
    """Tells whether the balancer asks if this host may get connections."""
    return parse.urlsplit(target).path == "/chervilarch/readiness"


def _milliseconds(text: str | None) -> float | None:
    return None if text is None else float(text) / _MS_PER_S


def _counts(text: str) -> tuple[int, ...]:
    return tuple(int(count) for count in text.split(",")) if text else ()


def _prompt(named: dict[str, str]) -> routed.Prompt:
    """Reads the parts of a prompt and its tokens in and out."""
    parts = []
    for entry in named.get("prompt-prefix", "").split(","):
        part, sep, tokens = entry.strip().partition(":")
        if sep:
            parts.append((part, int(tokens)))
    usage = _counts(named.get("token-usage", ""))
    tokens_in, tokens_out = usage if len(usage) == 2 else (0, 0)
    return routed.Prompt(tuple(parts), tokens_in, tokens_out)


def _connection_options(headers: inbound.Headers) -> frozenset[str]:
    """Returns the headers that concern this connection only."""
    options = {
        option.strip().lower()
        for name, value in headers
        if name == "connection"
        for option in value.split(",")
    }
    return _HOP_HEADERS | options


def _line(name: str, value: str) -> str:
    # libcurl drops a header without a value unless it ends in a semicolon.
    return f"{name}: {value}" if value else f"{name};"
