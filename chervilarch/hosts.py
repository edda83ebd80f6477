"""Controller that reads the platform's lagging list of hosts."""

import threading
from collections.abc import Callable
from typing import NamedTuple

import msgspec

from chervilarch import exchanges, metrics, state_log, transfers

POLL_PERIOD_S = 1.0
_TIMEOUT_S = 2.0
ROLE_ENDPOINT = "endpoint"
ROLE_ROUTER = "router"
LEAVING = "leaving"


class HostEntry(NamedTuple):
    """One line of the platform's list.

    Attributes:
        name: host name.
        address: "ip:port" of its service, for routers of its peer socket.
        role: "endpoint" or "router".
        pool: pool that an endpoint serves.
        data_centre: where it runs.
        state: "live" or "leaving".
        incarnation: grows with each start of the endpoint.
    """

    name: str
    address: str
    role: str
    pool: str
    data_centre: str
    state: str
    incarnation: int


class HostListError(NamedTuple):
    """The list could not be read."""

    reason: str


class HostsController:
    """Polls the list and hands each reading to its listeners."""

    def __init__(
        self,
        address: str,
        transfer_thread: transfers.TransferThread,
        counters: metrics.Metrics,
    ):
        self._url = f"http://{address}/hosts"
        self._transfers = transfer_thread
        self._metrics = counters
        self._listeners: list[Callable[[list[HostEntry]], None]] = []
        self._reachable: bool | None = None
        self._stop = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="hosts", daemon=True
        )

    def add_listener(self, listener: Callable[[list[HostEntry]], None]) -> None:
        """Calls `listener` with each reading of the list."""
        self._listeners.append(listener)

    def start(self) -> None:
        """Starts polling."""
        self._thread.start()

    def stop(self) -> None:
        """Stops polling."""
        self._stop.set()

    def read(self) -> list[HostEntry] | HostListError:
        """Reads the list once."""
        result = self._transfers.call(
            exchanges.Exchange("GET", self._url, timeout_s=_TIMEOUT_S)
        )
        if isinstance(result, exchanges.TransferFailure):
            return HostListError(f"{result.kind.value}: {result.detail}")
        if result.status != 200:
            return HostListError(f"HTTP status {result.status}")
        try:
            items = msgspec.json.decode(result.body, type=dict)["hosts"]
            return [_parse_entry(item) for item in items]
        except (msgspec.DecodeError, KeyError, TypeError) as exc:
            return HostListError(f"unreadable list: {exc!r}")

    def _run(self) -> None:
        while not self._stop.is_set():
            reading = self.read()
            if isinstance(reading, HostListError):
                self._note(False, reading.reason)
            else:
                self._note(True, "")
                for listener in self._listeners:
                    listener(reading)
            self._stop.wait(POLL_PERIOD_S)

    def _note(self, reachable: bool, reason: str) -> None:
        if reachable == self._reachable:
            return
        self._reachable = reachable
        self._metrics.count(f"hosts.{'up' if reachable else 'down'}")
        if reachable:
            state_log.log_change("host list reachable")
        else:
            state_log.log_fault("host list unreachable", reason=reason)


def _parse_entry(item: dict) -> HostEntry:
    return msgspec.convert(
        [item.get(name, "") for name in HostEntry._fields], HostEntry
    )
