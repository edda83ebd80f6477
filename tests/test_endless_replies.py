"""Endpoints that send bytes without end until the connection is closed."""

import select
import threading

import h11
import loop_helpers as lh
import pytest
from gateway_world import (
    KEY,
    answer,
    events,
    route_document,
    status,
    stream,
    stream_route_document,
)

from chervilarch import (
    byte_room,
    clocks,
    event_stream,
    exchanges,
    http_client,
    reply_head,
)
from chervilarch import loop as loops

_HEAD = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: id1\r\nResponse-Stamp: s1\r\n"
    b"Content-Type: text/event-stream\r\n"
)
_BLOCK = 64 * 1024
# What a transfer may read before it gives up, with what is in socket buffers.
_MAX_READ_BYTES = http_client.MAX_REPLY_BYTES + 16 * 1024 * 1024


class EndlessServer:
    """Sends a start, then a block again and again until the peer closes."""

    def __init__(self, start, block, pause_s=0.0):
        self._start = start
        self._block = block
        self._pause_s = pause_s
        self.sent_bytes = 0
        self.has_ended = threading.Event()
        self.stop = threading.Event()

    def serve(self, conn):
        lh.read_request(conn)
        try:
            conn.sendall(self._start)
            while not self.stop.wait(self._pause_s):
                conn.sendall(self._block)
                self.sent_bytes += len(self._block)
                assert self.sent_bytes < 8 * _MAX_READ_BYTES
        finally:
            self.has_ended.set()


@pytest.fixture
def endless():
    servers = []

    def create(*args):
        servers.append(EndlessServer(*args))
        return servers[-1]

    yield create
    for server in servers:
        server.stop.set()


CASES = {
    "no protocol": (b"", b"\x00junk" * 1000),
    "one header line": (_HEAD + b"X: ", b"x" * _BLOCK),
    "many header lines": (_HEAD, b"X: y\r\n" * 1000),
    "interim replies": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 1000),
    "body": (_HEAD + b"\r\n", b"x" * _BLOCK),
    "chunked body": (
        _HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
        b"%x\r\n%s\r\n" % (_BLOCK, b"x" * _BLOCK),
    ),
    "chunk size": (
        _HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
        b"0" * _BLOCK,
    ),
    "comment lines": (_HEAD + b"\r\n", b": c\n" * 1000),
    "comment blocks": (_HEAD + b"\r\n", b": c\n\n" * 1000),
    "blank lines": (_HEAD + b"\r\n", b"\n" * 1000),
}


@pytest.mark.parametrize("case", CASES)
def test_a_transfer_gives_up_on_an_endless_reply(endless, case):
    server = endless(*CASES[case])
    loop = loops.Loop(clocks.SystemClock())
    client = http_client.Client(loop)
    raw = lh.RawServer(server.serve)
    exchange = exchanges.Exchange(
        "GET", f"http://{raw.address}/", timeout_s=60.0, fresh=True
    )
    fut = client.call(exchange)
    lh.run_until(loop, fut.done)
    assert isinstance(fut.result(), exchanges.TransferFailure)
    if "body" in case:
        assert "reply is over" in fut.result().detail
    assert server.has_ended.wait(lh.TIMEOUT_S)
    assert server.sent_bytes < _MAX_READ_BYTES


def test_endless_replies_share_a_bound_on_memory(endless):
    loop = loops.Loop(clocks.SystemClock())
    client = http_client.Client(loop)
    # One reply stays below its own bound.
    block = b"x" * (http_client.MAX_REPLY_BYTES - _BLOCK)
    start = b"HTTP/1.1 200 OK\r\n\r\n"
    most = 0
    transfers = []
    for _ in range(8):
        server = endless(start + block, b"", 0.01)
        raw = lh.RawServer(server.serve)
        exchange = exchanges.Exchange(
            "GET", f"http://{raw.address}/", timeout_s=60.0, fresh=True
        )
        transfers.append(client.start(exchange, lambda result: None))

    def is_full():
        nonlocal most
        kept = sum(transfer.kept_bytes() for transfer in transfers)
        assert kept == client.room.size
        most = max(most, kept)
        return any(t.fault or t.waits_for_room for t in transfers)

    lh.run_until(loop, is_full)
    for _ in range(100):
        loop.run_once(0.01)
        is_full()
    bounds = client.room.bounds
    assert most <= bounds.shared + bounds.largest <= 64 * 1024 * 1024
    client.close()
    assert not client.room.size


def test_a_reply_that_names_a_length_over_the_bound_is_not_kept(endless):
    loop = loops.Loop(clocks.SystemClock())
    client = http_client.Client(loop)
    start = b"HTTP/1.1 200 OK\r\nContent-Length: 999999999\r\n\r\n"
    server = endless(start, b"x" * _BLOCK)
    raw = lh.RawServer(server.serve)
    exchange = exchanges.Exchange(
        "GET", f"http://{raw.address}/", timeout_s=60.0, fresh=True
    )
    fut = client.call(exchange)
    lh.run_until(loop, fut.done)
    assert isinstance(fut.result(), exchanges.TransferFailure)
    assert server.has_ended.wait(lh.TIMEOUT_S)
    assert server.sent_bytes < http_client.MAX_REPLY_BYTES
    assert not client.room.size


