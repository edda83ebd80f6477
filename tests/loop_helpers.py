"""What the tests of the gateway share: loops, fakes and raw sockets."""

import contextlib
import selectors
import socket
import threading
import time
from collections.abc import Callable

from chervilarch import (
    clocks,
    endpoint_list,
    hosts,
    piece_queue,
    routing_table,
    store,
    tasks,
)
from chervilarch import loop as loops

# No test waits so long unless it fails.
GUARD_S = 10.0


def new_loop() -> tuple[loops.Loop, clocks.ManualClock]:
    """Returns a loop whose time moves only when told to."""
    clock = clocks.ManualClock()
    return loops.Loop(clock), clock


def run_until(loop: loops.Loop, condition: Callable[[], bool]) -> None:
    """Runs rounds until a condition holds."""
    guard = time.monotonic() + GUARD_S
    while not condition():
        assert time.monotonic() < guard, "the condition never held"
        loop.run_once(0.01)


def settle(loop: loops.Loop, rounds: int = 5) -> None:
    """Runs the callbacks that are due, and those that they bring about."""
    for _ in range(rounds):
        loop.run_once(0.0)


def advance(
    loop: loops.Loop, clock: clocks.ManualClock, seconds: float
) -> None:
    """Moves the clock in small steps and runs what becomes due."""
    steps = max(1, round(seconds / 0.01))
    for _ in range(steps):
        clock.advance(seconds / steps)
        settle(loop, 2)


def listing(
    name: str = "e1",
    pool: str = "p",
    state: str = "live",
    incarnation: int = 1,
    sequence: int = 1,
    address: str = "127.0.0.1:1",
    data_centre: str = "dc1",
) -> endpoint_list.Listing:
    """Returns an endpoint's record."""
    entry = hosts.HostEntry(
        name,
        address,
        hosts.ROLE_ENDPOINT,
        pool,
        data_centre,
        state,
        incarnation,
    )
    return endpoint_list.Listing(entry, sequence)


def route(**changes) -> routing_table.Route:
    """Returns a route with ordinary values."""
    plain = routing_table.Route(
        name="r",
        host="a.example",
        path_prefix="/x/",
        is_stream=False,
        repeat=routing_table.Repeat.ANY,
        timeout_s=5.0,
        objective_s=1.0,
        gap_objective_s=0.5,
        priority=1,
        pools=(("p", 1.0),),
        max_attempts=2,
    )
    return plain._replace(**changes)


def table(
    *routes: routing_table.Route,
    version: int = 1,
    pools: dict[str, routing_table.Pool] | None = None,
    accounts: dict[str, routing_table.Account] | None = None,
) -> routing_table.RoutingTable:
    """Returns a configuration."""
    return routing_table.RoutingTable(
        version,
        list(routes) or [route()],
        pools if pools is not None else {"p": routing_table.Pool("p")},
        accounts or {},
        routing_table.CallerLimits(16384, 1 << 20, 3.0, 15.0),
        accounts is not None,
    )


class FakeStore:
    """A store in memory; futures are resolved at once.

    Attributes:
        error: returned by every call while it is set.
    """

    def __init__(self) -> None:
        self.log: dict[store.Topic, list[store.Change]] = {}
        self.first: dict[store.Topic, int] = {}
        self.error: store.StoreError | None = None
        self.calls: list[str] = []

    def write(self, topic: store.Topic, key: str, value: bytes) -> None:
        """Writes a record, as the operators and endpoints do."""
        log = self.log.setdefault(topic, [])
        log.append(store.Change(len(log), key, value))

    def read_newest(self, topic, after, timeout_s):
        """Reads the newest values in one page."""
        self.calls.append("newest")
        if self.error:
            return tasks.done(self.error)
        log = self.log.get(topic, [])
        newest = {change.key: change for change in log}
        kept = [change for change in newest.values() if change.value]
        return tasks.done(store.NewestPage(kept, False, len(log)))

    def read_changes(self, topic, offset, wait_s):
        """Reads the changes from an offset; never waits."""
        self.calls.append("changes")
        if self.error:
            return tasks.done(self.error)
        if offset < self.first.get(topic, 0):
            return tasks.done(store.StoreError("dropped", is_dropped=True))
        log = self.log.get(topic, [])
        return tasks.done(store.Changes(log[offset:], len(log), 0))

    def put(self, topic, key, value, timeout_s):
        """Writes a record of the system's own."""
        if self.error:
            return tasks.done(self.error)
        self.write(topic, key, value)
        return tasks.done(None)


