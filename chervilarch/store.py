"""Interface to the platform's store, and the values it exchanges."""

import enum
from concurrent.futures import Future
from typing import NamedTuple, Protocol


class Topic(enum.Enum):
    """Topics of the store.

    `ROUTERS` is the list of all gateways, `BLOCKS` holds the blocks of prompts.
    """

    CONFIGURATION = "configuration"
    ENDPOINTS = "endpoints"
    ROUTERS = "routers"
    BLOCKS = "blocks"


class Record(NamedTuple):
    """One record of a topic; an empty value removes the key."""

    offset: int
    key: str
    value: bytes


class NewestPage(NamedTuple):
    """A page of the newest value of each key.

    Attributes:
        records: one record a key.
        has_more: whether another page follows the last key.
        end: offset of the next record to be written.
    """

    records: list[Record]
    has_more: bool
    end: int


class RecordPage(NamedTuple):
    """Records from an offset on.

    Attributes:
        records: in the order of their offsets.
        end: offset of the next record to be written.
        first: first offset that is still kept; not used.
    """

    records: list[Record]
    end: int
    first: int


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
            snapshot has records then: the newest values, with offset `end`.
    """

    topic: Topic
    first: int
    end: int
    read_at: float
    records: tuple[Record, ...] = ()


class StoreError(NamedTuple):
    """The store gave no usable reply.

    Attributes:
        reason: the cause, for the log.
        is_dropped: whether the records asked for are no longer kept.
    """

    reason: str
    is_dropped: bool = False


class Store(Protocol):
    """Client of the platform's store; its futures never raise."""

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
