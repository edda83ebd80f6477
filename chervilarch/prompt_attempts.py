"""The attempts with prompts that a crash of their engine may concern.

Does no I/O.
"""

import collections
from collections.abc import Iterator
from typing import NamedTuple

from chervilarch import endpoint_state, part_answers, placement
from chervilarch.prompt_blocks import Prompt

# A crash ends all attempts of an engine at once, but those that stall are given
# up one by one before the list shows that the engine is gone.
_LOST_TTL_S = 15.0
_MAX_LOST = 4096
_MAX_COMPLETED = 4096


class RunningAttempt(NamedTuple):
    """A running attempt.

    Attributes:
        prompt: its prompt.
        slot: has the times of its events.
    """

    prompt: Prompt
    slot: endpoint_state.Slot


class EndedAttempt(NamedTuple):
    """An attempt that was lost, or whose answer was complete.

    Attributes:
        run: the engine's run.
        ended_at: monotonic time in seconds.
        prompt: its prompt.
        answered_s: seconds between the first and the last event.
    """

    run: endpoint_state.EndpointRun
    ended_at: float
    prompt: Prompt
    answered_s: float


class PromptAttempts:
    """Running, lost and completed attempts of this host."""

    def __init__(self) -> None:
        self._running: dict[
            endpoint_state.EndpointRun, dict[int, RunningAttempt]
        ] = {}
        self._lost: collections.deque[EndedAttempt] = collections.deque(
            maxlen=_MAX_LOST
        )
        # Their engines may still turn out to have crashed.
        self._completed: collections.deque[EndedAttempt] = collections.deque(
            maxlen=_MAX_COMPLETED
        )

    def begin(self, lease: placement.Lease, prompt: Prompt) -> None:
        """Adds a running attempt."""
        running = self._running.setdefault(lease.slot.endpoint, {})
        running[lease.slot.number] = RunningAttempt(prompt, lease.slot)

    def end(self, lease: placement.Lease, now: float) -> EndedAttempt | None:
        """Removes a running attempt; returns it if it had a prompt."""
        run = lease.slot.endpoint
        running = self._running.get(run, {})
        attempt = running.pop(lease.slot.number, None)
        if not running:
            self._running.pop(run, None)
        if attempt is None:
            return None
        return EndedAttempt(run, now, attempt.prompt, attempt.slot.answered_s())

    def add_lost(self, ended: EndedAttempt) -> None:
        """Adds an attempt that broke off."""
        self._lost.append(ended)

    def add_completed(self, ended: EndedAttempt) -> None:
        """Adds an attempt whose answer looks complete."""
        self._completed.append(ended)

    def pop_settled(self, now: float) -> Iterator[EndedAttempt]:
        """Removes and yields completed attempts whose engines live on."""
        while (
            self._completed
            and now - self._completed[0].ended_at >= part_answers.MARGIN_S
        ):
            yield self._completed.popleft()

    def lost_runs(self, now: float) -> set[endpoint_state.EndpointRun]:
        """Returns the engines' runs that lost attempts lately."""
        self._drop_old_lost(now)
        return {ended.run for ended in self._lost}

    def ended(
        self, run: endpoint_state.EndpointRun, now: float
    ) -> list[EndedAttempt]:
        """Returns the ended attempts that a crash of a run concerns now."""
        self._drop_old_lost(now)
        lost = [ended for ended in self._lost if ended.run == run]
        completed = [
            ended
            for ended in self._completed
            if ended.run == run and now - ended.ended_at < part_answers.MARGIN_S
        ]
        return lost + completed

    def concerned(
        self, run: endpoint_state.EndpointRun, now: float
    ) -> list[EndedAttempt]:
        """Returns all attempts that a crash of a run concerns now."""
        running = [
            EndedAttempt(run, now, prompt, slot.answered_s())
            for prompt, slot in self._running.get(run, {}).values()
        ]
        return self.ended(run, now) + running

    def forget_ended(self, run: endpoint_state.EndpointRun) -> None:
        """Removes the ended attempts of a run."""
        for attempts in (self._lost, self._completed):
            kept = [ended for ended in attempts if ended.run != run]
            attempts.clear()
            attempts.extend(kept)

    def longest_answers(self) -> list[part_answers.PartAnswer]:
        """Returns the longest running answer with each part."""
        longest: dict[str, part_answers.PartAnswer] = {}
        for running in self._running.values():
            for prompt, slot in running.values():
                answered_s = slot.answered_s()
                if answered_s <= part_answers.MARGIN_S:
                    continue
                for part in prompt:
                    if part not in longest or (
                        answered_s > longest[part].answered_s
                    ):
                        longest[part] = part_answers.PartAnswer(
                            part, slot.last_event_at, answered_s
                        )
        return list(longest.values())

    def _drop_old_lost(self, now: float) -> None:
        while self._lost and now - self._lost[0].ended_at >= _LOST_TTL_S:
            self._lost.popleft()
