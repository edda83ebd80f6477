"""Odd bytes in headers don't leave a request without an answer."""

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

_FORWARDED = ["caf\u00e9", "a\tb"]
_ODD = [*_FORWARDED, "a\x01b", "a\x0bb", "a\x0cb", "a\x7fb"]


@pytest.mark.parametrize(("path", "code"), [("/x/1", 200), ("/nowhere", 404)])
def test_a_request_with_an_odd_id_is_answered(world, path, code):
    reply = answer(request_id="ID").replace(b"ID", b"\xef\xee")
    world.endpoint("e1", lh.answer_with(reply))
    world.start(route_document())
    conn = lh.connect(world.server.port)
    lh.run_until(world.loop, lambda: world.ctrl.configuration.table)
    head = f"GET {path} HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n"
    key = "Authorization: Bearer k1\r\n"
    conn.sendall(
        f"{head}{key}Request-Id: \u00ef\u00ee\r\n\r\n".encode("latin-1")
    )
    received = lh.receive(world.loop, conn, lambda data: b"<EOF>" in data)
    assert status(received) == code
    assert b"equest-Id: \xef\xee\r\n".lower() in received.lower()


@pytest.mark.parametrize("value", _ODD)
@pytest.mark.parametrize("is_stream", [False, True])
def test_a_reply_with_an_odd_header_is_answered(world, value, is_stream):
    odd = f"X-Odd: {value}\r\n".encode("latin-1")
    reply = stream(events(1, 2)) if is_stream else answer()
    reply = reply.replace(b"Request-Id", odd + b"Request-Id", 1)
    world.endpoint("e1", lh.answer_with(reply))
    route = stream_route_document if is_stream else route_document
    world.start(route(max_attempts=1))
    received = world.fetch(KEY)
    assert status(received) == 200
    assert (odd.lower() in received.lower()) is (value in _FORWARDED)


@pytest.mark.parametrize("name", ["X Odd", "X\u00e9", "X@Odd"])
@pytest.mark.parametrize("is_stream", [False, True])
def test_a_reply_with_an_odd_header_name_is_refused_at_once(
    world, name, is_stream
):
    requests = []
    odd = f"{name}: v\r\n".encode("latin-1")
    reply = stream(events(1, 2)) if is_stream else answer()
    reply = reply.replace(b"Request-Id", odd + b"Request-Id", 1)
    world.endpoint("e1", lh.answer_with(reply, requests))
    route = stream_route_document if is_stream else route_document
    world.start(route(max_attempts=1))
    received = world.fetch(KEY)
    assert status(received) == 502 and len(requests) == 1
    assert odd not in received and b"response-stamp" not in received.lower()


# An answer counts by its stamp, which has to reach the caller as it was sent.
@pytest.mark.parametrize(
    "value", ["s\x011", "s1\x1b2", "\x7fs1", "s\x0b1", "s1\x1f"]
)
@pytest.mark.parametrize("is_stream", [False, True])
def test_a_reply_whose_stamp_cannot_be_passed_on_is_refused(
    world, value, is_stream
):
    reply = stream(events(1, 2)) if is_stream else answer()
    reply = reply.replace(b"Stamp: s1", f"Stamp: {value}".encode(), 1)
    world.endpoint("e1", lh.answer_with(reply))
    route = stream_route_document if is_stream else route_document
    world.start(route(max_attempts=1))
    received = world.fetch(KEY)
    assert status(received) == 502
    assert b"response-stamp" not in received.lower()


@pytest.mark.parametrize("value", ["\xa0s1", "s1\x85", "s\xa01"])
def test_a_stamp_beyond_ascii_reaches_the_caller_as_it_was_sent(world, value):
    reply = answer().replace(b"Stamp: s1", f"Stamp: {value}".encode("latin-1"))
    world.endpoint("e1", lh.answer_with(reply))
    world.start(route_document(max_attempts=1))
    received = world.fetch(KEY)
    assert f"response-stamp: {value}\r\n".encode("latin-1") in received.lower()


@pytest.mark.parametrize("code", [100, 102, 199, 204, 304, 600, 999])
def test_a_reply_with_an_odd_status_is_answered(world, code):
    world.endpoint("e1", lh.answer_with(answer(code, b"")))
    world.start(route_document(max_attempts=1))
    assert status(world.fetch(KEY)) in (204, 304, 502, 504, code)


def test_an_answer_that_cannot_be_sent_ends_its_request_at_once(world):
    def fail(*args):
        raise ValueError("can't be sent")

    world.ctrl.wire.build_refusal = fail
    world.start(route_document())
    assert status(world.fetch(KEY, path="/nowhere")) == 502
    assert not world.serving_state.in_flight
