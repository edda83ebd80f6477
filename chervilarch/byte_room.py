"""Room for the bytes that a process keeps of its peers' messages. No I/O.

All holders share one bound. While there is room, each gets what it asks for. At
the bound a peer that holds less than its fair part takes room from the one that
holds most, if that one's message has no known length or is silent; others wait,
and their sockets are left unread. One of those that wait goes on in room of its
own, so that not all of them wait for each other.
"""

import enum
import itertools
from collections.abc import Callable
from typing import NamedTuple

# Messages up to this size don't wait for larger ones.
SMALL_BYTES = 64 * 1024
# A holder without progress for this many seconds is given up if others wait.
MAX_SILENCE_S = 2.0
# Fewer bytes are no progress.
LEAST_PROGRESS_BYTES = 64 * 1024
# So many of those that wait are looked at for the one that goes on.
_MAX_COMPARED = 32


class Bounds(NamedTuple):
    """Sizes of a room, in bytes.

    Attributes:
        shared: for all holders together.
        largest: of one message; also the room in which one holder goes on
            while others wait.
        small: for messages of up to SMALL_BYTES, beyond the other two.
    """

    shared: int
    largest: int
    small: int


class Grant(enum.Enum):
    """The answer to a holder that asks for room."""

    TAKEN = "taken"
    # `on_room` is called once it is worth asking again.
    WAIT = "wait"
    # The message is over the bound, or gave way to another one.
    REFUSED = "refused"


class Holder:
    """One message's part of a room.

    Attributes:
        peer: who sends the message, or reads it.
        size: bytes that it holds.
        expected_size: size of the whole message, 0 if it isn't known.
        is_evicted: whether it had to give its room back.
        waits_since: monotonic time in seconds since which it waits, None if it
            doesn't.
    """

    def __init__(
        self,
        peer: str,
        on_room: Callable[[], None],
        on_evicted: Callable[[], None] | None,
        now: float,
    ):
        self.peer = peer
        self.on_room = on_room
        # None once it can't be given up.
        self.on_evicted = on_evicted
        self.size = 0
        self.expected_size = 0
        # Part of `size` in the room for small messages.
        self.small_size = 0
        self.is_evicted = False
        # Whether `on_room` was called since it asked.
        self.is_told = False
        self.waits_since: float | None = None
        self.progressed_at = now
        self._unrecorded_bytes = 0

    def record_progress(self, size: int, now: float) -> None:
        """Records bytes that have arrived."""
        self._unrecorded_bytes += size
        if self._unrecorded_bytes >= LEAST_PROGRESS_BYTES:
            self._unrecorded_bytes = 0
            self.progressed_at = now

    def is_silent(self, now: float) -> bool:
        """Returns whether it got room and has made no progress since."""
        return now - self.progressed_at > MAX_SILENCE_S

    def is_small_with(self, size: int) -> bool:
        """Returns whether it is a small message with so many more bytes."""
        return max(self.size + size, self.expected_size) <= SMALL_BYTES

    def missing(self, largest: int) -> int:
        """Returns how much it may still ask for."""
        return (self.expected_size or largest) - self.size


