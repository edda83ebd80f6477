"""Shares what one host reads of the platform's store with all others.

Reads of the store are costly, and all hosts read the same records. The host of
read rank 0 reads and sends topic updates to the hosts of its data centre and
to the leader of each other one, which passes them on there. So the number of
reads doesn't grow with hosts or data centres, and an update crosses to another
data centre once. Hosts read themselves only if no newer update arrives in time,
and each rank waits longer than the one before: first the leaders of the data
centres, then the others. A lost reader or a lost update therefore delays the
others by a few tenths of the time between reads.

A restore of the store from an older copy gives out offsets again, in a higher
era. A host that hears of one reads a snapshot; the first ones tell the others.
Hosts of builds that don't know eras send 0. Their updates are ignored once the
store has named an era, so newer hosts then read for themselves.

A host that starts also asks another one for what it holds true, as the store
may have lost that in a restore, or may be unavailable.
"""

import functools
import random
import zlib
from collections.abc import Callable

from chervilarch import (
    exchanges,
    http_client,
    http_server,
    messages,
    pages,
    peer_socket,
    state_log,
    store,
    store_messages,
    tasks,
    topic_follower,
)
from chervilarch import loop as loops
from chervilarch.futures import Future
from chervilarch.stage_coordination import Peer

# Hosts that would rank higher share this rank.
_MAX_READ_RANK = 6
# Leaders of data centres share this rank beyond it.
_MAX_LEADER_RANK = 3
# Fits an unfragmented datagram together with the hash and the offsets. Records
# of endpoints have about 200 bytes.
_MAX_RECORDS_BYTES = 1000
# A larger datagram, which a configuration of very many routes would need, isn't
# sent: each of its fragments may be lost, and links of hosts are slow.
_MAX_FRAME_BYTES = 8 * 1024
# All hosts hear of a restore at about the same time; they read their snapshots
# within this time.
_MAX_RESTORE_DELAY_S = 0.3
# A live peer answers in milliseconds.
_FETCH_TIMEOUT_S = 0.5
_BINARY = "application/octet-stream"
# Status of a host that can't say yet what others hold true. It sends no
# snapshot, as many hosts that start at once ask each other several times.
_STARTING = 503
# Enough for the records of about 160 endpoints that start at once, of 200 bytes
# each.
_MAX_PARTS = 32


