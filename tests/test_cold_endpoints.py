"""Endpoints that have just started: what gateways learn of them and send them.

The tests guard against more requests than a cold endpoint takes, refusals that
aren't true, and hosts that don't hear that an endpoint became cold.
"""

import json
import logging
import random

import gateway_world
import loop_helpers as lh
import pytest
import store_hosts as sh
from gateway_world import (
    KEY,
    answer,
    events,
    read_status,
    route_document,
    status,
    stream,
    stream_route_document,
)
from test_endpoint_pauses import retry_after_s
from test_piece_runner import World as PieceWorld
from test_piece_runner import name_of
from test_rewritten_records import start_fleet

from chervilarch import (
    cold_endpoints,
    endpoint_state,
    environment,
    exchanges,
    gateway,
    placement,
    store,
    telemetry,
)
from chervilarch.platform import documents
from chervilarch.scheduling import cold_starts

_BOUNDS = gateway_world.BOUNDS._replace(cold_over=1.5, cold_slack=5)
_SERVICE = {"name": "s1", "cold_start_s": 30.0, "cold_per_s": 12}
_COLD_MS = 20_000
# Sent with `max_attempts=1` where they are counted: no hedge adds to them.
_REQUESTS = 12
_POOL = cold_starts.PoolBound(30.0, 23.0)


@pytest.fixture
def cold_world():
    """A gateway of six hosts, each with one request a second per endpoint."""
    running = gateway_world.World(bounds=_BOUNDS)
    names = [f"n{number}" for number in range(1, 7)]
    running.ctrl.cold.set_hosts("n1", names, running.loop.now() - 60.0)
    yield running
    running.close()


def cold_waits(world):
    lines = world.meters.text().decode().splitlines()
    name = "chervilarch_cold_endpoint_waits_total "
    return next(float(x.split()[1]) for x in lines if x.startswith(name))


def receive_all(world, callers):
    def receive(conn):
        return lh.receive(world.loop, conn, lambda data: b"<EOF>" in data)

    return [receive(conn) for conn in callers]


@pytest.mark.parametrize(
    ("route", "reply"),
    [
        (route_document, answer()),
        (stream_route_document, stream(events(1, 2))),
    ],
    ids=["answer", "stream"],
)
@pytest.mark.parametrize("objective_ms", [500, 3900])
def test_a_pool_that_is_all_cold_gets_its_share_and_the_rest_is_refused(
    cold_world, route, reply, objective_ms
):
    seen = []
    cold_world.endpoint(
        "e1", lh.answer_with(reply, seen), cold_remaining_ms=_COLD_MS
    )
    document = route(target_latency_ms=objective_ms, max_attempts=1)
    cold_world.start(document, services=[_SERVICE])
    started_at = cold_world.loop.now()
    callers = [
        cold_world.send(("Connection", "close"), KEY) for _ in range(_REQUESTS)
    ]
    received = receive_all(cold_world, callers)
    windows = (cold_world.loop.now() - started_at) / cold_starts.WINDOW_S
    refused = [data for data in received if status(data) == 503]
    assert 1 <= len(seen) <= 1 + windows
    # Some wait for their turn if they have the time.
    assert (len(seen) > 1) == (objective_ms > 1000 * cold_starts.WINDOW_S)
    # A refusal ("not run") is true, and tells to come back within the caller's
    # time.
    assert len(seen) == _REQUESTS - len(refused)
    for data in refused:
        assert 0.0 < retry_after_s(data) <= 4.0 / 3
    assert cold_waits(cold_world) >= len(refused)


def test_warm_endpoints_get_what_a_cold_one_does_not_take(cold_world):
    cold, warm = [], []
    cold_world.endpoint(
        "e1", lh.answer_with(answer(), cold), cold_remaining_ms=_COLD_MS
    )
    cold_world.endpoint("e2", lh.answer_with(answer(), warm))
    cold_world.start(route_document(max_attempts=1), services=[_SERVICE])
    started_at = cold_world.loop.now()
    callers = [cold_world.send(KEY) for _ in range(_REQUESTS)]
    assert {read_status(cold_world, conn) for conn in callers} == {200}
    windows = (cold_world.loop.now() - started_at) / cold_starts.WINDOW_S
    assert len(cold) <= 1 + windows


