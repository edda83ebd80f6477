"""Transition system of the claims on calls that may run at most once.

It has two routers, attempts on two keys, crashes, expiring records and appends
that land late or never. Steps interleave freely, so a router may also pause at
any point.
"""

import enum
import functools
import itertools
import uuid
from collections.abc import Iterator
from typing import NamedTuple

import minicheck

from chervilarch import calls, records
from model import system

ACCOUNT = "a"
_KEYS_MADE_AT_S = 1_000_000.0
# Bounds the log of the variant in which others release a claim; they could do
# that any number of times.
_MAX_LOG_WITH_FORGED_RELEASES = 5
_KEYS_EXPIRED_AT_S = (
    _KEYS_MADE_AT_S + calls.MAX_KEY_AGE_S + 2 * calls.MAX_KEY_LEAD_S + 1.0
)


def _uuid7(number: int) -> str:
    value = int(_KEYS_MADE_AT_S * 1000) << 80 | 7 << 76 | 2 << 62 | number
    return str(uuid.UUID(int=value))


KEYS = (_uuid7(1), _uuid7(2))


class Rules(NamedTuple):
    """The rules of the protocol; a variant switches one off.

    Attributes:
        read_back: a call is dispatched only after its claim was read back from
            the log and holds the key.
        no_takeover: a call is not dispatched while another claim holds its key.
        holder_releases: a claim is released only by the attempt that made it.
        age_bounded: records expire only once their keys are too old to be
            claimed.
        whole_window: a restarted router reads from the first record that hasn't
            expired, not from the end of the log.
        proof_of_not_run: the caller of an abandoned attempt is told "not run"
            only if the router has read the log to its end and the key is free
            and not too old.
    """

    read_back: bool = True
    no_takeover: bool = True
    holder_releases: bool = True
    age_bounded: bool = True
    whole_window: bool = True
    proof_of_not_run: bool = True


class Phase(enum.IntEnum):
    """The phase of an attempt; one in `WON` has read that it holds its key."""

    NEW = 0
    WAITING = 1
    ABANDONED = 2
    WON = 3
    DISPATCHED = 4
    ENDED = 5


class AppendState(enum.IntEnum):
    """State of the append of an attempt's claim.

    A claim that was never sent or is lost has the state `NONE`.
    """

    NONE = 0
    PENDING = 1
    DONE = 2


class Attempt(NamedTuple):
    """One attempt at a call; its router and key never change.

    Attributes:
        router: index of its router.
        key: index of its key.
        phase: how far it has come.
        claim: state of its claim's append.
        release_due: whether its release is still to be appended.
        result_due: whether its result is still to be appended.
    """

    router: int
    key: int
    phase: Phase = Phase.NEW
    claim: AppendState = AppendState.NONE
    release_due: bool = False
    result_due: bool = False


class Router(NamedTuple):
    """The window of the log that a router has folded: log[start:pos]."""

    start: int = 0
    pos: int = 0


class LogEntry(NamedTuple):
    """A record of the log.

    Attributes:
        kind: "claim", "release" or "result".
        attempt: number of its attempt.
        aged: whether the keys were too old to be claimed by then.
    """

    kind: str
    attempt: int
    aged: bool


class State(NamedTuple):
    """The state of the system.

    `runs` and `lies` are ghost variables that the properties check.

    Attributes:
        attempts: the attempts, by number.
        routers: the routers, by number.
        log: all records, also expired ones.
        first: offset of the first record that hasn't expired.
        aged: whether the keys are too old to be claimed.
        expiries_left: how often records may still expire.
        crashes_left: how many crashes may still happen.
        runs: how often each key's call ran, at most 2.
        lies: how many refusals said "not run" of a call that ran.
    """

    attempts: tuple[Attempt, ...]
    routers: tuple[Router, ...]
    log: tuple[LogEntry, ...]
    first: int
    aged: bool
    expiries_left: int
    crashes_left: int
    runs: tuple[int, ...]
    lies: int


class Size(NamedTuple):
    """The size of an instance.

    Attributes:
        attempts: for each, its router and key.
        crashes: how many crashes may happen.
        expiries: how often records may expire.
    """

    attempts: tuple[tuple[int, int], ...]
    crashes: int = 1
    expiries: int = 1


def initial(size: Size) -> State:
    """Returns the initial state."""
    attempts = tuple(Attempt(router, key) for router, key in size.attempts)
    return State(
        attempts,
        (Router(), Router()),
        (),
        0,
        False,
        size.expiries,
        size.crashes,
        (0,) * len(KEYS),
        0,
    )


def _claim_id(attempt: int) -> str:
    return f"claim-{attempt}"


