"""Shares what a host learned about endpoints and prompts with all hosts.

News goes to every live host at once, twice. Besides, a host that knows anything
recent sends it to a random host at intervals, so that lost datagrams and
network partitions only delay it. A host that starts asks others for all they
know.
"""

import random
from collections.abc import Callable
from typing import Protocol

from chervilarch import advisory_messages, peer_socket
from chervilarch import loop as loops
from chervilarch.advisory_messages import Advisory, AdvisoryMessage
from chervilarch.stage_coordination import Peer

_REPEAT_S = 0.1
_EXCHANGE_PERIOD_S = 0.5
# Older items have reached all hosts, apart from those that ask for all.
_EXCHANGED_AGE_S = 10.0
# A host that starts asks this many others, until one answers.
_ASKED_PEERS = 3
# What is sent at a time; a larger rest is left to later exchanges.
_MAX_EXCHANGED_DATAGRAMS = 32
_MAX_ALL_DATAGRAMS = 256


class Source(Protocol):
    """Holds items of one kind."""

    def items(self, now: float, max_age_s: float) -> list[Advisory]:
        """Returns the items that other hosts should know."""

    def merge(self, items: list[Advisory]) -> None:
        """Applies items of another host; ignores those of other kinds."""


class AdvisoryExchange:
    """Sends this host's items to the others and applies theirs."""

    def __init__(
        self,
        loop: loops.Loop,
        own: Peer,
        peers: Callable[[], list[Peer]],
        key: bytes,
        rng: random.Random,
    ):
        """Binds the socket; nothing is sent before `start`.

        Args:
            loop: the event loop.
            own: this host and the address of its socket.
            peers: returns the live hosts with the addresses of theirs.
            key: seals datagrams.
            rng: chooses the hosts to exchange with.

        Raises:
            OSError: the address can't be bound.
        """
        self._loop = loop
        self._peers = peers
        self._key = key
        self._rng = rng
        self._sources: list[Source] = []
        self._has_answer = False
        self._socket = peer_socket.PeerSocket(
            loop,
            own.address,
            lambda frame: advisory_messages.decode(key, frame, loop.now()),
            self._handle,
            "advisory refused",
        )

    def has_answer(self) -> bool:
        """Returns whether other hosts, if any, have told what they know."""
        return self._has_answer or not self._peers()

    def add_source(self, source: Source) -> None:
        """Adds a holder of items."""
        self._sources.append(source)

    def start(self) -> None:
        """Begins to exchange items with other hosts."""
        self._exchange()
        self._loop.call_every(_EXCHANGE_PERIOD_S, self._exchange)
        self._loop.add_resume_listener(self._on_resume)

    def close(self) -> None:
        """Stops listening."""
        self._socket.close()

    def publish(self, items: list[Advisory]) -> None:
        """Sends news to all live hosts."""
        if not items:
            return
        self._send(self._peers(), items)
        self._loop.call_later(
            _REPEAT_S, lambda: self._send(self._peers(), items)
        )

    def _exchange(self) -> None:
        peers = self._peers()
        if not self._has_answer:
            self._ask()
        items = self._all_items(_EXCHANGED_AGE_S)
        if peers and items:
            self._send_some(
                self._rng.choice(peers), items, _MAX_EXCHANGED_DATAGRAMS
            )

    def _on_resume(self, paused_s: float) -> None:
        """Asks for all, as news of the time of a pause is lost."""
        self._has_answer = False
        self._ask()

    def _ask(self) -> None:
        peers = self._peers()
        asked = self._rng.sample(peers, min(_ASKED_PEERS, len(peers)))
        self._send_message(asked, AdvisoryMessage(wants_all=True))

    def _all_items(self, max_age_s: float) -> list[Advisory]:
        now = self._loop.now()
        return [
            item
            for source in self._sources
            for item in source.items(now, max_age_s)
        ]

    def _handle(self, message: AdvisoryMessage, source: tuple) -> None:
        if message.wants_all:
            peer = Peer("", source)
            # Sent also if empty: it ends the asking.
            self._send_some(
                peer, self._all_items(float("inf")), _MAX_ALL_DATAGRAMS
            )
            return
        self._has_answer = True
        for holder in self._sources:
            holder.merge(list(message.items))

    def _send(self, peers: list[Peer], items: list[Advisory]) -> None:
        for part in advisory_messages.split(items):
            self._send_message(peers, AdvisoryMessage(part))

    def _send_some(
        self, peer: Peer, items: list[Advisory], max_datagrams: int
    ) -> None:
        """Sends a random choice of the datagrams that all items need."""
        parts = advisory_messages.split(items)
        for part in self._rng.sample(parts, min(max_datagrams, len(parts))):
            self._send_message([peer], AdvisoryMessage(part))

    def _send_message(
        self, peers: list[Peer], message: AdvisoryMessage
    ) -> None:
        frame = advisory_messages.encode(self._key, message, self._loop.now())
        for peer in peers:
            self._socket.send(peer.address, frame)
