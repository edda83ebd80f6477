"""Runs of endpoints that are avoided, since they sent a reply without end.

Such a run gets no requests for a time that doubles each time that it does so
again. Then it is on trial: it gets one request at a time until an answer of it
is complete. All hosts are told.

A request of a caller may be the reason that a sound endpoint sends more than
the bound. So a run that has answered soundly since its last endless reply
begins anew with the shortest time, and is avoided no more than once in a while.
"""

import math
import random
from collections.abc import Callable
from typing import NamedTuple

from chervilarch import clocks, state_log
from chervilarch.endpoint_state import EndpointRun

FIRST_AVOIDANCE_S = 1.0
MAX_REPEATS = 4
# Hosts end an avoidance at different times, so that the first to try the
# endpoint can tell the others: up to this share of its time later.
_SPREAD_SHARE = 0.5
MAX_AVOIDANCE_S = FIRST_AVOIDANCE_S * 2**MAX_REPEATS * (1 + _SPREAD_SHARE)
# Another host's repetition is believed after this share of the time.
_PASSED_SHARE = 0.5
# A run that has answered since is avoided again no sooner than this after the
# end of its avoidance.
MIN_INTERVAL_S = 10.0
# What is known of a run is forgotten this long after its avoidance.
MEMORY_S = 60.0
_MAX_RUNS = 4096
_MS_PER_S = 1000


class EndlessReply(NamedTuple):
    """A reply of a run that was broken off, as no end was in sight.

    Attributes:
        endpoint: id of the endpoint.
        incarnation: tells its runs apart.
        repeats: how many came before, each after the run was avoided for the
            one before it, and none of its answers between them was sound.
        seen_at: monotonic time.
    """

    endpoint: str
    incarnation: int
    repeats: int
    seen_at: float


class _Finding:
    """What is known of a run."""

    def __init__(self, reply: EndlessReply, until: float):
        self.reply = reply
        # The end of the avoidance.
        self.until = until
        # Whether a request sent after the reply got a sound answer.
        self.is_answered = False
        # Whether it got one before too, and none of its own requests showed a
        # repetition since.
        self.was_answered = False

    def is_avoided(self, now: float) -> bool:
        """Returns whether the run gets no requests."""
        return now < self.until and not self.is_answered

    def may_begin_anew(self, seen_at: float) -> bool:
        """Returns whether a run that has answered may be avoided again."""
        return seen_at - self.until >= MIN_INTERVAL_S


