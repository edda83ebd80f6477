"""Which unread answers grow and which are ended at the bound on memory.

Load pattern: some callers stop reading, or read slowly, while endpoints send
streams and large replies to them. Their unsent answers fill the room for
replies, so that the replies to other callers are left unread; an endpoint
aborts a reply that is left unread for some seconds.

An answer may grow while there is room. At the bound, a reply waits for
`WAIT_S`; then slow callers' answers over their fair part are ended until there
is room for what waits. After `LAST_WAIT_S` those below their fair part are
ended too, and the answer itself whose reply waits.
"""

import math
from collections.abc import Sequence
from typing import NamedTuple

from chervilarch import byte_room

# How often `choose` is called while anything waits. Both waits below end within
# a second with it, also if a look is late.
LOOK_INTERVAL_S = 0.125
# A reply is left unread for this long before a slow caller's answer over its
# fair part is ended. Callers that read have then made room for most of what
# comes.
WAIT_S = 0.5
# After this time any slow caller's answer may be ended.
LAST_WAIT_S = 0.75
# An answer that wasn't unread for this long has no known speed yet.
SETTLE_S = 0.5
# A caller is slow if it needs longer than this for what it hasn't read. It is
# the time for which a reply may be left unread.
MAX_DRAIN_S = 1.0
# An answer that is let grow gets room for this much: the bytes of one reply
# that one turn of the loop reads.
GROWTH_BYTES = 64 * 1024
# Time constant of the average of a caller's speed.
_PACE_S = 0.5
# Callers that would need longer than this count as equally slow.
_MAX_COMPARED_DRAIN_S = 60.0
# Looks further apart than this tell nothing of the callers: the process was
# paused or busy, and hasn't written meanwhile.
_LATE_LOOK_S = 4 * LOOK_INTERVAL_S


class RoomState(NamedTuple):
    """How full the room for replies is.

    Attributes:
        size: bytes of replies and unread answers that are held.
        bounds: the room's sizes.
    """

    size: int
    bounds: byte_room.Bounds


class Wait(NamedTuple):
    """A reply that is left unread for lack of room.

    Attributes:
        size: bytes that it needs.
        since: monotonic time in seconds.
    """

    size: int
    since: float


class Answer:
    """What one caller hasn't read of its answer.

    Attributes:
        size: bytes that are unsent.
        opened_at: monotonic time since which any byte is unsent, in seconds.
        waits_since: since when its reply is left unread, None if it isn't.
    """

    def __init__(self, now: float):
        self.size = 0
        self.opened_at = now
        self.waits_since: float | None = None
        self._taken_bytes = 0.0
        self._taken_at = now

    def record_taken(self, size: int, now: float) -> None:
        """Records bytes that the caller's socket has taken."""
        self._taken_bytes = self._decayed(now) + size
        self._taken_at = now

    def drain_s(self, now: float) -> float:
        """Returns how long the caller needs for what it hasn't read."""
        span_s = max(now - self.opened_at, SETTLE_S)
        weight_s = _PACE_S * -math.expm1(-span_s / _PACE_S)
        bytes_per_s = self._decayed(now) / weight_s
        if self.size >= bytes_per_s * _MAX_COMPARED_DRAIN_S:
            return _MAX_COMPARED_DRAIN_S
        return self.size / bytes_per_s

    def _decayed(self, now: float) -> float:
        return self._taken_bytes * math.exp((self._taken_at - now) / _PACE_S)


class Ending(NamedTuple):
    """The decision to end an answer, and what it rests on.

    Attributes:
        answer: the answer to break off.
        size: its unsent bytes.
        fair_part: bytes that each answer may hold while others wait.
        drain_s: how long its caller would need, at most a minute.
        age_s: since when it is unread.
        waits: replies that are left unread.
        waited_s: the longest of these waits.
    """

    answer: Answer
    size: int
    fair_part: int
    drain_s: float
    age_s: float
    waits: int
    waited_s: float


