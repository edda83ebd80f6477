"""Shared fixtures; expects the tests listed in KNOWN-RED.txt to fail."""

import pathlib

import gateway_world
import loop_helpers as lh
import pytest

from chervilarch import clocks, http_client, transfers
from chervilarch import loop as loops

KNOWN_RED = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"


def known_red() -> list[str]:
    """Returns the test ids of the lines `test: ID`."""
    lines = KNOWN_RED.read_text().splitlines()
    ids = [line.removeprefix("test: ") for line in lines]
    return [i for i, line in zip(ids, lines, strict=True) if i != line]


def pytest_collection_modifyitems(items):
    """Marks listed tests as expected to fail."""
    listed = known_red()
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt"))


def pytest_report_header():
    """Prints the listed tests."""
    return [f"known red: {name}" for name in known_red()]


@pytest.fixture
def world():
    """A gateway with fake endpoints; some modules define another `world`."""
    running = gateway_world.World()
    yield running
    running.close()


@pytest.fixture
def closing_server_of():
    """Returns a server that sends some bytes and closes the connection."""
    servers = []

    def create(data):
        def serve(conn):
            lh.read_request(conn)
            conn.sendall(data)

        servers.append(lh.RawServer(serve))
        return servers[-1]

    yield create
    for server in servers:
        server.close()


@pytest.fixture
def gateway_call():
    loop = loops.Loop(clocks.SystemClock())
    client = http_client.Client(loop)

    def call(exchange):
        fut = client.call(exchange)
        lh.run_until(loop, fut.done)
        return fut.result()

    yield call
    client.close()
    loop.close()


@pytest.fixture
def router_call():
    thread = transfers.TransferThread()
    thread.start()
    yield thread.send_and_wait
    thread.stop()


@pytest.fixture(params=["gateway_call", "router_call"])
def call(request):
    """Sends an exchange through one of the users of libcurl."""
    return request.getfixturevalue(request.param)


@pytest.fixture
def gateway_stream():
    loop = loops.Loop(clocks.SystemClock())
    client = http_client.Client(loop)

    def stream(exchange):
        chunks, results = [], []
        transfer = client.start(exchange, results.append, chunks.append)
        lh.run_until(loop, lambda: results)
        return transfer.head.status, b"".join(chunks), results[0]

    yield stream
    client.close()
    loop.close()


@pytest.fixture
def router_stream():
    thread = transfers.TransferThread()
    thread.start()

    def stream(exchange):
        chunks = thread.open_stream(exchange)
        data = b""
        while got := chunks.read(lh.TIMEOUT_S):
            data += got
        return chunks.status, data, chunks.result

    yield stream
    thread.stop()


@pytest.fixture(params=["gateway_stream", "router_stream"])
def stream(request):
    """Reads a streamed reply: returns status, body and result."""
    return request.getfixturevalue(request.param)
