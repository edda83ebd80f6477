"""Chooses the engine of a prompt by the answers that it would make late.

Load pattern: long prompts and long streams meet at the same engines while
others read nothing. A pause within a stream is as late as a late first event,
so both count: that of the prompt itself and those of the streams beside it.
"""

from typing import NamedTuple

from chervilarch.scheduling import engine_load

# Delay accepted to avoid one answer that is late, in seconds.
LATE_ANSWER_S = 1.0
# Factor on the time at an engine that is suspected to be slow.
_SUSPICION_FACTOR = 4.0
# If a stream's events may be apart no longer than this for each token that they
# hold, the chunks of prompt that are read between the tokens can make them
# late: reading one takes 40 to 95 ms.
SENSITIVE_TOKEN_S = 0.1


class Candidate(NamedTuple):
    """An engine that may be chosen.

    Attributes:
        name: its id.
        load: what it has to do.
        transfer_s: delay that counts for the inputs that it must fetch from
            other data centres, in seconds.
        is_suspect: whether it is suspected to be slow or to fail.
        slots: concurrent requests, 0 if unknown.
    """

    name: str
    load: engine_load.EngineLoad
    transfer_s: float = 0.0
    is_suspect: bool = False
    slots: int = 0


def is_pause_sensitive(gap_s: float, event_tokens: int) -> bool:
    """Returns whether prompts that are read can make a stream's events late.

    Args:
        gap_s: longest pause between events that is on time, in seconds; 0 for
            no bound.
        event_tokens: tokens of one event, 0 if unknown.
    """
    return 0.0 < gap_s < SENSITIVE_TOKEN_S * event_tokens


class Choice(NamedTuple):
    """An engine, and how it would begin to serve the prompt."""

    candidate: Candidate
    start: engine_load.Start


def cost_s(
    candidate: Candidate,
    start: engine_load.Start,
    prompt: engine_load.Prompt,
    left_s: float,
    now: float,
) -> float:
    """Returns the cost of placing a prompt at an engine, as a delay.

    Args:
        candidate: the engine.
        start: how it would begin to serve the prompt.
        prompt: the prompt.
        left_s: time left until the first event is late, in seconds.
        now: monotonic time in seconds.
    """
    wait_s = start.first_event_at() - now
    if candidate.is_suspect:
        wait_s *= _SUSPICION_FACTOR
    late = (
        engine_load.lateness(wait_s, left_s)
        + start.late_streams
        + candidate.load.own_lateness(prompt.output_s, now)
    )
    return wait_s + candidate.transfer_s + LATE_ANSWER_S * late


def choose(
    candidates: list[Candidate],
    prompt: engine_load.Prompt,
    left_s: float,
    now: float,
) -> Choice:
    """Returns the engine with the least cost.

    Args:
        candidates: at least one engine; of equal ones the first is chosen.
        prompt: the prompt.
        left_s: time left until the first event is late, in seconds.
        now: monotonic time in seconds.
    """
    with_room = [
        item
        for item in candidates
        if not item.load.is_full(prompt, item.slots, now)
    ]
    choices = [
        Choice(candidate, candidate.load.start(prompt, now))
        for candidate in with_room or candidates
    ]
    return min(choices, key=lambda item: cost_s(*item, prompt, left_s, now))
