"""An evacuated data centre gets no new work, and what runs there goes on."""

import threading

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
from test_gateway_stages import PIECES, StageServer
from test_piece_runner import World as PieceWorld
from test_piece_runner import name_of

from chervilarch import (
    endpoint_state,
    placement,
    reachability,
    store,
    stream_call,
    tasks,
)
from chervilarch.futures import Future

SERVICES = [{"name": "s1"}, {"name": "p1", "pieces": PIECES}]
STAGES = [{"service": "p1", "after": [], "bytes": 100}]
ZONES = {"dc1": "e1", "dc2": "e2"}


class HeldServer:
    """A fake endpoint that answers once `release` is called."""

    def __init__(self, data):
        self.requests = []
        self._data = data
        self._released = threading.Event()

    def serve(self, conn):
        self.requests.append(lh.read_request(conn))
        self._released.wait(lh.TIMEOUT_S)
        conn.sendall(self._data)

    def release(self):
        self._released.set()


def write(world, zone, value=b"{}"):
    """Begins or ends an evacuation, and waits until the gateway knows."""
    world.store.write(store.Topic.CONFIGURATION, f"evacuate/{zone}", value)
    end = len(world.store.log[store.Topic.CONFIGURATION])
    follower = world.ctrl.configuration.topic_follower
    lh.run_until(world.loop, lambda: follower.state().end == end)


def serve_in(world, zone, serve, pool="s1"):
    name = f"{ZONES[zone]}-{pool}"
    return world.endpoint(name, serve, pool, zone=zone)


def send_many(world, count=8):
    return {status(world.fetch(KEY)) for _ in range(count)}


def test_requests_go_to_the_other_data_centre_until_it_ends(world):
    sent = {zone: [] for zone in ZONES}
    for zone, seen in sent.items():
        serve_in(world, zone, lh.answer_with(answer(), seen))
    world.start(route_document(max_attempts=1))
    ended = []
    world.ctrl.evacuations.on_ended = ended.append
    assert send_many(world) == {200}
    assert sent["dc1"]
    write(world, "dc1")
    sent["dc1"].clear()
    assert send_many(world) == {200}
    assert not sent["dc1"] and not ended
    write(world, "dc1", b"")
    assert ended == ["dc1"]
    sent["dc2"].clear()
    write(world, "dc2")
    assert send_many(world) == {200}
    assert sent["dc1"] and not sent["dc2"]


def test_a_stream_from_an_evacuated_data_centre_goes_on(world):
    held = HeldServer(events(2, 3))
    begun = []

    def serve(conn):
        lh.read_request(conn)
        conn.sendall(stream(events(1, 1), ends=False))
        begun.append(conn)
        held._released.wait(lh.TIMEOUT_S)
        data = events(2, 3)
        conn.sendall(b"%x\r\n%s\r\n0\r\n\r\n" % (len(data), data))

    other = []
    serve_in(world, "dc1", serve)
    # One that could resume elsewhere would, if the machine is slow.
    world.start(route_document(kind="streaming", gap_aim_ms=500, sticky=True))
    conn = world.send(KEY, ("Connection", "close"))
    lh.run_until(world.loop, lambda: begun)
    serve_in(world, "dc2", lh.answer_with(stream(events(1, 3)), other))
    write(world, "dc1")
    held.release()
    received = lh.receive(world.loop, conn, lambda data: b"<EOF>" in data)
    for number in (1, 2, 3):
        assert received.count(events(number, number)) == 1
    assert not other


