"""Permits to send requests to endpoints that limit them.

The permits of an endpoint are given by one host, so that the hosts together
keep to its limit and each gets what it needs. Which host that is follows from a
hash over the live ones; it isn't agreed on. While two hosts give permits, as
after a cut, the endpoint may get up to twice its limit.

A host that gives permits may be slow, and goes on giving them to itself and to
those that it reaches. So nobody replaces it before it counts as dead: a host
that gets no reply of it uses a part of the limit that is its own.
"""

import collections
import enum
import random
import zlib
from collections.abc import Callable
from typing import NamedTuple

from chervilarch import endpoint_limits, messages, peer_socket, tasks
from chervilarch import loop as loops
from chervilarch.endpoint_state import EndpointRun
from chervilarch.futures import Future
from chervilarch.stage_coordination import Peer

_MS_PER_S = 1000
# Requests beyond an even pace that an endpoint may get at once.
_BURST = 2.0
# A request without a reply is sent again after this time. A round trip takes
# a few milliseconds.
_RESEND_S = 0.02
_MAX_SENDS = 3
# A host that hasn't replied for the first of these times isn't asked for the
# second.
_SILENCE_S = 0.4
_AVOID_S = 1.5
# Part of a limit that hosts use without permits, all together.
_OWN_SHARE = 0.6
# Assumed wait for the next permit if the host that gives them is silent.
_SILENT_WAIT_S = 0.1
# Replies that are kept to answer a repeated request in the same way.
_MAX_REPLIES = 1024
_MAX_RUNS = 4096


class Permit(NamedTuple):
    """Reply to a request for a permit.

    Attributes:
        is_granted: whether the request may be sent.
        wait_s: time until it may be sent; if denied, until a permit is free.
    """

    is_granted: bool
    wait_s: float


class _Kind(enum.Enum):
    REQUEST = "request"
    GRANTED = "granted"
    DENIED = "denied"


class _Message(NamedTuple):
    kind: _Kind
    number: int
    run: EndpointRun
    per_s: float
    wait_s: float


class Schedule:
    """The times at which an endpoint may get its requests."""

    def __init__(
        self, burst: float = _BURST, first_at: float = float("-inf")
    ) -> None:
        """Creates a schedule.

        Args:
            burst: requests beyond an even pace that it allows at once.
            first_at: monotonic time of the first request.
        """
        self._burst = burst
        self._next_at = first_at

    def reserve(self, per_s: float, max_wait_s: float, now: float) -> Permit:
        """Reserves the next free time unless it is too late."""
        earliest = self._next_at - (self._burst - 1.0) / per_s
        wait_s = max(0.0, earliest - now)
        if wait_s > max_wait_s:
            return Permit(False, wait_s)
        self._next_at = max(self._next_at, now) + 1.0 / per_s
        return Permit(True, wait_s)


