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


def choose(
    candidates: list[Candidate],
    prompt: engine_load.Prompt,
    left_s: float,
    now: float,
) -> Candidate:
    """Returns the engine at which a prompt costs least.

    The cost is a delay: the time to the first event, the transfer of inputs,
    and `LATE_ANSWER_S` for each answer that becomes late, about.

    Args:
        candidates: at least one engine; of equal ones the first is chosen.
        prompt: the prompt.
        left_s: time left until the first event is late, in seconds.
        now: monotonic time in seconds.
    """
    tokens = prompt.tokens()
    read_times = [
        item.load.read_s(tokens - item.load.cached_tokens(prompt, now))
        for item in candidates
    ]
    costs = [
        _cost_s(item, read_s, prompt, left_s, now)
        for item, read_s in zip(candidates, read_times, strict=True)
    ]
    order = sorted(range(len(candidates)), key=costs.__getitem__)
    best, least_s = None, float("inf")
    for index in order:
        # The streams beside it can only add to the cost.
        if costs[index] >= least_s:
            break
        item = candidates[index]
        if item.load.is_full(prompt, item.slots, now):
            continue
        late = item.load.late_streams(read_times[index], now)
        cost_s = costs[index] + LATE_ANSWER_S * late
        if cost_s < least_s:
            best, least_s = item, cost_s
    return best or candidates[order[0]]


def _cost_s(
    item: Candidate,
    read_s: float,
    prompt: engine_load.Prompt,
    left_s: float,
    now: float,
) -> float:
    """Returns the cost without that of the streams beside the prompt."""
    wait_s = item.load.backlog_s(now) + read_s + engine_load.OVERHEAD_S
    if item.is_suspect:
        wait_s *= _SUSPICION_FACTOR
    late = engine_load.lateness(wait_s, left_s)
    late += item.load.own_lateness(prompt.output_s, now)
    return wait_s + item.transfer_s + LATE_ANSWER_S * late
