"""Shares what one host reads of the platform's store with its neighbours.

Every read of the store has its price, and all hosts of a data centre read the
same. The first of them in an order of their names reads; the others read when
they have not heard of a newer reading for a little longer, the second before
the third. So a reader that is lost, or news that is lost, delays the others by
a tenth of the time between reads.
"""

import zlib
from collections.abc import Callable

from chervilarch import (
    followers,
    messages,
    peer_socket,
    state_log,
    store,
    store_messages,
)
from chervilarch import loop as loops
from chervilarch.gathering import Peer

# More hosts than these share the last turn.
_MAX_TURN = 4
# What an unfragmented datagram holds beside the hash and the offsets; records
# of endpoints have about 200 bytes.
_MAX_CHANGES_BYTES = 1000
# The records of some hundred endpoints that start at once.
_MAX_PARTS = 32


class StoreSharing:
    """Tells the hosts of this data centre what was read, and takes theirs."""

    def __init__(
        self,
        loop: loops.Loop,
        own: Peer,
        neighbours: Callable[[], list[Peer]],
        topics: dict[store.Topic, followers.TopicFollower],
        key: bytes,
    ):
        """Binds the socket and connects the followers.

        Args:
            loop: the event loop.
            own: this host and the address of its socket for news.
            neighbours: returns the live hosts of this data centre.
            topics: the followers that share their readings.
            key: seals datagrams.

        Raises:
            OSError: the address can't be bound.
        """
        self._loop = loop
        self._own = own
        self._neighbours = neighbours
        self._topics = topics
        self._key = key
        self._socket = peer_socket.PeerSocket(
            loop, own.address, self._take_frame
        )
        for follower in topics.values():
            follower.turn = self.turn
            follower.on_news = self._tell

    def close(self) -> None:
        """Stops sharing."""
        self._socket.close()

    def turn(self) -> int:
        """Returns how many neighbours read before this host does."""
        own = _rank(self._own.name)
        ahead = sum(_rank(peer.name) > own for peer in self._neighbours())
        return min(_MAX_TURN, ahead)

    def _tell(self, news: store.TopicNews) -> None:
        """Sends a reading, and how recent those of the other topics are."""
        peers = self._neighbours()
        if not peers:
            return
        others = [
            follower.state()
            for topic, follower in self._topics.items()
            if topic is not news.topic and follower.has_read()
        ]
        now = self._loop.now()
        for part in _split(news):
            frame = store_messages.encode(self._key, [part, *others], now)
            for peer in peers:
                self._socket.send(peer.address, frame)

    def _take_frame(self, frame: bytes, source: tuple) -> None:
        news = store_messages.decode(self._key, frame, self._loop.now())
        if isinstance(news, messages.BadFrame):
            state_log.log_fault(
                "news of the store refused", host=source[0], reason=news.reason
            )
            return
        for item in news:
            follower = self._topics.get(item.topic)
            if follower is not None:
                follower.take_news(item, source[0])


def _split(news: store.TopicNews) -> list[store.TopicNews]:
    """Splits news into parts that each fit a datagram.

    News that is too long for a few of them is cut down to how far the host
    has read: the others see a gap, and read the store themselves.
    """
    size = 0
    ends: list[int] = []
    for change in news.changes:
        size += len(change.key) + len(change.value)
        if size > _MAX_CHANGES_BYTES:
            ends.append(change.offset)
            size = len(change.key) + len(change.value)
    if len(ends) >= _MAX_PARTS:
        return [news._replace(first=news.end, changes=())]
    parts = []
    first = news.first
    for end in [*ends, news.end]:
        changes = tuple(c for c in news.changes if first <= c.offset < end)
        parts.append(news._replace(first=first, end=end, changes=changes))
        first = end
    return parts


def _rank(name: str) -> int:
    """Returns a host's rank; that of gathering would load the same host."""
    return zlib.crc32(f"store {name}".encode())
