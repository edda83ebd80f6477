"""Tracks what each engine still has to do.

Load pattern: an engine reads prompts in chunks between the tokens of the
streams that run there, so a long prompt, or several in a row, stop all of them
for as long as it takes to read. Engines differ in speed lastingly, and some are
slow for a moment.
"""

import collections
import math
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
# A prompt without a first event for this long after it was expected, and a
# stream without an end, are no longer counted; their messages may be lost.
_LOST_S = 5.0
_FORGET_PERIOD_S = 0.1
# Reading a shorter prompt makes no stream late.
_NEGLIGIBLE_READ_S = 0.02
# Prompts that follow each other within this time are read in a row.
_CONTIGUOUS_S = 0.01


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


class _Stream:
    """A stream that runs, or will once its prompt is read.

    Attributes:
        begins_at: when its first event is expected or was received.
        ends_at: when its last event is expected.
        gap_s: longest pause between events that is on time, in seconds.
        tokens: tokens of its prompt and its answer.
    """

    def __init__(self, begins_at: float, prompt: Prompt):
        self.begins_at = begins_at
        self.ends_at = begins_at + prompt.output_s
        self.gap_s = prompt.gap_s
        self.tokens = prompt.tokens() + prompt.output_tokens


class _Reading(NamedTuple):
    sent_at: float
    expected_at: float
    read_tokens: int
    was_idle: bool


def lateness(delay_s: float, allowed_s: float) -> float:
    """Returns the probability that a delay makes an answer late, about.

    It is the square of the ratio: delays well below the bound matter only if
    the engine is slow for a moment.

    Args:
        delay_s: expected delay in seconds.
        allowed_s: the delay that is still on time; none if it isn't positive.
    """
    if allowed_s <= 0:
        return 0.0
    return min(1.0, delay_s / allowed_s) ** 2


