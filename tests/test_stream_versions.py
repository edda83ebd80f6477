"""A stream goes on only at the software version that began it."""

import json
import re
import time

import loop_helpers as lh
import pytest
from gateway_world import (
    KEY,
    World,
    events,
    stream,
    stream_route_document,
)

from chervilarch.platform import documents

_DAY_MS = 24 * 3600 * 1000


def _ago_ms(seconds):
    return int((time.time() - seconds) * 1000)


class Engine:
    """An engine of a software version that begins or resumes streams.

    Attributes:
        breaks: whether it breaks its streams off after two events.
        resumed: ids of requests that it resumed.
    """

    def __init__(self, world, name, version, breaks=False, **fields):
        self.version = version
        self.breaks = breaks
        self.begun = []
        self.resumed = []
        fields.setdefault("born", _ago_ms(100.0))
        world.endpoint(name, self.serve, version=version, **fields)

    def serve(self, conn):
        request = lh.read_request(conn)
        if not request:
            return
        request_id = re.search(rb"request-id: (\S+)", request.lower())[1]
        if b"last-event-id: 2" in request.lower():
            self.resumed.append(request_id)
            data, ends = events(3, 4), True
        else:
            self.begun.append(request_id)
            data, ends = events(1, 2 if self.breaks else 4), not self.breaks
        answer = stream(data, ends)
        conn.sendall(
            answer.replace(b"Request-Id: id1", b"Request-Id: " + request_id)
        )


def prompt_header(number):
    """Returns the header of a prompt that a host may place anywhere."""
    return ("Prompt-Prefix", f"{number}:1000,own:10")


@pytest.fixture
def new_world():
    """Creates hosts; those with the same store share it."""
    worlds = []

    def create(source=None):
        worlds.append(World(source=source))
        return worlds[-1]

    yield create
    for world in worlds:
        world.close()


def test_a_broken_stream_resumes_only_at_its_version(new_world):
    # The crash of an engine: the system's own next attempt.
    versions = []
    for number in range(4):
        world = new_world()
        engines = [
            Engine(world, f"{version}-{n}", version, breaks=True)
            for version in ("v1", "v2")
            for n in (1, 2)
        ]
        world.start(stream_route_document())
        received = world.fetch(KEY, prompt_header(number))
        assert received.endswith(b"0\r\n\r\n")
        versions.append(
            [e.version for e in engines if e.begun]
            + [e.version for e in engines if e.resumed]
        )
    assert all(began == resumed for began, resumed in versions), versions


def test_a_broken_stream_ends_if_its_version_has_no_other_engine(new_world):
    world = new_world()
    engines = [
        Engine(world, version, version, breaks=True) for version in ("v1", "v2")
    ]
    world.start(stream_route_document())
    received = world.fetch(KEY)
    assert events(1, 2) in received and not received.endswith(b"0\r\n\r\n")
    assert not any(engine.resumed for engine in engines)


def test_an_engine_that_started_again_at_another_version_goes_on_with_nothing(
    new_world,
):
    # Its entry came only after it had been chosen.
    world = new_world()
    engine = Engine(world, "e1", "v1", breaks=True)
    other = Engine(world, "e2", "v1", breaks=True)
    world.start(stream_route_document())
    version_of = world.ctrl.endpoints.version_of
    calls = []

    def restarted(listing, sent_at):
        calls.append(version_of(listing, sent_at))
        return calls[-1] if len(calls) == 1 else "v2"

    world.ctrl.endpoints.version_of = restarted
    received = world.fetch(KEY)
    assert len(engine.resumed) + len(other.resumed) == 1
    assert events(3, 4) not in received
    assert not received.endswith(b"0\r\n\r\n")


def test_the_version_is_that_of_the_run_that_got_the_request():
    loop, clock = lh.new_loop()
    clock.advance(100.0)
    host = lh_follower(loop)
    old = _listing("v1", born=int((clock.wall() - 50) * 1000))
    host._endpoints.apply("e1", old)
    sent_at = clock.monotonic()
    assert host.version_of(old, sent_at) == "v1"
    earlier = _listing("v2", born=int((clock.wall() - 1) * 1000))
    host._endpoints.apply("e1", earlier)
    assert host.version_of(old, sent_at) == "v2"
    later = _listing("v3", born=int((clock.wall() + 1) * 1000))
    host._endpoints.apply("e1", later)
    assert host.version_of(earlier, sent_at) == "v2"
    loop.close()


def lh_follower(loop):
    from chervilarch import followers

    return followers.EndpointFollower(
        loop, lh.FakeStore(), documents.decode_endpoint, 1.0
    )


def _listing(version, born):
    entry = {
        "service": "s1",
        "address": "127.0.0.1:1",
        "zone": "dc1",
        "version": version,
        "slots": 8,
        "state": "ready",
        "sequence": 1,
        "born": born,
    }
    return documents.decode_endpoint("e1", json.dumps(entry).encode())
