"""Requests to an endpoint that names how many it takes a second."""

import loop_helpers as lh
import pytest
from gateway_world import KEY, answer, route_document, status

_LIMIT_PER_S = 2.0
# The users allow half as much again, and five requests.
_SLACK_RATIO = 1.5
_SLACK_REQUESTS = 5
_REQUESTS = 40


@pytest.fixture
def limited(world):
    """An endpoint that names a limit; the requests that it got."""
    requests = []
    limit = f"Server-Limit: {_LIMIT_PER_S}\r\n"
    world.endpoint("e1", lh.answer_with(answer(extra=limit), requests))
    return requests


def test_an_endpoint_gets_no_more_requests_than_it_says(world, limited):
    world.start(route_document(target_latency_ms=100))
    started_at = world.loop.now()
    answers = [status(world.fetch(KEY)) for _ in range(_REQUESTS)]
    elapsed_s = world.loop.now() - started_at
    allowed = _SLACK_RATIO * _LIMIT_PER_S * elapsed_s + _SLACK_REQUESTS
    assert len(limited) <= allowed
    assert set(answers) == {200, 503}
