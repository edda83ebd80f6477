"""Replies with a line that continues the one before it are failures.

libcurl joins such a line to the one before it and shows no trace of it.
"""

import time

import loop_helpers as lh
import pytest

from chervilarch import clocks, exchanges, http_client, reply_head
from chervilarch import loop as loops

_OK = b"HTTP/1.1 200 OK\r\n"
_LENGTH = b"Content-Length: 2\r\n"
_STAMP = b"Response-Stamp: s1\r\n"
_FOLDED = [b" X-Odd: v\r\n", b"\tX-Odd: v\r\n", b" \r\n", b"  v\r\n"]
_CUT_PAUSE_S = 0.002
_MANY_LINES = 250
_SHORT_BODY = b"u" * http_client.MAX_DEFERRED_BODY_BYTES
_LONG_BODY = _SHORT_BODY + b"u"


def head_with(line):
    return _OK + _LENGTH + _STAMP + line + b"\r\n"


_PLACES = {
    "last": head_with,
    "in the middle": lambda line: (
        _OK + _STAMP + line + b"X: y\r\n" + _LENGTH + b"\r\n"
    ),
    "first": lambda line: _OK + line + _LENGTH + b"\r\n",
    "interim head": lambda line: (
        b"HTTP/1.1 103 X\r\nX: y\r\n" + line + b"\r\n" + head_with(b"")
    ),
    "between bare line feeds": lambda line: head_with(line).replace(
        b"\r\n", b"\n"
    ),
}


def send_in_parts(conn, data, size):
    for start in range(0, len(data), size):
        conn.sendall(data[start : start + size])
        time.sleep(_CUT_PAUSE_S)


@pytest.fixture
def server_of():
    """Returns a server that passes each request's connection to a function."""
    servers = []

    def create(send):
        def serve(conn):
            while lh.read_request(conn):
                send(conn)

        servers.append(lh.RawServer(serve))
        return servers[-1]

    yield create
    for server in servers:
        server.close()


def exchange(server, **changes):
    return exchanges.Exchange(
        "GET", f"http://{server.address}/x", timeout_s=60.0
    )._replace(**changes)


def upload(server, body):
    return exchange(server, method="POST", body=body, fresh=True)


def assert_is_broken(result):
    assert isinstance(result, exchanges.TransferFailure), result
    assert result.kind is exchanges.FailureKind.BROKEN
    assert result.sent


@pytest.mark.parametrize("line", _FOLDED)
@pytest.mark.parametrize("place", _PLACES)
def test_a_reply_with_a_folded_line_is_a_failure(
    gateway_call, server_of, place, line
):
    data = _PLACES[place](line) + b"ok"
    server = server_of(lambda conn: conn.sendall(data))
    for count in (1, 2):
        assert_is_broken(gateway_call(exchange(server)))
        # Its connection isn't used again.
        assert server.connections == count


@pytest.mark.parametrize("place", _PLACES)
def test_a_stream_with_a_folded_line_is_a_failure(
    gateway_stream, server_of, place
):
    data = _PLACES[place](_FOLDED[0]) + b"ok"
    server = server_of(lambda conn: conn.sendall(data))
    status, chunks, result = gateway_stream(exchange(server))
    assert (status, chunks) == (0, b"")
    assert_is_broken(result)


@pytest.mark.parametrize("place", _PLACES)
def test_a_folded_line_is_found_wherever_packets_end(
    gateway_call, server_of, place
):
    data = _PLACES[place](_FOLDED[0]) + b"ok"
    cut_at = []

    def send(conn):
        conn.sendall(data[: cut_at[0]])
        time.sleep(_CUT_PAUSE_S)
        conn.sendall(data[cut_at[0] :])

    server = server_of(send)
    for position in range(1, len(data)):
        cut_at[:] = [position]
        assert_is_broken(gateway_call(exchange(server)))


def test_a_folded_line_is_found_after_a_short_upload(gateway_call, server_of):
    data = head_with(_FOLDED[0]) + b"ok"
    server = server_of(lambda conn: conn.sendall(data))
    assert_is_broken(gateway_call(upload(server, _SHORT_BODY)))


def test_a_folded_line_is_found_on_a_connection_in_use(gateway_call, server_of):
    replies = [head_with(b"") + b"ok"] * 2 + [head_with(_FOLDED[0]) + b"ok"]
    server = server_of(lambda conn: conn.sendall(replies.pop(0)))
    for _ in range(2):
        assert gateway_call(exchange(server)).body == b"ok"
    assert_is_broken(gateway_call(exchange(server)))
    assert server.connections == 1


def test_a_folded_line_is_found_if_it_comes_before_the_request(gateway_call):
    def serve(conn):
        conn.sendall(head_with(_FOLDED[0]) + b"ok")
        lh.read_request(conn)

    server = lh.RawServer(serve)
    try:
        for _ in range(20):
            assert_is_broken(gateway_call(exchange(server, fresh=True)))
    finally:
        server.close()


