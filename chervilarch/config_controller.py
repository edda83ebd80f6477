"""Controller of the configuration in force on this host.

Follows the configuration stream; takes newer states from peers when the log
doesn't deliver them; appends snapshots before records expire.
"""

import random
import threading
from collections.abc import Callable
from typing import NamedTuple

from chervilarch import (
    clocks,
    configuration,
    follower,
    log_client,
    metrics,
    records,
    state_log,
)

# How long the log gets to deliver a version that a peer already has.
PEER_GRACE_S = 0.3
# Without an answer for this time, the log counts as unreachable.
LOG_SILENCE_S = 1.0
# A snapshot is due when the newest base is older than this share of retention.
SNAPSHOT_SHARE = 0.3
_CHECK_PERIOD_S = 0.2
# Hosts take turns, so that one snapshot is written rather than one a host.
_TURN_S = 1.0
# A turn is no longer than this share of the retention.
_TURN_SHARE = 0.05


class PeerOffer(NamedTuple):
    """A peer that says it has folded further than this host."""

    address: str
    through: int
    version: int
    heard_at: float


Fetch = Callable[[str], configuration.ConfigState | None]


def is_snapshot_due(base_age_s: float, retention_s: float, rank: int) -> bool:
    """Tells whether a host should write a snapshot.

    Args:
        base_age_s: age of the newest snapshot or first publish.
        retention_s: how long the log keeps records.
        rank: this host's place in the order of live hosts.
    """
    turn_s = min(_TURN_S, retention_s * _TURN_SHARE)
    return base_age_s >= retention_s * SNAPSHOT_SHARE + rank * turn_s


