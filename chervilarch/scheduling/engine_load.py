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


class Start(NamedTuple):
    """How an engine would begin to serve a prompt.

    Attributes:
        sent_at: when the prompt is sent, in monotonic seconds.
        read_at: when the engine begins to read it.
        read_s: time to read it in seconds.
        late_streams: how many streams that would make late, about.
    """

    sent_at: float
    read_at: float
    read_s: float
    late_streams: float

    def first_event_at(self) -> float:
        """Returns when its first event is expected, in monotonic seconds."""
        return self.read_at + self.read_s + OVERHEAD_S


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
    start: Start
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
        # Those whose first event is awaited, in the order of their placement.
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
        """Returns the time until a prompt sent now is read, in seconds."""
        return max(0.0, self._read_until - now) + self._overdue_s(now)

    def running(self, now: float) -> int:
        """Returns how many requests the engine holds."""
        self._forget_lost(now)
        return len(self._streams)

    def kv_tokens(self, now: float) -> int:
        """Returns the tokens of the requests that the engine holds."""
        self._forget_lost(now)
        return sum(stream.tokens for stream in self._streams.values())

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

    def start(self, prompt: Prompt, now: float) -> Start:
        """Returns how a prompt would be read if it were sent now.

        Args:
            prompt: the prompt.
            now: monotonic time in seconds.
        """
        self._forget_lost(now)
        read_s = self.read_s(self.uncached_tokens(prompt, now))
        read_at = max(now, self._read_until)
        late = 0.0
        is_in_row = read_at <= self._read_until + _CONTIGUOUS_S
        for stream in self._streams.values():
            if stream.ends_at <= read_at:
                continue
            paused_s = 0.0
            if is_in_row:
                began_at = max(stream.begins_at, self._block_from)
                paused_s = max(0.0, self._read_until - began_at)
            late += lateness(paused_s + read_s, stream.gap_s)
            late -= lateness(paused_s, stream.gap_s)
        return Start(now, read_at + self._overdue_s(now), read_s, late)

    def own_lateness(self, output_s: float, now: float) -> float:
        """Returns the probability that later prompts make a stream late.

        Args:
            output_s: expected duration of the stream in seconds.
            now: monotonic time in seconds.
        """
        return min(1.0, self._current_interference(now) * output_s)

    def add_prompt(
        self, request_id: str, prompt: Prompt, start: Start, now: float
    ) -> None:
        """Adds a prompt that is sent to the engine now.

        Args:
            request_id: the caller's id of the request.
            prompt: the prompt.
            start: what `start` returned for it.
            now: monotonic time in seconds.
        """
        tokens = self.uncached_tokens(prompt, now)
        was_idle = self._read_until <= start.sent_at and not self._reading
        read_at = max(start.sent_at, self._read_until)
        if read_at > self._read_until + _CONTIGUOUS_S:
            self._block_from = read_at
        self._read_until = read_at + start.read_s
        for stream in self._streams.values():
            if stream.ends_at > read_at:
                stream.ends_at += start.read_s
        self._interference = self._current_interference(now) + (
            lateness(start.read_s, prompt.gap_s) / _INTERFERENCE_S
        )
        self._interference_at = now
        self._cache.record(prompt.parts, now)
        self._streams[request_id] = _Stream(start.first_event_at(), prompt)
        self._reading.pop(request_id, None)
        self._reading[request_id] = _Reading(start, tokens, was_idle)

    def record_first_event(self, request_id: str, now: float) -> None:
        """Records that a prompt was read and its stream runs."""
        reading = self._reading.pop(request_id, None)
        stream = self._streams.get(request_id)
        if reading is None or stream is None:
            return
        stream.ends_at += now - stream.begins_at
        stream.begins_at = now
        start = reading.start
        elapsed_s = now - start.sent_at
        expected_s = start.first_event_at() - start.sent_at
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
        self._streams.pop(request_id, None)

    def _overdue_s(self, now: float) -> float:
        """Returns how late the awaited first events are, in seconds.

        It shows that the engine is slower than assumed.
        """
        if not self._reading:
            return 0.0
        oldest = next(iter(self._reading.values()))
        overdue_s = now - oldest.start.first_event_at()
        return min(_MAX_OVERDUE_S, max(0.0, overdue_s))

    def _current_interference(self, now: float) -> float:
        idle_s = max(0.0, now - self._interference_at)
        return self._interference * math.exp(-idle_s / _INTERFERENCE_S)

    def _forget_lost(self, now: float) -> None:
        """Forgets requests of whose end there is no news."""
        for request_id in [
            name
            for name, stream in self._streams.items()
            if now > stream.ends_at
            and (name not in self._reading or now > stream.ends_at + _LOST_S)
        ]:
            self.record_end(request_id)
