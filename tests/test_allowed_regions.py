"""Routes and accounts whose requests may be served in some regions only.

The tests guard against a request that reaches an endpoint elsewhere: by choice,
in a retry, as a proposal or a piece of a stage; and against refusals that come
late or aren't true.
"""

import json
import random

import gateway_world
import loop_helpers as lh
import pytest
from gateway_world import (
    KEY,
    TENANTS,
    answer,
    decline,
    events,
    route_document,
    status,
    stream,
    stream_route_document,
)
from test_gateway_stages import PIECES, StageServer
from test_piece_runner import WORKER_PROFILE
from test_piece_runner import World as PieceWorld
from test_stages import FakeRunner

from chervilarch import (
    messages,
    piece_queue,
    pieces,
    placement,
    routing_table,
    stage_graph,
    stage_messages,
    stage_scheduler,
)
from chervilarch.decoding import Unreadable
from chervilarch.platform import documents
from chervilarch.scheduling import homes

# The gateway is in dc1, whose endpoints it prefers.
_BY_DATA_CENTRE = {"dc1": "eu", "dc2": "us", "dc4": "us"}
_REGIONS = homes.Regions(_BY_DATA_CENTRE)
_SEAL_KEY = b"k" * 16
_EU = frozenset({"eu"})
# Sent with `max_attempts=1` where they are counted: no hedge adds to them.
_REQUESTS = 12


@pytest.fixture
def world():
    running = gateway_world.World(regions=_BY_DATA_CENTRE)
    yield running
    running.close()


def start_endpoints(world, reply, **data_centres):
    """Starts endpoints by name; returns the requests that each one got."""
    seen = {name: [] for name in data_centres}
    for name, data_centre in data_centres.items():
        world.endpoint(
            name, lh.answer_with(reply, seen[name]), zone=data_centre
        )
    return seen


def tenants(regions):
    return [{**TENANTS[0], "allowed_regions": regions}]


@pytest.mark.parametrize(
    ("of_route", "of_account", "expected"),
    [
        ((), (), None),
        (("eu",), (), {"eu"}),
        ((), ("eu", "us"), {"eu", "us"}),
        (("eu", "jp"), ("eu", "us"), {"eu"}),
        (("jp",), ("eu",), set()),
    ],
)
def test_both_restrictions_apply(of_route, of_account, expected):
    route = lh.route(allowed_regions=frozenset(of_route))
    account = routing_table.Account("a", None, frozenset(of_account))
    assert homes.allowed_regions(route, account) == expected
    if not of_account:
        assert homes.allowed_regions(route, None) == expected


def test_a_data_centre_of_an_unknown_region_is_in_no_allowed_region():
    assert _REGIONS.allows("dc9", None)
    assert not _REGIONS.allows("dc9", _EU)
    assert not _REGIONS.allows("", frozenset({"", "None"}))
    assert not _REGIONS.allows("dc1", frozenset())


@pytest.mark.parametrize(
    ("value", "expected"), [(["eu", "us"], {"eu", "us"}), ([], ()), (None, ())]
)
def test_allowed_regions_are_decoded(value, expected):
    table = documents.decode_configuration(config_of(value))
    assert table.routes()[0].allowed_regions == frozenset(expected)
    assert table.account_of_key("k1").allowed_regions == frozenset(expected)


@pytest.mark.parametrize("value", ["eu", {"eu": 1}, [1], [None], ["x" * 256]])
def test_a_restriction_that_cannot_be_read_is_not_taken_for_none(value):
    table = documents.decode_configuration(config_of(value))
    assert isinstance(table, Unreadable)


def config_of(regions):
    config = {
        "version": 1,
        "routes": [route_document(allowed_regions=regions)],
        "services": [{"name": "s1"}],
        "limits": gateway_world.CALLER_LIMITS,
        "tenants": tenants(regions),
    }
    return json.dumps(config).encode()