@pytest.mark.parametrize("goes_on", [True, False])
def test_a_replacement_found_before_an_evacuation_is_not_sent(
    world, monkeypatch, goes_on
):
    """Its lease was kept across the check of whether it is reachable."""
    checks, sent, other = [], [], []
    released = threading.Event()

    def check(loop, address, timeout_s):
        checks.append(Future())
        return checks[-1]

    def serve(conn):
        lh.read_request(conn)
        conn.sendall(stream(events(1, 2), ends=False))
        released.wait(lh.TIMEOUT_S)
        if goes_on:
            data = events(3, 4)
            conn.sendall(b"%x\r\n%s\r\n0\r\n\r\n" % (len(data), data))

    monkeypatch.setattr(stream_call, "_MIN_GAP_S", 0.02)
    monkeypatch.setattr(reachability, "check", check)
    start = world.ctrl.client.start
    monkeypatch.setattr(
        world.ctrl.client,
        "start",
        lambda exchange, *args: sent.append(exchange) or start(exchange, *args),
    )
    serve_in(world, "dc1", serve)
    world.start({**stream_route_document(), "gap_aim_ms": 10})
    conn = world.send(KEY, ("Connection", "close"))
    lh.run_until(world.loop, lambda: sent)
    serve_in(world, "dc2", lh.answer_with(stream(events(3, 4)), other))
    lh.run_until(world.loop, lambda: checks)
    if not goes_on:
        released.set()
        monkeypatch.setattr(stream_call, "_MIN_GAP_S", lh.TIMEOUT_S)
        # The broken attempt has ended, and the stream waits for the next one.
        lh.run_until(world.loop, lambda: not has_slots(world, "e1-s1"))
    write(world, "dc2")
    tasks.resolve(checks[0], reachability.Reachability.ACCEPTS)
    lh.run_pending(world.loop, 20)
    released.set()
    received = lh.receive(world.loop, conn, lambda data: b"<EOF>" in data)
    assert (b"data: e4" in received) is goes_on
    assert len(sent) == 1 and not other
    assert not world.ctrl.placement._former


def has_slots(world, name):
    return bool(world.ctrl.placement._pools["s1"][name].slots)


def test_a_declined_request_is_sent_elsewhere(world):
    """Not to another endpoint of the evacuated data centre."""
    declines = HeldServer(
        answer(503, b"", stamp="", extra="Not-Executed: 1\r\n")
    )
    there, elsewhere = [], []
    serve_in(world, "dc1", declines.serve)
    world.start(route_document(max_attempts=3))
    conn = world.send(KEY, ("Connection", "close"))
    lh.run_until(world.loop, lambda: declines.requests)
    write(world, "dc1")
    world.endpoint("e9", lh.answer_with(answer(), there), zone="dc1")
    serve_in(world, "dc2", lh.answer_with(answer(), elsewhere))
    lh.run_until(
        world.loop,
        lambda: "e9" in world.ctrl.evacuations._listed["s1"],
    )
    declines.release()
    received = lh.receive(world.loop, conn, lambda data: b"<EOF>" in data)
    assert status(received) == 200
    assert elsewhere and not there


@pytest.mark.parametrize("evacuated", ["s1", "p2"])
def test_a_request_for_a_wholly_evacuated_pool_is_refused_at_once(
    world, evacuated
):
    """Before its first stage runs, whose pool has endpoints."""
    workers = {"p1": StageServer(), "p2": StageServer()}
    final = []
    serves = {pool: worker.serve for pool, worker in workers.items()}
    serves["s1"] = lh.answer_with(stream(events(1, 2)), final)
    for pool, serve in serves.items():
        serve_in(world, "dc1" if pool == evacuated else "dc2", serve, pool)
    stages = [*STAGES, {"service": "p2", "after": [0], "bytes": 100}]
    services = [*SERVICES, {"name": "p2", "pieces": PIECES}]
    world.start(stream_route_document(stages=stages), services=services)
    headers = (KEY, ("Pieces", "1,1"), ("Piece-Key", "pk"))
    assert status(world.fetch(*headers)) == 200
    workers["p1"].calls.clear()
    final.clear()
    write(world, "dc1")
    received = world.fetch(*headers)
    assert status(received) == 503
    assert b'"retry_safe":true' in received
    assert b"retry-after" in received.lower()
    assert not workers["p1"].calls and not final


def test_pieces_go_to_the_other_data_centre(world):
    workers = {zone: StageServer() for zone in ZONES}
    for zone, worker in workers.items():
        serve_in(world, zone, worker.serve, pool="p1")
        serve_in(world, zone, lh.answer_with(stream(events(1, 2))))
    world.start(stream_route_document(stages=STAGES), services=SERVICES)
    headers = (KEY, ("Pieces", "4"), ("Piece-Key", "pk"))
    for zone, other in (("dc1", "dc2"), ("dc2", "dc1")):
        write(world, zone)
        workers[zone].calls.clear()
        assert status(world.fetch(*headers)) == 200
        assert workers[other].calls and not workers[zone].calls
        write(world, zone, b"")


