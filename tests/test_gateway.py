"""The whole path of the gateway against stand-ins on loopback.

Callers, endpoints and the gateway speak over real sockets; the store is in
memory, the clock is the host's own, and the tests wait on events.
"""

import json
import socket

import loop_helpers as lh
import pytest

from chervilarch import (
    clocks,
    gateway,
    gateway_settings,
    inbound,
    outgoing,
    serving,
    store,
    telemetry,
)
from chervilarch import loop as loops

LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 4194304,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}
BOUNDS = gateway_settings.GatewayBounds(2.0, 2.0, 8.0, 0.2, 56.0, 10.0)
KEY = ("Authorization", "Bearer k1")


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


class World:
    """A gateway with its store and stand-ins."""

    def __init__(self):
        self.loop = loops.Loop(clocks.SystemClock())
        self.store = lh.FakeStore()
        self.servers = []
        port = lh.free_ports(3)
        cfg = gateway_settings.GatewaySettings(
            "n1",
            "dc1",
            "127.0.0.1:0",
            "127.0.0.1:0",
            "127.0.0.1",
            (port, port + 2),
            0,
            "127.0.0.1:1",
            "test",
            (),
            0.0,
            1.0,
            BOUNDS,
        )
        self.meters = telemetry.Telemetry()
        client = outgoing.Client(self.loop)
        self.ctrl = gateway.build(
            cfg, self.loop, self.meters, client, self.store
        )
        self.phase = serving.Phase()
        self.handler = serving.CallerHandler(self.ctrl, self.phase)
        self.server = inbound.Server(self.loop, "127.0.0.1:0", self.handler)

    def close(self):
        self.server.stop_accepting()
        self.ctrl.stages.close()
        self.ctrl.sharing.close()
        for server in self.servers:
            server.close()

    def endpoint(self, name, serve, pool="s1", **fields):
        """Adds a stand-in endpoint and lists it."""
        server = lh.RawServer(serve)
        self.servers.append(server)
        entry = {
            "service": pool,
            "address": server.address,
            "zone": "dc1",
            "slots": 8,
            "state": "ready",
            "sequence": 1,
            "born": 1,
            **fields,
        }
        self.store.write(
            store.Topic.ENDPOINTS, name, json.dumps(entry).encode()
        )
        return server

    def start(self, *routes, services=({"name": "s1"},), tenants=True):
        config = {
            "version": 1,
            "routes": list(routes),
            "services": list(services),
            "limits": LIMITS,
        }
        if tenants:
            config["tenants"] = [{"name": "t1", "api_keys": ["k1"]}]
        self.store.write(
            store.Topic.CONFIGURATION, "config", json.dumps(config).encode()
        )
        self.ctrl.configuration.follower._pause_s = 0.05
        self.ctrl.configuration.follower.start()
        self.ctrl.endpoints.follower.start()

    def send(self, *headers, method="POST", path="/x/1", body=b"in"):
        conn = lh.connect(self.server.port)
        lines = [
            f"{method} {path} HTTP/1.1",
            "Host: a.example",
            "Request-Id: id1",
            "Deadline-Ms: 5000",
            f"Content-Length: {len(body)}",
            *(f"{name}: {value}" for name, value in headers),
        ]
        conn.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        return conn

    def ask(self, *headers, **changes):
        """Sends a request and returns the whole answer."""
        conn = self.send(("Connection", "close"), *headers, **changes)
        got = lh.receive(self.loop, conn, lambda data: b"<EOF>" in data)
        return got.removesuffix(b"<EOF>")


@pytest.fixture
def world():
    made = World()
    yield made
    made.close()


def route(**changes):
    return {
        "name": "r1",
        "host": "a.example",
        "path_prefix": "/x/",
        "kind": "safe",
        "timeout_ms": 4000,
        "target_latency_ms": 1000,
        "service": "s1",
        "max_attempts": 2,
        **changes,
    }


