"""Tests of the HTTP server for callers' connections."""

import selectors
import socket
import threading

import loop_helpers as lh
import pytest

from chervilarch import http_server


class Handler:
    """Records requests, which the test answers itself."""

    def __init__(self):
        self.begun = []
        self.disconnected = []
        self.closing = False
        self.current_limits = http_server.Limits(4096, 100, 3.0, 15.0)

    def limits(self):
        return self.current_limits

    def is_closing(self):
        return self.closing

    def begin(self, req, reply):
        self.begun.append((req, reply))
        return lambda: self.disconnected.append(req)


@pytest.fixture
def world():
    loop, clock = lh.new_loop()
    handler = Handler()
    server = http_server.Server(loop, "127.0.0.1:0", handler)
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


def test_a_connection_is_reused_after_an_answer(world):
    loop, _, handler, _ = world
    conn = begin(world)
    handler.begun[0][1].send(200, [("X-A", "1")], b"hello")
    received = lh.receive(loop, conn, lambda data: data.endswith(b"hello"))
    assert received.startswith(b"HTTP/1.1 200")
    conn.sendall(get("/x/2"))
    lh.run_until(loop, lambda: len(handler.begun) == 2)
    assert handler.begun[1][0].target == "/x/2"


def test_pipelined_requests_are_served_one_after_the_other(world):
    loop, _, handler, _ = world
    conn = begin(world, get("/x/1") + get("/x/2"))
    lh.run_pending(loop)
    assert len(handler.begun) == 1
    handler.begun[0][1].send(200, [], b"one")
    lh.run_until(loop, lambda: len(handler.begun) == 2)
    handler.begun[1][1].send(200, [], b"two")
    received = lh.receive(loop, conn, lambda data: data.endswith(b"two"))
    assert received.index(b"one") < received.index(b"two")


def test_the_handler_is_notified_when_a_caller_disconnects(world):
    loop, _, handler, _ = world
    conn = begin(world)
    conn.close()
    lh.run_until(loop, lambda: handler.disconnected)


