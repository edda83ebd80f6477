"""Nothing of a request stays after its end, without the garbage collector."""

import collections
import contextlib
import gc
import itertools
import logging
import random
import socket
import struct
import threading
import tracemalloc
import types

import gateway_world as gw
import h11
import loop_helpers as lh
import pytest
import store_hosts
import test_advisories
import test_gateway_stages as gateway_stages
import test_stages
from test_silent_engines import SilentEngine, first_of

from chervilarch import (
    attempts,
    exchanges,
    final_call,
    http_client,
    http_server,
    outcomes,
    pages,
    piece_calls,
    pieces,
    placement,
    routed,
    routed_context,
    serving,
    stage_coordination,
    stage_graph,
    stage_inputs,
    stage_scheduler,
    store,
    stream_call,
    tasks,
)

# What must be gone.
KINDS = (
    attempts.Failure,
    exchanges.Exchange,
    exchanges.Reply,
    exchanges.TransferFailure,
    final_call.BufferedCall,
    final_call.RunningAttempt,
    final_call.Success,
    h11.Connection,
    h11.Data,
    h11.Request,
    h11.Response,
    http_client.Transfer,
    http_server.Request,
    http_server.Responder,
    http_server._Connection,
    outcomes.Answer,
    outcomes.NotRun,
    outcomes.Rejected,
    outcomes.TooLate,
    outcomes.Unknown,
    piece_calls.PieceCall,
    pieces.Job,
    pieces.PendingJob,
    placement.Lease,
    routed.RoutedRequest,
    routed_context.RoutedContext,
    serving._CallerRequest,
    stage_coordination.Submission,
    stage_coordination._RemoteRun,
    stage_graph.GraphRunner,
    stage_graph.StageGraph,
    stage_inputs.StageInputs,
    stage_scheduler.ScheduledGraph,
    stream_call.StreamCall,
    stream_call._Attempt,
    tasks.Future,
    tasks.Mailbox,
    tasks.Task,
    types.GeneratorType,
    types.TracebackType,
)
# Waits for threads and for timers that are due; a deadline is far beyond it.
_WAIT_S = 3.0
_DEADLINE_MS = 50_000
_BODY = b"b" * (1 << 20)
_LARGE = b"a" * (1 << 20)
_EVENTS = gw.events(1, 2)
_MANY_EVENTS = b"data: %s\n\n" % (b"x" * 1000) * 8000


def live():
    """Returns how many objects of some types exist, reachable or not."""
    return collections.Counter(
        getattr(obj, "__qualname__", type(obj).__name__)
        for obj in gc.get_objects()
        if isinstance(obj, KINDS)
    )


@pytest.fixture
def no_collector(monkeypatch):
    """Leaves what is in reference cycles where it is."""
    # The captured log keeps the exceptions in it.
    monkeypatch.setattr(logging.getLogger("chervilarch"), "disabled", True)
    gc.collect()
    gc.disable()
    yield
    gc.enable()


@pytest.fixture
def kept(no_collector, monkeypatch):
    """Returns what begins a count and returns how to end it."""

    def begin(loop):
        lh.run_pending(loop, 20)
        gc.collect()
        before = live()

        def assert_nothing():
            monkeypatch.setattr(lh, "TIMEOUT_S", _WAIT_S)
            left = collections.Counter()

            def is_freed():
                # A count takes longer than many turns of the loop.
                lh.run_pending(loop, 100)
                left.clear()
                left.update(live() - before)
                return not left

            try:
                lh.run_until(loop, is_freed)
            except AssertionError:
                pytest.fail(f"kept: {dict(left)}")

        return assert_nothing

    return begin


