"""Starts a deployment of routers and stand-ins as processes on loopback."""

import contextlib
import itertools
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from typing import Any, NamedTuple

import uuid6

from chervilarch import keys

ROOT = pathlib.Path(__file__).resolve().parent.parent
EXAMPLES = ROOT / "examples"
OPERATOR_KEY = "operator-key-for-loopback"
PEER_KEY = "peer-key-for-loopback-only"
_START_TIMEOUT_S = 20.0
_POLL_S = 0.02
_STOP_TIMEOUT_S = 15.0


_FIRST_PORT = 12000
_LAST_PORT = 32000
_PORTS = itertools.cycle(
    range(_FIRST_PORT + os.getpid() % 1000 * 20, _LAST_PORT)
)


class FleetError(Exception):
    """A deployment did not come up or down as asked."""


class Answer(NamedTuple):
    """An HTTP answer; status 0 if there was none."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Returns the decoded body."""
        return json.loads(self.body)


class Process:
    """One process, ended by its id."""

    def __init__(self, name: str, argv: list[str], log_path: pathlib.Path):
        self.name = name
        self._argv = argv
        self._log_path = log_path
        self._popen: subprocess.Popen | None = None

    @property
    def pid(self) -> int:
        """The process's id."""
        return self._popen.pid

    def start(self) -> None:
        """Starts the process."""
        with open(self._log_path, "ab") as log:
            self._popen = subprocess.Popen(
                self._argv, cwd=ROOT, stdout=log, stderr=log
            )

    def is_running(self) -> bool:
        """Tells whether the process still runs."""
        return self._popen is not None and self._popen.poll() is None

    def send(self, number: int) -> None:
        """Sends a signal if the process still runs."""
        if self.is_running():
            os.kill(self._popen.pid, number)

    def kill(self) -> None:
        """Ends the process at once."""
        self.send(signal.SIGKILL)
        self._popen.wait()

    def freeze(self) -> None:
        """Pauses the process."""
        self.send(signal.SIGSTOP)

    def thaw(self) -> None:
        """Lets a paused process go on."""
        self.send(signal.SIGCONT)

    def wait(self, timeout_s: float = _STOP_TIMEOUT_S) -> int:
        """Waits for the process to end; returns its exit status."""
        return self._popen.wait(timeout_s)

    def stop(self) -> None:
        """Ends the process, first with SIGTERM."""
        if not self.is_running():
            return
        self.thaw()
        self.send(signal.SIGTERM)
        try:
            self._popen.wait(_STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.kill()

    def log_text(self) -> str:
        """Returns what the process wrote."""
        return self._log_path.read_text(errors="replace")


class EndpointSpec(NamedTuple):
    """An endpoint to be started."""

    pool: str
    kind: str
    data_centre: str
    options: tuple[str, ...] = ()


class Endpoint(NamedTuple):
    """A started endpoint."""

    spec: EndpointSpec
    address: str
    process: Process
    entry: dict[str, Any]


class Router(NamedTuple):
    """A started router."""

    name: str
    address: str
    peer_address: str
    data_centre: str
    process: Process


class Fleet:
    """A deployment on loopback."""

    def __init__(
        self,
        specs: list[EndpointSpec],
        data_centres: list[str],
        routers: int,
        log_options: tuple[str, ...] = (),
        bounds: dict[str, Any] | None = None,
        host_lag_s: float = 0.2,
        router_argv: tuple[str, ...] = ("chervilarch.router",),
    ):
        self._specs = specs
        self._data_centres = data_centres
        self._router_count = routers
        self._log_options = log_options
        self._bounds = {"drain_notice_s": 0.3, **(bounds or {})}
        self._host_lag_s = host_lag_s
        self._router_argv = router_argv
        self._stack = contextlib.ExitStack()
        self.folder = pathlib.Path()
        self.log_address = ""
        self.hosts_address = ""
        self.processes: list[Process] = []
        self.endpoints: list[Endpoint] = []
        self.routers: list[Router] = []

    def __enter__(self) -> "Fleet":
        try:
            self._start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *exc: object) -> None:
        self.stop()

    def _start(self) -> None:
        self.folder = pathlib.Path(
            self._stack.enter_context(tempfile.TemporaryDirectory())
        )
        self.log_address = free_address()
        self.hosts_address = free_address()
        self.log = self.start_standin(
            "log", "standins.log", self.log_address, *self._log_options
        )
        self.hosts = self.start_standin(
            "hosts",
            "standins.hosts",
            self.hosts_address,
            "--lag-s",
            str(self._host_lag_s),
        )
        for spec in self._specs:
            self.add_endpoint(spec, announce=False)
        wait_until(
            lambda: call(self.hosts_address, "GET", "/hosts").status == 200,
            "the host list answers",
        )
        for endpoint in self.endpoints:
            self.wait_for_endpoint(endpoint)
        for number in range(self._router_count):
            centre = self._data_centres[number % len(self._data_centres)]
            self.add_router(f"entry-{number + 1}", centre)
        self.list_hosts()

    def start_standin(
        self, name: str, module: str, address: str, *options: str
    ) -> Process:
        """Starts a stand-in."""
        argv = [sys.executable, "-m", module, "--address", address, *options]
        return self._start_process(name, argv)

    def _start_process(self, name: str, argv: list[str]) -> Process:
        process = Process(name, argv, self.folder / f"{name}.log")
        process.start()
        self.processes.append(process)
        return process

    def add_endpoint(
        self, spec: EndpointSpec, announce: bool = True
    ) -> Endpoint:
        """Starts an endpoint and puts it on the host list."""
        address = free_address()
        number = len(self.endpoints) + 1
        name = f"{spec.pool}-{number}"
        process = self.start_standin(
            name,
            "standins.endpoint",
            address,
            "--pool",
            spec.pool,
            "--kind",
            spec.kind,
            *spec.options,
        )
        entry = {
            "name": name,
            "address": address,
            "role": "endpoint",
            "pool": spec.pool,
            "data_centre": spec.data_centre,
            "state": "live",
            "incarnation": int(time.time() * 1000),
        }
        endpoint = Endpoint(spec, address, process, entry)
        self.endpoints.append(endpoint)
        if announce:
            self.wait_for_endpoint(endpoint)
            self.list_hosts()
        return endpoint

    def wait_for_endpoint(self, endpoint: Endpoint) -> None:
        """Waits until an endpoint answers."""
        wait_until(
            lambda: call(endpoint.address, "GET", "/counts").status == 200,
            f"{endpoint.entry['name']} answers",
        )

    def add_router(
        self, name: str, data_centre: str, **settings: Any
    ) -> Router:
        """Starts a router; `settings` go before the usual ones."""
        address, peer_address = free_address(), free_address()
        path = self.folder / f"{name}.json"
        path.write_text(
            json.dumps(
                {
                    "host": name,
                    "data_centre": data_centre,
                    "caller_address": address,
                    "peer_address": peer_address,
                    "log_address": self.log_address,
                    "host_list_address": self.hosts_address,
                    "peer_key": PEER_KEY,
                    "operator_key_sha256": keys.key_digest(OPERATOR_KEY),
                    "bounds": self._bounds,
                    **settings,
                }
            )
        )
        argv = [sys.executable, "-m", *self._router_argv]
        argv += ["--settings", str(path)]
        process = self._start_process(name, argv)
        router = Router(name, address, peer_address, data_centre, process)
        self.routers.append(router)
        return router

    def list_hosts(self, routers: list[Router] | None = None) -> None:
        """Writes all endpoints and routers into the host list."""
        entries = [endpoint.entry for endpoint in self.endpoints]
        entries += [
            {
                "name": router.name,
                "address": router.peer_address,
                "role": "router",
                "pool": "",
                "data_centre": router.data_centre,
                "state": "live",
                "incarnation": 0,
            }
            for router in (self.routers if routers is None else routers)
        ]
        answer = call(self.hosts_address, "PUT", "/hosts", {"hosts": entries})
        if answer.status != 200:
            raise FleetError("the host list took no entries")

    def publish(
        self, sheet: pathlib.Path | None, deployment: pathlib.Path
    ) -> int:
        """Publishes a sheet with `chervilarch-plan`; returns its version."""
        argv = ["publish", "--log", self.log_address, "--json"]
        argv += ["--deployment", str(deployment)]
        argv += ["--sheet", str(sheet)] if sheet else []
        return json.loads(self.run_tool("plan", *argv))["version"]

    def wait_in_force(self, version: int) -> None:
        """Waits until a version is in force on every live router."""
        self.wait_ready()
        self.run_tool(
            "plan",
            "wait",
            "--router",
            self.routers[0].address,
            "--key-file",
            str(self.key_file()),
            "--version",
            str(version),
        )
        for router in self.routers:
            wait_until(
                lambda router=router: in_force(router) >= version,
                f"{router.name} has version {version}",
            )

    def wait_ready(self) -> None:
        """Waits until every router answers."""
        for router in self.routers:
            wait_until(
                lambda router=router: (
                    call(router.address, "GET", "/healthz").status == 200
                ),
                f"{router.name} answers",
            )

    def wait_endpoints_known(self) -> None:
        """Waits until every router knows every endpoint."""
        for router in self.routers:
            wait_until(
                lambda router=router: (
                    len(status(router).get("endpoints", ()))
                    >= len(self.endpoints)
                ),
                f"{router.name} knows the endpoints",
            )

    def key_file(self) -> pathlib.Path:
        """Returns a file with the operator's key."""
        path = self.folder / "operator.key"
        path.write_text(OPERATOR_KEY + "\n")
        return path

    def run_tool(self, tool: str, *argv: str) -> str:
        """Runs one of the operators' commands; returns what it prints."""
        done = subprocess.run(
            [sys.executable, "-m", f"chervilarch.{tool}", *argv],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )
        if done.returncode != 0:
            raise FleetError(f"{tool} {argv[0]}: {done.stderr.strip()}")
        return done.stdout

    def stop(self) -> None:
        """Ends every process that was started."""
        for process in self.processes:
            if process.is_running():
                process.thaw()
                process.send(signal.SIGTERM)
        for process in reversed(self.processes):
            process.stop()
        self._stack.close()


