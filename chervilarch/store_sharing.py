"""Shares what one host reads of the platform's store with its neighbours.

Every read of the store has its price, and all hosts of a data centre read the
same. The first of them in an order of their names reads; the others read when
they have not heard of a newer reading for a little longer, the second before
the third. So a reader that is lost, or news that is lost, delays the others by
a tenth of the time between reads.

A host that starts while the store is away asks another one for what it holds.
"""

import functools
import random
import zlib
from collections.abc import Callable
from concurrent.futures import Future

from chervilarch import (
    exchanges,
    inbound,
    messages,
    outgoing,
    pages,
    peer_socket,
    state_log,
    store,
    store_messages,
    tasks,
    topic_follower,
)
from chervilarch import loop as loops
from chervilarch.stage_coordination import Peer

# More hosts than these share the last turn.
_MAX_TURN = 4
# What an unfragmented datagram holds beside the hash and the offsets; records
# of endpoints have about 200 bytes.
_MAX_CHANGES_BYTES = 1000
# A peer that is alive answers in milliseconds.
_ASK_TIMEOUT_S = 0.5
_BINARY = "application/octet-stream"
# The records of some hundred endpoints that start at once.
_MAX_PARTS = 32


class StoreSharing:
    """Tells the hosts of this data centre what was read, and takes theirs."""

    def __init__(
        self,
        loop: loops.Loop,
        own: Peer,
        neighbours: Callable[[], list[Peer]],
        peers: Callable[[], list[Peer]],
        topics: dict[store.Topic, topic_follower.TopicFollower],
        key: bytes,
        client: outgoing.Client,
        rng: random.Random,
    ):
        """Binds the sockets and connects the followers.

        Args:
            loop: the event loop.
            own: this host and the address of its sockets for news.
            neighbours: returns the live hosts of this data centre.
            peers: returns the live hosts of all data centres.
            topics: the followers that share their readings.
            key: seals what is sent.
            client: asks peers.
            rng: chooses the peer that is asked.

        Raises:
            OSError: the address can't be bound.
        """
        self._loop = loop
        self._own = own
        self._neighbours = neighbours
        self._peers = peers
        self._client = client
        self._rng = rng
        self._topics = topics
        self._key = key
        self._socket = peer_socket.PeerSocket(
            loop,
            own.address,
            lambda frame: store_messages.decode(key, frame, loop.now()),
            self._take,
            "news of the store refused",
        )
        host, port = self._socket.address
        self._pages = inbound.Server(
            loop, f"{host}:{port}", pages.PageHandler(self._page)
        )
        for topic, follower in topics.items():
            follower.read_rank = self.read_rank
            follower.on_update = self._tell
            follower.ask_peer = functools.partial(self._ask, topic)

    def close(self) -> None:
        """Stops sharing."""
        self._socket.close()
        self._pages.stop_accepting()

    def read_rank(self) -> int:
        """Returns how many neighbours read before this host does."""
        own = _rank(self._own.name)
        ahead = sum(_rank(peer.name) > own for peer in self._neighbours())
        return min(_MAX_TURN, ahead)

    def _tell(self, news: store.TopicUpdate) -> None:
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

    def _page(self, target: str) -> tuple[int, str, bytes]:
        """Returns the newest values of a topic, for a host that has none."""
        for topic, follower in self._topics.items():
            if target == f"/{topic.value}" and follower.has_read():
                news = [follower.snapshot()]
                body = store_messages.encode(self._key, news, self._loop.now())
                return 200, _BINARY, body
        return 404, _BINARY, b""

    def _ask(self, topic: store.Topic) -> Future:
        """Asks a peer, near if there is one; the result may be None."""
        peers = self._neighbours() or self._peers()
        if not peers:
            return tasks.done(None)
        peer = self._rng.choice(peers)
        host, port = peer.address
        exchange = exchanges.Exchange(
            "GET",
            f"http://{host}:{port}/{topic.value}",
            timeout_s=_ASK_TIMEOUT_S,
            fresh=True,
        )
        fut: Future = Future()
        self._client.call(exchange).add_done_callback(
            lambda done: fut.set_result(
                self._read_page(peer, topic, done.result())
            )
        )
        return fut

    def _read_page(
        self, peer: Peer, topic: store.Topic, result: exchanges.TransferResult
    ) -> store.TopicUpdate | None:
        if isinstance(result, exchanges.TransferFailure):
            reason = f"{result.kind.value}: {result.detail}"
        elif result.status != 200:
            reason = f"status {result.status}"
        else:
            now = self._loop.now()
            news = store_messages.decode(self._key, result.body, now)
            if not isinstance(news, messages.BadFrame):
                return news[0]
            reason = news.reason
        state_log.log_fault(
            "no values from a peer",
            host=peer.name,
            topic=topic.value,
            reason=reason,
        )
        return None

    def _take(self, news: list[store.TopicUpdate], source: tuple) -> None:
        for item in news:
            follower = self._topics.get(item.topic)
            if follower is not None:
                follower.apply_update(item, source[0])


def _split(news: store.TopicUpdate) -> list[store.TopicUpdate]:
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
