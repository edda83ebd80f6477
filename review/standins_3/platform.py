"""Runs gateways as the deploy file does, beside the project's store."""

import asyncio
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable

from soak import store

CALLER_PORT = 8625
READY_PORT = 8621
_PEER_PORTS = [7740, 7755]
_METRICS_PORT = 9464
_OCTET_VALUES = 256
_START_TIMEOUT_S = 20.0
GRACE_S = 8.0
ROOT = pathlib.Path(__file__).resolve().parents[2]
# Exit status of a case that couldn't run.
_CANNOT_RUN = 2
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def loopback_address(number: int) -> str:
    """Returns a loopback address of this process's own."""
    high, low = divmod(os.getpid(), _OCTET_VALUES)
    return f"127.{high % 200 + 20}.{low}.{number + 1}"


class Record:
    """What was sent, answered and run, line by line."""

    def __init__(self, path: pathlib.Path):
        self._began_at = time.monotonic()
        self._file = open(path, "w", encoding="utf-8")  # noqa: SIM115

    def now(self) -> float:
        """Returns the seconds since the start of the record."""
        return time.monotonic() - self._began_at

    def write(self, text: str) -> None:
        """Adds a line with its time."""
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()


class Gateway:
    """One gateway process."""

    def __init__(
        self,
        name: str,
        zone: str,
        ip: str,
        store_address: str,
        folder: pathlib.Path,
        record: Record,
        **settings,
    ):
        """Writes its settings; `settings` go before the usual ones."""
        self.name = name
        self.ip = ip
        self._record = record
        self._log_path = folder / f"{name}.log"
        self._process: subprocess.Popen | None = None
        document = {
            "host": name,
            "data_centre": zone,
            "caller_address": f"{ip}:{CALLER_PORT}",
            "ready_address": f"{ip}:{READY_PORT}",
            "ip": ip,
            "peer_ports": _PEER_PORTS,
            "metrics_port": _METRICS_PORT,
            "store_address": store_address,
            "seeds": [],
            "cores": 2,
            "core_share": 0.537,
            "memory_mb": 300,
            "regions": {"pointe-a": "gulf", "claxton": "gulf"},
            "bounds": {
                "drain_s": 2000e-3,
                "config_s": 2000e-3,
                "grace_s": GRACE_S,
                "retry_share": 0.2,
                "retry_fixed": 52,
                "retry_window_s": 10,
            },
        }
        self._settings_path = folder / f"{name}.json"
        self._settings_path.write_text(json.dumps(document | settings))

    async def start(self) -> None:
        """Starts the process and waits until it says that it is ready."""
        with open(self._log_path, "ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "chervilarch.gateway_main"],
                cwd=ROOT,
                env={
                    **os.environ,
                    "PYTHONPATH": str(ROOT / "target/deps"),
                    "CHERVILARCH_SETTINGS": str(self._settings_path),
                },
                stdout=log,
                stderr=log,
            )
        async with asyncio.timeout(_START_TIMEOUT_S):
            while not await self.is_ready():
                await asyncio.sleep(0.05)
        self._record.write(f"{self.name} is ready")

    def send_signal(self, number: int) -> None:
        """Signals the process if it runs."""
        if self._process is not None and self._process.poll() is None:
            self._record.write(
                f"{self.name} gets {signal.Signals(number).name}"
            )
            self._process.send_signal(number)

    def exit_status(self) -> int | None:
        """Returns the exit status, None while it runs."""
        return self._process.poll() if self._process else None

    def stop(self) -> None:
        """Kills the process."""
        if self._process is not None:
            self._process.send_signal(signal.SIGCONT)
            self._process.kill()
            self._process.wait()

    async def is_ready(self) -> bool:
        """Asks for its readiness as the platform does."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    self.ip, READY_PORT
                )
                try:
                    writer.write(
                        b"GET /chervilarch/readiness HTTP/1.1\r\n"
                        b"Host: h\r\nConnection: close\r\n\r\n"
                    )
                    return b" 200 " in await reader.readline()
                finally:
                    writer.close()
        except (OSError, TimeoutError):
            return False

    def log_lines(self, *events: str) -> list[str]:
        """Returns its log lines about some events."""
        return [
            line.strip()
            for line in self._log_path.read_text(errors="replace").splitlines()
            if any(f'"event": "{event}"' in line for event in events)
        ]


def route(name: str, service: str, kind: str, **fields) -> dict:
    """Returns a route of the configuration, at the path `/NAME/`."""
    return {
        "name": name,
        "host": "saltlog.example",
        "path_prefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeout_ms": 15000,
        "target_latency_ms": 1000,
        "priority": 2,
        "max_attempts": 2,
        "auth_exempt": False,
    } | fields


def stream_route(**fields) -> dict:
    """Returns the route of streams that may be resumed."""
    return route(
        "tally-tags",
        "brine-model",
        "streaming",
        resumable=True,
        sticky=True,
        gap_aim_ms=500,
        **fields,
    )


async def publish(
    store_server: store.StandInStore,
    version: int,
    routes: list[dict],
    services: list[dict],
) -> None:
    """Writes a configuration, as the operator does."""
    document = {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 32768,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 5000,
            "idle_timeout_ms": 20000,
        },
        "tenants": [{"name": "rakers", "api_keys": ["rakers-key"]}],
    }
    await store_server.write(
        store.CONFIG_TOPIC, "config", json.dumps(document).encode()
    )


def run_case(
    script: str, play: Callable[[pathlib.Path, Record], Awaitable[int]]
) -> None:
    """Plays a case and exits with its status.

    Args:
        script: path of the case's script; the record is written beside it.
        play: plays it, given a temporary folder and the record.
    """
    record = Record(pathlib.Path(script).parent / "record.txt")
    try:
        with tempfile.TemporaryDirectory() as folder:
            status = asyncio.run(play(pathlib.Path(folder), record))
    except (Exception, KeyboardInterrupt) as exc:
        record.write(f"the case couldn't run: {exc!r}")
        status = _CANNOT_RUN
    sys.exit(status)
