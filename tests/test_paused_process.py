"""A process that was paused doesn't act on what ran out meanwhile.

In the pause the steady clock goes on. Requests and datagrams wait in the
sockets, and the store's answers come only when the test lets them.
"""

import json
import socket
import threading

import loop_helpers as lh
import pytest
from gateway_world import (
    CALLER_LIMITS,
    KEY,
    World,
    answer,
    events,
    read_status,
    route_document,
    status,
    stream,
    stream_route_document,
)
from store_hosts import Host as SharingHost
from test_advisories import Host as AdvisoryHost
from test_gateway_stages import PIECES, StageServer
from test_stage_coordination import MADE, RESULT
from test_stage_coordination import Host as StageHost
from test_stage_coordination import graph as stage_graph_of

from chervilarch import (
    advisory_messages,
    clocks,
    endpoint_state,
    exchanges,
    http_client,
    prompt_blocks,
    resumption,
    stage_coordination,
    store,
    tasks,
    topic_follower,
)
from chervilarch import loop as loops

_PAUSE_S = 3.0
UNUSED_ADDRESS = ("127.0.0.1", 9)
_CONFIGURATION = store.Topic.CONFIGURATION


class PausableClock(clocks.SystemClock):
    """The system's clock, which a test moves on as a pause does."""

    paused_s = 0.0

    def wall(self):
        return super().wall() + self.paused_s

    def monotonic(self):
        return super().monotonic() + self.paused_s


class HeldStore(lh.FakeStore):
    """A store whose answers wait until `release` while it is held."""

    def __init__(self):
        super().__init__()
        self.is_held = False
        self._waiting = []

    def read_newest(self, topic, after, timeout_s):
        read = super().read_newest
        return self._answer(lambda: read(topic, after, timeout_s))

    def read_changes(self, topic, offset, wait_s):
        read = super().read_changes
        return self._answer(lambda: read(topic, offset, wait_s))

    def release(self):
        self.is_held = False
        waiting, self._waiting = self._waiting, []
        for fut, read in waiting:
            tasks.resolve(fut, read().result())

    def lose_waiting(self):
        """Never answers what waits, as on a connection that died."""
        self.is_held = False
        self._waiting.clear()

    def _answer(self, read):
        if not self.is_held:
            return read()
        fut = tasks.Future()
        self._waiting.append((fut, read))
        return fut


@pytest.fixture
def world():
    made = World(HeldStore())
    made.loop.clock = PausableClock()
    yield made
    made.close()


@pytest.fixture
def sent():
    return []


@pytest.fixture
def serving(world, sent):
    """A gateway that serves, with one endpoint."""
    world.endpoint("e1", lh.answer_with(answer(), sent))
    world.start(route_document(kind="non_idempotent"))
    assert status(world.fetch(KEY)) == 200
    sent.clear()
    return world


def pause(world, seconds=_PAUSE_S):
    """Pauses the process; the store's answers wait from then on."""
    world.store.is_held = True
    world.loop.clock.paused_s += seconds


def configure(world, *routes, version=2, keys=("k1",)):
    config = {
        "version": version,
        "routes": list(routes),
        "services": [{"name": "s1"}],
        "limits": CALLER_LIMITS,
        "tenants": [{"name": "t1", "api_keys": list(keys)}],
    }
    world.store.write(_CONFIGURATION, "config", json.dumps(config).encode())


def drop_route(world, sent):
    configure(world, route_document(path_prefix="/other/"))


def withdraw_key(world, sent):
    configure(world, route_document(), keys=("k2",))


def endpoint_leaves(world, sent):
    world.endpoint(
        "e1", lh.answer_with(answer(), sent), state="draining", sequence=2
    )


def data_centre_is_evacuated(world, sent):
    world.store.write(_CONFIGURATION, "evacuate/dc1", b"{}")


CHANGES = pytest.mark.parametrize(
    ("change", "expected"),
    [
        (drop_route, 404),
        (withdraw_key, 401),
        (endpoint_leaves, 503),
        (data_centre_is_evacuated, 503),
    ],
)


def run_a_while(world, rounds=30):
    for _ in range(rounds):
        world.loop.run_once(0.01)


@CHANGES
def test_a_request_after_a_pause_is_not_served_by_what_has_changed(
    serving, sent, change, expected
):
    pause(serving)
    change(serving, sent)
    waiting = serving.send(KEY)
    run_a_while(serving)
    assert not sent
    serving.store.release()
    assert read_status(serving, waiting) == expected
    assert not sent


