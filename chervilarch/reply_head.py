"""Reads the heads of replies that libcurl receives, and its failures."""

import re

import pycurl

from chervilarch import exchanges

# CURLE_TOO_LARGE, which pycurl doesn't name: a header line, or their number, is
# over libcurl's bound.
_E_TOO_LARGE = 100
_FAILURE_KINDS = {
    pycurl.E_COULDNT_CONNECT: exchanges.FailureKind.REFUSED,
    pycurl.E_OPERATION_TIMEDOUT: exchanges.FailureKind.TIMED_OUT,
    pycurl.E_WRITE_ERROR: exchanges.FailureKind.TOO_LARGE,
}
# Bounds on all lines of a reply: its head, interim heads and trailers. They are
# below libcurl's own, whose error doesn't tell what it is about.
MAX_LINES = 256
MAX_LINE_BYTES = 64 * 1024
_FIRST_FINAL_STATUS = 200
_NO_CONTENT = 204
# RFC 9112, section 4, and RFC 9110, section 15.
_STATUS_LINE = re.compile(rb"HTTP/1\.[01]\s+([1-5][0-9]{2})(\s|$)")
# RFC 9110, section 5.1: the name of a field is a token.
_FIELD_NAME = re.compile(rb"[-!#$%&'*+.^_`|~0-9A-Za-z]+")
# RFC 9110, section 5.6.3: what may stand around a field's value. Other bytes
# that `str.strip` removes belong to the value.
_BLANKS = b" \t"
_MAX_LENGTH_DIGITS = 18
_LENGTH_HEADERS = {"content-length", "transfer-encoding"}


class ReplyHead:
    """The head of one reply, once it has been received completely.

    Interim heads (status 1xx) and trailers aren't part of it.

    Attributes:
        status: HTTP status, 0 before the head is complete.
        headers: names in lower case with values, in the order received; empty
            before the head is complete.
        is_complete: whether the empty line that ends the head has come. libcurl
            takes a reply that ends before it for complete.
        is_ambiguous: whether the head names two ways to find the end of the
            body. libcurl refuses the other heads with a doubtful end by itself.
        is_overlong: whether the lines are over their bounds.
        awaits_status_line: whether the next line is the first one of a head.
        fault: why a line isn't one of HTTP/1.1, which libcurl reads more
            leniently, or "". The request may have run, whatever the reply says.
    """

    def __init__(self) -> None:
        self.restart()

    def restart(self) -> None:
        """Forgets all lines."""
        self.status = 0
        self.headers: list[tuple[str, str]] = []
        self.is_complete = False
        self.is_ambiguous = False
        self.is_overlong = False
        self.fault = ""
        self.awaits_status_line = True
        self._lines = 0
        self._line_bytes = 0
        # Heads with interim ones, and those that libcurl didn't show yet.
        self._heads = 0
        self._unread_heads = 0
        self._partial_status = 0
        self._partial_headers: list[tuple[str, str]] = []

    def is_refused(self) -> bool:
        """Returns whether the reply is a failure for its lines so far."""
        return bool(self.fault) or self.is_overlong or self.is_ambiguous

    def on_line(self, line: bytes) -> int | None:
        """Parses one line; returns 0 if the reply is a failure for it."""
        self._lines += 1
        self._line_bytes += len(line)
        if self._lines > MAX_LINES or self._line_bytes > MAX_LINE_BYTES:
            self.is_overlong = True
            return 0
        if not line.endswith(b"\n"):
            # The connection has ended within the line.
            return None
        content = line.removesuffix(b"\n").removesuffix(b"\r")
        if self.awaits_status_line:
            return self._begin_head(content)
        return self._add_field(content) if content else self._end_head()

    def on_libcurl_line(self, line: bytes) -> int | None:
        """Parses a line unless it was parsed before libcurl read it.

        Called by libcurl, which gives up at a 0. It shows the heads first and
        then the trailers.
        """
        if self.is_refused():
            return 0
        if self._unread_heads:
            self._unread_heads -= line in (b"\r\n", b"\n")
            return None
        return self.on_line(line)

    def mark_unread(self) -> None:
        """Notes that libcurl is still to read all lines so far."""
        self._unread_heads = self._heads

    def content_length(self) -> int | None:
        """Returns the length that the head names, None without a usable one."""
        text = dict(self.headers).get("content-length", "")
        is_number = text.isascii() and text.isdigit()
        return int(text[:_MAX_LENGTH_DIGITS]) if is_number else None

    def is_unframed_success(self) -> bool:
        """Returns whether the connection's end alone ends a success's body."""
        names = {name for name, _ in self.headers}
        return (
            self.status // 100 == 2
            and self.status != _NO_CONTENT
            and not names & _LENGTH_HEADERS
        )

    def _begin_head(self, status_line: bytes) -> int | None:
        match = _STATUS_LINE.match(status_line)
        if match is None:
            self.fault = "the status line is invalid"
            return 0
        self.awaits_status_line = False
        self._partial_status = int(match[1])
        self._partial_headers = []
        return None

    def _add_field(self, line: bytes) -> int | None:
        name, sep, value = line.partition(b":")
        if not sep or not _FIELD_NAME.fullmatch(name):
            self.fault = "the name of a field is invalid"
            return 0
        if not self.is_complete:
            text = value.strip(_BLANKS).decode("latin-1")
            self._partial_headers.append((name.decode().lower(), text))
        return None

    def _end_head(self) -> int | None:
        if self.is_complete:
            return None
        self._heads += 1
        if self._partial_status < _FIRST_FINAL_STATUS:
            self.awaits_status_line = True
            return None
        self.is_complete = True
        self.status = self._partial_status
        self.headers = self._partial_headers
        names = {name for name, _ in self.headers}
        self.is_ambiguous = names >= _LENGTH_HEADERS
        return 0 if self.is_ambiguous else None


