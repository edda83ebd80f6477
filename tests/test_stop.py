"""A stop takes no request that it would cut off."""

import threading
import types

import gateway_world as gw
import loop_helpers as lh
import pytest

from chervilarch import (
    admission,
    clocks,
    filters,
    futures,
    outcomes,
    permits,
    routed,
    routing_table,
    settings,
    stop_admission,
)
from chervilarch.stop_admission import Step

ANY = routing_table.RetryPolicy.ANY
ONCE = routing_table.RetryPolicy.AT_MOST_ONCE


def request(policy=ANY, deadline_at=110.0):
    req = routed.RoutedRequest(
        gw.http_server.Request("POST", "/x/1", [], b"", 100.0, ""),
        "id1",
        "a.example",
        "",
        None,
        routed.Prompt(()),
        (),
        "",
        "",
    )
    req.route = lh.route(retry_policy=policy)
    req.deadline_at = deadline_at
    return req


@pytest.fixture
def stop():
    return stop_admission.StopAdmission(lambda: True)


@pytest.mark.parametrize(
    ("policy", "is_stream", "longest_s", "is_taken"),
    [
        (ANY, False, 5.0, True),
        (ANY, False, 5.1, False),
        (ONCE, False, 3.3, True),
        (ONCE, False, 3.4, False),
        (ANY, True, 3.3, True),
        (ANY, True, 3.4, False),
    ],
)
def test_a_request_is_taken_only_if_it_has_time_to_end(
    stop, policy, is_stream, longest_s, is_taken
):
    for elapsed_s in (0.1, longest_s, 0.1):
        stop.record("r", Step.REQUEST, elapsed_s)
    stop.begin(102.5, 105.0)
    req = request(policy)
    req.route = req.route._replace(is_stream=is_stream)
    refusal = stop.refusal(req, Step.REQUEST, 100.0)
    assert (refusal is None) is is_taken


def test_a_request_whose_deadline_comes_first_is_taken(stop):
    stop.begin(102.5, 105.0)
    late = request(ONCE, deadline_at=105.0)
    assert stop.refusal(late, Step.REQUEST, 100.0) is None


def test_without_known_times_no_request_is_taken(stop):
    stop.begin(102.5, 105.0)
    refusal = stop.refusal(request(), Step.CALL, 100.0)
    assert isinstance(refusal, outcomes.NotRun)
    assert refusal.reason is outcomes.Reason.SHUTTING_DOWN


@pytest.mark.parametrize(
    ("has_neighbour", "now", "retry_s"),
    [(True, 100.0, 0.1), (False, 100.0, 2.5), (False, 103.0, 0.1)],
)
def test_a_refused_caller_comes_again_when_another_host_serves_it(
    stop, has_neighbour, now, retry_s
):
    stop.has_neighbour = lambda: has_neighbour
    stop.begin(102.5, 105.0)
    refusal = stop.refusal(request(ONCE), Step.REQUEST, now)
    assert refusal.retry_after_s == retry_s


@pytest.mark.parametrize(
    ("policy", "has_neighbour", "is_taken"),
    [(ANY, True, False), (ANY, False, True), (ONCE, False, False)],
)
def test_a_repeatable_request_is_taken_if_a_refusal_costs_its_caller_more(
    stop, policy, has_neighbour, is_taken
):
    # One of four would be cut off after 5 s; a refused caller waits for 2.5 s.
    for elapsed_s in (0.1, 0.1, 6.0, 0.1):
        stop.record("r", Step.REQUEST, elapsed_s)
    stop.has_neighbour = lambda: has_neighbour
    stop.begin(102.5, 105.0)
    refusal = stop.refusal(request(policy), Step.REQUEST, 100.0)
    assert (refusal is None) is is_taken


def test_a_request_that_is_probably_cut_off_is_refused_at_any_cost(stop):
    for elapsed_s in (0.1, 9.0, 9.0):
        stop.record("r", Step.REQUEST, elapsed_s)
    stop.begin(102.5, 105.0)
    # A cut off request would have cost less than the retry.
    assert stop.refusal(request(), Step.REQUEST, 104.99)


def test_after_the_end_of_the_grace_period_no_request_is_taken(stop):
    stop.record("r", Step.REQUEST, 0.001)
    stop.begin(102.5, 105.0)
    assert stop.refusal(request(), Step.REQUEST, 105.1)


