"""End-to-end tests of the gateway with fake endpoints on loopback.

Callers, endpoints and the gateway use real sockets and the system clock; the
store is in memory, and the tests wait for events.
"""

import re
import socket
import struct

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

from chervilarch import http_server, routing_table, serving


def test_a_request_and_its_answer_are_forwarded_unchanged(world):
    requests = []
    world.endpoint("e1", lh.answer_with(answer(), requests))
    world.start(route_document())
    received = world.fetch(KEY, ("X-App", "1"), path="/x/a%20b?q=%2F..")
    assert status(received) == 200 and received.endswith(b"out")
    assert b"response-stamp: s1" in received.lower()
    head = requests[0].lower()
    assert requests[0].startswith(b"POST /x/a%20b?q=%2F.. HTTP/1.1\r\n")
    assert requests[0].endswith(b"\r\n\r\nin")
    assert b"tenant: t1" in head and b"expect-instance: e1" in head
    assert b"authorization" not in head and b"x-app: 1" in head
    assert b"expect:" not in head and b"accept:" not in head


@pytest.mark.parametrize(
    ("headers", "path", "expected"),
    [((), "/x/1", 401), ((KEY,), "/y/1", 404)],
)
def test_a_missing_key_or_unknown_route_is_rejected(
    world, headers, path, expected
):
    world.endpoint("e1", lh.answer_with(answer()))
    world.start(route_document())
    assert status(world.fetch(*headers, path=path)) == expected


def test_without_a_configuration_a_request_gets_503_with_retry_after(world):
    received = world.fetch(KEY)
    assert status(received) == 503 and b"retry-after" in received.lower()


@pytest.mark.parametrize(
    "reply",
    [
        answer(stamp=""),
        answer(request_id="other"),
        answer(missing=5),
        b"garbage\r\n\r\n",
        answer(status="000"),
        answer(status=600),
        answer(status=999),
        answer(status=2000),
        b"",
    ],
)
def test_a_reply_to_another_request_or_a_broken_one_gives_502(world, reply):
    world.endpoint("e1", lh.answer_with(reply))
    world.start(route_document(kind="non_idempotent"))
    assert status(world.fetch(KEY)) == 502


def test_a_call_that_may_run_once_is_not_retried_after_a_lost_reply(world):
    requests = []
    world.endpoint("e1", lh.answer_with(b"", requests))
    world.endpoint("e2", lh.answer_with(b"", requests))
    world.start(route_document(kind="non_idempotent"))
    assert status(world.fetch(KEY)) == 502
    assert len(requests) == 1


def test_a_declined_call_is_retried_at_another_endpoint(world):
    requests = []
    world.endpoint("e1", decline(requests))
    world.endpoint("e2", lh.answer_with(answer(), requests))
    world.start(route_document(kind="non_idempotent"))
    for _ in range(4):
        assert status(world.fetch(KEY)) == 200


def test_a_call_that_all_endpoints_declined_gets_503_with_retry_after(world):
    world.endpoint("e1", decline())
    world.start(route_document(kind="non_idempotent"))
    received = world.fetch(KEY)
    assert status(received) == 503 and b"retry-after" in received.lower()


def test_a_server_error_is_retried_at_another_endpoint(world):
    world.endpoint("e1", lh.answer_with(answer(500, b"sorry")))
    world.endpoint("e2", lh.answer_with(answer()))
    world.start(route_document())
    assert {status(world.fetch(KEY)) for _ in range(4)} == {200}


def test_a_server_error_that_may_not_be_retried_is_forwarded_unchanged(world):
    world.endpoint("e1", lh.answer_with(answer(500, b"sorry", stamp="s9")))
    world.start(route_document(kind="non_idempotent"))
    received = world.fetch(KEY)
    assert status(received) == 500 and received.endswith(b"sorry")
    assert b"response-stamp: s9" in received.lower()


def test_an_address_reused_by_another_endpoint_gets_no_more_requests(world):
    requests = []
    misdirected = answer(421, b"", stamp="", extra="Instance-Id: other\r\n")
    world.endpoint("e1", lh.answer_with(misdirected, requests))
    world.endpoint("e2", lh.answer_with(answer()))
    world.start(route_document())
    for _ in range(4):
        assert status(world.fetch(KEY)) == 200
    assert len(requests) <= 1


