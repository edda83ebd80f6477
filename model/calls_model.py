"""Claims on calls that may not be repeated, as a transition system.

Two routers, attempts on two keys, a crash, an expiry, appends that land late
or never, and pauses: any step may be delayed behind any other.
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
_MADE_AT = 1_000_000.0
# Bounds the variant in which anyone may release again and again.
_MAX_FORGED_LOG = 5
_AGED_AT = _MADE_AT + calls.MAX_KEY_AGE_S + 2 * calls.MAX_KEY_LEAD_S + 1.0


def _uuid7(number: int) -> str:
    value = int(_MADE_AT * 1000) << 80 | 7 << 76 | 2 << 62 | number
    return str(uuid.UUID(int=value))


KEYS = (_uuid7(1), _uuid7(2))


class Rules(NamedTuple):
    """The rules of the protocol; a variant leaves one out."""

    read_back: bool = True
    no_takeover: bool = True
    holder_releases: bool = True
    age_bounded: bool = True
    whole_window: bool = True
    proof_of_not_run: bool = True


class Phase(enum.IntEnum):
    """Where an attempt stands."""

    NEW = 0
    WAITING = 1
    ABANDONED = 2
    WON = 3
    DISPATCHED = 4
    ENDED = 5


class Append(enum.IntEnum):
    """What became of an attempt's claim on its way to the log."""

    NONE = 0
    PENDING = 1
    DONE = 2


class Attempt(NamedTuple):
    """One attempt; `router` and `key` never change."""

    router: int
    key: int
    phase: Phase = Phase.NEW
    claim: Append = Append.NONE
    release_due: bool = False
    result_due: bool = False


class Router(NamedTuple):
    """A router's reading: it has folded log[start:pos]."""

    start: int = 0
    pos: int = 0


class Entry(NamedTuple):
    """A record: its kind, the attempt it speaks of and whether it is late."""

    kind: str
    attempt: int
    aged: bool


class State(NamedTuple):
    """Everything; `lies` and `runs` are ghosts for the properties."""

    attempts: tuple[Attempt, ...]
    routers: tuple[Router, ...]
    log: tuple[Entry, ...]
    first: int
    aged: bool
    expiries_left: int
    crashes_left: int
    runs: tuple[int, ...]
    lies: int


class Size(NamedTuple):
    """How large an instance is.

    Attributes:
        attempts: for each, its router and key.
        crashes: how many routers may crash.
        expiries: how often records may expire.
    """

    attempts: tuple[tuple[int, int], ...]
    crashes: int = 1
    expiries: int = 1


def initial(size: Size) -> State:
    """Returns the state in which nothing has happened."""
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
def _record(entry: Entry, key: int, offset: int) -> records.Record:
    claim_id = _claim_id(entry.attempt)
    bodies = {
        "claim": records.Claim(claim_id, ACCOUNT, KEYS[key], "digest"),
        "release": records.Release(claim_id, ACCOUNT, KEYS[key]),
        "result": records.Result(claim_id, ACCOUNT, KEYS[key], "answer", 1),
    }
    time = _AGED_AT if entry.aged else _MADE_AT
    return records.Record(offset, time, bodies[entry.kind])


@functools.cache
def _fold(
    log: tuple[Entry, ...], keys: tuple[int, ...], start: int
) -> calls.CallState:
    """Folds a log from an offset with the product's own code."""
    state = calls.CallState()
    for offset in range(start, len(log)):
        entry = log[offset]
        calls.fold(state, _record(entry, keys[entry.attempt], offset))
    return state


def _view(state: State, router: int) -> calls.CallState:
    reading = state.routers[router]
    keys = tuple(attempt.key for attempt in state.attempts)
    return _fold(state.log[: reading.pos], keys, reading.start)


def _entry(state: State, number: int) -> calls.CallEntry | None:
    attempt = state.attempts[number]
    view = _view(state, attempt.router)
    return view.entry(calls.CallKey(ACCOUNT, KEYS[attempt.key]))


def _is_free(entry: calls.CallEntry | None) -> bool:
    return entry is None or not entry.claim_id


def _change(state: State, number: int, **fields) -> State:
    changed = list(state.attempts)
    changed[number] = changed[number]._replace(**fields)
    return state._replace(attempts=tuple(changed))


def _append(state: State, kind: str, number: int) -> State:
    entry = Entry(kind, number, state.aged)
    return state._replace(log=(*state.log, entry))


def _read(state: State, router: int, rules: Rules) -> State:
    """A router reads all that the log holds and decides its claims."""
    reading = state.routers[router]
    if state.first > reading.pos:
        # Records expired unread: the window is built anew.
        reading = Router(state.first, state.first)
    routers = list(state.routers)
    routers[router] = reading._replace(pos=len(state.log))
    state = state._replace(routers=tuple(routers))
    for number, attempt in enumerate(state.attempts):
        if attempt.router == router:
            state = _decide(state, number, rules)
    return state


