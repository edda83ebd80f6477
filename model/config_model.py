"""Publishing, snapshots and expiry of the configuration.

Two operators race; two routers fold, write snapshots that may land late,
crash, start anew and take states from each other; records expire.
"""

import functools
from collections.abc import Iterator
from typing import NamedTuple

import minicheck

from chervilarch import configuration, records
from model import system


class Rules(NamedTuple):
    """The rules of the protocol; a variant leaves one out."""

    snapshot_names_offset: bool = True
    read_whole: bool = True
    read_back: bool = True
    newer_peers_only: bool = True
    no_gaps: bool = True


class Entry(NamedTuple):
    """A record: a publish on a base, or a snapshot of a state."""

    kind: str
    through: int
    version: int


class Router(NamedTuple):
    """A router.

    Attributes:
        through: offset it has folded through.
        version: version it has in force, -1 for none.
        has_base: whether it has a base to fold from.
        highest: highest version it ever had in force.
        owed: version that was accepted before it started.
        read_log: whether it has read the log since it started.
        snapshot: a snapshot that it has yet to append, or None.
    """

    through: int = -1
    version: int = -1
    has_base: bool = True
    highest: int = -1
    owed: int = -1
    read_log: bool = True
    snapshot: tuple[int, int] | None = None


class Operator(NamedTuple):
    """An operator: what it saw, where its publish lies, what it was told."""

    base: int | None = None
    offset: int | None = None
    told: str = ""


class State(NamedTuple):
    """Everything; the log keeps expired records as a ghost."""

    routers: tuple[Router, ...]
    operators: tuple[Operator, ...]
    log: tuple[Entry, ...]
    first: int
    accepted: int
    crashes_left: int
    expiries_left: int
    snapshots_left: int


class Size(NamedTuple):
    """How large an instance is."""

    operators: int = 2
    crashes: int = 1
    expiries: int = 1
    snapshots: int = 2


def initial(size: Size) -> State:
    """Returns the state in which nothing has happened."""
    return State(
        (Router(), Router()),
        (Operator(),) * size.operators,
        (),
        0,
        -1,
        size.crashes,
        size.expiries,
        size.snapshots,
    )


@functools.cache
def _record(entry: Entry, offset: int) -> records.Record:
    if entry.kind == "publish":
        patch = [{"op": "add", "path": "/v", "value": offset}]
        body = records.Publish(str(offset), entry.version, patch, "")
    else:
        document = {"v": entry.version} if entry.version >= 0 else {}
        body = records.Snapshot(entry.through, entry.version, document)
    return records.Record(offset, 0.0, body)


def _records(state: State) -> list[records.Record]:
    return [
        _record(state.log[offset], offset)
        for offset in range(state.first, len(state.log))
    ]


@functools.cache
def _history(log: tuple[Entry, ...]) -> configuration.ConfigState:
    """Folds a whole log from its first record."""
    state = configuration.EMPTY
    for offset, entry in enumerate(log):
        state = configuration.fold(state, _record(entry, offset))
    return state


def _config(router: Router) -> configuration.ConfigState:
    document = {"v": router.version} if router.version >= 0 else {}
    return configuration.ConfigState(router.through, router.version, document)


def _hold(router: Router, config: configuration.ConfigState) -> Router:
    return router._replace(
        through=config.through,
        version=config.version,
        has_base=True,
        highest=max(router.highest, config.version),
    )


def _set_router(state: State, number: int, router: Router) -> State:
    routers = list(state.routers)
    routers[number] = router
    return state._replace(routers=tuple(routers))


def _fold_retained(
    state: State, config: configuration.ConfigState, rules: Rules
) -> configuration.ConfigState:
    for record in _records(state):
        if not rules.no_gaps and record.offset > config.through:
            config = config._replace(through=record.offset - 1)
        config = configuration.fold(config, record)
    return config


def _base(state: State, rules: Rules) -> configuration.ConfigState | None:
    retained = _records(state)
    if rules.snapshot_names_offset:
        return configuration.find_base(retained, state.first)
    for record in reversed(retained):
        if isinstance(record.body, records.Snapshot):
            body = record.body
            return configuration.ConfigState(
                record.offset, body.version, body.document
            )
    return configuration.find_base(retained, state.first)


def _read(state: State, number: int, rules: Rules) -> State:
    """A router reads all that the log holds."""
    router = state.routers[number]
    config = _config(router)
    gap = router.through < state.first - 1
    if router.has_base and (not gap or not rules.no_gaps):
        held = _hold(router, _fold_retained(state, config, rules))
        return _set_router(state, number, held._replace(read_log=True))
    base = _base(state, rules)
    if base is None:
        return _set_router(state, number, router._replace(has_base=False))
    base = configuration.newer(config, base)
    held = _hold(router, _fold_retained(state, base, rules))
    return _set_router(state, number, held._replace(read_log=True))


def _read_partly(state: State, number: int) -> State:
    """Variant: a fresh router takes its base in force before reading on."""
    router = state.routers[number]
    base = _base(state, Rules())
    if router.has_base or base is None:
        return state
    held = _hold(router, base)
    return _set_router(state, number, held._replace(read_log=True))


