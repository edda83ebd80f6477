"""Endpoints of the router that send bytes without end, or very many."""

import threading
import time

import loop_helpers as lh
import pytest

from chervilarch import byte_room, exchanges, transfers

KIB = 1024
BOUNDS = byte_room.Bounds(shared=2048 * KIB, largest=512 * KIB, small=256 * KIB)
OK = b"HTTP/1.1 200 OK\r\n"
# Just below the bound of one reply.
LARGE = b"x" * (BOUNDS.largest - 8 * KIB)


@pytest.fixture
def thread():
    running = transfers.TransferThread(bounds=BOUNDS)
    running.start()
    yield running
    running.stop()


@pytest.fixture
def server_of():
    """Returns a server that sends some bytes, then waits for the end."""
    servers, stop = [], threading.Event()

    def create(data, ends=True):
        def serve(conn):
            lh.read_request(conn)
            conn.sendall(data)
            if not ends:
                stop.wait(lh.TIMEOUT_S)

        servers.append(lh.RawServer(serve))
        return servers[-1]

    yield create
    stop.set()
    for server in servers:
        server.close()


def exchange(server, timeout_s=60.0):
    return exchanges.Exchange(
        "GET", f"http://{server.address}/", timeout_s=timeout_s, fresh=True
    )


def wait_until(condition):
    give_up_at = time.monotonic() + lh.TIMEOUT_S
    while not condition():
        assert time.monotonic() < give_up_at, "the condition never held"
        time.sleep(0.005)


@pytest.fixture
def flooded(thread, server_of):
    """A thread whose room is taken by replies that don't end."""
    server = server_of(OK + b"\r\n" + LARGE, ends=False)
    handles = [thread.submit_cancellable(exchange(server)) for _ in range(12)]
    wait_until(lambda: thread.room.is_awaited())
    return thread, handles


def test_the_replies_of_all_transfers_share_a_bound_on_memory(flooded):
    thread, handles = flooded
    assert thread.room.size <= BOUNDS.shared + BOUNDS.largest + BOUNDS.small
    assert not any(handle.future.done() for handle in handles)


@pytest.mark.parametrize("size", [1 * KIB, 64 * KIB, 400 * KIB])
def test_a_sound_reply_is_not_cut_for_the_bytes_of_a_faulty_endpoint(
    flooded, server_of, size
):
    thread, _ = flooded
    sound = server_of(OK + b"Content-Length: %d\r\n\r\n" % size + b"s" * size)
    for _ in range(20):
        result = thread.send_and_wait(exchange(sound))
        assert isinstance(result, exchanges.Reply)
        assert result.body == b"s" * size


def test_a_reply_over_the_bound_says_so(thread, server_of):
    server = server_of(OK + b"\r\n" + 2 * LARGE, ends=False)
    result = thread.send_and_wait(exchange(server))
    assert result.kind is exchanges.FailureKind.TOO_LARGE
    assert result.detail == f"the reply is over {BOUNDS.largest} bytes"


def test_a_reply_that_names_a_length_over_the_bound_is_not_read(
    thread, server_of
):
    head = OK + b"Content-Length: 99999999\r\n\r\n"
    result = thread.send_and_wait(exchange(server_of(head + b"x", ends=False)))
    assert result.kind is exchanges.FailureKind.TOO_LARGE
    assert not thread.room.size


@pytest.mark.parametrize("status", [200, 500])
def test_a_reply_has_room_until_its_handle_is_cancelled(
    thread, server_of, status
):
    head = b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n"
    server = server_of(head % (status, len(LARGE)) + LARGE)
    handle = thread.submit_cancellable(exchange(server))
    assert handle.future.result(lh.TIMEOUT_S).body == LARGE
    assert thread.room.size == len(LARGE)
    handle.cancel()
    wait_until(lambda: not thread.room.size)


def test_cancelled_and_late_transfers_return_their_room(flooded, server_of):
    thread, handles = flooded
    late = server_of(OK + b"\r\n" + LARGE, ends=False)
    result = thread.send_and_wait(exchange(late, 0.3))
    assert isinstance(result, exchanges.TransferFailure)
    for handle in handles:
        handle.cancel()
    for handle in handles:
        assert isinstance(
            handle.future.result(lh.TIMEOUT_S), exchanges.TransferFailure
        )
    wait_until(lambda: not thread.room.size)


def test_a_stopped_thread_leaves_no_request_without_a_result(thread, server_of):
    server = server_of(b"", ends=False)
    handle = thread.submit_cancellable(exchange(server))
    thread.stop()
    late = thread.submit_cancellable(exchange(server))
    for item in (handle, late):
        failure = item.future.result(lh.TIMEOUT_S)
        assert failure.kind is exchanges.FailureKind.CANCELLED
        item.cancel()