HISTORIES = {
    "much": [0.1] * 32,
    "little": [0.1] * 3,
    "one": [0.1],
    "none": [],
    "instant": [0.0],
}


# Guards against streams, and requests that may run only once, that are taken
# late in a stop because the few known answers were short, and then cut off.
@pytest.mark.parametrize("has_neighbour", [True, False])
@pytest.mark.parametrize("history", HISTORIES)
@pytest.mark.parametrize("now", [102.6, 103.1, 103.9, 104.9])
@pytest.mark.parametrize(
    ("policy", "is_stream"), [(ANY, True), (ONCE, True), (ONCE, False)]
)
def test_a_late_strict_request_is_taken_only_for_a_deadline_before_the_cut(
    stop, policy, is_stream, now, history, has_neighbour
):
    for elapsed_s in HISTORIES[history]:
        for step in Step:
            stop.record("r", step, elapsed_s)
    stop.has_neighbour = lambda: has_neighbour
    stop.begin(102.5, 105.0)
    req = request(policy, deadline_at=105.1)
    req.route = req.route._replace(is_stream=is_stream)
    refusal = stop.refusal(req, Step.REQUEST, now)
    assert refusal.reason is outcomes.Reason.SHUTTING_DOWN
    assert refusal.retry_after_s == stop_admission.RETRY_S
    req.deadline_at = 105.0
    assert stop.refusal(req, Step.REQUEST, now) is None


# The other half: a refusal would cost these callers more than it saves.
@pytest.mark.parametrize(
    ("policy", "is_stream", "step", "now"),
    [
        # During the notice callers may come back to this host.
        (ANY, True, Step.REQUEST, 102.4),
        (ONCE, True, Step.REQUEST, 102.4),
        (ONCE, False, Step.REQUEST, 102.4),
        # It was taken before, and its stages have run.
        (ONCE, True, Step.CALL, 103.9),
        # Cut off, it is answered and may be repeated.
        (ANY, False, Step.REQUEST, 103.9),
    ],
)
def test_short_requests_are_taken_by_past_answers(
    stop, policy, is_stream, step, now
):
    stop.record("r", step, 0.1)
    stop.begin(102.5, 105.0)
    req = request(policy)
    req.route = req.route._replace(is_stream=is_stream)
    assert stop.refusal(req, step, now) is None


def test_a_host_that_does_not_stop_takes_every_request(stop):
    stop.record("r", Step.REQUEST, 1e6)
    assert stop.refusal(request(), Step.REQUEST, 100.0) is None


@pytest.fixture
def world():
    created = gw.World()
    yield created
    created.close()


@pytest.fixture(
    params=[
        gw.route_document(),
        gw.route_document(kind="non_idempotent"),
        gw.stream_route_document(),
    ],
    ids=["safe", "once", "stream"],
)
def stopping(request, world):
    """A gateway that stops before its requests' deadlines."""
    seen = []
    is_stream = request.param["kind"] == "streaming"
    data = gw.stream(gw.events(1, 2)) if is_stream else gw.answer()
    world.endpoint("e1", lh.answer_with(data, seen))
    world.start(request.param)
    world.serving_state.is_draining = True
    # The deadline is after 4 s.
    now = world.loop.now()
    world.ctrl.stop_admission.begin(now, now + 3.0)
    return world, seen


def test_a_request_that_a_stop_would_cut_off_is_refused_at_once(stopping):
    world, seen = stopping
    received = world.fetch(gw.KEY).lower()
    assert received.startswith(b"http/1.1 503")
    assert b"retry-after: 0.100\r\n" in received
    assert b"connection: close\r\n" in received
    assert b'"reason":"shutting-down"' in received
    assert not seen


# Without it the logs don't tell why a stopping host took what it then cut off.
def test_what_a_decision_during_a_stop_rests_on_is_logged(stopping, caplog):
    world, _ = stopping
    for step in Step:
        for elapsed_s in (0.001, 0.002):
            world.ctrl.stop_admission.record("r1", step, elapsed_s)
    with caplog.at_level("INFO"):
        world.fetch(gw.KEY, deadline_ms=2500)
    logged = [
        record.fields
        for record in caplog.records
        if record.getMessage() == "request during a stop"
    ]
    # The final call is decided on before and after the wait for an endpoint.
    steps = [fields["step"] for fields in logged]
    assert steps == ["request", "final call", "final call"]
    for fields in logged:
        assert fields["request_id"] == "id1"
        assert fields["is_taken"] is True
        assert 0 < fields["deadline_ms"] <= 2500 < fields["left_ms"] <= 3000
        assert fields["known_times"] == fields["longest_ms"] == 2
        is_estimate = fields["allows_estimate"]
        assert fields["cut_share"] == (0.0 if is_estimate else 1.0)
    route = world.ctrl.configuration.table.find("a.example", "/x/1")
    is_strict = route.is_stream or route.retry_policy is ONCE
    assert [fields["allows_estimate"] for fields in logged] == [
        not is_strict,
        True,
        True,
    ]