class Scene:
    """A gateway, the type of its route's calls, and its endpoints.

    Attributes:
        go_on: lets endpoints that wait go on.
    """

    def __init__(self, world, kind, patch):
        self.world = world
        self.loop = world.loop
        self.kind = kind
        self.patch = patch
        self.go_on = threading.Event()
        self.has_begun = threading.Event()

    def endpoints(self, *serves, **changes):
        """Starts endpoints, which are chosen in their order."""
        for number, serve in enumerate(serves, 1):
            self.world.endpoint(f"e{number}", serve)
        own = self.world.ctrl.placement
        own.pick = first_of(own.pick)
        if self.kind in ("resumable", "stream"):
            route = gw.stream_route_document(timeout_ms=_DEADLINE_MS)
            route["resumable"] = self.kind == "resumable"
        else:
            route = gw.route_document(kind=self.kind, timeout_ms=_DEADLINE_MS)
        self.world.start({**route, **changes})
        self.await_configuration()

    def await_configuration(self):
        configuration = self.world.ctrl.configuration
        lh.run_until(self.loop, lambda: configuration.table is not None)

    def is_stream(self):
        return self.kind in ("resumable", "stream")

    def whole(self, conn):
        """Serves a whole answer."""
        lh.read_request(conn)
        if self.is_stream():
            conn.sendall(gw.stream(_EVENTS))
        else:
            conn.sendall(gw.answer(body=_LARGE))

    def hang(self, conn):
        """Answers once it may go on."""
        lh.read_request(conn)
        self.has_begun.set()
        self.go_on.wait(lh.TIMEOUT_S)
        conn.sendall(gw.answer(body=_LARGE))

    def large(self, conn):
        """Serves more than the sockets take."""
        lh.read_request(conn)
        self.has_begun.set()
        if self.is_stream():
            conn.sendall(gw.stream(_MANY_EVENTS))
        else:
            conn.sendall(gw.answer(body=_LARGE * 12))

    def send(self, *headers, body=_BODY, deadline_ms=_DEADLINE_MS, **changes):
        """Sends a request, larger than the sockets' buffers, in a thread."""
        conn = socket.create_connection(("127.0.0.1", self.world.server.port))
        data = request(*headers, body=body, deadline_ms=deadline_ms, **changes)
        thread = threading.Thread(target=conn.sendall, args=(data,))
        thread.start()
        lh.run_until(self.loop, lambda: not thread.is_alive())
        thread.join()
        conn.setblocking(False)
        return conn

    def fetch(self, *headers, **changes):
        """Sends a request on a connection of its own; reads until the end."""
        conn = self.send(("Connection", "close"), *headers, **changes)
        received = lh.receive(self.loop, conn, lambda data: b"<EOF>" in data)
        conn.close()
        return received

    def await_end(self):
        state = self.world.serving_state
        lh.run_until(self.loop, lambda: not state.in_flight)

    def await_replies(self):
        """A call that may run only once outlives its request."""
        client = self.world.ctrl.client
        lh.run_until(self.loop, lambda: not client._running)

    def await_call(self):
        lh.run_until(self.loop, self.has_begun.is_set)