@pytest.mark.parametrize("has_bounds", [True, False])
def test_a_pool_without_a_bound_is_served_as_before(has_bounds):
    bounds = _BOUNDS if has_bounds else gateway_world.BOUNDS
    service = {"name": "s1"} if has_bounds else _SERVICE
    world = gateway_world.World(bounds=bounds)
    seen = []
    world.endpoint(
        "e1", lh.answer_with(answer(), seen), cold_remaining_ms=_COLD_MS
    )
    world.start(route_document(max_attempts=1), services=[service])
    callers = [world.send(KEY) for _ in range(_REQUESTS)]
    answers = {read_status(world, caller) for caller in callers}
    world.close()
    assert answers == {200} and len(seen) == _REQUESTS


def test_an_endpoint_that_was_unreachable_is_treated_as_cold(cold_world):
    gone = cold_world.endpoint("e1", lh.answer_with(answer()))
    gone.close()
    cold_world.start(route_document(), services=[_SERVICE])
    cold_world.fetch(KEY)
    run = endpoint_state.EndpointRun("e1", 1)
    tried_again_at = cold_world.loop.now() + endpoint_state.MAX_EJECT_S
    assert cold_world.ctrl.cold.is_cold(run, tried_again_at + 25.0)
    assert not cold_world.ctrl.cold.is_cold(run, tried_again_at + 31.0)


@pytest.mark.parametrize(
    "figure", ["soon", -5, None, True, 8.64e7 + 1, 1e300, [1], {}]
)
def test_an_unusable_figure_is_logged_once_and_the_endpoint_stays_listed(
    cold_world, figure, caplog, monkeypatch
):
    monkeypatch.setattr(logging.getLogger("chervilarch"), "propagate", True)
    serve = lh.answer_with(answer())
    cold_world.endpoint("e1", serve, cold_remaining_ms=figure)
    cold_world.start(route_document(), services=[_SERVICE])
    assert status(cold_world.fetch(KEY)) == 200
    listed = cold_world.ctrl.endpoints._endpoints
    cold_world.endpoint("e1", serve, cold_remaining_ms=figure, sequence=2)
    lh.run_until(cold_world.loop, lambda: listed.find("e1").sequence == 2)
    logged = [r for r in caplog.records if "cold time" in r.getMessage()]
    assert len(logged) == 1
    assert status(cold_world.fetch(KEY)) == 200


def test_a_figure_that_is_no_json_leaves_the_other_endpoints_listed(cold_world):
    entry = b'{"service":"s1","address":"127.0.0.1:1","cold_remaining_ms":NaN}'
    cold_world.store.write(sh.ENDPOINTS, "e2", entry)
    cold_world.endpoint("e1", lh.answer_with(answer()))
    cold_world.start(route_document(), services=[_SERVICE])
    assert status(cold_world.fetch(KEY)) == 200


def test_cold_figures_of_services_and_endpoints_are_decoded():
    config = {
        "version": 1,
        "routes": [],
        "services": [_SERVICE, {"name": "s2"}],
        "limits": gateway_world.CALLER_LIMITS,
    }
    table = documents.decode_configuration(json.dumps(config).encode())
    assert table.pools["s1"][2:4] == (30.0, 12.0)
    assert table.pools["s2"][2:4] == (0.0, 0.0)


def entry(sequence, cold_ms):
    document = {
        "service": "p",
        "address": "127.0.0.1:1",
        "zone": "dc1",
        "slots": 1,
        "state": "ready",
        "sequence": sequence,
        "born": 1,
        "cold_remaining_ms": cold_ms,
    }
    return json.dumps(document).encode()


