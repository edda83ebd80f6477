"""Memory and sound answers of a gateway beside peers that send many bytes.

The gateway, the endpoints and each group of callers are processes of their own,
so that no one's processor time counts as another's.
"""

import argparse
import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import socket
import subprocess
import sys
import tempfile
import time
from typing import NamedTuple

import h11

from bench import load
from soak import store

_HOST = "floods.example"
_KEY = "key-1"
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
_BLOCK = b"x" * (64 * 1024)
_SOUND_ANSWER = b"s" * (64 * 1024)
_SOUND_WORK_S = 0.05
_SOUND_CALLERS = 4
_DEADLINE_S = 4.0
_HEARTBEAT_S = 1.0
_SAMPLE_S = 0.02
_WARM_S = 2.0
_START_TIMEOUT_S = 20.0
_LARGE_BYTES = 4 * 1024 * 1024
# A caller's read between pauses, in bytes and seconds.
_SLOW_READ = (16 * 1024, 0.05)


class Flood(NamedTuple):
    """What the faulty endpoints answer, or what the harmful callers send.

    Attributes:
        callers: callers of the faulty endpoints, or harmful callers.
        head: the start of an answer.
        block: sent again and again after it; empty for silence.
        pause_s: time between two blocks.
        path: route that the callers use.
        body_bytes: size of the bodies that the callers send.
        reads_slowly: whether the callers read slowly.
    """

    callers: int
    head: bytes = b""
    block: bytes = b""
    pause_s: float = 0.0
    path: str = "/faulty/"
    body_bytes: int = 2
    reads_slowly: bool = False


def _head(status: int = 200, kind: str = "application/json") -> bytes:
    return (
        f"HTTP/1.1 {status} X\r\nRequest-Id: ID\r\nResponse-Stamp: s1\r\n"
        f"Content-Type: {kind}\r\n"
    ).encode()


_STREAM = _head(kind="text/event-stream") + b"\r\n"
_JUST_BELOW = b"x" * (16 * 1024 * 1024 - len(_BLOCK))
FLOODS = {
    "calm": Flood(0),
    "body": Flood(30, _head() + b"\r\n", _BLOCK),
    "body-500": Flood(30, _head(500) + b"\r\n", _BLOCK),
    "body-paced": Flood(30, _head() + b"\r\n", _BLOCK, 0.05),
    "body-then-silence": Flood(12, _head() + b"\r\n" + _JUST_BELOW),
    "head": Flood(30, _head(), b"X: y\r\n" * 10_000),
    "header-line": Flood(30, _head() + b"X: ", _BLOCK),
    "event": Flood(30, _STREAM, _BLOCK, 0.0, "/streamed/"),
    "comments": Flood(30, _STREAM, b": c\n" * 16_000, 0.0, "/streamed/"),
    "comment-blocks": Flood(
        30, _STREAM, b": c\n\n" * 13_000, 0.0, "/streamed/"
    ),
    "blank-lines": Flood(30, _STREAM, b"\n" * 65_536, 0.0, "/streamed/"),
    "events": Flood(30, _STREAM, b"data: e\n\n" * 7_000, 0.0, "/streamed/"),
    "half-events": Flood(
        100, _STREAM + b"data: " + b"x" * 900_000, b"", 0.0, "/streamed/"
    ),
    "uploads-5": Flood(5, path="/upload/", body_bytes=_LARGE_BYTES),
    "uploads-20": Flood(20, path="/upload/", body_bytes=_LARGE_BYTES),
    "uploads-80": Flood(80, path="/upload/", body_bytes=_LARGE_BYTES),
    "large-answers": Flood(20, path="/large/"),
    "slow-readers": Flood(20, path="/large/", reads_slowly=True),
}