@pytest.mark.parametrize(
    ("route", "reply"),
    [
        (route_document, answer()),
        (stream_route_document, stream(events(1, 2))),
    ],
    ids=["answer", "stream"],
)
@pytest.mark.parametrize("restricts", ["route", "account", "exempt route"])
def test_requests_reach_only_endpoints_in_allowed_regions(
    world, route, reply, restricts
):
    seen = start_endpoints(world, reply, e1="dc1", e2="dc2", e3="dc3", e4="dc4")
    if restricts == "route":
        world.start(route(allowed_regions=["us"], max_attempts=1))
    else:
        is_exempt = restricts == "exempt route"
        document = route(auth_exempt=is_exempt, max_attempts=1)
        world.start(document, tenants=tenants(["us"]))
    for _ in range(_REQUESTS):
        assert status(world.fetch(KEY)) == 200
    assert not seen["e1"] and not seen["e3"]
    assert len(seen["e2"]) + len(seen["e4"]) == _REQUESTS


def test_a_declined_request_is_not_tried_again_elsewhere(world):
    declined, other = [], []
    world.endpoint("e1", decline(declined), zone="dc1")
    world.endpoint("e2", lh.answer_with(answer(), other), zone="dc2")
    world.start(route_document(allowed_regions=["eu"], max_attempts=4))
    assert status(world.fetch(KEY)) == 503
    assert declined and not other


@pytest.mark.parametrize("route", [route_document, stream_route_document])
@pytest.mark.parametrize(
    ("of_route", "of_account"), [(["jp"], []), (["eu"], ["us"]), ([], ["jp"])]
)
def test_a_request_without_an_endpoint_in_its_regions_is_refused_at_once(
    world, route, of_route, of_account
):
    seen = start_endpoints(world, answer(), e1="dc1", e2="dc2", e3="dc3")
    world.start(route(allowed_regions=of_route), tenants=tenants(of_account))
    received = world.fetch(KEY)
    assert status(received) == 503 and b"no-endpoint" in received
    assert b"retry-after" in received.lower()
    assert not any(seen.values())
    assert b"region_refusals_total 1.0" in world.meters.text()


def test_a_deployment_without_regions_is_served_as_before():
    world = gateway_world.World()
    seen = start_endpoints(world, answer(), e1="dc1", e2="dc2", e3="dc3")
    world.start(route_document(max_attempts=1))
    for _ in range(_REQUESTS):
        assert status(world.fetch(KEY)) == 200
    world.close()
    assert sum(map(len, seen.values())) == _REQUESTS


def start_stages(world, second_data_centre):
    """Starts a route with two stages; returns their workers by name."""
    workers = {}
    for name, pool, data_centre in (
        ("m1", "p1", "dc2"),
        ("m2", "p1", "dc1"),
        ("m3", "p2", second_data_centre),
        ("m4", "p2", "dc1"),
    ):
        workers[name] = StageServer()
        world.endpoint(name, workers[name].serve, pool=pool, zone=data_centre)
    stages = [
        {"service": "p1", "after": [], "bytes": 100},
        {"service": "p2", "after": [0], "bytes": 100},
    ]
    services = [
        {"name": "s1"},
        {"name": "p1", "pieces": PIECES},
        {"name": "p2", "pieces": PIECES},
    ]
    world.start(
        stream_route_document(stages=stages, allowed_regions=["us"]),
        services=services,
    )
    return workers


def test_pieces_of_stages_are_made_in_allowed_regions(world):
    seen = start_endpoints(world, stream(events(1, 2)), e1="dc4", e2="dc1")
    workers = start_stages(world, "dc4")
    for _ in range(3):
        received = world.fetch(KEY, ("Pieces", "6,6"), ("Piece-Key", "pk"))
        assert status(received) == 200
    assert workers["m1"].calls and workers["m3"].calls and seen["e1"]
    assert not workers["m2"].calls and not workers["m4"].calls
    assert not seen["e2"]


