"""Endpoints that send replies without end are avoided for a while."""

import loop_helpers as lh
import pytest
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
from test_endless_replies import CASES, EndlessServer
from test_gateway_stages import PIECES, StageServer

from chervilarch import avoidances, endpoint_state

_RUN = endpoint_state.EndpointRun("e1", 1)
_CALLERS = 12
_HEAD = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: id1\r\nResponse-Stamp: s1\r\n"
    b"Content-Type: text/event-stream\r\n"
)
_BLOCK = b"x" * (64 * 1024)
# Replies that are broken off, as no end is in sight.
ENDLESS = {
    **{
        name: case
        for name, case in CASES.items()
        if name not in ("no protocol", "chunk size")
    },
    "body of an error": (_HEAD.replace(b"200", b"500") + b"\r\n", _BLOCK),
    "trailers": (
        _HEAD + b"Transfer-Encoding: chunked\r\n\r\n0\r\n",
        b"X: yyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyy\r\n" * 1000,
    ),
}
# Replies that are wrong in other ways.
GARBLED = {
    "no protocol": b"\x00junk" * 1000,
    "cut body": answer(missing=5),
    "cut head": _HEAD,
    "chunk size": _HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + _BLOCK,
    "two lengths": answer(extra="Transfer-Encoding: chunked\r\n"),
    "no status": b"HTTP/1.1 \r\n\r\n",
    "another's": answer(request_id="id2"),
    "not signed": answer(stamp=""),
    "error": answer(500),
    "nothing": b"",
}


class FaultyEndpoint:
    """Counts its requests; answers as long as it is told to, then soundly."""

    def __init__(self, *case):
        self._server = EndlessServer(*case)
        self.is_faulty = True
        self.sound = answer()
        self.requests = []

    def serve(self, conn):
        if self.is_faulty:
            self.requests.append(b"")
            self._server.serve(conn)
            return
        self.requests.append(lh.read_request(conn))
        conn.sendall(self.sound)

    def stop(self):
        self._server.stop.set()


@pytest.fixture
def faulty():
    endpoints = []

    def create(*case):
        endpoints.append(FaultyEndpoint(*case))
        return endpoints[-1]

    yield create
    for endpoint in endpoints:
        endpoint.stop()


@pytest.fixture
def long_avoidance(monkeypatch):
    """Lets no avoidance end within a test."""
    monkeypatch.setattr(avoidances, "FIRST_AVOIDANCE_S", 60.0)


def retry_after_s(received):
    head = received.partition(b"\r\n\r\n")[0].lower()
    return float(head.partition(b"retry-after: ")[2].split(b"\r\n")[0])


def once_document(**changes):
    """Returns a route whose requests may run only once and can't wait."""
    fixed = {"kind": "non_idempotent", "timeout_ms": 3000}
    return route_document(**{**fixed, "target_latency_ms": 100, **changes})


# Failed: the endpoint got every request, until three in a row had failed.
@pytest.mark.parametrize("case", ENDLESS)
def test_an_endpoint_that_sends_without_end_gets_no_more_requests(
    world, faulty, long_avoidance, case
):
    endpoint = faulty(*ENDLESS[case])
    world.endpoint("e1", endpoint.serve)
    world.start(once_document())
    assert status(world.fetch(KEY)) == 502
    received = world.fetch(KEY)
    assert status(received) == 503
    assert b"without end" in received
    longest_s = avoidances.FIRST_AVOIDANCE_S * (1 + avoidances._SPREAD_SHARE)
    assert 0.0 < retry_after_s(received) <= longest_s
    assert len(endpoint.requests) == 1


# Failed: an event over its bound counted as an ordinary failure.
def test_an_endpoint_that_sends_an_event_without_end_gets_no_more_requests(
    world, faulty, long_avoidance
):
    start = _HEAD + b"\r\n" + events(1, 2)
    endpoint = faulty(start, _BLOCK)
    world.endpoint("e1", endpoint.serve)
    document = stream_route_document(target_latency_ms=100)
    world.start({**document, "resumable": False})
    assert events(1, 2) in world.fetch(KEY)
    assert status(world.fetch(KEY)) == 503
    assert len(endpoint.requests) == 1


@pytest.mark.parametrize("case", GARBLED)
def test_an_endpoint_that_answers_wrongly_is_not_avoided(world, case):
    requests = []
    world.endpoint("e1", lh.answer_with(GARBLED[case], requests))
    world.start(once_document())
    for count in range(1, 6):
        assert status(world.fetch(KEY)) in (500, 502)
        assert len(requests) == count