def test_a_silent_endpoint_gives_504_at_the_time_out(world):
    def answer_unless_slow(conn):
        lh.read_request(conn)
        conn.recv(1)

    world.endpoint("e1", answer_unless_slow)
    world.start(route_document(kind="non_idempotent", timeout_ms=300))
    assert status(world.fetch(KEY)) == 504


def start_hanging_call(world):
    """Returns the caller's connection and the endpoint's last reads."""
    last_reads = []

    def wait_for_end(conn):
        lh.read_request(conn)
        last_reads.append(conn.recv(1))

    server = world.endpoint("e1", wait_for_end)
    world.start(route_document())
    conn = world.send(KEY)
    lh.run_until(world.loop, lambda: server.connections == 1)
    lh.run_until(world.loop, lambda: world.serving_state.in_flight == 1)
    return conn, last_reads


def test_a_retryable_call_is_cancelled_when_its_caller_disconnects(world):
    conn, last_reads = start_hanging_call(world)
    conn.close()
    lh.run_until(world.loop, lambda: last_reads == [b""])
    assert world.serving_state.in_flight == 0


def test_a_call_in_flight_is_cancelled_on_shutdown(world):
    conn, last_reads = start_hanging_call(world)
    world.handler.cut_off()
    # The gateway may stop its loop and close these right after the cut-off.
    world.ctrl.stage_coordinator.close()
    world.ctrl.client.close()
    lh.run_until(world.loop, lambda: last_reads == [b""])
    assert world.serving_state.in_flight == 0
    conn.close()


def test_a_request_in_flight_is_answered_on_shutdown(world):
    conn, last_reads = start_hanging_call(world)
    world.handler.cut_off()
    assert world.serving_state.in_flight == 0
    # The call may have run, so the answer must not say that it didn't.
    assert read_status(world, conn) == 504
    lh.run_until(world.loop, lambda: last_reads == [b""])
    conn.close()


def test_a_stream_is_relayed_completely(world):
    world.endpoint("e1", lh.answer_with(stream(events(1, 5))))
    world.start(stream_route_document())
    received = world.fetch(KEY)
    assert events(1, 5) in received and received.endswith(b"0\r\n\r\n")


def test_a_broken_stream_resumes_elsewhere_after_its_last_complete_event(world):
    requests = []

    def serve(conn):
        request = lh.read_request(conn)
        requests.append(request)
        if b"Last-Event-Id: 2" in request:
            conn.sendall(stream(events(3, 4)))
        else:
            conn.sendall(stream(events(1, 2) + b"id: 3\ndat", ends=False))

    world.endpoint("e1", serve)
    world.endpoint("e2", serve)
    world.start(stream_route_document())
    received = world.fetch(KEY)
    assert len(requests) == 2
    body = received.partition(b"\r\n\r\n")[2]
    assert b"".join(part for part in body.split(b"\r\n") if b"id:" in part) == (
        events(1, 4)
    )
    assert received.endswith(b"0\r\n\r\n")


def test_an_unreachable_endpoint_does_not_count_as_an_attempt(world):
    requests = []

    def serve(conn):
        request = lh.read_request(conn)
        requests.append(request)
        if b"Last-Event-Id: 2" in request:
            conn.sendall(stream(events(3, 4)))
            return
        # Two other endpoints stop during this stream.
        for server in world.servers[1:3]:
            server.close()
        conn.sendall(stream(events(1, 2), ends=False))

    for name in ("e1", "e2", "e3", "e4"):
        world.endpoint(name, serve)
    world.start(stream_route_document())
    world.ctrl.placement.pick = pick_in_order(world)
    received = world.fetch(KEY)
    assert len(requests) == 2 and received.endswith(b"0\r\n\r\n")


def pick_in_order(world):
    original_pick = world.ctrl.placement.pick

    def pick(requirements, tried):
        names = {"e1", "e2", "e3", "e4"}
        first = min(names - tried)
        return original_pick(requirements, names - {first})

    return pick


def test_a_time_out_counts_only_after_the_route_has_been_answered(world):
    def answer_unless_slow(conn):
        if b" /x/slow" in lh.read_request(conn):
            conn.recv(1)
        else:
            conn.sendall(answer())

    world.endpoint("e1", answer_unless_slow)
    world.start(route_document(kind="non_idempotent", timeout_ms=200))
    endpoint = lambda: world.ctrl.placement._pools["s1"]["e1"]  # noqa: E731
    assert status(world.fetch(KEY, path="/x/slow")) == 504
    assert endpoint().failures == 0
    assert status(world.fetch(KEY)) == 200
    assert status(world.fetch(KEY, path="/x/slow")) == 504
    assert endpoint().failures == 1 and endpoint().suspicions == 1


