"""Maintains the fleet's membership by UDP gossip between hosts.

Both `chervilarch-router` and `chervilarch-gateway` use it.
"""

import collections
import random
import select
import socket
import threading
from collections.abc import Callable
from typing import NamedTuple

from chervilarch import (
    clocks,
    guards,
    hosts,
    membership,
    messages,
    metrics,
    state_log,
)

_LEAVING_SENDS = 12
_MAX_LEAVING = 8
_MAX_RATES = 8
_DEAD_PROBE_PERIODS = 4
# Sequence numbers that are remembered of each sender; also the largest number
# of relayed probes whose ack is pending.
_REPLAY_WINDOW = 1024
_INCARNATION_PER_S = 1000
_SELECT_TIMEOUT_S = 0.05
# Most datagrams that are read before the probes get their turn.
_MAX_DATAGRAMS = 1024
# A host that knows fewer of the live hosts than this share is sent all of
# them; while the fleet grows, also one that knows any fewer. Member updates
# alone take many seconds to reach all when all have started at once.
_KNOWN_SHARE = 0.9
# Live members are sent in datagrams of this many, of about 1 kB each.
_MEMBERS_PER_DATAGRAM = 10
# Least time from sending all live members until sending them again. In a fleet
# of 74 hosts they take about 7 kB, so a host sends at most 70 kB/s, while hosts
# start.
_LIST_PERIOD_S = 0.1
# The fleet counts as growing for _GROWING_S after a new host became known.
# Meanwhile a random member is pinged this often, so that either of the two may
# send its live members to the other.
_EXCHANGE_PERIOD_S = 0.1
_GROWING_S = 2.0


class _Probe(NamedTuple):
    """A ping whose ack is pending."""

    member: membership.Member
    sent_at: float
    sent_indirect: bool


class PeerRate(NamedTuple):
    """Rate of an account's requests at a peer, and when it was reported."""

    per_second: float
    reported_at: float


class ReplayGuard:
    """Remembers which datagrams of each sender were received."""

    def __init__(self) -> None:
        self._senders: dict[str, tuple[int, int, set[int]]] = {}

    def accept(self, name: str, incarnation: int, sequence: int) -> bool:
        """Records a datagram; returns False if it must be ignored.

        It must be if it was received before, or is too old to tell, or if a
        datagram of a higher incarnation was received.

        Args:
            name: the sender's name.
            incarnation: the sender's incarnation when it sent the datagram.
            sequence: the datagram's number; a process goes on counting when it
                raises its incarnation.
        """
        known_incarnation, highest, seen = self._senders.get(
            name, (-1, 0, set())
        )
        if incarnation < known_incarnation:
            return False
        if incarnation > known_incarnation:
            highest, seen = 0, set()
        if sequence in seen or sequence <= highest - _REPLAY_WINDOW:
            return False
        seen.add(sequence)
        highest = max(highest, sequence)
        if len(seen) > 2 * _REPLAY_WINDOW:
            seen = {item for item in seen if item > highest - _REPLAY_WINDOW}
        self._senders[name] = (incarnation, highest, seen)
        return True


def first_incarnation(clock: clocks.Clock) -> int:
    """Returns a number that grows with each start of a process."""
    return int(clock.wall() * _INCARNATION_PER_S)