def test_a_request_whose_pieces_wait_is_refused_at_once(world):
    worker = HeldServer(b"")
    serve_in(world, "dc1", worker.serve, pool="p1")
    serve_in(world, "dc2", lh.answer_with(stream(events(1, 2))))
    # Its first call must not time out before the evacuation.
    slow = {"name": "p1", "pieces": {**PIECES, "call_ms": 500.0}}
    services = [{"name": "s1"}, slow]
    world.start(stream_route_document(stages=STAGES), services=services)
    headers = (KEY, ("Pieces", "4"), ("Piece-Key", "pk"))
    running = world.send(*headers)
    lh.run_until(world.loop, lambda: worker.requests)
    waiting = world.send(*headers, ("Connection", "close"))
    lh.run_until(world.loop, lambda: world.serving_state.in_flight == 2)
    write(world, "dc1")
    received = lh.receive(world.loop, waiting, lambda data: b"<EOF>" in data)
    # Not one that had waited until its deadline.
    assert status(received) == 503 and b'"no-endpoint"' in received
    worker.release()
    running.close()


def test_a_request_that_needs_no_stage_of_an_evacuated_pool_is_served(world):
    serve_in(world, "dc1", StageServer().serve, pool="p1")
    serve_in(world, "dc2", lh.answer_with(stream(events(1, 2))))
    world.start(stream_route_document(stages=STAGES), services=SERVICES)
    assert status(world.fetch(KEY, ("Pieces", "0"))) == 200
    write(world, "dc1")
    assert status(world.fetch(KEY, ("Pieces", "0"))) == 200


def test_results_in_an_evacuated_data_centre_are_used_and_freed(world):
    worker, engine = StageServer(), HeldServer(stream(events(1, 2)))
    serve_in(world, "dc1", worker.serve, pool="p1")
    serve_in(world, "dc2", engine.serve)
    world.start(stream_route_document(stages=STAGES), services=SERVICES)
    conn = world.send(
        KEY, ("Pieces", "1"), ("Piece-Key", "pk"), ("Connection", "close")
    )
    lh.run_until(world.loop, lambda: engine.requests)
    write(world, "dc1")
    engine.release()
    received = lh.receive(world.loop, conn, lambda data: b"<EOF>" in data)
    assert status(received) == 200
    assert b"Inputs: h0.0.id1\r\n" in engine.requests[0]
    lh.run_until(world.loop, lambda: worker.freed_handles == ["h0.0.id1"])


@pytest.fixture
def pieces():
    """A piece runner with a worker in each of two data centres."""
    world = PieceWorld()
    world.all = {
        "p": {
            "e1": lh.listing("e1", data_centre="dc1"),
            "e2": lh.listing("e2", data_centre="dc2"),
        }
    }
    world.runner.set_endpoints(world.all)
    return world


def evacuate(world, *names):
    left = {n: e for n, e in world.all["p"].items() if n not in names}
    world.runner.is_pool_evacuated = lambda pool: not left
    world.runner.set_endpoints({"p": left})


def test_pieces_stop_and_results_of_running_calls_are_used(pieces):
    jobs = [pieces.submit(4), pieces.submit(4), pieces.submit(4)]
    there = next(c for c in pieces.client.started if name_of(c) == "e1")
    evacuate(pieces, "e1")
    there.succeed()
    for call in pieces.client.started:
        if call is not there:
            call.succeed()
    lh.advance(pieces.loop, pieces.clock, 0.5)
    assert [name_of(c) for c in pieces.client.started].count("e1") == 1
    for call in pieces.client.started[2:]:
        call.succeed()
    assert all(job.future.done() for job in jobs)
    assert all(isinstance(job.future.result(), tuple) for job in jobs)
    made = {r.endpoint for job in jobs for r in job.future.result()}
    assert made == {"e1", "e2"}


def test_jobs_that_wait_are_refused_when_the_pool_is_evacuated(pieces):
    """They would else wait for an endpoint until their deadline."""
    jobs = [pieces.submit(4) for _ in range(5)]
    evacuate(pieces, "e1", "e2")
    waiting = [job for job in jobs if not job.is_started()]
    refused = [job for job in jobs if job.future.done()]
    assert refused == [j for j in jobs if j not in jobs[:2]] and not waiting
    assert {job.future.result().reason for job in refused} == {"no endpoint"}
    for call in pieces.client.started:
        call.succeed()
    assert all(isinstance(job.future.result(), tuple) for job in jobs[:2])