def _decide(state: State, number: int, rules: Rules) -> State:
    attempt = state.attempts[number]
    undecided = attempt.phase in (Phase.WAITING, Phase.ABANDONED)
    if not undecided or attempt.claim is not Append.DONE:
        return state
    reading = state.routers[attempt.router]
    shown = state.log[reading.start : reading.pos]
    if not any(e.kind == "claim" and e.attempt == number for e in shown):
        return state
    entry = _entry(state, number)
    holds = entry is not None and entry.claim_id == _claim_id(number)
    if attempt.phase is Phase.ABANDONED:
        return _change(state, number, phase=Phase.ENDED, release_due=holds)
    phase = Phase.WON if holds else Phase.ENDED
    return _change(state, number, phase=phase)


def _say_not_run(state: State, number: int, proved: bool) -> State:
    """An attempt's caller is told "not run", if it is proved."""
    if proved and state.runs[state.attempts[number].key]:
        return state._replace(lies=state.lies + 1)
    return state


def _abandon(state: State, number: int, rules: Rules) -> State:
    attempt = state.attempts[number]
    entry = _entry(state, number)
    reading = state.routers[attempt.router]
    current = reading.pos == len(state.log) and state.first <= reading.pos
    proved = current and _is_free(entry) and not state.aged
    if not rules.proof_of_not_run:
        proved = _is_free(entry)
    state = _say_not_run(state, number, proved)
    return _change(state, number, phase=Phase.ABANDONED)


def _dispatch(state: State, number: int) -> State:
    key = state.attempts[number].key
    runs = list(state.runs)
    runs[key] = min(2, runs[key] + 1)
    state = state._replace(runs=tuple(runs))
    return _change(state, number, phase=Phase.DISPATCHED, result_due=True)


def _crash(state: State, router: int, rules: Rules) -> State:
    """A router dies and starts anew; its claim under way may still land."""
    for number, attempt in enumerate(state.attempts):
        if attempt.router == router and attempt.phase is not Phase.NEW:
            state = _change(
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
        if _is_free(_entry(state, number)) and not state.aged:
            sent = _change(
                state, number, phase=Phase.WAITING, claim=Append.PENDING
            )
            yield f"{name} sends its claim", sent
    if attempt.claim is Append.PENDING:
        landed = _append(state, "claim", number)
        yield (
            f"{name}'s claim lands",
            _change(landed, number, claim=Append.DONE),
        )
        yield (
            f"{name}'s claim is lost",
            _change(state, number, claim=Append.NONE),
        )
    if attempt.phase is Phase.WAITING:
        yield f"{name} is abandoned", _abandon(state, number, rules)
        if not rules.read_back and attempt.claim is Append.DONE:
            yield f"{name} dispatches unread", _dispatch(state, number)
    if attempt.phase is Phase.WON:
        yield f"{name} dispatches", _dispatch(state, number)
        declined = _say_not_run(state, number, True)
        yield (
            f"{name} is declined",
            _change(declined, number, phase=Phase.ENDED, release_due=True),
        )
    yield from _record_steps(state, number)
    yield from _forbidden_steps(state, number, rules)


def _record_steps(state: State, number: int) -> Iterator[tuple[str, State]]:
    attempt = state.attempts[number]
    if attempt.release_due:
        landed = _append(state, "release", number)
        yield (
            f"attempt {number}'s release lands",
            _change(landed, number, release_due=False),
        )
    if attempt.result_due:
        landed = _append(state, "result", number)
        yield (
            f"attempt {number}'s result lands",
            _change(landed, number, result_due=False),
        )


def _forbidden_steps(
    state: State, number: int, rules: Rules
) -> Iterator[tuple[str, State]]:
    """Steps that only a variant without a rule can take."""
    attempt = state.attempts[number]
    entry = _entry(state, number)
    held_by_other = (
        entry is not None
        and entry.claim_id not in ("", _claim_id(number))
        and entry.result is None
    )
    if attempt.phase is not Phase.WAITING or not held_by_other:
        return
    if not rules.no_takeover:
        yield f"attempt {number} takes over", _dispatch(state, number)
    if not rules.holder_releases and len(state.log) < _MAX_FORGED_LOG:
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
    """A router's view of a claimable key is that of the whole log."""
    state = State(**fields)
    if state.aged:
        return True
    keys = tuple(attempt.key for attempt in state.attempts)
    for router, reading in enumerate(state.routers):
        if reading.pos < state.first or reading.pos == reading.start == 0:
            continue
        whole = _fold(state.log[: reading.pos], keys, 0)
        view = _view(state, router)
        for key in KEYS:
            call = calls.CallKey(ACCOUNT, key)
            if whole.entry(call) != view.entry(call):
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


def attempts_on(*pairs: tuple[int, int]) -> Size:
    """Returns a size with the given attempts, one crash and one expiry."""
    return Size(tuple(itertools.chain(pairs)))
