"""Tests of the server that runs a WSGI application on threads."""

import socket
import threading
import types

import loop_helpers as lh
import pytest

from chervilarch import byte_room, clocks, http_server, wsgi_server
from chervilarch import loop as loops

_GET = b"GET /%s HTTP/1.1\r\nHost: a\r\n\r\n"


class World:
    """A running server whose application a test supplies."""

    def __init__(self, body_room=None):
        self.app = None
        self.is_draining = threading.Event()
        self.server = wsgi_server.WsgiServer(
            loops.Loop(clocks.SystemClock()),
            "127.0.0.1:0",
            lambda environ, start: self.app(environ, start),
            4,
            http_server.Limits(),
            self.is_draining.is_set,
            lambda status, detail: http_server.Rejection([], detail.encode()),
            body_room=body_room,
        )
        self.server.start()

    def connect(self, path=b"x"):
        conn = socket.create_connection(
            ("127.0.0.1", self.server.port), lh.TIMEOUT_S
        )
        conn.sendall(_GET % path)
        return conn


def read_to_end(conn):
    data = b""
    while chunk := conn.recv(65536):
        data += chunk
    return data


@pytest.fixture
def world():
    running = World()
    yield running
    running.server.stop(0.0)


def test_the_environment_has_path_query_headers_and_body():
    req = http_server.Request(
        "POST",
        "/a%20b?c=1",
        [
            ("content-type", "text/plain"),
            ("x-a", "1"),
            ("x-a", "2"),
            ("x_a", "3"),
            ("transfer-encoding", "chunked"),
        ],
        b"body",
        0.0,
        "10.0.0.9",
    )
    environ = wsgi_server.build_environ(req)
    assert environ["PATH_INFO"] == "/a b"
    assert environ["QUERY_STRING"] == "c=1"
    assert environ["CONTENT_TYPE"] == "text/plain"
    assert environ["HTTP_X_A"] == "1,2"
    assert environ["CONTENT_LENGTH"] == "4"
    assert environ["wsgi.input"].read() == b"body"
    assert "HTTP_TRANSFER_ENCODING" not in environ


def test_an_application_that_fails_midway_ends_without_a_complete_body(world):
    def app(environ, start):
        write = start("200 OK", [])
        write(b"part")
        raise ValueError("a fault")

    world.app = app
    with world.connect() as conn:
        received = read_to_end(conn)
    assert b"part" in received
    # The last chunk is missing.
    assert not received.endswith(b"0\r\n\r\n")


def test_an_application_that_fails_at_once_gets_status_500(world):
    def app(environ, start):
        raise ValueError("a fault")

    world.app = app
    with world.connect() as conn:
        assert conn.recv(65536).startswith(b"HTTP/1.1 500")


def test_writing_fails_once_the_caller_has_disconnected(world):
    may_write, failed = threading.Event(), threading.Event()

    def app(environ, start):
        write = start("200 OK", [])
        write(b"begun")
        may_write.wait(lh.TIMEOUT_S)
        try:
            while True:
                write(b"more")
        except OSError:
            failed.set()
            raise

    world.app = app
    with world.connect() as conn:
        assert b"200" in conn.recv(65536)
    may_write.set()
    assert failed.wait(lh.TIMEOUT_S)


