"""Pure membership of the router fleet: a SWIM failure detector's state.

Each router probes one other member a period, asks a few to probe on its
behalf when no ack comes, then suspects it, then holds it dead. News travels
on the probes. Takes time and random numbers as arguments and does no I/O.
"""

import enum
import math
import random
from typing import NamedTuple

PROBE_PERIOD_S = 0.5
ACK_TIMEOUT_S = 0.25
INDIRECT_PROBES = 2
SUSPECT_PERIODS = 6
DEAD_KEPT_S = 120.0
MAX_NEWS_PER_MESSAGE = 6
_RETRANSMIT_FACTOR = 3


class Status(enum.Enum):
    """What a router holds another to be."""

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
    """A router as others see it.

    Attributes:
        name: host name from its settings.
        address: "ip:port" of its peer socket.
        data_centre: where it runs.
        incarnation: grows with each start and each refutation.
        status: what it is held to be.
        config_version: version it last said to have in force.
        config_through: offset it last said to have folded through.
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


class Change(NamedTuple):
    """A member whose status changed."""

    member: Member
    old: Status | None


class _Known(NamedTuple):
    member: Member
    changed_at: float
    sends_left: int


class Membership:
    """The fleet as one router sees it."""

    def __init__(self, own: Member, rng: random.Random):
        self.own = own
        self._rng = rng
        self._known: dict[str, _Known] = {}
        self._probe_order: list[str] = []

    def members(self) -> list[Member]:
        """Returns every known member, this router first."""
        return [self.own, *(known.member for known in self._known.values())]

    def live(self) -> list[Member]:
        """Returns this router, then those held alive or only suspected."""
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
        """Sets what this router says of its configuration."""
        self.own = self.own._replace(
            config_version=version, config_through=through
        )

    def seed(self, member: Member, now: float) -> Change | None:
        """Takes a member from the platform's list, if not yet known."""
        if member.name in self._known or member.name == self.own.name:
            return None
        return self.observe(member, now)

    def observe(self, news: Member, now: float) -> Change | None:
        """Takes news of a member; returns the change of status, if any."""
        if news.name == self.own.name:
            self._refute(news)
            return None
        known = self._known.get(news.name)
        if known is None:
            self._store(news, now)
            return Change(news, None)
        if not _supersedes(news, known.member):
            self._refresh_config(known, news)
            return None
        old = known.member.status
        if news.status is old and news.incarnation == known.member.incarnation:
            self._refresh_config(known, news)
            return None
        self._store(_merge(known.member, news), now)
        return Change(news, old) if news.status is not old else None

    def suspect(self, name: str, now: float) -> Change | None:
        """Marks a member that didn't answer its probes."""
        known = self._known.get(name)
        if known is None or known.member.status is not Status.ALIVE:
            return None
        return self.observe(known.member._replace(status=Status.SUSPECT), now)

    def expire(self, now: float) -> list[Change]:
        """Turns old suspicions into deaths and forgets the long dead."""
        changes = []
        for name, known in list(self._known.items()):
            age_s = now - known.changed_at
            status = known.member.status
            if status is Status.SUSPECT and age_s >= self.suspect_timeout_s():
                dead = known.member._replace(status=Status.DEAD)
                changes.append(self.observe(dead, now))
            elif status in (Status.DEAD, Status.LEFT) and age_s >= DEAD_KEPT_S:
                del self._known[name]
        return [change for change in changes if change is not None]

    def suspect_timeout_s(self) -> float:
        """Returns how long a suspicion may be refuted, by fleet size."""
        scale = max(1.0, math.log10(max(1, len(self._known) + 1)))
        return SUSPECT_PERIODS * PROBE_PERIOD_S * scale

    def next_probe(self) -> Member | None:
        """Returns the next member to probe: each once in a random order."""
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
        """Returns a random member held dead, to notice a healed partition."""
        dead = [
            known.member
            for known in self._known.values()
            if known.member.status is Status.DEAD
        ]
        return self._rng.choice(dead) if dead else None

    def helpers(self, subject: Member) -> list[Member]:
        """Returns members to be asked for an indirect probe."""
        others = [
            member
            for member in self.live()[1:]
            if member.name != subject.name and member.status is Status.ALIVE
        ]
        return self._rng.sample(others, min(INDIRECT_PROBES, len(others)))

    def updates_to_send(self) -> tuple[Member, ...]:
        """Returns the news to put on a message, least sent first."""
        waiting = [known for known in self._known.values() if known.sends_left]
        waiting.sort(key=lambda known: -known.sends_left)
        chosen = waiting[:MAX_NEWS_PER_MESSAGE]
        for known in chosen:
            self._known[known.member.name] = known._replace(
                sends_left=known.sends_left - 1
            )
        return tuple(known.member for known in chosen)

    def _refute(self, news: Member) -> None:
        if self.own.status is Status.LEFT:
            return
        # A process before this one may have seen a later time of day.
        is_later = news.incarnation > self.own.incarnation
        is_wrong = news.status is not Status.ALIVE
        if is_later or is_wrong and news.incarnation == self.own.incarnation:
            self.own = self.own._replace(incarnation=news.incarnation + 1)

    def _store(self, member: Member, now: float) -> None:
        size = len(self._known) + 2
        sends = _RETRANSMIT_FACTOR * math.ceil(math.log2(size))
        self._known[member.name] = _Known(member, now, sends)

    def _refresh_config(self, known: _Known, news: Member) -> None:
        merged = _merge(known.member, news)
        if merged.config_through != known.member.config_through:
            kept = known.member._replace(
                config_version=merged.config_version,
                config_through=merged.config_through,
            )
            self._known[news.name] = known._replace(member=kept)


def _supersedes(news: Member, held: Member) -> bool:
    if news.incarnation != held.incarnation:
        return news.incarnation > held.incarnation
    return _PRECEDENCE[news.status] > _PRECEDENCE[held.status]


def _merge(held: Member, news: Member) -> Member:
    """Returns the news with the newest configuration offsets of either."""
    if held.incarnation < news.incarnation and not _same_process(held, news):
        return news
    if held.config_through > news.config_through:
        return news._replace(
            config_version=held.config_version,
            config_through=held.config_through,
        )
    return news


def _same_process(held: Member, news: Member) -> bool:
    """Refutations raise an incarnation by little, a restart by much."""
    return news.incarnation - held.incarnation < 1000