def test_no_stage_runs_if_a_later_one_has_no_worker_in_the_regions(world):
    seen = start_endpoints(world, stream(events(1, 2)), e1="dc2")
    workers = start_stages(world, "dc3")
    received = world.fetch(KEY, ("Pieces", "1,1"), ("Piece-Key", "pk"))
    assert status(received) == 503
    assert not any(worker.calls for worker in workers.values())
    # A stage that is skipped needs no worker.
    received = world.fetch(KEY, ("Pieces", "1,0"), ("Piece-Key", "pk"))
    assert status(received) == 200 and seen["e1"]


def engines(**data_centres):
    _, clock = lh.new_loop()
    made = placement.Placement(
        "dc2",
        clock,
        random.Random(1),
        lh.new_avoidances(clock),
        regions=_REGIONS,
    )
    listed = {
        name: lh.listing(name, data_centre=data_centre)
        for name, data_centre in data_centres.items()
    }
    made.set_endpoints({"p": listed})
    return made


def test_a_proposal_outside_the_regions_is_not_followed():
    made = engines(e1="dc1", e2="dc2")
    needs = placement.Requirements("p", preferred="e2", regions=_EU)
    assert made.pick(needs, set()).listing.entry.name == "e1"
    assert made.pick(needs, {"e1"}) is None


def test_a_wait_is_that_for_the_endpoints_in_the_regions():
    made = engines(e1="dc1", e2="dc2")
    lease = made.pick(placement.Requirements("p", regions=_EU), set())
    made.pause(lease.slot.endpoint, lease.slot.started_at + 30.0)
    made.abandon(lease)
    assert made.shortest_wait_s("p") == 0.0
    assert made.shortest_wait_s("p", _EU) > 0.0
    assert made.pause_s("p", set(), _EU) > 0.0
    assert made.affinity_data_centre("p", b"x", _EU) == "dc1"


def test_the_coordinator_proposes_an_engine_in_the_regions():
    loop, _ = lh.new_loop()
    runner = FakeRunner()
    made = engines(e1="dc1", e2="dc2")
    scheduler = stage_scheduler.StageScheduler(loop, runner, made)
    stage = stage_graph.StageSpec("p", (), 1, 10)
    prompt = stage_graph.PromptSize("p", b"x", 10, 10)
    now = loop.now()
    for _ in range(6):
        run = scheduler.run(
            graph(_EU)._replace(
                stages=(stage,),
                prompt=prompt,
                objective_at=now + 50.0,
                deadline_at=now + 60.0,
            )
        )
        runner.complete(0)
        assert run.future.result().proposed_engine == "e1"
    loop.close()


def graph(regions):
    return stage_graph.StageGraph("r1", "k", 0, 1.0, 2.0, (), regions=regions)


@pytest.mark.parametrize(
    "regions", [None, _EU, frozenset({"a", "b"}), frozenset()]
)
def test_a_coordinator_gets_the_regions_of_a_graph(regions):
    message = stage_messages.StageMessage(
        stage_messages.Kind.SUBMIT, 1, graph(regions)
    )
    frame = stage_messages.encode(_SEAL_KEY, message, 0.0)
    decoded = stage_messages.decode(_SEAL_KEY, frame, 0.0)
    # No region at all is another thing than no restriction.
    assert decoded.graph.regions == regions


def test_a_graph_of_a_build_without_regions_is_not_restricted():
    msg = messages.SCHEMA.StageMessage.new_message()
    msg.kind = "submit"
    msg.order.requestId = "r1"
    frame = messages.seal(_SEAL_KEY, msg.to_bytes_packed())
    decoded = stage_messages.decode(_SEAL_KEY, frame, 0.0)
    assert decoded.graph.regions is None


def queue_of(**data_centres):
    queue = piece_queue.PieceQueue("p", WORKER_PROFILE, _REGIONS)
    queue.set_endpoints(
        {
            name: lh.listing(name, data_centre=data_centre)
            for name, data_centre in data_centres.items()
        }
    )
    return queue


