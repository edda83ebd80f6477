"""Finds the other gateways: first in the platform's store, then by gossip."""

import hashlib
import random

from chervilarch import (
    clocks,
    gossip,
    hosts,
    membership,
    metrics,
    stage_coordination,
    state_log,
    store,
    tasks,
)
from chervilarch import loop as loops

_STORE_TIMEOUT_S = 1.5
_RETRY_S = 1.0
# Seeds are greeted so often until a host is heard; they may start later.
_GREET_PERIOD_S = 0.25
# A host that sees no other reads the store's list again after this time.
_ALONE_S = 5.0
# The ports of the other sockets for peers follow that of gossip.
_STAGE_PORT_OFFSET = 1
_STORE_PORT_OFFSET = 2


class Fleet:
    """The gateways that are held alive."""

    def __init__(
        self,
        loop: loops.Loop,
        source: store.Store,
        own: membership.Member,
        key: bytes,
        clock: clocks.Clock,
        rng: random.Random,
        seeds: tuple[str, ...] = (),
    ):
        """Creates the fleet; nothing is started.

        Args:
            loop: the event loop.
            source: the platform's store.
            own: this host.
            key: seals datagrams.
            clock: for gossip's own thread.
            rng: chooses whom gossip asks.
            seeds: IP addresses of hosts that may be running.
        """
        self._loop = loop
        self._store = source
        self._own = own
        self._seeds = seeds
        self.gossip = gossip.GossipController(
            own, key, clock, metrics.Metrics(None), rng
        )

    def start(self) -> None:
        """Starts gossip and looks for other hosts."""
        self.gossip.start()
        tasks.Task(self._join())
        self._greet_seeds()

    def leave(self) -> None:
        """Tells the others to send no more work here."""
        self.gossip.announce_leaving()

    def stop(self) -> None:
        """Stops gossip."""
        self.gossip.stop()

    def peers(self) -> list[stage_coordination.Peer]:
        """Returns the other hosts that are held alive."""
        return [stage_peer(member) for member in self._live_members()]

    def neighbours(self) -> list[stage_coordination.Peer]:
        """Returns the sockets for news of the live hosts of this place."""
        return [
            store_peer(member)
            for member in self._live_members()
            if member.data_centre == self._own.data_centre
        ]

    def store_peers(self) -> list[stage_coordination.Peer]:
        """Returns the sockets for news of the live hosts of all places."""
        return [store_peer(member) for member in self._live_members()]

    def _live_members(self) -> list[membership.Member]:
        return [
            member
            for member in self.gossip.members()[1:]
            if member.status is membership.Status.ALIVE
        ]

    def size(self) -> int:
        """Returns how many hosts are known, this one and dead ones too."""
        return len(self.gossip.members())

    def _greet_seeds(self) -> None:
        """Finds the others without the store, which may be away."""
        if self.peers():
            return
        own_ip, port = self._own.address.rsplit(":", 1)
        for ip in self._seeds:
            if ip != own_ip:
                # Hosts use the same ports.
                self.gossip.greet(f"{ip}:{port}")
        self._loop.call_later(_GREET_PERIOD_S, self._greet_seeds)

    def _join(self) -> tasks.Steps[None]:
        """Enters this host into the store's list, and reads the list."""
        own = self._own
        value = f"{own.address} {own.data_centre}".encode()
        is_listed = False
        while True:
            if not is_listed:
                error = yield self._store.put(
                    store.Topic.ROUTERS, own.name, value, _STORE_TIMEOUT_S
                )
                is_listed = error is None
            page = yield self._store.read_newest(
                store.Topic.ROUTERS, "", _STORE_TIMEOUT_S
            )
            if isinstance(page, store.StoreError) or not is_listed:
                yield tasks.sleep(self._loop, _RETRY_S)
                continue
            self._take(page)
            yield tasks.sleep(self._loop, _ALONE_S)
            while self.peers():
                yield tasks.sleep(self._loop, _ALONE_S)

    def _take(self, page: store.NewestPage) -> None:
        entries = []
        for change in page.changes:
            words = change.value.decode("utf-8", "replace").split()
            if len(words) != 2:
                state_log.log_fault("host entry unreadable", host=change.key)
                continue
            address, data_centre = words
            entries.append(
                hosts.HostEntry(
                    change.key,
                    address,
                    hosts.ROLE_ROUTER,
                    "",
                    data_centre,
                    "live",
                    0,
                )
            )
        self.gossip.take_list(entries)


def stage_peer(member: membership.Member) -> stage_coordination.Peer:
    """Returns a member with the address of its socket for stages."""
    return _peer(member, _STAGE_PORT_OFFSET)


def store_peer(member: membership.Member) -> stage_coordination.Peer:
    """Returns a member with the address of its socket for news."""
    return _peer(member, _STORE_PORT_OFFSET)


def _peer(member: membership.Member, offset: int) -> stage_coordination.Peer:
    host, port = member.address.rsplit(":", 1)
    address = (host, int(port) + offset)
    return stage_coordination.Peer(member.name, address, member.milli_cores)


def deployment_key(deployment: str) -> bytes:
    """Returns the key that seals datagrams between hosts.

    The platform hands out no secret: the key keeps deployments apart and
    damaged datagrams out, no more.
    """
    return hashlib.blake2b(deployment.encode(), digest_size=16).digest()
