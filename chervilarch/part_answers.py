"""How long answers to prompts with each part went on.

Does no I/O; merging an answer twice, or in another order, gives the same
result.
"""

import collections
from typing import NamedTuple

# An answer speaks for a part only if it went on for this much longer than
# another one. Answers with a part that crashes engines differ by less.
MARGIN_S = 1.5
_MAX_PARTS = 4096
_MAX_ANSWERS_PER_PART = 8


class PartAnswer(NamedTuple):
    """An answer to a prompt with a part, whose engine lived on.

    Attributes:
        part: id of the part.
        seen_at: monotonic time in seconds until which the engine lived.
        answered_s: seconds between the first event and that time, or more if
            the answer was complete.
    """

    part: str
    seen_at: float
    answered_s: float

    def outlasts(self, since: float, answered_s: float) -> bool:
        """Returns whether it went on for longer than another one.

        Args:
            since: monotonic time after which it must have gone on.
            answered_s: how long the other one went on, in seconds.
        """
        return self.seen_at > since and self.answered_s > answered_s + MARGIN_S


class PartAnswers:
    """The answers of each part that no later one outlasts."""

    def __init__(self) -> None:
        self._by_part: collections.OrderedDict[str, tuple[PartAnswer, ...]] = (
            collections.OrderedDict()
        )

    def of(self, part: str) -> tuple[PartAnswer, ...]:
        """Returns the answers of a part."""
        return self._by_part.get(part, ())

    def add(self, answer: PartAnswer) -> bool:
        """Adds an answer; returns whether it tells anything new."""
        if answer.answered_s <= MARGIN_S:
            return False
        known = self.of(answer.part)
        if any(
            other.seen_at >= answer.seen_at
            and other.answered_s >= answer.answered_s
            for other in known
        ):
            return False
        kept = [
            other
            for other in known
            if other.seen_at > answer.seen_at
            or other.answered_s > answer.answered_s
        ]
        kept = sorted([*kept, answer], key=lambda other: other.answered_s)
        self._by_part[answer.part] = tuple(kept[-_MAX_ANSWERS_PER_PART:])
        self._by_part.move_to_end(answer.part)
        if len(self._by_part) > _MAX_PARTS:
            self._by_part.popitem(last=False)
        return True

    def outlast(self, part: str, since: float, answered_s: float) -> bool:
        """Returns whether an answer with a part outlasts another one.

        Args:
            part: id of the part.
            since: as for `PartAnswer.outlasts`.
            answered_s: as for `PartAnswer.outlasts`.
        """
        return any(
            answer.outlasts(since, answered_s) for answer in self.of(part)
        )
