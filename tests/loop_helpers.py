"""Helpers of the gateway's tests: loops, fakes and raw sockets."""

import contextlib
import random
import selectors
import socket
import threading
import time
from collections.abc import Callable

from chervilarch import (
    avoidances,
    clocks,
    endpoint_list,
    hosts,
    piece_queue,
    routing_table,
    store,
    tasks,
)
from chervilarch import loop as loops

# Time limit of waits; only a failing test reaches it.
TIMEOUT_S = 10.0


def new_loop() -> tuple[loops.Loop, clocks.ManualClock]:
    """Returns a loop and the manual clock that it uses."""
    clock = clocks.ManualClock()
    return loops.Loop(clock), clock


def new_avoidances(clock: clocks.Clock) -> avoidances.Avoidances:
    """Returns avoidances of no endpoint."""
    return avoidances.Avoidances(clock, random.Random(1), lambda: None)


def run_until(loop: loops.Loop, condition: Callable[[], bool]) -> None:
    """Runs the loop until a condition holds."""
    give_up_at = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < give_up_at, "the condition never held"
        loop.run_once(0.01)


def run_pending(loop: loops.Loop, rounds: int = 5) -> None:
    """Runs due callbacks, and those that these add, without waiting."""
    for _ in range(rounds):
        loop.run_once(0.0)


def advance(
    loop: loops.Loop, clock: clocks.ManualClock, seconds: float
) -> None:
    """Moves the clock in small steps and runs what becomes due."""
    steps = max(1, round(seconds / 0.01))
    for _ in range(steps):
        clock.advance(seconds / steps)
        run_pending(loop, 2)


def advance_until(
    loop: loops.Loop,
    clock: clocks.ManualClock,
    condition: Callable[[], bool],
) -> None:
    """Moves the clock in small steps until a condition holds."""
    run_until(loop, lambda: advance(loop, clock, 0.01) or condition())


def listing(
    name: str = "e1",
    pool: str = "p",
    state: str = "live",
    incarnation: int = 1,
    sequence: int = 1,
    address: str = "127.0.0.1:1",
    data_centre: str = "dc1",
) -> endpoint_list.Listing:
    """Returns an endpoint's listing."""
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
    """Returns a route with default values and some changes."""
    default = routing_table.Route(
        name="r",
        host="a.example",
        path_prefix="/x/",
        is_stream=False,
        retry_policy=routing_table.RetryPolicy.ANY,
        timeout_s=5.0,
        objective_s=1.0,
        gap_objective_s=0.5,
        priority=1,
        pools=(("p", 1.0),),
        max_attempts=2,
    )
    return default._replace(**changes)


def table(
    *routes: routing_table.Route,
    version: int = 1,
    pools: dict[str, routing_table.Pool] | None = None,
    accounts: dict[str, routing_table.Account] | None = None,
) -> routing_table.RoutingTable:
    """Returns a routing table."""
    return routing_table.RoutingTable(
        version,
        list(routes) or [route()],
        pools if pools is not None else {"p": routing_table.Pool("p")},
        accounts or {},
        routing_table.CallerLimits(16384, 1 << 20, 3.0, 15.0),
        accounts is not None,
    )


