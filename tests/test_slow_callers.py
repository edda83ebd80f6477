"""Callers that read slowly or never, beside sound ones."""

import socket
import threading

import gateway_world as gw
import loop_helpers as lh
import pytest
from test_connection_ends import Handler, get

from chervilarch import (
    byte_room,
    clocks,
    http_server,
    memory_limits,
    read_quota,
)

_MB = 1024 * 1024
# Of the smallest hosts.
_SMALLEST_MB = 152.0
_MAX_UNREAD_S = 1.0
_EVENT = b"id: %d\ndata: " + b"x" * 60_000 + b"\n\n"
_EVENT_BYTES = len(_EVENT)
_RECEIVE_BYTES = 16 * 1024
_SEND_BYTES = 256 * 1024
_LAST_CHUNK = b"\r\n0\r\n\r\n"


def events(size):
    return b"".join(_EVENT % n for n in range(size // _EVENT_BYTES))


class Sender:
    """Answers with some bytes; counts how many connections took all."""

    def __init__(self, data):
        self._data = data
        self.sent = 0
        self.requests = 0

    def serve(self, conn):
        # Little of the answer is in sockets' buffers.
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, _SEND_BYTES)
        if not lh.read_request(conn):
            return
        self.requests += 1
        conn.sendall(self._data)
        self.sent += 1


class SlowWorld:
    """A gateway whose clock the test moves."""

    def __init__(self):
        self.clock = clocks.ManualClock()
        self.world = gw.World(clock=self.clock)
        self.room = self.world.ctrl.client.room
        self.most_bytes = 0
        # Of any endpoint's reply, in one piece.
        self.longest_unread_s = 0.0
        self._unread_since = {}

    def start(self):
        """Serves streams of s1, replies of s2 and small replies of s3."""
        services = [{"name": f"s{n}"} for n in (1, 2, 3)]
        self.world.start(
            {**gw.stream_route_document(timeout_ms=60000), "name": "streams"},
            *(
                gw.route_document(
                    name=f"r{n}",
                    path_prefix=f"/r{n}/",
                    service=f"s{n}",
                    kind="non_idempotent",
                    timeout_ms=60000,
                )
                for n in (2, 3)
            ),
            services=services,
        )

    def send(self, path="/x/1"):
        """Sends a request from a caller with a small buffer."""
        conn = self.world.send(gw.KEY, path=path, deadline_ms=60000)
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BYTES)
        return conn

    def run_until(self, condition, step_s=0.01):
        """Moves the clock until a condition holds; notes the memory."""

        def step():
            self.clock.advance(step_s)
            lh.run_pending(self.world.loop, 2)
            unsent = sum(c.unsent_bytes() for c in self.connections())
            self.most_bytes = max(self.most_bytes, unsent, self.room.size)
            self._note_unread()
            return condition()

        lh.run_until(self.world.loop, step)

    def _note_unread(self):
        now = self.clock.monotonic()
        self._unread_since = {
            transfer: self._unread_since.get(transfer, now)
            for transfer in self.world.ctrl.client._running.values()
            if transfer.is_paused or transfer.waits_for_room
        }
        for since in self._unread_since.values():
            self.longest_unread_s = max(self.longest_unread_s, now - since)

    def run_for(self, seconds, step_s=0.01):
        until = self.clock.monotonic() + seconds
        self.run_until(lambda: self.clock.monotonic() >= until, step_s)

    def read_all(self, conns, is_whole):
        """Reads answers until a condition holds for the bytes of each."""
        got = {conn: bytearray() for conn in conns}
        unread = set(conns)

        def read_more():
            for conn in list(unread):
                conn.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 * _MB)
                try:
                    while data := conn.recv(_MB):
                        got[conn].extend(data)
                    got[conn].extend(b"<EOF>")
                except BlockingIOError:
                    if not is_whole(got[conn]):
                        continue
                unread.discard(conn)
            return not unread

        self.run_until(read_more)
        return [bytes(data) for data in got.values()]

    def read(self, conn, is_whole):
        """Reads one answer until a condition holds for its bytes."""
        return self.read_all([conn], is_whole)[0]

    def fetch(self, path, size=0):
        """Returns whether a caller that reads gets a whole answer.

        Args:
            path: of the request.
            size: of the answer's body, 0 for a stream.
        """
        conn = self.world.send(gw.KEY, path=path, deadline_ms=60000)
        received = self.read(
            conn,
            lambda got: len(got) > size if size else got.endswith(_LAST_CHUNK),
        )
        conn.close()
        return received.startswith(b"HTTP/1.1 200") and b"<EOF>" not in received

    def connections(self):
        return self.world.server._connections

    def counted(self, event):
        registry = self.world.meters.registry
        name = "chervilarch_slow_callers_total"
        return registry.get_sample_value(name, {"event": event}) or 0

    def faults(self):
        """Returns what the endpoints are blamed for."""
        pools = self.world.ctrl.placement._pools.values()
        return sum(e.failures + e.suspicions for p in pools for e in p.values())


