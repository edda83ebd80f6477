"""Ways on which a request or its connection ends."""

import errno
import socket

import loop_helpers as lh
import pytest
from gateway_world import KEY, answer, route_document, status

from chervilarch import http_server, write_buffer


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


@pytest.fixture
def bounded():
    """A server that holds two connections at most."""
    loop, clock = lh.new_loop()
    handler = Handler()
    server = http_server.Server(loop, "127.0.0.1:0", handler, max_connections=2)
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


@pytest.mark.parametrize("extra", ["", "Connection: close\r\n"])
def test_a_refusal_of_a_head_request_keeps_its_connection(serving, extra):
    loop, _, handler, _ = serving
    conn = begin(serving, get(extra=extra).replace(b"GET", b"HEAD"))
    handler.begun[0][1].send(503, [], b"refused")
    if not extra:
        conn.sendall(get("/x/2"))
        lh.run_until(loop, lambda: len(handler.begun) == 2)
        handler.begun[1][1].send(200, [], b"two")
    until = b"<EOF>" if extra else b"two"
    received = lh.receive(loop, conn, lambda data: until in data)
    assert received.startswith(b"HTTP/1.1 503")
    assert b"content-length: 7\r\n" in received.lower()
    assert b"refused" not in received
    assert handler.begun[0][1].ended


@pytest.mark.parametrize("path", ["/nowhere", "/x/1"])
def test_a_head_request_is_answered(world, path):
    world.endpoint("e1", lh.answer_with(answer(body=b"")))
    world.start(route_document())
    received = world.fetch(KEY, method="HEAD", path=path, body=b"")
    assert status(received) == (200 if path == "/x/1" else 404)
    assert received.endswith(b"\r\n\r\n")
    assert not world.serving_state.in_flight


@pytest.mark.parametrize("code", [204, 304])
def test_bytes_after_an_answer_without_a_body_are_dropped(world, code):
    world.endpoint("e1", lh.answer_with(answer(code, b"stray")))
    world.start(route_document(max_attempts=1))
    received = world.fetch(KEY)
    assert status(received) == code
    assert b"stray" not in received


def test_a_request_that_offers_another_protocol_is_answered(serving):
    loop, _, handler, _ = serving
    extra = "Upgrade: h2c\r\nConnection: Upgrade, HTTP2-Settings\r\n"
    conn = begin(serving, get(extra=extra))
    handler.begun[0][1].send(200, [], b"one")
    conn.sendall(get("/x/2", extra))
    lh.run_until(loop, lambda: len(handler.begun) == 2)
    handler.begun[1][1].send(200, [], b"two")
    lh.receive(loop, conn, lambda data: data.endswith(b"two"))


def serve(serving, path):
    """Sends a request on a new connection and waits until it has begun."""
    loop, _, handler, server = serving
    count = len(handler.begun)
    conn = lh.connect(server.port)
    conn.sendall(get(path))
    lh.run_until(loop, lambda: len(handler.begun) > count)
    return conn


def finish(serving, conn, number):
    """Answers a request; its connection is idle from then on."""
    loop, _, handler, _ = serving
    handler.begun[number][1].send(200, [], b"end")
    lh.receive(loop, conn, lambda data: data.endswith(b"end"))


def test_a_full_server_closes_the_longest_idle_connections(
    bounded, monkeypatch
):
    monkeypatch.setattr(http_server, "_MAX_CLOSED_FOR_ROOM", 1)
    loop, clock, handler, server = bounded
    first = serve(bounded, "/x/1")
    second = serve(bounded, "/x/2")
    finish(bounded, second, 1)
    clock.advance(1.0)
    finish(bounded, first, 0)
    third = serve(bounded, "/x/3")
    assert lh.receive(loop, second, lambda data: data) == b"<EOF>"
    lh.run_pending(loop, 100)
    assert server.connection_count() == 2
    first.sendall(get("/x/4"))
    lh.run_until(loop, lambda: len(handler.begun) == 4)
    finish(bounded, third, 2)


