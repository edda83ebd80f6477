"""Translates the platform's HTTP requests, replies and stage calls."""

import math
import re
from urllib import parse

import msgspec

from chervilarch import (
    decoding,
    endpoint_list,
    exchanges,
    http_server,
    outcomes,
    pieces,
    routed,
    state_log,
)

_MS_PER_S = 1000
_JSON_CONTENT_TYPE = "Content-Type: application/json"
_RELEASE_TIMEOUT_S = 1.0
# Doesn't say whether the request ran.
_UNKNOWN_STATUS = 502
# An endpoint answers with it to a request that was meant for another one.
_MISDIRECTED_STATUS = 421
_UNAVAILABLE_STATUS = 503
# Bounds how long one odd reply can take an endpoint out of use.
_MAX_PAUSE_S = 600.0

_HEADER_NAME = re.compile(r"[-!#$%&'*+.^_`|~0-9a-z]+")
# No line breaks and no NUL; other control characters are of no use either.
_HEADER_VALUE = re.compile(r"[\t\x20-\x7e\x80-\xff]*")
# A longer time has no use and would overflow fields of messages between hosts.
_MAX_ALLOWED_S = 24 * 3600.0
# Bounds of the fields that carry the numbers to other hosts.
_MAX_PIECES = 2**16 - 1
_MAX_TOKENS = 2**32 - 1
_MAX_HANDLE_CHARS = 255

