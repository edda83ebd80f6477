"""Tracks what each engine still has to do.

Load pattern: an engine reads prompts in chunks between the tokens of the
streams that run there, so a long prompt, or several in a row, stop all of them
for as long as it takes to read. Engines differ in speed lastingly, and some are
slow for a moment.
"""

import collections
import math
from collections.abc import Sequence
from typing import NamedTuple

from chervilarch.scheduling import prefix_cache

# Assumed time to read a prompt token, in seconds, until it is learned.
PRIOR_READ_S = 1 / 40_000
# Time from the choice to the first event that isn't due to reading: messages,
# connections and the first step of the engine.
OVERHEAD_S = 0.05
# Weight of the newest prompt in an engine's moving average of slowness, and in
# the pool's average of the time to read a token.
_SLOWNESS_WEIGHT = 0.2
_READ_WEIGHT = 0.05
_MIN_SLOWNESS, _MAX_SLOWNESS = 0.5, 4.0
# Smaller prompts say little about the time to read a token.
_MIN_MEASURED_TOKENS = 1000
# Time constant of the average of the interference between prompts and streams.
_INTERFERENCE_S = 5.0
# Overdue prompts count as a longer backlog up to this time.
_MAX_OVERDUE_S = 1.0
# A prompt without a first event for this long after it was expected is no
# longer counted; its message may be lost.
_LOST_S = 5.0


class Prompt(NamedTuple):
    """A prompt to be placed.

    Attributes:
        parts: its parts in order; the last one is its own.
        output_s: expected time from the first to the last event in seconds.
        output_tokens: expected number of generated tokens.
        gap_s: longest pause between events that is on time, in seconds; 0 for
            no bound.
    """

    parts: tuple[prefix_cache.Part, ...]
    output_s: float = 0.0
    output_tokens: int = 0
    gap_s: float = 0.0

    def tokens(self) -> int:
        """Returns the size of the prompt."""
        return sum(part.tokens for part in self.parts)


class ReadSpeed:
    """Time to read a prompt token, over all engines of a pool.

    Attributes:
        token_s: the time in seconds.
    """

    def __init__(self) -> None:
        self.token_s = PRIOR_READ_S

    def observe(self, token_s: float) -> None:
        """Learns from a prompt that was read without others before it."""
        token_s = min(10 * PRIOR_READ_S, max(PRIOR_READ_S / 10, token_s))
        self.token_s += _READ_WEIGHT * (token_s - self.token_s)


class _Stream(NamedTuple):
    ends_at: float
    gap_s: float
    tokens: int


class _Reading(NamedTuple):
    placed_at: float
    expected_at: float
    read_tokens: int
    was_idle: bool
    prompt: Prompt


def lateness(delay_s: float, allowed_s: float) -> float:
    """Returns the probability that a delay makes an answer late, about.

    It is the square of the ratio: delays well below the bound matter only if
    the engine is slow for a moment.

    Args:
        delay_s: expected delay in seconds.
        allowed_s: the delay that is still on time.
    """
    if allowed_s <= 0:
        return 0.0
    return min(1.0, delay_s / allowed_s) ** 2


