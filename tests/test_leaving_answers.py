"""Endpoints whose answers say that they will shut down."""

import loop_helpers as lh
import pytest
from gateway_world import (
    KEY,
    answer,
    decline,
    events,
    read_status,
    route_document,
    status,
    stream,
    stream_route_document,
)

_LEAVING = "Server-Leaving: 1\r\n"
_REQUESTS = 20


def leaving_stream():
    head, sep, body = stream(events(1, 2)).partition(b"\r\n")
    return head + sep + _LEAVING.encode() + body


@pytest.mark.parametrize(
    ("route", "data"),
    [
        (route_document(), answer(extra=_LEAVING)),
        (
            route_document(),
            answer(503, b"", stamp="", extra=f"Not-Executed: 1\r\n{_LEAVING}"),
        ),
        (stream_route_document(), leaving_stream()),
    ],
    ids=["answer", "refusal", "stream"],
)
def test_an_endpoint_whose_answer_says_it_leaves_gets_no_more_requests(
    world, route, data
):
    requests = []
    is_stream = route["kind"] == "streaming"
    sound = stream(events(1, 2)) if is_stream else answer()
    world.endpoint("e1", lh.answer_with(data, requests))
    world.endpoint("e2", lh.answer_with(sound))
    world.start(route)
    lh.run_until(world.loop, lambda: world.fetch(KEY) and requests)
    callers = [world.send(KEY) for _ in range(_REQUESTS)]
    assert {read_status(world, caller) for caller in callers} == {200}
    assert len(requests) == 1


def test_a_new_start_of_an_endpoint_that_left_gets_requests(world):
    world.endpoint("e1", lh.answer_with(answer(extra=_LEAVING)))
    world.start(route_document())
    world.fetch(KEY)
    requests = []
    world.endpoint("e1", lh.answer_with(answer(), requests), born=2)
    lh.run_until(world.loop, lambda: status(world.fetch(KEY)) == 200)
    assert requests


def test_a_refusal_of_a_sound_endpoint_does_not_make_it_leave(world):
    requests = []
    world.endpoint("e1", decline(requests))
    world.start(route_document())
    world.fetch(KEY)
    world.fetch(KEY)
    assert len(requests) == 2