def request(*headers, body=_BODY, deadline_ms=_DEADLINE_MS, path="/x/1"):
    lines = [
        f"POST {path} HTTP/1.1",
        "Host: a.example",
        "Request-Id: id1",
        f"Deadline-Ms: {deadline_ms}",
        f"Content-Length: {len(body)}",
        *(f"{name}: {value}" for name, value in (gw.KEY, *headers)),
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


BUFFERED = ("safe", "non_idempotent")
STREAMS = ("resumable", "stream")
ALL = BUFFERED + STREAMS
CASES = {}


def case(*kinds_of_call):
    """Registers a scenario for some kinds of call.

    It sets up its scene, yields before the request whose end it shows, and
    after it, when nothing of it may be left.
    """

    def register(scenario):
        name = scenario.__name__.replace("_", " ")
        for kind in kinds_of_call:
            CASES[f"{name}, {kind}"] = (scenario, kind)
        return scenario

    return register


@case(*ALL)
def a_whole_answer(scene):
    scene.endpoints(scene.whole)
    yield
    assert gw.status(scene.fetch()) == 200
    yield


@case(*ALL)
def a_lost_reply(scene):
    scene.endpoints(lh.answer_with(b""))
    yield
    assert gw.status(scene.fetch()) == 502
    yield


@case(*ALL)
def a_reply_to_another_request(scene):
    scene.endpoints(lh.answer_with(gw.answer(body=_LARGE, request_id="id9")))
    yield
    assert gw.status(scene.fetch()) == 502
    yield


@case(*ALL)
def a_retry_after_a_decline(scene):
    scene.endpoints(gw.decline(), scene.whole)
    yield
    assert gw.status(scene.fetch()) == 200
    yield


@case("safe")
def a_retry_after_a_server_error(scene):
    scene.endpoints(lh.answer_with(gw.answer(500, _LARGE)), scene.whole)
    yield
    assert gw.status(scene.fetch()) == 200
    yield


@case("safe", "resumable")
def an_endpoint_that_refuses_connections(scene):
    scene.endpoints(scene.whole, scene.whole)
    scene.world.servers[0].close()
    yield
    assert gw.status(scene.fetch()) == 200
    yield


@case("safe")
def a_hedge_that_wins(scene):
    scene.endpoints(scene.hang, scene.whole)
    yield
    assert gw.status(scene.fetch()) == 200
    scene.go_on.set()
    yield


@case("safe")
def a_hedge_that_loses(scene):
    def answer_after_the_hedge(conn):
        lh.read_request(conn)
        scene.has_begun.wait(lh.TIMEOUT_S)
        conn.sendall(gw.answer(body=_LARGE))

    scene.endpoints(answer_after_the_hedge, scene.hang)
    yield
    assert gw.status(scene.fetch()) == 200
    scene.go_on.set()
    yield


@case("safe")
def a_key_that_is_unknown(scene):
    scene.endpoints(scene.whole)
    yield
    conn = scene.world.send(("Connection", "close"))
    received = lh.receive(scene.loop, conn, lambda data: b"<EOF>" in data)
    assert gw.status(received) == 401
    conn.close()
    yield


@case("safe")
def a_path_without_a_route(scene):
    scene.endpoints(scene.whole)
    yield
    assert gw.status(scene.fetch(path="/y/1")) == 404
    yield


@case(*ALL)
def no_endpoint(scene):
    scene.endpoints()
    yield
    assert gw.status(scene.fetch()) == 503
    yield


@case("safe")
def no_configuration(scene):
    yield
    assert gw.status(scene.fetch()) == 503
    yield


@case("safe")
def headers_that_are_refused(scene):
    scene.endpoints(scene.whole)
    yield
    received = scene.fetch(("Pieces", "none"))
    assert gw.status(received) == 400
    yield


@case("safe")
def a_fault_in_the_filters(scene):
    scene.endpoints(scene.whole)
    yield
    scene.patch.setattr(scene.world.ctrl.placement, "pick", lambda *_: 1 / 0)
    assert gw.status(scene.fetch()) == 502
    yield


@case("safe")
def a_fault_before_the_filters(scene):
    scene.endpoints(scene.whole)
    yield
    with scene.patch.context() as patch:
        patch.setattr(serving, "RoutedContext", lambda *_: 1 / 0)
        assert gw.status(scene.fetch()) == 502
    yield


@case("safe")
def a_fault_as_the_request_is_parsed(scene):
    scene.endpoints(scene.whole)
    yield
    with scene.patch.context() as patch:
        patch.setattr(scene.world.ctrl.wire, "parse_request", lambda _: 1 / 0)
        assert gw.status(scene.fetch()) == 502
    yield


@case(*ALL)
def the_deadline(scene):
    scene.endpoints(scene.hang)
    yield
    assert gw.status(scene.fetch(deadline_ms=300)) == 504
    scene.go_on.set()
    yield


@case(*ALL)
def a_caller_that_leaves_before_its_answer(scene):
    scene.endpoints(scene.hang)
    yield
    conn = scene.send()
    scene.await_call()
    conn.close()
    scene.await_end()
    scene.go_on.set()
    scene.await_replies()
    yield


@case("safe")
def a_caller_that_leaves_within_its_body(scene):
    scene.endpoints(scene.whole)
    yield
    conn = scene.world.send(
        gw.KEY, ("Transfer-Encoding", "chunked"), body=b"100000\r\nbody"
    )
    conn.close()
    conn = socket.create_connection(("127.0.0.1", scene.world.server.port))
    conn.sendall(request()[:100_000])
    lh.run_pending(scene.loop, 20)
    conn.close()
    lh.run_until(scene.loop, lambda: not scene.world.server.connection_count())
    yield


@case(*ALL)
def a_caller_that_leaves_amid_its_answer(scene):
    scene.endpoints(scene.large)
    yield
    conn = scene.send()
    lh.receive(scene.loop, conn, lambda data: len(data) > 1000)
    conn.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    conn.close()
    scene.await_end()
    lh.run_until(scene.loop, lambda: not scene.world.server.connection_count())
    yield


@case(*STREAMS)
def a_caller_that_reads_slowly(scene):
    scene.endpoints(scene.large)
    yield
    conn = scene.send(("Connection", "close"))
    server = scene.world.server
    lh.run_until(
        scene.loop,
        lambda: any(
            c.unsent_bytes() > http_server.WRITE_HIGH_BYTES
            for c in server._connections
        ),
    )
    received = lh.receive(scene.loop, conn, lambda data: b"<EOF>" in data)
    assert received.endswith(b"0\r\n\r\n<EOF>")
    conn.close()
    yield


@case("stream")
def an_abort_amid_an_answer(scene):
    scene.endpoints(lh.answer_with(gw.stream(_EVENTS, ends=False)))
    yield
    assert not scene.fetch().endswith(b"0\r\n\r\n<EOF>")
    yield


@case("resumable")
def a_stream_that_resumes_elsewhere(scene):
    scene.endpoints(
        lh.answer_with(gw.stream(_EVENTS, ends=False)),
        lh.answer_with(gw.stream(gw.events(3, 4))),
    )
    yield
    assert scene.fetch().endswith(b"0\r\n\r\n<EOF>")
    yield


@case("resumable")
def a_stream_that_cannot_resume(scene):
    part = lh.answer_with(gw.stream(_EVENTS, ends=False))
    scene.endpoints(part, lh.answer_with(gw.answer(500, b"sorry")))
    yield
    assert not scene.fetch().endswith(b"0\r\n\r\n<EOF>")
    yield


@case("resumable")
def a_silent_engine_that_is_replaced(scene):
    scene.patch.setattr(stream_call, "_MIN_GAP_S", 0.02)
    silent = SilentEngine(_EVENTS)
    scene.endpoints(
        silent.serve,
        lh.answer_with(gw.stream(gw.events(3, 4))),
        gap_aim_ms=10,
    )
    yield
    assert scene.fetch().endswith(b"0\r\n\r\n<EOF>")
    silent.go_on()
    yield


@case("resumable")
def a_silent_engine_that_goes_on(scene):
    scene.patch.setattr(stream_call, "_MIN_GAP_S", 0.02)
    silent = SilentEngine(_EVENTS)

    def let_go_on(conn):
        lh.read_request(conn)
        silent.go_on()
        conn.recv(1)

    scene.endpoints(silent.serve, let_go_on, gap_aim_ms=10)
    scene.patch.setattr(stream_call, "_TAKEOVER_S", lh.TIMEOUT_S)
    yield
    assert gw.events(3, 4) in scene.fetch()
    yield


@case("resumable")
def a_caller_that_leaves_while_its_engine_is_silent(scene):
    scene.patch.setattr(stream_call, "_MIN_GAP_S", 0.02)
    scene.patch.setattr(stream_call, "_TAKEOVER_S", lh.TIMEOUT_S)
    silent = SilentEngine(_EVENTS)
    scene.endpoints(silent.serve, scene.hang, gap_aim_ms=10)
    yield
    conn = scene.send()
    scene.await_call()
    conn.close()
    scene.await_end()
    silent.go_on()
    scene.go_on.set()
    yield


@case(*ALL)
def a_stop_that_cuts_the_request_off(scene):
    scene.endpoints(scene.hang)
    yield
    conn = scene.send(("Connection", "close"))
    scene.await_call()
    scene.world.handler.cut_off()
    lh.receive(scene.loop, conn, lambda data: b"<EOF>" in data)
    conn.close()
    scene.go_on.set()
    scene.await_replies()
    yield


@case(*STREAMS)
def a_stop_that_breaks_off_an_answer(scene):
    scene.endpoints(scene.large)
    yield
    conn = scene.send()
    lh.receive(scene.loop, conn, lambda data: len(data) > 1000)
    scene.world.handler.cut_off()
    lh.receive(scene.loop, conn, lambda data: b"<EOF>" in data)
    conn.close()
    yield


@case("safe")
def a_stop_that_refuses_a_body_half_sent(scene):
    scene.endpoints(scene.whole)
    yield
    conn = socket.create_connection(("127.0.0.1", scene.world.server.port))
    conn.sendall(request()[:100_000])
    conn.setblocking(False)
    lh.run_until(
        scene.loop,
        lambda: any(c._first_byte_at for c in scene.world.server._connections),
    )
    lh.run_pending(scene.loop, 20)
    scene.world.server.refuse_unread()
    lh.receive(scene.loop, conn, lambda data: b"503" in data)
    conn.close()
    yield


@case("safe")
def a_stop_that_closes_an_idle_connection(scene):
    scene.endpoints(scene.whole)
    yield
    conn = scene.send()
    lh.receive(scene.loop, conn, lambda data: data.endswith(_LARGE))
    scene.await_end()
    scene.world.server.close_idle()
    lh.receive(scene.loop, conn, lambda data: b"<EOF>" in data)
    conn.close()
    yield


@case(*ALL)
def a_kept_connection(scene):
    scene.endpoints(scene.whole)
    end = b"0\r\n\r\n" if scene.is_stream() else _LARGE
    conn = scene.send(body=b"")
    lh.receive(scene.loop, conn, lambda data: data.endswith(end))
    yield
    for _ in range(3):
        conn.sendall(request(body=b"b" * 10_000))
        lh.receive(scene.loop, conn, lambda data: data.endswith(end))
    yield
    conn.close()


@case("safe", "resumable")
def a_pipelined_request(scene):
    scene.endpoints(scene.whole)
    end = b"0\r\n\r\n" if scene.is_stream() else _LARGE
    conn = scene.send(body=b"")
    lh.receive(scene.loop, conn, lambda data: data.endswith(end))
    yield
    conn.sendall(request(body=b"b" * 10_000) * 3)
    lh.receive(
        scene.loop,
        conn,
        lambda data: data.count(b"HTTP/1.1 200") == 3 and data.endswith(end),
    )
    scene.await_end()
    yield
    conn.close()


@case("safe")
def a_caller_that_leaves_while_the_host_learns_what_it_missed(scene):
    scene.endpoints(scene.whole)
    yield
    pending = tasks.Future()
    with scene.patch.context() as patch:
        patch.setattr(scene.world.ctrl.resumption, "_pending", pending)
        conn = scene.send()
        state = scene.world.serving_state
        lh.run_until(scene.loop, lambda: state.in_flight == 1)
        conn.close()
        scene.await_end()
    del pending
    yield


class Stages:
    """Workers of a route with two stages."""

    def __init__(self, scene):
        self.first = gateway_stages.StageServer()
        self.second = gateway_stages.StageServer()
        self._scene = scene

    def start(self, first=None):
        """Starts the workers; those of the first stage may be others."""
        scene = self._scene
        scene.world.endpoint("m1", first or self.first.serve, pool="p1")
        scene.world.endpoint("m2", self.second.serve, pool="p2")
        pools = ({"name": "p1"}, {"name": "p2"})
        services = [
            {"name": "s1"},
            *({**pool, "pieces": gateway_stages.PIECES} for pool in pools),
        ]
        stages = [
            {"service": "p1", "after": [], "bytes": 100},
            {"service": "p2", "after": [0], "bytes": 100},
        ]
        start = scene.world.start
        scene.world.start = lambda route: start(
            {**route, "stages": stages}, services=services
        )


_PIECES = (("Pieces", "2,1"), ("Piece-Key", "pk"))


@case("safe", "resumable")
def stages_and_an_answer(scene):
    Stages(scene).start()
    scene.endpoints(scene.whole)
    yield
    assert gw.status(scene.fetch(*_PIECES)) == 200
    yield


@case("safe", "resumable")
def stages_without_a_worker(scene):
    Stages(scene).start()
    scene.world.store.write(store.Topic.ENDPOINTS, "m1", b"")
    scene.endpoints(scene.whole)
    yield
    assert gw.status(scene.fetch(*_PIECES)) == 503
    yield


@case("safe", "resumable")
def a_caller_that_leaves_while_its_stages_run(scene):
    Stages(scene).start(scene.hang)
    scene.endpoints(scene.whole)
    yield
    conn = scene.send(*_PIECES)
    scene.await_call()
    conn.close()
    scene.await_end()
    scene.go_on.set()
    scene.await_replies()
    yield


@case("safe", "resumable")
def a_stop_while_stages_run(scene):
    Stages(scene).start(scene.hang)
    scene.endpoints(scene.whole)
    yield
    conn = scene.send(("Connection", "close"), *_PIECES)
    scene.await_call()
    scene.world.handler.cut_off()
    lh.receive(scene.loop, conn, lambda data: b"<EOF>" in data)
    conn.close()
    scene.go_on.set()
    scene.await_replies()
    yield


@case("resumable")
def stages_that_run_again(scene):
    Stages(scene).start()
    gone = gw.answer(409, b"", stamp="", extra="Not-Executed: 1\r\n")
    scene.endpoints(lh.answer_with(gone), scene.whole)
    yield
    assert gw.status(scene.fetch(*_PIECES)) == 200
    yield


@case("safe")
def a_piece_call_that_fails(scene):
    stages = Stages(scene)
    seen = []

    def fail_once(conn):
        if seen:
            stages.first.serve(conn)
        else:
            seen.append(lh.read_request(conn))

    stages.start(fail_once)
    scene.endpoints(scene.whole)
    yield
    assert gw.status(scene.fetch(*_PIECES)) == 200
    yield


@pytest.mark.parametrize("name", CASES)
def test_an_ended_request_leaves_nothing(world, kept, name, monkeypatch):
    scenario, kind = CASES[name]
    steps = scenario(Scene(world, kind, monkeypatch))
    next(steps)
    assert_nothing = kept(world.loop)
    next(steps)
    assert_nothing()
    next(steps, None)


def test_the_body_of_a_request_exists_once_while_it_is_served(
    world, no_collector, monkeypatch
):
    scene = Scene(world, "safe", monkeypatch)
    body = b"b" * gw.CALLER_LIMITS["max_body_bytes"]

    def read_all(conn):
        left = len(body)
        while chunk := conn.recv(65536):
            left -= len(chunk)
            if left <= 0:
                scene.has_begun.set()

    scene.endpoints(read_all)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    conn = scene.send(body=body)
    scene.await_call()
    held = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    assert held < 1.5 * len(body)
    conn.close()
    scene.await_end()


class StageHost:
    """A host that may coordinate; the test completes its pieces."""

    def __init__(self, loop, clock, name):
        self.peers = []
        self.runner = test_stages.FakeRunner()
        engines = placement.Placement(
            "dc1", clock, random.Random(1), lh.new_avoidances(clock)
        )
        self.coordinator = stage_coordination.StageCoordinator(
            loop,
            stage_scheduler.StageScheduler(loop, self.runner, engines),
            stage_coordination.Peer(name, ("127.0.0.1", 0)),
            lambda: self.peers,
            b"k" * 16,
        )
        address = self.coordinator._socket.address
        self.peer = stage_coordination.Peer(name, address)

    def complete(self):
        """Completes the piece of its only graph, and forgets it."""
        self.runner.complete(0)
        self.runner.jobs.clear()


class StageHosts:
    """Two hosts; the first is the coordinator."""

    def __init__(self):
        self.loop, self.clock = lh.new_loop()
        hosts = [StageHost(self.loop, self.clock, n) for n in ("n1", "n2")]
        hosts.sort(
            key=lambda h: stage_coordination.election_priority(h.peer),
            reverse=True,
        )
        self.first, self.second = hosts
        self.first.peers = [self.second.peer]
        self.second.peers = [self.first.peer]

    def submit(self, host, is_deferred=False):
        """Submits a graph of one piece; waits until it runs or is deferred."""
        count = 40 if is_deferred else 0
        self.first.runner.queues["p"].add_upcoming(1, count)
        now = self.loop.now()
        submission = host.coordinator.submit(
            test_stages.build_graph(
                test_stages.spec("p"),
                objective_at=now + 1.0,
                deadline_at=now + 60.0,
            )
        )
        scheduler = self.first.coordinator._scheduler
        lh.run_until(
            self.loop, lambda: self.first.runner.jobs or scheduler._deferred
        )
        return submission

    def advance(self, seconds):
        lh.advance(self.loop, self.clock, seconds)


def results_arrive(hosts, host):
    submission = hosts.submit(host)
    hosts.first.complete()
    lh.run_until(hosts.loop, submission.future.done)


def its_submitter_cancels(hosts, host):
    host.coordinator.cancel(hosts.submit(host))
    hosts.advance(0.1)
    hosts.first.runner.jobs.clear()


def its_submitter_cancels_while_it_is_deferred(hosts, host):
    host.coordinator.cancel(hosts.submit(host, is_deferred=True))
    hosts.advance(0.1)


def it_is_refused_after_a_deferral(hosts, host):
    submission = hosts.submit(host, is_deferred=True)
    hosts.advance(0.5)
    assert submission.future.done()


def its_coordinator_changes(hosts, host):
    submission = hosts.submit(host)
    hosts.first.coordinator.leave()
    hosts.second.peers = []
    hosts.first.peers = [hosts.second.peer._replace(milli_cores=1)]
    lh.run_until(
        hosts.loop, lambda: hosts.advance(0.1) or hosts.second.runner.jobs
    )
    hosts.second.complete()
    lh.run_until(
        hosts.loop, lambda: hosts.advance(0.1) or submission.future.done()
    )
    hosts.first.runner.jobs.clear()


def its_submitter_is_silent(hosts, host):
    submission = hosts.submit(host)
    host.coordinator._forget(submission)
    host.coordinator._local_submissions.clear()
    hosts.advance(3.0)
    hosts.first.runner.jobs.clear()


ENDS = [
    results_arrive,
    its_submitter_cancels,
    its_submitter_cancels_while_it_is_deferred,
    it_is_refused_after_a_deferral,
    its_coordinator_changes,
]


@pytest.mark.parametrize(
    ("end", "submitter"),
    [
        *itertools.product(ENDS, ["first", "second"]),
        (its_submitter_is_silent, "second"),
    ],
)
def test_an_ended_graph_leaves_nothing_at_any_host(kept, end, submitter):
    hosts = StageHosts()
    host = getattr(hosts, submitter)
    assert_nothing = kept(hosts.loop)
    end(hosts, host)
    assert_nothing()
    for each in (hosts.first, hosts.second):
        each.coordinator.close()
    hosts.loop.close()


def read_the_store():
    hosts = store_hosts.run_hosts(3, data_centres=1)
    loop, clock, shared, members = next(hosts)

    def run():
        for host in members:
            host.source.calls.clear()
        while not any(host.reads() for host in members):
            clock.advance(0.2)
            lh.run_pending(loop)

    yield run
    next(hosts, None)


def exchange_advisories():
    loop, clock = lh.new_loop()
    hosts = []
    for name in ("h1", "h2"):
        test_advisories.Host(loop, name, hosts, lh.FakeStore())

    def run():
        clock.advance(0.2)
        lh.run_pending(loop)

    yield run
    for host in hosts:
        host.exchange.close()
    loop.close()


def run_stages_elsewhere():
    hosts = StageHosts()

    def run():
        results_arrive(hosts, hosts.second)
        hosts.first.runner.freed.clear()
        hosts.advance(0.1)

    yield run
    for host in (hosts.first, hosts.second):
        host.coordinator.close()
    hosts.loop.close()


def show_pages():
    loop, clock = lh.new_loop()
    handler = pages.PageHandler(lambda _: (200, "text/plain", b"page"))
    server = http_server.Server(loop, "127.0.0.1:0", handler)
    kept = lh.connect(server.port)

    def fetch(conn):
        conn.sendall(b"GET /p HTTP/1.1\r\nHost: a\r\n\r\n")
        received = bytearray()

        def is_answered():
            with contextlib.suppress(BlockingIOError):
                received.extend(conn.recv(4096))
            return received.endswith(b"page")

        lh.run_until(loop, is_answered)

    def run():
        fetch(kept)
        conn = lh.connect(server.port)
        fetch(conn)
        conn.close()
        lh.run_until(loop, lambda: server.connection_count() == 1)
        clock.advance(0.3)

    yield run
    kept.close()
    server.stop_accepting()
    loop.close()


@pytest.mark.parametrize(
    "work",
    [
        read_the_store,
        exchange_advisories,
        run_stages_elsewhere,
        show_pages,
    ],
)
def test_repeated_work_leaves_nothing(no_collector, work):
    steps = work()
    run = next(steps)
    # Cancelled timers are freed when they would have been due.
    for _ in range(100):
        run()
    before = len(gc.get_objects())
    for _ in range(200):
        run()
    # Less than one object for each time.
    assert len(gc.get_objects()) - before < 200
    next(steps, None)
