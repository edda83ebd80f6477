"""Requests whose bodies need more room than there is."""

import loop_helpers as lh
import pytest

from chervilarch import byte_room, http_server

_KB = 1024
BOUNDS = byte_room.Bounds(shared=1000 * _KB, largest=400 * _KB, small=200 * _KB)
_LARGE = 350 * _KB


class Handler:
    """Records requests, which the test answers itself."""

    def __init__(self):
        self.begun = []

    def limits(self):
        return http_server.Limits(4096, 4096 * _KB, 3.0, 15.0)

    def is_closing(self):
        return False

    def begin(self, req, responder):
        self.begun.append((req, responder))
        return lambda: None


@pytest.fixture
def world():
    loop, clock = lh.new_loop()
    handler = Handler()
    room = byte_room.Room(BOUNDS)
    server = http_server.Server(loop, "127.0.0.1:0", handler, body_room=room)
    yield loop, clock, handler, server
    server.stop_accepting()
    loop.close()


def head(size, extra=""):
    return (
        f"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: {size}\r\n{extra}\r\n"
    ).encode()


class Caller:
    """Sends a request as far as the server reads it."""

    def __init__(self, server, data):
        self.conn = lh.connect(server.port)
        self._unsent = memoryview(data)

    def send(self):
        while self._unsent:
            try:
                sent = self.conn.send(self._unsent)
            except BlockingIOError:
                return
            self._unsent = self._unsent[sent:]


def send_all(world, datas):
    """Sends requests until nothing more is read."""
    loop, _, _, server = world
    callers = [Caller(server, data) for data in datas]
    for _ in range(200):
        for caller in callers:
            caller.send()
        loop.run_once(0.0)
    return callers


def fill(world, count=3):
    """Has so many large requests served that no more have room."""
    callers = send_all(world, [head(_LARGE) + b"x" * _LARGE] * count)
    assert len(world[2].begun) == min(count, 3)
    return callers


def received(world, caller, until):
    return lh.receive(world[0], caller.conn, until)


def read_waiting(conn):
    try:
        return conn.recv(65536)
    except BlockingIOError:
        return b""


def test_bodies_take_no_more_than_the_room(world):
    handler, server = world[2], world[3]
    callers = fill(world, 8)
    assert server.body_room.size <= BOUNDS.shared + BOUNDS.largest
    # Those without room go on as others end.
    for number in range(8):
        lh.run_until(world[0], lambda n=number: len(handler.begun) > n)
        handler.begun[number][1].send(200, [], b"ok")
        for _ in range(200):
            for caller in callers:
                caller.send()
            world[0].run_once(0.0)
    assert {len(req.body) for req, _ in handler.begun} == {_LARGE}
    for caller in callers:
        assert b"200 OK" in received(world, caller, lambda d: b"ok" in d)
    assert not server.body_room.size


def test_a_body_without_room_in_time_is_refused_as_not_run(world):
    loop, clock, handler, _ = world
    held = fill(world)
    (caller,) = send_all(world, [head(_LARGE) + b"x" * _LARGE])
    lh.advance(loop, clock, http_server.ROOM_WAIT_S + 0.1)
    answer = received(world, caller, lambda data: b"\r\n\r\n" in data)
    assert b" 503 " in answer and b"Retry-After: 0.5" in answer
    assert len(handler.begun) == len(held) == 3


def test_small_requests_go_on_beside_bodies_without_room(world):
    handler = world[2]
    held = fill(world, 5)
    held += send_all(world, [head(60 * _KB) + b"s" * 60 * _KB, head(0)])
    assert sorted(len(req.body) for req, _ in handler.begun[3:]) == [
        0,
        60 * _KB,
    ]


def test_a_body_that_does_not_arrive_gives_way_to_others(world):
    loop, clock, handler, server = world
    slow = send_all(world, [head(_LARGE) + b"x" * 1000] * 3)
    lh.advance(loop, clock, byte_room.MAX_SILENCE_S + 0.5)
    assert server.connection_count() == 3  # Nobody waits for their room.
    (caller,) = send_all(world, [head(_LARGE) + b"y" * _LARGE])
    lh.advance(loop, clock, 0.3)
    for _ in range(100):
        caller.send()
        loop.run_once(0.0)
    assert [req.body[:1] for req, _ in handler.begun] == [b"y"]
    answers = [read_waiting(caller.conn) for caller in slow]
    assert [b" 408 " in data for data in answers].count(True) == 1


def test_chunked_bodies_share_the_room(world):
    handler, server = world[2], world[3]
    chunk = b"%x\r\n%s\r\n" % (50 * _KB, b"c" * 50 * _KB)
    request = (
        b"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        + 6 * chunk
        + b"0\r\n\r\n"
    )
    callers = send_all(world, [request] * 9)
    begun = len(handler.begun)
    assert 1 <= begun < 9
    assert server.body_room.size <= sum(BOUNDS)
    for _ in range(200):
        for _, responder in handler.begun:
            if not responder.ended:
                responder.send(200, [], b"ok")
        for caller in callers:
            caller.send()
        world[0].run_once(0.0)
    assert {len(req.body) for req, _ in handler.begun} == {300 * _KB}
    assert not server.body_room.size


def test_a_chunked_body_that_gave_way_may_be_sent_again(world):
    server = world[3]
    chunk = b"%x\r\n%s\r\n" % (50 * _KB, b"c" * 50 * _KB)
    start = b"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    (caller,) = send_all(world, [start + chunk])
    (holder,) = server.body_room._holders
    caller.conn.sendall(chunk[:1000])
    server.body_room._evict(holder)
    answer = received(world, caller, lambda data: b"\r\n\r\n" in data)
    assert b" 408 " in answer


def test_a_caller_is_asked_for_its_body_only_when_there_is_room(world):
    handler = world[2]
    held = fill(world)
    expecting = head(_LARGE, "Expect: 100-continue\r\n")
    (caller,) = send_all(world, [expecting])
    with pytest.raises(BlockingIOError):
        caller.conn.recv(100)
    handler.begun[0][1].send(200, [], b"ok")
    received(world, caller, lambda data: b" 100 " in data)
    assert len(held) == 3


def test_the_room_of_a_caller_that_leaves_is_free_again(world):
    loop, _, handler, server = world
    callers = fill(world, 5)
    for caller in callers:
        caller.conn.close()
    lh.run_until(loop, lambda: not server.connection_count())
    assert not server.body_room.size and not server.body_room.is_awaited()
    fill_again = send_all(world, [head(_LARGE) + b"x" * _LARGE])
    assert len(fill_again) == 1 and len(handler.begun) >= 4


def test_a_kept_connection_takes_room_for_each_request(world):
    loop, _, handler, server = world
    (caller,) = send_all(world, [head(_LARGE) + b"x" * _LARGE])
    for number in range(4):
        handler.begun[number][1].send(200, [], b"ok")
        lh.run_pending(loop)
        assert not server.body_room.size
        caller._unsent = memoryview(head(_LARGE) + b"x" * _LARGE)
        for _ in range(100):
            caller.send()
            loop.run_once(0.0)
        assert server.body_room.size == _LARGE


def test_a_body_over_what_the_host_can_keep_is_refused_at_once(world):
    (caller,) = send_all(world, [head(BOUNDS.largest + 1)])
    answer = received(world, caller, lambda data: b"\r\n\r\n" in data)
    assert b" 413 " in answer
