"""Transition system of publishes, snapshots and expiry of the configuration.

Two operators publish concurrently. Two routers fold records, append snapshots
that may land late, crash, restart and adopt each other's state. Records expire.

A version is the offset of the accepted publish that made it, so versions and
offsets can be compared.
"""

import functools
from collections.abc import Iterator
from typing import NamedTuple

import minicheck

from chervilarch import configuration, records
from model import system


class Rules(NamedTuple):
    """The rules of the protocol; a variant switches one off.

    Attributes:
        snapshot_names_offset: a snapshot names the offset that its state was
            folded through; its own offset in the log is higher.
        read_whole: a new router puts a version in force only after it has read
            the log to its end.
        read_back: an operator is told "accepted" only after the publish was
            read back from the log.
        newer_peers_only: a router adopts the state of its peer only if that is
            newer.
        no_gaps: a router that misses records which have expired starts anew
            from a snapshot.
    """

    snapshot_names_offset: bool = True
    read_whole: bool = True
    read_back: bool = True
    newer_peers_only: bool = True
    no_gaps: bool = True


class LogEntry(NamedTuple):
    """A record of the log.

    Attributes:
        kind: "publish" or "snapshot".
        through: offset that a snapshot's state was folded through; -1 for a
            publish.
        version: base version of a publish, or version of a snapshot's state.
    """

    kind: str
    through: int
    version: int


class Router(NamedTuple):
    """A router.

    Attributes:
        through: offset it has folded through.
        version: version that it has in force, -1 for none.
        has_base: whether it has a base to fold from.
        highest: highest version that it ever had in force.
        owed: the version that it must have once it has read the log: the
            highest that was accepted before it started.
        read_log: whether it has read the log since it started.
        snapshot: offset and version of a snapshot still to be appended, or
            None.
    """

    through: int = -1
    version: int = -1
    has_base: bool = True
    highest: int = -1
    owed: int = -1
    read_log: bool = True
    snapshot: tuple[int, int] | None = None


class Operator(NamedTuple):
    """An operator.

    Attributes:
        base: version that it publishes on, None before it has read that.
        offset: offset of its publish, -1 if that is lost, None before.
        told: the outcome that it was told, "" before.
    """

    base: int | None = None
    offset: int | None = None
    told: str = ""


class State(NamedTuple):
    """The state of the system.

    Attributes:
        routers: the routers, by number.
        operators: the operators, by number.
        log: all records; expired ones stay as a ghost variable.
        first: offset of the first record that hasn't expired; routers read from
            here.
        accepted: highest version that an operator was told is accepted, -1 for
            none.
        crashes_left: how many crashes may still happen.
        expiries_left: how often records may still expire.
        snapshots_left: how many snapshots may still be taken.
    """

    routers: tuple[Router, ...]
    operators: tuple[Operator, ...]
    log: tuple[LogEntry, ...]
    first: int
    accepted: int
    crashes_left: int
    expiries_left: int
    snapshots_left: int


class Size(NamedTuple):
    """The size of an instance."""

    operators: int = 2
    crashes: int = 1
    expiries: int = 1
    snapshots: int = 2


def initial(size: Size) -> State:
    """Returns the initial state."""
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
def _record(entry: LogEntry, offset: int) -> records.Record:
    if entry.kind == "publish":
        patch = [{"op": "add", "path": "/v", "value": offset}]
        body = records.Publish(str(offset), entry.version, patch, "")
    else:
        document = {"v": entry.version} if entry.version >= 0 else {}
        body = records.Snapshot(entry.through, entry.version, document)
    return records.Record(offset, 0.0, body)


def _retained_records(state: State) -> list[records.Record]:
    return [
        _record(state.log[offset], offset)
        for offset in range(state.first, len(state.log))
    ]


@functools.cache
def _fold_from_start(log: tuple[LogEntry, ...]) -> configuration.ConfigState:
    """Folds a log from its first record."""
    state = configuration.EMPTY
    for offset, entry in enumerate(log):
        state = configuration.fold(state, _record(entry, offset))
    return state


def _config(router: Router) -> configuration.ConfigState:
    document = {"v": router.version} if router.version >= 0 else {}
    return configuration.ConfigState(router.through, router.version, document)


def _with_config(router: Router, config: configuration.ConfigState) -> Router:
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
    for record in _retained_records(state):
        if not rules.no_gaps and record.offset > config.through:
            config = config._replace(through=record.offset - 1)
        config = configuration.fold(config, record)
    return config


