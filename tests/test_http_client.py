"""Tests of the HTTP client against fake servers on raw sockets."""

import loop_helpers as lh
import pytest

from chervilarch import clocks, exchanges, http_client
from chervilarch import loop as loops

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


@pytest.fixture
def world():
    loop = loops.Loop(clocks.SystemClock())
    yield loop, http_client.Client(loop)


def call(world, server, **changes):
    loop, client = world
    exchange = exchanges.Exchange(
        "POST", f"http://{server.address}/x", b"body", fresh=True
    )
    fut = client.call(exchange._replace(**changes))
    lh.run_until(loop, fut.done)
    return fut.result()


def replying(data, seen=None):
    return lh.RawServer(lh.answer_with(data, seen))


def test_stray_bytes_after_a_reply_are_not_read_as_the_next_one(world):
    server = replying(OK + OK)
    for _ in range(3):
        assert call(world, server).body == b"ok"


@pytest.mark.parametrize(
    "data",
    [b"", b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", b"junk\r\n"],
)
def test_a_broken_reply_is_a_failure_without_a_retry(world, data):
    seen = []
    failure = call(world, replying(data, seen))
    assert isinstance(failure, exchanges.TransferFailure) and failure.sent
    assert len(seen) == 1


def test_a_refused_connection_counts_as_not_sent(world):
    server = lh.RawServer(lambda conn: None)
    server.close()
    failure = call(world, server)
    assert failure.kind is exchanges.FailureKind.REFUSED and not failure.sent


def test_a_silent_server_times_out_and_counts_as_sent(world):
    def silent(conn):
        lh.read_request(conn)
        conn.recv(1)

    failure = call(world, lh.RawServer(silent), timeout_s=0.1)
    assert failure.kind is exchanges.FailureKind.TIMED_OUT and failure.sent


def test_a_cancelled_transfer_closes_its_connection(world):
    ended = []

    def serve(conn):
        lh.read_request(conn)
        ended.append(conn.recv(1))

    loop, client = world
    server = lh.RawServer(serve)
    exchange = exchanges.Exchange(
        "GET", f"http://{server.address}/", fresh=True
    )
    transfer = client.start(exchange, lambda result: ended.append("done"))
    lh.run_until(loop, lambda: server.connections == 1)
    lh.run_pending(loop)
    transfer.cancel()
    lh.run_until(loop, lambda: ended)
    assert ended == [b""]


def test_a_data_callback_may_cancel_its_own_transfer(world):
    loop, client = world
    got = []
    server = replying(OK)

    def on_data(chunk):
        got.append(chunk)
        transfer.cancel()

    exchange = exchanges.Exchange(
        "GET", f"http://{server.address}/", fresh=True
    )
    transfer = client.start(exchange, got.append, on_data)
    lh.run_until(loop, lambda: got)
    lh.run_pending(loop)
    assert got == [b"ok"]


def test_the_target_is_sent_byte_for_byte(world):
    seen = []
    call(world, replying(OK, seen), target="/a/../b%2f?c=%20&d")
    assert seen[0].startswith(b"POST /a/../b%2f?c=%20&d HTTP/1.1\r\n")


@pytest.mark.parametrize("resumes", [False, True])
def test_a_transfer_whose_end_has_arrived_may_be_paused(world, resumes):
    loop, client = world
    server = replying(OK)
    chunks, results = [], []

    def on_data(chunk):
        chunks.append(chunk)
        transfer.pause()
        if resumes:
            transfer.resume()

    exchange = exchanges.Exchange(
        "POST", f"http://{server.address}/x", b"body", fresh=True
    )
    transfer = client.start(exchange, results.append, on_data)
    lh.run_until(loop, lambda: results)
    assert chunks == [b"ok"] and results[0].status == 200
    server.close()


def test_a_callback_that_raises_does_not_lose_other_replies(world):
    loop, client = world
    server = lh.RawServer(lambda conn: conn.recv(1) and conn.recv(1000))
    exchange = exchanges.Exchange(
        "POST", f"http://{server.address}/", timeout_s=0.05, fresh=True
    )
    ended = []

    def fail(result):
        ended.append(result)
        raise ValueError("broken")

    for _ in range(3):
        client.start(exchange, fail)
    lh.run_until(loop, lambda: len(ended) == 3)
    server.close()


_BULK = bytes(range(256)) * 16 * 1024


def bulk_exchange():
    """Returns a request to a new server that answers with `_BULK`."""
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(_BULK)
    server = replying(head + _BULK)
    return exchanges.Exchange(
        "GET", f"http://{server.address}/", timeout_s=60.0, fresh=True
    )


@pytest.mark.parametrize("count", [1, 8])
def test_no_reply_takes_more_than_its_part_of_a_turn(world, count):
    loop, client = world
    exchange = bulk_exchange()
    bodies = [bytearray() for _ in range(count)]
    results = []
    for body in bodies:
        client.start(exchange, results.append, body.extend)
    most, before = 0, [0] * count

    def has_ended():
        nonlocal most, before
        after = [len(body) for body in bodies]
        steps = [b - a for a, b in zip(before, after, strict=True)]
        most, before = max(most, *steps), after
        return len(results) == count

    lh.run_until(loop, has_ended)
    assert all(body == _BULK for body in bodies)
    assert all(isinstance(result, exchanges.Reply) for result in results)
    assert most <= 64 * 1024


def test_a_reply_that_waits_for_its_turn_stays_paused(world):
    loop, client = world
    chunks, results = [], []

    def pause(chunk):
        chunks.append(chunk)
        transfer.pause()

    transfer = client.start(bulk_exchange(), results.append, pause)
    while not results:
        count = len(chunks)
        lh.run_until(loop, lambda c=count: results or len(chunks) > c)
        lh.run_pending(loop)
        assert len(chunks) <= count + 1
        transfer.resume()
    assert b"".join(chunks) == _BULK


def test_a_client_may_be_closed_while_replies_wait_for_their_turn(world):
    loop, client = world
    transfer = client.start(
        bulk_exchange(), lambda result: None, lambda chunk: None
    )
    lh.run_until(loop, lambda: client._postponed)
    transfer.cancel()
    client.close()
    lh.run_pending(loop)


def test_a_reply_that_gave_way_at_its_end_is_no_empty_answer(world):
    loop, client = world
    body = b"x" * 200_000
    server = replying(b"HTTP/1.1 200 OK\r\n\r\n" + body)
    exchange = exchanges.Exchange(
        "POST", f"http://{server.address}/", fresh=True
    )
    results = []
    transfer = client.start(exchange, results.append)
    deliver = client._deliver

    def deliver_late():
        # Another reply takes the room before the end is passed on.
        if transfer.kept_bytes() == len(body):
            client._deliver = deliver
            client._give_up(transfer)
        deliver()

    client._deliver = deliver_late
    lh.run_until(loop, lambda: results)
    assert isinstance(results[0], exchanges.TransferFailure)
    assert "had to give way" in results[0].detail
    server.close()
