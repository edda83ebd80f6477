"""A change of the configuration doesn't end the requests beside it."""

import json
import threading

import loop_helpers as lh
import pytest
from gateway_world import (
    CALLER_LIMITS,
    KEY,
    answer,
    events,
    route_document,
    status,
    stream,
    stream_route_document,
)

from chervilarch import store

PIECES = {
    "slots": 1,
    "queue": 2,
    "batch": 4,
    "call_ms": 50.0,
    "item_ms": 5.0,
    "headroom_mb": 1.0,
    "handle_s": 4.0,
}
SERVICES = ({"name": "s1"}, {"name": "p1", "pieces": PIECES})
STAGES = [{"service": "p1", "after": [], "bytes": 100}]
TINY_LIMITS = {
    "max_header_bytes": 64,
    "max_body_bytes": 1,
    "header_timeout_ms": 1,
    "idle_timeout_ms": 1,
}
OTHER_ROUTE = route_document(name="r2", path_prefix="/other/")


def many_routes(document):
    return [document] + [
        route_document(name=f"n{n}", path_prefix=f"/n{n}/") for n in range(1500)
    ]


# By name: returns the changed fields of the configuration.
CHANGES = {
    "route gone": lambda document: {"routes": [OTHER_ROUTE]},
    "route moved": lambda document: {
        "routes": [{**document, "service": "s2", "stages": []}],
        "services": [{"name": "s2"}],
    },
    "pools gone": lambda document: {"routes": [OTHER_ROUTE], "services": []},
    "account gone": lambda document: {
        "tenants": [{"name": "t2", "api_keys": ["k2"]}]
    },
    "time-out": lambda document: {"routes": [{**document, "timeout_ms": 1}]},
    "limits": lambda document: {"limits": TINY_LIMITS},
    "many routes": lambda document: {"routes": many_routes(document)},
}


class Gate:
    """Holds the answers of fake endpoints back."""

    def __init__(self):
        self.opened = threading.Event()
        self.waiting = []

    def hold(self, then, first=b""):
        def serve(conn):
            lh.read_request(conn)
            conn.sendall(first)
            self.waiting.append(conn)
            self.opened.wait(lh.TIMEOUT_S)
            conn.sendall(then)

        return serve


@pytest.fixture
def gate():
    held = Gate()
    yield held
    held.opened.set()


def change(world, document, name):
    """Applies a change of the configuration."""
    config = {
        "version": 2,
        "routes": [document],
        "services": list(SERVICES),
        "limits": CALLER_LIMITS,
        "tenants": [{"name": "t1", "api_keys": ["k1"]}],
        **CHANGES[name](document),
    }
    world.store.write(
        store.Topic.CONFIGURATION, "config", json.dumps(config).encode()
    )
    lh.run_until(
        world.loop, lambda: world.ctrl.configuration.table.version == 2
    )
    lh.run_pending(world.loop)


def read_all(world, conn):
    return lh.receive(world.loop, conn, lambda data: b"<EOF>" in data)


@pytest.mark.parametrize("name", CHANGES)
def test_a_request_at_its_endpoint_outlives_a_change(world, gate, name):
    world.endpoint("e1", gate.hold(answer()))
    document = route_document()
    world.start(document, services=SERVICES)
    conn = world.send(KEY, ("Connection", "close"))
    lh.run_until(world.loop, lambda: gate.waiting)
    change(world, document, name)
    gate.opened.set()
    received = read_all(world, conn)
    assert status(received) == 200 and received.endswith(b"out<EOF>")


@pytest.mark.parametrize("name", CHANGES)
def test_a_stream_outlives_a_change(world, gate, name):
    whole = stream(events(1, 2))
    first, rest = whole[:-20], whole[-20:]
    world.endpoint("e1", gate.hold(rest, first))
    document = stream_route_document()
    world.start(document, services=SERVICES)
    conn = world.send(KEY, ("Connection", "close"))
    lh.run_until(world.loop, lambda: gate.waiting)
    change(world, document, name)
    gate.opened.set()
    received = read_all(world, conn)
    assert b"e2" in received and b"0\r\n\r\n<EOF>" in received


@pytest.mark.parametrize("name", CHANGES)
def test_a_request_that_waits_for_its_stages_outlives_a_change(
    world, gate, name
):
    made = json.dumps({"items": [{"handle": "h1"}]}).encode()
    world.endpoint("m1", gate.hold(answer(body=made)), pool="p1")
    world.endpoint("e1", lh.answer_with(stream(events(1, 2))))
    document = stream_route_document(stages=STAGES)
    world.start(document, services=SERVICES)
    conn = world.send(
        KEY, ("Pieces", "1"), ("Piece-Key", "pk"), ("Connection", "close")
    )
    lh.run_until(world.loop, lambda: gate.waiting)
    change(world, document, name)
    gate.opened.set()
    assert events(1, 2) in read_all(world, conn)


@pytest.mark.parametrize("name", CHANGES)
def test_a_request_that_is_sent_again_outlives_a_change(world, gate, name):
    declined = answer(503, b"", stamp="", extra="Not-Executed: 1\r\n")
    world.endpoint("e1", gate.hold(declined))
    world.endpoint("e2", gate.hold(declined))
    document = route_document()
    world.start(document, services=SERVICES)
    conn = world.send(KEY, ("Connection", "close"))
    lh.run_until(world.loop, lambda: gate.waiting)
    change(world, document, name)
    gate.opened.set()
    assert status(read_all(world, conn)) == 503


# Status of a request of which the second half comes after a change.
_STATUS_AFTER = {
    "route gone": 404,
    "route moved": 503,
    "pools gone": 404,
    "account gone": 401,
    "time-out": 503,
    "limits": 200,
    "many routes": 200,
}


@pytest.mark.parametrize("part", [60, 150])
@pytest.mark.parametrize("name", CHANGES)
def test_a_request_that_is_being_read_is_answered_after_a_change(
    world, name, part
):
    world.endpoint("e1", lh.answer_with(answer()))
    document = route_document()
    world.start(document, services=SERVICES)
    lh.run_until(world.loop, lambda: world.ctrl.configuration.table)
    data = (
        b"POST /x/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: id1\r\n"
        b"Authorization: Bearer k1\r\nConnection: close\r\n"
        b"Content-Length: 50\r\n\r\n"
    ) + b"a" * 50
    conn = lh.connect(world.server.port)
    conn.sendall(data[:part])
    lh.run_until(world.loop, lambda: world.server.connection_count())
    lh.run_pending(world.loop)
    change(world, document, name)
    conn.sendall(data[part:])
    assert status(read_all(world, conn)) == _STATUS_AFTER[name]


def test_a_request_in_the_kernel_outlives_a_large_change(world):
    world.endpoint("e1", lh.answer_with(answer()))
    document = route_document()
    world.start(document, services=SERVICES)
    lh.run_until(world.loop, lambda: world.ctrl.configuration.table)
    apply = world.ctrl.configuration._apply_record
    conns = []

    def send_meanwhile(record):
        conns.append(world.send(KEY, ("Connection", "close")))
        return apply(record)

    world.ctrl.configuration.topic_follower.on_change = send_meanwhile
    change(world, document, "many routes")
    assert status(read_all(world, conns[0])) == 200