def _find_base(state: State, rules: Rules) -> configuration.ConfigState | None:
    retained = _retained_records(state)
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
    """A router reads the log to its end."""
    router = state.routers[number]
    config = _config(router)
    gap = router.through < state.first - 1
    if router.has_base and (not gap or not rules.no_gaps):
        updated = _with_config(router, _fold_retained(state, config, rules))
        return _set_router(state, number, updated._replace(read_log=True))
    base = _find_base(state, rules)
    if base is None:
        return _set_router(state, number, router._replace(has_base=False))
    base = configuration.newer(config, base)
    updated = _with_config(router, _fold_retained(state, base, rules))
    return _set_router(state, number, updated._replace(read_log=True))


def _read_partly(state: State, number: int) -> State:
    """Variant: a new router puts its base in force before it reads on."""
    router = state.routers[number]
    base = _find_base(state, Rules())
    if router.has_base or base is None:
        return state
    updated = _with_config(router, base)
    return _set_router(state, number, updated._replace(read_log=True))


def _adopt(state: State, number: int, rules: Rules) -> State:
    """A router adopts its peer's state."""
    router = state.routers[number]
    other = _config(state.routers[1 - number])
    if not state.routers[1 - number].has_base:
        return state
    if rules.newer_peers_only:
        other = configuration.newer(_config(router), other)
    if other.through < 0:
        return state
    return _set_router(state, number, _with_config(router, other))


def _router_steps(
    state: State, number: int, rules: Rules
) -> Iterator[tuple[str, State]]:
    router = state.routers[number]
    name = f"router {number}"
    yield f"{name} reads", _read(state, number, rules)
    yield f"{name} adopts its peer's state", _adopt(state, number, rules)
    if not rules.read_whole:
        yield f"{name} reads partly", _read_partly(state, number)
    can_snapshot = router.has_base and router.snapshot is None
    if can_snapshot and router.version >= 0 and state.snapshots_left:
        pending = router._replace(snapshot=(router.through, router.version))
        snapshotted = _set_router(state, number, pending)
        yield (
            f"{name} takes a snapshot",
            snapshotted._replace(snapshots_left=state.snapshots_left - 1),
        )
    if router.snapshot is not None:
        entry = LogEntry("snapshot", *router.snapshot)
        appended = state._replace(log=(*state.log, entry))
        appended = _set_router(appended, number, router._replace(snapshot=None))
        yield f"{name}'s snapshot lands", appended
    if state.crashes_left:
        replacement = Router(
            has_base=False, owed=state.accepted, read_log=False
        )
        crashed = _set_router(state, number, replacement)
        yield (
            f"{name} is replaced",
            crashed._replace(crashes_left=state.crashes_left - 1),
        )


def _operator_steps(
    state: State, number: int, rules: Rules
) -> Iterator[tuple[str, State]]:
    operator = state.operators[number]

    def with_operator(**fields) -> State:
        operators = list(state.operators)
        operators[number] = operator._replace(**fields)
        return state._replace(operators=tuple(operators))

    if operator.base is None:
        base = _fold_from_start(state.log).version
        yield f"operator {number} looks", with_operator(base=base)
    elif operator.offset is None:
        entry = LogEntry("publish", -1, operator.base)
        published = with_operator(offset=len(state.log))
        published = published._replace(log=(*state.log, entry))
        if not rules.read_back:
            published = _record_outcome(published, number, "accepted")
        yield f"operator {number}'s publish lands", published
        yield (
            f"operator {number}'s publish is lost",
            with_operator(offset=-1, told="unknown"),
        )
    elif not operator.told and operator.offset >= state.first:
        before = _fold_from_start(state.log[: operator.offset])
        record = _record(state.log[operator.offset], operator.offset)
        verdict = configuration.evaluate_publish(before, record)
        won = isinstance(verdict, configuration.Accepted)
        yield (
            f"operator {number} reads back",
            _record_outcome(state, number, "accepted" if won else "lost"),
        )


def _record_outcome(state: State, number: int, outcome: str) -> State:
    operators = list(state.operators)
    operators[number] = operators[number]._replace(told=outcome)
    accepted = state.accepted
    if outcome == "accepted":
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


def _are_operators_told_truth(fields: dict) -> bool:
    log = fields["log"]
    for operator in fields["operators"]:
        if operator.told not in ("accepted", "lost"):
            continue
        before = _fold_from_start(log[: operator.offset])
        record = _record(log[operator.offset], operator.offset)
        verdict = configuration.evaluate_publish(before, record)
        won = isinstance(verdict, configuration.Accepted)
        if won != (operator.told == "accepted"):
            return False
    return True


def _agrees_with_history(fields: dict) -> bool:
    for router in fields["routers"]:
        if not router.has_base:
            continue
        history = _fold_from_start(fields["log"][: router.through + 1])
        if history.version != router.version:
            return False
    return True


INVARIANTS = {
    "an operator is told the truth": _are_operators_told_truth,
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
