"""Runs the stages of one request, in the order of their needs."""

import collections
from collections.abc import Callable, Container, Iterable
from typing import NamedTuple

from chervilarch import piece_runner, pieces, routing_table, state_log, tasks

# Expected time of the final call up to its first event, in seconds; pieces
# aim to be done this long before the objective.
FINAL_CALL_S = 0.2
# How often a request's stages are run again after a result was lost.
_MAX_REPEATS = 2

Results = tuple[pieces.PieceResult, ...]
# Results by the number of their stage.
StageResults = tuple[tuple[int, Results], ...]


class GraphResult(NamedTuple):
    """What came of an order.

    Attributes:
        results: what the final call needs.
        engine: id of the endpoint that suits it best, "" for no advice.
    """

    results: Results
    engine: str = ""


class Prompt(NamedTuple):
    """What the final call's engine will have to read.

    Attributes:
        pool: pool of the final call.
        shared: names the part of the prompt that others share.
        shared_tokens: tokens of that part.
        own_tokens: tokens that no endpoint has read.
    """

    pool: str = ""
    shared: bytes = b""
    shared_tokens: int = 0
    own_tokens: int = 0


class StageSpec(NamedTuple):
    """One stage of an order.

    Attributes:
        pool: pool that makes its pieces.
        after: numbers of the stages whose results it needs.
        count: number of its pieces, 0 to leave it out.
        result_bytes: approximate size of one result.
    """

    pool: str
    after: tuple[int, ...]
    count: int
    result_bytes: int


class StageGraph(NamedTuple):
    """All stages of one request; times are monotonic seconds.

    Attributes:
        request_id: the caller's id.
        key: names the input of stages that follow no other.
        priority: rank, 0 is the most urgent.
        objective_at: when the first event or answer is due.
        deadline_at: when the answer is of no more use.
        stages: the stages by number.
        data_centre: where the final call will probably go, "" if unknown.
        prompt: set if the final call goes to a model engine.
        made: results of stages that another host has had made.
        is_begun: the caller has a part of the answer, which a refusal would
            break off.
    """

    request_id: str
    key: str
    priority: int
    objective_at: float
    deadline_at: float
    stages: tuple[StageSpec, ...]
    data_centre: str = ""
    prompt: Prompt = Prompt()
    made: "StageResults" = ()
    is_begun: bool = False

    def wanted(self) -> list[int]:
        """Returns the stages that are not left out."""
        return [n for n, stage in enumerate(self.stages) if stage.count > 0]

    def unmade(self) -> list[int]:
        """Returns the stages that are still to be made."""
        made = dict(self.made)
        return [n for n in self.wanted() if self.is_needed(n, made)]

    def is_needed(self, number: int, made: Container[int]) -> bool:
        """Tells whether a stage's results are still to be made."""
        return number not in made and self.is_awaited(number, made)

    def is_awaited(self, number: int, made: Container[int]) -> bool:
        """Tells whether any stage that is to be run needs a stage's results."""
        followers = self.followers(number)
        return not followers or any(self.is_needed(n, made) for n in followers)

    def inputs_of(self, number: int) -> list[int]:
        """Returns the stages whose results a stage gets."""
        after = self.stages[number].after
        return [n for n in after if self.stages[n].count > 0]

    def followers(self, number: int) -> list[int]:
        """Returns the stages that need a stage's results."""
        return [n for n in self.wanted() if number in self.stages[n].after]

    def level(self, number: int) -> int:
        """Returns how many stages follow a stage, one after the other."""
        return max(
            (1 + self.level(n) for n in self.followers(number)), default=0
        )

    def final(self) -> list[int]:
        """Returns the stages whose results the final call needs."""
        return [n for n in self.wanted() if not self.followers(n)]


