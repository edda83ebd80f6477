"""The gateways of a soak: real processes, started and ended by their ids."""

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
_MISSES = 2
_CHECK_TIMEOUT_S = 0.5
# Several hosts start in about 2 s; load stretches that.
_START_TIMEOUT_S = 15.0
_START_POLL_S = 0.05
# Below the ports that the kernel hands out; each gateway has an address of its
# own.
CALLER_PORT = 8625
_READY_PORT = 8621
_METRICS_PORT = 8627
_PEER_PORTS = [8640, 8655]


class Gateway:
    """One gateway, restarted whenever it ends.

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
        seen: records.Records,
    ):
        self.name = name
        self.store_link = store_link
        self.is_in_rotation = False
        self.argv = [sys.executable, "-m", "chervilarch.gateway_main"]
        self._folder = folder
        self._seen = seen
        self._misses = 0
        self._may_end = False
        self._stopping = False
        self._process: subprocess.Popen | None = None
        self.ip = ip
        document = {
            "host": name,
            "data_centre": data_centre,
            "caller_address": f"{ip}:{CALLER_PORT}",
            "ready_address": f"{ip}:{_READY_PORT}",
            "ip": ip,
            "peer_ports": _PEER_PORTS,
            "metrics_port": _METRICS_PORT,
            "store_address": store_link.address,
            # Each has a way of its own to the store.
            "deployment": "soak",
            "bounds": {
                "drain_s": checks.DRAIN_S,
                "config_s": checks.CONFIG_S,
                "grace_s": _GRACE_S,
                "retry_share": 0.2,
                "retry_fixed": 50.0,
                "retry_window_s": 10.0,
            },
        }
        self._settings = folder / f"{name}.json"
        self._settings.write_text(json.dumps(document))

    async def run(self) -> None:
        """Keeps the process running until `stop`."""
        while not self._stopping:
            self._may_end = False
            began_at = time.monotonic()
            with open(self._folder / f"{self.name}.log", "ab") as log:
                self._process = subprocess.Popen(
                    self.argv,
                    env={
                        **os.environ,
                        "CHERVILARCH_SETTINGS": str(self._settings),
                    },
                    stdout=log,
                    stderr=log,
                )
            while (status := self._process.poll()) is None:
                await asyncio.sleep(0.02)
            if not self._may_end:
                age_s = time.monotonic() - began_at
                self._seen.broken.append(
                    f"{self.name} ended with {status} after {age_s:.2f} s"
                )
            await asyncio.sleep(_RESTART_S)

    async def watch(self) -> None:
        """Asks for readiness as a balancer does."""
        while True:
            is_ready = await self._is_ready()
            self._misses = 0 if is_ready else self._misses + 1
            if is_ready:
                self.is_in_rotation = True
            elif self._misses >= _MISSES:
                self.is_in_rotation = False
            await asyncio.sleep(_CHECK_PERIOD_S)

    def send_signal(self, number: int) -> None:
        """Signals the process; one that has ended is left alone."""
        process = self._process
        if process is None or process.poll() is not None:
            return
        if number in (signal.SIGTERM, signal.SIGKILL):
            self._may_end = True
        # Until the interpreter has started, SIGHUP ends any process: no code of
        # the gateway has run by then.
        if number != signal.SIGHUP or _is_set_up(process.pid):
            process.send_signal(number)

    def processor_s(self) -> float:
        """Returns the processor time that the process has used, in seconds."""
        text = pathlib.Path(f"/proc/{self._process.pid}/stat").read_text()
        # After the name in brackets: fields 14 and 15 are the ticks used.
        user, system = text.rpartition(")")[2].split()[11:13]
        return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")

    async def terminate(self) -> None:
        """Sends SIGTERM, and SIGKILL after the grace period."""
        process = self._process
        self.send_signal(signal.SIGTERM)
        until = time.monotonic() + _GRACE_S
        while process.poll() is None and time.monotonic() < until:
            await asyncio.sleep(0.02)
        if process.poll() is None:
            process.kill()

    def stop(self) -> None:
        """Ends the process for good."""
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


async def wait_until_in_rotation(found: list[Gateway]) -> None:
    """Waits until callers may connect to all gateways.

    Raises:
        TimeoutError: one never became ready.
    """
    async with asyncio.timeout(_START_TIMEOUT_S):
        while not all(gateway.is_in_rotation for gateway in found):
            await asyncio.sleep(_START_POLL_S)


def _is_set_up(pid: int) -> bool:
    """Tells whether a process ignores or handles SIGHUP."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    masks = [
        int(line.split()[1], 16)
        for line in status.splitlines()
        if line.startswith(("SigIgn", "SigCgt"))
    ]
    return any(mask >> (signal.SIGHUP - 1) & 1 for mask in masks)
