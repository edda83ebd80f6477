"""The router frees a request once it has ended, not when the collector runs."""

import gc
import threading
import time

import loop_helpers as lh
import pytest
import router_world as rw
import werkzeug

from chervilarch import (
    attempts,
    call_stage,
    exchanges,
    filters,
    http_server,
    request,
    server,
    tokens,
    transfers,
    wsgi_server,
)

_TYPES = (
    attempts.Attempt,
    attempts.Success,
    call_stage.RunningAttempt,
    call_stage.StageRun,
    exchanges.ByteStream,
    filters.FilterContext,
    http_server.Request,
    http_server.Responder,
    request.PipelineRequest,
    server._PipelineRunHandler,
    tokens.TokenSequence,
    werkzeug.Request,
    wsgi_server._Response,
)


@pytest.fixture
def world():
    running = rw.RouterWorld()
    yield running
    running.close()


@pytest.fixture
def without_collector():
    gc.collect()
    gc.disable()
    yield
    gc.enable()


def kept(platform_address):
    """Returns the objects of requests that are still there, by type."""
    found = []
    for item in gc.get_objects():
        if isinstance(item, transfers._Transfer):
            if platform_address not in item.exchange.url:
                found.append(item)
        elif isinstance(item, _TYPES):
            found.append(item)
    return sorted(type(item).__name__ for item in found)


def wait_until_freed(world):
    give_up_at = time.monotonic() + 3.0
    while names := kept(world.platform.address):
        assert time.monotonic() < give_up_at, names
        time.sleep(0.02)


class Case:
    """One kind of request; `play` plays it."""

    def __init__(self):
        self.stop = threading.Event()

    def silent(self, conn):
        lh.read_request(conn)
        self.stop.wait(lh.TIMEOUT_S)


def play_answered(world, case):
    world.endpoint("encode", rw.answering())
    assert world.fetch("encode")[0] == 200


def play_failed(world, case):
    world.endpoint("encode", rw.answering(status=500))
    assert world.fetch("encode")[0] == 502


def play_retried(world, case):
    world.endpoint("encode", rw.answering(status=500))
    world.endpoint("encode", rw.answering())
    for _ in range(6):
        assert world.fetch("encode")[0] == 200


def play_garbled(world, case):
    world.endpoint("encode", rw.answering(size=5))
    assert world.fetch("encode")[0] == 502


def play_cut(world, case):
    world.endpoint("encode", lh.answer_with(b"HTTP/1.1 200 OK\r\nContent-"))
    assert world.fetch("encode")[0] == 502


def play_hedged(world, case):
    world.endpoint("encode", rw.answering())
    assert world.fetch("encode")[0] == 200
    world.endpoint("encode", case.silent)
    for _ in range(6):
        assert world.fetch("encode")[0] == 200


def play_refused(world, case):
    assert world.fetch("nothing")[0] >= 400


def play_timed_out(world, case):
    world.endpoint("encode", case.silent)
    assert world.fetch("encode", headers=["Deadline-Ms: 300"])[0] == 504


def play_left(world, case):
    world.endpoint("generate", rw.streaming(0, 2, False, case.stop))
    with world.send("generate", stream=True) as conn:
        conn.recv(65536)
    case.stop.set()


def play_whole_stream(world, case):
    world.endpoint("generate", rw.streaming(0, 4))
    for stream in (False, True):
        assert world.fetch("generate", stream=stream)[0] == 200


def play_broken_stream(world, case):
    world.endpoint("generate", rw.streaming(0, 2, False))
    assert world.fetch("generate")[0] == 502


def play_resumed_stream(world, case):
    world.endpoint("generate", rw.streaming(0, 2, False))
    world.endpoint("generate", rw.streaming(2, 4))
    statuses = [world.fetch("generate")[0] for _ in range(4)]
    assert 200 in statuses


def play_silent_stream(world, case):
    world.endpoint("generate", rw.streaming(0, 2, False, case.stop))
    headers = ["Deadline-Ms: 500"]
    assert world.fetch("generate", headers=headers)[0] == 504


def play_claimed(world, case):
    world.endpoint("book", rw.answering())
    key = rw.new_key()
    for _ in range(2):
        assert world.fetch("book", key)[0] == 200


def play_claimed_and_declined(world, case):
    world.endpoint("book", rw.answering(status=503, ran=False))
    headers = ["Deadline-Ms: 1000"]
    assert world.fetch("book", rw.new_key(), headers=headers)[0] in (503, 504)


def play_claimed_and_lost(world, case):
    world.endpoint("book", lh.answer_with(b""))
    key = rw.new_key()
    for _ in range(2):
        assert world.fetch("book", key)[0] == 500


def play_stopped(world, case):
    world.endpoint("encode", case.silent)
    with world.send("encode", headers=["Deadline-Ms: 500"]) as conn:
        world.stop()
        assert conn.recv(65536).startswith(b"HTTP/1.1 504")


CASES = {
    name.removeprefix("play_"): value
    for name, value in globals().items()
    if name.startswith("play_")
}


@pytest.mark.parametrize("name", CASES)
def test_a_request_that_has_ended_is_freed_without_the_collector(
    world, without_collector, name
):
    case = Case()
    try:
        CASES[name](world, case)
        wait_until_freed(world)
        world.wait_until(lambda: not world.ctrl.transfers.room.size)
    finally:
        case.stop.set()