class Permits:
    """Asks for this host's permits, and gives those that are its to give."""

    def __init__(
        self,
        loop: loops.Loop,
        own: Peer,
        live_peers: Callable[[], list[Peer]],
        key: bytes,
        limits: endpoint_limits.EndpointLimits,
        rng: random.Random,
    ):
        """Binds the socket.

        Args:
            loop: the event loop.
            own: this host and the address of its socket.
            live_peers: returns the live hosts with the addresses of theirs.
            key: seals datagrams.
            limits: the limits in force.
            rng: spreads the requests of hosts that get no replies.

        Raises:
            OSError: the address can't be bound.
        """
        self._loop = loop
        self._own = own
        self._live_peers = live_peers
        self._key = key
        self._limits = limits
        self._rng = rng
        self._is_leaving = False
        self._last_number = int(loop.clock.wall() * _MS_PER_S) << 20
        self._pending: dict[int, Future[Permit]] = {}
        self._avoided_until: dict[str, float] = {}
        # When hosts were first sent something to which none of their replies
        # has come yet.
        self._unanswered_since: dict[str, float] = {}
        self._own_shares: collections.OrderedDict[EndpointRun, Schedule] = (
            collections.OrderedDict()
        )
        self._schedules: collections.OrderedDict[EndpointRun, Schedule] = (
            collections.OrderedDict()
        )
        self._replies: collections.OrderedDict[tuple, _Message] = (
            collections.OrderedDict()
        )
        self._socket = peer_socket.PeerSocket(
            loop,
            own.address,
            lambda frame: _decode(key, frame),
            self._handle,
            "permit message refused",
        )

    def close(self) -> None:
        """Stops listening."""
        self._socket.close()

    def leave(self) -> None:
        """Leaves giving permits to the other hosts."""
        self._is_leaving = True

    def acquire(self, run: EndpointRun, max_wait_s: float) -> "Future[Permit]":
        """Asks for a permit to send one request within a time."""
        per_s = self._limits.per_s(run)
        if per_s is None:
            return tasks.done(Permit(True, 0.0))
        giver = self._giver(run)
        if giver is None:
            return tasks.done(self._reserve(run, per_s, max_wait_s))
        if self._avoided_until.get(giver.name, 0.0) > self._loop.now():
            return tasks.done(self._reserve_own_share(run, per_s, max_wait_s))
        self._last_number += 1
        message = _Message(
            _Kind.REQUEST, self._last_number, run, per_s, max_wait_s
        )
        fut: Future[Permit] = Future()
        self._pending[message.number] = fut
        self._ask(giver, message, 1)
        return fut

    def _giver(self, run: EndpointRun) -> Peer | None:
        """Returns the host that gives a run's permits, None if this one."""
        hosts = list(self._live_peers())
        if not self._is_leaving or not hosts:
            hosts.append(self._own)
        giver = max(hosts, key=lambda peer: _rank(run, peer))
        return None if giver is self._own else giver

    def _ask(self, giver: Peer, message: _Message, sends: int) -> None:
        fut = self._pending.get(message.number)
        if fut is None:
            return
        now = self._loop.now()
        if sends > _MAX_SENDS:
            del self._pending[message.number]
            if now - self._unanswered_since.get(giver.name, now) > _SILENCE_S:
                del self._unanswered_since[giver.name]
                self._avoided_until[giver.name] = now + _AVOID_S
            tasks.resolve(fut, Permit(False, _SILENT_WAIT_S))
            return
        self._unanswered_since.setdefault(giver.name, now)
        self._socket.send(giver.address, _encode(self._key, message))
        self._loop.call_later(
            _RESEND_S, lambda: self._ask(giver, message, sends + 1)
        )

    def _reserve(
        self, run: EndpointRun, per_s: float, max_wait_s: float
    ) -> Permit:
        schedule = self._schedules.pop(run, None) or Schedule()
        _keep(self._schedules, run, schedule)
        return schedule.reserve(per_s, max_wait_s, self._loop.now())

    def _reserve_own_share(
        self, run: EndpointRun, per_s: float, max_wait_s: float
    ) -> Permit:
        """Reserves a time within the part of a limit that is this host's."""
        now = self._loop.now()
        share_per_s = _OWN_SHARE * per_s / (1 + len(self._live_peers()))
        schedule = self._own_shares.pop(run, None)
        if schedule is None:
            # Hosts begin at different times.
            first_at = now + self._rng.random() / share_per_s
            schedule = Schedule(1.0, first_at)
        _keep(self._own_shares, run, schedule)
        return schedule.reserve(share_per_s, max_wait_s, now)

    def _handle(self, message: _Message, source: tuple) -> None:
        if message.kind is _Kind.REQUEST:
            self._socket.send(
                source, _encode(self._key, self._reply(message, source))
            )
            return
        self._record_reply(source)
        fut = self._pending.pop(message.number, None)
        if fut is not None:
            is_granted = message.kind is _Kind.GRANTED
            tasks.resolve(fut, Permit(is_granted, message.wait_s))

    def _record_reply(self, source: tuple) -> None:
        """Records that a host replies."""
        for peer in self._live_peers():
            if peer.address == source:
                self._unanswered_since.pop(peer.name, None)

    def _reply(self, message: _Message, source: tuple) -> _Message:
        known = self._replies.get((source, message.number))
        if known is not None:
            return known
        # This host may not have heard of the limit yet.
        per_s = self._limits.per_s(message.run) or message.per_s
        permit = self._reserve(message.run, per_s, message.wait_s)
        reply = message._replace(
            kind=_Kind.GRANTED if permit.is_granted else _Kind.DENIED,
            wait_s=permit.wait_s,
        )
        self._replies[source, message.number] = reply
        if len(self._replies) > _MAX_REPLIES:
            self._replies.popitem(last=False)
        return reply


def _keep(
    schedules: "collections.OrderedDict[EndpointRun, Schedule]",
    run: EndpointRun,
    schedule: Schedule,
) -> None:
    """Keeps a schedule as the last one used; forgets the first of too many."""
    schedules[run] = schedule
    if len(schedules) > _MAX_RUNS:
        schedules.popitem(last=False)


def _rank(run: EndpointRun, peer: Peer) -> tuple[int, str]:
    return zlib.crc32(f"{run.key} {peer.name}".encode()), peer.name


def _encode(key: bytes, message: _Message) -> bytes:
    msg = messages.SCHEMA.Permit.new_message(
        kind=message.kind.value,
        number=message.number,
        endpoint=message.run.key,
        incarnation=message.run.incarnation,
        perSecond=message.per_s,
        waitMs=int(message.wait_s * _MS_PER_S),
    )
    return messages.seal(key, msg.to_bytes_packed())


def _decode(key: bytes, frame: bytes) -> _Message | messages.BadFrame:
    payload = messages.unseal(key, frame)
    if isinstance(payload, messages.BadFrame):
        return payload
    try:
        msg = messages.SCHEMA.Permit.from_bytes_packed(payload)
        is_limit = endpoint_limits.is_limit(msg.perSecond)
        if msg.kind == "request" and not (msg.perSecond and is_limit):
            return messages.BadFrame("a permit without a limit")
        return _Message(
            _Kind(str(msg.kind)),
            msg.number,
            EndpointRun(msg.endpoint, msg.incarnation),
            msg.perSecond,
            msg.waitMs / _MS_PER_S,
        )
    except messages.DECODING_ERRORS as exc:
        return messages.BadFrame(f"malformed permit message: {exc}")