class FakeStore:
    """A store in memory, whose futures are resolved when returned.

    Attributes:
        log: all records of each topic.
        first: first offset that a topic still keeps; 0 by default.
        error: returned by all operations while it is set.
        calls: kinds of the reads so far.
        eras: has seen the era of all answers that weren't `error`.
    """

    def __init__(self, shared: "FakeStore | None" = None) -> None:
        """Creates a store, or one host's link to a store that hosts share."""
        self._shared = shared or self
        self.log: dict[store.Topic, list[store.Record]] = (
            shared.log if shared else {}
        )
        self.first: dict[store.Topic, int] = shared.first if shared else {}
        self.error: store.StoreError | None = None
        self.calls: list[str] = []
        self._era = 0
        self.eras = store.EraWatch()

    @property
    def era(self) -> int:
        """The era of all answers."""
        return self._shared._era

    def restore(self, copy_end: int, era: int) -> None:
        """Loses the records from `copy_end` on, of all topics."""
        for log in self.log.values():
            del log[copy_end:]
        self._shared._era = era

    def write(self, topic: store.Topic, key: str, value: bytes) -> None:
        """Appends a record, as the operators and endpoints do."""
        log = self.log.setdefault(topic, [])
        log.append(store.Record(len(log), key, value))

    def _in_era(self, records):
        return [record._replace(era=self.era) for record in records]

    def read_newest(self, topic, after, timeout_s):
        """Returns all newest values in one page."""
        self.calls.append("newest")
        if self.error:
            return tasks.done(self.error)
        self.eras.observe(self.era)
        log = self.log.get(topic, [])
        newest = {change.key: change for change in log}
        kept = self._in_era(c for c in newest.values() if c.value)
        return tasks.done(store.NewestPage(kept, False, len(log), self.era))

    def read_changes(self, topic, offset, wait_s):
        """Returns the records from an offset on, without waiting."""
        self.calls.append("changes")
        if self.error:
            return tasks.done(self.error)
        self.eras.observe(self.era)
        log = self.log.get(topic, [])
        if not self.first.get(topic, 0) <= offset <= len(log):
            return tasks.done(store.StoreError("dropped", is_dropped=True))
        records = self._in_era(log[offset:])
        return tasks.done(store.RecordPage(records, len(log), 0, self.era))

    def put(self, topic, key, value, timeout_s):
        """Appends a record that this system writes."""
        if self.error:
            return tasks.done(self.error)
        self.eras.observe(self.era)
        self.write(topic, key, value)
        return tasks.done(None)

    def append(self, topic, records, timeout_s, at=None):
        """Appends records that this system writes."""
        if self.error:
            return tasks.done(self.error)
        self.eras.observe(self.era)
        if at not in (None, len(self.log.get(topic, []))):
            return tasks.done(store.StoreError("conflict", is_conflict=True))
        for key, value in records:
            self.write(topic, key, value)
        return tasks.done(None)


def free_ports(count: int) -> int:
    """Returns the first of some consecutive ports free for TCP and UDP."""
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
                continue  # One of the ports is in use.
            return first


class RawServer:
    """A server that passes each connected socket to a function.

    The function runs in a new thread for each connection.
    """

    def __init__(self, serve: Callable[[socket.socket], None]):
        self._serve = serve
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.connections = 0
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def close(self) -> None:
        """Stops listening; a blocked accept would keep the port open."""
        if self._listener.fileno() < 0:
            return
        self._listener.shutdown(socket.SHUT_RDWR)
        self._thread.join(TIMEOUT_S)
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


def answer_with(data, seen=None):
    """Returns a function for `RawServer` that answers requests with data."""

    def serve(conn):
        request = read_request(conn)
        if seen is not None:
            seen.append(request)
        conn.sendall(data)

    return serve


def read_request(conn: socket.socket) -> bytes:
    """Reads a request's head and its body of Content-Length bytes."""
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
    """Returns a non-blocking connection to a local port."""
    conn = socket.create_connection(("127.0.0.1", port))
    conn.setblocking(False)
    return conn


def receive(
    loop: loops.Loop, conn: socket.socket, until: Callable[[bytes], bool]
) -> bytes:
    """Runs the loop until the data that a client received meets a condition.

    The end of the connection appends `b"<EOF>"` to the data.
    """
    got = bytearray()
    watcher = selectors.DefaultSelector()
    watcher.register(conn, selectors.EVENT_READ)

    def is_done() -> bool:
        if watcher.select(0):
            try:
                chunk = conn.recv(65536)
            except ConnectionResetError:
                chunk = b""
            got.extend(chunk or b"<EOF>")
            if not chunk:
                watcher.unregister(conn)
        return until(bytes(got))

    run_until(loop, is_done)
    return bytes(got)


WORKER_PROFILE = routing_table.WorkerProfile(
    max_calls=1,
    queue=2,
    batch=4,
    call_overhead_s=0.15,
    piece_s=0.03,
    result_memory_bytes=1000,
    result_ttl_s=4.0,
)


def piece_queue_of(*names, profile=WORKER_PROFILE, data_centres=()):
    """Returns a queue with endpoints of these names."""
    queue = piece_queue.PieceQueue("p", profile)
    data_centre_by_name = dict(zip(names, data_centres, strict=False))
    queue.set_endpoints(
        {
            name: listing(
                name, data_centre=data_centre_by_name.get(name, "dc1")
            )
            for name in names
        }
    )
    return queue
