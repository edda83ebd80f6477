"""Replies of endpoints whose end is in doubt are no success."""

import loop_helpers as lh
import pytest

from chervilarch import clocks, exchanges, http_client, transfers
from chervilarch import loop as loops

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


@pytest.fixture
def gateway_call():
    loop = loops.Loop(clocks.SystemClock())
    client = http_client.Client(loop)

    def call(exchange):
        fut = client.call(exchange)
        lh.run_until(loop, fut.done)
        return fut.result()

    yield call
    client.close()
    loop.close()


@pytest.fixture
def router_call():
    thread = transfers.TransferThread()
    thread.start()
    yield thread.send_and_wait
    thread.stop()


@pytest.fixture(params=["gateway_call", "router_call"])
def call(request):
    return request.getfixturevalue(request.param)


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
