"""Admits orders for stages: at once, later, or not at all.

An order that can't be on time any more is held back until the pools on its
way have room, so that it takes nothing from those that still can and its
results don't expire half way.
"""

from collections.abc import Callable
from concurrent.futures import Future

from chervilarch import loop as loops
from chervilarch import (
    piece_runner,
    pieces,
    placement,
    stage_graph,
    state_log,
    tasks,
)

# An order is held for so long at most. The later a refusal comes, the less it
# helps; of orders held for 0.4 of their time in crests, 1 in 20 were served.
_HOLD_S = 0.25
# A final call that wasn't heard of again for so long counts no more.
_ADVICE_KEPT_S = 3.0


class GraphRun:
    """An order that was taken; its future gets `GraphResult` or a failure."""

    def __init__(self, graph: stage_graph.StageGraph):
        self.graph = graph
        self.future: Future = Future()
        self.task: tasks.Task | None = None
        self.stages: stage_graph.GraphRunner | None = None
        self.hold_until = float("inf")
        # Results that are held now, and who is told of new ones.
        self.progress: stage_graph.StageResults = graph.made
        self.on_progress: Callable[[], None] = _ignore

    def note_progress(self, held: stage_graph.StageResults) -> None:
        """Notes which results are held."""
        self.progress = held
        self.on_progress()


