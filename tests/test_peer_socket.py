"""Tests of the socket for datagrams between hosts."""

import socket

import loop_helpers as lh
import pytest

from chervilarch import clocks, peer_socket
from chervilarch import loop as loops


@pytest.fixture
def loop():
    running = loops.Loop(clocks.SystemClock())
    yield running
    running.close()


@pytest.fixture
def listener(loop):
    """A socket that keeps what it receives in `frames`."""
    frames = []
    created = peer_socket.PeerSocket(
        loop,
        ("127.0.0.1", 0),
        lambda frame: frame,
        lambda message, source: frames.append(message),
        "refused",
    )
    created.frames = frames
    yield created
    created.close()


class EndlessSocket:
    """Stands for a socket at which datagrams arrive as fast as they are read.

    It ends the test in place of a loop that would read for ever.
    """

    def __init__(self):
        self.received = 0

    def recvfrom(self, size):
        """Returns a datagram."""
        self.received += 1
        assert self.received < 200_000, "the loop reads without end"
        return b"x", ("127.0.0.1", 1)


@pytest.mark.parametrize("method", ["_receive", "_drop_waiting"])
def test_datagrams_without_end_do_not_hold_up_the_loop(
    listener, monkeypatch, method
):
    monkeypatch.setattr(listener, "_socket", EndlessSocket())
    try:
        getattr(listener, method)(1)
    finally:
        monkeypatch.undo()


def test_all_datagrams_are_read_in_several_turns(loop, listener):
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        for number in range(150):
            sock.sendto(b"%d" % number, listener.address)
    lh.run_until(loop, lambda: len(listener.frames) == 150)
    assert listener.frames == [b"%d" % number for number in range(150)]


def test_what_waited_during_a_pause_is_dropped(loop, listener):
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        for _ in range(100):
            sock.sendto(b"old", listener.address)
        listener._drop_waiting(1.0)
        sock.sendto(b"new", listener.address)
    lh.run_until(loop, lambda: listener.frames)
    assert listener.frames == [b"new"]
