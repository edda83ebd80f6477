"""Prompts with one part that crashes every engine that answers them."""

import loop_helpers as lh
import pytest
from gateway_world import (
    KEY,
    events,
    status,
    stream,
    stream_route_document,
)

# Bound of the users: after this many crashes the part must be known.
_MAX_CRASHES = 5
_ENGINES = 12
_HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    b"Request-Id: id1\r\nResponse-Stamp: s1\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)
_SOUND = "p1:100,p2:50,own:3"


def _deadly(number):
    return f"p1:100,p2:50,bad:20,own{number}:5"


@pytest.fixture
def engines(world):
    """Engines that end when they begin to answer a prompt with part `bad`."""
    crashed = []

    def start(name):
        def serve(conn):
            request = lh.read_request(conn)
            if b"bad:" not in request:
                conn.sendall(stream(events(1, 2)))
                return
            crashed.append(name)
            conn.sendall(_HEAD)
            server.close()

        server = world.endpoint(name, serve)

    for number in range(_ENGINES):
        start(f"e{number}")
    return crashed


def test_a_prompt_part_that_crashes_engines_is_refused_after_a_few(
    world, engines
):
    world.start(stream_route_document())
    answers = []
    for number in range(2 * _MAX_CRASHES):
        deadly = world.fetch(KEY, ("Prompt-Prefix", _deadly(number)))
        answers.append(status(deadly))
        sound = world.fetch(KEY, ("Prompt-Prefix", _SOUND))
        assert status(sound) == 200
    assert len(engines) <= _MAX_CRASHES
    assert answers[-1] == 503
