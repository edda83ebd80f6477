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
# The first port tried depends on the process id, so processes that run at the
# same time mostly start at different ports.
_PORTS = itertools.cycle(
    range(_FIRST_PORT + os.getpid() % 1000 * 20, _LAST_PORT)
)


class FleetError(Exception):
    """A process, an HTTP call or a condition of the fleet failed."""


class HttpResponse(NamedTuple):
    """An HTTP response; its status is 0 if none was received."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Returns the decoded body."""
        return json.loads(self.body)


class Process:
    """A child process that writes to a log file and is signalled by its id."""

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
        """Returns whether the process still runs."""
        return self._popen is not None and self._popen.poll() is None

    def send_signal(self, signum: int) -> None:
        """Sends a signal if the process still runs."""
        if self.is_running():
            os.kill(self._popen.pid, signum)

    def kill(self) -> None:
        """Kills the process with SIGKILL."""
        self.send_signal(signal.SIGKILL)
        self._popen.wait()

    def suspend(self) -> None:
        """Suspends the process with SIGSTOP."""
        self.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resumes a suspended process with SIGCONT."""
        self.send_signal(signal.SIGCONT)

    def wait(self, timeout_s: float = _STOP_TIMEOUT_S) -> int:
        """Waits for the process to end; returns its exit status."""
        return self._popen.wait(timeout_s)

    def stop(self) -> None:
        """Stops the process with SIGTERM, or SIGKILL after a timeout."""
        if not self.is_running():
            return
        self.resume()
        self.send_signal(signal.SIGTERM)
        try:
            self._popen.wait(_STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.kill()

    def log_text(self) -> str:
        """Returns the output that the process has logged."""
        return self._log_path.read_text(errors="replace")


class EndpointSpec(NamedTuple):
    """The pool, kind, data centre and options of an endpoint to start."""

    pool: str
    kind: str
    data_centre: str
    options: tuple[str, ...] = ()


class Endpoint(NamedTuple):
    """A running endpoint and its entry in the host list."""

    spec: EndpointSpec
    address: str
    process: Process
    entry: dict[str, Any]


class Router(NamedTuple):
    """A running router and its addresses."""

    name: str
    address: str
    peer_address: str
    data_centre: str
    process: Process


class Fleet:
    """Routers, endpoints, a log and a host list as processes on loopback."""

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
            lambda: (
                send_request(self.hosts_address, "GET", "/hosts").status == 200
            ),
            "the host list answers",
        )
        for endpoint in self.endpoints:
            self.wait_for_endpoint(endpoint)
        for number in range(self._router_count):
            centre = self._data_centres[number % len(self._data_centres)]
            self.add_router(f"entry-{number + 1}", centre)
        self.update_host_list()

    def start_standin(
        self, name: str, module: str, address: str, *options: str
    ) -> Process:
        """Starts a stand-in module as a process."""
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
        """Starts an endpoint; with `announce`, adds it to the host list."""
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
            self.update_host_list()
        return endpoint

    def wait_for_endpoint(self, endpoint: Endpoint) -> None:
        """Waits until an endpoint answers HTTP requests."""
        wait_until(
            lambda: (
                send_request(endpoint.address, "GET", "/counts").status == 200
            ),
            f"{endpoint.entry['name']} answers",
        )

    def add_router(
        self, name: str, data_centre: str, **settings: Any
    ) -> Router:
        """Starts a router; `settings` override the default ones."""
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

    def update_host_list(self, routers: list[Router] | None = None) -> None:
        """Adds or updates the host list's entries of endpoints and routers.

        The list keeps the entries of routers that left this fleet.

        Args:
            routers: the routers to list, by default all.
        """
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
        answer = send_request(
            self.hosts_address, "PUT", "/hosts", {"hosts": entries}
        )
        if answer.status != 200:
            raise FleetError("the host list rejected its entries")

    def publish(
        self, sheet: pathlib.Path | None, deployment: pathlib.Path
    ) -> int:
        """Publishes a deployment file with `chervilarch-plan`.

        Returns the new version. A day's sheet is published with it if given.
        """
        argv = ["publish", "--log", self.log_address, "--json"]
        argv += ["--deployment", str(deployment)]
        argv += ["--sheet", str(sheet)] if sheet else []
        return json.loads(self.run_tool("plan", *argv))["version"]

    def wait_in_force(self, version: int) -> None:
        """Waits until a version is in force on every live router."""
        self.wait_until_healthy()
        self.run_tool(
            "plan",
            "wait",
            "--router",
            self.routers[0].address,
            "--key-file",
            str(self.write_key_file()),
            "--version",
            str(version),
        )
        for router in self.routers:
            wait_until(
                lambda router=router: version_in_force(router) >= version,
                f"{router.name} has version {version}",
            )

    def wait_until_healthy(self) -> None:
        """Waits until every router answers `/healthz`, ready or not."""
        for router in self.routers:
            wait_until(
                lambda router=router: (
                    send_request(router.address, "GET", "/healthz").status
                    == 200
                ),
                f"{router.name} answers",
            )

    def wait_endpoints_known(self) -> None:
        """Waits until every router lists as many endpoints as were started."""
        for router in self.routers:
            wait_until(
                lambda router=router: (
                    len(fetch_status(router).get("endpoints", ()))
                    >= len(self.endpoints)
                ),
                f"{router.name} knows the endpoints",
            )

    def write_key_file(self) -> pathlib.Path:
        """Writes the operator key to a file and returns its path."""
        path = self.folder / "operator.key"
        path.write_text(OPERATOR_KEY + "\n")
        return path

    def run_tool(self, tool: str, *argv: str) -> str:
        """Runs an operator command; returns its standard output."""
        completed = subprocess.run(
            [sys.executable, "-m", f"chervilarch.{tool}", *argv],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )
        if completed.returncode != 0:
            raise FleetError(f"{tool} {argv[0]}: {completed.stderr.strip()}")
        return completed.stdout

    def stop(self) -> None:
        """Stops every process that was started."""
        for process in self.processes:
            if process.is_running():
                process.resume()
                process.send_signal(signal.SIGTERM)
        for process in reversed(self.processes):
            process.stop()
        self._stack.close()


def free_address() -> str:
    """Returns a loopback address whose port is free for TCP and UDP.

    Ports lie below the ephemeral range, from which the kernel takes those of
    outgoing connections.
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