@pytest.mark.parametrize("change", [endpoint_leaves, data_centre_is_evacuated])
def test_a_request_that_waited_for_an_endpoint_uses_no_old_list(
    serving, sent, change
):
    # No read that is under way tells of the change.
    serving.store.is_held = True
    lh.run_until(serving.loop, lambda: len(serving.store._waiting) == 2)
    run = endpoint_state.EndpointRun("e1", 1)
    serving.ctrl.placement.pause(run, serving.loop.now() + 0.3)
    waiting = serving.send(KEY)
    number = serving.ctrl.placement.waiting
    lh.run_until(serving.loop, lambda: number["s1"])
    pause(serving, 1.0)
    change(serving, sent)
    run_a_while(serving)
    assert not sent
    serving.store.release()
    assert read_status(serving, waiting) == 503
    assert not sent


def test_a_read_that_was_under_way_in_a_pause_is_not_waited_for(serving, sent):
    serving.store.is_held = True
    run_a_while(serving)
    serving.store.lose_waiting()
    serving.loop.clock.paused_s += _PAUSE_S
    drop_route(serving, sent)
    assert status(serving.fetch(KEY)) == 404
    assert not sent


def test_a_request_after_a_pause_is_served_while_the_store_is_away(serving):
    pause(serving)
    assert status(serving.fetch(KEY)) == 200


def test_a_request_that_waits_after_a_pause_ends_at_its_deadline(serving, sent):
    pause(serving)
    received = serving.fetch(KEY, deadline_ms=300)
    assert status(received) == 503
    assert not sent


def test_a_caller_that_leaves_while_a_request_waits_ends_it(serving, sent):
    pause(serving)
    waiting = serving.send(KEY)
    lh.run_until(serving.loop, lambda: serving.serving_state.in_flight)
    waiting.close()
    lh.run_until(serving.loop, lambda: not serving.serving_state.in_flight)
    serving.store.release()
    run_a_while(serving, 5)
    assert not sent


def test_a_request_that_waits_after_a_pause_is_refused_at_a_shutdown(
    serving, sent
):
    pause(serving)
    waiting = serving.send(KEY)
    lh.run_until(serving.loop, lambda: serving.serving_state.in_flight)
    serving.handler.cut_off()
    assert read_status(serving, waiting) == 503
    serving.store.release()
    run_a_while(serving, 5)
    assert not sent


def test_a_repeat_after_a_pause_avoids_an_endpoint_that_left(world, sent):
    first = []

    def serve_first(conn):
        lh.read_request(conn)
        first.append(conn)
        lh.read_request(conn)  # Keeps the connection open.

    world.endpoint("e1", serve_first)
    world.start(route_document(kind="non_idempotent"))
    waiting = world.send(KEY)
    lh.run_until(world.loop, lambda: first)
    world.endpoint("e2", lh.answer_with(answer(), sent))
    listed = world.ctrl.endpoints._endpoints.listed
    lh.run_until(world.loop, lambda: "e2" in listed())
    pause(world, 1.0)
    world.endpoint(
        "e2", lh.answer_with(answer(), sent), state="draining", sequence=2
    )
    first[0].sendall(answer(503, b"", stamp="", extra="Not-Executed: 1\r\n"))
    run_a_while(world)
    assert not sent
    world.store.release()
    assert read_status(world, waiting) == 503
    assert not sent


@pytest.mark.parametrize("is_stream", [False, True])
def test_an_endpoint_is_not_blamed_for_a_pause_while_it_was_connected_to(
    world, sent, is_stream
):
    reply = stream(events(1, 2)) if is_stream else answer()
    world.endpoint("e1", lh.answer_with(reply, sent))
    start = world.ctrl.client.start

    def fail_over_a_pause(exchange, on_done, *args):
        world.ctrl.client.start = start
        transfer = http_client.Transfer(world.ctrl.client, exchange, on_done)
        failure = exchanges.TransferFailure(
            exchanges.FailureKind.TIMED_OUT, "no connection in time", False
        )

        def resume():
            world.loop.resumed_at = world.loop.now()
            on_done(failure)

        world.loop.call_soon(resume)
        return transfer

    world.ctrl.client.start = fail_over_a_pause
    world.start((stream_route_document if is_stream else route_document)())
    assert status(world.fetch(KEY)) == 200
    assert len(sent) == 1