def result(
    curl: pycurl.Curl, code: int | None, text: str, head: ReplyHead, body: bytes
) -> exchanges.TransferResult:
    """Returns the result of a transfer that has ended.

    Args:
        curl: its handle.
        code: libcurl's error, None if it reports none.
        text: libcurl's error message.
        head: the head that was received.
        body: the body that was kept.
    """
    if code is not None:
        return failure(curl, code, text, head)
    if not head.is_complete:
        return exchanges.TransferFailure(
            exchanges.FailureKind.BROKEN,
            "the reply ended within its head",
            was_sent(curl),
        )
    if head.is_unframed_success() and not _was_sent_whole(curl):
        # An endpoint may answer early, and then reads the rest.
        return exchanges.TransferFailure(
            exchanges.FailureKind.BROKEN,
            "the connection ended before the request was sent",
            was_sent(curl),
        )
    elapsed_s = curl.getinfo(pycurl.TOTAL_TIME)
    return exchanges.Reply(head.status, dict(head.headers), body, elapsed_s)


def failure(
    curl: pycurl.Curl, code: int, text: str, head: ReplyHead
) -> exchanges.TransferFailure:
    """Returns the failure that libcurl reports for a transfer."""
    kind = _FAILURE_KINDS.get(code, exchanges.FailureKind.BROKEN)
    if head.is_ambiguous:
        kind = exchanges.FailureKind.BROKEN
    if head.fault:
        kind = exchanges.FailureKind.BROKEN
        text = head.fault
    if head.is_overlong or code == _E_TOO_LARGE:
        kind = exchanges.FailureKind.ENDLESS
        text = f"the head is over {MAX_LINES} lines or {MAX_LINE_BYTES} bytes"
    return exchanges.TransferFailure(kind, text, was_sent(curl))


def _was_sent_whole(curl: pycurl.Curl) -> bool:
    """Returns whether the whole body of the request was sent."""
    sent_bytes = curl.getinfo(pycurl.SIZE_UPLOAD_T)
    return sent_bytes >= curl.getinfo(pycurl.CONTENT_LENGTH_UPLOAD_T)


def was_sent(curl: pycurl.Curl) -> bool:
    """Returns whether any byte of the request may have left this host."""
    return curl.getinfo(pycurl.REQUEST_SIZE) > 0