class ConfigController:
    """Holds the configuration; `state` is replaced, never changed."""

    def __init__(
        self,
        client: log_client.LogClient,
        clock: clocks.Clock,
        counters: metrics.Metrics,
        rank: Callable[[], int],
        fetch: Fetch,
    ):
        self._client = client
        self._clock = clock
        self._metrics = counters
        self._rank = rank
        self._fetch = fetch
        self._lock = threading.Lock()
        self._listeners: list[Callable[[configuration.ConfigState], None]] = []
        self._has_base = False
        self._retained: list[records.Record] = []
        self._read_offset = 0
        self._log_lacks_base = False
        self._offer: PeerOffer | None = None
        self._retention_s = float("inf")
        self._log_time = 0.0
        self._base_time: float | None = None
        self._stop = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="configuration", daemon=True
        )
        self.state = configuration.EMPTY
        self.peer_contact = float("-inf")
        self.on_progress: Callable[[int, int], None] = lambda *_: None
        self.follower = follower.Follower(
            client,
            records.CONFIGURATION_STREAM,
            self,
            clock,
            self._note_log_state,
        )

    def start(self) -> None:
        """Starts following the log."""
        self.follower.start()
        self._thread.start()

    def stop(self) -> None:
        """Stops following the log."""
        self._stop.set()
        self.follower.stop()

    def add_listener(
        self, listener: Callable[[configuration.ConfigState], None]
    ) -> None:
        """Calls `listener` with each new version."""
        self._listeners.append(listener)

    def contact_age_s(self) -> float:
        """Returns seconds since the log or any peer was last heard."""
        last = max(self.follower.last_contact, self.peer_contact)
        return self._clock.monotonic() - last

    def note_peer(self, address: str, through: int, version: int) -> None:
        """Takes what a peer says of its configuration."""
        now = self._clock.monotonic()
        self.peer_contact = now
        state = self.state
        if version <= state.version or through <= state.through:
            return
        offer = self._offer
        if offer is None or offer.through < through:
            heard_at = offer.heard_at if offer else now
            self._offer = PeerOffer(address, through, version, heard_at)

    def next_offset(self) -> int:
        """Returns the offset that the follower reads next."""
        with self._lock:
            if self._has_base:
                return max(self._read_offset, self.state.through + 1)
            return self._read_offset

    def take_page(self, page: log_client.LogPage) -> None:
        """Folds a page of the stream."""
        with self._lock:
            old = self.state
            self._retention_s = page.retention_s
            self._log_time = page.time
            self._take_records(page)
            new = self.state
        self._announce(old, new)

    def adopt(self, state: configuration.ConfigState) -> None:
        """Takes a peer's state if it was folded further than this one."""
        with self._lock:
            old = self.state
            self.state = configuration.newer(old, state)
            self._fold_all(self._retained)
            if self.state.through >= self._read_offset - 1:
                self._has_base = True
                self._retained = []
            new = self.state
        self._announce(old, new)

    def _take_records(self, page: log_client.LogPage) -> None:
        if page.next_offset <= self.state.through:
            # The log is behind what was folded: never step back with it.
            self._metrics.count("configuration.log_behind")
            return
        self._advance(page)
        if not self._has_base:
            self._seek_base(page)
            return
        self._fold_all(page.records)
        if self.state.through < self._read_offset - 1:
            # Records expired unread: a new base is needed.
            self._metrics.count("configuration.gap")
            self._has_base = False
            self._retained = []
            self._read_offset = page.first_offset

    def _seek_base(self, page: log_client.LogPage) -> None:
        self._retained.extend(page.records)
        if self._read_offset < page.next_offset:
            return
        base = configuration.find_base(self._retained, page.first_offset)
        own = self.state
        if base is None and own.through >= page.first_offset - 1:
            base = own
        self._log_lacks_base = base is None
        if base is None:
            return
        self.state = configuration.newer(own, base)
        self._has_base = True
        self._fold_all(self._retained)
        self._retained = []

    def _advance(self, page: log_client.LogPage) -> None:
        if page.records:
            self._read_offset = page.records[-1].offset + 1
        else:
            self._read_offset = max(self._read_offset, page.first_offset)

    def _fold_all(self, folded: list[records.Record]) -> None:
        for record in folded:
            self._fold(record)

    def _fold(self, record: records.Record) -> None:
        if isinstance(record.body, records.Unreadable):
            self._metrics.count("configuration.unreadable_record")
        if isinstance(record.body, records.Snapshot):
            self._base_time = record.time
        elif self._base_time is None:
            self._base_time = record.time
        self.state = configuration.fold(self.state, record)

    def _announce(
        self, old: configuration.ConfigState, new: configuration.ConfigState
    ) -> None:
        if new.through != old.through:
            self.on_progress(new.version, new.through)
        if new.version == old.version:
            return
        self._metrics.count("configuration.version_change")
        state_log.log_change(
            "configuration in force", version=new.version, old=old.version
        )
        for listener in self._listeners:
            listener(new)

    def _note_log_state(self, stream: str, up: bool, reason: str) -> None:
        self._metrics.count(f"log.{stream}.{'up' if up else 'down'}")
        if up:
            state_log.log_change("log reachable", stream=stream)
        else:
            state_log.log_fault("log unreachable", stream=stream, reason=reason)

    def _run(self) -> None:
        while not self._stop.wait(_CHECK_PERIOD_S):
            self._fetch_offer()
            self._write_due_snapshot()

    def _fetch_offer(self) -> None:
        offer = self._offer
        if offer is None:
            return
        if self.state.through >= offer.through:
            self._offer = None
            return
        if self._clock.monotonic() - offer.heard_at < PEER_GRACE_S:
            return
        if not self._may_take_from_peers():
            return
        self._offer = None
        state = self._fetch(offer.address)
        if state is None:
            self._metrics.count("configuration.peer_fetch_failed")
            return
        self._metrics.count("configuration.peer_fetch")
        self.adopt(state)

    def _may_take_from_peers(self) -> bool:
        """Tells whether the log itself can't give a first configuration.

        A peer may lag behind the log, so a fresh host reads the log first.
        """
        with self._lock:
            if self._has_base or self._log_lacks_base:
                return True
        return self.follower.contact_age_s() > LOG_SILENCE_S

    def _write_due_snapshot(self) -> None:
        with self._lock:
            state, base_time = self.state, self._base_time
            ready = self._has_base and base_time is not None
            base_age_s = self._log_time - (base_time or 0.0)
        if not ready or state.version == configuration.NO_VERSION:
            return
        if not is_snapshot_due(base_age_s, self._retention_s, self._rank()):
            return
        snapshot = records.Snapshot(
            state.through, state.version, state.document
        )
        result = self._client.append(records.CONFIGURATION_STREAM, [snapshot])
        if isinstance(result, log_client.LogError):
            self._metrics.count("configuration.snapshot_failed")
            self._stop.wait(random.uniform(0.5, 1.0))
            return
        self._metrics.count("configuration.snapshot")
        # Wait for the snapshot to be read back before another is due.
        self._stop.wait(_TURN_S)