def _adopt(state: State, number: int, rules: Rules) -> State:
    """A router takes the other one's state."""
    router = state.routers[number]
    other = _config(state.routers[1 - number])
    if not state.routers[1 - number].has_base:
        return state
    if rules.newer_peers_only:
        other = configuration.newer(_config(router), other)
    if other.through < 0:
        return state
    return _set_router(state, number, _hold(router, other))


def _router_steps(
    state: State, number: int, rules: Rules
) -> Iterator[tuple[str, State]]:
    router = state.routers[number]
    name = f"router {number}"
    yield f"{name} reads", _read(state, number, rules)
    yield f"{name} adopts its peer's state", _adopt(state, number, rules)
    if not rules.read_whole:
        yield f"{name} reads partly", _read_partly(state, number)
    takes = router.has_base and router.snapshot is None
    if takes and router.version >= 0 and state.snapshots_left:
        pending = router._replace(snapshot=(router.through, router.version))
        taken = _set_router(state, number, pending)
        yield (
            f"{name} takes a snapshot",
            taken._replace(snapshots_left=state.snapshots_left - 1),
        )
    if router.snapshot is not None:
        entry = Entry("snapshot", *router.snapshot)
        landed = state._replace(log=(*state.log, entry))
        landed = _set_router(landed, number, router._replace(snapshot=None))
        yield f"{name}'s snapshot lands", landed
    if state.crashes_left:
        fresh = Router(has_base=False, owed=state.accepted, read_log=False)
        crashed = _set_router(state, number, fresh)
        yield (
            f"{name} is replaced",
            crashed._replace(crashes_left=state.crashes_left - 1),
        )


def _operator_steps(
    state: State, number: int, rules: Rules
) -> Iterator[tuple[str, State]]:
    operator = state.operators[number]

    def changed(**fields) -> State:
        operators = list(state.operators)
        operators[number] = operator._replace(**fields)
        return state._replace(operators=tuple(operators))

    if operator.base is None:
        base = _history(state.log).version
        yield f"operator {number} looks", changed(base=base)
    elif operator.offset is None:
        entry = Entry("publish", -1, operator.base)
        placed = changed(offset=len(state.log))
        placed = placed._replace(log=(*state.log, entry))
        if not rules.read_back:
            placed = _tell(placed, number, "accepted")
        yield f"operator {number}'s publish lands", placed
        yield (
            f"operator {number}'s publish is lost",
            changed(offset=-1, told="unknown"),
        )
    elif not operator.told and operator.offset >= state.first:
        before = _history(state.log[: operator.offset])
        record = _record(state.log[operator.offset], operator.offset)
        verdict = configuration.judge(before, record)
        won = isinstance(verdict, configuration.Accepted)
        yield (
            f"operator {number} reads back",
            _tell(state, number, "accepted" if won else "lost"),
        )


def _tell(state: State, number: int, word: str) -> State:
    operators = list(state.operators)
    operators[number] = operators[number]._replace(told=word)
    accepted = state.accepted
    if word == "accepted":
        accepted = max(accepted, operators[number].offset)
    return state._replace(operators=tuple(operators), accepted=accepted)


def _steps(state: State, rules: Rules) -> Iterator[tuple[str, State]]:
    for number in range(len(state.routers)):
        yield from _router_steps(state, number, rules)
    for number in range(len(state.operators)):
        yield from _operator_steps(state, number, rules)
    if state.expiries_left and state.first < len(state.log):
        for first in range(state.first + 1, len(state.log) + 1):
            yield (
                f"records before {first} expire",
                state._replace(
                    first=first, expiries_left=state.expiries_left - 1
                ),
            )


def _told_truly(fields: dict) -> bool:
    log = fields["log"]
    for operator in fields["operators"]:
        if operator.told not in ("accepted", "lost"):
            continue
        before = _history(log[: operator.offset])
        record = _record(log[operator.offset], operator.offset)
        verdict = configuration.judge(before, record)
        won = isinstance(verdict, configuration.Accepted)
        if won != (operator.told == "accepted"):
            return False
    return True


def _agrees_with_history(fields: dict) -> bool:
    for router in fields["routers"]:
        if not router.has_base:
            continue
        history = _history(fields["log"][: router.through + 1])
        if history.version != router.version:
            return False
    return True


INVARIANTS = {
    "an operator is told the truth": _told_truly,
    "no router goes back a version": lambda fields: all(
        router.version >= router.highest for router in fields["routers"]
    ),
    "a router that read the log holds all accepted before it": (
        lambda fields: all(
            router.version >= router.owed
            for router in fields["routers"]
            if router.read_log
        )
    ),
    "hosts that read the same records hold the same state": (
        _agrees_with_history
    ),
}


def build(size: Size, rules: Rules) -> minicheck.Protocol:
    """Returns the transition system for the model checker."""
    return system.build(
        "configuration",
        initial(size),
        lambda state: _steps(state, rules),
        INVARIANTS,
    )