@pytest.fixture
def cluster():
    """Three hosts of one data centre, which record what they are told."""
    for loop, clock, shared, members in sh.run_hosts(3, data_centres=1):
        for host in members:
            host.reports = []
            host.shared_records = []
            host.endpoints._decode = documents.decode_endpoint
            host.endpoints.on_report = lambda listing, now, host=host: (
                host.reports.append(listing.cold_s)
            )
            follower = host.endpoints.topic_follower
            follower.on_update = (
                lambda update, host=host, send=(follower.on_update): (
                    host.shared_records.extend(update.records),
                    send(update),
                )
            )
        lh.advance(loop, clock, 3 * sh.PAUSE_S)
        yield loop, clock, shared, members


def write(cluster, sequence, cold_ms):
    loop, clock, shared, _ = cluster
    shared.write(sh.ENDPOINTS, "e9", entry(sequence, cold_ms))
    lh.advance(loop, clock, 1.2 * sh.PAUSE_S)


def test_all_hosts_hear_when_an_endpoint_becomes_cold_or_warm(cluster):
    members = cluster[3]
    write(cluster, 1, 0)
    write(cluster, 2, 5000)
    # It restarted its countdown, which others must know to be cold as long.
    write(cluster, 3, 20_000)
    write(cluster, 4, 0)
    for host in members:
        assert host.reports == [0.0, 5.0, 20.0, 0.0]


def test_a_countdown_is_not_passed_on(cluster):
    reader, *others = cluster[3]
    for sequence in range(1, 6):
        write(cluster, sequence, 20_000 - 1200 * sequence)
    assert len(reader.reports) == 5 and len(reader.shared_records) == 1
    for host in others:
        assert host.reports == [18.8]


def test_all_hosts_hear_of_an_endpoint_that_was_unreachable(cluster):
    loop, _, _, members = cluster
    run = endpoint_state.EndpointRun("e9", 1)
    for host in members:
        host.cold = cold_starts.ColdStarts()
        host.cold.set_pools({"p": _POOL})
        host.endpoints.on_report = lambda listing, now, host=host: (
            host.cold.record_report(
                run,
                cold_starts.Place("p", "dc1"),
                cold_starts.Report(listing.sequence, listing.cold_s),
                now,
            )
        )
    write(cluster, 1, 0)
    # The hosts are told to try again at different times.
    for delay_s, host in zip((2.0, 3.0, 6.0), members, strict=True):
        host.cold.note_unreachable(run, loop.now() + delay_s)
    reader = members[0]
    before = len(reader.shared_records)
    for sequence in range(2, 14):
        write(cluster, sequence, 0)
    assert not any(host.cold.is_cold(run, loop.now()) for host in members)
    assert len(reader.shared_records) == before + 1


def engines(clock, cold, only_proposes):
    made = placement.Placement(
        "dc1",
        clock,
        random.Random(1),
        lh.new_avoidances(clock),
        cold,
        only_proposes,
    )
    listed = {name: lh.listing(name) for name in ("e1", "e2", "e3")}
    made.set_endpoints({"p": listed})
    return made


def test_a_coordinator_proposes_no_cold_engine_while_a_warm_one_is_left():
    _, clock = lh.new_loop()
    cold = cold_starts.ColdStarts()
    cold.set_pools({"p": _POOL})
    runs = [endpoint_state.EndpointRun(name, 1) for name in ("e1", "e2", "e3")]
    place = cold_starts.Place("p", "dc1")
    for run in runs[:2]:
        report = cold_starts.Report(1, 20.0)
        cold.record_report(run, place, report, clock.monotonic())
    proposing = engines(clock, cold, only_proposes=True)
    needs = placement.Requirements("p", is_prompt=True, own_tokens=4000)
    chosen = {
        proposing.pick(needs, set()).listing.entry.name for _ in range(20)
    }
    assert chosen == {"e3"}
    # A cold one is better than none; hosts keep the bound themselves.
    assert proposing.pick(needs, {"e3"}) is not None