class UnreadAnswers:
    """The unread answers of one host."""

    def __init__(self) -> None:
        self._answers: dict[Answer, None] = {}
        self._waiting: dict[Answer, None] = {}
        self._looked_at = float("-inf")
        # What was seen before this time tells nothing of the callers.
        self._known_since = float("-inf")

    def open(self, now: float) -> Answer:
        """Adds an answer of which bytes are unsent."""
        answer = Answer(now)
        self._answers[answer] = None
        return answer

    def close(self, answer: Answer) -> None:
        """Removes an answer that is sent, or broken off."""
        self._answers.pop(answer, None)
        self.stop_waiting(answer)

    def size(self) -> int:
        """Returns the unsent bytes of all answers."""
        return sum(answer.size for answer in self._answers)

    def is_awaited(self) -> bool:
        """Returns whether any answer's reply is left unread."""
        return bool(self._waiting)

    def may_grow(self, answer: Answer, room: RoomState) -> bool:
        """Returns whether more of an answer's reply may be read.

        Small answers grow beyond the shared room, but not into that of small
        replies.
        """
        if _is_at_own_bound(answer, room):
            return False
        limit = room.bounds.shared
        if answer.size <= byte_room.SMALL_BYTES:
            limit += room.bounds.largest
        return room.size + GROWTH_BYTES <= limit

    def wait(self, answer: Answer, now: float) -> None:
        """Records that an answer's reply is left unread from now on."""
        answer.waits_since = now
        self._waiting[answer] = None

    def stop_waiting(self, answer: Answer) -> None:
        """Records that an answer's reply is read."""
        answer.waits_since = None
        self._waiting.pop(answer, None)

    def growing(self, room: RoomState) -> list[Answer]:
        """Returns the waiting answers that may grow, in the order to wait."""
        growing = []
        for answer in self._waiting:
            if self.may_grow(answer, room):
                growing.append(answer)
                room = room._replace(size=room.size + GROWTH_BYTES)
        return growing

    def begin_looks(self, now: float) -> None:
        """Records that `choose` is called each interval from now on."""
        self._looked_at = now

    def choose(
        self, room: RoomState, bodies: Sequence[Wait], now: float
    ) -> list[Ending]:
        """Returns the answers to end now.

        Args:
            room: how full the room is.
            bodies: replies without an answer yet that are left unread.
            now: monotonic time in seconds.
        """
        looked_at, self._looked_at = self._looked_at, now
        if now - looked_at > _LATE_LOOK_S:
            self._known_since = now
        waits = [*bodies, *self._answers_waits(room)]
        waits = [w._replace(since=self._known(w.since)) for w in waits]
        due = [wait for wait in waits if now - wait.since >= WAIT_S]
        waited_s = max((now - wait.since for wait in waits), default=0.0)
        parties = len(self._answers) + len(bodies)
        fair_part = room.bounds.shared // max(2, parties)
        missing = 0
        if due:
            needed = sum(wait.size for wait in due)
            missing = room.size + needed - room.bounds.shared
        endings = []
        for answer in self._by_slowness(now):
            is_for_others = missing > 0 and (
                waited_s >= LAST_WAIT_S
                or (answer.size > fair_part and not _is_alone(answer, due, now))
            )
            if is_for_others or self._is_stuck(answer, room, now):
                missing -= answer.size
                ending = Ending(
                    answer,
                    answer.size,
                    fair_part,
                    answer.drain_s(now),
                    now - answer.opened_at,
                    len(waits),
                    waited_s,
                )
                endings.append(ending)
        return endings

    def _answers_waits(self, room: RoomState) -> list[Wait]:
        """Returns the waits of answers that others' ends make room for."""
        return [
            Wait(GROWTH_BYTES, answer.waits_since)
            for answer in self._waiting
            if not _is_at_own_bound(answer, room)
        ]

    def _known(self, since: float) -> float:
        """Returns since when something is known to last."""
        return max(since, self._known_since)

    def _by_slowness(self, now: float) -> list[Answer]:
        """Returns the answers of slow callers, the slowest first.

        Of callers that are equally slow, the largest answer is first, so that
        few are ended.
        """
        slow = []
        for answer in self._answers:
            age_s = now - self._known(answer.opened_at)
            drain_s = answer.drain_s(now)
            if age_s >= SETTLE_S and drain_s > MAX_DRAIN_S:
                slow.append((drain_s, answer.size, answer))
        slow.sort(key=lambda item: item[:2], reverse=True)
        return [answer for _, _, answer in slow]

    def _is_stuck(self, answer: Answer, room: RoomState, now: float) -> bool:
        """Returns whether an answer waits at the bound of one message."""
        return (
            answer.waits_since is not None
            and _is_at_own_bound(answer, room)
            and now - self._known(answer.waits_since) >= LAST_WAIT_S
        )


def _is_at_own_bound(answer: Answer, room: RoomState) -> bool:
    return answer.size + GROWTH_BYTES > room.bounds.largest


def _is_alone(answer: Answer, due: Sequence[Wait], now: float) -> bool:
    """Returns whether nobody but the answer's own reply has waited."""
    return (
        len(due) == 1
        and answer.waits_since is not None
        and now - answer.waits_since >= WAIT_S
    )