# Headers that aren't forwarded (RFC 9110, section 7.6.1).
_HOP_BY_HOP_HEADERS = frozenset(
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
# Headers that only this system may set, and the caller's credentials; dropped
# from callers' requests.
_INTERNAL_HEADERS = frozenset(
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
# Headers of endpoints' replies that aren't passed to callers.
_INTERNAL_REPLY_HEADERS = frozenset(
    ("server-load", "instance-id", "not-executed", "server-leaving")
)
_FAILURES_BY_REASON = {
    "late": pieces.PAST_DEADLINE,
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
        self, req: http_server.Request
    ) -> routed.RoutedRequest | outcomes.Rejected:
        """Parses a caller's request."""
        # Reversed so that the first header of a name counts.
        by_name = dict(reversed(req.headers))
        request_id = by_name.get("request-id", "")
        if not request_id:
            return outcomes.Rejected(
                outcomes.Reason.BAD_REQUEST,
                "the request has no id",
                "send a Request-Id header",
            )
        try:
            allowed_s = _parse_milliseconds(by_name.get("deadline-ms"))
            prompt = _parse_prompt(by_name)
            counts = _parse_counts(by_name.get("pieces", ""), _MAX_PIECES)
        except ValueError as exc:
            return outcomes.Rejected(
                outcomes.Reason.BAD_REQUEST,
                f"a header can't be read: {exc}",
                "correct the header",
            )
        scheme, _, key = by_name.get("authorization", "").partition(" ")
        return routed.RoutedRequest(
            req,
            request_id,
            by_name.get("host", ""),
            key.strip() if scheme.lower() == "bearer" else "",
            allowed_s,
            prompt,
            counts,
            by_name.get("piece-key", ""),
            by_name.get("last-event-id", ""),
            by_name.get("resumes", ""),
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
        dropped = _unforwarded_headers(req.headers)
        headers = [
            _header_line(name, value)
            for name, value in req.headers
            if name not in dropped and name not in _INTERNAL_HEADERS
        ]
        headers.append(f"Deadline-Ms: {max(1, int(allowed_s * _MS_PER_S))}")
        headers.append(f"Expect-Instance: {listing.entry.name}")
        if req.account is not None:
            # As UTF-8; a header's text holds its bytes.
            name = req.account.name.encode().decode("latin-1")
            headers.append(f"Tenant: {name}")
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

    def parse_head(
        self, status: int, headers: http_server.Headers
    ) -> routed.ReplyHead:
        """Parses the status and headers of an endpoint's reply."""
        by_name = dict(reversed(headers))
        dropped = _unforwarded_headers(headers) | _INTERNAL_REPLY_HEADERS
        return routed.ReplyHead(
            status,
            by_name.get("request-id", ""),
            _is_stamp(by_name.get("response-stamp", "")),
            "not-executed" in by_name or status == _MISDIRECTED_STATUS,
            status == _MISDIRECTED_STATUS,
            [
                (name, value)
                for name, value in headers
                if name not in dropped and _is_valid_header(name, value)
            ],
            _parse_amount(
                by_name.get("server-limit"), "endpoint limit unreadable"
            ),
            by_name.get("server-leaving", "").strip() == "1",
            _parse_pause(status, by_name.get("retry-after")),
            not by_name.keys() & {"content-length", "transfer-encoding"},
        )

    def build_refusal(
        self, outcome: outcomes.Outcome, request_id: str
    ) -> tuple[int, http_server.Headers, bytes]:
        """Returns status, headers and problem document of a refusal."""
        status = outcomes.http_status(outcome)
        headers = [("Content-Type", "application/problem+json")]
        if request_id:
            headers.append(("Request-Id", request_id))
        if isinstance(outcome, outcomes.NotRun):
            headers.append(("Retry-After", f"{outcome.retry_after_s:.3f}"))
        elif isinstance(outcome, outcomes.Unknown):
            status = _UNKNOWN_STATUS
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
        """Returns a call that runs a batch of pieces."""
        items = [
            _PieceItem(
                job.request_id,
                job.stage,
                piece,
                max(1, int((job.deadline_at - now) * _MS_PER_S)),
                "" if job.inputs else job.input_key,
                job.inputs,
            )
            for job, piece in batch
        ]
        return exchanges.Exchange(
            "POST",
            f"http://{listing.entry.address}/chervilarch/stage-run",
            msgspec.json.encode({"items": items}),
            (_JSON_CONTENT_TYPE, f"Expect-Instance: {listing.entry.name}"),
            timeout_s,
            fresh=True,
        )

    def parse_pieces(
        self, body: bytes, count: int
    ) -> list[routed.PieceReply] | None:
        """Parses the reply to a piece call; None if it isn't valid."""
        answers = decoding.attempt(_decode_answers, body)
        if isinstance(answers, decoding.Unreadable):
            return None
        if len(answers.items) != count:
            return None
        return [_build_piece_reply(item) for item in answers.items]

    def build_free(
        self, address: str, handles: list[str]
    ) -> exchanges.Exchange:
        """Returns a call that frees results in a worker's result memory."""
        return exchanges.Exchange(
            "POST",
            f"http://{address}/chervilarch/stage-free",
            msgspec.json.encode({"handles": handles}),
            (_JSON_CONTENT_TYPE,),
            _RELEASE_TIMEOUT_S,
            fresh=True,
        )


def is_readiness_check(target: str) -> bool:
    """Returns whether a request target is the balancer's readiness check."""
    return parse.urlsplit(target).path == "/chervilarch/readiness"


def _decode_answers(body: bytes) -> _PieceAnswers:
    return msgspec.json.decode(body, type=_PieceAnswers)


def _build_piece_reply(item: _PieceAnswer) -> routed.PieceReply:
    is_handle = _is_handle(item.handle)
    return routed.PieceReply(
        item.handle if is_handle else "",
        ""
        if is_handle
        else _FAILURES_BY_REASON.get(item.reason, pieces.FAILED),
        item.reason == "room",
    )


def _is_handle(text: str) -> bool:
    """Returns whether a text can be listed as a handle in a header."""
    return (
        0 < len(text) <= _MAX_HANDLE_CHARS
        and text.isascii()
        and text.isprintable()
        and not set(text) & {" ", ","}
    )


def _parse_milliseconds(text: str | None) -> float | None:
    """Parses the time that a caller allows; one that has passed is 0.

    Raises:
        ValueError: it isn't a finite number.
    """
    if text is None:
        return None
    allowed_s = float(text) / _MS_PER_S
    if not math.isfinite(allowed_s):
        raise ValueError(f"{text!r} is no time")
    return min(max(0.0, allowed_s), _MAX_ALLOWED_S)


def _parse_amount(text: str | None, unreadable_event: str) -> float | None:
    """Parses a number from 0 on; logs another one and returns None."""
    if text is None:
        return None
    try:
        amount = float(text)
    except ValueError:
        amount = math.nan
    if not math.isfinite(amount) or amount < 0:
        state_log.log_fault(unreadable_event, value=text)
        return None
    return amount


def _parse_counts(text: str, largest: int) -> tuple[int, ...]:
    if not text:
        return ()
    return tuple(_parse_count(count, largest) for count in text.split(","))


def _parse_count(text: str, largest: int) -> int:
    """Parses a count.

    Raises:
        ValueError: it isn't a number, or is out of range.
    """
    digits = text.strip()
    if not (digits.isascii() and digits.isdigit()):
        raise ValueError(f"{text[:20]!r} is not a count")
    if len(digits) > len(str(largest)) or int(digits) > largest:
        raise ValueError(f"{text[:20]!r} is more than {largest}")
    return int(digits)


def _parse_pause(status: int, text: str | None) -> float | None:
    """Parses for how many seconds an endpoint wants no requests, if it says so.

    Only a refusal says it; dates aren't used on the platform.
    """
    if status != _UNAVAILABLE_STATUS:
        return None
    pause_s = _parse_amount(text, "endpoint pause unreadable")
    return None if pause_s is None else min(pause_s, _MAX_PAUSE_S)


def _parse_prompt(by_name: dict[str, str]) -> routed.Prompt:
    """Parses a prompt's parts and its numbers of input and output tokens."""
    parts = []
    for entry in by_name.get("prompt-prefix", "").split(","):
        part, sep, tokens = entry.strip().partition(":")
        if sep:
            parts.append((part, _parse_count(tokens, _MAX_TOKENS)))
    if sum(tokens for _, tokens in parts) > _MAX_TOKENS:
        raise ValueError(f"a prompt of more than {_MAX_TOKENS} tokens")
    usage = _parse_counts(by_name.get("token-usage", ""), _MAX_TOKENS)
    tokens_in, tokens_out = usage if len(usage) == 2 else (0, 0)
    hint = _parse_amount(by_name.get("length-hint"), "length hint unreadable")
    return routed.Prompt(
        tuple(parts),
        tokens_in,
        tokens_out,
        int(min(hint or 0.0, _MAX_TOKENS)),
    )


def _unforwarded_headers(headers: http_server.Headers) -> frozenset[str]:
    """Returns the names of headers that aren't forwarded."""
    options = {
        option.strip().lower()
        for name, value in headers
        if name == "connection"
        for option in value.split(",")
    }
    return _HOP_BY_HOP_HEADERS | options


def _is_stamp(value: str) -> bool:
    """Returns whether a stamp is there and can be passed on as it is."""
    return bool(value) and _HEADER_VALUE.fullmatch(value) is not None


def _is_valid_header(name: str, value: str) -> bool:
    """Returns whether HTTP allows a header; others can't be forwarded."""
    return bool(_HEADER_NAME.fullmatch(name) and _HEADER_VALUE.fullmatch(value))


def _header_line(name: str, value: str) -> str:
    # libcurl drops a header without a value unless it ends in a semicolon.
    return f"{name}: {value}" if value else f"{name};"