def test_a_request_that_can_end_before_a_stop_is_served(stopping):
    world, seen = stopping
    for step in Step:
        world.ctrl.stop_admission.record("r1", step, 0.001)
    now = world.loop.now()
    world.ctrl.stop_admission.begin(now + 2.0, now + 3.0)
    assert world.fetch(gw.KEY).startswith(b"HTTP/1.1 200")
    assert len(seen) == 1


def begin_late_stop(world, cut_s):
    """Begins a stop whose notice has just ended."""
    for step in Step:
        world.ctrl.stop_admission.record("r1", step, 0.001)
    world.serving_state.is_draining = True
    now = world.loop.now()
    world.ctrl.stop_admission.begin(now - 0.001, now + cut_s)


# Guards against a caller's next stream being taken when one that began before
# the stop ends, whose head couldn't ask it to leave the connection.
@pytest.mark.parametrize("changes", [{}, {"resumable": False}])
def test_a_stream_after_one_from_before_the_stop_is_refused(world, changes):
    may_end = threading.Event()
    seen = []

    def serve(conn):
        head = lh.read_request(conn)
        seen.append(head)
        conn.sendall(gw.stream(gw.events(1, 1), ends=False))
        may_end.wait(lh.TIMEOUT_S)
        conn.sendall(b"0\r\n\r\n")

    world.endpoint("e1", serve)
    world.start({**gw.stream_route_document(), **changes})
    conn = world.send(gw.KEY)
    begun = lh.receive(world.loop, conn, lambda data: b"e1\n\n" in data)
    assert b"connection: close" not in begun.lower()
    begin_late_stop(world, 3.0)
    may_end.set()
    lh.receive(world.loop, conn, lambda data: data.endswith(b"0\r\n\r\n"))
    conn.sendall(
        b"POST /x/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: id2\r\n"
        b"Authorization: Bearer k1\r\nDeadline-Ms: 5000\r\n"
        b"Content-Length: 0\r\n\r\n"
    )
    received = lh.receive(world.loop, conn, lambda data: b"<EOF>" in data)
    answer = received.lower()
    assert answer.startswith(b"http/1.1 503")
    assert b"retry-after: 0.100\r\n" in answer
    assert b"connection: close\r\n" in answer
    assert b'"reason":"shutting-down"' in answer
    assert len(seen) == 1


@pytest.mark.parametrize(
    "document",
    [
        gw.route_document(),
        gw.route_document(kind="non_idempotent"),
        gw.stream_route_document(),
        gw.stream_route_document() | {"resumable": False},
    ],
    ids=["safe", "once", "resumable stream", "stream"],
)
def test_a_late_request_with_a_deadline_before_the_cut_is_served(
    world, document
):
    is_stream = document["kind"] == "streaming"
    data = gw.stream(gw.events(1, 2)) if is_stream else gw.answer()
    world.endpoint("e1", lh.answer_with(data))
    world.start(document)
    begin_late_stop(world, 3.0)
    received = world.fetch(gw.KEY, deadline_ms=2500)
    assert received.startswith(b"HTTP/1.1 200")


