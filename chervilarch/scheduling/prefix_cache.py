"""Estimates which prompt parts an engine has cached.

Load pattern: many long prompts share their first parts, and each engine caches
what it read last. A prompt that is sent elsewhere is read again in full, and
delays every stream that runs there.
"""

import collections
from collections.abc import Sequence
from typing import NamedTuple

# Tokens of cached parts that an engine of unknown memory is assumed to keep.
DEFAULT_CAPACITY_TOKENS = 100_000
# Parts unused for longer are assumed to be evicted: engines also cache prompts
# that this process hasn't seen.
MAX_AGE_S = 30.0


class Part(NamedTuple):
    """A part of a prompt.

    Attributes:
        id: names its content.
        tokens: its size.
    """

    id: str
    tokens: int


class PrefixCache:
    """The parts that one engine has probably cached, by prefix.

    A part counts only together with all parts before it. The least recently
    used ones are evicted first.
    """

    def __init__(self, capacity_tokens: int = DEFAULT_CAPACITY_TOKENS):
        self._capacity_tokens = capacity_tokens
        self._tokens = 0
        # Size and time of the last use of each prefix, the latest at the end.
        self._prefixes: collections.OrderedDict[str, tuple[int, float]] = (
            collections.OrderedDict()
        )

    def cached_tokens(self, parts: Sequence[Part], now: float) -> int:
        """Returns how many of a prompt's first tokens are probably cached.

        Args:
            parts: the prompt's parts in order.
            now: monotonic time in seconds.
        """
        cached, prefix = 0, ""
        for part in parts:
            prefix = f"{prefix},{part.id}"
            known = self._prefixes.get(prefix)
            if known is None or now - known[1] > MAX_AGE_S:
                break
            cached += part.tokens
        return cached

    def record(self, parts: Sequence[Part], now: float) -> None:
        """Records that a prompt is read.

        Args:
            parts: the prompt's parts in order.
            now: monotonic time in seconds.
        """
        prefix = ""
        prefixes = []
        for part in parts:
            prefix = f"{prefix},{part.id}"
            prefixes.append((prefix, part.tokens))
        # A prefix is used after the longer ones, so that those go first.
        for name, tokens in reversed(prefixes):
            known = self._prefixes.pop(name, None)
            self._tokens += tokens - (known[0] if known else 0)
            self._prefixes[name] = (tokens, now)
        while self._tokens > self._capacity_tokens and self._prefixes:
            _, (tokens, _) = self._prefixes.popitem(last=False)
            self._tokens -= tokens
