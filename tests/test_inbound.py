"""The HTTP server that owns callers' connections."""

import loop_helpers as lh
import pytest

from chervilarch import inbound


class Handler:
    """Keeps requests until the test answers them."""

    def __init__(self):
        self.begun = []
        self.gone = []
        self.closing = False
        self.caps = inbound.Limits(4096, 100, 3.0, 15.0)

    def limits(self):
        return self.caps

    def is_closing(self):
        return self.closing

    def begin(self, req, reply):
        self.begun.append((req, reply))
        return lambda: self.gone.append(req)


@pytest.fixture
def world():
    loop, clock = lh.new_loop()
    handler = Handler()
    server = inbound.Server(loop, "127.0.0.1:0", handler)
    yield loop, clock, handler, server
    server.stop_accepting()
    loop.close()


def get(path="/x/1", extra=""):
    return f"GET {path} HTTP/1.1\r\nHost: a\r\n{extra}\r\n".encode()


def begin(world, data=None, count=1):
    loop, _, handler, server = world
    conn = lh.connect(server.port)
    conn.sendall(get() if data is None else data)
    lh.run_until(loop, lambda: len(handler.begun) >= count)
    return conn


def test_a_request_is_answered_and_the_connection_kept(world):
    loop, _, handler, _ = world
    conn = begin(world)
    handler.begun[0][1].send(200, [("X-A", "1")], b"hello")
    got = lh.receive(loop, conn, lambda data: data.endswith(b"hello"))
    assert got.startswith(b"HTTP/1.1 200")
    conn.sendall(get("/x/2"))
    lh.run_until(loop, lambda: len(handler.begun) == 2)
    assert handler.begun[1][0].target == "/x/2"


def test_pipelined_requests_are_served_one_after_the_other(world):
    loop, _, handler, _ = world
    conn = begin(world, get("/x/1") + get("/x/2"))
    lh.settle(loop)
    assert len(handler.begun) == 1
    handler.begun[0][1].send(200, [], b"one")
    lh.run_until(loop, lambda: len(handler.begun) == 2)
    handler.begun[1][1].send(200, [], b"two")
    got = lh.receive(loop, conn, lambda data: data.endswith(b"two"))
    assert got.index(b"one") < got.index(b"two")


def test_a_caller_that_leaves_while_served_is_noticed(world):
    loop, _, handler, _ = world
    conn = begin(world)
    conn.close()
    lh.run_until(loop, lambda: handler.gone)


def test_a_caller_that_leaves_within_its_body_begins_nothing(world):
    loop, _, handler, server = world
    conn = lh.connect(server.port)
    conn.sendall(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nab")
    lh.run_until(loop, lambda: server.connection_count() == 1)
    conn.close()
    lh.run_until(loop, lambda: server.connection_count() == 0)
    assert handler.begun == []


def test_a_chunked_body_is_read_whole(world):
    data = (
        b"POST /x/ HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    )
    begin(world, data)
    assert world[2].begun[0][0].body == b"abcde"


def test_an_aborted_answer_does_not_look_complete(world):
    loop, _, handler, _ = world
    conn = begin(world)
    reply = handler.begun[0][1]
    reply.send_head(200, [])
    reply.send_body(b"part")
    lh.receive(loop, conn, lambda data: b"part" in data)
    reply.abort()
    got = lh.receive(loop, conn, lambda data: b"<EOF>" in data)
    assert b"0\r\n\r\n" not in got
    assert handler.gone == []


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", b"400"),
        (get(extra="X-Long: " + "a" * 5000 + "\r\n"), b"431"),
        (
            b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 101\r\n\r\n"
            + b"a" * 101,
            b"413",
        ),
    ],
)
def test_what_cannot_be_read_is_refused_and_harms_nobody(world, data, status):
    loop, _, handler, server = world
    conn = lh.connect(server.port)
    conn.sendall(data)
    got = lh.receive(loop, conn, lambda data: b"<EOF>" in data)
    assert got.startswith(b"HTTP/1.1 " + status)
    begin(world)
    assert len(handler.begun) == 1


def test_a_slow_header_gets_408_and_an_idle_connection_is_closed(world):
    loop, clock, _, server = world
    slow, idle = lh.connect(server.port), lh.connect(server.port)
    slow.sendall(b"GET / HT")
    lh.run_until(loop, lambda: server.connection_count() == 2)
    lh.settle(loop, 20)
    clock.advance(3.1)
    got = lh.receive(loop, slow, lambda data: b"<EOF>" in data)
    assert got.startswith(b"HTTP/1.1 408")
    clock.advance(15.0)
    assert lh.receive(loop, idle, lambda data: b"<EOF>" in data) == b"<EOF>"


def test_a_header_that_trickles_in_has_no_longer_time(world):
    loop, clock, _, server = world
    conn = lh.connect(server.port)
    for byte in b"GET / HTTP/1.1\r\n"[:6]:
        conn.sendall(bytes([byte]))
        lh.run_until(loop, lambda: server.connection_count() == 1)
        lh.settle(loop, 20)
        clock.advance(0.55)
    got = lh.receive(loop, conn, lambda data: b"<EOF>" in data)
    assert got.startswith(b"HTTP/1.1 408")


def test_answers_end_their_connections_while_draining(world):
    loop, _, handler, server = world
    conn = begin(world)
    handler.closing = True
    handler.begun[0][1].send(200, [], b"last")
    got = lh.receive(loop, conn, lambda data: b"<EOF>" in data)
    assert b"connection: close" in got.lower() and b"last" in got


def test_close_idle_leaves_requests_alone(world):
    loop, _, _, server = world
    busy, idle = begin(world), lh.connect(server.port)
    lh.run_until(loop, lambda: server.connection_count() == 2)
    server.close_idle()
    lh.receive(loop, idle, lambda data: b"<EOF>" in data)
    assert server.connection_count() == 1
    busy.close()


def test_a_slow_reader_is_seen_in_what_is_buffered(world):
    loop, _, handler, _ = world
    conn = begin(world)
    reply = handler.begun[0][1]
    reply.send_head(200, [])
    while reply.buffered() <= inbound.WRITE_HIGH_BYTES:
        reply.send_body(b"a" * 65536)
    drained = []
    reply.on_writable(lambda: drained.append(True))
    lh.settle(loop)
    assert drained == []
    conn.close()
    lh.run_until(loop, lambda: handler.gone)
    assert reply.buffered() == 0
