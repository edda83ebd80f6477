"""Prompts with one part that crashes every engine that answers them."""

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
                is_stream = b" /x/" in request
                sound = stream(events(1, 2)) if is_stream else answer()
                conn.sendall(sound)
                return
            crashed.append(name)
            conn.sendall(_HEAD)
            server.close()

        server = world.endpoint(name, serve)

    for number in range(_ENGINES):
        start(f"e{number}")
    return crashed


@pytest.mark.parametrize("path", ["/x/1", "/buffered/1"])
def test_a_prompt_part_that_crashes_engines_is_refused_after_a_few(
    world, engines, path
):
    world.start(
        stream_route_document(),
        route_document(name="r2", path_prefix="/buffered/", sticky=True),
    )
    answers = []
    for number in range(2 * _MAX_CRASHES):
        prompt = ("Prompt-Prefix", _deadly(number))
        answers.append(status(world.fetch(KEY, prompt, path=path)))
        sound = world.fetch(KEY, ("Prompt-Prefix", _SOUND), path=path)
        assert status(sound) == 200
    assert len(engines) <= _MAX_CRASHES
    assert answers[-1] == 503
