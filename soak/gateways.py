"""The gateways of a soak, each a real process."""

import asyncio
import json
import os
import pathlib
import signal
import subprocess
import sys
import time

from soak import checks, link, records

_GRACE_S = 4.0
_RESTART_S = 0.3
_CHECK_PERIOD_S = 0.3
_UNHEALTHY_THRESHOLD = 2
_CHECK_TIMEOUT_S = 0.5
# Several gateways start in about 2 s; a loaded machine takes longer.
_START_TIMEOUT_S = 15.0
_START_POLL_S = 0.05
# Below the ephemeral ports. All gateways use the same ports, each on its own
# address.
CALLER_PORT = 8625
_READY_PORT = 8621
_METRICS_PORT = 8627
_PEER_PORTS = [8640, 8655]
_OCTET_VALUES = 256


class Gateway:
    """One gateway process, restarted whenever it ends.

    Attributes:
        is_in_rotation: whether callers get new connections to it.
        argv: the command that starts it.
    """

    def __init__(
        self,
        name: str,
        ip: str,
        data_centre: str,
        folder: pathlib.Path,
        store_link: link.Link,
        history: records.History,
        deployment: str = "soak",
    ):
        self.name = name
        self.store_link = store_link
        self.is_in_rotation = False
        self.argv = [sys.executable, "-m", "chervilarch.gateway_main"]
        self._folder = folder
        self._history = history
        self._failed_checks = 0
        self._expects_exit = False
        self._stopping = False
        self._process: subprocess.Popen | None = None
        self.ip = ip
        settings = {
            "host": name,
            "data_centre": data_centre,
            "caller_address": f"{ip}:{CALLER_PORT}",
            "ready_address": f"{ip}:{_READY_PORT}",
            "ip": ip,
            "peer_ports": _PEER_PORTS,
            "metrics_port": _METRICS_PORT,
            "store_address": store_link.address,
            # By default this is the store's address, which differs between the
            # gateways: each has its own link to the store.
            "deployment": deployment,
            "bounds": {
                "drain_s": checks.DRAIN_S,
                "config_s": checks.CONFIG_S,
                "evacuate_s": checks.EVACUATE_S,
                "grace_s": _GRACE_S,
                "retry_share": 0.2,
                "retry_fixed": 50.0,
                "retry_window_s": 10.0,
            },
        }
        self._settings_path = folder / f"{name}.json"
        self._settings_path.write_text(json.dumps(settings))

    async def run(self) -> None:
        """Keeps the process running until `stop`."""
        while not self._stopping:
            self._expects_exit = False
            began_at = time.monotonic()
            with open(self._folder / f"{self.name}.log", "ab") as log:
                self._process = subprocess.Popen(
                    self.argv,
                    env={
                        **os.environ,
                        "CHERVILARCH_SETTINGS": str(self._settings_path),
                    },
                    stdout=log,
                    stderr=log,
                )
            while (status := self._process.poll()) is None:
                await asyncio.sleep(0.02)
            if not self._expects_exit:
                uptime_s = time.monotonic() - began_at
                self._history.violations.append(
                    f"{self.name} ended with {status} after {uptime_s:.2f} s"
                )
            await asyncio.sleep(_RESTART_S)

    async def watch(self) -> None:
        """Checks readiness as a load balancer does."""
        while True:
            is_ready = await self._is_ready()
            self._failed_checks = 0 if is_ready else self._failed_checks + 1
            if is_ready:
                self.is_in_rotation = True
            elif self._failed_checks >= _UNHEALTHY_THRESHOLD:
                self.is_in_rotation = False
            await asyncio.sleep(_CHECK_PERIOD_S)

    def send_signal(self, number: int) -> None:
        """Signals the process if it is running."""
        process = self._process
        if process is None or process.poll() is not None:
            return
        if number in (signal.SIGTERM, signal.SIGKILL):
            self._expects_exit = True
        # SIGHUP ends a process whose interpreter is still starting, before any
        # code of the gateway runs.
        if number != signal.SIGHUP or _survives_sighup(process.pid):
            process.send_signal(number)

    def cpu_s(self) -> float:
        """Returns the CPU time that the process has used, in seconds."""
        stat = pathlib.Path(f"/proc/{self._process.pid}/stat").read_text()
        # Fields 14 and 15 are clock ticks in user and kernel mode; the command
        # name before them may hold spaces.
        user, system = stat.rpartition(")")[2].split()[11:13]
        return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")

    async def terminate(self) -> None:
        """Sends SIGTERM, and SIGKILL after the grace period."""
        process = self._process
        self.send_signal(signal.SIGTERM)
        deadline = time.monotonic() + _GRACE_S
        while process.poll() is None and time.monotonic() < deadline:
            await asyncio.sleep(0.02)
        if process.poll() is None:
            process.kill()

    def stop(self) -> None:
        """Kills the process and doesn't restart it."""
        self._stopping = True
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        if self._process is not None:
            self._process.wait()

    async def _is_ready(self) -> bool:
        try:
            async with asyncio.timeout(_CHECK_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(
                    self.ip, _READY_PORT
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


async def wait_until_in_rotation(fleet: list[Gateway]) -> None:
    """Waits until all gateways are in rotation.

    Raises:
        TimeoutError: a gateway didn't become ready in time.
    """
    async with asyncio.timeout(_START_TIMEOUT_S):
        while not all(gateway.is_in_rotation for gateway in fleet):
            await asyncio.sleep(_START_POLL_S)


def loopback_address(number: int) -> str:
    """Returns a loopback address that no other soak process uses."""
    high, low = divmod(os.getpid(), _OCTET_VALUES)
    return f"127.{high % (_OCTET_VALUES - 2) + 1}.{low}.{number + 1}"


def _survives_sighup(pid: int) -> bool:
    """Returns whether a process ignores or handles SIGHUP."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    masks = [
        int(line.split()[1], 16)
        for line in status.splitlines()
        if line.startswith(("SigIgn", "SigCgt"))
    ]
    return any(mask >> (signal.SIGHUP - 1) & 1 for mask in masks)