def free_address() -> str:
    """Returns a loopback address whose port is free for TCP and UDP.

    Ports lie below those that the kernel gives to outgoing connections.
    """
    while True:
        port = next(_PORTS)
        if _can_bind(port, socket.SOCK_STREAM) and _can_bind(
            port, socket.SOCK_DGRAM
        ):
            return f"127.0.0.1:{port}"


def _can_bind(port: int, kind: socket.SocketKind) -> bool:
    with socket.socket(socket.AF_INET, kind) as sock:
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def call(
    address: str,
    method: str,
    path: str,
    document: Any = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 15.0,
) -> Answer:
    """Sends one HTTP request on a connection of its own."""
    data = None if document is None else json.dumps(document).encode()
    req = urllib.request.Request(
        f"http://{address}{path}",
        data,
        {"Content-Type": "application/json", **(headers or {})},
        method=method,
    )
    try:
        with urllib.request.urlopen(req, timeout=timeout_s) as response:
            return Answer(
                response.status, dict(response.headers), response.read()
            )
    except urllib.error.HTTPError as exc:
        return Answer(exc.code, dict(exc.headers), exc.read())
    except (OSError, ValueError):
        return Answer(0, {}, b"")


def run_pipeline(
    router: Router,
    pipeline: str,
    prompt: Any,
    account: str,
    key: str = "",
    stream: bool = False,
    headers: dict[str, str] | None = None,
    timeout_s: float = 15.0,
) -> Answer:
    """Runs a pipeline as a caller would."""
    sent = {"Authorization": f"Bearer {account}-key", **(headers or {})}
    if key:
        sent["Idempotency-Key"] = key
    document = {"input": prompt, "stream": stream}
    path = f"/v1/pipelines/{pipeline}/runs"
    return call(router.address, "POST", path, document, sent, timeout_s)