class EngineLoad:
    """Prompts and streams of one run of an engine, over all hosts.

    The end of a stream isn't told; it is computed from its expected length.
    """

    def __init__(self, speed: ReadSpeed, capacity_tokens: int = 0):
        """Creates an idle engine.

        Args:
            speed: speed of the pool's engines.
            capacity_tokens: the engine's memory, 0 if unknown.
        """
        self._speed = speed
        self._capacity_tokens = capacity_tokens
        self._slowness = 1.0
        self._read_until = float("-inf")
        self._streams: list[_Stream] = []
        # By request id, in the order in which they were placed.
        self._reading: collections.OrderedDict[str, _Reading] = (
            collections.OrderedDict()
        )
        self._interference = 0.0
        self._interference_at = 0.0
        self._cache = prefix_cache.PrefixCache(
            capacity_tokens or prefix_cache.DEFAULT_CAPACITY_TOKENS
        )

    def uncached_tokens(self, prompt: Prompt, now: float) -> int:
        """Returns how many tokens of a prompt would have to be read."""
        cached = self._cache.cached_tokens(prompt.parts, now)
        return prompt.tokens() - cached

    def read_s(self, tokens: int) -> float:
        """Returns the time to read so many tokens, in seconds."""
        return tokens * self._speed.token_s * self._slowness

    def backlog_s(self, now: float) -> float:
        """Returns the time until a new prompt would be read, in seconds."""
        backlog_s = max(0.0, self._read_until - now)
        # A prompt that is overdue shows that the engine is slower than assumed.
        overdue_s = max(
            (now - reading.expected_at for reading in self._overdue(now)),
            default=0.0,
        )
        return backlog_s + min(_MAX_OVERDUE_S, overdue_s)

    def running(self, now: float) -> int:
        """Returns how many requests the engine holds."""
        self._forget_ended(now)
        return len(self._streams) + len(self._reading)

    def kv_tokens(self, now: float) -> int:
        """Returns the tokens of the requests that the engine holds."""
        self._forget_ended(now)
        reading = sum(
            r.prompt.tokens() + r.prompt.output_tokens
            for r in self._reading.values()
        )
        return reading + sum(stream.tokens for stream in self._streams)

    def is_full(self, prompt: Prompt, slots: int, now: float) -> bool:
        """Returns whether a prompt exceeds the engine's slots or memory.

        Args:
            prompt: the prompt.
            slots: concurrent requests of the engine, 0 if unknown.
            now: monotonic time in seconds.
        """
        if slots and self.running(now) >= slots:
            return True
        needed = prompt.tokens() + prompt.output_tokens
        return bool(
            self._capacity_tokens
            and self.kv_tokens(now) + needed > self._capacity_tokens
        )

    def added_lateness(self, read_s: float, now: float) -> float:
        """Returns how many running streams a prompt would make late, about.

        Args:
            read_s: time to read the prompt in seconds.
            now: monotonic time in seconds.
        """
        self._forget_ended(now)
        backlog_s = max(0.0, self._read_until - now)
        return sum(
            lateness(backlog_s + read_s, stream.gap_s)
            - lateness(backlog_s, stream.gap_s)
            for stream in self._streams
        )

    def own_lateness(self, output_s: float, now: float) -> float:
        """Returns the probability that later prompts make a stream late.

        Args:
            output_s: expected duration of the stream in seconds.
            now: monotonic time in seconds.
        """
        return min(1.0, self._current_interference(now) * output_s)

    def add_prompt(self, request_id: str, prompt: Prompt, now: float) -> float:
        """Adds a prompt that is sent to the engine now.

        Returns:
            The expected time to its first event in seconds.
        """
        tokens = self.uncached_tokens(prompt, now)
        read_s = self.read_s(tokens)
        was_idle = self._read_until <= now and not self._reading
        self._read_until = max(now, self._read_until) + read_s
        self._interference = self._current_interference(now) + (
            lateness(read_s, prompt.gap_s) / _INTERFERENCE_S
        )
        self._interference_at = now
        self._cache.record(prompt.parts, now)
        expected_at = self._read_until + OVERHEAD_S
        self._reading.pop(request_id, None)
        self._reading[request_id] = _Reading(
            now, expected_at, tokens, was_idle, prompt
        )
        return expected_at - now

    def record_first_event(self, request_id: str, now: float) -> None:
        """Records that a prompt was read and its stream runs."""
        reading = self._reading.pop(request_id, None)
        if reading is None:
            return
        prompt = reading.prompt
        self._streams.append(
            _Stream(
                now + prompt.output_s,
                prompt.gap_s,
                prompt.tokens() + prompt.output_tokens,
            )
        )
        elapsed_s = now - reading.placed_at
        expected_s = reading.expected_at - reading.placed_at
        ratio = self._slowness * elapsed_s / expected_s
        ratio = min(_MAX_SLOWNESS, max(_MIN_SLOWNESS, ratio))
        self._slowness += _SLOWNESS_WEIGHT * (ratio - self._slowness)
        if reading.was_idle and reading.read_tokens >= _MIN_MEASURED_TOKENS:
            read_s = max(0.0, elapsed_s - OVERHEAD_S)
            self._speed.observe(read_s / reading.read_tokens)
        if not self._reading:
            self._read_until = min(self._read_until, now)

    def forget(self, request_id: str) -> None:
        """Forgets a prompt that wasn't sent or whose caller left."""
        self._reading.pop(request_id, None)

    def _overdue(self, now: float) -> Sequence[_Reading]:
        """Returns the prompts that should have had their first event."""
        return [r for r in self._reading.values() if r.expected_at < now]

    def _current_interference(self, now: float) -> float:
        idle_s = max(0.0, now - self._interference_at)
        return self._interference * math.exp(-idle_s / _INTERFERENCE_S)

    def _forget_ended(self, now: float) -> None:
        self._streams = [s for s in self._streams if s.ends_at > now]
        while self._reading:
            request_id, reading = next(iter(self._reading.items()))
            if now - reading.expected_at < _LOST_S:
                return
            del self._reading[request_id]
