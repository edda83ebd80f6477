"""Replies of endpoints whose end is in doubt are no success."""

import socket
import struct

import loop_helpers as lh
import pytest

from chervilarch import exchanges

_CHUNKED = b"Transfer-Encoding: chunked\r\n"
# Name, header lines and body.
AMBIGUOUS = {
    "two lengths": (b"Content-Length: 9\r\nContent-Length: 2\r\n", b"ok"),
    "a shorter length first": (
        b"Content-Length: 2\r\nContent-Length: 9\r\n",
        b"ok" + b"unasked",
    ),
    "a list of lengths": (b"Content-Length: 2, 9\r\n", b"okunasked"),
    "a length beside chunked": (
        b"Content-Length: 2\r\n" + _CHUNKED,
        b"2\r\nok\r\n0\r\n\r\n",
    ),
    "chunked before a length": (
        _CHUNKED + b"Content-Length: 2\r\n",
        b"2\r\nok\r\n0\r\n\r\n",
    ),
    "a signed length": (b"Content-Length: +2\r\n", b"ok"),
    "a negative length": (b"Content-Length: -2\r\n", b"ok"),
    "a space before the colon": (b"Content-Length : 2\r\n", b"ok"),
    "a length that isn't a number": (b"Content-Length: two\r\n", b"ok"),
}


_OK = b"HTTP/1.1 200 OK\r\n"
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
# Bytes after which the server closes the connection.
CUT_HEADS = {
    "after the status line": _OK,
    "within a header": _OK + b"Content-Len",
    "after a header": _OK + b"Content-Length: 10\r\n",
    "after a length of 0": _OK + b"Content-Length: 0\r\n",
    "after chunked": _OK + _CHUNKED,
    "after a refusal": b"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n",
    "within the empty line": _OK + b"Content-Length: 0\r\n\r",
    "after a space": _OK + b"Content-Length: 0\r\n ",
    "after an interim head": _CONTINUE,
    "within an interim head": b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n",
    "within the head after an interim one": _CONTINUE + _OK,
    "after two interim heads": 2 * _CONTINUE,
    "within the status line": b"HTTP/1.1 20",
}


# RFC 9110, section 15: a status is a number of three digits from 100 to 599.
INVALID_STATUS_LINES = [
    *(
        f"HTTP/1.1 {status} X".encode()
        for status in (
            *("000", "099", "600", "700", "999", "1000", "2000", "20", "200x"),
            *("-200", "+200", "2 00", "x", ""),
        )
    ),
    b"HTTP/2 200 OK",
    b"HTTP/3.1 200 OK",
    b"HTTP/1.2 200 OK",
    b"HTTP/1.1200 OK",
]


@pytest.fixture
def server_of():
    """Returns a server that sends one reply on each request."""
    servers = []

    def create(fields, body):
        def serve(conn):
            while lh.read_request(conn):
                conn.sendall(b"HTTP/1.1 200 OK\r\n" + fields + b"\r\n" + body)

        servers.append(lh.RawServer(serve))
        return servers[-1]

    yield create
    for server in servers:
        server.close()


class EarlyServer:
    """Answers before it has read the request, which it reads up to a point.

    Args:
        data: bytes of the answer.
        end: "reset", "closed" or "half closed", which goes on reading; or
            "kept", which reads the whole request and closes then.
    """

    def __init__(self, data, end):
        self._data = data
        self._end = end
        self._server = lh.RawServer(self._serve)
        self.address = self._server.address
        self.close = self._server.close

    def _serve(self, conn):
        conn.recv(1024)
        conn.sendall(self._data)
        if self._end == "reset":
            linger = struct.pack("ii", 1, 0)
            conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        if self._end == "half closed":
            conn.shutdown(socket.SHUT_WR)
        if self._end in ("half closed", "kept"):
            tail = b""
            while tail != b"end" and (got := conn.recv(2**20)):
                tail = (tail + got)[-3:]


@pytest.fixture
def early_server_of():
    """Returns an `EarlyServer`."""
    servers = []

    def create(data, end):
        servers.append(EarlyServer(data, end))
        return servers[-1]

    yield create
    for server in servers:
        server.close()


# More than the sockets' buffers hold.
LONG_BODY = b"u" * 16 * 2**20 + b"end"
UNFRAMED = _OK + b"\r\npart"
FRAMED = _OK + b"Content-Length: 4\r\n\r\npart"


def upload(server):
    return exchanges.Exchange(
        "POST",
        f"http://{server.address}/x",
        LONG_BODY,
        timeout_s=lh.TIMEOUT_S,
        fresh=True,
    )


def exchange(server):
    return exchanges.Exchange(
        "GET", f"http://{server.address}/x", timeout_s=2.0
    )


@pytest.mark.parametrize("name", AMBIGUOUS)
def test_a_reply_whose_end_is_in_doubt_is_a_failure(call, server_of, name):
    server = server_of(*AMBIGUOUS[name])
    for count in (1, 2):
        result = call(exchange(server))
        assert isinstance(result, exchanges.TransferFailure)
        assert result.sent
        # Its connection isn't used again.
        assert server.connections == count


@pytest.mark.parametrize("name", CUT_HEADS)
def test_a_reply_that_ends_within_its_head_is_a_failure(
    call, closing_server_of, name
):
    result = call(exchange(closing_server_of(CUT_HEADS[name])))
    assert isinstance(result, exchanges.TransferFailure)
    assert result.kind is exchanges.FailureKind.BROKEN
    # It may have run.
    assert result.sent