def test_a_time_out_counts_also_if_the_request_ends_before_its_call(
    world, monkeypatch
):
    def answer_unless_slow(conn):
        if b" /x/slow" in lh.read_request(conn):
            conn.recv(1)
        else:
            conn.sendall(answer())

    start = world.ctrl.client.start

    def start_with_more_time(exchange, *args, **kwargs):
        more_s = exchange.timeout_s + 1.0
        return start(exchange._replace(timeout_s=more_s), *args, **kwargs)

    monkeypatch.setattr(world.ctrl.client, "start", start_with_more_time)
    world.endpoint("e1", answer_unless_slow)
    world.start(route_document(kind="non_idempotent", timeout_ms=200))
    assert status(world.fetch(KEY)) == 200
    assert status(world.fetch(KEY, path="/x/slow")) == 504
    endpoint = world.ctrl.placement._pools["s1"]["e1"]
    assert endpoint.failures == 1 and endpoint.suspicions == 1


@pytest.mark.parametrize("ends", [True, False])
def test_a_broken_stream_that_may_not_be_resumed_never_looks_complete(
    world, ends
):
    requests = []
    part = events(1, 2) + b"id: 3\ndat"
    world.endpoint("e1", lh.answer_with(stream(part, ends), requests))
    world.endpoint("e2", lh.answer_with(stream(part, ends), requests))
    world.start({**stream_route_document(), "resumable": False})
    received = world.fetch(KEY)
    assert events(1, 2) in received and not received.endswith(b"0\r\n\r\n")
    assert len(requests) == 1


@pytest.mark.parametrize(
    ("data", "is_complete"),
    [(events(1, 2), True), (events(1, 2) + b"id: 3\ndat", False)],
)
def test_a_stream_without_a_length_is_complete_only_after_a_whole_event(
    world, data, is_complete
):
    head = stream(b"").partition(b"Transfer-Encoding")[0] + b"\r\n"
    world.endpoint("e1", lh.answer_with(head + data))
    world.start({**stream_route_document(), "resumable": False})
    received = world.fetch(KEY)
    assert events(1, 2) in received and b"id: 3" not in received
    assert received.endswith(b"0\r\n\r\n") is is_complete


@pytest.mark.parametrize(("is_reset", "expected"), [(False, 200), (True, 502)])
def test_an_answer_without_a_length_is_complete_unless_it_is_reset(
    world, is_reset, expected
):
    head = answer(body=b"").replace(b"Content-Length: 0\r\n", b"")

    def serve(conn):
        lh.read_request(conn)
        conn.sendall(head + b"out")
        if is_reset:
            linger = struct.pack("ii", 1, 0)
            conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    world.endpoint("e1", serve)
    world.start(route_document(kind="non_idempotent"))
    received = world.fetch(KEY)
    assert status(received) == expected
    assert received.endswith(b"out") is not is_reset


def test_the_metrics_page_counts_requests(world):
    world.endpoint("e1", lh.answer_with(answer()))
    world.start(route_document())
    world.fetch(KEY)
    text = world.meters.text().decode()
    assert (
        'chervilarch_requests_total{account="t1",outcome="answer 200",'
        'route="r1"} 1.0' in text
    )
    assert "chervilarch_request_seconds_bucket" in text


# Answers of the next endpoint after a stream that broke off midway.
_ANSWERS_TO_A_RESUMPTION = {
    "a server error": answer(500, b"sorry"),
    "a client error": answer(404, b"no such thing"),
    "an error without a signature": answer(500, b"sorry", stamp=""),
    "an answer that isn't a stream": answer(200, b"sorry"),
    "an answer that looks like events": answer(
        200, b"id: 3\n\nsorry\n\n", extra="Content-Type: text/plain\r\n"
    ),
    "another request's stream": stream(events(3, 4)).replace(b"id1", b"id9"),
    "a refusal": answer(503, b"", stamp="", extra="Not-Executed: 1\r\n"),
    "a redirect": answer(302, b"", extra="Location: /y\r\n"),
}