def stream_route(**changes):
    return route(
        kind="streaming", resumable=True, gap_aim_ms=500, sticky=True, **changes
    )


def answer(
    status=200, body=b"out", request_id="id1", stamp="s1", extra="", cut=0
):
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body) + cut}\r\n"
    if request_id:
        head += f"Request-Id: {request_id}\r\n"
    if stamp:
        head += f"Response-Stamp: {stamp}\r\n"
    return f"{head}{extra}\r\n".encode() + body


def serving_with(data, seen=None):
    def serve(conn):
        request = lh.read_request(conn)
        if seen is not None:
            seen.append(request)
        conn.sendall(data)

    return serve


def decline(seen=None):
    data = answer(503, b"", stamp="", extra="Not-Executed: 1\r\n")
    return serving_with(data, seen)


def status(got):
    return int(got.split(b" ")[1])


def test_a_request_passes_unchanged_and_its_answer_too(world):
    seen = []
    world.endpoint("e1", serving_with(answer(), seen))
    world.start(route())
    got = world.ask(KEY, ("X-App", "1"), path="/x/a%20b?q=%2F..")
    assert status(got) == 200 and got.endswith(b"out")
    assert b"response-stamp: s1" in got.lower()
    head = seen[0].lower()
    assert seen[0].startswith(b"POST /x/a%20b?q=%2F.. HTTP/1.1\r\n")
    assert seen[0].endswith(b"\r\n\r\nin")
    assert b"tenant: t1" in head and b"expect-instance: e1" in head
    assert b"authorization" not in head and b"x-app: 1" in head
    assert b"expect:" not in head and b"accept:" not in head


@pytest.mark.parametrize(
    ("headers", "path", "expected"),
    [((), "/x/1", 401), ((KEY,), "/y/1", 404)],
)
def test_what_the_configuration_does_not_allow_is_refused(
    world, headers, path, expected
):
    world.endpoint("e1", serving_with(answer()))
    world.start(route())
    assert status(world.ask(*headers, path=path)) == expected


def test_without_a_configuration_a_request_is_told_to_come_back(world):
    got = world.ask(KEY)
    assert status(got) == 503 and b"retry-after" in got.lower()


@pytest.mark.parametrize(
    "bad",
    [
        answer(stamp=""),
        answer(request_id="other"),
        answer(cut=5),
        b"garbage\r\n\r\n",
        b"",
    ],
)
def test_what_is_no_answer_to_this_request_is_never_passed_on(world, bad):
    world.endpoint("e1", serving_with(bad))
    world.start(route(kind="non_idempotent"))
    assert status(world.ask(KEY)) == 502


def test_a_call_that_may_run_once_is_sent_once_however_it_ends(world):
    seen = []
    world.endpoint("e1", serving_with(b"", seen))
    world.endpoint("e2", serving_with(b"", seen))
    world.start(route(kind="non_idempotent"))
    assert status(world.ask(KEY)) == 502
    assert len(seen) == 1


def test_a_declined_call_goes_on_to_another_endpoint(world):
    seen = []
    world.endpoint("e1", decline(seen))
    world.endpoint("e2", serving_with(answer(), seen))
    world.start(route(kind="non_idempotent"))
    for _ in range(4):
        assert status(world.ask(KEY)) == 200


def test_a_refusal_after_declines_promises_that_nothing_ran(world):
    world.endpoint("e1", decline())
    world.start(route(kind="non_idempotent"))
    got = world.ask(KEY)
    assert status(got) == 503 and b"retry-after" in got.lower()


def test_a_fault_of_one_endpoint_is_made_good_by_another(world):
    world.endpoint("e1", serving_with(answer(500, b"sorry")))
    world.endpoint("e2", serving_with(answer()))
    world.start(route())
    assert {status(world.ask(KEY)) for _ in range(4)} == {200}


