"""What the product asks of the platform's store."""

import enum
from concurrent.futures import Future
from typing import NamedTuple, Protocol


class Topic(enum.Enum):
    """What lies in the store."""

    CONFIGURATION = "configuration"
    ENDPOINTS = "endpoints"
    ROUTERS = "routers"


class Change(NamedTuple):
    """One record; an empty value removes the key."""

    offset: int
    key: str
    value: bytes


class NewestPage(NamedTuple):
    """A page of the newest value of each key.

    Attributes:
        changes: one record a key.
        has_more: whether another page follows the last key.
        end: offset of the next record to be written.
    """

    changes: list[Change]
    has_more: bool
    end: int


class Changes(NamedTuple):
    """Records from an offset on.

    Attributes:
        changes: in the order of their offsets.
        end: offset of the next record to be written.
        first: first offset that is still kept.
    """

    changes: list[Change]
    end: int
    first: int


class TopicUpdate(NamedTuple):
    """What one host read of a topic, for the others.

    Attributes:
        topic: what was read.
        first: offset from which on it was read.
        end: offset up to which it was read.
        read_at: monotonic time at which the store held nothing newer.
        changes: all of that span that changed anything.
    """

    topic: Topic
    first: int
    end: int
    read_at: float
    changes: tuple[Change, ...] = ()


class StoreError(NamedTuple):
    """No usable reply.

    Attributes:
        reason: what was seen.
        is_dropped: whether the records asked for are no longer kept.
    """

    reason: str
    is_dropped: bool = False


class Store(Protocol):
    """The platform's store; futures resolve and never raise."""

    def read_newest(
        self, topic: Topic, after: str, timeout_s: float
    ) -> "Future[NewestPage | StoreError]":
        """Reads a page of the newest value of each key."""

    def read_changes(
        self, topic: Topic, offset: int, wait_s: float
    ) -> "Future[Changes | StoreError]":
        """Reads the changes from an offset, waiting for the first one."""

    def put(
        self, topic: Topic, key: str, value: bytes, timeout_s: float
    ) -> "Future[StoreError | None]":
        """Sets the newest value of a key."""
