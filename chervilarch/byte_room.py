"""Room for the bytes that a process keeps of its peers' messages. No I/O.

All holders share one bound. While there is room, each gets what it asks for. At
the bound a peer that holds less than its fair part takes room from the one that
holds most, if that one's message has no known length or is silent; others wait,
and their sockets are left unread. One of those that wait goes on in room of its
own, so that not all of them wait for each other.
"""

import enum
from collections.abc import Callable
from typing import NamedTuple

# Messages up to this size don't wait for larger ones.
SMALL_BYTES = 64 * 1024
# A holder without progress for this many seconds is given up if others wait.
MAX_SILENCE_S = 2.0


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
    """

    def __init__(self, bounds: Bounds):
        self.bounds = bounds
        self.size = 0
        # In the order in which they came.
        self._holders: dict[Holder, None] = {}
        self._small_size = 0
        self._peers: dict[str, int] = {}
        # Those that wait, in the order in which they began to.
        self._waiting: dict[Holder, None] = {}
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
        if not self._may_take(holder, size, now):
            self._waiting.setdefault(holder)
            return Grant.WAIT
        self._waiting.pop(holder, None)
        holder.progressed_at = now
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
        self._waiting.pop(holder, None)
        if self._leader is holder:
            self._leader = None
        self._clear(holder)
        self._wake()

    def is_awaited(self) -> bool:
        """Returns whether any holder waits."""
        return bool(self._waiting)

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
            self._evict_from_largest(holder, size, now)
            shared = self.bounds.shared + self._small_size
            if self.size + size <= shared:
                return True
        return (
            self._may_lead(holder)
            and self.size + size <= shared + self.bounds.largest
        )

    def _may_lead(self, holder: Holder) -> bool:
        """Returns whether a holder is the one that goes on."""
        if self.size <= self.bounds.shared + self._small_size:
            # Nobody uses the room of the one that goes on.
            self._leader = None
        if self._leader is None:
            self._leader = min(
                [*self._waiting, holder],
                key=lambda item: item.missing(self.bounds.largest),
            )
            if self._leader is not holder:
                self._leader.on_room()
        return self._leader is holder

    def _fair_part(self) -> int:
        return self.bounds.shared // max(2, len(self._peers))

    def _held_by(self, peer: str) -> int:
        return self._peers.get(peer, 0)

    def _evict_from_largest(
        self, asking: Holder, size: int, now: float
    ) -> None:
        """Evicts the largest holders of the peers that hold most."""
        while self.size + size > self.bounds.shared + self._small_size:
            evictable = [
                holder
                for holder in self._holders
                if holder is not asking
                and self._may_evict(holder, now)
                and self._held_by(holder.peer) > self._fair_part()
            ]
            if not evictable:
                return
            self._evict(
                max(evictable, key=lambda h: (self._held_by(h.peer), h.size))
            )

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
        self._waiting.pop(holder, None)
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

    def _wake(self) -> None:
        """Lets those that wait ask again."""
        for holder in list(self._waiting):
            holder.on_room()