# Guards against calls that wait for an endpoint while a stop begins, and are
# sent only to be cut off.
@pytest.mark.parametrize(
    "document",
    [gw.route_document(kind="non_idempotent"), gw.stream_route_document()],
    ids=["once", "stream"],
)
@pytest.mark.parametrize(("cut_s", "is_sent"), [(0.5, False), (3.0, True)])
def test_a_call_that_waited_into_a_stop_is_sent_only_if_it_can_end(
    world, document, cut_s, is_sent
):
    seen = []
    is_stream = document["kind"] == "streaming"
    data = gw.stream(gw.events(1, 2)) if is_stream else gw.answer()
    world.endpoint("e1", lh.answer_with(data, seen))
    world.start(document)
    for step in Step:
        world.ctrl.stop_admission.record("r1", step, 1.0)
    permit = futures.Future()
    asked = []

    def acquire(run, max_wait_s):
        asked.append(run)
        return permit

    world.ctrl.limits.per_s = lambda run: 1.0
    world.ctrl.permits.acquire = acquire
    conn = world.send(gw.KEY, ("Connection", "close"))
    lh.run_until(world.loop, lambda: asked)
    world.serving_state.is_draining = True
    now = world.loop.now()
    world.ctrl.stop_admission.begin(now, now + cut_s)
    permit.set_result(permits.Permit(True, 0.0))
    received = lh.receive(world.loop, conn, lambda got: b"<EOF>" in got).lower()
    assert received.startswith(b"http/1.1 200 " if is_sent else b"http/1.1 503")
    assert len(seen) == is_sent
    if not is_sent:
        assert b"retry-after: 0.100\r\n" in received
        assert b'"reason":"shutting-down"' in received
        # Its lease doesn't count as load.
        endpoints = world.ctrl.placement._pools["s1"].values()
        assert not any(endpoint.slots for endpoint in endpoints)


def test_a_stop_learns_from_complete_answers(world):
    world.endpoint("e1", lh.answer_with(gw.answer()))
    world.start(gw.route_document())
    assert world.fetch(gw.KEY).startswith(b"HTTP/1.1 200")
    now = world.loop.now()
    world.ctrl.stop_admission.begin(now, now + 3.0)
    assert world.fetch(gw.KEY).startswith(b"HTTP/1.1 200")


@pytest.fixture
def admit(monkeypatch):
    """Returns a router's refusal of a request with 10 s to its deadline."""

    def run(
        expected_s,
        stops_at,
        is_repeatable=True,
        wants_stream=False,
        notice_ends_at=102.5,
        deadline_at=110.0,
    ):
        estimate = admission.StageEstimate(
            limit=1.0, unit_s=1.0, base_s=expected_s, backlog=0.0, units=1.0
        )
        monkeypatch.setattr(
            filters.stages, "estimate_stages", lambda *_: [estimate]
        )
        req = types.SimpleNamespace(
            deadline_at=deadline_at,
            wants_stream=wants_stream,
            trace=types.SimpleNamespace(add_step=lambda *_, **__: None),
            pipeline=types.SimpleNamespace(
                stages=(), is_repeatable=lambda: is_repeatable
            ),
        )
        ctrl = types.SimpleNamespace(clock=clocks.ManualClock(100.0))
        stop_times = stop_admission.StopTimes(notice_ends_at, stops_at)
        ctx = filters.FilterContext(ctrl, settings.Settings, req, stop_times)
        return filters.admit(ctx, lambda: "taken")

    return run


@pytest.mark.parametrize(
    ("expected_s", "fields", "is_taken"),
    [
        (5.0, {}, True),
        (5.1, {}, False),
        (3.3, {"is_repeatable": False}, True),
        (3.4, {"is_repeatable": False}, False),
        (3.4, {"wants_stream": True}, False),
        # Nothing is known of the pipeline's times.
        (0.0, {}, False),
    ],
)
def test_a_router_takes_a_request_only_if_it_has_time_to_end(
    admit, expected_s, fields, is_taken
):
    outcome = admit(expected_s, 105.0, **fields)
    assert (outcome == "taken") is is_taken
    if not is_taken:
        assert outcome.reason is outcomes.Reason.SHUTTING_DOWN


# Guards against the same in the router, which goes by its own estimate.
@pytest.mark.parametrize(
    ("fields", "is_taken"),
    [
        ({}, True),
        ({"is_repeatable": False}, False),
        ({"wants_stream": True}, False),
        ({"is_repeatable": False, "deadline_at": 105.0}, True),
        ({"wants_stream": True, "deadline_at": 105.0}, True),
    ],
)
def test_a_router_takes_late_requests_that_a_cut_leaves_in_doubt_by_deadline(
    admit, fields, is_taken
):
    outcome = admit(0.001, 105.0, notice_ends_at=99.9, **fields)
    assert (outcome == "taken") is is_taken
    if not is_taken:
        assert outcome.reason is outcomes.Reason.SHUTTING_DOWN


@pytest.mark.parametrize("stops_at", [110.0, float("inf")])
def test_a_router_takes_a_request_whose_deadline_comes_first(admit, stops_at):
    assert admit(9.9, stops_at, is_repeatable=False) == "taken"