# libcurl reads the replies to long requests while it sends, so that no early
# answer is lost; it joins their folded lines.
def test_a_folded_line_is_found_after_a_long_request(gateway_call, server_of):
    data = head_with(_FOLDED[0]) + b"ok"
    server = server_of(lambda conn: conn.sendall(data))
    assert_is_broken(gateway_call(upload(server, _LONG_BODY)))


# Failed while all replies were deferred: in half of the tries "Send failure".
def test_replies_to_long_requests_are_not_deferred(server_of):
    loop = loops.Loop(clocks.SystemClock())
    client = http_client.Client(loop)
    received = []
    server = server_of(lambda conn: received.append(1) or conn.recv(1))
    short = client.start(upload(server, _SHORT_BODY), received.append)
    long = client.start(upload(server, _LONG_BODY), received.append)
    lh.run_until(loop, lambda: len(received) == 2)
    assert client.deferred.is_deferred(short.curl)
    assert not client.deferred.is_deferred(long.curl)
    client.close()
    loop.close()


# The router passes no field of a reply on, and doesn't defer replies.
def test_the_router_refuses_folded_lines(router_call, server_of):
    for place in _PLACES:
        data = _PLACES[place](_FOLDED[0]) + b"ok"
        server = server_of(lambda conn, data=data: conn.sendall(data))
        assert_is_broken(router_call(exchange(server)))


# Guards against heads that wait in the socket for ever.
@pytest.mark.parametrize("size", [1, 2, 7, 10_000])
def test_a_sound_head_in_parts_is_read(call, server_of, size):
    data = b"HTTP/1.1 103 X\r\nX: y\r\n\r\n" + head_with(b"X: y\r\n") + b"ok"
    server = server_of(lambda conn: send_in_parts(conn, data, size))
    for _ in range(2):
        result = call(exchange(server))
        assert (result.status, result.body) == (200, b"ok")
        assert list(result.headers) == ["content-length", "response-stamp", "x"]
    assert server.connections == 1


@pytest.mark.parametrize("size", [1000, 100_000])
def test_a_head_just_below_its_bound_is_read(call, server_of, size):
    room = reply_head.MAX_LINE_BYTES - len(head_with(b""))
    lines = b"X: %s\r\n" % (b"y" * (room // _MANY_LINES - 5)) * _MANY_LINES
    data = head_with(lines) + b"ok"
    server = server_of(lambda conn: send_in_parts(conn, data, size))
    assert call(exchange(server)).body == b"ok"


@pytest.mark.parametrize(
    "data",
    [
        b"junk",
        b"HTTQ",
        b"HTTP/1.1 999 X\r\n",
        b"HTTP/1.1 103 X\r\n\r\njunk",
        _OK + b"X Odd: v\r\n",
        _OK + _STAMP + _FOLDED[0],
        _OK + b"X: y\r\n" * 300,
        _OK + b"X: " + b"y" * 70_000,
    ],
)
def test_a_bad_head_fails_before_its_end_has_come(
    gateway_call, server_of, data
):
    def send(conn):
        conn.sendall(data)
        conn.recv(1)

    result = gateway_call(exchange(server_of(send)))
    assert isinstance(result, exchanges.TransferFailure)
    assert result.kind is not exchanges.FailureKind.TIMED_OUT
    assert result.sent


@pytest.mark.parametrize("data", [b"", b"HT", _OK, _OK + _STAMP + b"X:"])
def test_a_head_that_does_not_go_on_times_out(call, server_of, data):
    def send(conn):
        conn.sendall(data)
        conn.recv(1)

    result = call(exchange(server_of(send), timeout_s=0.1))
    assert result.kind is exchanges.FailureKind.TIMED_OUT and result.sent


def test_nothing_is_kept_of_deferred_replies_that_have_ended(server_of):
    loop = loops.Loop(clocks.SystemClock())
    client = http_client.Client(loop)
    silent = server_of(lambda conn: conn.recv(1))
    closing = server_of(lambda conn: conn.close())
    answering = server_of(lambda conn: conn.sendall(head_with(b"") + b"ok"))
    results = []
    for count in range(30):
        late = exchange(silent, timeout_s=0.05, fresh=True)
        client.start(late, results.append)
        client.start(exchange(closing, fresh=True), results.append)
        client.start(exchange(answering, fresh=True), results.append)
        client.start(exchange(answering), results.append)
        cancelled = client.start(exchange(silent), results.append)
        lh.run_until(loop, lambda n=count: len(results) > 4 * n)
        cancelled.cancel()
    lh.run_until(loop, lambda: len(results) == 4 * 30)
    replies = [r for r in results if isinstance(r, exchanges.Reply)]
    assert [reply.body for reply in replies] == [b"ok"] * 60
    assert not client.deferred._fds and not client.deferred._by_fd
    client.close()
    loop.close()
