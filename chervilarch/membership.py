"""Membership of the fleet of hosts: the state of a SWIM failure detector.

Each period a host probes one member. If no ack comes, it asks a few others to
probe on its behalf, then suspects the member, then declares it dead. Member
updates are sent with the probes. Does no I/O; time and random numbers are
arguments.
"""

import enum
import math
import random
from typing import NamedTuple

PROBE_PERIOD_S = 0.5
ACK_TIMEOUT_S = 0.25
INDIRECT_PROBES = 2
SUSPECT_PERIODS = 6
DEAD_RETENTION_S = 120.0
MAX_UPDATES_PER_MESSAGE = 6
_RETRANSMIT_FACTOR = 3


class Status(enum.Enum):
    """State of a host as another one sees it."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


_PRECEDENCE = {
    Status.ALIVE: 0,
    Status.SUSPECT: 1,
    Status.DEAD: 2,
    Status.LEFT: 3,
}


class Member(NamedTuple):
    """A host as others see it.

    Attributes:
        name: host name from its settings.
        address: "ip:port" of its gossip socket.
        data_centre: where it runs.
        incarnation: grows with each start and each refutation.
        status: state that it is believed to be in.
        config_version: version that it last announced to have in force.
        config_through: offset of the last record that its configuration
            includes, as it last announced.
        caller_address: "ip:port" where it serves callers.
        milli_cores: thousandths of a core that it may use, 0 if unknown.
    """

    name: str
    address: str
    data_centre: str
    incarnation: int
    status: Status = Status.ALIVE
    config_version: int = -1
    config_through: int = -1
    caller_address: str = ""
    milli_cores: int = 0


class StatusChange(NamedTuple):
    """A member whose status changed; `old` is None for a new member."""

    member: Member
    old: Status | None


class _Known(NamedTuple):
    member: Member
    changed_at: float
    sends_left: int


class Membership:
    """The members of the fleet as one host sees them."""

    def __init__(self, own: Member, rng: random.Random):
        self.own = own
        self._rng = rng
        self._known: dict[str, _Known] = {}
        self._probe_order: list[str] = []

    def members(self) -> list[Member]:
        """Returns every known member, this host first."""
        return [self.own, *(known.member for known in self._known.values())]

    def live(self) -> list[Member]:
        """Returns this host, then the members alive or suspected."""
        others = [
            member
            for member in self.members()[1:]
            if member.status in (Status.ALIVE, Status.SUSPECT)
        ]
        return [self.own, *others]

    def find(self, name: str) -> Member | None:
        """Returns a member by name."""
        if name == self.own.name:
            return self.own
        known = self._known.get(name)
        return known.member if known else None

    def set_config(self, version: int, through: int) -> None:
        """Sets the configuration's version and offset, to announce."""
        self.own = self.own._replace(
            config_version=version, config_through=through
        )

    def add_listed(self, member: Member, now: float) -> StatusChange | None:
        """Adds a member of the platform's list, if not yet known."""
        if member.name in self._known or member.name == self.own.name:
            return None
        return self.observe(member, now)

    def observe(self, update: Member, now: float) -> StatusChange | None:
        """Applies a member update; returns the change of status, if any."""
        if update.name == self.own.name:
            self._refute(update)
            return None
        known = self._known.get(update.name)
        if known is None:
            self._record(update, now)
            return StatusChange(update, None)
        if not _supersedes(update, known.member):
            self._refresh_config(known, update)
            return None
        old = known.member.status
        if (
            update.status is old
            and update.incarnation == known.member.incarnation
        ):
            self._refresh_config(known, update)
            return None
        self._record(_merge(known.member, update), now)
        return StatusChange(update, old) if update.status is not old else None

    def suspect(self, name: str, now: float) -> StatusChange | None:
        """Suspects a live member that didn't answer its probes."""
        known = self._known.get(name)
        if known is None or known.member.status is not Status.ALIVE:
            return None
        return self.observe(known.member._replace(status=Status.SUSPECT), now)

    def expire(self, now: float) -> list[StatusChange]:
        """Declares old suspects dead and removes members long dead or left."""
        changes = []
        for name, known in list(self._known.items()):
            age_s = now - known.changed_at
            status = known.member.status
            if status is Status.SUSPECT and age_s >= self.suspect_timeout_s():
                dead = known.member._replace(status=Status.DEAD)
                changes.append(self.observe(dead, now))
            elif (
                status in (Status.DEAD, Status.LEFT)
                and age_s >= DEAD_RETENTION_S
            ):
                del self._known[name]
        return [change for change in changes if change is not None]

    def suspect_timeout_s(self) -> float:
        """Returns how long a suspicion may be refuted; grows with the fleet."""
        scale = max(1.0, math.log10(max(1, len(self._known) + 1)))
        return SUSPECT_PERIODS * PROBE_PERIOD_S * scale

    def next_probe(self) -> Member | None:
        """Returns the next member to probe: each once, in random order."""
        while True:
            if not self._probe_order:
                self._probe_order = [
                    name
                    for name, known in self._known.items()
                    if known.member.status in (Status.ALIVE, Status.SUSPECT)
                ]
                self._rng.shuffle(self._probe_order)
            if not self._probe_order:
                return None
            member = self.find(self._probe_order.pop())
            if member and member.status in (Status.ALIVE, Status.SUSPECT):
                return member

    def next_dead(self) -> Member | None:
        """Returns a random dead member, to detect a healed partition."""
        dead = [
            known.member
            for known in self._known.values()
            if known.member.status is Status.DEAD
        ]
        return self._rng.choice(dead) if dead else None

    def helpers(self, subject: Member) -> list[Member]:
        """Returns random members to send indirect probes."""
        others = [
            member
            for member in self.live()[1:]
            if member.name != subject.name and member.status is Status.ALIVE
        ]
        return self._rng.sample(others, min(INDIRECT_PROBES, len(others)))

    def updates_to_send(self) -> tuple[Member, ...]:
        """Returns the member updates for a message, least sent first."""
        waiting = [known for known in self._known.values() if known.sends_left]
        waiting.sort(key=lambda known: -known.sends_left)
        chosen = waiting[:MAX_UPDATES_PER_MESSAGE]
        for known in chosen:
            self._known[known.member.name] = known._replace(
                sends_left=known.sends_left - 1
            )
        return tuple(known.member for known in chosen)

    def _refute(self, update: Member) -> None:
        if self.own.status is Status.LEFT:
            return
        # An earlier process of this host may have read a later time of day.
        is_later = update.incarnation > self.own.incarnation
        is_wrong = update.status is not Status.ALIVE
        if is_later or is_wrong and update.incarnation == self.own.incarnation:
            self.own = self.own._replace(incarnation=update.incarnation + 1)

    def _record(self, member: Member, now: float) -> None:
        size = len(self._known) + 2
        sends = _RETRANSMIT_FACTOR * math.ceil(math.log2(size))
        self._known[member.name] = _Known(member, now, sends)

    def _refresh_config(self, known: _Known, update: Member) -> None:
        merged = _merge(known.member, update)
        if merged.config_through != known.member.config_through:
            refreshed = known.member._replace(
                config_version=merged.config_version,
                config_through=merged.config_through,
            )
            self._known[update.name] = known._replace(member=refreshed)


def _supersedes(update: Member, known: Member) -> bool:
    if update.incarnation != known.incarnation:
        return update.incarnation > known.incarnation
    return _PRECEDENCE[update.status] > _PRECEDENCE[known.status]


def _merge(known: Member, update: Member) -> Member:
    """Returns the update with the newest configuration offset of either."""
    if known.incarnation < update.incarnation and not _same_process(
        known, update
    ):
        return update
    if known.config_through > update.config_through:
        return update._replace(
            config_version=known.config_version,
            config_through=known.config_through,
        )
    return update


def _same_process(known: Member, update: Member) -> bool:
    # Refutations raise an incarnation by little. A restart raises it by much,
    # as it sets it to the time of day in milliseconds.
    return update.incarnation - known.incarnation < 1000
