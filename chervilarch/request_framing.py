"""Finds request heads that another HTTP reader could end elsewhere.

`h11` refuses most of them. It accepts a length beside a transfer coding, bare
line feeds and folded header lines; a proxy in front that reads these otherwise
would take a part of one request for the next one.
"""

import re

import h11

_HEAD_END = re.compile(rb"\n\r?\n")
_BARE_LINE_FEED = re.compile(rb"(?<!\r)\n")
_FOLDED_LINE = re.compile(rb"\n[ \t]")


def raw_head_fault(data: bytes) -> str:
    """Returns why the head that `data` begins with is refused, or "".

    Args:
        data: bytes from the start of a request on; the head may be incomplete.
    """
    end = _HEAD_END.search(data)
    head = data[: end.end()] if end else data
    if _BARE_LINE_FEED.search(head):
        return "a header line ends without a carriage return"
    if _FOLDED_LINE.search(head):
        return "a header line is continued on the next one"
    return ""


def length_fault(head: h11.Request) -> str:
    """Returns why the length of a request's body is in doubt, or ""."""
    names = {name for name, _ in head.headers}
    if b"transfer-encoding" not in names:
        return ""
    if b"content-length" in names:
        return "the head has both Content-Length and Transfer-Encoding"
    if head.http_version < b"1.1":
        return "HTTP/1.0 has no Transfer-Encoding"
    return ""


def declared_length(head: h11.Request) -> int:
    """Returns the Content-Length of a request, 0 if it has none."""
    for name, value in head.headers:
        if name == b"content-length":
            return int(value)
    return 0


def is_chunked(head: h11.Request) -> bool:
    """Returns whether the body of a request is sent in chunks."""
    return any(name == b"transfer-encoding" for name, _ in head.headers)
