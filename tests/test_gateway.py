"""The whole path of the gateway against stand-ins on loopback.

Callers, endpoints and the gateway speak over real sockets; the store is in
memory, the clock is the host's own, and the tests wait on events.
"""

import loop_helpers as lh
import pytest
from gateway_world import (
    KEY,
    answer,
    decline,
    events,
    read_status,
    route,
    status,
    stream,
    stream_route,
)


def test_a_request_passes_unchanged_and_its_answer_too(world):
    seen = []
    world.endpoint("e1", lh.serving_with(answer(), seen))
    world.start(route())
    got = world.ask(KEY, ("X-App", "1"), path="/x/a%20b?q=%2F..")
    assert status(got) == 200 and got.endswith(b"out")
    assert b"response-stamp: s1" in got.lower()
    head = seen[0].lower()
    assert seen[0].startswith(b"POST /x/a%20b?q=%2F.. HTTP/1.1\r\n")
    assert seen[0].endswith(b"\r\n\r\nin")
    assert b"tenant: t1" in head and b"expect-instance: e1" in head
    assert b"authorization" not in head and b"x-app: 1" in head
    assert b"expect:" not in head and b"accept:" not in head


@pytest.mark.parametrize(
    ("headers", "path", "expected"),
    [((), "/x/1", 401), ((KEY,), "/y/1", 404)],
)
def test_what_the_configuration_does_not_allow_is_refused(
    world, headers, path, expected
):
    world.endpoint("e1", lh.serving_with(answer()))
    world.start(route())
    assert status(world.ask(*headers, path=path)) == expected


def test_without_a_configuration_a_request_is_told_to_come_back(world):
    got = world.ask(KEY)
    assert status(got) == 503 and b"retry-after" in got.lower()


@pytest.mark.parametrize(
    "bad",
    [
        answer(stamp=""),
        answer(request_id="other"),
        answer(cut=5),
        b"garbage\r\n\r\n",
        b"",
    ],
)
def test_what_is_no_answer_to_this_request_is_never_passed_on(world, bad):
    world.endpoint("e1", lh.serving_with(bad))
    world.start(route(kind="non_idempotent"))
    assert status(world.ask(KEY)) == 502


def test_a_call_that_may_run_once_is_sent_once_however_it_ends(world):
    seen = []
    world.endpoint("e1", lh.serving_with(b"", seen))
    world.endpoint("e2", lh.serving_with(b"", seen))
    world.start(route(kind="non_idempotent"))
    assert status(world.ask(KEY)) == 502
    assert len(seen) == 1


def test_a_declined_call_goes_on_to_another_endpoint(world):
    seen = []
    world.endpoint("e1", decline(seen))
    world.endpoint("e2", lh.serving_with(answer(), seen))
    world.start(route(kind="non_idempotent"))
    for _ in range(4):
        assert status(world.ask(KEY)) == 200


def test_a_refusal_after_declines_promises_that_nothing_ran(world):
    world.endpoint("e1", decline())
    world.start(route(kind="non_idempotent"))
    got = world.ask(KEY)
    assert status(got) == 503 and b"retry-after" in got.lower()


def test_a_fault_of_one_endpoint_is_made_good_by_another(world):
    world.endpoint("e1", lh.serving_with(answer(500, b"sorry")))
    world.endpoint("e2", lh.serving_with(answer()))
    world.start(route())
    assert {status(world.ask(KEY)) for _ in range(4)} == {200}


def test_a_fault_that_may_not_be_repeated_is_passed_on_as_it_is(world):
    world.endpoint("e1", lh.serving_with(answer(500, b"sorry", stamp="s9")))
    world.start(route(kind="non_idempotent"))
    got = world.ask(KEY)
    assert status(got) == 500 and got.endswith(b"sorry")
    assert b"response-stamp: s9" in got.lower()


def test_an_address_in_other_use_is_not_asked_again(world):
    seen = []
    taken = answer(421, b"", stamp="", extra="Instance-Id: other\r\n")
    world.endpoint("e1", lh.serving_with(taken, seen))
    world.endpoint("e2", lh.serving_with(answer()))
    world.start(route())
    for _ in range(4):
        assert status(world.ask(KEY)) == 200
    assert len(seen) <= 1


def test_a_silent_endpoint_is_given_up_at_the_time_out(world):
    def silent(conn):
        lh.read_request(conn)
        conn.recv(1)

    world.endpoint("e1", silent)
    world.start(route(kind="non_idempotent", timeout_ms=300))
    assert status(world.ask(KEY)) == 504


def start_a_call_that_hangs(world):
    """Returns the caller's connection and what the endpoint reads last."""
    cut = []

    def wait_for_end(conn):
        lh.read_request(conn)
        cut.append(conn.recv(1))

    server = world.endpoint("e1", wait_for_end)
    world.start(route())
    conn = world.send(KEY)
    lh.run_until(world.loop, lambda: server.connections == 1)
    lh.run_until(world.loop, lambda: world.serving_state.in_flight == 1)
    return conn, cut