def test_a_prompt_that_was_blocked_in_a_pause_is_not_sent(serving, sent):
    exchange = serving.ctrl.advisories
    exchange._peers = lambda: [stage_coordination.Peer("n2", UNUSED_ADDRESS)]
    exchange.start()
    exchange._has_answer = True
    serving.loop.clock.paused_s += _PAUSE_S
    waiting = serving.send(KEY, ("Prompt-Prefix", "p1:10,own:5"))
    run_a_while(serving)
    assert not sent
    now = serving.loop.now()
    block = prompt_blocks.PromptBlock(
        frozenset(("p1",)), 1, True, now - 2.0, now + 60.0, now + 60.0
    )
    exchange._handle(
        advisory_messages.AdvisoryMessage((block,)), UNUSED_ADDRESS
    )
    assert read_status(serving, waiting) == 503
    assert not sent


class WaitingStageServer(StageServer):
    """A stage worker that answers once it may."""

    def __init__(self):
        super().__init__()
        self.has_request = threading.Event()
        self.may_answer = threading.Event()

    def serve(self, conn):
        conn.recv(1, socket.MSG_PEEK)
        self.has_request.set()
        self.may_answer.wait(lh.TIMEOUT_S)
        super().serve(conn)


def test_a_stage_after_a_pause_avoids_a_worker_that_left(world):
    first, second = WaitingStageServer(), StageServer()
    world.endpoint("e1", lh.answer_with(answer()))
    world.endpoint("m1", first.serve, pool="p1")
    world.endpoint("m2", second.serve, pool="p2")
    stages = [
        {"service": "p1", "after": [], "bytes": 100},
        {"service": "p2", "after": [0], "bytes": 100},
    ]
    services = [
        {"name": "s1"},
        {"name": "p1", "pieces": PIECES},
        {"name": "p2", "pieces": PIECES},
    ]
    world.start(route_document(stages=stages), services=services)
    waiting = world.send(KEY, ("Pieces", "1,1"), ("Piece-Key", "pk"))
    lh.run_until(world.loop, first.has_request.is_set)
    pause(world, 1.0)
    world.endpoint("m2", second.serve, pool="p2", state="draining", sequence=2)
    first.may_answer.set()
    run_a_while(world)
    assert not second.calls
    world.store.release()
    assert read_status(world, waiting) == 503
    assert not second.calls


class Fleet:
    """Hosts with a loop each, so that the test can stop one of them."""

    def __init__(self):
        self.clock = clocks.ManualClock()
        self.loops = []

    def new_loop(self):
        loop = loops.Loop(self.clock)
        self.loops.append(loop)
        return loop

    def advance(self, seconds, stopped=None):
        """Moves the clock while one loop doesn't run."""
        for _ in range(round(seconds / 0.01)):
            self.clock.advance(0.01)
            for loop in self.loops:
                if loop is not stopped:
                    lh.run_pending(loop, 2)

    def run(self):
        """Runs what is due at all hosts, without advancing the clock."""
        for _ in range(10):
            for loop in self.loops:
                lh.run_pending(loop, 2)


@pytest.fixture
def fleet():
    made = Fleet()
    yield made
    for loop in made.loops:
        loop.close()


def lose_datagrams(peer_socket):
    """Loses what waits, as a host does that was suspended or has no room."""
    with pytest.raises(BlockingIOError):
        while True:
            peer_socket._socket.recvfrom(65536)


@pytest.fixture
def coordinators(fleet):
    """Three hosts, the coordinator first."""
    names = ("n1", "n2", "n3")
    made = []
    for name in names:
        loop = fleet.new_loop()
        made.append(StageHost(loop, name))
        made[-1].loop = loop
    made.sort(
        key=lambda host: stage_coordination.election_priority(host.peer),
        reverse=True,
    )
    for host in made:
        host.peers = [other.peer for other in made if other is not host]
    yield made
    for host in made:
        host.coordinator.close()


def test_a_paused_coordinator_leaves_results_to_the_one_that_took_over(
    fleet, coordinators
):
    best, second, _ = coordinators
    second.coordinator.submit(stage_graph_of("r1", fleet.clock.now))
    fleet.advance(0.1)
    assert [run.graph.request_id for run in best.scheduler.runs] == ["r1"]
    fleet.advance(2.5, stopped=best.loop)
    lose_datagrams(best.coordinator._socket)
    assert [run.graph.request_id for run in second.scheduler.runs] == ["r1"]
    fleet.run()
    assert best.scheduler.cancelled == []
    assert best.scheduler.handed_over == ["r1"]