@pytest.mark.parametrize("name", _ANSWERS_TO_A_RESUMPTION)
def test_an_error_after_a_broken_stream_stays_out_of_it(world, name):
    def serve(conn):
        if b"Last-Event-Id: 2" in lh.read_request(conn):
            conn.sendall(_ANSWERS_TO_A_RESUMPTION[name])
        else:
            conn.sendall(stream(events(1, 2) + b"id: 3\ndat", ends=False))

    world.endpoint("e1", serve)
    world.endpoint("e2", serve)
    world.start(stream_route_document())
    received = world.fetch(KEY)
    body = received.partition(b"\r\n\r\n")[2]
    # The last chunk is missing, so the stream can't look complete.
    assert not received.endswith(b"0\r\n\r\n")
    assert b"HTTP/1.1" not in body and b"sorry" not in body
    assert b"no such thing" not in body and b"id: 3" not in body
    assert events(1, 2) in body


@pytest.mark.parametrize("kind", ["safe", "non_idempotent"])
def test_a_refusal_of_another_request_proves_nothing(world, kind):
    requests = []
    refusal = answer(
        503, b"", request_id="other", stamp="", extra="Not-Executed: 1\r\n"
    )
    world.endpoint("e1", lh.answer_with(refusal, requests))
    world.start(route_document(kind=kind))
    received = world.fetch(KEY)
    assert status(received) == 502
    assert len(requests) == 1


def test_a_fault_while_a_request_is_begun_is_answered(world):
    world.endpoint("e1", lh.answer_with(answer()))
    world.start(route_document())
    assert status(world.fetch(KEY)) == 200
    world.ctrl.wire.parse_request = lambda req: 1 / 0
    received = world.fetch(KEY)
    assert received.startswith(b"HTTP/1.1 502")
    assert b"not-executed" not in received.lower()


def test_a_fault_before_the_filters_is_answered_and_leaves_nothing(
    world, monkeypatch
):
    world.endpoint("e1", lh.answer_with(answer()))
    world.start(route_document())
    assert status(world.fetch(KEY)) == 200
    monkeypatch.setattr(serving, "RoutedContext", lambda *args: 1 / 0)
    assert status(world.fetch(KEY)) == 502
    assert world.serving_state.in_flight == 0
    assert not world.handler._requests


def test_a_fault_while_an_answer_is_sent_is_answered(world, monkeypatch):
    world.endpoint("e1", lh.answer_with(answer()))
    world.start(route_document())
    build = http_server._response_head
    statuses = []

    def fail_once(code, headers):
        statuses.append(code)
        if len(statuses) == 1:
            raise ValueError("odd header")
        return build(code, headers)

    monkeypatch.setattr(http_server, "_response_head", fail_once)
    assert status(world.fetch(KEY)) == 502
    assert statuses == [200, 502]
    assert world.serving_state.in_flight == 0


@pytest.mark.parametrize("account_priority", [None, 0, 1, 4])
def test_urgent_routes_go_first_if_all_accounts_have_one_priority(
    world, account_priority
):
    # Otherwise every request was as urgent as its account.
    tenant = {"name": "t1", "api_keys": ["k1"]}
    if account_priority is not None:
        tenant["priority"] = account_priority
    seen = []
    world.endpoint("e1", lh.answer_with(stream(events(1, 1)), seen))
    world.start(
        *(
            {
                **stream_route_document(name=f"r{priority}", priority=priority),
                "path_prefix": f"/p{priority}/",
            }
            for priority in (0, 1, 2)
        ),
        tenants=[tenant],
    )
    for priority in (2, 0, 1):
        world.fetch(KEY, path=f"/p{priority}/1")
    sent = [
        int(re.search(rb"Request-Priority: (\d)", request)[1])
        for request in seen
    ]
    assert sent == [2, 0, 1]


def test_an_accounts_priority_goes_before_the_routes():
    routes = [lh.route(name=f"r{n}", priority=n) for n in (0, 1)]
    accounts = {
        "k1": routing_table.Account("first", 0),
        "k2": routing_table.Account("second", 1),
    }
    table = lh.table(*routes, accounts=accounts)
    order = [
        table.urgency(route, account)
        for account in accounts.values()
        for route in routes
    ]
    assert order == sorted(order) and len(set(order)) == 4
