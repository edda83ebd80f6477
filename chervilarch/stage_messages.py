"""Codec of the messages about stages between gateways."""

import enum
from typing import NamedTuple

import capnp

from chervilarch import messages, pieces, stage_graph

_MS_PER_S = 1000


class Kind(enum.Enum):
    """What a message says.

    `SUBMIT` is repeated as long as the sender wants the results; `RECEIVED`
    makes them the receiver's, `CANCEL` has them freed, and `MOVED` leaves them
    to the host that goes on with the order.
    """

    SUBMIT = "submit"
    ACCEPTED = "accepted"
    RESULTS = "results"
    RECEIVED = "received"
    CANCEL = "cancel"
    FREE = "free"
    MOVED = "moved"


class StageMessage(NamedTuple):
    """One datagram.

    Attributes:
        kind: what it says.
        number: number of the order at the host that submits it.
        order: set for `SUBMIT`.
        progress: set for `ACCEPTED`: the results that are held so far.
        results: set for `RESULTS` that succeeded and for `FREE`.
        failure: set for `RESULTS` that failed.
        engine: with results, the endpoint that suits the final call best.
    """

    kind: Kind
    number: int = 0
    graph: stage_graph.StageGraph | None = None
    results: stage_graph.Results = ()
    failure: pieces.PieceFailure | None = None
    engine: str = ""
    progress: stage_graph.StageResults = ()


def encode(key: bytes, message: StageMessage, now: float) -> bytes:
    """Returns the sealed datagram of a message."""
    msg = messages.SCHEMA.StageMessage.new_message()
    msg.kind = message.kind.value
    msg.number = message.number
    msg.engine = message.engine
    progress = message.progress
    if message.graph is not None:
        _fill_graph(msg.order, message.graph, now)
        progress = message.graph.made
    if message.failure is not None:
        msg.failure = message.failure.reason
        msg.retryAfterMs = int(message.failure.retry_after_s * _MS_PER_S)
    by_stage = [
        (number, result) for number, results in progress for result in results
    ]
    _fill_results(msg, message.results or tuple(r for _, r in by_stage))
    msg.resultStages = [number for number, _ in by_stage]
    return messages.seal(key, msg.to_bytes_packed())


def decode(
    key: bytes, frame: bytes, now: float
) -> StageMessage | messages.BadFrame:
    """Returns the message of a sealed datagram."""
    payload = messages.unseal(key, frame)
    if isinstance(payload, messages.BadFrame):
        return payload
    try:
        msg = messages.SCHEMA.StageMessage.from_bytes_packed(payload)
        kind = Kind(str(msg.kind))
        failure = None
        if msg.failure:
            retry_after_s = msg.retryAfterMs / _MS_PER_S
            failure = pieces.PieceFailure(msg.failure, retry_after_s)
        results, progress = _read_results(msg), ()
        if len(msg.resultStages):
            progress = _group(msg.resultStages, results)
            results = ()
        graph = None
        if kind is Kind.SUBMIT:
            graph = _read_graph(msg.order, now)._replace(made=progress)
            progress = ()
        return StageMessage(
            kind, msg.number, graph, results, failure, msg.engine, progress
        )
    except (capnp.KjException, ValueError, IndexError) as exc:
        return messages.BadFrame(f"malformed stage message: {exc}")


def _fill_graph(slot, graph: stage_graph.StageGraph, now: float) -> None:
    slot.requestId = graph.request_id
    slot.key = graph.key
    slot.dataCentre = graph.data_centre
    slot.enginePool = graph.prompt.pool
    slot.sharedName = graph.prompt.shared
    slot.sharedTokens = graph.prompt.shared_tokens
    slot.ownTokens = graph.prompt.own_tokens
    slot.priority = graph.priority
    slot.isBegun = graph.is_begun
    slot.objectiveMs = int((graph.objective_at - now) * _MS_PER_S)
    slot.deadlineMs = int((graph.deadline_at - now) * _MS_PER_S)
    stages = slot.init("stages", len(graph.stages))
    for target, stage in zip(stages, graph.stages, strict=True):
        target.pool = stage.pool
        target.after = list(stage.after)
        target.count = stage.count
        target.resultBytes = stage.result_bytes


def _read_graph(slot, now: float) -> stage_graph.StageGraph:
    return stage_graph.StageGraph(
        slot.requestId,
        slot.key,
        slot.priority,
        now + slot.objectiveMs / _MS_PER_S,
        now + slot.deadlineMs / _MS_PER_S,
        tuple(
            stage_graph.StageSpec(
                stage.pool, tuple(stage.after), stage.count, stage.resultBytes
            )
            for stage in slot.stages
        ),
        slot.dataCentre,
        stage_graph.Prompt(
            slot.enginePool,
            bytes(slot.sharedName),
            slot.sharedTokens,
            slot.ownTokens,
        ),
        is_begun=slot.isBegun,
    )


def _fill_results(msg, results: stage_graph.Results) -> None:
    """Writes each maker once: handles of one maker share it."""
    makers: dict[tuple, int] = {}
    slots = msg.init("results", len(results))
    for slot, result in zip(slots, results, strict=True):
        slot.maker = makers.setdefault(result[1:], len(makers))
        slot.handle = result.handle
    for slot, maker in zip(
        msg.init("makers", len(makers)), makers, strict=True
    ):
        slot.endpoint, slot.address, slot.dataCentre, slot.pool = maker


def _read_results(msg) -> stage_graph.Results:
    makers = [
        (maker.endpoint, maker.address, maker.dataCentre, maker.pool)
        for maker in msg.makers
    ]
    return tuple(
        pieces.PieceResult(result.handle, *makers[result.maker])
        for result in msg.results
    )


def _group(
    numbers: list[int], results: stage_graph.Results
) -> stage_graph.StageResults:
    """Returns results by the stage that the same place in `numbers` names."""
    found: dict[int, list[pieces.PieceResult]] = {}
    for number, result in zip(numbers, results, strict=True):
        found.setdefault(number, []).append(result)
    return tuple((number, tuple(held)) for number, held in found.items())