@pytest.mark.parametrize("name", CUT_HEADS)
def test_a_stream_that_ends_within_its_head_is_a_failure(
    stream, closing_server_of, name
):
    status, chunks, result = stream(
        exchange(closing_server_of(CUT_HEADS[name]))
    )
    assert (status, chunks) == (0, b"")
    assert isinstance(result, exchanges.TransferFailure)
    assert result.sent


# Guards against odd bytes of a server in trouble being taken for an answer.
@pytest.mark.parametrize("interim", [b"", _CONTINUE])
@pytest.mark.parametrize("line", INVALID_STATUS_LINES)
def test_a_reply_with_an_invalid_status_is_a_failure(
    call, closing_server_of, line, interim
):
    rest = b"\r\nContent-Length: 2\r\n\r\nok"
    result = call(exchange(closing_server_of(interim + line + rest)))
    assert isinstance(result, exchanges.TransferFailure)
    assert result.kind is exchanges.FailureKind.BROKEN
    assert result.sent


@pytest.mark.parametrize("line", INVALID_STATUS_LINES)
def test_a_stream_with_an_invalid_status_is_a_failure(
    stream, closing_server_of, line
):
    rest = b"\r\nContent-Length: 2\r\n\r\nok"
    status, chunks, result = stream(exchange(closing_server_of(line + rest)))
    assert (status, chunks) == (0, b"")
    assert isinstance(result, exchanges.TransferFailure)
    assert result.sent


@pytest.mark.parametrize(
    ("line", "status"),
    [
        (b"HTTP/1.1 200", 200),
        (b"HTTP/1.1 200 ", 200),
        (b"HTTP/1.0 201 Created", 201),
        (b"HTTP/1.1 418 600 cups", 418),
        (b"HTTP/1.1 599 X", 599),
    ],
)
def test_a_valid_status_line_is_read(call, closing_server_of, line, status):
    rest = b"\r\nContent-Length: 2\r\n\r\nok"
    result = call(exchange(closing_server_of(line + rest)))
    assert (result.status, result.body) == (status, b"ok")


# Guards against a part of an answer being taken for the answer, which only the
# end of the connection ends and which a lost server has sent early.
@pytest.mark.parametrize("end", ["reset", "closed", "half closed"])
@pytest.mark.parametrize("line", [_OK, b"HTTP/1.0 201 Created\r\n"])
def test_an_early_success_without_length_is_cut_with_the_upload(
    call, early_server_of, line, end
):
    result = call(upload(early_server_of(line + b"\r\npart", end)))
    assert isinstance(result, exchanges.TransferFailure)
    assert result.kind is exchanges.FailureKind.BROKEN
    assert result.sent


@pytest.mark.parametrize("end", ["reset", "closed", "half closed"])
def test_an_early_stream_without_length_is_cut_with_the_upload(
    stream, early_server_of, end
):
    _, _, result = stream(upload(early_server_of(UNFRAMED, end)))
    assert isinstance(result, exchanges.TransferFailure)
    assert result.sent


@pytest.mark.parametrize(
    ("data", "end", "status"),
    [
        (UNFRAMED, "kept", 200),
        (FRAMED, "kept", 200),
        (FRAMED, "half closed", 200),
        (_OK + _CHUNKED + b"\r\n4\r\npart\r\n0\r\n\r\n", "kept", 200),
        # Whether a refusal or an error is whole doesn't matter.
        (b"HTTP/1.1 503 Busy\r\n\r\npart", "half closed", 503),
    ],
)
def test_an_early_answer_that_has_its_end_is_complete(
    call, early_server_of, data, end, status
):
    result = call(upload(early_server_of(data, end)))
    assert (result.status, result.body) == (status, b"part")


def test_interim_heads_and_trailers_are_no_part_of_the_head(
    call, closing_server_of
):
    server = closing_server_of(
        b"HTTP/1.1 103 Early Hints\r\nX-A: early\r\n\r\n"
        + _OK
        + _CHUNKED
        + b"X-B: head\r\n\r\n2\r\nok\r\n0\r\n"
        + b"X-B: trailer\r\nX-C: trailer\r\nContent-Length: 9\r\n\r\n"
    )
    result = call(exchange(server))
    assert (result.status, result.body) == (200, b"ok")
    assert result.headers == {"transfer-encoding": "chunked", "x-b": "head"}


@pytest.mark.parametrize("trailer", [b"", b"X-C: t\r\n", b"X-C: t"])
def test_a_reply_that_ends_within_its_trailers_is_a_failure(
    call, closing_server_of, trailer
):
    body = b"2\r\nok\r\n0\r\n" + trailer
    result = call(exchange(closing_server_of(_OK + _CHUNKED + b"\r\n" + body)))
    assert isinstance(result, exchanges.TransferFailure)


@pytest.mark.parametrize(
    ("fields", "body"),
    [
        (b"Content-Length: 2\r\n", b"ok"),
        (b"Content-Length: 2\r\nContent-Length: 2\r\n", b"ok"),
        (_CHUNKED, b"2\r\nok\r\n0\r\n\r\n"),
    ],
)
def test_a_sound_reply_keeps_its_connection(call, server_of, fields, body):
    server = server_of(fields, body)
    for _ in range(2):
        assert call(exchange(server)).body == b"ok"
    assert server.connections == 1