def test_a_lost_piece_of_an_evacuated_pool_is_refused_at_once(pieces):
    job = pieces.submit(1)
    evacuate(pieces, "e1", "e2")
    pieces.client.started[0].fail()
    assert job.future.result().reason == "no endpoint"


def test_an_overdue_call_of_an_evacuated_pool_goes_on(pieces):
    """Its pieces can't be hedged, which doesn't end the job."""
    job = pieces.submit(1)
    evacuate(pieces, "e1", "e2")
    lh.advance(pieces.loop, pieces.clock, 1.0)
    assert not job.is_ended
    pieces.client.started[0].succeed()
    assert isinstance(job.future.result(), tuple)


def test_a_coordinator_sends_no_pieces_before_it_may_serve(pieces):
    """It may know a restored copy that lacks an evacuation."""
    may_serve = []
    pieces.runner.may_serve = lambda: bool(may_serve)
    job = pieces.submit(1)
    lh.advance(pieces.loop, pieces.clock, 0.2)
    assert not pieces.client.started
    evacuate(pieces, "e1")
    may_serve.append(True)
    lh.advance(pieces.loop, pieces.clock, 0.1)
    assert [name_of(c) for c in pieces.client.started] == ["e2"]
    pieces.client.started[0].succeed()
    assert isinstance(job.future.result(), tuple)


def test_a_starting_gateway_asks_before_it_sends_pieces(world):
    followers = (
        world.ctrl.configuration.topic_follower,
        world.ctrl.endpoints.topic_follower,
    )
    runner = world.ctrl.stage_coordinator._scheduler._piece_runner
    assert runner.may_serve()
    for follower in followers:
        follower.has_peers = lambda: True
        assert not runner.may_serve()
    for follower in followers:
        assert not runner.may_serve()
        follower.may_serve = True
    assert runner.may_serve()


def test_calls_that_run_count_when_an_evacuation_ends(pieces):
    """A worker takes one call at a time; a second one would be refused."""
    evacuate(pieces, "e2")
    pieces.submit(4)
    evacuate(pieces, "e1", "e2")
    evacuate(pieces, "e2")
    pieces.submit(4)
    assert len(pieces.client.started) == 1
    pieces.client.started[0].succeed()
    assert len(pieces.client.started) == 2


@pytest.fixture
def engines():
    """A placement with one engine, and the manual clock."""
    _, clock = lh.new_loop()
    own = placement.Placement("dc1", clock, None, lh.new_avoidances(clock))
    own.set_endpoints({"p": {"e1": lh.listing("e1")}})
    return own, clock


def test_running_requests_count_when_an_evacuation_ends(engines):
    own, _ = engines
    requirements = placement.Requirements("p", is_prompt=True, own_tokens=1000)
    leases = [own.pick(requirements, set()) for _ in range(3)]
    own.set_endpoints({"p": {}})
    assert not any(own.is_usable(lease) for lease in leases)
    assert own.pick(requirements, set()) is None
    own.finish(leases[0], True)
    own.set_endpoints({"p": {"e1": lh.listing("e1")}})
    assert len(own._pools["p"]["e1"].slots) == 2
    for lease in leases[1:]:
        own.finish(lease, True)
    assert own._pools["p"]["e1"].units == pytest.approx(0.0)
    # A later run begins anew, and nothing is kept of one that ended.
    lease = own.pick(requirements, set())
    own.set_endpoints({"p": {"e1": lh.listing("e1", incarnation=2)}})
    assert not own._pools["p"]["e1"].slots
    own.abandon(lease)
    assert not own._former


def test_a_pause_outlasts_an_evacuation_of_its_endpoint(engines):
    own, clock = engines
    run = endpoint_state.EndpointRun("e1", 1)
    own.pause(run, clock.monotonic() + 3.0)
    own.set_endpoints({"p": {}})
    clock.advance(1.0)
    own.set_endpoints({"p": {"e1": lh.listing("e1")}})
    assert own.pick(placement.Requirements("p", is_prompt=True), set()) is None
    assert own.pause_s("p", set()) == pytest.approx(2.0)
