"""Requests whose end is in doubt are refused by both daemons.

A proxy in front that reads such a head another way would take part of one
caller's request for the next one: request smuggling.
"""

import json
import socket

import loop_helpers as lh
import pytest
from test_http_server import Handler

from bench import fleet, scenario
from chervilarch import http_server

_BODY = b'{"input": "x"}'
_HIDDEN = b"GET /hidden HTTP/1.1\r\nHost: a\r\n\r\n"
_LENGTH = b"Content-Length: %d\r\n" % len(_BODY)


def request(fields, body=_BODY, line_end=b"\r\n", version=b"1.1"):
    """Returns a request's bytes with some more header lines."""
    lines = [
        b"POST /v1/pipelines/encode/runs HTTP/" + version,
        b"Host: a",
        b"Authorization: Bearer load-key",
    ]
    head = b"".join(line + line_end for line in lines)
    return head + fields + line_end + body


CHUNKED = b"Transfer-Encoding: chunked\r\n"
# Name, bytes of the request.
AMBIGUOUS = {
    "two lengths": request(
        b"Content-Length: %d\r\n" % (len(_BODY) + len(_HIDDEN)) + _LENGTH,
        _BODY + _HIDDEN,
    ),
    "a list of lengths": request(
        b"Content-Length: %d, 4\r\n" % len(_BODY), _BODY + _HIDDEN
    ),
    "a length beside chunked": request(
        b"Content-Length: 4\r\n" + CHUNKED, b"0\r\n\r\n" + _HIDDEN
    ),
    "chunked before a length": request(
        CHUNKED + b"Content-Length: 4\r\n", b"0\r\n\r\n" + _HIDDEN
    ),
    "a signed length": request(
        b"Content-Length: +%d\r\n" % len(_BODY), _BODY + _HIDDEN
    ),
    "a space before the colon": request(
        b"Content-Length : %d\r\n" % len(_BODY), _BODY + _HIDDEN
    ),
    "an unknown coding": request(
        b"Transfer-Encoding: gzip\r\n", _BODY + _HIDDEN
    ),
    "two codings": request(
        b"Transfer-Encoding: gzip, chunked\r\n", b"0\r\n\r\n" + _HIDDEN
    ),
    "chunked in HTTP/1.0": request(
        CHUNKED, b"0\r\n\r\n" + _HIDDEN, version=b"1.0"
    ),
    "bare line feeds": request(
        b"Content-Length: %d\n" % len(_BODY), _BODY + _HIDDEN, b"\n"
    ),
    "one bare line feed": request(
        b"X-A: 1\nContent-Length: %d\r\n" % len(_BODY), _BODY + _HIDDEN
    ),
    "a folded header": request(
        b"X-A: 1\r\n Content-Length: 0\r\n" + _LENGTH, _BODY + _HIDDEN
    ),
    "a carriage return in a value": request(
        b"X-A: 1\rContent-Length: 0\r\n" + _LENGTH, _BODY + _HIDDEN
    ),
    "a zero byte in a value": request(
        b"X-A: 1\x00\r\n" + _LENGTH, _BODY + _HIDDEN
    ),
    "a chunk size with a sign": request(CHUNKED, b"+0\r\n\r\n" + _HIDDEN),
    "no host": (b"GET /healthz HTTP/1.1\r\n\r\n" + _HIDDEN),
}
SOUND = {
    "a length": request(_LENGTH),
    "chunks": request(CHUNKED, b"e\r\n" + _BODY + b"\r\n0\r\n\r\n"),
    "the same length twice": request(_LENGTH + _LENGTH),
}


class AnsweringHandler(Handler):
    """Answers each request at once."""

    def begin(self, req, responder):
        self.begun.append((req, responder))
        responder.send(200, [], b"served")
        return lambda: None


@pytest.fixture
def gateway():
    """The server of the gateway's callers; returns an exchange of bytes."""
    loop, _ = lh.new_loop()
    server = http_server.Server(loop, "127.0.0.1:0", AnsweringHandler())

    def exchange(data, until):
        conn = lh.connect(server.port)
        conn.sendall(data)
        return lh.receive(loop, conn, until).removesuffix(b"<EOF>")

    yield exchange
    server.stop_accepting()
    loop.close()


@pytest.fixture(scope="module")
def running_router():
    with fleet.Fleet(scenario.specs(5), ["a"], 1) as running_fleet:
        scenario.start(running_fleet, deadline_s=120)
        yield running_fleet.routers[0]


@pytest.fixture
def router(running_router):
    """A router's process; returns an exchange of bytes."""
    host, port = running_router.address.split(":")

    def exchange(data, until):
        received = b""
        with socket.create_connection((host, int(port)), lh.TIMEOUT_S) as conn:
            conn.sendall(data)
            try:
                while not until(received):
                    chunk = conn.recv(65536)
                    received += chunk
                    if not chunk:
                        received += b"<EOF>"
                        break
            except ConnectionResetError:
                received += b"<EOF>"
        assert until(received)
        return received.removesuffix(b"<EOF>")

    return exchange


@pytest.fixture(params=["gateway", "router"])
def exchange(request):
    return request.getfixturevalue(request.param)


def is_closed(data):
    return data.endswith(b"<EOF>")


@pytest.mark.parametrize("name", AMBIGUOUS)
def test_a_request_whose_end_is_in_doubt_ends_the_connection(exchange, name):
    received = exchange(AMBIGUOUS[name], is_closed)
    assert received.count(b"HTTP/1.1 ") == 1
    status = int(received.split(b" ")[1])
    assert status in (400, 501)


@pytest.mark.parametrize("name", SOUND)
def test_a_sound_request_keeps_the_connection(exchange, name):
    both = SOUND[name] + SOUND[name].replace(b"Host: a", b"Host: b")
    received = exchange(
        both, lambda data: is_closed(data) or data.count(b"HTTP/1.1 200") == 2
    )
    assert received.count(b"HTTP/1.1 200") == 2


def test_the_router_explains_a_refused_head(router):
    received = router(AMBIGUOUS["two lengths"], is_closed)
    head, _, body = received.partition(b"\r\n\r\n")
    assert b"application/problem+json" in head
    assert json.loads(body)["remedy"]


def test_the_router_refuses_a_body_nested_too_deeply(router):
    body = b"[" * 200_000
    data = request(b"Content-Length: %d\r\n" % len(body), body)
    received = router(
        data + SOUND["a length"], lambda data: b"\r\n\r\n" in data
    )
    assert received.startswith(b"HTTP/1.1 400")
    assert b"application/problem+json" in received
