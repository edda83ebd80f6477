"""Finds the other gateways: by the platform's store, by seeds and by gossip."""

import enum
import hashlib
import random
from typing import NamedTuple

from chervilarch import (
    addresses,
    clocks,
    gossip,
    host_entry,
    hosts,
    membership,
    metrics,
    schemas,
    stage_coordination,
    state_log,
    store,
    tasks,
)
from chervilarch import loop as loops

_STORE_TIMEOUT_S = 1.5
_RETRY_S = 1.0
# Seeds are contacted this often until a host answers; they may start later.
_SEED_PERIOD_S = 0.25
# A host checks this often whether it knows a live peer; if not, it reads the
# store's list again.
_LIST_CHECK_PERIOD_S = 5.0


class PeerPort(enum.IntEnum):
    """Ports of a host's sockets for peers, relative to its gossip port."""

    STAGES = 1
    STORE = 2
    ADVISORIES = 3
    PERMITS = 4


class KnownHosts(NamedTuple):
    """The hosts that may be alive.

    Attributes:
        own: name of this host.
        names: all of them, also those believed dead.
        left: those of them that announced that they end.
    """

    own: str
    names: frozenset[str]
    left: frozenset[str]


class Fleet:
    """The gateways of this deployment that are believed alive."""

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
            rng: chooses the hosts that gossip probes, and spreads writes.
            seeds: IP addresses of hosts that may be running.
        """
        self._loop = loop
        self._store = source
        self._own = own
        self._seeds = seeds
        value = f"{own.address} {own.data_centre}".encode()
        self._entry = host_entry.HostEntry(loop, source, own.name, value, rng)
        self._has_read_list = False
        # The gateway doesn't export gossip's counters.
        self.gossip = gossip.GossipController(
            own, key, clock, metrics.Metrics(None), rng
        )

    def start(self) -> None:
        """Starts gossip and looks for other hosts."""
        self.gossip.start()
        self._entry.start()
        tasks.Task(self._join())
        self._contact_seeds()

    def leave(self) -> None:
        """Announces that this host takes no more work."""
        self.gossip.announce_leaving()

    def stop(self) -> None:
        """Stops gossip."""
        self.gossip.stop()

    def peers(self, port: PeerPort) -> list[stage_coordination.Peer]:
        """Returns the hosts believed alive, with the address of a socket."""
        return [peer(member, port) for member in self._alive_members()]

    def host_count(self) -> int:
        """Returns the number of hosts believed alive, with this one."""
        return 1 + len(self._alive_members())

    def has_neighbour(self) -> bool:
        """Returns whether another host of this data centre is alive."""
        return any(
            member.data_centre == self._own.data_centre
            for member in self._alive_members()
        )

    def _alive_members(self) -> list[membership.Member]:
        return [
            member
            for member in self.gossip.members()[1:]
            if member.status is membership.Status.ALIVE
            and _has_peer_ports(member.address)
        ]

    def known_count(self) -> int:
        """Returns how many hosts are known, with this one, dead and left ones.

        The retry budgets are divided by it; hosts that are only cut off still
        spend theirs. Members that died or left long ago are no longer known.
        """
        return len(self.gossip.members())

    def known_hosts(self) -> KnownHosts | None:
        """Returns the hosts that may be alive, with this one.

        Returns:
            None as long as this host has heard of none and hasn't read the
            store's list, so that it may be one of many.
        """
        members = self.gossip.members()
        if len(members) <= 1 and not self._has_read_list:
            return None
        left = membership.Status.LEFT
        return KnownHosts(
            self._own.name,
            frozenset(member.name for member in members),
            frozenset(m.name for m in members if m.status is left),
        )

    def _contact_seeds(self) -> None:
        """Contacts the seeds, as the store may be unavailable."""
        if self._alive_members():
            return
        own_ip, port = self._own.address.rsplit(":", 1)
        for ip in self._seeds:
            if ip != own_ip:
                # All hosts use the same ports.
                self.gossip.contact(f"{ip}:{port}")
        self._loop.call_later(_SEED_PERIOD_S, self._contact_seeds)

    def _join(self) -> tasks.Coroutine[None]:
        """Reads the store's list once this host is on it.

        Reads it again whenever no peer is known; never returns.
        """
        yield self._entry.written
        while True:
            page = yield self._store.read_newest(
                store.Topic.ROUTERS, "", _STORE_TIMEOUT_S
            )
            if isinstance(page, store.StoreError):
                yield tasks.sleep(self._loop, _RETRY_S)
                continue
            self._add_listed_hosts(page)
            self._has_read_list = True
            yield tasks.sleep(self._loop, _LIST_CHECK_PERIOD_S)
            while self._alive_members():
                yield tasks.sleep(self._loop, _LIST_CHECK_PERIOD_S)

    def _add_listed_hosts(self, page: store.NewestPage) -> None:
        entries = []
        for record in page.records:
            fields = record.value.decode("utf-8", "replace").split()
            if not _is_host_entry(record.key, fields):
                state_log.log_fault("host entry unreadable", host=record.key)
                continue
            address, data_centre = fields
            entries.append(
                hosts.HostEntry(
                    record.key,
                    address,
                    # The only role that `add_listed_hosts` of gossip takes; it
                    # stands for gateways too.
                    hosts.ROLE_ROUTER,
                    "",
                    data_centre,
                    "live",
                    0,
                )
            )
        self.gossip.add_listed_hosts(entries)


def _is_host_entry(name: str, fields: list[str]) -> bool:
    """Returns whether a record of the list names a gateway."""
    return (
        len(fields) == 2
        and _has_peer_ports(fields[0])
        and schemas.is_name(fields[1])
        and schemas.is_name(name)
    )


def _has_peer_ports(gossip_address: str) -> bool:
    address = addresses.parse(gossip_address)
    return (
        address is not None and address[1] + max(PeerPort) <= addresses.MAX_PORT
    )


def peer(member: membership.Member, port: PeerPort) -> stage_coordination.Peer:
    """Returns a member with the address of one of its sockets."""
    host, gossip_port = member.address.rsplit(":", 1)
    address = (host, int(gossip_port) + port)
    return stage_coordination.Peer(
        member.name, address, member.milli_cores, member.data_centre
    )


def deployment_key(deployment: str) -> bytes:
    """Returns the key that seals datagrams between hosts.

    The platform provides no secret. The key only separates deployments and
    detects damaged datagrams; it doesn't authenticate senders.
    """
    return hashlib.blake2b(deployment.encode(), digest_size=16).digest()
