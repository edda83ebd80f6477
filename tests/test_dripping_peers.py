"""Peers of a router that send a configuration byte by byte."""

import concurrent.futures
import socket
import threading
import time

import loop_helpers as lh
import pytest

from chervilarch import config_transfer, configuration, metrics

_KEY = b"peer-key"
_DOCUMENT = {"pools": {}}


@pytest.fixture
def config_server():
    address = f"127.0.0.1:{lh.free_ports(1)}"
    state = configuration.ConfigState(3, 3, _DOCUMENT)
    server = config_transfer.ConfigServer(
        address, _KEY, metrics.Metrics(None), lambda: state
    )
    server.start()
    yield address
    server.stop()


@pytest.fixture
def dripping_peer():
    stop = threading.Event()

    def serve(conn):
        conn.recv(4096)
        conn.sendall((2**20).to_bytes(4, "big"))
        while not stop.wait(0.01):
            conn.sendall(b"x")

    server = lh.RawServer(serve)
    yield server.address
    stop.set()
    server.close()


def fetch(address):
    fut = concurrent.futures.Future()

    def run():
        fut.set_result(config_transfer.fetch_configuration(address, _KEY))

    # A thread, so that a fetch without an end fails the test.
    threading.Thread(target=run, daemon=True).start()
    return fut.result(lh.TIMEOUT_S)


def test_a_peer_that_sends_byte_by_byte_does_not_hold_up_a_fetch(
    dripping_peer, monkeypatch
):
    monkeypatch.setattr(config_transfer, "_REPLY_TIMEOUT_S", 0.2)
    assert fetch(dripping_peer) is None


def test_peers_that_send_byte_by_byte_do_not_hold_up_others(
    config_server, monkeypatch
):
    monkeypatch.setattr(config_transfer, "_TIMEOUT_S", 0.2)
    host, port = config_server.rsplit(":", 1)
    ended = threading.Event()

    def drip(conn):
        try:
            conn.sendall((4096).to_bytes(4, "big"))
            while not ended.wait(0.01):
                conn.sendall(b"\0")
        except OSError:
            pass  # The server has closed the connection.

    conns = [socket.create_connection((host, int(port))) for _ in range(16)]
    threads = [threading.Thread(target=drip, args=(c,)) for c in conns]
    for thread in threads:
        thread.start()
    try:
        give_up_at = time.monotonic() + lh.TIMEOUT_S
        while fetch(config_server) is None:
            assert time.monotonic() < give_up_at, "no peer was served"
    finally:
        ended.set()
        for thread, conn in zip(threads, conns, strict=True):
            thread.join()
            conn.close()