class StageScheduler:
    """Runs orders with the pieces of one set of endpoints."""

    def __init__(
        self,
        loop: loops.Loop,
        runner: piece_runner.PieceRunner,
        engines: placement.Placement,
    ):
        """Creates the desk.

        Args:
            loop: the event loop.
            runner: makes pieces.
            engines: load of the final calls of all orders that run here.
        """
        self._loop = loop
        self._runner = runner
        self._engines = engines
        # Final calls that were advised, by their first result.
        self._advised: dict[str, placement.Lease] = {}
        self._held: list[GraphRun] = []
        runner.on_dispatched = self._look_soon
        self._is_looking = False

    def run(self, graph: stage_graph.StageGraph) -> GraphRun:
        """Takes an order."""
        run = GraphRun(graph)
        now = self._loop.now()
        expected_s = self.expected_s(graph, now)
        is_late = now + expected_s > graph.objective_at
        # What others have begun is not given up for being late.
        may_wait = not graph.is_begun and not graph.made
        wait_s = expected_s + self._held_s()
        if now + expected_s > graph.deadline_at or (
            may_wait and is_late and now + wait_s > graph.deadline_at
        ):
            self._refuse(run, expected_s)
        elif is_late and may_wait:
            self._hold(run, expected_s)
        else:
            self._start(run)
        return run

    def cancel(self, run: GraphRun) -> None:
        """Stops an order; results that were made are freed."""
        if run in self._held:
            self._held.remove(run)
            self._free_made(run.graph)
        if run.task is not None:
            run.task.cancel()

    def leave(self, run: GraphRun) -> None:
        """Stops an order whose results another host goes on with."""
        if run in self._held:
            self._held.remove(run)
        if run.stages is not None:
            run.stages.is_moved = True
            run.task.cancel()

    def _free_made(self, graph: stage_graph.StageGraph) -> None:
        for _, results in graph.made:
            self._runner.free(list(results))

    def free(self, results: stage_graph.Results) -> None:
        """Frees results that the final call has read."""
        for result in results:
            lease = self._advised.pop(result.handle, None)
            if lease is not None:
                self._engines.note_first_event(lease)
                self._engines.abandon(lease)
        self._runner.free(list(results))

    def expected_s(self, graph: stage_graph.StageGraph, now: float) -> float:
        """Returns how long an order would take, up to the first event."""
        ends_s: dict[int, float] = {}
        for number in graph.unmade():
            stage = graph.stages[number]
            queue = self._runner.queue(stage.pool)
            if queue is None:
                continue
            starts_s = max(
                (ends_s.get(n, 0.0) for n in graph.inputs_of(number)),
                default=0.0,
            )
            # Work that waits now is done by the time a later stage starts.
            wait_s = queue.wait_s(graph.priority, graph.objective_at, now)
            ends_s[number] = max(starts_s, wait_s) + stage_graph.call_s(
                self._runner, stage
            )
        return max(ends_s.values(), default=0.0) + stage_graph.FINAL_CALL_S

    def _held_s(self) -> float:
        """Returns about how long the held orders take, in seconds."""
        seconds = 0.0
        for run in self._held:
            for stage in run.graph.stages:
                queue = self._runner.queue(stage.pool)
                if queue is not None and stage.count:
                    limits = queue.limits
                    per_piece_s = queue.call_s(limits.batch) / limits.batch
                    workers = max(1, len(queue.workers) * limits.slots)
                    seconds += stage.count * per_piece_s / workers
        # Stages of different pools run side by side.
        pools = {s.pool for run in self._held for s in run.graph.stages}
        return seconds / max(1, len(pools))

    def _start(self, run: GraphRun) -> None:
        run.stages = stage_graph.GraphRunner(
            self._runner, run.graph, run.note_progress
        )
        run.task = tasks.Task(run.stages.run())
        run.task.future.add_done_callback(
            lambda fut: self._finish(run, fut.result())
        )

    def _finish(
        self,
        run: GraphRun,
        made: "stage_graph.Results | pieces.PieceFailure | None",
    ) -> None:
        if made is None:
            made = pieces.PieceFailure(pieces.FAILED)
        if not isinstance(made, pieces.PieceFailure):
            made = stage_graph.GraphResult(made, self._advise(run.graph, made))
        tasks.resolve(run.future, made)

    def _advise(
        self, graph: stage_graph.StageGraph, results: stage_graph.Results
    ) -> str:
        """Chooses the engine for a final call.

        Each host sees its own calls only, and prompts of several hosts would
        meet at the same engine; this one sees those of all orders.
        """
        prompt = graph.prompt
        if not prompt.pool or not results:
            return ""
        lease = self._engines.pick(
            placement.Requirements(
                prompt.pool,
                True,
                prompt.shared,
                prompt.shared_tokens,
                prompt.own_tokens,
                graph.deadline_at,
                stage_graph.near_bytes(graph.stages, results),
            ),
            set(),
        )
        if lease is None:
            return ""
        handle = results[0].handle
        self._advised[handle] = lease
        self._loop.call_later(
            _ADVICE_KEPT_S, lambda: self._forget_advice(handle)
        )
        return lease.listing.entry.name

    def _forget_advice(self, handle: str) -> None:
        lease = self._advised.pop(handle, None)
        if lease is not None:
            self._engines.abandon(lease)

    def _refuse(self, run: GraphRun, expected_s: float) -> None:
        left_s = run.graph.deadline_at - self._loop.now()
        state_log.log_decision(
            "stages refused",
            is_problem=True,
            request_id=run.graph.request_id,
            expected_ms=round(expected_s * 1000),
            left_ms=round(left_s * 1000),
            held=len(self._held),
        )
        self._free_made(run.graph)
        failure = pieces.PieceFailure(
            pieces.OVERLOADED, pieces.retry_after_s(left_s)
        )
        tasks.resolve(run.future, failure)

    def _hold(self, run: GraphRun, expected_s: float) -> None:
        state_log.log_decision(
            "stages held back",
            request_id=run.graph.request_id,
            expected_ms=round(expected_s * 1000),
            held=len(self._held),
        )
        run.hold_until = self._loop.now() + _HOLD_S
        self._held.append(run)
        self._held.sort(key=lambda r: (r.graph.priority, r.graph.deadline_at))
        self._look_soon()
        self._loop.call_at(run.hold_until, self._look_soon)

    def _look_soon(self) -> None:
        if self._held and not self._is_looking:
            self._is_looking = True
            self._loop.call_soon(self._look)

    def _look(self) -> None:
        """Starts held orders whose pools have room; refuses the hopeless."""
        self._is_looking = False
        now = self._loop.now()
        for run in list(self._held):
            expected_s = self.expected_s(run.graph, now)
            is_hopeless = now + expected_s > run.graph.deadline_at
            if is_hopeless or now >= run.hold_until:
                self._held.remove(run)
                self._refuse(run, expected_s)
            elif not self._is_backed_up(run.graph):
                self._held.remove(run)
                self._start(run)

    def _is_backed_up(self, graph: stage_graph.StageGraph) -> bool:
        queues = (
            self._runner.queue(graph.stages[n].pool) for n in graph.unmade()
        )
        return any(queue and queue.is_backed_up() for queue in queues)


def _ignore() -> None:
    pass
