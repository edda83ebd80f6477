"""Polls the platform's list of hosts, which lags behind changes.

`chervilarch-router` polls it. `chervilarch-gateway` reads the platform's store
instead and uses only `HostEntry` and the constants.
"""

import threading
from collections.abc import Callable
from typing import NamedTuple

import msgspec

from chervilarch import (
    addresses,
    decoding,
    exchanges,
    guards,
    metrics,
    state_log,
    transfers,
)

POLL_PERIOD_S = 1.0
# Listeners get an unchanged list again after this many polls.
_REPEAT_POLLS = 10
_TIMEOUT_S = 2.0
_OK = 200
_NOT_MODIFIED = 304
# Parts of the list that are nested more deeply are left out.
_MAX_DEPTH = 32
# Fits the field that carries it to other hosts.
_MAX_INCARNATION = 2**63 - 1
ROLE_ENDPOINT = "endpoint"
ROLE_ROUTER = "router"
LEAVING = "leaving"


class HostEntry(NamedTuple):
    """An entry of the platform's list: an endpoint or a host of this system.

    Attributes:
        name: endpoint id or host name.
        address: "ip:port" of an endpoint's service or a host's gossip socket.
        role: "endpoint", or "router" for any host of this system.
        pool: pool that an endpoint serves.
        data_centre: data centre that it runs in.
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
    """Polls the list and passes it to listeners."""

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
        self._etag = ""
        self._last: list[HostEntry] = []
        self._unreadable_count = 0
        self._stop = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="hosts", daemon=True
        )

    def add_listener(self, listener: Callable[[list[HostEntry]], None]) -> None:
        """Calls `listener` with each new list, and with repeats of it."""
        self._listeners.append(listener)

    def start(self) -> None:
        """Starts polling."""
        self._thread.start()

    def stop(self) -> None:
        """Stops polling."""
        self._stop.set()

    def read(self) -> list[HostEntry] | HostListError:
        """Reads the list once; after status 304 it is the same object."""
        headers = (f"If-None-Match: {self._etag}",) if self._etag else ()
        result = self._transfers.send_and_wait(
            exchanges.Exchange(
                "GET", self._url, headers=headers, timeout_s=_TIMEOUT_S
            )
        )
        if isinstance(result, exchanges.TransferFailure):
            return HostListError(f"{result.kind.value}: {result.detail}")
        if result.status == _NOT_MODIFIED and self._etag:
            return self._last
        if result.status != _OK:
            return HostListError(f"HTTP status {result.status}")
        items = decoding.attempt(_decode_items, result.body)
        if isinstance(items, decoding.Unreadable):
            return HostListError(f"unreadable list: {items.reason}")
        parsed = [decoding.attempt(_parse_entry, item) for item in items]
        entries = [item for item in parsed if isinstance(item, HostEntry)]
        faults = [item for item in parsed if not isinstance(item, HostEntry)]
        if faults and not entries:
            return HostListError(f"unreadable list: {faults[0].reason}")
        self._report_unreadable(faults)
        self._last = entries
        self._etag = result.headers.get("etag", "")
        return self._last

    def _run(self) -> None:
        notified: list[HostEntry] | None = None
        repeats_left = 0
        while not self._stop.is_set():
            entries = self.read()
            if isinstance(entries, HostListError):
                self._record_reachability(False, entries.reason)
            else:
                self._record_reachability(True, "")
                if entries is not notified or repeats_left <= 0:
                    self._notify_listeners(entries)
                    notified, repeats_left = entries, _REPEAT_POLLS
                repeats_left -= 1
            self._stop.wait(POLL_PERIOD_S)

    def _notify_listeners(self, entries: list[HostEntry]) -> None:
        for listener in self._listeners:
            guards.call(listener, entries)

    def _report_unreadable(self, faults: list[decoding.Unreadable]) -> None:
        """Logs how many entries can't be read when that changes."""
        if len(faults) != self._unreadable_count and faults:
            state_log.log_fault(
                "host entries unreadable",
                entries=len(faults),
                reason=faults[0].reason,
            )
        self._unreadable_count = len(faults)

    def _record_reachability(self, reachable: bool, reason: str) -> None:
        if reachable == self._reachable:
            return
        self._reachable = reachable
        self._metrics.count(f"hosts.{'up' if reachable else 'down'}")
        if reachable:
            state_log.log_change("host list reachable")
        else:
            state_log.log_fault("host list unreachable", reason=reason)


def _decode_items(body: bytes) -> list[dict]:
    try:
        document = msgspec.json.decode(body, type=dict)
    except RecursionError:
        flat = decoding.flatten(body, _MAX_DEPTH)
        document = msgspec.json.decode(flat, type=dict)
    return msgspec.convert(document["hosts"], list)


def _parse_entry(item: dict) -> HostEntry:
    """Returns one entry.

    Raises:
        one of `decoding.ERRORS`: the entry isn't valid.
    """
    fields = msgspec.convert(item, dict)
    entry = msgspec.convert(
        [fields.get(name, "") for name in HostEntry._fields], HostEntry
    )
    if addresses.parse(entry.address) is None:
        raise ValueError(f"{entry.address[:40]!r} is not an address")
    if not 0 <= entry.incarnation <= _MAX_INCARNATION:
        raise ValueError("the incarnation is out of range")
    return entry
