"""Tests of the gateway as a process: start, serving, shutdown."""

import base64
import collections
import contextlib
import functools
import json
import os
import queue
import resource
import signal
import socket
import struct
import subprocess
import sys
import threading
import time

import loop_helpers as lh
import pytest
from gateway_world import CALLER_LIMITS, answer, route_document

from chervilarch.exits import ExitStatus
from chervilarch.loop import PAUSE_S


class StoreServer:
    """A fake of the platform's store over HTTP."""

    def __init__(self):
        self.topics = collections.defaultdict(list)
        self.lock = threading.Lock()
        # Reads are answered while this is set.
        self.may_read = threading.Event()
        self.may_read.set()
        self.server = lh.RawServer(self.serve)

    def write(self, topic, key, value):
        with self.lock:
            self.topics[topic].append((key, value))

    def serve(self, conn):
        while request := lh.read_request(conn):
            line, _, rest = request.partition(b"\r\n")
            path, _, query = line.split(b" ")[1].decode().partition("?")
            fields = dict(pair.split("=") for pair in query.split("&"))
            body = rest.partition(b"\r\n\r\n")[2]
            conn.sendall(answer(200, self.reply(path, fields, body)))

    def reply(self, path, fields, body):
        topic = fields["topic"]
        if not path.endswith("log-append"):
            self.may_read.wait(lh.TIMEOUT_S)
        with self.lock:
            log = list(self.topics[topic])
        if path.endswith("log-newest"):
            items = [
                {"key": k, "value": base64.b64encode(v).decode(), "offset": n}
                for n, (k, v) in enumerate(log)
            ]
            page = {"items": items, "has_more": False, "end": len(log)}
            return json.dumps(page).encode()
        if path.endswith("log-read"):
            # Doesn't wait; a reply without records is like a wait that ends
            # without a change.
            records = b""
            for key, value in log[int(fields["from"]) :]:
                data = bytes([len(key)]) + key.encode() + value
                records += struct.pack(">I", len(data)) + data
            return struct.pack(">QQ", len(log), 0) + records
        size = body[4]
        self.write(topic, body[5 : 5 + size].decode(), body[5 + size :])
        return b'{"offset": 0, "end": 1}'


@pytest.fixture
def gateway(tmp_path, request):
    """A gateway; `request.param` is how many descriptors it may open."""
    store = StoreServer()
    ports = [lh.free_ports(1) for _ in range(3)]
    peer = lh.free_ports(5)
    settings = {
        "host": "n1",
        "data_centre": "dc1",
        "caller_address": f"127.0.0.1:{ports[0]}",
        "ready_address": f"127.0.0.1:{ports[1]}",
        "ip": "127.0.0.1",
        "peer_ports": [peer, peer + 4],
        "metrics_port": ports[2],
        "store_address": store.server.address,
        "bounds": {
            "drain_s": 2.0,
            "config_s": 2.0,
            "grace_s": 60.0,
            "retry_share": 0.2,
            "retry_fixed": 56.0,
            "retry_window_s": 10.0,
        },
    }
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(settings))
    config = {
        "version": 1,
        "routes": [route_document(timeout_ms=60_000)],
        "services": [{"name": "s1"}],
        "limits": CALLER_LIMITS,
    }
    store.write("keyed.op", "config", json.dumps(config).encode())
    limit = getattr(request, "param", None)
    process = subprocess.Popen(
        [sys.executable, "-m", "chervilarch.gateway_main"],
        env={**os.environ, "CHERVILARCH_SETTINGS": str(path)},
        stdout=subprocess.PIPE,
        preexec_fn=limit
        and functools.partial(
            resource.setrlimit, resource.RLIMIT_NOFILE, (limit, limit)
        ),
    )
    # Read all the while: lines that find the pipe full are dropped.
    process.lines = queue.SimpleQueue()
    reader = threading.Thread(target=read_lines, args=(process,))
    reader.start()
    yield process, store, ports
    if process.poll() is None:
        process.kill()
    process.wait()
    reader.join()
    process.stdout.close()
    store.server.close()


def read_lines(process):
    for line in process.stdout:
        process.lines.put(line)
    process.lines.put(b"")


def wait_for(process, event, **fields):
    """Reads log lines up to one with this event and these fields."""
    while line := process.lines.get():
        got = json.loads(line)
        if got["event"] == event and fields.items() <= got.items():
            return got
    raise AssertionError(f"the process ended without {event}")