@functools.cache
def _record(entry: LogEntry, key: int, offset: int) -> records.Record:
    claim_id = _claim_id(entry.attempt)
    bodies = {
        "claim": records.Claim(claim_id, ACCOUNT, KEYS[key], "digest"),
        "release": records.Release(claim_id, ACCOUNT, KEYS[key]),
        "result": records.Result(claim_id, ACCOUNT, KEYS[key], "answer", 1),
    }
    time = _KEYS_EXPIRED_AT_S if entry.aged else _KEYS_MADE_AT_S
    return records.Record(offset, time, bodies[entry.kind])


@functools.cache
def _fold(
    log: tuple[LogEntry, ...], keys: tuple[int, ...], start: int
) -> calls.CallState:
    """Folds a log from an offset on, with the product's own code."""
    state = calls.CallState()
    for offset in range(start, len(log)):
        entry = log[offset]
        calls.fold(state, _record(entry, keys[entry.attempt], offset))
    return state


def _router_view(state: State, router: int) -> calls.CallState:
    window = state.routers[router]
    keys = tuple(attempt.key for attempt in state.attempts)
    return _fold(state.log[: window.pos], keys, window.start)


def _call_entry(state: State, number: int) -> calls.CallEntry | None:
    attempt = state.attempts[number]
    view = _router_view(state, attempt.router)
    return view.entry(calls.CallKey(ACCOUNT, KEYS[attempt.key]))


def _is_claimable(entry: calls.CallEntry | None) -> bool:
    return entry is None or not entry.claim_id


def _with_attempt(state: State, number: int, **fields) -> State:
    changed = list(state.attempts)
    changed[number] = changed[number]._replace(**fields)
    return state._replace(attempts=tuple(changed))


def _append(state: State, kind: str, number: int) -> State:
    entry = LogEntry(kind, number, state.aged)
    return state._replace(log=(*state.log, entry))


def _read(state: State, router: int, rules: Rules) -> State:
    """A router reads the log to its end and decides its claims."""
    window = state.routers[router]
    if state.first > window.pos:
        # Unread records have expired, so the window starts anew.
        window = Router(state.first, state.first)
    routers = list(state.routers)
    routers[router] = window._replace(pos=len(state.log))
    state = state._replace(routers=tuple(routers))
    for number, attempt in enumerate(state.attempts):
        if attempt.router == router:
            state = _decide(state, number, rules)
    return state


def _decide(state: State, number: int, rules: Rules) -> State:
    attempt = state.attempts[number]
    undecided = attempt.phase in (Phase.WAITING, Phase.ABANDONED)
    if not undecided or attempt.claim is not AppendState.DONE:
        return state
    window = state.routers[attempt.router]
    records_read = state.log[window.start : window.pos]
    if not any(e.kind == "claim" and e.attempt == number for e in records_read):
        return state
    entry = _call_entry(state, number)
    holds = entry is not None and entry.claim_id == _claim_id(number)
    if attempt.phase is Phase.ABANDONED:
        return _with_attempt(
            state, number, phase=Phase.ENDED, release_due=holds
        )
    phase = Phase.WON if holds else Phase.ENDED
    return _with_attempt(state, number, phase=phase)


def _refuse_as_not_run(state: State, number: int, proved: bool) -> State:
    """Tells a caller "not run" if that is proved; counts it if untrue."""
    if proved and state.runs[state.attempts[number].key]:
        return state._replace(lies=state.lies + 1)
    return state


def _abandon(state: State, number: int, rules: Rules) -> State:
    attempt = state.attempts[number]
    entry = _call_entry(state, number)
    window = state.routers[attempt.router]
    current = window.pos == len(state.log) and state.first <= window.pos
    proved = current and _is_claimable(entry) and not state.aged
    if not rules.proof_of_not_run:
        proved = _is_claimable(entry)
    state = _refuse_as_not_run(state, number, proved)
    return _with_attempt(state, number, phase=Phase.ABANDONED)


def _dispatch(state: State, number: int) -> State:
    key = state.attempts[number].key
    runs = list(state.runs)
    runs[key] = min(2, runs[key] + 1)
    state = state._replace(runs=tuple(runs))
    return _with_attempt(state, number, phase=Phase.DISPATCHED, result_due=True)


def _crash(state: State, router: int, rules: Rules) -> State:
    """A router restarts; claims that it has sent may still be appended."""
    for number, attempt in enumerate(state.attempts):
        if attempt.router == router and attempt.phase is not Phase.NEW:
            state = _with_attempt(
                state,
                number,
                phase=Phase.ENDED,
                release_due=False,
                result_due=False,
            )
    start = state.first if rules.whole_window else len(state.log)
    routers = list(state.routers)
    routers[router] = Router(start, start)
    return state._replace(
        routers=tuple(routers), crashes_left=state.crashes_left - 1
    )


