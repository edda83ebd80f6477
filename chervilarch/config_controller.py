"""Controller of the configuration in force on this host.

It follows the configuration stream, fetches newer states from peers when the
log doesn't deliver them, and appends snapshots before records expire.
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

# How long to wait for the log to deliver a version that a peer already has.
PEER_GRACE_S = 0.3
# The log counts as unreachable after this time without an answer.
LOG_UNREACHABLE_AFTER_S = 1.0
# A snapshot is due when the newest base, a state that the log can be replayed
# from, is older than this share of the retention.
SNAPSHOT_SHARE = 0.3
_CHECK_PERIOD_S = 0.2
# Delay per rank, so that one snapshot is written and not one by each host.
_RANK_DELAY_S = 1.0
# Upper bound of the delay per rank, as a share of the retention.
_MAX_RANK_DELAY_SHARE = 0.05


class NewerPeer(NamedTuple):
    """A peer that has announced a newer state than this host's.

    Attributes:
        first_seen_at: when any peer first announced a newer state.
    """

    address: str
    through: int
    version: int
    first_seen_at: float


Fetch = Callable[[str], configuration.ConfigState | None]


def is_snapshot_due(base_age_s: float, retention_s: float, rank: int) -> bool:
    """Returns whether a host should write a snapshot.

    Args:
        base_age_s: age of the newest snapshot or first publish.
        retention_s: how long the log keeps records.
        rank: this host's rank among the live hosts; 0 writes first.
    """
    rank_delay_s = min(_RANK_DELAY_S, retention_s * _MAX_RANK_DELAY_SHARE)
    return base_age_s >= retention_s * SNAPSHOT_SHARE + rank * rank_delay_s


class ConfigController:
    """Holds the configuration; `state` is replaced, never modified."""

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
        self._unfolded: list[records.Record] = []
        self._read_offset = 0
        self._log_lacks_base = False
        self._newer_peer: NewerPeer | None = None
        self._retention_s = float("inf")
        self._log_time = 0.0
        self._base_time: float | None = None
        self._stop = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="configuration", daemon=True
        )
        self.state = configuration.EMPTY
        self.last_peer_contact = float("-inf")
        self.on_progress: Callable[[int, int], None] = lambda *_: None
        self.follower = follower.Follower(
            client,
            records.CONFIGURATION_STREAM,
            self,
            clock,
            self._report_log_state,
        )

    def start(self) -> None:
        """Starts the follower and the thread for peers and snapshots."""
        self.follower.start()
        self._thread.start()

    def stop(self) -> None:
        """Signals both threads to end."""
        self._stop.set()
        self.follower.stop()

    def add_listener(
        self, listener: Callable[[configuration.ConfigState], None]
    ) -> None:
        """Registers a callback for each new version."""
        self._listeners.append(listener)

    def contact_age_s(self) -> float:
        """Returns the seconds since the last contact with the log or a peer.

        Contact with the log counts from the start of a read that succeeded.
        """
        last = max(self.follower.last_read_started_at, self.last_peer_contact)
        return self._clock.monotonic() - last

    def handle_peer_state(
        self, address: str, through: int, version: int
    ) -> None:
        """Handles a peer's announcement of the state that it has."""
        now = self._clock.monotonic()
        self.last_peer_contact = now
        state = self.state
        if version <= state.version or through <= state.through:
            return
        newer_peer = self._newer_peer
        if newer_peer is None or newer_peer.through < through:
            first_seen_at = newer_peer.first_seen_at if newer_peer else now
            self._newer_peer = NewerPeer(
                address, through, version, first_seen_at
            )

    def next_offset(self) -> int:
        """Returns the offset that the follower reads next."""
        with self._lock:
            if self._has_base:
                return max(self._read_offset, self.state.through + 1)
            return self._read_offset

    def handle_page(self, page: log_client.LogPage) -> None:
        """Folds a page of the stream."""
        with self._lock:
            old = self.state
            self._retention_s = page.retention_s
            self._log_time = page.time
            self._apply_page(page)
            new = self.state
        self._notify_listeners(old, new)

    def adopt(self, state: configuration.ConfigState) -> None:
        """Replaces the state by a peer's if that was folded further."""
        with self._lock:
            old = self.state
            self.state = configuration.newer(old, state)
            self._fold_all(self._unfolded)
            if self.state.through >= self._read_offset - 1:
                self._has_base = True
                self._unfolded = []
            new = self.state
        self._notify_listeners(old, new)

    def _apply_page(self, page: log_client.LogPage) -> None:
        if page.next_offset <= self.state.through:
            # The log is behind the state; the state never goes back.
            self._metrics.count("configuration.log_behind")
            return
        self._advance_read_offset(page)
        if not self._has_base:
            self._adopt_base(page)
            return
        self._fold_all(page.records)
        if self.state.through < self._read_offset - 1:
            # Records expired before they were read, so a new base is needed.
            self._metrics.count("configuration.gap")
            self._has_base = False
            self._unfolded = []
            self._read_offset = page.first_offset

    def _adopt_base(self, page: log_client.LogPage) -> None:
        """Collects records to the log's end, then replays them from a base."""
        self._unfolded.extend(page.records)
        if self._read_offset < page.next_offset:
            return
        base = configuration.find_base(self._unfolded, page.first_offset)
        own = self.state
        if base is None and own.through >= page.first_offset - 1:
            base = own
        self._log_lacks_base = base is None
        if base is None:
            return
        self.state = configuration.newer(own, base)
        self._has_base = True
        self._fold_all(self._unfolded)
        self._unfolded = []

    def _advance_read_offset(self, page: log_client.LogPage) -> None:
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

    def _notify_listeners(
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

    def _report_log_state(self, stream: str, up: bool, reason: str) -> None:
        self._metrics.count(f"log.{stream}.{'up' if up else 'down'}")
        if up:
            state_log.log_change("log reachable", stream=stream)
        else:
            state_log.log_fault("log unreachable", stream=stream, reason=reason)

    def _run(self) -> None:
        while not self._stop.wait(_CHECK_PERIOD_S):
            self._fetch_from_newer_peer()
            self._write_due_snapshot()

    def _fetch_from_newer_peer(self) -> None:
        newer_peer = self._newer_peer
        if newer_peer is None:
            return
        if self.state.through >= newer_peer.through:
            self._newer_peer = None
            return
        if self._clock.monotonic() - newer_peer.first_seen_at < PEER_GRACE_S:
            return
        if not self._may_fetch_from_peers():
            return
        self._newer_peer = None
        state = self._fetch(newer_peer.address)
        if state is None:
            self._metrics.count("configuration.peer_fetch_failed")
            return
        self._metrics.count("configuration.peer_fetch")
        self.adopt(state)

    def _may_fetch_from_peers(self) -> bool:
        """Returns whether a peer's state may be used.

        A peer may lag behind the log, so a host that has no base yet tries the
        log first.
        """
        with self._lock:
            if self._has_base or self._log_lacks_base:
                return True
        return self.follower.contact_age_s() > LOG_UNREACHABLE_AFTER_S

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
        # Lets the snapshot be read back before the next check.
        self._stop.wait(_RANK_DELAY_S)