@pytest.mark.parametrize("is_sent", [True, False])
def test_a_lease_that_was_not_used_leaves_the_share_free(is_sent):
    """An engine is leased to find out whether it accepts connections.

    The request that follows needs the share that this took.
    """
    _, clock = lh.new_loop()
    cold = cold_starts.ColdStarts()
    cold.set_pools({"p": cold_starts.PoolBound(30.0, 2.0)})
    cold.set_hosts("h0", ["h0"], clock.monotonic() - 60.0)
    run = endpoint_state.EndpointRun("e1", 1)
    place = cold_starts.Place("p", "dc1")
    report = cold_starts.Report(1, 20.0)
    cold.record_report(run, place, report, clock.monotonic())
    own = engines(clock, cold, only_proposes=False)
    needs = placement.Requirements("p")
    lease = own.pick(needs, {"e2", "e3"})
    clock.advance(0.05)
    if is_sent:
        own.record_send(lease)
    own.abandon(lease)
    assert (own.pick(needs, {"e2", "e3"}) is None) == is_sent


def test_a_request_that_waits_is_sent_when_an_endpoint_gets_warm(cold_world):
    """Its host has no share, but the endpoint is warm sooner than announced."""
    seen = []
    serve = lh.answer_with(answer(), seen)
    names = [f"n{number}" for number in range(1, 99)]
    cold_world.ctrl.cold.set_hosts("n1", names, cold_world.loop.now() - 60.0)
    cold_world.ctrl.cold._rank = lambda run: len(names)
    cold_world.endpoint("e1", serve, cold_remaining_ms=100)
    document = route_document(target_latency_ms=3900, max_attempts=1)
    cold_world.start(document, services=[_SERVICE])
    caller = cold_world.send(KEY)
    pool = cold_world.ctrl.placement.waiting
    lh.run_until(cold_world.loop, lambda: pool["s1"] == 1)
    run = endpoint_state.EndpointRun("e1", 1)
    opens_at = cold_world.loop.now() + cold_world.ctrl.cold.wait_s(
        run, cold_world.loop.now()
    )
    cold_world.endpoint("e1", serve, sequence=2)
    assert read_status(cold_world, caller) == 200
    assert cold_world.loop.now() < opens_at
    assert cold_waits(cold_world) == 1


def test_later_requests_do_not_have_an_earlier_one_refused(cold_world):
    """A request counts those that wait ahead of it, when it begins to wait."""
    seen = []
    cold_world.endpoint(
        "e1", lh.answer_with(answer(), seen), cold_remaining_ms=_COLD_MS
    )
    document = route_document(target_latency_ms=3900, max_attempts=1)
    cold_world.start(document, services=[_SERVICE])
    waiting = cold_world.ctrl.placement.waiting
    assert read_status(cold_world, cold_world.send(KEY)) == 200
    caller = cold_world.send(KEY)
    lh.run_until(cold_world.loop, lambda: waiting["s1"] == 1)
    # Another one has taken its turn when it looks again.
    run = endpoint_state.EndpointRun("e1", 1)
    cold_world.ctrl.cold.record_send(run, cold_world.loop.now())
    waiting["s1"] += 50
    assert read_status(cold_world, caller) == 200


def test_a_cold_worker_gets_no_more_calls_than_a_coordinator_may_send():
    world = PieceWorld()
    cold = world.runner.cold
    cold.set_hosts("h0", ["h1"], world.loop.now())
    cold.set_pools({"p": _POOL})
    run = endpoint_state.EndpointRun("e1", 1)
    place = cold_starts.Place("p", "dc1")
    now = world.loop.now()
    cold.record_report(run, place, cold_starts.Report(1, 20.0), now)
    sent_at = {"e1": [], "e2": []}
    for _ in range(300):
        world.submit(1)
        for call in world.client.started:
            sent_at[name_of(call)].append(world.loop.now())
            call.succeed()
        world.client.started.clear()
        lh.advance(world.loop, world.clock, 0.02)
    calls = sent_at["e1"]
    most = max(sum(at <= t < at + 1.0 for t in calls) for at in calls)
    assert 1 <= most <= 23 / 2 / 3
    assert len(sent_at["e2"]) > len(calls)


def test_a_cold_worker_is_not_asked_to_free():
    world = PieceWorld()
    world.runner.set_endpoints({"p": {"e1": lh.listing("e1")}})
    done = world.submit(1)
    world.client.started[0].succeed()
    cold = world.runner.cold
    cold.set_pools({"p": _POOL})
    run = endpoint_state.EndpointRun("e1", 1)
    place = cold_starts.Place("p", "dc1")
    now = world.loop.now()
    cold.record_report(run, place, cold_starts.Report(1, 20.0), now)
    # A free is a request too; the results expire instead.
    world.runner.free(done.future.result())
    lh.advance(world.loop, world.clock, 1.0)
    assert world.client.freed == []


