"""Scheduler of stage graphs: runs them now, defers them, or refuses them.

A graph that can no longer be on time is deferred until its pools have spare
capacity. So it takes nothing from graphs that can still be on time, and its
results don't expire before it ends.
"""

from collections.abc import Callable

from chervilarch import (
    endpoint_state,
    pieces,
    placement,
    stage_graph,
    state_log,
    tasks,
)
from chervilarch import loop as loops
from chervilarch import piece_runner as piece_runners
from chervilarch.futures import Future

# Longest deferral. A later refusal leaves the caller less time to retry, and
# few graphs deferred for longer are still served under peak load.
_MAX_DEFERRAL_S = 0.25
# The lease on a proposed engine expires after this time if the final call never
# frees its inputs.
_LEASE_TIMEOUT_S = 3.0

# Decisions on graphs, as logged and counted.
_HELD_BACK = "held back"
_REFUSED = "refused"


class ScheduledGraph:
    """A submitted graph; its future gets `GraphResult` or `JobFailure`.

    Attributes:
        task: runs it with `graph_runner`; both are None unless it runs.
    """

    def __init__(self, graph: stage_graph.StageGraph):
        self.graph = graph
        self.future: Future = Future()
        self.task: tasks.Task | None = None
        self.graph_runner: stage_graph.GraphRunner | None = None
        self.deferred_until = float("inf")
        # Results that exist now, and the callback for changes.
        self.completed: stage_graph.StageResults = graph.completed
        self.on_results_changed: Callable[[], None] = _ignore

    def record_completed(self, completed: stage_graph.StageResults) -> None:
        """Records which results exist."""
        self.completed = completed
        self.on_results_changed()