def test_other_endpoints_take_the_requests_of_one_that_sends_without_end(
    world, faulty, long_avoidance
):
    endpoint = faulty(*ENDLESS["body"])
    world.endpoint("e1", endpoint.serve)
    world.endpoint("e2", lh.answer_with(answer()))
    world.start(route_document())
    lh.run_until(world.loop, lambda: world.fetch(KEY) and endpoint.requests)
    callers = [world.send(KEY) for _ in range(_CALLERS)]
    assert {read_status(world, caller) for caller in callers} == {200}
    assert len(endpoint.requests) == 1


def test_a_retry_is_not_sent_to_an_endpoint_that_sends_without_end(
    world, faulty, long_avoidance
):
    endpoint = faulty(*ENDLESS["body"])
    world.endpoint("e1", endpoint.serve)
    seen = []

    def decline(conn):
        seen.append(lh.read_request(conn))
        conn.sendall(answer(503, b"", stamp="", extra="Not-Executed: 1\r\n"))

    world.endpoint("e2", decline)
    world.start(route_document(max_attempts=3))
    lh.run_until(world.loop, lambda: len(world.ctrl.placement._listings) == 2)
    world.ctrl.avoided.record_endless(_RUN, world.loop.now())
    assert status(world.fetch(KEY, deadline_ms=500)) == 503
    assert seen
    assert not endpoint.requests


def test_a_request_with_time_waits_for_the_end_of_an_avoidance(world, faulty):
    endpoint = faulty(*ENDLESS["body"])
    world.endpoint("e1", endpoint.serve)
    world.start(once_document(target_latency_ms=8000, timeout_ms=9000))
    world.fetch(KEY)
    endpoint.is_faulty = False
    callers = [world.send(KEY, deadline_ms=9000) for _ in range(_CALLERS)]
    assert {read_status(world, caller) for caller in callers} == {200}


def test_one_request_tries_an_endpoint_whose_avoidance_has_ended(world, faulty):
    endpoint = faulty(*ENDLESS["body"])
    world.endpoint("e1", endpoint.serve)
    world.start(once_document())
    world.fetch(KEY)
    lh.run_until(world.loop, lambda: not world.ctrl.avoided.wait_s(_RUN))
    callers = [world.send(KEY) for _ in range(_CALLERS)]
    statuses = [read_status(world, caller) for caller in callers]
    assert sorted(statuses) == [502] + (_CALLERS - 1) * [503]
    assert len(endpoint.requests) == 2


def test_an_endpoint_that_answers_its_trial_is_used_again(world, faulty):
    endpoint = faulty(*ENDLESS["body"])
    world.endpoint("e1", endpoint.serve)
    world.start(once_document())
    world.fetch(KEY)
    endpoint.is_faulty = False
    lh.run_until(world.loop, lambda: not world.ctrl.avoided.wait_s(_RUN))
    assert status(world.fetch(KEY)) == 200
    callers = [world.send(KEY) for _ in range(_CALLERS)]
    assert {read_status(world, caller) for caller in callers} == {200}


# Failed: the worker was never avoided.
def test_pieces_are_made_elsewhere_than_at_a_worker_without_end(
    world, faulty, long_avoidance
):
    worker = faulty(*ENDLESS["body"])
    sound = StageServer()
    world.endpoint("m1", worker.serve, pool="p1")
    world.endpoint("m2", sound.serve, pool="p1")
    world.endpoint("e1", lh.answer_with(stream(events(1, 2))))
    stages = [{"service": "p1", "after": [], "bytes": 100}]
    services = [{"name": "s1"}, {"name": "p1", "pieces": PIECES}]
    world.start(stream_route_document(stages=stages), services=services)
    headers = (KEY, ("Pieces", "1"), ("Piece-Key", "pk"))
    lh.run_until(world.loop, lambda: world.fetch(*headers) and worker.requests)
    run = _RUN._replace(key="m1")
    lh.run_until(world.loop, lambda: world.ctrl.avoided.wait_s(run))
    for _ in range(5):
        assert events(1, 2) in world.fetch(*headers)
    assert len(worker.requests) == 1


def test_a_new_run_of_an_avoided_endpoint_gets_requests(world, faulty):
    endpoint = faulty(*ENDLESS["body"])
    world.endpoint("e1", endpoint.serve)
    world.start(once_document())
    world.fetch(KEY)
    world.endpoint("e1", lh.answer_with(answer()), sequence=2, born=2)
    lh.run_until(world.loop, lambda: status(world.fetch(KEY)) == 200)


@pytest.fixture
def avoided():
    _, clock = lh.new_loop()
    return lh.new_avoidances(clock), clock


