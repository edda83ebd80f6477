"""Stand-ins of the cases: gateways as processes, servers, clients, a store.

The store is the soak's (`soak.store`). Servers and clients are written anew and
do only what the users' pages name.
"""

import asyncio
import itertools
import json
import os
import pathlib
import signal
import subprocess
import tempfile
import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import h11

from soak import store, wire

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "pule25.example"
KEY = "9dnn2ctnfzs989anu6ws"
TENANT = "bozi300"
HEARTBEAT_S = 1.2
_CALLER_PORT = 8625
_READY_PORT = 8621
_CONTROL_PORT = 8628
_METRICS_PORT = 9464
_PEER_PORTS = [7740, 7755]
_ZONES = ("pointe-a", "claxton", "carli")
_START_TIMEOUT_S = 20.0

Handler = Callable[["Server", wire.Request, wire.AnswerWriter], Awaitable[None]]


def loopback(group: int, number: int) -> str:
    """Returns a loopback address that no other running case uses."""
    high, low = divmod(os.getpid(), 250)
    return f"127.{high % 200 + 20}.{low + 1}.{group * 60 + number + 1}"


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, folder: pathlib.Path):
        self._file = (folder / "record.txt").open("w")
        self._began_at = time.monotonic()

    def write(self, event: str, **fields) -> None:
        """Writes one line."""
        at_s = time.monotonic() - self._began_at
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{at_s:9.3f} {event} {text}\n")
        self._file.flush()


class Gateway:
    """One gateway process, started with the command of the deploy file."""

    def __init__(
        self,
        number: int,
        count: int,
        store_address: str,
        folder: pathlib.Path,
        bounds: dict,
    ):
        self.name = f"front-{number}"
        self.ip = loopback(0, number)
        self.address = (self.ip, _CALLER_PORT)
        self._log = (folder / f"{self.name}.log").open("ab")
        self._settings = folder / f"{self.name}.json"
        # As the platform fills in `deploy/settings.json.template`.
        settings = {
            "host": self.name,
            "data_centre": _ZONES[number % len(_ZONES)],
            "caller_address": f"{self.ip}:{_CALLER_PORT}",
            "ready_address": f"{self.ip}:{_READY_PORT}",
            "ip": self.ip,
            "peer_ports": _PEER_PORTS,
            "metrics_port": _METRICS_PORT,
            "store_address": store_address,
            "seeds": [
                f"{loopback(0, seed)}:{_CONTROL_PORT}"
                for seed in range(min(3, count))
            ],
            "cores": 2,
            "core_share": 0.537,
            "bounds": bounds,
        }
        self._settings.write_text(json.dumps(settings))
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Starts the process."""
        self.process = subprocess.Popen(
            ["python3", "-m", "chervilarch.gateway_main"],
            cwd=ROOT,
            env={
                "PATH": os.environ["PATH"],
                "PYTHONPATH": str(ROOT / "target" / "deps"),
                "CHERVILARCH_SETTINGS": str(self._settings),
            },
            stdout=self._log,
            stderr=self._log,
        )

    def stop(self) -> None:
        """Ends the process at once."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def wait_ready(self) -> None:
        """Waits until the readiness check gets 200."""
        async with asyncio.timeout(_START_TIMEOUT_S):
            while not await self.is_ready():
                await asyncio.sleep(0.1)

    async def is_ready(self) -> bool:
        """Returns whether the readiness check gets 200 now."""
        try:
            answer = await exchange(
                (self.ip, _READY_PORT),
                "GET",
                "/chervilarch/readiness",
                {"Connection": "close"},
                b"",
                0.5,
            )
        except OSError:
            return False
        return answer.status == 200