class GossipController:
    """Probes peers, spreads updates and notifies listeners of changes.

    Attributes:
        on_config: called with the address, configuration offset (`through`) and
            version of the sender of each accepted datagram, unless it has left.
            `set_config` takes the last two in the opposite order.
        on_endpoint_leaving: called with the address and incarnation of each
            endpoint that a datagram reports as leaving; returns whether to
            spread it further. Both are called in the gossip thread, without
            the lock.
        bytes_sent: bytes of all datagrams that were sent.
    """

    def __init__(
        self,
        own: membership.Member,
        key: bytes,
        clock: clocks.Clock,
        counters: metrics.Metrics,
        rng: random.Random,
    ):
        self._key = key
        self._clock = clock
        self._metrics = counters
        self._rng = rng
        self._lock = threading.Lock()
        self._membership = membership.Membership(own, rng)
        self._sequence = 0
        self._probe_number = 0
        self._probes: dict[int, _Probe] = {}
        self._relays: dict[int, tuple[str, int]] = {}
        self._leaving_endpoints: dict[messages.LeavingEndpoint, int] = {}
        self._rates: tuple[messages.AccountUse, ...] = ()
        self._peer_rates: dict[str, dict[str, PeerRate]] = (
            collections.defaultdict(dict)
        )
        self._replay_guard = ReplayGuard()
        self._periods = 0
        self._next_period = 0.0
        self._next_list = 0.0
        self._next_exchange = 0.0
        self._grew_at = float("-inf")
        self._address = _parse_address(own.address)
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._stop = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="gossip", daemon=True
        )
        self.on_config: Callable[[str, int, int], None] = _ignore
        self.on_endpoint_leaving: Callable[[str, int], bool] = _ignore
        self.bytes_sent = 0

    def start(self) -> None:
        """Binds the socket and starts the thread."""
        self._socket.bind(self._address)
        self._thread.start()

    def contact(self, address: str) -> None:
        """Pings an address where a host may be running."""
        with self._lock:
            self._send("ping", address)

    def announce_leaving(self) -> None:
        """Announces to some peers that this host leaves; still listens."""
        with self._lock:
            self._membership.own = self._membership.own._replace(
                status=membership.Status.LEFT
            )
            for member in self._membership.live()[1:9]:
                self._send("ping", member.address)

    def stop(self) -> None:
        """Announces to some peers that this host leaves, then stops."""
        self.announce_leaving()
        self._stop.set()
        self._thread.join()
        self._socket.close()

    def members(self) -> list[membership.Member]:
        """Returns every known member, this host first."""
        with self._lock:
            return self._membership.members()

    def live_count(self) -> int:
        """Returns how many hosts are alive or suspected, with this one."""
        with self._lock:
            return len(self._membership.live())

    def rank(self) -> int:
        """Returns this host's rank among the sorted names of live ones."""
        with self._lock:
            names = sorted(member.name for member in self._membership.live())
            return names.index(self._membership.own.name)

    def set_config(self, version: int, through: int) -> None:
        """Sets the configuration's version and offset, to announce.

        `through` is the offset of the last record that it includes.
        """
        with self._lock:
            self._membership.set_config(version, through)

    def set_rates(self, rates: list[messages.AccountUse]) -> None:
        """Sets the rates of this host's busiest accounts, to announce."""
        rates.sort(key=lambda rate: -rate.per_second)
        self._rates = tuple(rates[:_MAX_RATES])

    def peer_rates(self, account: str, max_age_s: float) -> list[float]:
        """Returns the rates of an account that peers recently reported."""
        oldest = self._clock.monotonic() - max_age_s
        with self._lock:
            return [
                rates[account].per_second if account in rates else 0.0
                for name, rates in self._peer_rates.items()
                if rates.get("", PeerRate(0, 0)).reported_at >= oldest
            ]

    def spread_endpoint_leaving(self, address: str, incarnation: int) -> None:
        """Announces to peers that an endpoint must get no new work."""
        with self._lock:
            endpoint = messages.LeavingEndpoint(address, incarnation)
            self._leaving_endpoints.setdefault(endpoint, _LEAVING_SENDS)

    def add_listed_hosts(self, entries: list[hosts.HostEntry]) -> None:
        """Adds the hosts of the platform's list that aren't known yet."""
        now = self._clock.monotonic()
        with self._lock:
            for entry in entries:
                if entry.role == hosts.ROLE_ROUTER:
                    self._membership.add_listed(
                        membership.Member(
                            entry.name, entry.address, entry.data_centre, 0
                        ),
                        now,
                    )

    def _run(self) -> None:
        while not self._stop.is_set():
            self.run_once(_SELECT_TIMEOUT_S)

    def run_once(self, max_wait_s: float) -> None:
        """Handles the datagrams that wait, then what is due.

        After a pause, acks may wait behind other datagrams. What is due is
        judged by the time at which the socket was last seen empty: an ack that
        came later isn't missing yet.
        """
        wait_s = max_wait_s
        for _ in range(_MAX_DATAGRAMS):
            looked_at = self._clock.monotonic()
            readable, _, _ = select.select([self._socket], [], [], wait_s)
            if not readable:
                break
            # An exception must not end the thread.
            guards.call(self._receive)
            wait_s = 0.0
        guards.call(self.tick, looked_at)

    def tick(self, now: float) -> None:
        """Runs the probes and sends the pings that are due.

        Args:
            now: monotonic time up to which datagrams were read.
        """
        with self._lock:
            self._check_probes(now)
            if now >= self._next_period:
                self._next_period = now + membership.PROBE_PERIOD_S
                self._run_period(now)
            if self._is_growing(now) and now >= self._next_exchange:
                self._next_exchange = now + _EXCHANGE_PERIOD_S
                self._ping_random_member()

    def _is_growing(self, now: float) -> bool:
        return now - self._grew_at < _GROWING_S

    def _ping_random_member(self) -> None:
        """Pings a random member; either may then send its live members."""
        others = self._membership.live()[1:]
        if others:
            self._send("ping", self._rng.choice(others).address)

    def _run_period(self, now: float) -> None:
        self._periods += 1
        for change in self._membership.expire(now):
            self._record_change(change)
        member = self._membership.next_probe()
        if member is not None:
            self._probe(member, now)
        if self._periods % _DEAD_PROBE_PERIODS == 0:
            dead = self._membership.next_dead()
            if dead is not None:
                self._send("ping", dead.address, about=dead)

    def _probe(self, member: membership.Member, now: float) -> None:
        self._probe_number += 1
        self._probes[self._probe_number] = _Probe(member, now, False)
        self._send(
            "ping", member.address, probe=self._probe_number, about=member
        )

    def _check_probes(self, now: float) -> None:
        for number, probe in list(self._probes.items()):
            age_s = now - probe.sent_at
            if age_s >= membership.PROBE_PERIOD_S:
                del self._probes[number]
                self._record_change(
                    self._membership.suspect(probe.member.name, now)
                )
            elif age_s >= membership.ACK_TIMEOUT_S and not probe.sent_indirect:
                self._probes[number] = probe._replace(sent_indirect=True)
                for helper in self._membership.helpers(probe.member):
                    self._send(
                        "indirectPing",
                        helper.address,
                        probe=number,
                        subject=probe.member.address,
                    )

    def _receive(self) -> None:
        try:
            frame, source = self._socket.recvfrom(65536)
        except OSError:
            return
        gossip = messages.decode_gossip(self._key, frame)
        if isinstance(gossip, messages.BadFrame):
            self._metrics.count("gossip.bad_frame")
            return
        with self._lock:
            is_accepted = self._handle(gossip)
        if is_accepted:
            self._notify_listeners(gossip)

    def _notify_listeners(self, gossip: messages.Gossip) -> None:
        if gossip.sender.status is not membership.Status.LEFT:
            self.on_config(
                gossip.sender.address,
                gossip.sender.config_through,
                gossip.sender.config_version,
            )
        for endpoint in gossip.leaving:
            if self.on_endpoint_leaving(endpoint.address, endpoint.incarnation):
                self.spread_endpoint_leaving(
                    endpoint.address, endpoint.incarnation
                )

    def _handle(self, gossip: messages.Gossip) -> bool:
        """Handles a datagram; returns False if misdirected or replayed."""
        sender = gossip.sender
        if gossip.target != self._membership.own.address:
            self._metrics.count("gossip.wrong_target")
            return False
        if not self._replay_guard.accept(
            sender.name, sender.incarnation, gossip.sequence
        ):
            self._metrics.count("gossip.replayed")
            self._send_known_incarnation(sender)
            return False
        now = self._clock.monotonic()
        self._record_change(self._membership.observe(sender, now))
        for member in gossip.members:
            self._record_change(self._membership.observe(member, now))
        self._record_rates(sender.name, gossip.uses, now)
        if gossip.kind == "ping":
            self._send("ack", sender.address, probe=gossip.probe, about=sender)
        elif gossip.kind == "ack":
            self._handle_ack(gossip)
        else:
            self._relay_probe(gossip)
        self._send_live_members(gossip, now)
        return True

    def _send_live_members(self, gossip: messages.Gossip, now: float) -> None:
        """Sends all live members to a host that doesn't know enough of them."""
        live = self._membership.live()
        wanted = (
            len(live) if self._is_growing(now) else len(live) * _KNOWN_SHARE
        )
        # A host of an earlier version doesn't say how many it knows.
        if not gossip.knows or gossip.knows >= wanted or now < self._next_list:
            return
        self._next_list = now + _LIST_PERIOD_S
        for first in range(1, len(live), _MEMBERS_PER_DATAGRAM):
            part = tuple(live[first : first + _MEMBERS_PER_DATAGRAM])
            # An ack of no probe: the receiver only reads its members.
            self._send("ack", gossip.sender.address, members=part)

    def _send_known_incarnation(self, sender: membership.Member) -> None:
        """Sends a host the higher incarnation that is known of it.

        Its process has started with its clock set back.
        """
        known = self._membership.find(sender.name)
        if known is not None and known.incarnation > sender.incarnation:
            self._send("ping", sender.address, about=sender)

    def _handle_ack(self, gossip: messages.Gossip) -> None:
        relay = self._relays.pop(gossip.probe, None)
        if relay is not None:
            address, number = relay
            self._send("ack", address, probe=number)
            return
        probe = self._probes.get(gossip.probe)
        if probe is not None:
            del self._probes[gossip.probe]

    def _relay_probe(self, gossip: messages.Gossip) -> None:
        self._probe_number += 1
        self._relays[self._probe_number] = (
            gossip.sender.address,
            gossip.probe,
        )
        if len(self._relays) > _REPLAY_WINDOW:
            self._relays.pop(next(iter(self._relays)))
        self._send("ping", gossip.subject, probe=self._probe_number)

    def _record_rates(
        self, name: str, rates: tuple[messages.AccountUse, ...], now: float
    ) -> None:
        reported = {
            rate.account: PeerRate(rate.per_second, now) for rate in rates
        }
        # The empty name holds the time of the peer's last message.
        reported[""] = PeerRate(0.0, now)
        self._peer_rates[name] = reported

    def _send(
        self,
        kind: str,
        address: str,
        probe: int = 0,
        subject: str = "",
        about: membership.Member | None = None,
        members: tuple[membership.Member, ...] = (),
    ) -> None:
        self._sequence += 1
        gossip = messages.Gossip(
            kind=kind,
            sender=self._membership.own,
            target=address,
            sequence=self._sequence,
            probe=probe,
            subject=subject,
            members=members or self._updates_for(about),
            leaving=self._next_leaving_endpoints(),
            uses=self._rates,
            knows=len(self._membership.live()),
        )
        frame = messages.encode_gossip(self._key, gossip)
        self.bytes_sent += len(frame)
        try:
            self._socket.sendto(frame, _parse_address(address))
        except OSError:
            self._metrics.count("gossip.send_failed")

    def _updates_for(
        self, about: membership.Member | None
    ) -> tuple[membership.Member, ...]:
        updates = self._membership.updates_to_send()
        known = self._membership.find(about.name) if about else None
        # A host that is believed dead or suspect must learn of it to refute
        # it; one that started with its clock set back, the last incarnation.
        if known is not None and (
            known.status is not membership.Status.ALIVE
            or known.incarnation > about.incarnation
        ):
            updates = (known, *updates)
        return updates

    def _next_leaving_endpoints(self) -> tuple[messages.LeavingEndpoint, ...]:
        chosen = list(self._leaving_endpoints)[:_MAX_LEAVING]
        for endpoint in chosen:
            self._leaving_endpoints[endpoint] -= 1
            if self._leaving_endpoints[endpoint] <= 0:
                del self._leaving_endpoints[endpoint]
        return tuple(chosen)

    def _record_change(self, change: membership.StatusChange | None) -> None:
        if change is None:
            return
        if change.old is None:
            self._grew_at = self._clock.monotonic()
        status = change.member.status.value
        self._metrics.count(f"members.{status}")
        state_log.log_change(
            f"member {status}",
            name=change.member.name,
            address=change.member.address,
            incarnation=change.member.incarnation,
        )


def _ignore(*_args) -> bool:
    return False


def _parse_address(address: str) -> tuple[str, int]:
    host, port = address.rsplit(":", 1)
    return host, int(port)