def test_a_job_is_refused_at_once_if_no_worker_may_be_called_in_time():
    world = PieceWorld()
    world.runner.set_endpoints({"p": {"e1": lh.listing("e1")}})
    cold = world.runner.cold
    cold.set_hosts("h0", ["h1"], world.loop.now())
    # Half of the bound has no whole request for each of three coordinators.
    cold.set_pools({"p": cold_starts.PoolBound(30.0, 5.0)})
    run = endpoint_state.EndpointRun("e1", 1)
    place = cold_starts.Place("p", "dc1")
    now = world.loop.now()
    cold.record_report(run, place, cold_starts.Report(1, 20.0), now)
    refused = world.submit(1, deadline_s=8.0)
    assert refused.is_ended and not world.client.started
    # The pool's figure counts, not that of another one.
    cold.set_pools({"q": cold_starts.PoolBound(30.0, 5.0)})
    world.submit(1)
    assert len(world.client.started) == 1


def test_a_worker_that_was_unreachable_is_treated_as_cold():
    world = PieceWorld()
    world.runner.cold.set_pools({"p": _POOL})
    places = {
        endpoint_state.EndpointRun(name, 1): cold_starts.Place("p", "dc1")
        for name in ("e1", "e2")
    }
    world.runner.cold.set_endpoints(places)
    world.submit(1)
    call = world.client.started[0]
    call.on_done(
        exchanges.TransferFailure(exchanges.FailureKind.REFUSED, "", False)
    )
    run = endpoint_state.EndpointRun(name_of(call), 1)
    assert world.runner.cold.is_cold(run, world.loop.now() + 20.0)


def test_a_host_uses_no_share_before_it_knows_which_hosts_there_are():
    loop, clock = lh.new_loop()
    source = lh.FakeStore()
    for number in range(2, 7):
        address = f"127.0.0.1:{number}"
        source.write(
            store.Topic.ROUTERS, f"n{number}", address.encode() + b" d"
        )
    source.error = store.StoreError("away")
    fleet = start_fleet(loop, clock, source)
    cold = cold_starts.ColdStarts()
    cold.set_pools({"p": _POOL})
    run = endpoint_state.EndpointRun("e1", 1)
    place = cold_starts.Place("p", "dc1")
    cold.record_report(run, place, cold_starts.Report(1, 60.0), loop.now())
    cold_endpoints.set_hosts(cold, fleet, loop.now())
    assert fleet.known_hosts() is None
    clock.advance(2 * cold_starts.SETTLE_S)
    assert cold.wait_s(run, loop.now()) > 0.0
    source.error = None
    lh.advance_until(loop, clock, lambda: fleet.known_hosts() is not None)
    assert fleet.known_hosts().names == {f"n{n}" for n in range(1, 7)}
    cold_endpoints.set_hosts(cold, fleet, loop.now())
    clock.advance(1.01 * cold_starts.SETTLE_S)
    assert cold.wait_s(run, loop.now()) == 0.0
    loop.close()


def test_a_gateway_passes_on_the_hosts_that_it_knows():
    first = lh.free_ports(5)
    settings = gateway_world.World.settings((first, first + 4))
    made = gateway.Gateway(
        settings, environment.system_environment(), telemetry.Telemetry()
    )
    told = []
    made._ctrl.cold.set_hosts = lambda own, *_: told.append(own)
    made._ctrl.fleet._has_read_list = True
    made._poll()
    made._ctrl.fleet.stop = made._ctrl.fleet.gossip._socket.close
    made._close()
    assert told == ["n1"]


def test_endpoints_are_cold_when_an_evacuation_ends(world):
    """Guards against a data centre that is rushed once it is used again."""
    world.ctrl.evacuations.on_ended("dc1")
    assert world.ctrl.cold._warm_ups.keys() == {"dc1"}