def pass_avoidance(avoided, run=_RUN):
    """Waits for the end of an avoidance; returns how long it took."""
    own, clock = avoided
    waited_s = own.wait_s(run)
    clock.advance(waited_s + 0.01)
    assert not own.wait_s(run)
    return waited_s


def send_and_fail(avoided, run=_RUN):
    own, clock = avoided
    sent_at = clock.monotonic()
    clock.advance(0.1)
    own.record_endless(run, sent_at)


def send_and_succeed(avoided, run=_RUN):
    own, clock = avoided
    sent_at = clock.monotonic()
    clock.advance(0.1)
    own.record_answer(run, sent_at)


def is_repeat(seconds, repeats):
    least_s = avoidances.FIRST_AVOIDANCE_S * 2**repeats
    return least_s <= seconds <= least_s * (1 + avoidances._SPREAD_SHARE)


def test_an_avoidance_doubles_up_to_a_bound(avoided):
    for repeats in [0, 1, 2, 3, 4, 4, 4]:
        send_and_fail(avoided)
        assert is_repeat(pass_avoidance(avoided), repeats)


def test_replies_to_requests_from_before_do_not_double_an_avoidance(avoided):
    own, clock = avoided
    sent_at = clock.monotonic()
    clock.advance(0.1)
    for _ in range(30):
        own.record_endless(_RUN, sent_at)
    assert is_repeat(own.wait_s(_RUN), 0)
    pass_avoidance(avoided)
    own.record_endless(_RUN, sent_at)
    assert not own.wait_s(_RUN)


def test_an_avoidance_is_short_again_after_a_sound_answer(avoided):
    for _ in range(4):
        send_and_fail(avoided)
        pass_avoidance(avoided)
    send_and_succeed(avoided)
    avoided[1].advance(avoidances.MIN_INTERVAL_S)
    send_and_fail(avoided)
    assert is_repeat(pass_avoidance(avoided), 0)


# Guards against an endpoint that sends without end being used at once after
# its entry was away for a moment.
def test_an_avoidance_outlasts_the_absence_of_its_entry(
    world, faulty, long_avoidance
):
    endpoint = faulty(*CASES["body"])
    world.endpoint("e1", endpoint.serve)
    world.start(once_document())
    assert status(world.fetch(KEY)) == 502
    sent = len(endpoint.requests)
    world.hide_endpoint("e1")()
    assert status(world.fetch(KEY)) == 503
    assert len(endpoint.requests) == sent


def test_a_run_is_forgotten_after_a_while_without_requests(avoided):
    own, clock = avoided
    for _ in range(4):
        send_and_fail(avoided)
        pass_avoidance(avoided)
    clock.advance(avoidances.MEMORY_S)
    send_and_fail(avoided)
    assert is_repeat(pass_avoidance(avoided), 0)


# An odd request of a caller may make a sound endpoint send very much.
def test_an_endpoint_that_answers_soundly_too_is_avoided_rarely(avoided):
    own, clock = avoided
    began_at = clock.monotonic()
    waited_s = 0.0
    for _ in range(1000):
        send_and_fail(avoided)
        waited_s += pass_avoidance(avoided)
        send_and_succeed(avoided)
    passed_s = clock.monotonic() - began_at
    longest_s = avoidances.FIRST_AVOIDANCE_S * (1 + avoidances._SPREAD_SHARE)
    times = passed_s / avoidances.MIN_INTERVAL_S + 1
    assert 0.0 < waited_s <= longest_s * times


def test_an_answer_to_a_request_from_before_ends_no_avoidance(avoided):
    own, clock = avoided
    sent_at = clock.monotonic()
    clock.advance(0.1)
    own.record_endless(_RUN, sent_at)
    own.record_answer(_RUN, sent_at)
    assert own.wait_s(_RUN)


def test_another_run_of_an_endpoint_is_not_avoided(avoided):
    own, _ = avoided
    send_and_fail(avoided)
    assert not own.wait_s(_RUN._replace(incarnation=2))


def test_what_is_known_of_runs_is_bounded(avoided):
    own, clock = avoided
    for number in range(avoidances._MAX_RUNS + 100):
        run = endpoint_state.EndpointRun(f"e{number}", 1)
        own.record_endless(run, clock.monotonic())
    assert len(own._findings) == avoidances._MAX_RUNS


def test_a_reply_that_names_a_length_over_the_bound_is_not_endless(
    world, faulty
):
    endpoint = faulty(_HEAD + b"Content-Length: %d\r\n\r\n" % 10**9, _BLOCK)
    world.endpoint("e1", endpoint.serve)
    world.start(once_document())
    assert status(world.fetch(KEY)) == 502
    assert not world.ctrl.avoided.is_any()