def get(port, path="/x/1"):
    with socket.create_connection(("127.0.0.1", port), lh.TIMEOUT_S) as conn:
        conn.sendall(
            f"GET {path} HTTP/1.1\r\nHost: a.example\r\nRequest-Id: id1\r\n"
            "Connection: close\r\n\r\n".encode()
        )
        data = b""
        while chunk := conn.recv(65536):
            data += chunk
    return data


def wait_until_ready(port):
    for _ in range(10_000):
        if b" 200 " in get(port, "/chervilarch/readiness"):
            return
    raise AssertionError("the gateway never became ready")


def wait_until_refused(port):
    for _ in range(100_000):
        try:
            get(port)
        except ConnectionRefusedError:
            return
        except ConnectionError:
            pass  # Accepted just before the listener was closed.
    raise AssertionError("the gateway never stopped listening")


def test_serves_and_finishes_requests_on_shutdown(gateway):
    process, store, ports = gateway
    began, may_finish = threading.Event(), threading.Event()

    def serve(conn):
        request = lh.read_request(conn)
        if b"/x/slow" in request:
            began.set()
            may_finish.wait(lh.TIMEOUT_S)
        conn.sendall(answer())

    endpoint = lh.RawServer(serve)
    entry = {
        "service": "s1",
        "address": endpoint.address,
        "zone": "dc1",
        "slots": 8,
        "state": "ready",
        "sequence": 1,
        "born": 1,
    }
    store.write("keyed.servers", "e1", json.dumps(entry).encode())
    wait_for(process, "endpoint listed", endpoint="e1")
    wait_until_ready(ports[1])
    assert b" 200 " in get(ports[1], "/chervilarch/readiness").split(b"\r\n")[0]
    assert b" 200 " in get(ports[0]).split(b"\r\n")[0]
    assert b"chervilarch_requests_total" in get(ports[2], "/metrics")
    slow = []
    caller = threading.Thread(
        target=lambda: slow.append(get(ports[0], "/x/slow"))
    )
    caller.start()
    assert began.wait(lh.TIMEOUT_S)
    process.send_signal(signal.SIGTERM)
    wait_for(process, "drain started")
    assert b" 503 " in get(ports[1], "/chervilarch/readiness").split(b"\r\n")[0]
    assert b" 200 " in get(ports[0]).split(b"\r\n")[0]
    wait_until_refused(ports[0])
    assert process.poll() is None
    may_finish.set()
    caller.join(lh.TIMEOUT_S)
    assert slow[0].endswith(b"out")
    wait_for(process, "gateway stopped")
    assert process.wait(lh.TIMEOUT_S) == 0
    endpoint.close()


@pytest.mark.parametrize("gateway", [128], indirect=True)
def test_idle_callers_leave_descriptors_for_the_requests_of_others(gateway):
    process, store, ports = gateway
    endpoint = lh.RawServer(lh.answer_with(answer()))
    entry = {
        "service": "s1",
        "address": endpoint.address,
        "zone": "dc1",
        "slots": 8,
        "state": "ready",
        "sequence": 1,
        "born": 1,
    }
    store.write("keyed.servers", "e1", json.dumps(entry).encode())
    wait_for(process, "endpoint listed", endpoint="e1")
    wait_until_ready(ports[1])
    with contextlib.ExitStack() as idle:
        for _ in range(200):
            idle.enter_context(lh.connect(ports[0]))
        assert get(ports[0]).endswith(b"out")
    endpoint.close()