def test_a_fault_that_may_not_be_repeated_is_passed_on_as_it_is(world):
    world.endpoint("e1", serving_with(answer(500, b"sorry", stamp="s9")))
    world.start(route(kind="non_idempotent"))
    got = world.ask(KEY)
    assert status(got) == 500 and got.endswith(b"sorry")
    assert b"response-stamp: s9" in got.lower()


def test_an_address_in_other_use_is_not_asked_again(world):
    seen = []
    taken = answer(421, b"", stamp="", extra="Instance-Id: other\r\n")
    world.endpoint("e1", serving_with(taken, seen))
    world.endpoint("e2", serving_with(answer()))
    world.start(route())
    for _ in range(4):
        assert status(world.ask(KEY)) == 200
    assert len(seen) <= 1


def test_a_silent_endpoint_is_given_up_at_the_time_out(world):
    def silent(conn):
        lh.read_request(conn)
        conn.recv(1)

    world.endpoint("e1", silent)
    world.start(route(kind="non_idempotent", timeout_ms=300))
    assert status(world.ask(KEY)) == 504


def start_a_call_that_hangs(world):
    """Returns the caller's connection and what the endpoint reads last."""
    cut = []

    def wait_for_end(conn):
        lh.read_request(conn)
        cut.append(conn.recv(1))

    server = world.endpoint("e1", wait_for_end)
    world.start(route())
    conn = world.send(KEY)
    lh.run_until(world.loop, lambda: server.connections == 1)
    lh.run_until(world.loop, lambda: world.phase.in_flight == 1)
    return conn, cut


def test_a_caller_that_leaves_has_its_repeatable_call_cut(world):
    conn, cut = start_a_call_that_hangs(world)
    conn.close()
    lh.run_until(world.loop, lambda: cut == [b""])
    assert world.phase.in_flight == 0


def test_what_is_in_flight_at_the_end_is_stopped_in_order(world):
    conn, cut = start_a_call_that_hangs(world)
    world.handler.close()
    world.ctrl.stages.close()
    world.ctrl.client.close()
    lh.run_until(world.loop, lambda: cut == [b""])
    assert world.phase.in_flight == 0
    conn.close()


def read_status(world, conn):
    """Returns the status of the answer that comes on a connection."""
    conn.setblocking(False)
    data = bytearray()

    def is_read():
        try:
            data.extend(conn.recv(65536))
        except BlockingIOError:
            pass
        return b"\r\n" in data

    lh.run_until(world.loop, is_read)
    return status(bytes(data))


def test_what_is_cut_off_at_the_end_gets_an_answer(world):
    conn, cut = start_a_call_that_hangs(world)
    world.handler.cut_off()
    assert world.phase.in_flight == 0
    # It may have run: that promises nothing.
    assert read_status(world, conn) == 504
    lh.run_until(world.loop, lambda: cut == [b""])
    conn.close()


def test_what_waits_for_stages_at_the_end_is_refused(world):
    waiting = []

    def wait_for_end(conn):
        lh.read_request(conn)
        waiting.append(conn)
        conn.recv(1)

    world.endpoint("e1", serving_with(stream(events(1, 2))))
    world.endpoint("m1", wait_for_end, pool="p1")
    stages = [{"service": "p1", "after": [], "bytes": 100}]
    services = [{"name": "s1"}, {"name": "p1", "pieces": PIECES}]
    world.start(stream_route(stages=stages), services=services)
    conn = world.send(KEY, ("Pieces", "1"), ("Piece-Key", "pk"))
    lh.run_until(world.loop, lambda: waiting)
    world.handler.cut_off()
    assert read_status(world, conn) == 503
    conn.close()


def events(first, last):
    return b"".join(
        b"id: %d\ndata: e%d\n\n" % (n, n) for n in range(first, last + 1)
    )


def stream(data, ends=True):
    head = (
        b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        b"Request-Id: id1\r\nResponse-Stamp: s1\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n"
    )
    chunk = b"%x\r\n%s\r\n" % (len(data), data)
    return head + chunk + (b"0\r\n\r\n" if ends else b"")