def job(name, regions, count=1, result_bytes=10, target_at=1.0):
    return pieces.PendingJob(
        pieces.Job(
            name,
            0,
            "p",
            count,
            "k",
            (),
            target_at,
            9.0,
            1,
            result_bytes,
            regions=regions,
        )
    )


def test_a_job_joins_no_call_to_a_worker_outside_its_regions():
    queue = queue_of(e1="dc1", e2="dc2")
    elsewhere, home = job("r1", frozenset({"us"})), job("r2", _EU)
    queue.add(elsewhere)
    queue.add(home)
    for _ in range(2):
        batch = queue.next_batch(0.0)
        name = batch.worker.listing.entry.name
        expected = {"e1": home, "e2": elsewhere}[name]
        assert [pending for pending, _ in batch.pieces] == [expected]
    assert queue.next_batch(0.0) is None


def test_a_waiting_job_is_refused_once_its_regions_have_no_worker():
    """Guards against a wait until the deadline; others may wait."""
    world = PieceWorld()
    world.runner.set_endpoints({})
    world.runner._regions = _REGIONS
    pools = {"q": routing_table.Pool("q", WORKER_PROFILE)}
    world.runner.set_pools(pools)
    listed = {"e1": lh.listing("e1"), "e2": lh.listing("e2", data_centre="dc2")}
    world.runner.set_endpoints({"q": listed})
    queue = world.runner.queue("q")
    for worker in queue.workers.values():
        worker.backoff_until = world.loop.now() + 60.0
    now = world.loop.now()
    home, anywhere = (
        world.runner.submit(
            pieces.Job(
                "r1", 0, "q", 1, "k", (), now + 1, now + 8, 1, regions=regions
            )
        )
        for regions in (_EU, None)
    )
    assert not home.is_ended
    world.runner.set_endpoints({"q": {"e2": listed["e2"]}})
    assert home.future.result().reason == pieces.NO_ENDPOINT
    assert not anywhere.is_ended


def test_a_job_whose_workers_are_busy_does_not_hold_up_others():
    queue = queue_of(e1="dc1", e2="dc2")
    queue.workers["e1"].backoff_until = 60.0
    queue.add(job("r1", _EU, target_at=0.5))
    other = job("r2", None)
    queue.add(other)
    batch = queue.next_batch(0.0)
    assert batch.worker.listing.entry.name == "e2"
    assert batch.pieces == [(other, 0)]


def test_a_job_starts_only_with_memory_for_all_its_results_in_its_regions():
    queue = queue_of(e1="dc1", e2="dc2")
    queue.workers["e1"].add_result("h", 900_000, 60.0)
    queue.add(job("r1", _EU, count=2, result_bytes=80_000))
    assert queue.next_batch(0.0) is None
    queue.workers["e1"].remove_result("h")
    assert len(queue.next_batch(0.0).pieces) == 2


def test_jobs_that_wait_for_workers_of_their_regions_are_not_deadlocked():
    queue = queue_of(e1="dc1", e2="dc2")
    waiting = [job(f"r{n}", _EU, count=2) for n in range(2)]
    for number, pending in enumerate(waiting):
        made = pieces.PieceResult(f"h{number}", "e1", "x", "dc1", "p")
        pending.add_result(pending.pop_piece(), made)
        pending.record_call_end(0)
        queue.add(pending)
    queue.workers["e1"].calls = WORKER_PROFILE.max_calls
    for step in range(10):
        assert not queue.break_deadlock(step / 10)
    assert all(len(pending.queued_pieces) == 1 for pending in waiting)


def test_the_expected_wait_is_that_in_the_regions():
    queue = queue_of(e1="dc1", e2="dc2", e3="dc3")
    for number in range(30):
        queue.add(job(f"r{number}", _EU))
    wait_s = queue.wait_s(1, 1.0, 0.0, _EU)
    assert wait_s > queue.wait_s(1, 1.0, 0.0, frozenset({"us"}))
    assert wait_s > 2.0 * queue.wait_s(1, 1.0, 0.0)
