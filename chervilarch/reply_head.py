"""Reads the heads of replies that libcurl receives, and its failures."""

import pycurl

from chervilarch import exchanges

_FAILURE_KINDS = {
    pycurl.E_COULDNT_CONNECT: exchanges.FailureKind.REFUSED,
    pycurl.E_OPERATION_TIMEDOUT: exchanges.FailureKind.TIMED_OUT,
    pycurl.E_WRITE_ERROR: exchanges.FailureKind.TOO_LARGE,
}
_LENGTH_HEADERS = {"content-length", "transfer-encoding"}


class ReplyHead:
    """The head of one reply, as far as it has been received.

    Attributes:
        status: HTTP status, 0 before there is one.
        headers: names in lower case with values, in the order received.
        is_ambiguous: whether the head names two ways to find the end of the
            body. libcurl refuses the other heads with a doubtful end by itself.
    """

    def __init__(self) -> None:
        self.status = 0
        self.headers: list[tuple[str, str]] = []
        self.is_ambiguous = False

    def on_line(self, line: bytes) -> int | None:
        """Parses one line; called by libcurl, which gives up at a 0."""
        text = line.decode("latin-1").strip()
        if text.startswith("HTTP/"):
            self.headers.clear()
            words = text.split(" ", 2)
            self.status = int(words[1]) if words[1].isdigit() else 0
            return None
        name, sep, value = text.partition(":")
        if sep:
            self.headers.append((name.strip().lower(), value.strip()))
        if text:
            return None
        names = {name for name, _ in self.headers}
        self.is_ambiguous = names >= _LENGTH_HEADERS
        return 0 if self.is_ambiguous else None


def failure(
    curl: pycurl.Curl, code: int, text: str, head: ReplyHead
) -> exchanges.TransferFailure:
    """Returns the failure that libcurl reports for a transfer."""
    kind = _FAILURE_KINDS.get(code, exchanges.FailureKind.BROKEN)
    if head.is_ambiguous:
        kind = exchanges.FailureKind.BROKEN
    return exchanges.TransferFailure(kind, text, was_sent(curl))


def was_sent(curl: pycurl.Curl) -> bool:
    """Returns whether any byte of the request may have left this host."""
    return curl.getinfo(pycurl.REQUEST_SIZE) > 0
