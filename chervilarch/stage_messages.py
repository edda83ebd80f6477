"""Codec of the messages about stages between gateways."""

import enum
from typing import NamedTuple

from chervilarch import messages, pieces, stage_graph
from chervilarch.scheduling import engine_load, prefix_cache

_MS_PER_S = 1000


class Kind(enum.Enum):
    """Kind of a message.

    The submitter repeats `SUBMIT` as long as it wants the results. After
    `RECEIVED` they belong to the submitter, `CANCEL` frees them, and `MOVED`
    leaves them to the host that continues the graph.
    """

    SUBMIT = "submit"
    ACCEPTED = "accepted"
    RESULTS = "results"
    RECEIVED = "received"
    CANCEL = "cancel"
    FREE = "free"
    MOVED = "moved"


class StageMessage(NamedTuple):
    """Content of one datagram.

    Attributes:
        kind: selects which of the other fields are set.
        number: number of the submission at the host that submits it.
        graph: set for `SUBMIT`.
        results: set for `RESULTS` of a success and for `FREE`.
        failure: set for `RESULTS` of a failure.
        proposed_engine: with results, id of the engine that the coordinator
            proposes for the final call.
        completed: set for `ACCEPTED`: the results that exist so far.
        placed: set for `FREE` of a request that was placed by its cost.
    """

    kind: Kind
    number: int = 0
    graph: stage_graph.StageGraph | None = None
    results: stage_graph.Results = ()
    failure: pieces.JobFailure | None = None
    proposed_engine: str = ""
    completed: stage_graph.StageResults = ()
    placed: stage_graph.PlacedRequest | None = None


def encode(key: bytes, message: StageMessage, now: float) -> bytes:
    """Returns the sealed datagram of a message."""
    msg = messages.SCHEMA.StageMessage.new_message()
    msg.kind = message.kind.value
    msg.number = message.number
    msg.engine = message.proposed_engine
    if message.placed is not None:
        msg.placedRequest, msg.hasFirstEvent, msg.hasEnded = message.placed
    completed = message.completed
    if message.graph is not None:
        _fill_graph(msg.order, message.graph, now)
        completed = message.graph.completed
    if message.failure is not None:
        msg.failure = message.failure.reason
        msg.retryAfterMs = int(message.failure.retry_after_s * _MS_PER_S)
    numbered = [
        (number, result) for number, results in completed for result in results
    ]
    _fill_results(msg, message.results or tuple(r for _, r in numbered))
    msg.resultStages = [number for number, _ in numbered]
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
            failure = pieces.JobFailure(msg.failure, retry_after_s)
        results, completed = _read_results(msg), ()
        if len(msg.resultStages):
            completed = _group_by_stage(msg.resultStages, results)
            results = ()
        graph = None
        if kind is Kind.SUBMIT:
            graph = _read_graph(msg.order, now)._replace(completed=completed)
            completed = ()
        placed = None
        if msg.placedRequest:
            placed = stage_graph.PlacedRequest(
                msg.placedRequest, msg.hasFirstEvent, msg.hasEnded
            )
        return StageMessage(
            kind,
            msg.number,
            graph,
            results,
            failure,
            msg.engine,
            completed,
            placed,
        )
    except messages.DECODING_ERRORS as exc:
        return messages.BadFrame(f"malformed stage message: {exc}")


def _fill_graph(slot, graph: stage_graph.StageGraph, now: float) -> None:
    slot.requestId = graph.request_id
    slot.key = graph.input_key
    slot.dataCentre = graph.data_centre
    slot.enginePool = graph.prompt.pool
    slot.sharedName = graph.prompt.shared_name
    slot.sharedTokens = graph.prompt.shared_tokens
    slot.ownTokens = graph.prompt.own_tokens
    slot.priority = graph.priority
    slot.isBegun = graph.is_partly_answered
    slot.objectiveMs = int((graph.objective_at - now) * _MS_PER_S)
    slot.deadlineMs = int((graph.deadline_at - now) * _MS_PER_S)
    if graph.regions is not None:
        slot.isRegional = True
        slot.regions = sorted(graph.regions)
    _fill_prompt(slot, graph.prompt.prompt)
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
        stage_graph.PromptSize(
            slot.enginePool,
            bytes(slot.sharedName),
            slot.sharedTokens,
            slot.ownTokens,
            _read_prompt(slot),
        ),
        is_partly_answered=slot.isBegun,
        regions=frozenset(slot.regions) if slot.isRegional else None,
    )


def _fill_prompt(slot, prompt: engine_load.Prompt | None) -> None:
    if prompt is None:
        return
    slot.partTokens = [part.tokens for part in prompt.parts]
    slot.lastPart = prompt.parts[-1].id
    slot.outputMs = int(prompt.output_s * _MS_PER_S)
    slot.outputTokens = prompt.output_tokens
    slot.gapMs = int(prompt.gap_s * _MS_PER_S)


def _read_prompt(slot) -> engine_load.Prompt | None:
    """Returns a prompt that is to be placed by its cost, if there is one.

    Raises:
        ValueError: the numbers of parts and sizes differ.
    """
    sizes = list(slot.partTokens)
    if not sizes:
        return None
    shared = bytes(slot.sharedName).decode()
    ids = [*(shared.split(",") if shared else ()), slot.lastPart]
    return engine_load.Prompt(
        tuple(
            prefix_cache.Part(*part) for part in zip(ids, sizes, strict=True)
        ),
        slot.outputMs / _MS_PER_S,
        slot.outputTokens,
        slot.gapMs / _MS_PER_S,
    )


def _fill_results(msg, results: stage_graph.Results) -> None:
    """Writes results; those of one worker share its entry in `makers`."""
    workers: dict[tuple, int] = {}
    slots = msg.init("results", len(results))
    for slot, result in zip(slots, results, strict=True):
        slot.maker = workers.setdefault(result[1:], len(workers))
        slot.handle = result.handle
    for slot, worker in zip(
        msg.init("makers", len(workers)), workers, strict=True
    ):
        slot.endpoint, slot.address, slot.dataCentre, slot.pool = worker


def _read_results(msg) -> stage_graph.Results:
    workers = [
        (worker.endpoint, worker.address, worker.dataCentre, worker.pool)
        for worker in msg.makers
    ]
    return tuple(
        pieces.PieceResult(result.handle, *workers[result.maker])
        for result in msg.results
    )


def _group_by_stage(
    numbers: list[int], results: stage_graph.Results
) -> stage_graph.StageResults:
    """Groups results by stage; `numbers` holds the stage of each result."""
    by_stage: dict[int, list[pieces.PieceResult]] = {}
    for number, result in zip(numbers, results, strict=True):
        by_stage.setdefault(number, []).append(result)
    return tuple((number, tuple(group)) for number, group in by_stage.items())
