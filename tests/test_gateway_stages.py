"""End-to-end tests of stages before the final call."""

import json

import loop_helpers as lh
from gateway_world import (
    KEY,
    answer,
    events,
    read_status,
    status,
    stream,
    stream_route_document,
)

PIECES = {
    "slots": 1,
    "queue": 2,
    "batch": 4,
    "call_ms": 50.0,
    "item_ms": 5.0,
    "headroom_mb": 1.0,
    "handle_s": 4.0,
}


class StageServer:
    """A fake worker; records its calls and the handles that it frees."""

    def __init__(self):
        self.calls = []
        self.freed_handles = []

    def serve(self, conn):
        request = lh.read_request(conn)
        path = request.split(b" ")[1]
        document = json.loads(request.partition(b"\r\n\r\n")[2])
        if path.endswith(b"stage-free"):
            self.freed_handles += document["handles"]
            conn.sendall(answer(200, b"{}"))
            return
        self.calls.append(document["items"])
        made = [
            {"handle": f"h{item['stage']}.{item['piece']}.{item['id']}"}
            for item in document["items"]
        ]
        conn.sendall(answer(200, json.dumps({"items": made}).encode()))


def start_stages(world, route_of, second):
    stages = [
        {"service": "p1", "after": [], "bytes": 100},
        {"service": "p2", "after": [0], "bytes": 100},
    ]
    services = [
        {"name": "s1"},
        {"name": "p1", "pieces": PIECES},
        {"name": "p2", "pieces": PIECES},
    ]
    first = StageServer()
    world.endpoint("m1", first.serve, pool="p1")
    world.endpoint("m2", second.serve, pool="p2")
    world.start(route_of(stages=stages), services=services)
    return first


def test_stages_run_before_the_call_and_their_results_are_freed(world):
    requests = []
    second = StageServer()
    world.endpoint("e1", lh.answer_with(stream(events(1, 2)), requests))
    first = start_stages(world, stream_route_document, second)
    received = world.fetch(KEY, ("Pieces", "2,1"), ("Piece-Key", "pk"))
    assert events(1, 2) in received
    assert [item["key"] for item in first.calls[0]] == ["pk", "pk"]
    assert second.calls[0][0]["inputs"] == ["h0.0.id1", "h0.1.id1"]
    assert b"Inputs: h1.0.id1\r\n" in requests[0]
    lh.run_until(
        world.loop,
        lambda: (
            sorted(first.freed_handles + second.freed_handles)
            == ["h0.0.id1", "h0.1.id1", "h1.0.id1"]
        ),
    )


def test_results_that_an_engine_reports_lost_are_made_again(world):
    requests = []

    def serve(conn):
        request = lh.read_request(conn)
        requests.append(request)
        if len(requests) == 1:
            gone = answer(409, b"", stamp="", extra="Not-Executed: 1\r\n")
            conn.sendall(gone)
        else:
            conn.sendall(stream(events(1, 2)))

    second = StageServer()
    world.endpoint("e1", serve)
    world.endpoint("e2", serve)
    start_stages(world, stream_route_document, second)
    received = world.fetch(KEY, ("Pieces", "1,1"), ("Piece-Key", "pk"))
    assert events(1, 2) in received
    assert len(second.calls) == 2


def test_a_graph_rerun_after_a_first_event_is_marked_as_partly_answered(world):
    requests = []

    def serve(conn):
        requests.append(lh.read_request(conn))
        number = len(requests)
        conn.sendall(stream(events(number, number), ends=number == 2))

    world.endpoint("e1", serve)
    world.endpoint("e2", serve)
    start_stages(world, stream_route_document, StageServer())
    graphs = []
    submit = world.ctrl.stage_coordinator.submit
    world.ctrl.stage_coordinator.submit = lambda graph: (
        graphs.append(graph) or submit(graph)
    )
    received = world.fetch(KEY, ("Pieces", "1,1"), ("Piece-Key", "pk"))
    assert events(2, 2) in received
    assert [graph.is_partly_answered for graph in graphs] == [False, True]
    assert graphs[1].objective_at > graphs[0].objective_at


def test_a_request_is_refused_if_a_stage_has_no_endpoint(world):
    world.endpoint("e1", lh.answer_with(stream(events(1, 2))))
    stages = [{"service": "p1", "after": [], "bytes": 100}]
    services = [{"name": "s1"}, {"name": "p1", "pieces": PIECES}]
    world.start(stream_route_document(stages=stages), services=services)
    received = world.fetch(KEY, ("Pieces", "1"), ("Piece-Key", "pk"))
    assert status(received) == 503 and b"retry-after" in received.lower()


def test_a_request_that_waits_for_its_stages_is_refused_on_shutdown(world):
    connections = []

    def wait_for_end(conn):
        lh.read_request(conn)
        connections.append(conn)
        conn.recv(1)

    world.endpoint("e1", lh.answer_with(stream(events(1, 2))))
    world.endpoint("m1", wait_for_end, pool="p1")
    stages = [{"service": "p1", "after": [], "bytes": 100}]
    services = [{"name": "s1"}, {"name": "p1", "pieces": PIECES}]
    world.start(stream_route_document(stages=stages), services=services)
    conn = world.send(KEY, ("Pieces", "1"), ("Piece-Key", "pk"))
    lh.run_until(world.loop, lambda: connections)
    world.handler.cut_off()
    assert read_status(world, conn) == 503
    conn.close()
