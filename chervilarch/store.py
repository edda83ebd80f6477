"""Interface to the platform's store, and the values it exchanges."""

import enum
from collections.abc import Callable
from typing import NamedTuple, Protocol

from chervilarch import state_log
from chervilarch.futures import Future
from chervilarch.store_records import Position, Record

# After a restore of the store, each host writes again what may be lost at a
# random time up to this.
REWRITE_SPREAD_S = 4.0


class Topic(enum.Enum):
    """Topics of the store.

    `ROUTERS` is the list of all gateways, `BLOCKS` holds the blocks of prompts,
    `STREAMS` the software versions that began streams and the default ones.
    """

    CONFIGURATION = "configuration"
    ENDPOINTS = "endpoints"
    ROUTERS = "routers"
    BLOCKS = "blocks"
    STREAMS = "streams"


class NewestPage(NamedTuple):
    """A page of the newest value of each key.

    Attributes:
        records: one record a key.
        has_more: whether another page follows the last key.
        end: offset of the next record to be written.
        era: the store's era when it answered, 0 if unknown.
    """

    records: list[Record]
    has_more: bool
    end: int
    era: int = 0


class RecordPage(NamedTuple):
    """Records from an offset on.

    Attributes:
        records: in the order of their offsets.
        end: offset of the next record to be written.
        first: first offset that is still kept; not used.
        era: the store's era when it answered, 0 if unknown.
    """

    records: list[Record]
    end: int
    first: int
    era: int = 0


class RemovedRun(NamedTuple):
    """A run of an endpoint that was listed and is no more.

    Attributes:
        name: id of the endpoint.
        incarnation: start of the run in Unix ms.
        sequence: that of the newest record that was applied.
        is_leaving: whether no later record of the run counts either.
    """

    name: str
    incarnation: int
    sequence: int
    is_leaving: bool = False


class Beliefs(NamedTuple):
    """What a host holds true of a topic.

    After a restore of the store that may be more than the store's copy says.

    Attributes:
        records: the newest valid records.
        removed: runs of endpoints that no known record may bring back.
    """

    records: tuple[Record, ...] = ()
    removed: tuple[RemovedRun, ...] = ()


class TopicUpdate(NamedTuple):
    """What one host read of a topic, sent to the other hosts.

    Attributes:
        topic: the topic that was read.
        first: first offset that the update covers.
        end: offset up to which the host has read; the first that it hasn't.
        read_at: monotonic time at which the store held nothing newer.
        records: those from `first` to before `end`, without those that changed
            nothing. If `first` equals `end`, there are none, and a receiver
            with a lower offset reads the missing ones from the store. Only a
            snapshot has records then: what the host holds true.
        era: the store's era of `first` and `end`; 0 before any restore, or if
            an older build sent the update.
        removed: in a snapshot, as in `Beliefs`. The configuration's tells ended
            evacuations: the key, and the era and offset of the end.
        is_complete: whether the sender passes on the records of all keys that
            this build knows. Older builds leave out evacuations.
    """

    topic: Topic
    first: int
    end: int
    read_at: float
    records: tuple[Record, ...] = ()
    era: int = 0
    removed: tuple[RemovedRun, ...] = ()
    is_complete: bool = True

    @property
    def position(self) -> Position:
        """How far the host has read."""
        return Position(self.era, self.end)


class PeerStarting(NamedTuple):
    """A host that has just started itself; ask it later, or another one."""


class StoreError(NamedTuple):
    """The store gave no usable reply.

    Attributes:
        reason: the cause, for the log.
        is_dropped: whether the records asked for are no longer kept.
        first: then the first offset that is still kept, 0 if unknown.
        is_conflict: whether a condition of the write didn't hold.
    """

    reason: str
    is_dropped: bool = False
    first: int = 0
    is_conflict: bool = False


class EraWatch:
    """Notices when the store was restored from an older copy.

    Each restore raises the store's era by one. Records that were written after
    the copy was made are gone then, and their offsets are given out again.

    Attributes:
        era: the highest era seen, None before the first.
    """

    def __init__(self) -> None:
        self.era: int | None = None
        self._listeners: list[Callable[[int], None]] = []

    def add_listener(self, listener: Callable[[int], None]) -> None:
        """Calls `listener` with the new era at each rise."""
        self._listeners.append(listener)

    def observe(self, era: int) -> None:
        """Takes note of the era of an answer; listeners hear of a rise."""
        was = self.era
        if was is not None and era <= was:
            return
        self.era = era
        if was is None:
            return
        state_log.log_change("store restored", era=era, was=was)
        for listener in self._listeners:
            listener(era)


class Store(Protocol):
    """Client of the platform's store; its futures never raise.

    Attributes:
        eras: is told of the era of every answer before the answer is returned.
    """

    eras: EraWatch

    def read_newest(
        self, topic: Topic, after: str, timeout_s: float
    ) -> "Future[NewestPage | StoreError]":
        """Reads a page of the newest values, of keys after `after`."""

    def read_changes(
        self, topic: Topic, offset: int, wait_s: float
    ) -> "Future[RecordPage | StoreError]":
        """Reads records from `offset` on; waits `wait_s` for the first."""

    def put(
        self, topic: Topic, key: str, value: bytes, timeout_s: float
    ) -> "Future[StoreError | None]":
        """Sets the newest value of a key."""

    def append(
        self,
        topic: Topic,
        records: list[tuple[str, bytes]],
        timeout_s: float,
        at: int | None = None,
    ) -> "Future[StoreError | None]":
        """Appends keys and values, all or none.

        Args:
            topic: the topic.
            records: the keys and values.
            timeout_s: how long to wait for the answer, in seconds.
            at: appends only if the topic ends at this offset; None for any.
        """