class GraphRunner:
    """The stages of one order and their results."""

    def __init__(
        self,
        runner: "piece_runner.PieceRunner",
        graph: StageGraph,
        on_progress: Callable[[StageResults], None],
    ):
        """Creates the run.

        Args:
            runner: makes pieces.
            graph: what is to be made.
            on_progress: told which results are held, as stages end.
        """
        self._runner = runner
        self._graph = graph
        self._on_progress = on_progress
        self._results: dict[int, Results] = dict(graph.made)
        self._running: dict[int, pieces.PendingJob] = {}
        self._repeats = 0
        # Set when another host goes on with the results.
        self.is_moved = False
        for number, results in graph.made:
            runner.adopt(results, graph.stages[number].result_bytes)
        self._upcoming = set(graph.unmade())
        for number in self._upcoming:
            self._add_upcoming(number, 1)

    def run(self) -> tasks.Steps["Results | pieces.PieceFailure"]:
        """Makes all results; returns those that the final call needs."""
        is_whole = False
        try:
            while True:
                self._start_ready()
                if not self._running:
                    is_whole = True
                    return self._final_results()
                yield tasks.first_of(
                    *(pending.future for pending in self._running.values())
                )
                failure = self._collect()
                if failure is not None:
                    return failure
        finally:
            self._stop(is_whole)

    def _stop(self, is_whole: bool) -> None:
        for number in list(self._upcoming):
            self._remove_upcoming(number)
        for pending in self._running.values():
            self._runner.cancel(pending)
        self._running.clear()
        if not is_whole and not self.is_moved:
            for results in self._results.values():
                self._runner.free(list(results))

    def _final_results(self) -> Results:
        return tuple(
            result
            for number in self._graph.final()
            for result in self._results[number]
        )

    def _add_upcoming(self, number: int, sign: int) -> None:
        stage = self._graph.stages[number]
        queue = self._runner.queue(stage.pool)
        if queue is not None:
            queue.upcoming += sign * stage.count

    def _remove_upcoming(self, number: int) -> None:
        if number in self._upcoming:
            self._upcoming.discard(number)
            self._add_upcoming(number, -1)

    def _start_ready(self) -> None:
        for number in self._graph.wanted():
            if number in self._running or not self._is_needed(number):
                continue
            after = self._graph.inputs_of(number)
            if all(n in self._results for n in after) and self._is_due(number):
                self._start(number, after)

    def _is_due(self, number: int) -> bool:
        """Tells whether all stages further from the end are over.

        Results that are made earlier than the others take room in vain.
        """
        level = self._graph.level(number)
        return not any(
            self._graph.level(n) > level and self._is_needed(n)
            for n in self._graph.wanted()
        )

    def _is_needed(self, number: int) -> bool:
        """Tells whether a stage's results are still to be made."""
        return self._graph.is_needed(number, self._results)

    def _start(self, number: int, after: list[int]) -> None:
        graph = self._graph
        stage = graph.stages[number]
        inputs = tuple(
            result.handle for n in after for result in self._results[n]
        )
        job = pieces.Job(
            graph.request_id,
            number,
            stage.pool,
            stage.count,
            graph.key,
            inputs,
            graph.objective_at - FINAL_CALL_S - self._after_s(number),
            graph.deadline_at,
            graph.priority,
            stage.result_bytes,
            self._near(number, after),
        )
        self._remove_upcoming(number)
        self._running[number] = self._runner.submit(job)

    def _near(
        self, number: int, after: list[int]
    ) -> tuple[tuple[str, int], ...]:
        """Returns what each piece of a stage moves, by data centre."""
        near: collections.Counter[str] = collections.Counter()
        for n in after:
            for result in self._results[n]:
                near[result.data_centre] += self._graph.stages[n].result_bytes
        near[self._graph.data_centre] += self._graph.stages[number].result_bytes
        return tuple(near.items())

    def _after_s(self, number: int) -> float:
        """Returns the least time of the stages that follow a stage."""
        return max(
            (
                call_s(self._runner, self._graph.stages[n]) + self._after_s(n)
                for n in self._graph.followers(number)
            ),
            default=0.0,
        )

    def _collect(self) -> pieces.PieceFailure | None:
        for number, pending in list(self._running.items()):
            if not pending.future.done():
                continue
            del self._running[number]
            made = pending.future.result()
            if not isinstance(made, pieces.PieceFailure):
                self._results[number] = made
                self._log_done(number, made)
                self._free_inputs(number)
                self._on_progress(tuple(self._results.items()))
            elif (
                made.reason != pieces.INPUT_GONE
                or not self._make_inputs_again(number)
            ):
                return made
        return None

    def _log_done(self, number: int, made: Results) -> None:
        state_log.log_decision(
            "stage done",
            request_id=self._graph.request_id,
            stage=number,
            pool=self._graph.stages[number].pool,
            endpoints=sorted({result.endpoint for result in made}),
        )

    def _make_inputs_again(self, number: int) -> bool:
        self._repeats += 1
        if self._repeats > _MAX_REPEATS:
            return False
        state_log.log_decision(
            "stage results lost",
            is_problem=True,
            request_id=self._graph.request_id,
            stage=number,
        )
        for n in self._graph.stages[number].after:
            self._runner.free(list(self._results.pop(n, ())))
        return True

    def _free_inputs(self, number: int) -> None:
        """Frees the results that only this stage still needed."""
        for n in self._graph.stages[number].after:
            if not self._graph.is_awaited(n, self._results):
                self._runner.free(list(self._results.pop(n, ())))


def near_bytes(
    stages: "Iterable[routing_table.Stage | StageSpec]", results: Results
) -> dict[str, int]:
    """Returns the bytes of an order's results by data centre."""
    sizes = {stage.pool: stage.result_bytes for stage in stages}
    near: collections.Counter[str] = collections.Counter()
    for result in results:
        near[result.data_centre] += sizes.get(result.pool, 0)
    return dict(near)


def call_s(runner: "piece_runner.PieceRunner", stage: StageSpec) -> float:
    """Returns the configured time of a stage, in seconds."""
    queue = runner.queue(stage.pool)
    if queue is None:
        return 0.0
    return queue.call_s(min(stage.count, queue.limits.batch))