@pytest.fixture
def slow():
    running = SlowWorld()
    yield running
    running.world.close()


def test_a_stream_is_read_on_while_its_caller_pauses(slow):
    # More than the buffers of all sockets on the way.
    body = events(12 * _MB)
    sender = Sender(gw.stream(body))
    slow.world.endpoint("e1", sender.serve)
    slow.start()
    conn = slow.send()
    slow.run_until(lambda: sender.sent)
    slow.run_for(4.0, 0.1)
    received = slow.read(conn, lambda got: got.endswith(_LAST_CHUNK))
    assert received.endswith(_LAST_CHUNK)
    assert received.count(b"\ndata: ") == body.count(b"\ndata: ")
    assert sender.requests == 1 and not slow.counted("ended")


def test_callers_that_never_read_fail_no_sound_answer(slow, caplog):
    slow.room.bounds = memory_limits.room_bounds(_SMALLEST_MB)
    slow.world.endpoint("e1", Sender(gw.stream(events(12 * _MB))).serve)
    body = b"s" * (8 * _MB) + b"<END>"
    large = Sender(gw.answer(body=body))
    slow.world.endpoint("e2", large.serve, pool="s2")
    small = gw.answer(body=b"t" * 1000)
    slow.world.endpoint("e3", Sender(small).serve, pool="s3")
    slow.start()
    streams = [slow.send() for _ in range(4)]
    replies = [slow.send("/r2/1") for _ in range(4)]
    slow.run_until(lambda: slow.room.size >= slow.room.bounds.shared)
    slow.run_for(2.0)
    for _ in range(3):
        assert slow.fetch("/r3/1", 1000)
        assert slow.fetch("/r2/1", len(body))
    assert slow.longest_unread_s <= _MAX_UNREAD_S
    assert slow.counted("ended") and "unread answer ended" in caplog.messages
    assert not slow.faults()
    # What was ended doesn't look complete.
    received = slow.read_all(
        streams + replies, lambda got: got.endswith((_LAST_CHUNK, b"<END>"))
    )
    ended = sum(data.endswith(b"<EOF>") for data in received)
    assert ended == slow.counted("ended")
    slow.run_until(lambda: not slow.room.size)
    assert slow.most_bytes <= sum(slow.room.bounds) + read_quota.TURN_BYTES


def test_many_slow_callers_keep_the_bound_on_memory(slow):
    bounds = byte_room.Bounds(shared=4 * _MB, largest=_MB, small=_MB)
    slow.room.bounds = bounds
    slow.world.endpoint(
        "e1", Sender(gw.stream(events(6 * _MB))).serve, slots=100
    )
    small = Sender(gw.answer(body=b"t" * 1000))
    slow.world.endpoint("e3", small.serve, pool="s3")
    slow.start()
    callers = [slow.send() for _ in range(40)]
    for _ in range(30):
        assert slow.fetch("/r3/1", 1000)
        slow.run_for(0.1)
    # One chunk of each reply is read in any case.
    chunks = len(callers) * 16 * 1024
    assert slow.most_bytes <= sum(bounds) + read_quota.TURN_BYTES + chunks
    assert slow.longest_unread_s <= _MAX_UNREAD_S
    assert slow.counted("ended") > 1
    for conn in callers:
        conn.close()
    slow.run_until(lambda: not slow.room.size)


