"""Decodes bytes that other programs wrote, without raising."""

import re
from collections.abc import Callable
from typing import NamedTuple, TypeVar

import msgspec

_BRACKET_OR_STRING = re.compile(
    rb'[\[\]{}]|"[^"\\]*+(?:\\.[^"\\]*+)*+"', re.DOTALL
)
T = TypeVar("T")
# What decoders raise for bytes that they can't read.
ERRORS = (
    msgspec.MsgspecError,  # Not JSON, or not of the type.
    ValueError,  # Not UTF-8 or base64, or a number of too many digits.
    OverflowError,  # A number that doesn't fit its field.
    RecursionError,  # Nested too deeply.
    LookupError,  # A part is missing.
    TypeError,  # A part has another type.
)
_MAX_REASON_CHARS = 200


class Unreadable(NamedTuple):
    """Bytes that aren't valid, and why."""

    reason: str


def attempt(decode: Callable[..., T], *args) -> T | Unreadable:
    """Returns what a decoder returns, or why it failed."""
    try:
        return decode(*args)
    except ERRORS as exc:
        return Unreadable(describe(exc))


def flatten(data: bytes, max_depth: int) -> bytes:
    """Returns JSON with null for all that is nested more deeply."""
    kept = []
    kept_from = depth = 0
    for match in _BRACKET_OR_STRING.finditer(data):
        if match[0] in (b"[", b"{"):
            depth += 1
            if depth == max_depth + 1:
                kept += data[kept_from : match.start()], b"null"
        elif match[0] in (b"]", b"}"):
            if depth == max_depth + 1:
                kept_from = match.end()
            depth -= 1
    if depth <= max_depth:
        kept.append(data[kept_from:])
    return b"".join(kept)


def describe(exc: Exception) -> str:
    """Returns the type and the text of an exception, shortened."""
    return f"{type(exc).__name__}: {exc}"[:_MAX_REASON_CHARS]
