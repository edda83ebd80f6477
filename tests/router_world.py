"""A router in this process, with its platform and endpoints in threads."""

import io
import json
import re
import socket
import threading
import time

import loop_helpers as lh
import uuid6

from chervilarch import clocks, environment, keys, router, settings

KEY = "caller-key"
POOLS = {
    "encode": {"protocol": "call", "path": "/encode", "repeatable": True},
    "book": {"protocol": "call", "path": "/book", "repeatable": False},
    "generate": {"protocol": "stream", "path": "/gen", "repeatable": True},
}
_ROW = {
    "account": "*",
    "deadline_s": 8,
    "priority": 3,
    "limit_per_s": 1e6,
    "from": "00:00",
    "until": "24:00",
}
# The longest wait of a read of the log; shorter than the router asks for.
_READ_WAIT_S = 0.05


def configuration():
    """Returns a configuration with a pipeline for each pool."""
    return {
        "time_zone": "UTC",
        "pools": POOLS,
        "accounts": {"a": {"key_sha256": keys.key_digest(KEY), "weight": 1}},
        "pipelines": {name: {"stages": [name]} for name in POOLS},
        "schedule": {name: {"pipeline": name, **_ROW} for name in POOLS},
    }


class Platform:
    """The log and the host list."""

    def __init__(self):
        publish = {"publish_id": "p", "base_version": -1, "author": "a"}
        patch = [
            {"op": "add", "path": f"/{name}", "value": value}
            for name, value in configuration().items()
        ]
        body = {**publish, "kind": "publish", "patch": patch}
        self._streams = {"configuration": [body], "calls": []}
        self._appended = threading.Condition()
        self.hosts = []
        self._server = lh.RawServer(self._serve)
        self.address = self._server.address

    def close(self):
        """Stops listening."""
        self._server.close()

    def _serve(self, conn):
        while data := lh.read_request(conn):
            head, _, body = data.partition(b"\r\n\r\n")
            target = head.split(b" ")[1].decode()
            document = json.dumps(self._answer(target, body)).encode()
            conn.sendall(
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(document)
                + document
            )

    def _answer(self, target, body):
        if target == "/hosts":
            return {"hosts": self.hosts}
        stream = self._streams[target.split("/")[2]]
        with self._appended:
            if body:
                stream += json.loads(body)["records"]
                self._appended.notify_all()
                return {"offset": len(stream) - 1}
            start = int(re.search(r"from=(\d+)", target)[1])
            self._appended.wait_for(lambda: len(stream) > start, _READ_WAIT_S)
            return {
                "first_offset": 0,
                "next_offset": len(stream),
                "records": [
                    {"offset": offset, "time": time.time(), "body": record}
                    for offset, record in enumerate(stream)
                ][start:],
                "time": time.time(),
                "retention_s": 7200.0,
            }


class RouterWorld:
    """A running router; tests add endpoints and send requests."""

    def __init__(self):
        self.platform = Platform()
        port = lh.free_ports(2)
        self._address = ("127.0.0.1", port)
        cfg = settings.Settings(
            "r1",
            "a",
            f"127.0.0.1:{port}",
            f"127.0.0.1:{port + 1}",
            self.platform.address,
            self.platform.address,
            "peer-key-of-the-test",
            "",
            bounds=settings.Bounds(threads=24, drain_notice_s=0.0),
        )
        env = environment.Environment(
            io.StringIO(), io.StringIO(), io.StringIO(), clocks.SystemClock()
        )
        self.router = router.Router(cfg, env)
        self.ctrl = self.router._ctrl
        self._servers = []
        self._has_ended = False
        self.router.start()

    def endpoint(self, pool, serve):
        """Adds an endpoint and waits until the router knows it."""
        self._servers.append(lh.RawServer(serve))
        address = self._servers[-1].address
        entry = {
            "name": f"e{len(self._servers)}",
            "address": address,
            "role": "endpoint",
            "pool": pool,
            "data_centre": "a",
            "state": "live",
            "incarnation": 1,
        }
        self.platform.hosts = [*self.platform.hosts, entry]
        self.wait_until(
            lambda: (
                self.ctrl.rules.ruleset is not None
                and not self.ctrl.calls.is_catching_up()
                and self.ctrl.calls.is_current()
                and address in self.ctrl.endpoints._endpoints
            )
        )
        return address

    def wait_until(self, condition):
        """Waits until a condition holds."""
        give_up_at = time.monotonic() + lh.TIMEOUT_S
        while not condition():
            assert time.monotonic() < give_up_at, "the condition never held"
            time.sleep(0.005)

    def send(self, pipeline, key="", stream=False, headers=()):
        """Sends a request and returns its connection."""
        body = {"input": "p", "stream": stream, "max_tokens": 4}
        data = json.dumps(body).encode()
        lines = [
            f"POST /v1/pipelines/{pipeline}/runs HTTP/1.1",
            "Host: h",
            "Connection: close",
            f"Authorization: Bearer {KEY}",
            f"Content-Length: {len(data)}",
            *headers,
        ]
        if key:
            lines.append(f"Idempotency-Key: {key}")
        conn = socket.create_connection(self._address, lh.TIMEOUT_S)
        conn.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
        return conn

    def fetch(self, *args, **kwargs):
        """Sends a request; returns its status and the rest of the answer."""
        with self.send(*args, **kwargs) as conn:
            data = b""
            while chunk := conn.recv(65536):
                data += chunk
        return int(data.split(b" ")[1]), data.partition(b"\r\n\r\n")[2]

    def stop(self):
        """Stops the router; idempotent."""
        if not self._has_ended:
            self._has_ended = True
            self.router.request_stop()
            self.router.run()

    def close(self):
        """Stops everything."""
        self.stop()
        for server in self._servers:
            server.close()
        self.platform.close()


def new_key():
    """Returns an Idempotency-Key."""
    return str(uuid6.uuid7())


def attempt_of(request):
    """Returns the attempt's id in a request that an endpoint has read."""
    body = request.partition(b"\r\n\r\n")[2]
    return json.loads(body)["attempt_id"]


def answering(output="done", status=200, size=None, **fields):
    """Returns a function for endpoints that answer a call."""

    def serve(conn):
        while data := lh.read_request(conn):
            body = {"attempt_id": attempt_of(data), "output": output, **fields}
            reply = json.dumps(body).encode()
            conn.sendall(
                b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n"
                % (status, size or len(reply))
                + reply
            )

    return serve


def token(attempt, index):
    """Returns a token event."""
    data = {"attempt_id": attempt, "index": index, "text": "t"}
    return b"event: token\ndata: %s\n\n" % json.dumps(data).encode()


def streaming(first, last, is_whole=True, then=None):
    """Returns a function for endpoints that stream some of four tokens."""

    def serve(conn):
        attempt = attempt_of(lh.read_request(conn))
        conn.sendall(
            b"HTTP/1.1 200 X\r\nContent-Type: text/event-stream\r\n"
            b"Connection: close\r\n\r\n"
        )
        for index in range(first, last):
            conn.sendall(token(attempt, index))
        if is_whole:
            data = json.dumps({"attempt_id": attempt, "tokens": last}).encode()
            conn.sendall(b"event: end\ndata: %s\n\n" % data)
        if then is not None:
            then.wait(lh.TIMEOUT_S)

    return serve