def test_endpoints_that_send_slowly_harm_nobody(slow):
    slow.room.bounds = memory_limits.room_bounds(_SMALLEST_MB)
    stop = threading.Event()

    def drip(conn):
        lh.read_request(conn)
        conn.sendall(gw.answer(body=b"s" * (5 * _MB), missing=5 * _MB))
        while not stop.wait(0.05):
            conn.sendall(b"s")

    slow.world.endpoint("e1", Sender(gw.stream(events(2 * _MB))).serve)
    slow.world.endpoint("e2", drip, pool="s2", slots=100)
    body = b"t" * (4 * _MB)
    slow.world.endpoint("e3", Sender(gw.answer(body=body)).serve, pool="s3")
    slow.start()
    dripped = [slow.send("/r2/1") for _ in range(4)]
    slow.run_until(lambda: slow.room.size >= 20 * _MB)
    for _ in range(3):
        assert slow.fetch("/r3/1", len(body))
        assert slow.fetch("/x/1")
    assert not slow.counted("ended")
    stop.set()
    for conn in dripped:
        conn.close()


@pytest.fixture
def serving():
    loop, clock = lh.new_loop()
    handler = Handler()
    room = byte_room.Room(byte_room.Bounds(_MB, 16 * _MB, 0))
    server = http_server.Server(loop, "127.0.0.1:0", handler, answer_room=room)
    yield loop, clock, handler, server, room
    server.stop_accepting()
    loop.close()


def make_reply_wait(room, clock):
    """Has one reply go on beyond the room's bound, and another one wait."""
    for size in (3 * _MB, _MB // 2):
        holder = room.open("e", clock.monotonic(), lambda: None)
        holder.expected_size = size
        room.take(holder, 65536, clock.monotonic())
    assert room.is_awaited()


def end_for_room(clock, room, reply):
    make_reply_wait(room, clock)


def end_for_room_when_finished(clock, room, reply):
    """The endpoint's part is complete, but the caller hasn't read it."""
    reply.finish()
    make_reply_wait(room, clock)


def end_unread(clock, room, reply):
    reply.finish()
    clock.advance(http_server.UNREAD_TIMEOUT_S)


def end_broken(clock, room, reply):
    reply.abort()


@pytest.mark.parametrize("version", [b"HTTP/1.0", b"HTTP/1.1"])
@pytest.mark.parametrize(
    "end", [end_for_room, end_for_room_when_finished, end_unread, end_broken]
)
def test_an_ended_answer_does_not_look_complete(serving, version, end):
    loop, clock, handler, server, room = serving
    conn = lh.connect(server.port)
    conn.sendall(get().replace(b"HTTP/1.1", version))
    lh.run_until(loop, lambda: handler.begun)
    reply = handler.begun[0][1]
    reply.send_head(200, [])
    while reply.growth() is None:
        reply.send_body(b"a" * 65536)
    end(clock, room, reply)
    lh.advance_until(loop, clock, lambda: not server.connection_count())
    received = b""
    try:
        while data := conn.recv(_MB):
            received += data
        assert version == b"HTTP/1.1"
    except ConnectionResetError:
        # A connection's end would be the end of the answer.
        assert version == b"HTTP/1.0"
    assert not received.endswith(b"0\r\n\r\n")


@pytest.mark.parametrize("reads", [True, False])
def test_a_large_answer_gives_way_only_if_it_is_not_read(serving, reads):
    loop, clock, handler, server, room = serving
    conn = lh.connect(server.port)
    conn.sendall(get())
    lh.run_until(loop, lambda: handler.begun)
    body = b"a" * (10 * _MB)
    handler.begun[0][1].send(200, [], body)
    make_reply_wait(room, clock)
    received = 0
    for _ in range(300):
        lh.advance(loop, clock, 0.01)
        if reads:
            try:
                received += len(conn.recv(100_000))
            except BlockingIOError:
                pass
    if reads:
        assert received > len(body)
    else:
        assert not server.connection_count()