def test_a_stream_is_passed_on_whole(world):
    world.endpoint("e1", serving_with(stream(events(1, 5))))
    world.start(stream_route())
    got = world.ask(KEY)
    assert events(1, 5) in got and got.endswith(b"0\r\n\r\n")


def test_a_broken_stream_goes_on_elsewhere_after_its_last_whole_event(world):
    asked = []

    def serve(conn):
        request = lh.read_request(conn)
        asked.append(request)
        if b"Last-Event-Id: 2" in request:
            conn.sendall(stream(events(3, 4)))
        else:
            conn.sendall(stream(events(1, 2) + b"id: 3\ndat", ends=False))

    world.endpoint("e1", serve)
    world.endpoint("e2", serve)
    world.start(stream_route())
    got = world.ask(KEY)
    assert len(asked) == 2
    body = got.partition(b"\r\n\r\n")[2]
    assert b"".join(part for part in body.split(b"\r\n") if b"id:" in part) == (
        events(1, 4)
    )
    assert got.endswith(b"0\r\n\r\n")


def test_an_endpoint_that_cannot_be_reached_does_not_use_up_attempts(world):
    asked = []

    def serve(conn):
        request = lh.read_request(conn)
        asked.append(request)
        if b"Last-Event-Id: 2" in request:
            conn.sendall(stream(events(3, 4)))
            return
        # While this one streams, two others go.
        for server in world.servers[1:3]:
            server.close()
        conn.sendall(stream(events(1, 2), ends=False))

    for name in ("e1", "e2", "e3", "e4"):
        world.endpoint(name, serve)
    world.start(stream_route())
    world.ctrl.placement.pick = pick_in_order(world)
    got = world.ask(KEY)
    assert len(asked) == 2 and got.endswith(b"0\r\n\r\n")


def pick_in_order(world):
    plain = world.ctrl.placement.pick

    def pick(need, tried):
        names = {"e1", "e2", "e3", "e4"}
        first = min(names - tried)
        return plain(need, names - {first})

    return pick


def test_a_late_answer_tells_of_the_endpoint_only_on_a_proven_route(world):
    def silent(conn):
        if b" /x/slow" in lh.read_request(conn):
            conn.recv(1)
        else:
            conn.sendall(answer())

    world.endpoint("e1", silent)
    world.start(route(kind="non_idempotent", timeout_ms=200))
    endpoint = lambda: world.ctrl.placement._pools["s1"]["e1"]  # noqa: E731
    assert status(world.ask(KEY, path="/x/slow")) == 504
    assert endpoint().failures == 0
    assert status(world.ask(KEY)) == 200
    assert status(world.ask(KEY, path="/x/slow")) == 504
    assert endpoint().failures == 1 and endpoint().suspicions == 1


@pytest.mark.parametrize("ends", [True, False])
def test_a_stream_that_may_not_be_resumed_never_looks_whole(world, ends):
    seen = []
    part = events(1, 2) + b"id: 3\ndat"
    world.endpoint("e1", serving_with(stream(part, ends), seen))
    world.endpoint("e2", serving_with(stream(part, ends), seen))
    world.start({**stream_route(), "resumable": False})
    got = world.ask(KEY)
    assert events(1, 2) in got and not got.endswith(b"0\r\n\r\n")
    assert len(seen) == 1


PIECES = {
    "slots": 1,
    "queue": 2,
    "batch": 4,
    "call_ms": 50.0,
    "item_ms": 5.0,
    "headroom_mb": 1.0,
    "handle_s": 4.0,
}


class StageServer:
    """Makes pieces; `lost` handles are named as gone."""

    def __init__(self):
        self.calls = []
        self.freed = []

    def serve(self, conn):
        request = lh.read_request(conn)
        path = request.split(b" ")[1]
        document = json.loads(request.partition(b"\r\n\r\n")[2])
        if path.endswith(b"stage-free"):
            self.freed += document["handles"]
            conn.sendall(answer(200, b"{}"))
            return
        self.calls.append(document["items"])
        made = [
            {"handle": f"h{item['stage']}.{item['piece']}.{item['id']}"}
            for item in document["items"]
        ]
        conn.sendall(answer(200, json.dumps({"items": made}).encode()))