def test_a_slow_caller_pauses_the_application(world):
    chunk = b"a" * 65536
    total = 64 * 1024 * 1024
    written = []

    def app(environ, start):
        write = start("200 OK", [("Content-Length", str(total))])
        for _ in range(total // len(chunk)):
            write(chunk)
            written.append(len(chunk))
        return []

    world.app = app
    with world.connect() as conn:
        assert b"200" in conn.recv(64)
        received = 64
        while received < total // 2:
            received += len(conn.recv(65536))
        # The kernel's buffers and the server's hold the rest.
        assert sum(written) < total
        while data := conn.recv(65536):
            received += len(data)
            if received > total:
                break
    assert sum(written) == total


def post(world, size):
    address = ("127.0.0.1", world.server.port)
    conn = socket.create_connection(address, lh.TIMEOUT_S)
    conn.sendall(
        b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n" % size
    )
    conn.sendall(b"b" * size)
    return conn


def test_the_bodies_of_all_callers_share_a_bound_on_memory(monkeypatch):
    monkeypatch.setattr(http_server, "ROOM_WAIT_S", 0.05)
    kib = 1024
    room = byte_room.Room(byte_room.Bounds(300 * kib, 200 * kib, 100 * kib))
    world = World(room)
    begun, may_end = threading.Semaphore(0), threading.Event()

    def app(environ, start):
        if len(environ["wsgi.input"].read()) > 100 * kib:
            begun.release()
            may_end.wait(lh.TIMEOUT_S)
        start("200 OK", [("Content-Length", "6")])
        return [b"served"]

    world.app = app
    served = [post(world, 190 * kib) for _ in range(2)]
    for _ in range(2):
        assert begun.acquire(timeout=lh.TIMEOUT_S)
    with post(world, 190 * kib) as conn:
        assert conn.recv(65536).startswith(b"HTTP/1.1 503")
    with post(world, 10 * kib) as conn:
        assert conn.recv(65536).startswith(b"HTTP/1.1 200")
    assert room.size <= 300 * kib + 200 * kib
    may_end.set()
    for conn in served:
        with conn:
            assert conn.recv(65536).startswith(b"HTTP/1.1 200")
    world.server.stop(0.0)
    assert not room.size


def test_a_stop_answers_requests_that_were_just_accepted():
    world = World()
    begun, may_end = threading.Semaphore(0), threading.Event()

    def app(environ, start):
        begun.release()
        may_end.wait(lh.TIMEOUT_S)
        start("200 OK", [("Content-Length", "6")])
        return [b"served"]

    world.app = app
    # More than the threads that serve them, so that some wait.
    conns = [world.connect() for _ in range(12)]
    for _ in range(4):
        assert begun.acquire(timeout=lh.TIMEOUT_S)
    world.is_draining.set()
    stopper = threading.Thread(target=world.server.stop, args=(lh.TIMEOUT_S,))
    stopper.start()
    may_end.set()
    for conn in conns:
        with conn:
            received = read_to_end(conn)
        assert received.endswith(b"served")
        assert b"connection: close" in received.lower()
    stopper.join(lh.TIMEOUT_S)
    assert not stopper.is_alive()


def test_a_stop_cuts_off_no_request_however_long_it_takes():
    world = World()
    begun, may_end = threading.Event(), threading.Event()

    def app(environ, start):
        begun.set()
        may_end.wait(lh.TIMEOUT_S)
        start("200 OK", [("Content-Length", "6")])
        return [b"served"]

    world.app = app
    conn = world.connect()
    port = world.server.port
    half_sent = socket.create_connection(("127.0.0.1", port), lh.TIMEOUT_S)
    half_sent.sendall(b"GET / HTTP/1.1\r\nHost")
    assert begun.wait(lh.TIMEOUT_S)
    world.is_draining.set()
    # The time for callers to send and read is over at once.
    stopper = threading.Thread(target=world.server.stop, args=(0.0,))
    stopper.start()
    with half_sent:
        assert read_to_end(half_sent).startswith(b"HTTP/1.1 503")
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(("127.0.0.1", port), lh.TIMEOUT_S)
    may_end.set()
    with conn:
        assert read_to_end(conn).endswith(b"served")
    stopper.join(lh.TIMEOUT_S)
    assert not stopper.is_alive()


def test_a_response_that_breaks_the_protocol_ends_only_its_connection(world):
    def app(environ, start):
        is_faulty = environ["PATH_INFO"] == "/faulty"
        start("200 OK", [("Content-Length", "2" if is_faulty else "6")])
        return [b"served"]

    world.app = app
    with world.connect(b"faulty") as conn:
        assert b"served" not in read_to_end(conn)
    with world.connect() as conn:
        received = b""
        while not received.endswith(b"served"):
            received += conn.recv(65536)


def test_requests_at_the_end_of_the_grace_period_are_answered():
    world = World()
    begun, may_end = threading.Semaphore(0), threading.Event()

    def app(environ, start):
        write = start("200 OK", [])
        if environ["PATH_INFO"] == "/stream":
            write(b"part")
        begun.release()
        may_end.wait(lh.TIMEOUT_S)
        return [b"rest"]

    world.app = app
    waiting, stream = world.connect(b"waiting"), world.connect(b"stream")
    for _ in range(2):
        assert begun.acquire(timeout=lh.TIMEOUT_S)
    received = b""
    while b"part" not in received:
        received += stream.recv(65536)
    world.is_draining.set()
    stopper = threading.Thread(
        target=world.server.stop, args=(lh.TIMEOUT_S, 0.0)
    )
    stopper.start()
    with waiting:
        received = read_to_end(waiting)
    assert received.startswith(b"HTTP/1.1 500")
    assert b"connection: close" in received.lower()
    # A stream that has begun doesn't look complete.
    with stream:
        assert not read_to_end(stream).endswith(b"0\r\n\r\n")
    stopper.join(lh.TIMEOUT_S)
    assert not stopper.is_alive()
    may_end.set()


class SlowCaller:
    """A caller that takes bytes at certain times; stands in for an event."""

    def __init__(self, clock, taken_after_s, is_read=True):
        self._clock = clock
        self._began_at = clock.monotonic()
        self._taken = [self._began_at + after_s for after_s in taken_after_s]
        self._is_read = is_read

    def taken_at(self):
        now = self._clock.monotonic()
        return max([at for at in self._taken if at <= now], default=0.0)

    def wait(self, timeout_s):
        end = self._clock.monotonic() + timeout_s
        if self._is_read and self._taken[-1] <= end:
            self._clock.advance(self._taken[-1] - self._clock.monotonic())
            return True
        self._clock.advance(timeout_s)
        return False


@pytest.fixture
def make_response():
    loop, clock = lh.new_loop()

    def make(taken_after_s, is_read):
        caller = SlowCaller(clock, taken_after_s, is_read)
        response = wsgi_server._Response(loop, caller)
        response._may_write = caller
        return response, clock

    yield make
    loop.close()


def test_a_caller_that_reads_slowly_but_steadily_is_not_cut_off(make_response):
    pauses_s = wsgi_server.WRITE_TIMEOUT_S - 1.0
    taken = [count * pauses_s for count in range(1, 8)]
    response, _ = make_response(taken, is_read=True)
    response.write(b"more")


@pytest.mark.parametrize("taken", [[], [4.0, 12.0]])
def test_a_caller_that_stops_reading_is_cut_off_after_its_last_byte(
    make_response, taken
):
    response, clock = make_response(taken, is_read=False)
    began_at = clock.monotonic()
    with pytest.raises(TimeoutError):
        response.write(b"more")
    expected = max(taken, default=0.0) + wsgi_server.WRITE_TIMEOUT_S
    assert clock.monotonic() - began_at == pytest.approx(expected)


def test_the_server_notes_when_a_caller_takes_bytes():
    loop, clock = lh.new_loop()
    begun = []
    handler = types.SimpleNamespace(
        limits=http_server.Limits,
        is_closing=lambda: False,
        begin=lambda req, responder: begun.append(responder) or (lambda: None),
    )
    server = http_server.Server(loop, "127.0.0.1:0", handler)
    conn = lh.connect(server.port)
    conn.sendall(_GET % b"x")
    lh.run_until(loop, lambda: begun)
    begun[0].send_head(200, [])
    while begun[0].buffered() <= http_server.WRITE_HIGH_BYTES:
        begun[0].send_body(b"a" * 65536)
    buffered, filled_at = begun[0].buffered(), clock.monotonic()
    assert begun[0].taken_at() == filled_at
    clock.advance(3.0)
    lh.run_pending(loop)
    assert begun[0].taken_at() == filled_at
    lh.receive(loop, conn, lambda data: begun[0].buffered() < buffered)
    assert begun[0].taken_at() == clock.monotonic()
    server.stop_accepting()
    loop.close()