def test_a_request_that_the_grace_period_would_cut_off_is_refused(gateway):
    process, store, ports = gateway
    seen = []
    endpoint = lh.RawServer(lh.answer_with(answer(), seen))
    entry = {
        "service": "s1",
        "address": endpoint.address,
        "zone": "dc1",
        "slots": 8,
        "state": "ready",
        "sequence": 1,
        "born": 1,
    }
    store.write("keyed.servers", "e1", json.dumps(entry).encode())
    wait_for(process, "endpoint listed", endpoint="e1")
    wait_until_ready(ports[1])
    with socket.create_connection(
        ("127.0.0.1", ports[0]), lh.TIMEOUT_S
    ) as kept:

        def ask(path):
            kept.sendall(
                f"POST {path} HTTP/1.1\r\nHost: a.example\r\n"
                "Request-Id: id1\r\nContent-Length: 0\r\n\r\n".encode()
            )
            head = b""
            while b"\r\n\r\n" not in head:
                head += kept.recv(65536)
            head, _, body = head.lower().partition(b"\r\n\r\n")
            length = int(head.split(b"content-length: ")[1].split(b"\r\n")[0])
            while len(body) < length:
                body += kept.recv(65536)
            return head + b"\r\n"

        # Nothing is known of the route's times, and its time-out lies beyond
        # the end of the grace period.
        assert b" 404 " in ask("/unknown/")
        process.send_signal(signal.SIGTERM)
        wait_for(process, "drain started")
        for received in (ask("/x/1"), get(ports[0]).lower()):
            assert received.startswith(b"http/1.1 503 ")
            # The balancer has no other host, and notices the stop later.
            retry_after = received.split(b"retry-after: ")[1]
            assert float(retry_after.split(b"\r\n")[0]) > 0
            assert b"connection: close\r\n" in received
    wait_for(process, "gateway stopped")
    assert process.wait(lh.TIMEOUT_S) == 0
    assert not seen
    endpoint.close()


def test_signals_during_exit_do_not_change_the_status(gateway):
    process, _, _ = gateway
    wait_for(process, "readiness changed", ready=True)
    process.send_signal(signal.SIGTERM)
    wait_for(process, "gateway stopped")
    while process.poll() is None:
        process.send_signal(signal.SIGHUP)
    assert process.returncode == 0


def test_many_reload_signals_do_not_end_the_process(gateway):
    process, _, ports = gateway
    wait_for(process, "readiness changed", ready=True)
    stopped = threading.Event()

    def send_reloads():
        while process.poll() is None and not stopped.is_set():
            process.send_signal(signal.SIGHUP)

    senders = [threading.Thread(target=send_reloads) for _ in range(2)]
    for sender in senders:
        sender.start()
    wait_for(process, "settings read again")
    assert b" 200 " in get(ports[1], "/chervilarch/readiness").split(b"\r\n")[0]
    process.send_signal(signal.SIGTERM)
    status = process.wait(lh.TIMEOUT_S)
    stopped.set()
    for sender in senders:
        sender.join(lh.TIMEOUT_S)
    assert status == 0


def test_reload_signal_during_start_does_not_end_the_process(tmp_path):
    path = tmp_path / "settings.json"
    os.mkfifo(path)
    process = subprocess.Popen(
        [sys.executable, "-m", "chervilarch.gateway_main", "--check"],
        env={**os.environ, "CHERVILARCH_SETTINGS": str(path)},
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    # Opening the pipe blocks until the process reads its settings, which is
    # before it serves.
    with open(path, "w") as settings:
        process.send_signal(signal.SIGHUP)
        settings.write("{}")
    assert process.wait(lh.TIMEOUT_S) == ExitStatus.BAD_SETTINGS


def test_a_stopped_process_does_not_serve_by_the_configuration_of_before(
    gateway,
):
    process, store, ports = gateway
    seen = []
    endpoint = lh.RawServer(lh.answer_with(answer(), seen))
    entry = {
        "service": "s1",
        "address": endpoint.address,
        "zone": "dc1",
        "slots": 8,
        "state": "ready",
        "sequence": 1,
        "born": 1,
    }
    store.write("keyed.servers", "e1", json.dumps(entry).encode())
    wait_for(process, "endpoint listed", endpoint="e1")
    wait_until_ready(ports[1])
    assert b" 200 " in get(ports[0]).split(b"\r\n")[0]
    seen.clear()
    store.may_read.clear()
    process.send_signal(signal.SIGSTOP)
    os.waitid(os.P_PID, process.pid, os.WSTOPPED | os.WNOWAIT)
    config = {
        "version": 2,
        "routes": [route_document(path_prefix="/other/")],
        "services": [{"name": "s1"}],
        "limits": CALLER_LIMITS,
    }
    store.write("keyed.op", "config", json.dumps(config).encode())
    answers = []
    caller = threading.Thread(target=lambda: answers.append(get(ports[0])))
    caller.start()
    # Longer than the time from which the process counts as paused.
    time.sleep(2 * PAUSE_S)
    process.send_signal(signal.SIGCONT)
    wait_for(process, "process was paused")
    # The request that waited is read before these.
    for _ in range(5):
        get(ports[1], "/chervilarch/readiness")
    store.may_read.set()
    caller.join(lh.TIMEOUT_S)
    assert b" 404 " in answers[0].split(b"\r\n")[0]
    assert not seen
    endpoint.close()