def start_stages(world, route_of, second):
    stages = [
        {"service": "p1", "after": [], "bytes": 100},
        {"service": "p2", "after": [0], "bytes": 100},
    ]
    services = [
        {"name": "s1"},
        {"name": "p1", "pieces": PIECES},
        {"name": "p2", "pieces": PIECES},
    ]
    first = StageServer()
    world.endpoint("m1", first.serve, pool="p1")
    world.endpoint("m2", second.serve, pool="p2")
    world.start(route_of(stages=stages), services=services)
    return first


def test_stages_run_before_the_call_and_their_results_are_freed(world):
    seen = []
    second = StageServer()
    world.endpoint("e1", serving_with(stream(events(1, 2)), seen))
    first = start_stages(world, stream_route, second)
    got = world.ask(KEY, ("Pieces", "2,1"), ("Piece-Key", "pk"))
    assert events(1, 2) in got
    assert [item["key"] for item in first.calls[0]] == ["pk", "pk"]
    assert second.calls[0][0]["inputs"] == ["h0.0.id1", "h0.1.id1"]
    assert b"Inputs: h1.0.id1\r\n" in seen[0]
    lh.run_until(
        world.loop,
        lambda: (
            sorted(first.freed + second.freed)
            == ["h0.0.id1", "h0.1.id1", "h1.0.id1"]
        ),
    )


def test_results_that_an_engine_misses_are_made_again(world):
    seen = []

    def serve(conn):
        request = lh.read_request(conn)
        seen.append(request)
        if len(seen) == 1:
            gone = answer(409, b"", stamp="", extra="Not-Executed: 1\r\n")
            conn.sendall(gone)
        else:
            conn.sendall(stream(events(1, 2)))

    second = StageServer()
    world.endpoint("e1", serve)
    world.endpoint("e2", serve)
    start_stages(world, stream_route, second)
    got = world.ask(KEY, ("Pieces", "1,1"), ("Piece-Key", "pk"))
    assert events(1, 2) in got
    assert len(second.calls) == 2


def test_stages_made_again_in_the_middle_of_a_stream_are_known_as_such(world):
    asked = []

    def serve(conn):
        asked.append(lh.read_request(conn))
        first = len(asked)
        conn.sendall(stream(events(first, first), ends=first == 2))

    world.endpoint("e1", serve)
    world.endpoint("e2", serve)
    start_stages(world, stream_route, StageServer())
    orders = []
    submit = world.ctrl.stages.submit
    world.ctrl.stages.submit = lambda what: orders.append(what) or submit(what)
    got = world.ask(KEY, ("Pieces", "1,1"), ("Piece-Key", "pk"))
    assert events(2, 2) in got
    assert [what.is_begun for what in orders] == [False, True]
    assert orders[1].objective_at > orders[0].objective_at


def test_without_endpoints_for_a_stage_a_request_is_refused(world):
    world.endpoint("e1", serving_with(stream(events(1, 2))))
    stages = [{"service": "p1", "after": [], "bytes": 100}]
    services = [{"name": "s1"}, {"name": "p1", "pieces": PIECES}]
    world.start(stream_route(stages=stages), services=services)
    got = world.ask(KEY, ("Pieces", "1"), ("Piece-Key", "pk"))
    assert status(got) == 503 and b"retry-after" in got.lower()


def test_the_metrics_page_counts_what_happened(world):
    world.endpoint("e1", serving_with(answer()))
    world.start(route())
    world.ask(KEY)
    text = world.meters.text().decode()
    assert (
        'chervilarch_requests_total{account="t1",outcome="answer 200",'
        'route="r1"} 1.0' in text
    )
    assert "chervilarch_request_seconds_bucket" in text