def test_a_coordinator_that_was_paused_runs_nothing_new_beside_another(
    fleet, coordinators
):
    best, second, _ = coordinators
    fleet.advance(0.1)
    fleet.advance(2.5, stopped=best.loop)
    fleet.run()
    best.coordinator.submit(stage_graph_of("r1", fleet.clock.now))
    fleet.advance(0.1)
    assert best.scheduler.runs == []
    assert [run.graph.request_id for run in second.scheduler.runs] == ["r1"]
    second.scheduler.runs[0].future.set_result(MADE)
    fleet.advance(2.0)
    best.coordinator.submit(stage_graph_of("r2", fleet.clock.now))
    assert [run.graph.request_id for run in best.scheduler.runs] == ["r2"]


def test_a_coordinator_that_was_paused_hands_its_own_graphs_over(
    fleet, coordinators
):
    best, second, _ = coordinators
    best.coordinator.submit(stage_graph_of("r1", fleet.clock.now))
    completed = ((0, (RESULT,)),)
    best.scheduler.runs[0].record_completed(completed)
    fleet.advance(0.1)
    fleet.advance(1.5, stopped=best.loop)
    fleet.run()
    assert best.scheduler.handed_over == ["r1"]
    assert [run.graph.completed for run in second.scheduler.runs] == [completed]


def test_a_coordinator_that_was_paused_alone_goes_on(fleet, coordinators):
    best, *_ = coordinators
    best.peers = []
    fleet.advance(0.1)
    fleet.advance(2.5, stopped=best.loop)
    fleet.run()
    best.coordinator.submit(stage_graph_of("r1", fleet.clock.now))
    assert [run.graph.request_id for run in best.scheduler.runs] == ["r1"]


@pytest.mark.parametrize("is_accepted", [True, False])
def test_a_paused_host_does_not_take_its_coordinator_for_silent(
    fleet, coordinators, is_accepted
):
    best, second, third = coordinators
    if not is_accepted:
        best.coordinator._socket._on_message = lambda message, source: None
    second.coordinator.submit(stage_graph_of("r1", fleet.clock.now))
    fleet.advance(0.17)
    # Both are suspended, as the machines of one host that is moved are.
    fleet.clock.advance(1.5)
    lose_datagrams(second.coordinator._socket)
    lh.run_pending(second.loop)
    assert second.coordinator._choose_coordinator() == best.peer
    fleet.run()
    assert not second.scheduler.runs and not third.scheduler.runs


def test_news_that_waited_through_a_pause_does_not_count_as_recent(fleet):
    source = lh.FakeStore()
    source.write(store.Topic.ENDPOINTS, "e1", b"live 1")
    hosts = [
        SharingHost(fleet.new_loop(), f"n{number}", HeldStore())
        for number in range(2)
    ]
    for host, other in (hosts, hosts[::-1]):
        host.source.log = source.log
        host.neighbours.append(other.peer)
        host.endpoints.topic_follower.start()
    fleet.advance(3.0)
    paused, _ = hosts
    fleet.advance(3.0, stopped=paused.endpoints._loop)
    paused.source.is_held = True
    fleet.clock.advance(2.0)
    lh.run_pending(paused.endpoints._loop)
    # The other host read for 3 s; the last of it is 2 s old.
    assert paused.endpoints.topic_follower.read_at <= fleet.clock.now - 2.0
    for host in hosts:
        host.sharing.close()


def test_a_host_asks_for_the_blocks_that_it_missed_in_a_pause(fleet):
    source = lh.FakeStore()
    members = []
    made = [
        AdvisoryHost(fleet.new_loop(), f"h{n}", members, source)
        for n in range(2)
    ]
    fleet.advance(1.0)
    told, paused = made
    for number in range(5):
        told.learn(number, fleet.clock.now)
    # No longer sent unless asked for.
    fleet.advance(12.0, stopped=paused.exchange._loop)
    assert told.refuses()
    lose_datagrams(paused.exchange._socket)
    fleet.run()
    assert paused.refuses()
    for host in made:
        host.exchange.close()


