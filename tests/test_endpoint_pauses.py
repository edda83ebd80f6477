"""Endpoints that refuse a request and say for how long they want none."""

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

_REQUESTS = 20


def refusal(pause):
    extra = f"Not-Executed: 1\r\nRetry-After: {pause}\r\n"
    return answer(503, b"", stamp="", extra=extra)


def endpoint_with_pause(world, pause):
    """Starts an endpoint that refuses once; returns the requests it got."""
    requests = []

    def serve(conn):
        requests.append(lh.read_request(conn))
        conn.sendall(refusal(pause) if len(requests) == 1 else answer())

    world.endpoint("e1", serve)
    return requests


def retry_after_s(received):
    head = received.partition(b"\r\n\r\n")[0].lower()
    return float(head.partition(b"retry-after: ")[2].split(b"\r\n")[0])


@pytest.mark.parametrize(
    ("route", "sound"),
    [
        (route_document(), answer()),
        (stream_route_document(), stream(events(1, 2))),
    ],
    ids=["answer", "stream"],
)
def test_an_endpoint_gets_no_requests_within_the_pause_that_it_asks_for(
    world, route, sound
):
    requests = endpoint_with_pause(world, 60)
    world.endpoint("e2", lh.answer_with(sound))
    world.start(route)
    lh.run_until(world.loop, lambda: world.fetch(KEY) and requests)
    callers = [world.send(KEY) for _ in range(_REQUESTS)]
    assert {read_status(world, caller) for caller in callers} == {200}
    assert len(requests) == 1


def test_requests_are_refused_at_once_if_all_endpoints_pause_for_longer(world):
    requests = endpoint_with_pause(world, 60)
    world.start(route_document())
    for _ in range(3):
        received = world.fetch(KEY)
        assert status(received) == 503 and retry_after_s(received) > 50.0
    assert len(requests) == 1


def test_a_request_waits_for_the_end_of_a_short_pause(world):
    requests = endpoint_with_pause(world, 0.3)
    world.start(route_document())
    world.fetch(KEY)
    started_at = world.loop.now()
    assert status(world.fetch(KEY)) == 200
    assert world.loop.now() - started_at > 0.2
    assert len(requests) == 2


@pytest.mark.parametrize("pause", ["soon", "-1", "nan", "inf", "1e999", ""])
def test_an_unreadable_pause_takes_no_endpoint_out_of_use(world, pause):
    requests = endpoint_with_pause(world, pause)
    world.start(route_document())
    world.fetch(KEY)
    assert status(world.fetch(KEY)) == 200
    assert len(requests) == 2