def test_a_caller_that_disconnects_within_its_body_is_not_served(world):
    loop, _, handler, server = world
    conn = lh.connect(server.port)
    conn.sendall(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nab")
    lh.run_until(loop, lambda: server.connection_count() == 1)
    conn.close()
    lh.run_until(loop, lambda: server.connection_count() == 0)
    assert handler.begun == []


def test_a_chunked_body_is_joined(world):
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
    received = lh.receive(loop, conn, lambda data: b"<EOF>" in data)
    assert b"0\r\n\r\n" not in received
    assert handler.disconnected == []


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
def test_an_unreadable_request_is_rejected_and_others_are_served(
    world, data, status
):
    loop, _, handler, server = world
    conn = lh.connect(server.port)
    conn.sendall(data)
    received = lh.receive(loop, conn, lambda data: b"<EOF>" in data)
    assert received.startswith(b"HTTP/1.1 " + status)
    begin(world)
    assert len(handler.begun) == 1


def test_a_slow_header_gets_408_and_an_idle_connection_is_closed(world):
    loop, clock, _, server = world
    slow, idle = lh.connect(server.port), lh.connect(server.port)
    slow.sendall(b"GET / HT")
    lh.run_until(loop, lambda: server.connection_count() == 2)
    lh.run_pending(loop, 20)
    clock.advance(3.1)
    received = lh.receive(loop, slow, lambda data: b"<EOF>" in data)
    assert received.startswith(b"HTTP/1.1 408")
    clock.advance(15.0)
    assert lh.receive(loop, idle, lambda data: b"<EOF>" in data) == b"<EOF>"


def test_a_header_sent_byte_by_byte_does_not_extend_the_time_out(world):
    loop, clock, _, server = world
    conn = lh.connect(server.port)
    for byte in b"GET / HTTP/1.1\r\n"[:6]:
        conn.sendall(bytes([byte]))
        lh.run_until(loop, lambda: server.connection_count() == 1)
        lh.run_pending(loop, 20)
        clock.advance(0.55)
    received = lh.receive(loop, conn, lambda data: b"<EOF>" in data)
    assert received.startswith(b"HTTP/1.1 408")


def test_answers_close_their_connections_while_draining(world):
    loop, _, handler, server = world
    conn = begin(world)
    handler.closing = True
    handler.begun[0][1].send(200, [], b"last")
    received = lh.receive(loop, conn, lambda data: b"<EOF>" in data)
    assert b"connection: close" in received.lower() and b"last" in received


def test_close_idle_keeps_connections_with_a_request(world):
    loop, clock, _, server = world
    busy, idle = begin(world), lh.connect(server.port)
    lh.run_until(loop, lambda: server.connection_count() == 2)
    clock.advance(http_server.FIRST_REQUEST_WAIT_S)
    server.close_idle()
    lh.receive(loop, idle, lambda data: b"<EOF>" in data)
    assert server.connection_count() == 1
    busy.close()


def test_close_idle_waits_for_the_first_request_of_a_new_connection(world):
    loop, clock, handler, server = world
    conn = lh.connect(server.port)
    lh.run_until(loop, lambda: server.connection_count() == 1)
    clock.advance(http_server.FIRST_REQUEST_WAIT_S / 2)
    server.close_idle()
    conn.sendall(get())
    lh.run_until(loop, lambda: handler.begun)


def test_close_idle_serves_a_request_that_waits_in_the_kernel(world):
    loop, _, handler, server = world
    conn = begin(world)
    handler.begun[0][1].send(200, [], b"one")
    lh.receive(loop, conn, lambda data: data.endswith(b"one"))
    conn.sendall(get("/x/2"))
    server.close_idle()
    lh.run_until(loop, lambda: len(handler.begun) == 2)


def test_a_stop_serves_connections_that_wait_to_be_accepted(world):
    loop, _, handler, server = world
    conn = lh.connect(server.port)
    conn.sendall(get())
    server.stop_accepting()
    server.close_idle()
    lh.run_until(loop, lambda: handler.begun)
    handler.begun[0][1].send(200, [], b"served")
    lh.receive(loop, conn, lambda data: data.endswith(b"served"))


@pytest.mark.parametrize(
    "part",
    [b"GET /x/ HT", b"PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n1"],
)
def test_a_request_that_a_stop_finds_half_sent_is_refused(world, part):
    loop, clock, handler, server = world
    conn = lh.connect(server.port)
    conn.sendall(part)
    lh.run_until(loop, lambda: server.connection_count() == 1)
    clock.advance(http_server.FIRST_REQUEST_WAIT_S)
    lh.run_pending(loop)
    server.close_idle()
    server.refuse_unread()
    received = lh.receive(loop, conn, lambda data: b"<EOF>" in data)
    assert received.startswith(b"HTTP/1.1 503")
    assert b"retry-after: 0\r\n" in received.lower()
    assert not handler.begun


def test_a_body_over_the_limit_is_refused_by_its_declared_length(world):
    loop, _, handler, server = world
    conn = lh.connect(server.port)
    conn.sendall(b"POST /x/ HTTP/1.1\r\nHost: a\r\nContent-Length: 101\r\n\r\n")
    received = lh.receive(loop, conn, lambda data: b"<EOF>" in data)
    assert received.startswith(b"HTTP/1.1 413")
    assert not handler.begun


def test_bytes_for_a_slow_caller_are_buffered_until_it_disconnects(world):
    loop, _, handler, _ = world
    conn = begin(world)
    reply = handler.begun[0][1]
    reply.send_head(200, [])
    while reply.buffered() <= http_server.WRITE_HIGH_BYTES:
        reply.send_body(b"a" * 65536)
    drained = []
    reply.on_writable(lambda: drained.append(True))
    lh.run_pending(loop)
    assert drained == []
    conn.close()
    lh.run_until(loop, lambda: handler.disconnected)
    assert reply.buffered() == 0


def begin_large_answer(world):
    """Sends an answer that its caller hasn't read to the end."""
    loop, _, handler, _ = world
    conn = begin(world)
    body = b"a" * (8 * 1024 * 1024)
    handler.begun[0][1].send(200, [], body)
    lh.run_pending(loop)
    assert handler.begun[0][1].buffered()
    return conn, body


def test_an_answer_that_is_read_slowly_is_not_cut_by_the_idle_limit(world):
    loop, clock, handler, server = world
    handler.current_limits = handler.current_limits._replace(idle_timeout_s=1.0)
    conn, body = begin_large_answer(world)
    clock.advance(1.5)
    lh.run_pending(loop)
    received = lh.receive(loop, conn, lambda data: len(data) >= len(body))
    assert received.endswith(body)
    assert server.connection_count() == 1


def test_the_idle_limit_counts_from_the_end_of_the_answer(world):
    loop, clock, handler, server = world
    conn, body = begin_large_answer(world)
    clock.advance(10.0)
    lh.receive(loop, conn, lambda data: data.endswith(body))
    clock.advance(10.0)
    lh.run_pending(loop)
    assert server.connection_count() == 1
    clock.advance(5.1)
    assert lh.receive(loop, conn, lambda data: b"<EOF>" in data) == b"<EOF>"


@pytest.mark.parametrize("extra", ["", "Connection: close\r\n"])
def test_a_caller_that_never_reads_its_answer_is_disconnected(world, extra):
    loop, clock, handler, server = world
    conn = begin(world, get(extra=extra))
    handler.begun[0][1].send(200, [], b"a" * (8 * 1024 * 1024))
    lh.run_pending(loop)
    assert server.connection_count() == 1
    clock.advance(http_server.UNREAD_TIMEOUT_S + 0.1)
    lh.run_pending(loop)
    assert server.connection_count() == 0
    conn.close()


def test_a_request_that_arrives_during_a_long_callback_is_served(world):
    loop, clock, handler, server = world
    conn = begin(world)
    handler.begun[0][1].send(200, [], b"one")
    lh.receive(loop, conn, lambda data: data.endswith(b"one"))
    busy, busy_peer = socket.socketpair()

    def take_long(events):
        busy.recv(1)
        clock.advance(handler.current_limits.idle_timeout_s)
        conn.sendall(get("/x/2"))

    loop.watch(busy, selectors.EVENT_READ, take_long)
    busy_peer.send(b"a")
    lh.run_until(loop, lambda: len(handler.begun) == 2)
    loop.unwatch(busy)
    busy.close()
    busy_peer.close()


def test_a_request_in_the_kernel_outlives_the_idle_limit(world):
    loop, clock, handler, server = world
    conn = begin(world)
    handler.begun[0][1].send(200, [], b"one")
    lh.receive(loop, conn, lambda data: data.endswith(b"one"))
    conn.sendall(get("/x/2"))
    clock.advance(handler.current_limits.idle_timeout_s)
    # As after a pause between a look at the sockets and one at the clock.
    loop.run_timers(loop.now())
    lh.run_until(loop, lambda: len(handler.begun) == 2)


def test_a_request_that_cannot_be_begun_is_answered_and_others_served(world):
    loop, _, handler, server = world

    def fail(req, reply):
        raise ValueError("broken")

    begin_request, handler.begin = handler.begin, fail
    conn = lh.connect(server.port)
    conn.sendall(get())
    received = lh.receive(loop, conn, lambda data: b"\r\n\r\n" in data)
    assert received.startswith(b"HTTP/1.1 502")
    assert b"content-length: 0\r\n" in received.lower()
    handler.begin = begin_request
    conn.sendall(get("/x/2"))
    lh.run_until(loop, lambda: handler.begun)
    assert handler.begun[0][0].target == "/x/2"
    begin(world, count=2)


def test_a_request_that_fails_after_its_head_was_sent_is_broken_off(world):
    loop, _, handler, server = world

    def fail(req, reply):
        reply.send_head(200, [])
        reply.send_body(b"part")
        raise ValueError("broken")

    handler.begin = fail
    conn = lh.connect(server.port)
    conn.sendall(get())
    received = lh.receive(loop, conn, lambda data: b"<EOF>" in data)
    assert b"part" in received and b"0\r\n\r\n" not in received
    assert received.count(b"HTTP/1.1") == 1


def test_a_raised_idle_limit_holds_for_open_connections(world):
    loop, clock, handler, server = world
    limits = handler.current_limits
    handler.current_limits = limits._replace(idle_timeout_s=1.0)
    conn = begin(world)
    handler.begun[0][1].send(200, [], b"one")
    lh.receive(loop, conn, lambda data: data.endswith(b"one"))
    handler.current_limits = limits
    clock.advance(limits.idle_timeout_s - 0.1)
    lh.run_pending(loop)
    conn.sendall(get("/x/2"))
    lh.run_until(loop, lambda: len(handler.begun) == 2)
    handler.begun[1][1].send(200, [], b"two")
    lh.receive(loop, conn, lambda data: data.endswith(b"two"))
    clock.advance(limits.idle_timeout_s + 0.1)
    assert lh.receive(loop, conn, lambda data: b"<EOF>" in data) == b"<EOF>"


def test_pipelined_requests_are_served_before_a_drain_closes(world):
    loop, _, handler, _ = world
    conn = begin(world, get("/x/1") + get("/x/2"))
    handler.closing = True
    handler.begun[0][1].send(200, [], b"one")
    lh.run_until(loop, lambda: len(handler.begun) == 2)
    handler.begun[1][1].send(200, [], b"two")
    received = lh.receive(loop, conn, lambda data: b"<EOF>" in data)
    assert received.index(b"one") < received.index(b"two")
    assert received.lower().count(b"connection: close") == 1


@pytest.mark.parametrize("is_pipelined", [False, True])
@pytest.mark.parametrize(
    "second",
    [
        b"POST /x/2 HTTP/1.1\r\nHost: a\r\nContent-Length: 500\r\n\r\n"
        + b"a" * 500,
        get("/x/2", "X-Long: " + "a" * 5000 + "\r\n"),
    ],
)
def test_a_kept_connection_gets_the_limits_in_force(
    world, second, is_pipelined
):
    loop, _, handler, _ = world
    conn = begin(world)
    if is_pipelined:
        conn.sendall(second[:-1])
        lh.run_pending(loop)
    else:
        handler.begun[0][1].send(200, [], b"one")
        lh.receive(loop, conn, lambda data: data.endswith(b"one"))
    handler.current_limits = handler.current_limits._replace(
        header_bytes=8192, body_bytes=1000
    )
    if is_pipelined:
        handler.begun[0][1].send(200, [], b"one")
        lh.run_pending(loop)
        conn.sendall(second[-1:])
    else:
        # The head alone is more than the codec kept before.
        conn.sendall(second[:4500])
        lh.run_pending(loop)
        conn.sendall(second[4500:])
    lh.run_until(loop, lambda: len(handler.begun) == 2)


def test_a_lowered_limit_holds_for_open_connections(world):
    loop, _, handler, _ = world
    conn = begin(world)
    handler.begun[0][1].send(200, [], b"one")
    lh.receive(loop, conn, lambda data: data.endswith(b"one"))
    handler.current_limits = handler.current_limits._replace(header_bytes=100)
    conn.sendall(get("/x/2", "X-Long: " + "a" * 200 + "\r\n"))
    received = lh.receive(loop, conn, lambda data: b"<EOF>" in data)
    assert received.startswith(b"HTTP/1.1 431")


def begin_body(world, length):
    """Sends the head of a request with a body."""
    loop, _, handler, server = world
    handler.current_limits = handler.current_limits._replace(body_bytes=length)
    conn = lh.connect(server.port)
    head = f"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: {length}\r\n\r\n"
    conn.sendall(head.encode())
    lh.run_until(loop, lambda: server.connection_count() == 1)
    lh.run_pending(loop)
    return conn


def take_long(world):
    """Keeps the loop from reading until past the time limit of a body."""
    loop, clock, handler, _ = world
    clock.advance(handler.current_limits.idle_timeout_s + 1.0)
    loop.run_timers(loop.now())


def test_a_body_in_the_kernel_outlives_its_time_limit(world):
    loop, _, handler, server = world
    body = b"a" * (2 * 1024 * 1024)
    conn = begin_body(world, len(body))
    # What the kernels don't take at once comes after the pause.
    sent = conn.send(body)
    assert sent > 64 * 1024
    conn.setblocking(True)
    rest = threading.Thread(target=conn.sendall, args=(body[sent:],))
    rest.start()
    take_long(world)
    lh.run_until(loop, lambda: handler.begun)
    rest.join(lh.TIMEOUT_S)
    assert handler.begun[0][0].body == body


def test_a_body_that_goes_on_after_its_time_limit_is_refused(world):
    loop, clock, handler, _ = world
    conn = begin_body(world, 1000)
    conn.sendall(b"a")
    take_long(world)
    conn.sendall(b"a")
    clock.advance(http_server.LATE_READ_S + 0.1)
    loop.run_timers(loop.now())
    received = lh.receive(loop, conn, lambda data: b"<EOF>" in data)
    assert received.startswith(b"HTTP/1.1 408")
    assert not handler.begun


def test_a_body_of_which_nothing_waits_at_its_time_limit_is_refused(world):
    loop, _, handler, _ = world
    conn = begin_body(world, 1000)
    take_long(world)
    received = lh.receive(loop, conn, lambda data: b"<EOF>" in data)
    assert received.startswith(b"HTTP/1.1 408")


def closes(caplog):
    return [r.fields for r in caplog.records if r.msg == "connection closed"]


def test_the_log_says_who_closed_a_connection_with_a_request(world, caplog):
    loop, _, handler, server = world
    conn = begin(world)
    conn.close()
    lh.run_until(loop, lambda: handler.disconnected)
    begin(world, count=2)
    handler.begun[1][1].send_head(200, [])
    handler.begun[1][1].abort()
    lh.run_until(loop, lambda: not server.connection_count())
    reasons = [
        (fields["reason"], fields["is_serving"]) for fields in closes(caplog)
    ]
    assert reasons == [
        (http_server.CloseReason.CALLER_CLOSED.value, True),
        (http_server.CloseReason.ANSWER_BROKEN.value, True),
    ]


def test_a_connection_that_is_closed_in_calm_leaves_no_line(world, caplog):
    loop, _, handler, server = world
    conn = begin(world)
    handler.begun[0][1].send(200, [], b"out")
    lh.receive(loop, conn, lambda data: data.endswith(b"out"))
    conn.close()
    lh.run_until(loop, lambda: not server.connection_count())
    assert not closes(caplog)