class Server:
    """A server of a service: heartbeats, and a handler for its requests.

    Each start is a new boot with a new id at the same address.
    """

    def __init__(
        self,
        number: int,
        service: str,
        store_server: store.StandInStore,
        handler: Handler,
        ids: itertools.count,
    ):
        self.service = service
        self.address = f"{loopback(1, number)}:8080"
        self.name = ""
        self.is_up = False
        self.state = "ready"
        self._zone = _ZONES[number % len(_ZONES)]
        self._store = store_server
        self._handler = handler
        self._ids = ids
        self._sequence = 0
        self._born = 0
        self._listener: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._heartbeat: asyncio.Task | None = None

    async def start(self) -> None:
        """Begins a new boot."""
        self.name = f"i-{next(self._ids):08x}"
        self._sequence = 0
        self._born = int(time.time() * 1000)
        host, port = self.address.rsplit(":", 1)
        self._listener = await asyncio.start_server(
            self._serve, host, int(port), reuse_address=True
        )
        self.is_up = True
        self._heartbeat = asyncio.create_task(self._send_heartbeats())

    def crash(self) -> str:
        """Resets all channels and refuses new ones; returns the id."""
        self.is_up = False
        self._heartbeat.cancel()
        self._listener.close()
        for writer in list(self._writers):
            writer.transport.abort()
        return self.name

    async def write_entry(self) -> None:
        """Writes the entry in the platform's store, as a heartbeat does."""
        self._sequence += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self._zone,
            "version": "1",
            "slots": 128,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": self._sequence,
            "born": self._born,
        }
        await self._store.write(
            store.ENDPOINTS_TOPIC, self.name, json.dumps(entry).encode()
        )

    async def _send_heartbeats(self) -> None:
        while True:
            await self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while (req := await _read_request(reader)) is not None:
                conn = h11.Connection(h11.SERVER)
                # The codec only writes the answer; it gets a request to answer.
                conn.receive_data(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
                conn.next_event()
                conn.next_event()
                await self._handle(req, wire.AnswerWriter(conn, writer))
        except (OSError, EOFError, h11.ProtocolError, asyncio.CancelledError):
            pass  # The channel was closed, or the case is over.
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle(
        self, req: wire.Request, answer: wire.AnswerWriter
    ) -> None:
        if req.headers.get("expect-instance", self.name) != self.name:
            await answer.send(421, b"", {"Instance-Id": self.name})
            return
        await self._handler(self, req, answer)


async def _read_request(reader: asyncio.StreamReader) -> wire.Request | None:
    """Reads a request whose body has a length, as gateways send them."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ")
    headers = {}
    for line in filter(None, lines):
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    size = int(headers.get("content-length", 0))
    return wire.Request(method, target, headers, await reader.readexactly(size))


class Answer(NamedTuple):
    """What a client got; a status of 0 means no answer."""

    status: int
    headers: dict[str, str]
    body: bytes
    is_complete: bool


async def exchange(
    address: tuple[str, int],
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes,
    limit_s: float,
) -> Answer:
    """Sends one request on a new channel and reads its answer.

    Raises:
        OSError: the channel wasn't established.
    """
    conn = h11.Connection(h11.CLIENT)
    reader, writer = await asyncio.open_connection(*address)
    status, answer_headers, received = 0, {}, b""
    try:
        async with asyncio.timeout(limit_s):
            sent = {"Host": HOST, **headers, "Content-Length": str(len(body))}
            writer.write(
                conn.send(
                    h11.Request(
                        method=method, target=path, headers=list(sent.items())
                    )
                )
                + conn.send(h11.Data(data=body))
                + conn.send(h11.EndOfMessage())
            )
            while True:
                event = conn.next_event()
                if event is h11.NEED_DATA:
                    conn.receive_data(await reader.read(65536))
                elif isinstance(event, h11.Response):
                    status = event.status_code
                    answer_headers = {
                        name.decode(): value.decode()
                        for name, value in event.headers
                    }
                elif isinstance(event, h11.Data):
                    received += event.data
                else:
                    is_complete = isinstance(event, h11.EndOfMessage)
                    return Answer(status, answer_headers, received, is_complete)
    except (TimeoutError, OSError, h11.ProtocolError):
        return Answer(status, answer_headers, received, False)
    finally:
        writer.close()


class World:
    """The platform's store, the gateways and a folder for their files."""

    def __init__(self, case: pathlib.Path, gateways: int):
        self.record = Record(case)
        self.store = store.StandInStore()
        self.gateways: list[Gateway] = []
        self.servers: list[Server] = []
        self.ids = itertools.count(0x7F3A91C2)
        self._count = gateways
        self._folder = tempfile.TemporaryDirectory()
        self._bounds = {
            "drain_s": 2000e-3,
            "config_s": 2000e-3,
            "grace_s": 8,
            "retry_share": 0.2,
            "retry_fixed": 52,
            "retry_window_s": 10,
        }

    @property
    def folder(self) -> pathlib.Path:
        """Folder of the gateways' settings and logs."""
        return pathlib.Path(self._folder.name)

    async def start(self, configuration: dict) -> None:
        """Starts the store, the servers and the gateways."""
        host, port = await self.store.start()
        await self.store.write(
            store.CONFIG_TOPIC, "config", json.dumps(configuration).encode()
        )
        for server in self.servers:
            await server.start()
        for number in range(self._count):
            gateway = Gateway(
                number,
                self._count,
                f"{host}:{port}",
                self.folder,
                self._bounds,
            )
            self.gateways.append(gateway)
            gateway.start()
        for gateway in self.gateways:
            await gateway.wait_ready()

    def add_servers(self, count: int, service: str, handler: Handler) -> None:
        """Adds servers, to be started by `start`."""
        for _ in range(count):
            self.servers.append(
                Server(
                    len(self.servers), service, self.store, handler, self.ids
                )
            )

    async def remove_entry(self, name: str, after_s: float) -> None:
        """Removes a server's entry after a time."""
        await asyncio.sleep(after_s)
        await self.store.write(store.ENDPOINTS_TOPIC, name, b"")

    def stop(self) -> None:
        """Ends all processes and removes the folder."""
        for gateway in self.gateways:
            gateway.stop()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for path in self.folder.glob("*.log"):
                pathlib.Path(keep, path.name).write_bytes(path.read_bytes())
        self._folder.cleanup()


def configuration(routes: list[dict], services: list[dict]) -> dict:
    """Returns a configuration as the operator writes it."""
    return {
        "version": 7,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": TENANT, "api_keys": [KEY]}],
    }
