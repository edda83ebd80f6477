"""Stage graphs: the stages of one request, run by their dependencies."""

import collections
from collections.abc import Callable, Container, Iterable
from typing import NamedTuple

from chervilarch import piece_runner, pieces, routing_table, state_log, tasks
from chervilarch.scheduling import engine_load, homes

# Expected time from the final call to its first event, in seconds. Stages
# should end this long before the objective.
FINAL_CALL_S = 0.2
# How many times a request reruns stages whose results were lost.
_MAX_RERUNS = 2

Results = tuple[pieces.PieceResult, ...]
# Pairs of a stage's number and its results.
StageResults = tuple[tuple[int, Results], ...]


class GraphResult(NamedTuple):
    """Outcome of a graph run that succeeded.

    Attributes:
        results: inputs of the final call.
        proposed_engine: id of the engine that the coordinator proposes for the
            final call, "" for none. An engine is an endpoint that generates a
            stream from a prompt.
    """

    results: Results
    proposed_engine: str = ""


class PlacedRequest(NamedTuple):
    """News of a request whose engine the coordinator proposed by its cost.

    Attributes:
        request_id: the caller's id of the request.
        has_first_event: whether its stream has begun.
        has_ended: whether its call has ended, with or without an event.
    """

    request_id: str
    has_first_event: bool = False
    has_ended: bool = False


class PromptSize(NamedTuple):
    """Size and shared prefix of the prompt that the final call sends.

    Attributes:
        pool: pool of the final call.
        shared_name: names the prefix that the prompt shares with others.
        shared_tokens: tokens of that prefix.
        own_tokens: tokens after that prefix, which no endpoint has cached.
        prompt: its parts and the expected answer; set if it is to be placed by
            its cost.
    """

    pool: str = ""
    shared_name: bytes = b""
    shared_tokens: int = 0
    own_tokens: int = 0
    prompt: engine_load.Prompt | None = None


class StageSpec(NamedTuple):
    """One stage of a graph.

    Attributes:
        pool: pool that makes its pieces.
        after: numbers of the stages whose results it needs.
        count: number of its pieces; 0 skips the stage.
        result_bytes: approximate size of one result.
    """

    pool: str
    after: tuple[int, ...]
    count: int
    result_bytes: int


class StageGraph(NamedTuple):
    """All stages of one request; times are monotonic seconds.

    Attributes:
        request_id: the caller's id of the request.
        input_key: names the input of stages that depend on no other stage.
        priority: rank; 0 is the most urgent.
        objective_at: when the first event or answer is due.
        deadline_at: when the answer becomes useless.
        stages: the stages by number.
        data_centre: probable data centre of the final call, "" if unknown.
        prompt: set if the final call goes to a model engine.
        completed: results of stages that another host had made.
        is_partly_answered: whether the caller has part of the answer already; a
            refusal would cut the answer off.
        regions: regions whose endpoints may be used, None for all.
    """

    request_id: str
    input_key: str
    priority: int
    objective_at: float
    deadline_at: float
    stages: tuple[StageSpec, ...]
    data_centre: str = ""
    prompt: PromptSize = PromptSize()
    completed: "StageResults" = ()
    is_partly_answered: bool = False
    regions: homes.Allowed = None

    def active_stages(self) -> list[int]:
        """Returns the stages that aren't skipped."""
        return [n for n, stage in enumerate(self.stages) if stage.count > 0]

    def unfinished_stages(self) -> list[int]:
        """Returns the stages that must still run."""
        completed = dict(self.completed)
        return [n for n in self.active_stages() if self.must_run(n, completed)]

    def must_run(self, number: int, completed: Container[int]) -> bool:
        """Returns whether a stage must run, given the completed ones.

        A stage whose results only finished stages use needn't run.
        """
        return number not in completed and self.are_results_needed(
            number, completed
        )

    def are_results_needed(
        self, number: int, completed: Container[int]
    ) -> bool:
        """Returns whether the final call or a stage to run needs them."""
        successors = self.successors(number)
        return not successors or any(
            self.must_run(n, completed) for n in successors
        )

    def inputs_of(self, number: int) -> list[int]:
        """Returns the stages whose results are inputs of a stage."""
        after = self.stages[number].after
        return [n for n in after if self.stages[n].count > 0]

    def successors(self, number: int) -> list[int]:
        """Returns the stages that have a stage's results as inputs."""
        return [
            n for n in self.active_stages() if number in self.stages[n].after
        ]

    def level(self, number: int) -> int:
        """Returns the length of the longest chain of stages after a stage."""
        return max(
            (1 + self.level(n) for n in self.successors(number)), default=0
        )

    def final_stages(self) -> list[int]:
        """Returns the stages whose results the final call needs."""
        return [n for n in self.active_stages() if not self.successors(n)]