class Room:
    """Shares the room among its holders.

    Attributes:
        bounds: its sizes.
        size: bytes that are held.
        on_wait: called whenever a holder has to wait; mustn't call the room.
    """

    def __init__(self, bounds: Bounds):
        self.bounds = bounds
        self.on_wait: Callable[[], None] = _do_nothing
        self.size = 0
        # In the order in which they came.
        self._holders: dict[Holder, None] = {}
        self._small_size = 0
        self._peers: dict[str, int] = {}
        # Those that wait and what they ask for, in the order in which they
        # began to; the small ones among them.
        self._waiting: dict[Holder, int] = {}
        self._waiting_small: dict[Holder, int] = {}
        # Goes on while others wait.
        self._leader: Holder | None = None

    def open(
        self,
        peer: str,
        now: float,
        on_room: Callable[[], None],
        on_evicted: Callable[[], None] | None = None,
    ) -> Holder:
        """Adds a holder.

        Args:
            peer: who sends the message, or reads it.
            now: monotonic time in seconds.
            on_room: called when a holder that waits should ask again.
            on_evicted: called when it had to give its room back; None if it
                can't. Neither may call the room.
        """
        holder = Holder(peer, on_room, on_evicted, now)
        self._holders[holder] = None
        return holder

    def take(self, holder: Holder, size: int, now: float) -> Grant:
        """Asks for more room, all of it or none.

        Args:
            holder: who asks.
            size: bytes that it wants in addition.
            now: monotonic time in seconds.
        """
        end = max(holder.size + size, holder.expected_size)
        if end > self.bounds.largest or holder.is_evicted:
            return Grant.REFUSED
        holder.is_told = False
        if not self._may_take(holder, size, now):
            self._waiting[holder] = size
            if holder.is_small_with(size):
                self._waiting_small[holder] = size
            if holder.waits_since is None:
                holder.waits_since = now
            self.on_wait()
            return Grant.WAIT
        if holder in self._waiting:
            # The wait was for others.
            holder.progressed_at = now
        self._stop_waiting(holder)
        holder.record_progress(size, now)
        self._add(holder, size)
        return Grant.TAKEN

    def set_size(self, holder: Holder, size: int) -> None:
        """Counts bytes that are held already, also beyond the bound."""
        is_less = size < holder.size
        self._add(holder, size - holder.size)
        if is_less:
            self._wake()

    def close(self, holder: Holder) -> None:
        """Removes a holder and returns its room."""
        if holder not in self._holders:
            return
        del self._holders[holder]
        self._stop_waiting(holder)
        if self._leader is holder:
            self._leader = None
        self._clear(holder)
        self._wake()

    def is_awaited(self) -> bool:
        """Returns whether any holder waits."""
        return bool(self._waiting)

    def waits(self) -> list[tuple[int, float]]:
        """Returns what each waiting holder needs and since when it waits.

        The need is what is missing of a message of known length, in bytes, and
        otherwise what it asks for.
        """
        return [
            (max(size, holder.expected_size - holder.size), holder.waits_since)
            for holder, size in self._waiting.items()
        ]

    def check(self, now: float) -> None:
        """Gives up the largest of the silent holders if others wait."""
        if not self._waiting:
            return
        silent = [
            holder
            for holder in self._holders
            if holder.size and self._is_idle(holder, now)
        ]
        if silent:
            self._evict(max(silent, key=lambda holder: holder.size))
            self._wake()

    def _may_take(self, holder: Holder, size: int, now: float) -> bool:
        shared = self.bounds.shared + self._small_size
        if self.size + size <= shared:
            return True
        if (
            holder.is_small_with(size)
            and self._small_size + size <= self.bounds.small
        ):
            holder.small_size += size
            self._small_size += size
            return True
        if self._held_by(holder.peer) + size <= self._fair_part():
            if self._evict_from_largest(holder, size, now):
                self._wake()
            shared = self.bounds.shared + self._small_size
            if self.size + size <= shared:
                return True
        return (
            self._may_lead(holder)
            and self.size + size <= shared + self.bounds.largest
        )

    def _may_lead(self, holder: Holder) -> bool:
        """Returns whether a holder is the one that goes on."""
        self._forget_leader_without_need()
        if self._leader is None:
            compared = itertools.islice(self._waiting, _MAX_COMPARED)
            self._leader = min(
                [*compared, holder],
                key=lambda item: item.missing(self.bounds.largest),
            )
            if self._leader is not holder:
                self._tell(self._leader)
        return self._leader is holder

    def _forget_leader_without_need(self) -> None:
        """Lets another holder go on if the room for that is free."""
        if self.size <= self.bounds.shared + self._small_size:
            self._leader = None

    def _fair_part(self) -> int:
        return self.bounds.shared // max(2, len(self._peers))

    def _held_by(self, peer: str) -> int:
        return self._peers.get(peer, 0)

    def _evict_from_largest(
        self, asking: Holder, size: int, now: float
    ) -> bool:
        """Evicts the largest holders of the peers that hold most.

        Returns:
            Whether any was evicted.
        """
        has_evicted = False
        while self.size + size > self.bounds.shared + self._small_size:
            evictable = [
                holder
                for holder in self._holders
                if holder is not asking
                and self._may_evict(holder, now)
                and self._held_by(holder.peer) > self._fair_part()
            ]
            if not evictable:
                break
            self._evict(
                max(evictable, key=lambda h: (self._held_by(h.peer), h.size))
            )
            has_evicted = True
        return has_evicted

    def _may_evict(self, holder: Holder, now: float) -> bool:
        has_no_length = holder.on_evicted and not holder.expected_size
        return has_no_length or self._is_idle(holder, now)

    def _is_idle(self, holder: Holder, now: float) -> bool:
        """Returns whether a holder may be given up for its silence."""
        return (
            holder.on_evicted is not None
            and holder not in self._waiting
            and holder.is_silent(now)
        )

    def _evict(self, holder: Holder) -> None:
        on_evicted, holder.on_evicted = holder.on_evicted, None
        holder.is_evicted = True
        self._stop_waiting(holder)
        if self._leader is holder:
            self._leader = None
        self._clear(holder)
        on_evicted()

    def _clear(self, holder: Holder) -> None:
        self._small_size -= holder.small_size
        holder.small_size = 0
        self._add(holder, -holder.size)

    def _add(self, holder: Holder, size: int) -> None:
        holder.size += size
        self.size += size
        held = self._held_by(holder.peer) + size
        if held:
            self._peers[holder.peer] = held
        else:
            self._peers.pop(holder.peer, None)

    def _stop_waiting(self, holder: Holder) -> None:
        holder.waits_since = None
        self._waiting.pop(holder, None)
        self._waiting_small.pop(holder, None)

    def _wake(self) -> None:
        """Tells those that wait and have room now, in their order."""
        free = self.bounds.small - self._small_size
        for holder, size in self._waiting_small.items():
            free -= size
            if free < 0:
                break
            self._tell(holder)
        free = self.bounds.shared + self._small_size - self.size
        for holder, size in self._waiting.items():
            free -= size
            if free < 0:
                break
            self._tell(holder)
        self._forget_leader_without_need()
        if self._leader in self._waiting:
            self._tell(self._leader)
        elif self._leader is None and self._waiting:
            # It, or another one, goes on.
            self._tell(next(iter(self._waiting)))

    def _tell(self, holder: Holder) -> None:
        if not holder.is_told:
            holder.is_told = True
            holder.on_room()


def _do_nothing() -> None:
    pass