@pytest.mark.parametrize("size", [64 * 1024, 2 * 1024 * 1024])
def test_a_sound_answer_is_not_cut_for_the_bytes_of_a_faulty_endpoint(
    world, endless, size
):
    # Four of the faulty endpoint's replies take all the room.
    block = b"x" * (http_client.MAX_REPLY_BYTES - 8 * 1024)
    server = endless(_HEAD + b"\r\n" + block, b"", 0.01)
    world.endpoint("e1", server.serve)
    body = b"s" * size
    world.endpoint("e2", lh.answer_with(answer(body=body)), pool="s2")
    world.start(
        route_document(kind="non_idempotent"),
        route_document(
            name="r2",
            path_prefix="/sound/",
            service="s2",
            kind="non_idempotent",
        ),
    )
    callers = [world.send(KEY) for _ in range(4)]
    lh.run_until(
        world.loop, lambda: world.ctrl.client.room.size > 47 * 1024 * 1024
    )
    for _ in range(20):
        assert world.fetch(KEY, path="/sound/1").endswith(body)
    for caller in callers:
        caller.close()


def test_answers_that_nobody_reads_take_room_from_further_replies(world):
    body = b"s" * (8 * 1024 * 1024)
    world.endpoint("e1", lh.answer_with(answer(body=body)))
    world.start(route_document(kind="non_idempotent"))
    callers = [world.send(KEY) for _ in range(12)]
    bounds = world.ctrl.client.room.bounds
    most = 0

    def is_full():
        nonlocal most
        most = max(most, world.ctrl.client.room.size)
        return most > bounds.shared

    lh.run_until(world.loop, is_full)
    for _ in range(100):
        world.loop.run_once(0.01)
        is_full()
    assert most <= sum(bounds)
    for caller in callers[1:]:
        caller.close()
    received = lh.receive(world.loop, callers[0], lambda data: body in data)
    assert status(received) == 200
    lh.run_until(world.loop, lambda: not world.ctrl.client.room.size)


@pytest.mark.parametrize("path", ["/x/1", "/buffered/1"])
@pytest.mark.parametrize("case", CASES)
def test_a_request_ends_soon_when_its_endpoint_never_stops(
    world, endless, case, path
):
    server = endless(*CASES[case])
    world.endpoint("e1", server.serve)
    world.start(
        {**stream_route_document(), "resumable": False},
        route_document(
            name="r2", path_prefix="/buffered/", kind="non_idempotent"
        ),
    )
    assert status(world.fetch(KEY, path=path)) == 502
    assert server.has_ended.wait(lh.TIMEOUT_S)
    assert server.sent_bytes < _MAX_READ_BYTES


@pytest.mark.parametrize("block", [b": comment\n", b": comment\n\n", b"\n\n"])
def test_bytes_without_an_event_do_not_keep_a_stream_from_resuming(
    world, endless, block
):
    start = _HEAD + b"\r\n" + events(1, 2)
    server = endless(start, block, 0.02)
    requests = []

    def resume(conn):
        request = lh.read_request(conn)
        if not request:
            return  # Only a check that the engine accepts connections.
        requests.append(request)
        conn.sendall(_HEAD + b"\r\n" + events(3, 4))

    world.endpoint("e1", server.serve)
    world.start(stream_route_document(timeout_ms=60000))
    conn = world.send(KEY, ("Connection", "close"))
    lh.run_until(world.loop, lambda: server.sent_bytes > 100)
    world.endpoint("e2", resume)
    received = lh.receive(world.loop, conn, lambda data: b"<EOF>" in data)
    assert b"Last-Event-Id: 2" in requests[0]
    assert events(1, 2) in received and events(3, 4) in received


def test_comments_are_no_first_event_and_resume_at_another_endpoint(
    world, endless
):
    server = endless(_HEAD + b"\r\n", b": comment\n\n", 0.02)
    world.endpoint("e1", server.serve)
    world.start(stream_route_document(timeout_ms=60000))
    conn = world.send(KEY, ("Connection", "close"))
    lh.run_until(world.loop, lambda: server.sent_bytes > 100)
    world.endpoint("e2", lh.answer_with(_HEAD + b"\r\n" + events(1, 2)))
    received = lh.receive(world.loop, conn, lambda data: b"<EOF>" in data)
    assert events(1, 2) in received and b"comment" not in received


def read_body(received):
    """Returns the body of a complete answer."""
    codec = h11.Connection(h11.CLIENT)
    codec.send(h11.Request(method="GET", target="/", headers=[("Host", "a")]))
    codec.send(h11.EndOfMessage())
    codec.receive_data(received)
    body = b""
    while not isinstance(event := codec.next_event(), h11.EndOfMessage):
        body += event.data if isinstance(event, h11.Data) else b""
    return body


_COMMENTED = (
    b": a\n\n\n\n" + events(1, 1) + b": b\n\n" + events(2, 2) + b": c\n\n\n"
)


