"""A gateway with a fake store and fake endpoints, for end-to-end tests."""

import json

import loop_helpers as lh

from chervilarch import (
    byte_room,
    clocks,
    gateway,
    gateway_settings,
    http_client,
    http_server,
    memory_limits,
    serving,
    store,
    telemetry,
)
from chervilarch import loop as loops

CALLER_LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 4194304,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}
BOUNDS = gateway_settings.GatewayBounds(2.0, 2.0, 8.0, 0.2, 56.0, 10.0)
TENANTS = ({"name": "t1", "api_keys": ["k1"]},)
KEY = ("Authorization", "Bearer k1")


class World:
    """A gateway on loopback with a fake store and fake endpoints."""

    def __init__(self, source=None, clock=None, **settings):
        self.loop = loops.Loop(clock or clocks.SystemClock())
        self.store = source or lh.FakeStore()
        self.servers = []
        port = lh.free_ports(5)
        cfg = self.settings((port, port + 4))._replace(**settings)
        self.meters = telemetry.Telemetry()
        client = http_client.Client(self.loop)
        self.ctrl = gateway.build_controllers(
            cfg, self.loop, self.meters, client, self.store
        )
        self.serving_state = serving.ServingState()
        self.handler = serving.CallerHandler(self.ctrl, self.serving_state)
        self.server = http_server.Server(
            self.loop,
            "127.0.0.1:0",
            self.handler,
            answer_room=client.room,
            body_room=byte_room.Room(memory_limits.room_bounds(0.0)),
            count_slow_caller=self.meters.count_slow_caller,
        )

    @staticmethod
    def settings(peer_ports):
        return gateway_settings.GatewaySettings(
            "n1",
            "dc1",
            "127.0.0.1:0",
            "127.0.0.1:0",
            "127.0.0.1",
            peer_ports,
            0,
            "127.0.0.1:1",
            "test",
            (),
            0.0,
            1.0,
            0.0,
            BOUNDS,
        )

    def close(self):
        self.server.stop_accepting()
        self.ctrl.stage_coordinator.close()
        self.ctrl.sharing.close()
        self.ctrl.advisories.close()
        self.ctrl.permits.close()
        for server in self.servers:
            server.close()
        self.ctrl.client.close()
        self.loop.close()

    def endpoint(self, name, serve, pool="s1", **fields):
        """Starts a fake endpoint and writes its entry to the store."""
        server = lh.RawServer(serve)
        self.servers.append(server)
        entry = {
            "service": pool,
            "address": server.address,
            "zone": "dc1",
            "slots": 8,
            "state": "ready",
            "sequence": 1,
            "born": 1,
            **fields,
        }
        self.store.write(
            store.Topic.ENDPOINTS, name, json.dumps(entry).encode()
        )
        return server

    def hide_endpoint(self, name, pool="s1"):
        """Removes an entry; returns a function that has it listed again."""
        records = self.store.log[store.Topic.ENDPOINTS]
        entry = json.loads(
            next(r.value for r in reversed(records) if r.key == name)
        )
        entry["sequence"] += 1
        has_endpoint = self.ctrl.placement.has_endpoint

        def show():
            self.store.write(
                store.Topic.ENDPOINTS, name, json.dumps(entry).encode()
            )
            lh.run_until(self.loop, lambda: has_endpoint(pool, None))

        self.store.write(store.Topic.ENDPOINTS, name, b"")
        lh.run_until(self.loop, lambda: not has_endpoint(pool, None))
        return show

    def start(self, *routes, services=({"name": "s1"},), tenants=TENANTS):
        config = {
            "version": 1,
            "routes": list(routes),
            "services": list(services),
            "limits": CALLER_LIMITS,
        }
        if tenants:
            config["tenants"] = list(tenants)
        self.store.write(
            store.Topic.CONFIGURATION, "config", json.dumps(config).encode()
        )
        self.ctrl.configuration.topic_follower._pause_s = 0.05
        self.ctrl.configuration.topic_follower.start()
        self.ctrl.endpoints.topic_follower.start()
        self.ctrl.versions.start()

    def send(
        self,
        *headers,
        method="POST",
        path="/x/1",
        body=b"in",
        deadline_ms=5000,
    ):
        conn = lh.connect(self.server.port)
        lines = [
            f"{method} {path} HTTP/1.1",
            "Host: a.example",
            "Request-Id: id1",
            f"Deadline-Ms: {deadline_ms}",
            f"Content-Length: {len(body)}",
            *(f"{name}: {value}" for name, value in headers),
        ]
        conn.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        return conn

    def fetch(self, *headers, **changes):
        """Sends a request and returns all bytes of the answer."""
        conn = self.send(("Connection", "close"), *headers, **changes)
        received = lh.receive(self.loop, conn, lambda data: b"<EOF>" in data)
        return received.removesuffix(b"<EOF>")


def route_document(**changes):
    return {
        "name": "r1",
        "host": "a.example",
        "path_prefix": "/x/",
        "kind": "safe",
        "timeout_ms": 4000,
        "target_latency_ms": 1000,
        "service": "s1",
        "max_attempts": 2,
        **changes,
    }


def stream_route_document(**changes):
    return route_document(
        kind="streaming", resumable=True, gap_aim_ms=500, sticky=True, **changes
    )


def answer(
    status=200,
    body=b"out",
    request_id="id1",
    stamp="s1",
    extra="",
    missing=0,
):
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body) + missing}\r\n"
    if request_id:
        head += f"Request-Id: {request_id}\r\n"
    if stamp:
        head += f"Response-Stamp: {stamp}\r\n"
    return f"{head}{extra}\r\n".encode() + body


def decline(seen=None):
    data = answer(503, b"", stamp="", extra="Not-Executed: 1\r\n")
    return lh.answer_with(data, seen)


def status(received):
    return int(received.split(b" ")[1])


def events(first, last):
    return b"".join(
        b"id: %d\ndata: e%d\n\n" % (n, n) for n in range(first, last + 1)
    )


def stream(data, ends=True):
    head = (
        b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        b"Request-Id: id1\r\nResponse-Stamp: s1\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n"
    )
    chunk = b"%x\r\n%s\r\n" % (len(data), data)
    return head + chunk + (b"0\r\n\r\n" if ends else b"")


def read_status(world, conn):
    """Waits for an answer on a connection and returns its status."""
    conn.setblocking(False)
    data = bytearray()

    def has_status_line():
        try:
            data.extend(conn.recv(65536))
        except BlockingIOError:
            pass
        return b"\r\n" in data

    lh.run_until(world.loop, has_status_line)
    return status(bytes(data))
