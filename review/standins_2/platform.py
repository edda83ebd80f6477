"""Stand-in of the platform: its store, and the daemons as its processes."""

import asyncio
import base64
import collections
import json
import os
import pathlib
import random
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from urllib import parse

from review.standins_2 import http

ROOT = pathlib.Path(__file__).resolve().parents[2]
CONFIG = "keyed.op"
SERVERS = "keyed.servers"
CLIENT_PORT = 8625
READY_PORT = 8621
CONTROL_PORT = 8628
_PEER_PORTS = [7740, 7755]
_METRICS_PORT = 9464
_START_TIMEOUT_S = 20.0
GRACE_S = 8.0


class Record:
    """Writes what happened to a file, a line each."""

    def __init__(self, path: pathlib.Path):
        self._file = path.open("w", encoding="utf-8")
        self._began_at = time.monotonic()

    def write(self, event: str, **fields) -> None:
        """Writes a line with the seconds since the start."""
        at = time.monotonic() - self._began_at
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{at:8.3f} {event} {text}\n")
        self._file.flush()


class Store:
    """The platform's store: keyed topics in a log.

    Attributes:
        is_silent: whether calls are read and not answered.
    """

    def __init__(self) -> None:
        self._topics: dict[str, list[tuple[str, bytes]]] = (
            collections.defaultdict(list)
        )
        self._appended = asyncio.Condition()
        self.is_silent = False
        self.address = ""

    async def start(self) -> None:
        """Listens on loopback."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def write(self, topic: str, key: str, value: bytes) -> None:
        """Appends a record; an empty value removes the key."""
        async with self._appended:
            self._topics[topic].append((key, value))
            self._appended.notify_all()

    async def _serve(self, reader, writer) -> None:
        await http.serve_channel(reader, writer, self._handle)

    async def _handle(self, req: http.Request, writer) -> bool:
        path, _, text = req.target.partition("?")
        query = dict(parse.parse_qsl(text))
        status, body = await self._answer(path, query, req.body)
        if self.is_silent:
            await asyncio.sleep(30.0)
            return False
        writer.write(http.answer_bytes(status, {"Store-Era": "1"}, body))
        await writer.drain()
        return True

    async def _answer(
        self, path: str, query: dict[str, str], body: bytes
    ) -> tuple[int, bytes]:
        records = self._topics[query["topic"]]
        if path.endswith("log-newest"):
            newest = {key: n for n, (key, _) in enumerate(records)}
            items = [
                {
                    "key": key,
                    "value": base64.b64encode(records[n][1]).decode(),
                    "offset": n,
                }
                for key, n in newest.items()
                if records[n][1]
            ]
            page = {"items": items, "has_more": False, "end": len(records)}
            return 200, json.dumps(page).encode()
        if path.endswith("log-read"):
            return await self._read(records, query)
        if not path.endswith("log-append"):
            return 404, b"{}"
        size = body[4]
        await self.write(
            query["topic"], body[5 : 5 + size].decode(), body[5 + size :]
        )
        end = len(records)
        return 200, json.dumps({"offset": end - 1, "end": end}).encode()

    async def _read(self, records, query: dict[str, str]) -> tuple[int, bytes]:
        begin = int(query["from"])
        wait_s = float(query.get("wait_ms", 0)) / 1000
        if wait_s and begin == len(records):
            try:
                async with asyncio.timeout(wait_s), self._appended:
                    await self._appended.wait_for(lambda: len(records) > begin)
            except TimeoutError:
                pass
        if begin > len(records):
            return 410, json.dumps({"first": 0}).encode()
        body = struct.pack(">QQ", len(records), 0)
        for key, value in records[begin:]:
            data = bytes([len(key)]) + key.encode() + value
            body += struct.pack(">I", len(data)) + data
        return 200, body


class Daemon:
    """One daemon, started as the deploy file says."""

    def __init__(
        self, name: str, ip: str, zone: str, folder: pathlib.Path, seeds, store
    ):
        self.name = name
        self.ip = ip
        self.zone = zone
        self._log_path = folder / f"{name}.log"
        self._settings_path = folder / f"{name}.json"
        self._settings_path.write_text(
            json.dumps(_settings(name, ip, zone, seeds, store.address))
        )
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Starts the process."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        run = deploy["roles"]["gateway"]["run"].split()
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["CHERVILARCH_SETTINGS"] = str(self._settings_path)
        with self._log_path.open("ab") as log:
            self.process = subprocess.Popen(
                run, cwd=ROOT, env=env, stdout=log, stderr=log
            )

    def signal(self, number: int) -> None:
        """Signals the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self) -> None:
        """Ends the process for good."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def log_lines(self) -> list[str]:
        """Returns what the process has logged."""
        return self._log_path.read_text(errors="replace").splitlines()

    async def is_ready(self) -> bool:
        """Asks for readiness as the platform does."""
        channel = await http.connect(self.ip, READY_PORT)
        if channel is None:
            return False
        channel.send("GET", "/chervilarch/readiness", {"Host": "h"}, b"")
        try:
            async with asyncio.timeout(0.5):
                return (await channel.receive()).status == 200
        except TimeoutError:
            return False
        finally:
            channel.close()


def _settings(name, ip, zone, seeds, store_address) -> dict:
    """Returns what the platform makes of the template of the settings."""
    return {
        "host": name,
        "data_centre": zone,
        "caller_address": f"{ip}:{CLIENT_PORT}",
        "ready_address": f"{ip}:{READY_PORT}",
        "ip": ip,
        "peer_ports": _PEER_PORTS,
        "metrics_port": _METRICS_PORT,
        "store_address": store_address,
        "seeds": seeds,
        "cores": 2,
        "core_share": 0.537,
        "memory_mb": 300,
        "regions": {"a": "r", "b": "r"},
        "bounds": {
            "drain_s": 2000e-3,
            "config_s": 2000e-3,
            "grace_s": GRACE_S,
            "retry_share": 0.2,
            "retry_fixed": 52,
            "retry_window_s": 10,
        },
    }


def free_ips(count: int) -> list[str]:
    """Returns loopback addresses on which the daemons' ports are free."""
    found: list[str] = []
    while len(found) < count:
        ip = f"127.{random.randint(2, 250)}.{random.randint(1, 250)}.7"
        try:
            for port in (CLIENT_PORT, READY_PORT, CONTROL_PORT, _METRICS_PORT):
                with socket.socket() as sock:
                    sock.bind((ip, port))
        except OSError:
            continue
        if ip not in found:
            found.append(ip)
    return found