class StageScheduler:
    """Schedules stage graphs on the endpoints of one piece runner."""

    def __init__(
        self,
        loop: loops.Loop,
        piece_runner: piece_runners.PieceRunner,
        engine_placement: placement.Placement,
    ):
        """Creates the scheduler.

        Args:
            loop: the event loop.
            piece_runner: makes pieces.
            engine_placement: chooses engines by the load of the final calls of
                all graphs that run here.
        """
        self._loop = loop
        self._piece_runner = piece_runner
        self._engine_placement = engine_placement
        # Leases of proposed engines, by the handle of the first result, or by
        # the request's id if there is none.
        self._leases: dict[str, placement.Lease] = {}
        self._deferred: list[ScheduledGraph] = []
        piece_runner.on_dispatched = self._review_soon
        self._is_review_due = False

    def run(self, graph: stage_graph.StageGraph) -> ScheduledGraph:
        """Starts, defers or refuses a graph."""
        run = ScheduledGraph(graph)
        now = self._loop.now()
        expected_s = self.expected_s(graph, now)
        misses_objective = now + expected_s > graph.objective_at
        # A graph with results, or with part of its answer sent, isn't refused
        # or deferred for missing its objective.
        may_defer = not graph.is_partly_answered and not graph.completed
        wait_s = expected_s + self._deferred_s()
        if now + expected_s > graph.deadline_at or (
            may_defer and misses_objective and now + wait_s > graph.deadline_at
        ):
            self._refuse(run, expected_s)
        elif misses_objective and may_defer:
            self._defer(run, expected_s)
        else:
            self._start(run)
        return run

    def cancel(self, run: ScheduledGraph) -> None:
        """Stops a graph and frees its results."""
        if run in self._deferred:
            self._deferred.remove(run)
            self._free_completed(run.graph)
            tasks.resolve(run.future, pieces.JobFailure(pieces.FAILED))
        if run.task is not None:
            run.task.cancel()

    def hand_over(self, run: ScheduledGraph) -> None:
        """Stops a graph that another host takes over with its results."""
        if run in self._deferred:
            self._deferred.remove(run)
            tasks.resolve(run.future, pieces.JobFailure(pieces.FAILED))
        if run.graph_runner is not None:
            run.graph_runner.is_handed_over = True
            run.task.cancel()

    def _free_completed(self, graph: stage_graph.StageGraph) -> None:
        for _, results in graph.completed:
            self._piece_runner.free(list(results))

    def record_placed(self, placed: stage_graph.PlacedRequest) -> None:
        """Records what became of a call that was placed by its cost."""
        self._engine_placement.record_placed(placed)
        self._end_lease(placed.request_id)

    def free(self, results: stage_graph.Results) -> None:
        """Frees the results of a graph.

        A free counts as the first event of the call at the proposed engine, and
        ends its lease, whether or not the final call has read the results.
        """
        for result in results:
            self._end_lease(result.handle)
        self._piece_runner.free(list(results))

    def _end_lease(self, key: str) -> None:
        lease = self._leases.pop(key, None)
        if lease is not None:
            self._engine_placement.record_first_event(lease)
            self._engine_placement.abandon(lease)

    def expected_s(self, graph: stage_graph.StageGraph, now: float) -> float:
        """Returns the estimated time of a graph up to the first event."""
        ends_s: dict[int, float] = {}
        for number in graph.unfinished_stages():
            stage = graph.stages[number]
            queue = self._piece_runner.queue(stage.pool)
            if queue is None:
                continue
            starts_s = max(
                (ends_s.get(n, 0.0) for n in graph.inputs_of(number)),
                default=0.0,
            )
            # The wait counts from now, not from the end of the inputs: work
            # that waits now is done by the time a later stage starts.
            wait_s = queue.wait_s(
                graph.priority, graph.objective_at, now, graph.regions
            )
            ends_s[number] = max(starts_s, wait_s) + stage_graph.stage_call_s(
                self._piece_runner, stage
            )
        return max(ends_s.values(), default=0.0) + stage_graph.FINAL_CALL_S

    def _deferred_s(self) -> float:
        """Returns about how long the deferred graphs take, in seconds."""
        seconds = 0.0
        for run in self._deferred:
            for stage in run.graph.stages:
                queue = self._piece_runner.queue(stage.pool)
                if queue is not None and stage.count:
                    profile = queue.profile
                    per_piece_s = queue.call_s(profile.batch) / profile.batch
                    workers = max(1, len(queue.workers) * profile.max_calls)
                    seconds += stage.count * per_piece_s / workers
        # Stages of different pools run in parallel.
        pools = {s.pool for run in self._deferred for s in run.graph.stages}
        return seconds / max(1, len(pools))

    def _record(
        self, run: ScheduledGraph, decision: str, expected_s: float
    ) -> None:
        """Logs and counts that a graph is held back or refused."""
        graph = run.graph
        now = self._loop.now()
        backlogs = {}
        for number in graph.unfinished_stages():
            pool = graph.stages[number].pool
            queue = self._piece_runner.queue(pool)
            if queue is not None:
                backlogs[pool] = list(queue.backlog_of(graph.priority))
        state_log.log_decision(
            f"stages {decision}",
            is_problem=decision == _REFUSED,
            request_id=graph.request_id,
            priority=graph.priority,
            expected_ms=round(expected_s * 1000),
            objective_ms=round((graph.objective_at - now) * 1000),
            left_ms=round((graph.deadline_at - now) * 1000),
            held=len(self._deferred),
            backlogs=backlogs,
        )
        self._piece_runner.meters.count_stage_graph(graph.priority, decision)

    def _start(self, run: ScheduledGraph) -> None:
        self._piece_runner.meters.count_stage_graph(
            run.graph.priority, "started"
        )
        run.graph_runner = stage_graph.GraphRunner(
            self._piece_runner, run.graph, run.record_completed
        )
        run.task = tasks.Task(run.graph_runner.run())
        run.task.future.add_done_callback(
            lambda fut: self._finish(run, fut.result())
        )

    def _finish(
        self,
        run: ScheduledGraph,
        outcome: "stage_graph.Results | pieces.JobFailure | None",
    ) -> None:
        run.task = run.graph_runner = None
        if outcome is None:
            outcome = pieces.JobFailure(pieces.FAILED)
        if isinstance(outcome, pieces.JobFailure):
            tasks.resolve(run.future, outcome)
            return
        lease = self._choose_engine(run.graph, outcome)
        engine = lease.listing.entry.name if lease else ""
        result = stage_graph.GraphResult(outcome, engine)
        tasks.resolve(run.future, result)

    def _choose_engine(
        self, graph: stage_graph.StageGraph, results: stage_graph.Results
    ) -> placement.Lease | None:
        """Chooses the engine for a final call and leases it.

        Each host sees only its own calls, so hosts that chose for themselves
        would send their prompts to the same engine. This scheduler sees the
        final calls of all graphs.
        """
        prompt = graph.prompt
        if not prompt.pool or not (results or prompt.prompt):
            return None
        lease = self._engine_placement.pick(
            placement.Requirements(
                prompt.pool,
                True,
                prompt.shared_name,
                prompt.shared_tokens,
                prompt.own_tokens,
                graph.deadline_at,
                stage_graph.result_bytes_by_data_centre(graph.stages, results),
                regions=graph.regions,
                prompt=prompt.prompt,
                request_id=graph.request_id,
                objective_at=graph.objective_at,
            ),
            set(),
        )
        if lease is None:
            return None
        self._pace(lease.slot.endpoint)
        key = results[0].handle if results else graph.request_id
        self._leases[key] = lease
        self._loop.call_later(_LEASE_TIMEOUT_S, lambda: self._expire_lease(key))
        return lease

    def _pace(self, run: endpoint_state.EndpointRun) -> None:
        """Proposes an engine that limits its requests no more often."""
        per_s = self._piece_runner.limits.per_s(run)
        if per_s is not None:
            wait_s = self._engine_placement.wait_s(run) + 1.0 / per_s
            self._engine_placement.defer(run, self._loop.now() + wait_s)

    def _expire_lease(self, key: str) -> None:
        lease = self._leases.pop(key, None)
        if lease is not None:
            self._engine_placement.abandon(lease)

    def _refuse(self, run: ScheduledGraph, expected_s: float) -> None:
        left_s = run.graph.deadline_at - self._loop.now()
        self._record(run, _REFUSED, expected_s)
        self._free_completed(run.graph)
        failure = pieces.JobFailure(
            pieces.OVERLOADED, pieces.retry_after_s(left_s)
        )
        tasks.resolve(run.future, failure)

    def _defer(self, run: ScheduledGraph, expected_s: float) -> None:
        self._record(run, _HELD_BACK, expected_s)
        run.deferred_until = self._loop.now() + _MAX_DEFERRAL_S
        self._deferred.append(run)
        self._deferred.sort(
            key=lambda r: (r.graph.priority, r.graph.deadline_at)
        )
        self._review_soon()
        self._loop.call_at(run.deferred_until, self._review_soon)

    def _review_soon(self) -> None:
        if self._deferred and not self._is_review_due:
            self._is_review_due = True
            self._loop.call_soon(self._review_deferred)

    def _review_deferred(self) -> None:
        """Starts deferred graphs whose pools have spare capacity.

        Graphs that waited too long or can't meet their deadline are refused.
        """
        self._is_review_due = False
        now = self._loop.now()
        for run in list(self._deferred):
            expected_s = self.expected_s(run.graph, now)
            misses_deadline = now + expected_s > run.graph.deadline_at
            if misses_deadline or now >= run.deferred_until:
                self._deferred.remove(run)
                self._refuse(run, expected_s)
            elif not self._is_backed_up(run.graph):
                self._deferred.remove(run)
                self._start(run)

    def _is_backed_up(self, graph: stage_graph.StageGraph) -> bool:
        queues = (
            self._piece_runner.queue(graph.stages[n].pool)
            for n in graph.unfinished_stages()
        )
        return any(
            queue and queue.is_backed_up(graph.priority) for queue in queues
        )


def _ignore() -> None:
    pass