@pytest.mark.parametrize("data", [_COMMENTED, b": only\n\n", b"\n", b""])
def test_comments_of_a_stream_reach_the_caller_as_they_were_sent(world, data):
    world.endpoint("e1", lh.answer_with(stream(data)))
    world.start({**stream_route_document(), "resumable": False})
    assert read_body(world.fetch(KEY)) == data


def test_incomplete_events_share_the_room_of_kept_replies(world, endless):
    size = event_stream.MAX_EVENT_BYTES - _BLOCK
    half = _HEAD + b"\r\n" + b"data: " + b"x" * size
    world.endpoint("e1", endless(half, b"", 0.01).serve)
    world.endpoint("e2", lh.answer_with(answer(body=b"s")), pool="s2")
    world.start(
        {**stream_route_document(), "resumable": False},
        route_document(
            name="r2", path_prefix="/sound/", service="s2", kind="safe"
        ),
    )
    room = world.ctrl.client.room
    room.bounds = byte_room.Bounds(shared=4 * size, largest=size, small=_BLOCK)
    callers = [world.send(KEY) for _ in range(8)]

    def answered():
        return select.select(callers, [], [], 0)[0]

    lh.run_until(world.loop, answered)
    received = lh.receive(
        world.loop, answered()[0], lambda data: b"\r\n\r\n" in data
    )
    assert status(received) == 502
    assert room.size <= room.bounds.shared + room.bounds.largest
    assert status(world.fetch(KEY, path="/sound/1")) == 200
    for caller in callers:
        caller.close()
    lh.run_until(world.loop, lambda: not room.size)


@pytest.mark.parametrize(
    ("start", "line"),
    [
        (_HEAD, b"X: y\r\n"),
        (_HEAD, b"X: %s\r\n" % (b"y" * 8000)),
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
        (_HEAD + b"Transfer-Encoding: chunked\r\n\r\n0\r\n", b"X: y\r\n"),
    ],
)
def test_few_lines_of_an_endless_head_are_handled(start, line, monkeypatch):
    lines = []
    on_line = reply_head.ReplyHead.on_line

    def count(head, text):
        lines.append(text)
        return on_line(head, text)

    monkeypatch.setattr(reply_head.ReplyHead, "on_line", count)
    loop = loops.Loop(clocks.SystemClock())
    client = http_client.Client(loop)
    server = lh.RawServer(lh.answer_with(start + line * 10_000))
    exchange = exchanges.Exchange(
        "GET", f"http://{server.address}/", timeout_s=60.0, fresh=True
    )
    fut = client.call(exchange)
    lh.run_until(loop, fut.done)
    assert fut.result().detail.startswith("the head is over")
    assert len(lines) <= 257
    assert sum(map(len, lines)) <= 80 * 1024


def test_a_head_of_two_hundred_lines_is_read():
    loop = loops.Loop(clocks.SystemClock())
    client = http_client.Client(loop)
    lines = b"X: y\r\n" * 200
    server = lh.RawServer(
        lh.answer_with(
            b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + lines + b"\r\n"
        )
    )
    exchange = exchanges.Exchange(
        "GET", f"http://{server.address}/", timeout_s=60.0, fresh=True
    )
    fut = client.call(exchange)
    lh.run_until(loop, fut.done)
    assert fut.result().status == 200


def test_a_wait_for_room_is_not_blamed_on_the_endpoint(world):
    body = b"s" * (2 * 1024 * 1024)
    world.endpoint("e1", lh.answer_with(answer(body=body)))
    world.start(route_document(kind="non_idempotent", timeout_ms=600))
    assert status(world.fetch(KEY)) == 200
    room = world.ctrl.client.room
    # Nobody gives way, and the one that goes on is complete.
    holder = room.open("x", world.loop.now(), lambda: None)
    room.set_size(holder, room.bounds.shared + room.bounds.largest)
    assert status(world.fetch(KEY)) == 504
    endpoint = world.ctrl.placement._pools["s1"]["e1"]
    assert endpoint.failures == 0 and endpoint.suspicions == 0
    room.close(holder)
    assert status(world.fetch(KEY)) == 200


def test_a_sound_answer_without_length_that_gave_way_is_no_flood(world):
    body = b"s" * (3 * 1024 * 1024)
    head = b"HTTP/1.1 200 OK\r\nRequest-Id: id1\r\nResponse-Stamp: s1\r\n\r\n"
    world.endpoint("e1", lh.answer_with(head + body))
    sound = b"t" * (4 * 1024 * 1024)
    world.endpoint("e2", lh.answer_with(answer(body=sound)), pool="s2")
    world.start(
        route_document(kind="non_idempotent"),
        route_document(
            name="r2", path_prefix="/b/", service="s2", kind="non_idempotent"
        ),
    )
    callers = [world.send(KEY) for _ in range(20)]
    callers += [world.send(KEY, path="/b/1") for _ in range(4)]
    for _ in range(300):
        world.loop.run_once(0.01)
    assert not world.ctrl.avoided.is_any()
    for caller in callers:
        caller.close()