class Avoidances:
    """The runs that are avoided, as far as this host knows.

    Attributes:
        publish: sends news to other hosts.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        rng: random.Random,
        count: Callable[[], None],
    ):
        """Creates it without any run.

        Args:
            clock: tells the monotonic time.
            rng: spreads the ends of avoidances.
            count: called for each avoidance that begins.
        """
        self._clock = clock
        self._rng = rng
        self._count = count
        self._findings: dict[EndpointRun, _Finding] = {}
        self.publish: Callable[[list[EndlessReply]], None] = _ignore

    def wait_s(self, run: EndpointRun) -> float:
        """Returns for how long a run gets no requests."""
        finding = self._find(run)
        now = self._clock.monotonic()
        if finding is None or not finding.is_avoided(now):
            return 0.0
        return finding.until - now

    def trial_since(self, run: EndpointRun) -> float:
        """Returns the time from which a run may get one request at a time.

        Returns:
            Monotonic time of the reply that was broken off, infinity if the run
            isn't on trial.
        """
        finding = self._find(run)
        if finding is None or finding.is_answered:
            return math.inf
        return finding.reply.seen_at

    def is_any(self) -> bool:
        """Returns whether anything is known of any run."""
        return bool(self._findings)

    def record_endless(self, run: EndpointRun, sent_at: float) -> None:
        """Records that a reply was broken off, as no end was in sight.

        Args:
            run: who sent it.
            sent_at: monotonic time at which the request was sent.
        """
        finding = self._find(run)
        now = self._clock.monotonic()
        repeats = 0
        if finding is not None:
            # Replies to requests from before are no repetition.
            if sent_at <= finding.reply.seen_at:
                return
            if not finding.is_answered:
                repeats = min(MAX_REPEATS, finding.reply.repeats + 1)
            elif not finding.may_begin_anew(now):
                return
        reply = EndlessReply(run.key, run.incarnation, repeats, now)
        self._avoid(run, reply, is_own=True)
        self.publish([reply])

    def record_answer(self, run: EndpointRun, sent_at: float) -> None:
        """Records that a run gave a complete answer.

        Args:
            run: who gave it.
            sent_at: monotonic time at which the request was sent.
        """
        finding = self._find(run)
        if (
            finding is None
            or finding.is_answered
            or sent_at <= finding.reply.seen_at
        ):
            return
        finding.is_answered = True
        state_log.log_change("endpoint used again", endpoint=run.key)

    def items(self, now: float, max_age_s: float) -> list[EndlessReply]:
        """Returns what other hosts should know."""
        findings = filter(None, map(self._find, list(self._findings)))
        return [
            finding.reply
            for finding in findings
            if not finding.is_answered
            and now - finding.reply.seen_at <= max_age_s
        ]

    def merge(self, items: list) -> None:
        """Applies what other hosts saw; a repetition counts once."""
        for reply in items:
            if isinstance(reply, EndlessReply):
                self._merge(reply)

    def _merge(self, reply: EndlessReply) -> None:
        now = self._clock.monotonic()
        reply = reply._replace(
            repeats=min(MAX_REPEATS, reply.repeats),
            seen_at=min(now, reply.seen_at),
        )
        run = EndpointRun(reply.endpoint, reply.incarnation)
        finding = self._find(run)
        if finding is not None:
            if reply.seen_at <= finding.reply.seen_at:
                return
            if finding.is_answered:
                if not finding.may_begin_anew(reply.seen_at):
                    return
                reply = reply._replace(repeats=0)
            # The sound answers that this host got count more.
            elif finding.was_answered or not _may_follow(finding.reply, reply):
                return
        if reply.seen_at + _avoidance_s(reply) + MEMORY_S > now:
            self._avoid(run, reply, is_own=False)

    def _avoid(
        self, run: EndpointRun, reply: EndlessReply, is_own: bool
    ) -> None:
        now = self._clock.monotonic()
        spread = 1.0 + _SPREAD_SHARE * self._rng.random()
        until = reply.seen_at + spread * _avoidance_s(reply)
        before = self._findings.pop(run, None)
        finding = self._findings[run] = _Finding(reply, until)
        finding.was_answered = before is not None and before.is_answered
        if len(self._findings) > _MAX_RUNS:
            del self._findings[next(iter(self._findings))]
        if until <= now:
            return
        self._count()
        state_log.log_fault(
            "endpoint avoided",
            endpoint=run.key,
            avoided_ms=round((until - now) * _MS_PER_S),
            repeats=reply.repeats,
            is_own=is_own,
        )

    def _find(self, run: EndpointRun) -> _Finding | None:
        """Returns what is known of a run; forgets what is old."""
        finding = self._findings.get(run)
        if finding is None:
            return None
        if finding.until + MEMORY_S <= self._clock.monotonic():
            del self._findings[run]
            return None
        return finding


def _avoidance_s(reply: EndlessReply) -> float:
    """Returns the shortest time for which a run is avoided."""
    return FIRST_AVOIDANCE_S * 2**reply.repeats


def _may_follow(known: EndlessReply, reply: EndlessReply) -> bool:
    """Returns whether a reply is a repetition that another host may have seen.

    It comes after the avoidances between; hosts may see the known one at
    different times.
    """
    passed_s = _avoidance_s(reply) - _avoidance_s(known)
    return (
        reply.repeats > known.repeats
        and reply.seen_at - known.seen_at >= _PASSED_SHARE * passed_s
    )


def _ignore(replies: list[EndlessReply]) -> None:
    pass