def free_ports(count: int) -> int:
    """Returns the first of consecutive ports that are free by TCP and UDP."""
    while True:
        with contextlib.ExitStack() as stack:
            first = 0
            try:
                for number in range(count):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        sock = stack.enter_context(socket.socket(type=kind))
                        sock.bind(("127.0.0.1", first and first + number))
                        first = first or sock.getsockname()[1]
            except (OSError, OverflowError):
                continue  # A port on the way is taken.
            return first


class RawServer:
    """A stand-in that answers each connection by a function on raw bytes.

    The function takes the connected socket; it runs in a thread of its own.
    """

    def __init__(self, serve: Callable[[socket.socket], None]):
        self._serve = serve
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.connections = 0
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def close(self) -> None:
        """Stops listening; a waiting accept would keep the port open."""
        if self._listener.fileno() < 0:
            return
        self._listener.shutdown(socket.SHUT_RDWR)
        self._thread.join(GUARD_S)
        self._listener.close()

    def _run(self) -> None:
        while True:
            try:
                conn, _ = self._listener.accept()
            except OSError:
                return
            self.connections += 1
            threading.Thread(
                target=self._serve_one, args=(conn,), daemon=True
            ).start()

    def _serve_one(self, conn: socket.socket) -> None:
        with conn:
            try:
                self._serve(conn)
            except OSError:
                return


def serving_with(data, seen=None):
    """Returns what serves a connection: reads a request, answers with data."""

    def serve(conn):
        request = read_request(conn)
        if seen is not None:
            seen.append(request)
        conn.sendall(data)

    return serve


def read_request(conn: socket.socket) -> bytes:
    """Reads a request's head and its body by length."""
    data = b""
    while b"\r\n\r\n" not in data:
        chunk = conn.recv(65536)
        if not chunk:
            return data
        data += chunk
    head, _, body = data.partition(b"\r\n\r\n")
    length = 0
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            length = int(line.split(b":")[1])
    while len(body) < length:
        body += conn.recv(65536)
    return head + b"\r\n\r\n" + body


def connect(port: int) -> socket.socket:
    """Returns a client's connection to a server of the test's own."""
    conn = socket.create_connection(("127.0.0.1", port))
    conn.setblocking(False)
    return conn


def receive(
    loop: loops.Loop, conn: socket.socket, until: Callable[[bytes], bool]
) -> bytes:
    """Runs the loop until what a client has read satisfies a condition.

    The empty read at the end of a connection is told by `b"<EOF>"`.
    """
    got = bytearray()
    watcher = selectors.DefaultSelector()
    watcher.register(conn, selectors.EVENT_READ)

    def is_enough() -> bool:
        if watcher.select(0):
            try:
                chunk = conn.recv(65536)
            except ConnectionResetError:
                chunk = b""
            got.extend(chunk or b"<EOF>")
            if not chunk:
                watcher.unregister(conn)
        return until(bytes(got))

    run_until(loop, is_enough)
    return bytes(got)


PIECE_LIMITS = routing_table.PieceLimits(
    slots=1,
    queue=2,
    batch=4,
    call_s=0.15,
    piece_s=0.03,
    room_bytes=1000,
    kept_s=4.0,
)


def piece_queue_of(*names, limits=PIECE_LIMITS, data_centres=()):
    """Returns a queue with endpoints of these names."""
    queue = piece_queue.PieceQueue("p", limits)
    places = dict(zip(names, data_centres, strict=False))
    queue.set_endpoints(
        {
            name: listing(name, data_centre=places.get(name, "dc1"))
            for name in names
        }
    )
    return queue