def new_key() -> str:
    """Returns a new idempotency key."""
    return str(uuid6.uuid7())


def status(router: Router) -> dict[str, Any]:
    """Returns a router's report, empty if it gives none."""
    headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
    answer = call(router.address, "GET", "/v1/status", headers=headers)
    return answer.json() if answer.status == 200 else {}


def in_force(router: Router) -> int:
    """Returns the version in force on a router."""
    return status(router).get("configuration", {}).get("version", -1)


def set_fault(address: str, mode: str, **detail: Any) -> None:
    """Sets a stand-in's fault switch."""
    answer = call(address, "POST", "/faults", {"mode": mode, **detail})
    if answer.status != 200:
        raise FleetError(f"{address} took no fault")


def control(endpoint: Endpoint, **change: Any) -> None:
    """Changes how an endpoint behaves."""
    answer = call(endpoint.address, "POST", "/control", change)
    if answer.status != 200:
        raise FleetError(f"{endpoint.address} took no change")


def counts(endpoint: Endpoint) -> dict[str, Any]:
    """Returns what an endpoint has counted."""
    return call(endpoint.address, "GET", "/counts").json()


def wait_until(condition, what: str, timeout_s: float = _START_TIMEOUT_S):
    """Waits for a condition; raises FleetError when it doesn't come."""
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            raise FleetError(f"waited {timeout_s:g} s in vain: {what}")
        time.sleep(_POLL_S)