def test_a_full_server_cuts_no_request_for_a_new_connection(bounded, caplog):
    loop, clock, handler, server = bounded
    first = serve(bounded, "/x/1")
    second = serve(bounded, "/x/2")
    third = lh.connect(server.port)
    third.sendall(get("/x/3"))
    with caplog.at_level("INFO"):
        lh.run_pending(loop, 100)
    assert caplog.messages.count("connections at the bound") == 1
    lh.advance(loop, clock, 1.0)
    assert len(handler.begun) == 2 and not handler.disconnected
    finish(bounded, first, 0)
    lh.advance_until(loop, clock, lambda: len(handler.begun) == 3)
    finish(bounded, second, 1)
    finish(bounded, third, 2)


def test_a_listener_without_descriptors_does_not_spin(serving, monkeypatch):
    loop, clock, handler, server = serving
    listener = server._listener
    calls = []

    class Listener:
        fileno = listener.fileno

        def accept(self):
            calls.append(1)
            raise OSError(errno.EMFILE, "no descriptors")

    monkeypatch.setattr(server, "_listener", Listener())
    conn = lh.connect(server.port)
    conn.sendall(get())
    lh.run_pending(loop, 100)
    assert len(calls) == 1
    monkeypatch.setattr(server, "_listener", listener)
    lh.advance_until(loop, clock, lambda: handler.begun)


def refuse_body(serving):
    """Has a request refused by the length that it names."""
    loop, _, _, server = serving
    length = http_server.DEFAULT_BODY_BYTES + 1
    head = f"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: {length}\r\n\r\n"
    conn = lh.connect(server.port)
    conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    conn.sendall(head.encode())
    lh.run_until(loop, server.connection_count)
    lh.run_pending(loop)
    return conn


def test_a_refusal_reaches_a_caller_that_sends_its_body_first(serving):
    loop, clock, _, server = serving
    conn = refuse_body(serving)
    for _ in range(4):
        conn.sendall(b"a" * 1000)
        lh.advance(loop, clock, 0.9)
        # To close it now would reset it, and drop the answer on its way.
        assert server.connection_count() == 1
    received = lh.receive(loop, conn, lambda data: b"<EOF>" in data)
    assert received.startswith(b"HTTP/1.1 413")
    clock.advance(1.0)
    lh.run_until(loop, lambda: not server.connection_count())


def test_a_refused_caller_that_never_stops_is_disconnected(serving):
    loop, clock, _, server = serving
    conn = refuse_body(serving)
    for _ in range(10):
        if server.connection_count():
            conn.sendall(b"a" * 1000)
            lh.advance(loop, clock, 0.6)
    assert not server.connection_count()


def test_a_reset_that_shows_as_the_answer_is_sent_ends_its_request_once(
    world, monkeypatch, caplog
):
    world.endpoint("e1", lh.answer_with(answer()))
    world.start(route_document())
    assert status(world.fetch(KEY)) == 200

    def fail(buffer, sock):
        raise ConnectionResetError

    monkeypatch.setattr(write_buffer.WriteBuffer, "write_to", fail)
    conn = world.send(KEY)
    lh.run_until(world.loop, lambda: not world.server.connection_count())
    lh.run_pending(world.loop)
    conn.close()
    assert world.serving_state.in_flight == 0
    assert "answer not sent" not in caplog.messages


def test_a_caller_that_reads_steadily_and_slowly_gets_its_whole_answer(serving):
    loop, clock, handler, server = serving
    conn = serve(serving, "/x/1")
    body = b"x" * (16 << 20)
    handler.begun[0][1].send(200, [], body)
    lh.run_pending(loop, 50)
    received = 0
    # Slower than a third of the socket's buffer in the time-out.
    for _ in range(2 * round(http_server.UNREAD_TIMEOUT_S)):
        received += len(conn.recv(32 * 1024))
        lh.advance(loop, clock, 1.0)
    assert server.connection_count() == 1
    rest = lh.receive(loop, conn, lambda data: received + len(data) > len(body))
    assert rest.endswith(b"x")