class StoreSharing:
    """Sends topic updates to the neighbours and applies theirs."""

    def __init__(
        self,
        loop: loops.Loop,
        own: Peer,
        peers: Callable[[], list[Peer]],
        topics: dict[store.Topic, topic_follower.TopicFollower],
        key: bytes,
        client: http_client.Client,
        rng: random.Random,
    ):
        """Binds the sockets and connects the followers.

        Args:
            loop: the event loop.
            own: this host and the address of its sockets for updates.
            peers: returns the live hosts of all data centres, with the
                addresses of their sockets for updates.
            topics: the followers that share what they read.
            key: seals datagrams and snapshots.
            client: fetches snapshots from peers.
            rng: chooses the peer to fetch from, and delays.

        Raises:
            OSError: the address can't be bound.
        """
        self._loop = loop
        self._own = own
        self._peers = peers
        self._client = client
        self._rng = rng
        self._topics = topics
        self._key = key
        self._socket = peer_socket.PeerSocket(
            loop,
            own.address,
            lambda frame: store_messages.decode(key, frame, loop.now()),
            self._apply_news,
            "news of the store refused",
        )
        host, port = self._socket.address
        self._server = http_server.Server(
            loop, f"{host}:{port}", pages.PageHandler(self._serve_snapshot)
        )
        for topic, follower in topics.items():
            follower.read_rank = self.read_rank
            follower.restore_delay = functools.partial(
                rng.uniform, 0.0, _MAX_RESTORE_DELAY_S
            )
            follower.on_update = self._send_update
            follower.has_peers = lambda: bool(self._peers())
            follower.fetch_from_peer = functools.partial(
                self._fetch_from_peer, topic
            )

    def close(self) -> None:
        """Stops sharing."""
        self._socket.close()
        self._server.stop_accepting()

    def read_rank(self) -> int:
        """Returns how many hosts read before this one does."""
        own = _read_sort_key(self._own.name)
        neighbours, leaders = self._receivers()
        ahead = sum(_read_sort_key(peer.name) > own for peer in neighbours)
        if ahead:
            return min(
                _MAX_READ_RANK, min(_MAX_LEADER_RANK, len(leaders)) + ahead
            )
        leaders_ahead = sum(_read_sort_key(peer.name) > own for peer in leaders)
        return min(_MAX_LEADER_RANK, leaders_ahead)

    def _receivers(self) -> tuple[list[Peer], list[Peer]]:
        """Returns the neighbours, and the leaders of other data centres."""
        neighbours: list[Peer] = []
        leaders: dict[str, Peer] = {}
        for peer in self._peers():
            if peer.data_centre == self._own.data_centre:
                neighbours.append(peer)
                continue
            first = leaders.setdefault(peer.data_centre, peer)
            if _read_sort_key(peer.name) > _read_sort_key(first.name):
                leaders[peer.data_centre] = peer
        return neighbours, list(leaders.values())

    def _send_update(self, update: store.TopicUpdate) -> None:
        """Sends an update, and how far the other topics have been read."""
        others = [
            follower.state()
            for topic, follower in self._topics.items()
            if topic is not update.topic and follower.has_read()
        ]
        neighbours, leaders = self._receivers()
        for part in _split_update(update):
            updates = [part, *others]
            self._send(neighbours, updates, must_relay=False)
            self._send(leaders, updates, must_relay=True)

    def _send(
        self,
        peers: list[Peer],
        updates: list[store.TopicUpdate],
        must_relay: bool,
    ) -> None:
        """Sends updates to hosts; those with too large records without them."""
        if not peers:
            return
        news = store_messages.StoreNews(updates, must_relay)
        frame = store_messages.encode(self._key, news, self._loop.now())
        if len(frame) > _MAX_FRAME_BYTES:
            ends = [_end_only(update) for update in updates]
            frame = store_messages.encode(
                self._key, news._replace(updates=ends), self._loop.now()
            )
        for peer in peers:
            self._socket.send(peer.address, frame)

    def _serve_snapshot(self, target: str) -> tuple[int, str, bytes]:
        """Serves what this host holds true of a topic to another one."""
        for topic, follower in self._topics.items():
            if target == f"/{topic.value}" and follower.has_read():
                if not follower.may_serve:
                    return _STARTING, _BINARY, b""
                news = store_messages.StoreNews([follower.snapshot()])
                body = store_messages.encode(self._key, news, self._loop.now())
                return 200, _BINARY, body
        return 404, _BINARY, b""

    def _fetch_from_peer(self, topic: store.Topic) -> Future:
        """Fetches a peer's snapshot, a neighbour's if any; None if it fails."""
        neighbours, _ = self._receivers()
        peers = neighbours or self._peers()
        if not peers:
            return tasks.done(None)
        peer = self._rng.choice(peers)
        host, port = peer.address
        exchange = exchanges.Exchange(
            "GET",
            f"http://{host}:{port}/{topic.value}",
            timeout_s=_FETCH_TIMEOUT_S,
            fresh=True,
        )
        fut: Future = Future()
        asked_at = self._loop.now()
        self._client.call(exchange).add_done_callback(
            lambda done: fut.set_result(
                self._parse_snapshot(peer, topic, done.result(), asked_at)
            )
        )
        return fut

    def _parse_snapshot(
        self,
        peer: Peer,
        topic: store.Topic,
        result: exchanges.TransferResult,
        asked_at: float,
    ) -> store.TopicUpdate | store.PeerStarting | None:
        # The age that the reply tells may be of any time since it was asked.
        if isinstance(result, exchanges.TransferFailure):
            reason = f"{result.kind.value}: {result.detail}"
        elif result.status == _STARTING:
            return store.PeerStarting()
        elif result.status != 200:
            reason = f"status {result.status}"
        else:
            news = store_messages.decode(self._key, result.body, asked_at)
            if isinstance(news, messages.BadFrame):
                reason = news.reason
            elif [update.topic for update in news.updates] != [topic]:
                reason = "the reply is of another topic"
            else:
                return news.updates[0]
        state_log.log_fault(
            "no values from a peer",
            host=peer.name,
            topic=topic.value,
            reason=reason,
        )
        return None

    def _apply_news(
        self, news: store_messages.StoreNews, source: tuple
    ) -> None:
        if news.must_relay:
            neighbours, _ = self._receivers()
            self._send(neighbours, news.updates, must_relay=False)
        for update in news.updates:
            follower = self._topics.get(update.topic)
            if follower is not None:
                follower.apply_update(update, source[0])


def _split_update(update: store.TopicUpdate) -> list[store.TopicUpdate]:
    """Splits an update into parts of at most `_MAX_RECORDS_BYTES`.

    A larger record forms a part of its own.

    An update of too many parts is reduced to its end offset: the other hosts
    notice the gap and read the store themselves.
    """
    size = 0
    ends: list[int] = []
    for record in update.records:
        size += len(record.key) + len(record.value)
        if size > _MAX_RECORDS_BYTES:
            ends.append(record.offset)
            size = len(record.key) + len(record.value)
    if len(ends) >= _MAX_PARTS:
        return [_end_only(update)]
    parts = []
    first = update.first
    for end in [*ends, update.end]:
        records = tuple(r for r in update.records if first <= r.offset < end)
        parts.append(update._replace(first=first, end=end, records=records))
        first = end
    return parts


def _end_only(update: store.TopicUpdate) -> store.TopicUpdate:
    """Returns an update from which the receivers learn only that they lag."""
    if not update.records:
        return update
    return update._replace(first=update.end, records=())


@functools.lru_cache(maxsize=4096)
def _read_sort_key(name: str) -> int:
    """Returns the sort key of the read order, highest first.

    It differs from that of coordinating hosts, so that one host doesn't get
    both loads.
    """
    return zlib.crc32(f"store {name}".encode())