def _attempt_steps(
    state: State, number: int, rules: Rules
) -> Iterator[tuple[str, State]]:
    attempt = state.attempts[number]
    name = f"attempt {number}"
    if attempt.phase is Phase.NEW:
        if _is_claimable(_call_entry(state, number)) and not state.aged:
            sent = _with_attempt(
                state, number, phase=Phase.WAITING, claim=AppendState.PENDING
            )
            yield f"{name} sends its claim", sent
    if attempt.claim is AppendState.PENDING:
        appended = _append(state, "claim", number)
        yield (
            f"{name}'s claim lands",
            _with_attempt(appended, number, claim=AppendState.DONE),
        )
        yield (
            f"{name}'s claim is lost",
            _with_attempt(state, number, claim=AppendState.NONE),
        )
    if attempt.phase is Phase.WAITING:
        yield f"{name} is abandoned", _abandon(state, number, rules)
        if not rules.read_back and attempt.claim is AppendState.DONE:
            yield f"{name} dispatches unread", _dispatch(state, number)
    if attempt.phase is Phase.WON:
        yield f"{name} dispatches", _dispatch(state, number)
        declined = _refuse_as_not_run(state, number, True)
        yield (
            f"{name} is declined",
            _with_attempt(
                declined, number, phase=Phase.ENDED, release_due=True
            ),
        )
    yield from _record_steps(state, number)
    yield from _forbidden_steps(state, number, rules)


def _record_steps(state: State, number: int) -> Iterator[tuple[str, State]]:
    attempt = state.attempts[number]
    if attempt.release_due:
        appended = _append(state, "release", number)
        yield (
            f"attempt {number}'s release lands",
            _with_attempt(appended, number, release_due=False),
        )
    if attempt.result_due:
        appended = _append(state, "result", number)
        yield (
            f"attempt {number}'s result lands",
            _with_attempt(appended, number, result_due=False),
        )


def _forbidden_steps(
    state: State, number: int, rules: Rules
) -> Iterator[tuple[str, State]]:
    """Yields steps that the rules forbid; only variants have them."""
    attempt = state.attempts[number]
    entry = _call_entry(state, number)
    held_by_other = (
        entry is not None
        and entry.claim_id not in ("", _claim_id(number))
        and entry.result is None
    )
    if attempt.phase is not Phase.WAITING or not held_by_other:
        return
    if not rules.no_takeover:
        yield f"attempt {number} takes over", _dispatch(state, number)
    if (
        not rules.holder_releases
        and len(state.log) < _MAX_LOG_WITH_FORGED_RELEASES
    ):
        other = int(entry.claim_id.split("-")[1])
        yield (
            f"attempt {number} frees {other}",
            _append(state, "release", other),
        )


def _steps(state: State, rules: Rules) -> Iterator[tuple[str, State]]:
    for number in range(len(state.attempts)):
        yield from _attempt_steps(state, number, rules)
    for router in range(len(state.routers)):
        yield f"router {router} reads", _read(state, router, rules)
        if state.crashes_left:
            yield f"router {router} crashes", _crash(state, router, rules)
    if not state.aged:
        yield "the keys grow too old", state._replace(aged=True)
    if state.expiries_left and (state.aged or not rules.age_bounded):
        yield (
            "all records expire",
            state._replace(
                first=len(state.log), expiries_left=state.expiries_left - 1
            ),
        )


def _agrees_with_history(fields: dict) -> bool:
    """Returns whether routers see the same calls as a fold of the whole log.

    Keys that are too old to be claimed don't matter.
    """
    state = State(**fields)
    if state.aged:
        return True
    keys = tuple(attempt.key for attempt in state.attempts)
    for router, window in enumerate(state.routers):
        if window.pos < state.first or window.pos == window.start == 0:
            continue
        full_state = _fold(state.log[: window.pos], keys, 0)
        view = _router_view(state, router)
        for key in KEYS:
            call = calls.CallKey(ACCOUNT, key)
            if full_state.entry(call) != view.entry(call):
                return False
    return True


INVARIANTS = {
    "a call runs at most once": lambda fields: max(fields["runs"]) <= 1,
    "a refusal saying not run is true": lambda fields: fields["lies"] == 0,
    "hosts that read the same records hold the same state": (
        _agrees_with_history
    ),
}


def build(size: Size, rules: Rules) -> minicheck.Protocol:
    """Returns the transition system for the model checker."""
    return system.build(
        "calls",
        initial(size),
        lambda state: _steps(state, rules),
        INVARIANTS,
    )


def size_with_attempts(*pairs: tuple[int, int]) -> Size:
    """Returns a size with the given attempts, one crash and one expiry."""
    return Size(tuple(itertools.chain(pairs)))