class GraphRunner:
    """Runs the stages of one graph and holds their results."""

    def __init__(
        self,
        runner: "piece_runner.PieceRunner",
        graph: StageGraph,
        on_progress: Callable[[StageResults], None],
    ):
        """Creates the run.

        Args:
            runner: makes pieces.
            graph: the stages to run.
            on_progress: called with all results that exist when a stage ends.
        """
        self._runner = runner
        self._graph = graph
        self._on_progress = on_progress
        self._results: dict[int, Results] = dict(graph.completed)
        self._running: dict[int, pieces.PendingJob] = {}
        self._reruns = 0
        # Set when another host takes over the results.
        self.is_handed_over = False
        for number, results in graph.completed:
            runner.count_results(results, graph.stages[number].result_bytes)
        self._upcoming = set(graph.unfinished_stages())
        for number in self._upcoming:
            self._change_upcoming(number, 1)

    def run(self) -> tasks.Coroutine["Results | pieces.JobFailure"]:
        """Runs all stages; returns the inputs of the final call."""
        is_complete = False
        try:
            while True:
                self._start_ready()
                if not self._running:
                    is_complete = True
                    return self._final_results()
                yield from tasks.first_of(
                    *(pending.future for pending in self._running.values())
                )
                failure = self._collect()
                if failure is not None:
                    return failure
        finally:
            self._stop(is_complete)

    def _stop(self, is_complete: bool) -> None:
        for number in list(self._upcoming):
            self._remove_upcoming(number)
        for pending in self._running.values():
            self._runner.cancel(pending)
        self._running.clear()
        if not is_complete and not self.is_handed_over:
            for results in self._results.values():
                self._runner.free(list(results))

    def _final_results(self) -> Results:
        return tuple(
            result
            for number in self._graph.final_stages()
            for result in self._results[number]
        )

    def _change_upcoming(self, number: int, sign: int) -> None:
        stage = self._graph.stages[number]
        queue = self._runner.queue(stage.pool)
        if queue is not None:
            queue.add_upcoming(self._graph.priority, sign * stage.count)

    def _remove_upcoming(self, number: int) -> None:
        if number in self._upcoming:
            self._upcoming.discard(number)
            self._change_upcoming(number, -1)

    def _start_ready(self) -> None:
        for number in self._graph.active_stages():
            if number in self._running or not self._must_run(number):
                continue
            inputs = self._graph.inputs_of(number)
            if all(n in self._results for n in inputs) and self._is_due(number):
                self._start(number, inputs)

    def _is_due(self, number: int) -> bool:
        """Returns whether all stages further from the end are done.

        Results made before they can be used would only hold memory.
        """
        level = self._graph.level(number)
        return not any(
            self._graph.level(n) > level and self._must_run(n)
            for n in self._graph.active_stages()
        )

    def _must_run(self, number: int) -> bool:
        """Returns whether a stage must run."""
        return self._graph.must_run(number, self._results)

    def _start(self, number: int, input_stages: list[int]) -> None:
        graph = self._graph
        stage = graph.stages[number]
        inputs = tuple(
            result.handle for n in input_stages for result in self._results[n]
        )
        job = pieces.Job(
            graph.request_id,
            number,
            stage.pool,
            stage.count,
            graph.input_key,
            inputs,
            graph.objective_at - FINAL_CALL_S - self._successors_s(number),
            graph.deadline_at,
            graph.priority,
            stage.result_bytes,
            self._transfer_bytes(number, input_stages),
            graph.regions,
        )
        self._remove_upcoming(number)
        self._running[number] = self._runner.submit(job)

    def _transfer_bytes(
        self, number: int, input_stages: list[int]
    ) -> tuple[tuple[str, int], ...]:
        """Returns the bytes that each piece transfers, by data centre.

        The stage's own result is assumed to go to the data centre of the final
        call, even if a later stage uses it: the worker of that one isn't chosen
        yet. An unknown data centre ("") is that of no worker.
        """
        sizes: collections.Counter[str] = collections.Counter()
        for n in input_stages:
            for result in self._results[n]:
                sizes[result.data_centre] += self._graph.stages[n].result_bytes
        sizes[self._graph.data_centre] += self._graph.stages[
            number
        ].result_bytes
        return tuple(sizes.items())

    def _successors_s(self, number: int) -> float:
        """Returns the least time from a stage's end to the final call."""
        return max(
            (
                stage_call_s(self._runner, self._graph.stages[n])
                + self._successors_s(n)
                for n in self._graph.successors(number)
            ),
            default=0.0,
        )

    def _collect(self) -> pieces.JobFailure | None:
        for number, pending in list(self._running.items()):
            if not pending.future.done():
                continue
            del self._running[number]
            outcome = pending.future.result()
            if not isinstance(outcome, pieces.JobFailure):
                self._results[number] = outcome
                self._log_done(number, outcome)
                self._free_inputs(number)
                self._on_progress(tuple(self._results.items()))
            elif (
                outcome.reason != pieces.INPUT_GONE
                or not self._rerun_lost_inputs(number)
            ):
                return outcome
        return None

    def _log_done(self, number: int, results: Results) -> None:
        state_log.log_decision(
            "stage done",
            request_id=self._graph.request_id,
            stage=number,
            pool=self._graph.stages[number].pool,
            endpoints=sorted({result.endpoint for result in results}),
        )

    def _rerun_lost_inputs(self, number: int) -> bool:
        self._reruns += 1
        if self._reruns > _MAX_RERUNS:
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
        """Frees the inputs of a stage that no other stage needs."""
        for n in self._graph.stages[number].after:
            if not self._graph.are_results_needed(n, self._results):
                self._runner.free(list(self._results.pop(n, ())))


def result_bytes_by_data_centre(
    stages: "Iterable[routing_table.Stage | StageSpec]", results: Results
) -> dict[str, int]:
    """Returns the bytes of a graph's results by data centre.

    Sizes are looked up by pool: of several stages on one pool, the size of the
    last one counts for all.
    """
    sizes = {stage.pool: stage.result_bytes for stage in stages}
    by_centre: collections.Counter[str] = collections.Counter()
    for result in results:
        by_centre[result.data_centre] += sizes.get(result.pool, 0)
    return dict(by_centre)


def stage_call_s(runner: "piece_runner.PieceRunner", stage: StageSpec) -> float:
    """Returns the configured time of a stage's call, in seconds."""
    queue = runner.queue(stage.pool)
    if queue is None:
        return 0.0
    return queue.call_s(min(stage.count, queue.profile.batch))