def create_daemons(
    zones: str, folder: pathlib.Path, store: Store
) -> list[Daemon]:
    """Returns a daemon for each zone; nothing is started."""
    ips = free_ips(len(zones))
    seeds = [f"{ip}:{CONTROL_PORT}" for ip in ips[:3]]
    return [
        Daemon(f"front-{n}", ip, zone, folder, seeds, store)
        for n, (ip, zone) in enumerate(zip(ips, zones, strict=True))
    ]


async def wait_until_ready(daemons: list[Daemon]) -> None:
    """Waits until all daemons are ready, and know each other.

    Raises:
        TimeoutError: one didn't become ready in time.
    """
    async with asyncio.timeout(_START_TIMEOUT_S):
        for daemon in daemons:
            while not await daemon.is_ready():
                await asyncio.sleep(0.1)
    await asyncio.sleep(2.0)


def configuration(routes: list[dict], services: list[dict]) -> bytes:
    """Returns a configuration record with one tenant."""
    document = {
        "version": 3,
        "routes": routes,
        "services": services,
        "tenants": [{"name": "crew", "api_keys": ["k1"], "priority": 1}],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }
    return json.dumps(document).encode()


def route(name: str, kind: str, service: str, **more) -> dict:
    """Returns a route for the paths that begin with its name."""
    return {
        "name": name,
        "host": "site.example",
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 15000,
        "target_latency_ms": 1000,
        "service": service,
        "max_attempts": 2,
        "priority": 1,
        **more,
    }


def client_headers(request_id: str, deadline_ms: int) -> dict[str, str]:
    """Returns the headers of a client's request."""
    return {
        "Host": "site.example",
        "Request-Id": request_id,
        "Deadline-Ms": str(deadline_ms),
        "Authorization": "Bearer k1",
    }


def play(run: Callable[[bool, pathlib.Path], Awaitable[int]]) -> int:
    """Plays a case; returns its exit status.

    Args:
        run: gets whether there is trouble, and a folder for the daemons.
    """
    # A time limit from outside must not leave daemons behind.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    has_trouble = os.environ.get("TROUBLE") != "0"
    with tempfile.TemporaryDirectory() as folder:
        try:
            return asyncio.run(run(has_trouble, pathlib.Path(folder)))
        except (TimeoutError, KeyboardInterrupt):
            return 2