def test_a_caller_that_leaves_has_its_repeatable_call_cut(world):
    conn, cut = start_a_call_that_hangs(world)
    conn.close()
    lh.run_until(world.loop, lambda: cut == [b""])
    assert world.serving_state.in_flight == 0


def test_what_is_in_flight_at_the_end_is_stopped_in_order(world):
    conn, cut = start_a_call_that_hangs(world)
    world.handler.cut_off()
    world.ctrl.stages.close()
    world.ctrl.client.close()
    lh.run_until(world.loop, lambda: cut == [b""])
    assert world.serving_state.in_flight == 0
    conn.close()


def test_what_is_cut_off_at_the_end_gets_an_answer(world):
    conn, cut = start_a_call_that_hangs(world)
    world.handler.cut_off()
    assert world.serving_state.in_flight == 0
    # It may have run: that promises nothing.
    assert read_status(world, conn) == 504
    lh.run_until(world.loop, lambda: cut == [b""])
    conn.close()


def test_a_stream_is_passed_on_whole(world):
    world.endpoint("e1", lh.serving_with(stream(events(1, 5))))
    world.start(stream_route())
    got = world.ask(KEY)
    assert events(1, 5) in got and got.endswith(b"0\r\n\r\n")


def test_a_broken_stream_goes_on_elsewhere_after_its_last_whole_event(world):
    asked = []

    def serve(conn):
        request = lh.read_request(conn)
        asked.append(request)
        if b"Last-Event-Id: 2" in request:
            conn.sendall(stream(events(3, 4)))
        else:
            conn.sendall(stream(events(1, 2) + b"id: 3\ndat", ends=False))

    world.endpoint("e1", serve)
    world.endpoint("e2", serve)
    world.start(stream_route())
    got = world.ask(KEY)
    assert len(asked) == 2
    body = got.partition(b"\r\n\r\n")[2]
    assert b"".join(part for part in body.split(b"\r\n") if b"id:" in part) == (
        events(1, 4)
    )
    assert got.endswith(b"0\r\n\r\n")


def test_an_endpoint_that_cannot_be_reached_does_not_use_up_attempts(world):
    asked = []

    def serve(conn):
        request = lh.read_request(conn)
        asked.append(request)
        if b"Last-Event-Id: 2" in request:
            conn.sendall(stream(events(3, 4)))
            return
        # While this one streams, two others go.
        for server in world.servers[1:3]:
            server.close()
        conn.sendall(stream(events(1, 2), ends=False))

    for name in ("e1", "e2", "e3", "e4"):
        world.endpoint(name, serve)
    world.start(stream_route())
    world.ctrl.placement.pick = pick_in_order(world)
    got = world.ask(KEY)
    assert len(asked) == 2 and got.endswith(b"0\r\n\r\n")


def pick_in_order(world):
    plain = world.ctrl.placement.pick

    def pick(need, tried):
        names = {"e1", "e2", "e3", "e4"}
        first = min(names - tried)
        return plain(need, names - {first})

    return pick


def test_a_late_answer_tells_of_the_endpoint_only_on_a_proven_route(world):
    def silent(conn):
        if b" /x/slow" in lh.read_request(conn):
            conn.recv(1)
        else:
            conn.sendall(answer())

    world.endpoint("e1", silent)
    world.start(route(kind="non_idempotent", timeout_ms=200))
    endpoint = lambda: world.ctrl.placement._pools["s1"]["e1"]  # noqa: E731
    assert status(world.ask(KEY, path="/x/slow")) == 504
    assert endpoint().failures == 0
    assert status(world.ask(KEY)) == 200
    assert status(world.ask(KEY, path="/x/slow")) == 504
    assert endpoint().failures == 1 and endpoint().suspicions == 1


@pytest.mark.parametrize("ends", [True, False])
def test_a_stream_that_may_not_be_resumed_never_looks_whole(world, ends):
    seen = []
    part = events(1, 2) + b"id: 3\ndat"
    world.endpoint("e1", lh.serving_with(stream(part, ends), seen))
    world.endpoint("e2", lh.serving_with(stream(part, ends), seen))
    world.start({**stream_route(), "resumable": False})
    got = world.ask(KEY)
    assert events(1, 2) in got and not got.endswith(b"0\r\n\r\n")
    assert len(seen) == 1


def test_the_metrics_page_counts_what_happened(world):
    world.endpoint("e1", lh.serving_with(answer()))
    world.start(route())
    world.ask(KEY)
    text = world.meters.text().decode()
    assert (
        'chervilarch_requests_total{account="t1",outcome="answer 200",'
        'route="r1"} 1.0' in text
    )
    assert "chervilarch_request_seconds_bucket" in text
