"""Blocks of prompts: which are refused, for how long, and their tests.

A block names some parts and refuses the prompts that have all of them. Hosts
exchange blocks; the higher round counts, and the end of a round before its
beginning. Does no I/O.
"""

from typing import NamedTuple

_FIRST_BLOCK_S = 30.0
MAX_BLOCK_S = 480.0
_MAX_DOUBLINGS = 16
# After its time a block is lifted for one prompt, on one host; the others wait
# this long to learn whether its answer goes on.
_TEST_S = 10.0
# A block that no prompt has met for this time after its end is forgotten.
BLOCK_RETENTION_S = 600.0
# Times of hosts differ by the delay of a message; smaller differences must not
# prolong a block each time it is exchanged.
_TIME_SLACK_S = 0.5
_MAX_BLOCKS = 64

# Ids of the shared parts of a prompt.
Prompt = frozenset[str]


class PromptBlock(NamedTuple):
    """Refuses prompts that have all of some parts.

    Attributes:
        parts: ids of the parts.
        round: 1, or one more than that of the block before with these parts.
        is_active: False once an answer to a prompt with these parts was sound,
            or narrower blocks took its place.
        since: monotonic time of the first crash that it is based on.
        ends_at: monotonic time at which its round ends.
        held_until: like `ends_at`, or later while a host tests one prompt.
    """

    parts: Prompt
    round: int
    is_active: bool
    since: float
    ends_at: float
    held_until: float


class PromptBlocks:
    """The blocks that this host knows, also ended ones."""

    def __init__(self, test_delay_s: float = 0.0):
        """Creates an empty record.

        Args:
            test_delay_s: how much later than a block's end this host lets a
                prompt test it. It should differ between hosts: callers come
                back to all of them at the time that they were told.
        """
        self._test_delay_s = test_delay_s
        self._blocks: dict[Prompt, PromptBlock] = {}

    def all(self) -> list[PromptBlock]:
        """Returns all blocks."""
        return list(self._blocks.values())

    def active(self) -> list[PromptBlock]:
        """Returns the blocks in force, and those whose test is due."""
        return [block for block in self._blocks.values() if block.is_active]

    def find(self, prompt: Prompt, now: float) -> PromptBlock | None:
        """Returns a block that refuses a prompt at this time.

        Its `held_until` is the time for which this host holds it.
        """
        for block in self.active():
            held_until = block.held_until + self._test_delay_s
            if block.parts <= prompt and now < held_until:
                return block._replace(held_until=held_until)
        return None

    def begin_test(self, prompt: Prompt, now: float) -> PromptBlock | None:
        """Makes a prompt the test of a block whose time is up, if any."""
        ended = [block for block in self.active() if block.parts <= prompt]
        if not ended:
            return None
        latest = max(ended, key=lambda block: block.held_until)
        tested = latest._replace(held_until=now + _TEST_S)
        self._blocks[latest.parts] = tested
        return tested

    def merge(self, block: PromptBlock) -> bool:
        """Applies another host's block; returns whether it was news."""
        known = self._blocks.get(block.parts)
        if known is not None:
            if block.round < known.round:
                return False
            if block.round == known.round:
                if not known.is_active:
                    return False
                is_later = block.held_until > known.held_until + _TIME_SLACK_S
                if block.is_active and not is_later:
                    return False
        self._blocks[block.parts] = block
        return True

    def add(self, parts: Prompt, since: float, now: float) -> None:
        """Blocks some parts for the next round; ends broader blocks."""
        for block in self.active():
            if parts < block.parts:
                self.end(block)
        known = self._blocks.get(parts)
        number = known.round + 1 if known else 1
        doublings = min(number - 1, _MAX_DOUBLINGS)
        block_s = min(MAX_BLOCK_S, _FIRST_BLOCK_S * 2**doublings)
        ends_at = now + block_s
        self._blocks[parts] = PromptBlock(
            parts, number, True, since, ends_at, ends_at
        )

    def narrow(self, block: PromptBlock, parts: Prompt) -> None:
        """Replaces a block by one of fewer parts; ends it if none is left."""
        self.end(block)
        known = self._blocks.get(parts)
        if not parts or (known is not None and known.is_active):
            return
        number = max(block.round, known.round + 1 if known else 1)
        self._blocks[parts] = block._replace(parts=parts, round=number)

    def end(self, block: PromptBlock) -> None:
        """Ends a block."""
        self._blocks[block.parts] = block._replace(is_active=False)

    def expire(self, now: float) -> None:
        """Forgets blocks that were long unused, and the oldest of too many."""
        for parts, block in list(self._blocks.items()):
            if now - block.held_until > BLOCK_RETENTION_S:
                del self._blocks[parts]
        while len(self._blocks) > _MAX_BLOCKS:
            first = min(self._blocks.values(), key=lambda b: b.held_until)
            del self._blocks[first.parts]