async def _read_request(reader) -> dict[str, str] | None:
    """Reads a request whose body has a length; returns its headers."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    headers = {}
    for line in head.decode("latin-1").split("\r\n")[1:]:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    await reader.readexactly(int(headers.get("content-length", 0)))
    return headers


async def _serve_sound(reader, writer, body: bytes) -> None:
    while (headers := await _read_request(reader)) is not None:
        await asyncio.sleep(_SOUND_WORK_S)
        request_id = headers.get("request-id", "")
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n" % len(body)
            + f"Request-Id: {request_id}\r\nResponse-Stamp: s1\r\n".encode()
            + b"\r\n"
        )
        writer.write(body)
        await writer.drain()


async def _serve_flood(reader, writer, flood: Flood, count: list[int]) -> None:
    headers = await _read_request(reader)
    if headers is None:
        return
    count[0] += 1
    request_id = headers.get("request-id", "").encode()
    writer.write(flood.head.replace(b"ID", request_id, 1))
    while flood.block:
        writer.write(flood.block)
        await writer.drain()
        await asyncio.sleep(flood.pause_s)
    await writer.drain()
    await reader.read()


async def _run_endpoints(name: str) -> None:
    """Serves two endpoints of each kind and prints their addresses."""
    flood, count = FLOODS[name], [0]
    kinds = {
        "sound": lambda r, w: _serve_sound(r, w, _SOUND_ANSWER),
        "upload": lambda r, w: _serve_sound(r, w, b"ok"),
        "large": lambda r, w: _serve_sound(r, w, b"l" * _LARGE_BYTES),
        "faulty": lambda r, w: _serve_flood(r, w, flood, count),
    }
    addresses = {}
    for kind, serve in kinds.items():
        addresses[kind] = []
        for _ in range(2):
            server = await asyncio.start_server(
                _closing(serve), "127.0.0.1", 0, limit=2**24, backlog=512
            )
            port = server.sockets[0].getsockname()[1]
            addresses[kind].append(f"127.0.0.1:{port}")
    print(json.dumps(addresses), flush=True)
    await asyncio.to_thread(sys.stdin.read)
    print(json.dumps({"flooded": count[0]}), flush=True)


def _closing(serve):
    async def serve_and_close(reader, writer) -> None:
        try:
            await serve(reader, writer)
        except (OSError, EOFError):
            pass  # The gateway has closed the connection.
        finally:
            writer.transport.abort()

    return serve_and_close


class Sample(NamedTuple):
    """How a request of a caller ended; a status of 0 means no answer."""

    status: int
    elapsed_s: float
    is_whole: bool


async def _fetch(
    port: int, path: str, request_id: str, body_bytes: int, reads_slowly: bool
) -> Sample:
    began_at = time.monotonic()
    status, is_whole, writer = 0, False, None
    try:
        async with asyncio.timeout(_DEADLINE_S + 1.0):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(
                f"POST {path} HTTP/1.1\r\nHost: {_HOST}\r\n"
                f"Request-Id: {request_id}\r\nAuthorization: Bearer {_KEY}\r\n"
                f"Deadline-Ms: {int(_DEADLINE_S * 1000)}\r\n"
                f"Content-Length: {body_bytes}\r\n\r\n".encode()
            )
            writer.write(b"b" * body_bytes)
            status, is_whole = await _read_answer(reader, reads_slowly)
    except (OSError, TimeoutError, h11.ProtocolError):
        pass  # The sample says that the answer isn't whole.
    finally:
        if writer is not None:
            writer.transport.abort()
    return Sample(status, time.monotonic() - began_at, is_whole)


async def _read_answer(reader, reads_slowly: bool) -> tuple[int, bool]:
    conn = h11.Connection(h11.CLIENT)
    conn.send(h11.Request(method="GET", target="/", headers=[("Host", "h")]))
    conn.send(h11.EndOfMessage())
    status = 0
    size, pause_s = _SLOW_READ if reads_slowly else (2**18, 0.0)
    while True:
        event = conn.next_event()
        if event is h11.NEED_DATA:
            conn.receive_data(await reader.read(size))
            await asyncio.sleep(pause_s)
        elif isinstance(event, h11.Response):
            status = event.status_code
        elif not isinstance(event, h11.Data):
            return status, isinstance(event, h11.EndOfMessage)


async def _run_callers(
    port: int, count: int, path: str, body_bytes: int, reads_slowly: bool
) -> None:
    """Sends requests until its input ends, then prints the samples."""
    samples: list[Sample] = []
    ids = itertools.count(1)

    async def call_again() -> None:
        while True:
            request_id = f"{path.strip('/')}{next(ids)}"
            samples.append(
                await _fetch(port, path, request_id, body_bytes, reads_slowly)
            )
            if samples[-1].status != 200:
                await asyncio.sleep(0.05)

    tasks = [asyncio.create_task(call_again()) for _ in range(count)]
    await asyncio.to_thread(sys.stdin.read)
    for task in tasks:
        task.cancel()
    print(json.dumps(samples), flush=True)


class _Child:
    """A process with a role of this module."""

    def __init__(self, *args: str):
        self._process = subprocess.Popen(
            [sys.executable, "-m", "bench.byte_floods", *args],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )

    def read(self):
        """Returns the next document that the process prints."""
        return json.loads(self._process.stdout.readline())

    def end(self):
        """Ends the process and returns the last document it prints."""
        document, _ = self._process.communicate()
        return json.loads(document)


def _configuration() -> dict:
    def route(name: str, **changes) -> dict:
        return {
            "name": name,
            "host": _HOST,
            "path_prefix": f"/{name}/",
            "kind": "non_idempotent",
            "service": name,
            "timeout_ms": int(_DEADLINE_S * 1000),
            "target_latency_ms": 1000,
            "priority": 2,
            "max_attempts": 2,
            **changes,
        }

    streamed = route("streamed", kind="streaming", service="faulty")
    streamed |= {"sticky": True, "gap_aim_ms": 500}
    routes = [route(k) for k in ("sound", "upload", "large", "faulty")]
    return {
        "version": 7,
        "routes": [*routes, streamed],
        "services": [
            {"name": k} for k in ("sound", "upload", "large", "faulty")
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": _LARGE_BYTES,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "t1", "api_keys": [_KEY]}],
    }


def _free_ports(count: int) -> int:
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


class _Gateway:
    """One gateway process and the peak of its private memory."""

    def __init__(self, store_address: str, folder: pathlib.Path, memory: int):
        first = _free_ports(8)
        self.port, self._ready_port = first, first + 1
        bounds = {
            "drain_s": 2.0,
            "config_s": 2.0,
            "grace_s": 8,
            "retry_share": 0.2,
            "retry_fixed": 56,
            "retry_window_s": 10,
        }
        settings = {
            "host": "gw-0",
            "data_centre": "a",
            "caller_address": f"127.0.0.1:{first}",
            "ready_address": f"127.0.0.1:{first + 1}",
            "ip": "127.0.0.1",
            "peer_ports": [first + 3, first + 7],
            "metrics_port": first + 2,
            "store_address": store_address,
            "cores": 2,
            "core_share": 0.537,
            "bounds": bounds,
        }
        if memory:
            settings["memory_mb"] = memory
        path = folder / "gateway.json"
        path.write_text(json.dumps(settings))
        self._log = folder / "gateway.log"
        with self._log.open("wb") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "chervilarch.gateway_main"],
                env={**os.environ, "CHERVILARCH_SETTINGS": str(path)},
                stdout=log,
                stderr=log,
            )
        self.peak_bytes = 0

    async def wait_ready(self) -> None:
        """Waits until the gateway has its configuration.

        Raises:
            RuntimeError: it has ended.
            TimeoutError: it doesn't become ready.
        """
        async with asyncio.timeout(_START_TIMEOUT_S):
            while True:
                if self._process.poll() is not None:
                    raise RuntimeError(self._log.read_text())
                try:
                    reader, writer = await asyncio.open_connection(
                        "127.0.0.1", self._ready_port
                    )
                    writer.write(
                        b"GET /chervilarch/readiness HTTP/1.1\r\nHost: h\r\n"
                        b"Connection: close\r\n\r\n"
                    )
                    if b" 200 " in await reader.readline():
                        return
                except OSError:
                    pass  # It doesn't listen yet.
                await asyncio.sleep(0.1)

    async def watch(self) -> None:
        """Samples the private resident memory."""
        statm = pathlib.Path(f"/proc/{self._process.pid}/statm")
        while True:
            _, resident, shared, *_ = map(int, statm.read_text().split())
            private_bytes = (resident - shared) * _PAGE_BYTES
            self.peak_bytes = max(self.peak_bytes, private_bytes)
            await asyncio.sleep(_SAMPLE_S)

    def stop(self) -> None:
        """Kills the process."""
        self._process.kill()
        self._process.wait()


async def _write_heartbeats(
    own_store: store.StandInStore, addresses: dict[str, list[str]]
) -> None:
    born = int(time.time() * 1000)
    for sequence in itertools.count(1):
        for kind, listed in addresses.items():
            for number, address in enumerate(listed):
                entry = {
                    "service": kind,
                    "address": address,
                    "zone": "a",
                    "version": "1",
                    "slots": 128,
                    "state": "ready",
                    "cold_remaining_ms": 0,
                    "sequence": sequence,
                    "born": born,
                }
                await own_store.write(
                    store.ENDPOINTS_TOPIC,
                    f"i-{kind}{number}",
                    json.dumps(entry).encode(),
                )
        await asyncio.sleep(_HEARTBEAT_S)


async def measure(name: str, seconds: float, memory: int, log: str) -> str:
    """Plays one flood; returns a line with what was seen."""
    flood = FLOODS[name]
    endpoints = _Child("--endpoints", name)
    addresses = await asyncio.to_thread(endpoints.read)
    own_store = store.StandInStore()
    host, port = await own_store.start()
    await own_store.write(
        store.CONFIG_TOPIC, "config", json.dumps(_configuration()).encode()
    )
    heartbeats = asyncio.create_task(_write_heartbeats(own_store, addresses))
    with tempfile.TemporaryDirectory() as folder:
        gateway = _Gateway(f"{host}:{port}", pathlib.Path(folder), memory)
        await gateway.wait_ready()
        watch = asyncio.create_task(gateway.watch())
        sound = _Child("--callers", f"{gateway.port} {_SOUND_CALLERS} /sound/")
        await asyncio.sleep(_WARM_S)
        harmful = _Child(
            "--callers",
            f"{gateway.port} {flood.callers} {flood.path} {flood.body_bytes}"
            f"{' slow' if flood.reads_slowly else ''}",
        )
        await asyncio.sleep(seconds)
        other = [Sample(*s) for s in await asyncio.to_thread(harmful.end)]
        samples = [Sample(*s) for s in await asyncio.to_thread(sound.end)]
        flooded = (await asyncio.to_thread(endpoints.end))["flooded"]
        has_ended = watch.done()
        watch.cancel()
        heartbeats.cancel()
        gateway.stop()
        if log:
            text = (pathlib.Path(folder) / "gateway.log").read_bytes()
            pathlib.Path(log).write_bytes(text)
    times = [s.elapsed_s for s in samples]
    failed = [s.status for s in samples if s.status != 200 or not s.is_whole]
    statuses = sorted((s.status, s.is_whole) for s in other)
    counts = {k: len(list(g)) for k, g in itertools.groupby(statuses)}
    shown = " ".join(
        f"{status}{'' if is_whole else '-cut'}:{count}"
        for (status, is_whole), count in counts.items()
    )
    return (
        f"{name:18} peak {gateway.peak_bytes / 2**20:6.0f} MB"
        f"{' ENDED' if has_ended else ''}  sound {len(samples):5}"
        f" failed {len(failed):3}"
        f"  p50 {load.percentile(times, 50):.3f}"
        f" p99 {load.percentile(times, 99):.3f}"
        f" max {max(times, default=0.0):.3f} s"
        f"  sent to faulty {flooded}  others {shown or '-'}"
    )


def main() -> int:
    """Plays the floods that were asked for; returns the exit status."""
    parser = argparse.ArgumentParser(prog="bench.byte_floods")
    parser.add_argument("floods", nargs="*", metavar="FLOOD", default=[])
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--memory", type=int, default=0, help="memory_mb")
    parser.add_argument("--log", default="", help="keep the gateway's log here")
    parser.add_argument("--endpoints", help=argparse.SUPPRESS)
    parser.add_argument("--callers", help=argparse.SUPPRESS)
    args = parser.parse_args()
    if args.endpoints:
        asyncio.run(_run_endpoints(args.endpoints))
        return 0
    if args.callers:
        port, count, path, *rest = args.callers.split()
        asyncio.run(
            _run_callers(
                int(port),
                int(count),
                path,
                int(rest[0]) if rest else 2,
                "slow" in rest,
            )
        )
        return 0
    for name in args.floods or FLOODS:
        line = asyncio.run(measure(name, args.seconds, args.memory, args.log))
        print(line, flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
