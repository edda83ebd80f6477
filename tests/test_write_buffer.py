"""Tests of the bytes that wait for a socket."""

import random
import socket

import pytest

from chervilarch import write_buffer


@pytest.fixture
def sockets():
    ours, theirs = socket.socketpair()
    ours.setblocking(False)
    theirs.setblocking(False)
    with ours, theirs:
        yield ours, theirs


@pytest.mark.parametrize("seed", range(5))
def test_bytes_arrive_in_order_whatever_the_sizes(sockets, seed):
    ours, theirs = sockets
    rng = random.Random(seed)
    buffer = write_buffer.WriteBuffer()
    expected, received = bytearray(), bytearray()
    for _ in range(60):
        data = rng.randbytes(rng.choice((0, 1, 500, 65_536, 300_000)))
        buffer.append(data)
        expected += data
        for _ in range(rng.randint(0, 6)):
            if not buffer:
                break
            try:
                buffer.write_to(ours)
            except BlockingIOError:
                received += theirs.recv(1_000_000)
    while len(received) < len(expected):
        if buffer:
            try:
                buffer.write_to(ours)
            except BlockingIOError:
                pass  # The reader makes room below.
        received += theirs.recv(1_000_000)
    assert received == expected and len(buffer) == 0


def test_a_large_piece_is_not_copied(sockets):
    buffer = write_buffer.WriteBuffer()
    data = b"x" * 10_000_000
    buffer.append(b"head")
    buffer.append(data)
    assert any(piece is data for piece in buffer._pieces)
    buffer.clear()
    assert not buffer
