"""Ways on which a request or its connection ends."""

import socket

import loop_helpers as lh
import pytest

from chervilarch import http_server


class Handler:
    """Records requests, which the test answers itself."""

    def __init__(self):
        self.begun = []
        self.disconnected = []

    def limits(self):
        return http_server.Limits()

    def is_closing(self):
        return False

    def begin(self, req, responder):
        self.begun.append((req, responder))
        return lambda: self.disconnected.append(req)


@pytest.fixture
def serving():
    loop, clock = lh.new_loop()
    handler = Handler()
    server = http_server.Server(loop, "127.0.0.1:0", handler)
    yield loop, clock, handler, server
    server.stop_accepting()
    loop.close()


def get(path="/x/1", extra=""):
    return f"GET {path} HTTP/1.1\r\nHost: a\r\n{extra}\r\n".encode()


def begin(serving, data=None):
    loop, _, handler, server = serving
    conn = lh.connect(server.port)
    conn.sendall(get() if data is None else data)
    lh.run_until(loop, lambda: handler.begun)
    return conn


def test_a_finished_answer_reaches_a_caller_that_sends_no_more(serving):
    loop, _, handler, server = serving
    conn = begin(serving)
    body = b"a" * (8 * 1024 * 1024)
    handler.begun[0][1].send(200, [], body)
    lh.run_pending(loop)
    conn.shutdown(socket.SHUT_WR)
    lh.run_pending(loop)
    received = lh.receive(loop, conn, lambda data: b"<EOF>" in data)
    assert received.removesuffix(b"<EOF>").endswith(body)
    lh.run_until(loop, lambda: not server.connection_count())


def test_a_finished_answer_is_dropped_once_its_caller_resets(serving):
    loop, _, handler, server = serving
    conn = begin(serving)
    handler.begun[0][1].send(200, [], b"a" * (8 * 1024 * 1024))
    lh.run_pending(loop)
    conn.close()
    lh.run_until(loop, lambda: not server.connection_count())