def send_request(
    address: str,
    method: str,
    path: str,
    document: Any = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 15.0,
) -> HttpResponse:
    """Sends one HTTP request on a new connection."""
    data = None if document is None else json.dumps(document).encode()
    req = urllib.request.Request(
        f"http://{address}{path}",
        data,
        {"Content-Type": "application/json", **(headers or {})},
        method=method,
    )
    try:
        with urllib.request.urlopen(req, timeout=timeout_s) as response:
            return HttpResponse(
                response.status, dict(response.headers), response.read()
            )
    except urllib.error.HTTPError as exc:
        return HttpResponse(exc.code, dict(exc.headers), exc.read())
    except (OSError, ValueError):
        return HttpResponse(0, {}, b"")


def run_pipeline(
    router: Router,
    pipeline: str,
    prompt: Any,
    account: str,
    key: str = "",
    stream: bool = False,
    headers: dict[str, str] | None = None,
    timeout_s: float = 15.0,
) -> HttpResponse:
    """Sends a pipeline request to a router as a caller does."""
    request_headers = {
        "Authorization": f"Bearer {account}-key",
        **(headers or {}),
    }
    if key:
        request_headers["Idempotency-Key"] = key
    document = {"input": prompt, "stream": stream}
    path = f"/v1/pipelines/{pipeline}/runs"
    return send_request(
        router.address, "POST", path, document, request_headers, timeout_s
    )


def new_key() -> str:
    """Returns a new idempotency key."""
    return str(uuid6.uuid7())


def fetch_status(router: Router) -> dict[str, Any]:
    """Returns a router's status report, empty if it does not answer."""
    headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
    answer = send_request(router.address, "GET", "/v1/status", headers=headers)
    return answer.json() if answer.status == 200 else {}


def version_in_force(router: Router) -> int:
    """Returns the configuration version in force on a router, -1 if none."""
    return fetch_status(router).get("configuration", {}).get("version", -1)


def set_fault(address: str, mode: str, **detail: Any) -> None:
    """Sets the fault mode of a stand-in."""
    answer = send_request(address, "POST", "/faults", {"mode": mode, **detail})
    if answer.status != 200:
        raise FleetError(f"{address} took no fault")


def configure_endpoint(endpoint: Endpoint, **change: Any) -> None:
    """Changes the behaviour of an endpoint stand-in."""
    answer = send_request(endpoint.address, "POST", "/control", change)
    if answer.status != 200:
        raise FleetError(f"{endpoint.address} took no change")


def endpoint_counts(endpoint: Endpoint) -> dict[str, Any]:
    """Returns the counters of an endpoint stand-in."""
    return send_request(endpoint.address, "GET", "/counts").json()


def wait_until(
    condition, description: str, timeout_s: float = _START_TIMEOUT_S
):
    """Polls a condition; raises FleetError if it does not hold in time."""
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            raise FleetError(f"waited {timeout_s:g} s in vain: {description}")
        time.sleep(_POLL_S)