def test_a_read_under_way_in_a_pause_is_repeated_without_a_wait(fleet):
    loop = fleet.new_loop()
    source = lh.FakeStore()
    waits, told = [], []
    source.read_changes = lambda topic, offset, wait_s: (
        waits.append(wait_s) or tasks.Future()
    )
    follower = topic_follower.TopicFollower(
        loop, source, _CONFIGURATION, 1.0, 0.0
    )
    follower.on_update = told.append
    follower.start()
    lh.run_pending(loop)
    read_at = follower.read_at
    fleet.clock.advance(_PAUSE_S)
    lh.run_pending(loop)
    assert waits == [1.0, 0.0]
    # A read that was given up is no news, neither here nor for other hosts.
    assert follower.read_at == read_at and not told


def test_a_host_that_slept_through_a_restore_asks_what_others_know(fleet):
    shared = lh.FakeStore()
    for number in range(2):
        shared.write(store.Topic.ENDPOINTS, f"e{number}", b"live 1")
    hosts = [
        SharingHost(fleet.new_loop(), f"n{number}", lh.FakeStore(shared))
        for number in range(2)
    ]
    for host, other in (hosts, hosts[::-1]):
        host.neighbours.append(other.peer)
        host.endpoints.topic_follower.start()
    fleet.advance(3.0)
    awake, paused = hosts
    assert paused.listed() == ["e0", "e1"]
    shared.write(store.Topic.ENDPOINTS, "e1", b"leaving 2")
    fleet.advance(2.0, stopped=paused.endpoints._loop)
    assert awake.listed() == ["e0"]
    shared.restore(2, 1)
    fleet.advance(2.0, stopped=paused.endpoints._loop)
    assert awake.listed() == ["e0"]
    lh.run_until(
        paused.endpoints._loop,
        lambda: (
            lh.run_pending(awake.endpoints._loop)
            or paused.endpoints.topic_follower.read_at >= fleet.clock.now
        ),
    )
    for _ in range(20):
        fleet.advance(0.1)
    assert paused.listed() == ["e0"]
    for host in hosts:
        host.sharing.close()


@pytest.fixture
def resuming():
    """Returns a loop, its clock and what waits after a pause on the loop."""
    loop, clock = lh.new_loop()
    yield loop, clock, resumption.Resumption(loop)
    loop.close()


def hold_up(loop, clock, seconds):
    loop.run_once(0.0)
    clock.advance(seconds)
    loop.run_once(0.0)


def test_repeated_pauses_do_not_hold_work_back_without_end(resuming):
    loop, clock, held = resuming
    held.add_check(lambda resumed_at: False)
    hold_up(loop, clock, 2.0)
    confirmed = held.confirmed()
    for _ in range(4):
        hold_up(loop, clock, 0.6)
        assert not confirmed.done()
    hold_up(loop, clock, 0.7)
    lh.run_pending(loop)
    assert confirmed.done()


def test_a_long_pause_starts_the_time_to_confirm_anew(resuming):
    loop, clock, held = resuming
    held.add_check(lambda resumed_at: False)
    hold_up(loop, clock, 2.0)
    confirmed = held.confirmed()
    hold_up(loop, clock, 30.0)
    lh.advance(loop, clock, 0.4)
    assert not confirmed.done()
    lh.advance(loop, clock, 0.8)
    assert confirmed.done()


def test_a_check_that_raises_does_not_hold_work_back_without_end(resuming):
    loop, clock, held = resuming
    results = [ValueError("broken"), True]

    def check(resumed_at):
        result = results.pop(0)
        if isinstance(result, Exception):
            raise result
        return result

    held.add_check(check)
    hold_up(loop, clock, 2.0)
    confirmed = held.confirmed()
    assert not confirmed.done()
    lh.advance(loop, clock, 0.1)
    assert confirmed.done() and not results


def test_a_request_without_a_limit_does_not_wait_without_end(serving, sent):
    serving.ctrl.resumption.confirmed = tasks.Future
    conn = lh.connect(serving.server.port)
    conn.sendall(
        b"POST /x/1 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 0\r\n"
        b"Request-Id: id1\r\nAuthorization: Bearer k1\r\n\r\n"
    )
    lh.run_until(serving.loop, lambda: serving.serving_state.in_flight)
    pause(serving, 10.0)
    assert read_status(serving, conn) == 503
    assert not sent