class EngineLoad:
    """Prompts and streams of one run of an engine, over all hosts."""

    def __init__(self, speed: ReadSpeed, capacity_tokens: int = 0):
        """Creates an idle engine.

        Args:
            speed: speed of the pool's engines.
            capacity_tokens: the engine's memory, 0 if unknown.
        """
        self._speed = speed
        self._capacity_tokens = capacity_tokens
        self._slowness = 1.0
        # The prompts that are read in a row.
        self._block_from = float("-inf")
        self._read_until = float("-inf")
        self._streams: dict[str, _Stream] = {}
        self._kv_tokens = 0
        self._forget_at = float("-inf")
        # Those whose first event is awaited, in the order of their placement.
        self._reading: collections.OrderedDict[str, _Reading] = (
            collections.OrderedDict()
        )
        self._interference = 0.0
        self._interference_at = 0.0
        self._cache = prefix_cache.PrefixCache(
            capacity_tokens or prefix_cache.DEFAULT_CAPACITY_TOKENS
        )

    def cached_tokens(self, prompt: Prompt, now: float) -> int:
        """Returns how many first tokens of a prompt are probably cached."""
        return self._cache.cached_tokens(prompt.parts, now)

    def uncached_tokens(self, prompt: Prompt, now: float) -> int:
        """Returns how many tokens of a prompt would have to be read."""
        return prompt.tokens() - self.cached_tokens(prompt, now)

    def read_s(self, tokens: int) -> float:
        """Returns the time to read so many tokens, in seconds."""
        return tokens * self._speed.token_s * self._slowness

    def backlog_s(self, now: float) -> float:
        """Returns the time until a prompt sent now is read, in seconds."""
        return max(0.0, self._read_until - now) + self._overdue_s(now)

    def running(self) -> int:
        """Returns how many requests the engine holds."""
        return len(self._streams)

    def kv_tokens(self) -> int:
        """Returns the tokens of the requests that the engine holds."""
        return self._kv_tokens

    def is_full(self, prompt: Prompt, slots: int, now: float) -> bool:
        """Returns whether a prompt exceeds the engine's slots or memory.

        Args:
            prompt: the prompt.
            slots: concurrent requests of the engine, 0 if unknown.
            now: monotonic time in seconds.
        """
        self._forget_lost(now)
        if slots and len(self._streams) >= slots:
            return True
        needed = prompt.tokens() + prompt.output_tokens
        return bool(
            self._capacity_tokens
            and self._kv_tokens + needed > self._capacity_tokens
        )

    def late_streams(self, read_s: float, now: float) -> float:
        """Returns how many streams a prompt sent now would make late, about.

        Args:
            read_s: time to read it in seconds.
            now: monotonic time in seconds.
        """
        if read_s < _NEGLIGIBLE_READ_S:
            return 0.0
        read_until, block_from = self._read_until, self._block_from
        read_at = max(now, read_until)
        is_in_row = read_at <= read_until + _CONTIGUOUS_S
        late = 0.0
        # Runs for many engines with each prompt.
        for stream in self._streams.values():
            gap_s = stream.gap_s
            if stream.ends_at <= read_at or gap_s <= 0.0:
                continue
            paused = 0.0
            if is_in_row:
                began_at = stream.begins_at
                if began_at < block_from:
                    began_at = block_from
                if read_until > began_at:
                    paused = (read_until - began_at) / gap_s
            if paused < 1.0:
                total = paused + read_s / gap_s
                late += min(1.0, total * total) - paused * paused
        return late

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
        self._forget_lost(now)
        self.record_end(request_id)
        tokens = self.uncached_tokens(prompt, now)
        read_s = self.read_s(tokens)
        was_idle = self._read_until <= now and not self._reading
        overdue_s = self._overdue_s(now)
        read_at = max(now, self._read_until)
        if read_at > self._read_until + _CONTIGUOUS_S:
            self._block_from = read_at
        self._read_until = read_at + read_s
        for stream in self._streams.values():
            if stream.ends_at > read_at:
                stream.ends_at += read_s
        self._interference = self._current_interference(now) + (
            lateness(read_s, prompt.gap_s) / _INTERFERENCE_S
        )
        self._interference_at = now
        self._cache.record(prompt.parts, now)
        expected_at = self._read_until + overdue_s + OVERHEAD_S
        stream = _Stream(expected_at, prompt)
        self._streams[request_id] = stream
        self._kv_tokens += stream.tokens
        self._reading[request_id] = _Reading(now, expected_at, tokens, was_idle)
        return expected_at - now

    def record_first_event(self, request_id: str, now: float) -> None:
        """Records that a prompt was read and its stream runs."""
        reading = self._reading.pop(request_id, None)
        stream = self._streams.get(request_id)
        if reading is None or stream is None:
            return
        stream.ends_at += now - stream.begins_at
        stream.begins_at = now
        elapsed_s = now - reading.sent_at
        expected_s = reading.expected_at - reading.sent_at
        ratio = self._slowness * elapsed_s / expected_s
        ratio = min(_MAX_SLOWNESS, max(_MIN_SLOWNESS, ratio))
        self._slowness += _SLOWNESS_WEIGHT * (ratio - self._slowness)
        if reading.was_idle and reading.read_tokens >= _MIN_MEASURED_TOKENS:
            read_s = max(0.0, elapsed_s - OVERHEAD_S)
            self._speed.observe(read_s / reading.read_tokens)
        if not self._reading:
            self._read_until = min(self._read_until, now)

    def record_end(self, request_id: str) -> None:
        """Records that a request has ended, also one without an event."""
        self._reading.pop(request_id, None)
        stream = self._streams.pop(request_id, None)
        if stream is not None:
            self._kv_tokens -= stream.tokens

    def _overdue_s(self, now: float) -> float:
        """Returns how late the awaited first events are, in seconds.

        It shows that the engine is slower than assumed.
        """
        if not self._reading:
            return 0.0
        oldest = next(iter(self._reading.values()))
        overdue_s = now - oldest.expected_at
        if overdue_s > _LOST_S:
            return 0.0
        return min(_MAX_OVERDUE_S, max(0.0, overdue_s))

    def _current_interference(self, now: float) -> float:
        idle_s = max(0.0, now - self._interference_at)
        return self._interference * math.exp(-idle_s / _INTERFERENCE_S)

    def _forget_lost(self, now: float) -> None:
        """Forgets requests of whose end there is no news."""
        if now < self._forget_at:
            return
        self._forget_at = now + _FORGET_PERIOD_S
        for request_id in [
            name
            for name, stream in self._streams.items()
            if now > stream.ends_at
            and (name not in self._reading or now > stream.ends_at + _LOST_S)
        ]:
            self.record_end(request_id)
