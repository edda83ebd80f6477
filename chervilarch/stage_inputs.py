"""The stage results that a request's final call needs."""

from chervilarch import outcomes, pieces, stage_graph, tasks
from chervilarch import routed_context as contexts
from chervilarch.scheduling import engine_load

# A proposal takes some milliseconds. Without one the host chooses by what it
# knows itself.
_PROPOSAL_WAIT_S = 0.08
# Bound of the field that carries tokens to other hosts.
_MAX_TOKENS = 2**32 - 1

_REASONS = {
    pieces.PAST_DEADLINE: outcomes.Reason.DEADLINE_PASSED,
    pieces.OVERLOADED: outcomes.Reason.OVERLOADED,
    pieces.NO_ENDPOINT: outcomes.Reason.NO_ENDPOINT,
}


class StageInputs:
    """Runs a request's stages, and holds their results until they are freed."""

    def __init__(self, ctx: "contexts.RoutedContext"):
        self._ctx = ctx
        self._results: stage_graph.Results = ()
        # Id of the engine that the coordinator proposes for the final call, or
        # "".
        self.proposed_engine = ""
        # Whether the coordinator counts this request at the engine.
        self._is_placed = False

    def handles(self) -> tuple[str, ...]:
        """Returns the handles of the results."""
        return tuple(result.handle for result in self._results)

    def run(
        self, is_partly_answered: bool = False
    ) -> tasks.Coroutine["outcomes.Outcome | None"]:
        """Runs the stages; returns an outcome only if they failed.

        That outcome is `NotRun` even if some stages ran: it refers to the final
        call.

        Args:
            is_partly_answered: whether the caller has a part of the answer.
        """
        graph = self._graph()
        if is_partly_answered or self._ctx.req.resume_after:
            # The objective of a resumed answer counts from the resumption.
            now = self._ctx.now()
            objective_at = now + self._ctx.req.route.objective_s
            graph = graph._replace(
                objective_at=objective_at, is_partly_answered=True
            )
        if not graph.active_stages():
            if graph.prompt.prompt is not None:
                yield from self._place(graph)
            return None
        submission = self._ctx.ctrl.stage_coordinator.submit(graph)
        try:
            outcome = yield submission.future
        except tasks.Cancelled:
            self._ctx.ctrl.stage_coordinator.cancel(submission)
            raise
        if isinstance(outcome, pieces.JobFailure):
            return outcomes.NotRun(
                _REASONS.get(outcome.reason, outcomes.Reason.STAGE_FAILED),
                f"the stages gave no results: {outcome.reason}",
                "send the request again after the time given",
                outcome.retry_after_s,
            )
        self._results, self.proposed_engine = outcome
        self._is_placed = graph.prompt.prompt is not None
        return None

    def _place(self, graph: stage_graph.StageGraph) -> tasks.Coroutine[None]:
        """Gets the coordinator's proposal of an engine, without stages."""
        ctrl = self._ctx.ctrl
        submission = ctrl.stage_coordinator.submit(graph)
        until = self._ctx.now() + _PROPOSAL_WAIT_S
        try:
            yield from tasks.wait(ctrl.loop, submission.future, until)
        finally:
            if not submission.future.done():
                ctrl.stage_coordinator.cancel(submission)
        if not submission.future.done():
            return
        outcome = submission.future.result()
        if isinstance(outcome, stage_graph.GraphResult):
            self.proposed_engine = outcome.proposed_engine
            self._is_placed = True

    def result_bytes_by_data_centre(self) -> dict[str, int]:
        """Returns the bytes of the results by data centre."""
        stages = self._ctx.req.route.stages
        return stage_graph.result_bytes_by_data_centre(stages, self._results)

    def free(self, has_first_event: bool = False) -> None:
        """Frees the results when the final call no longer needs them.

        Args:
            has_first_event: whether the call has just given its first event;
                otherwise it has ended, or is replaced.
        """
        results, self._results = self._results, ()
        coordinator = self._ctx.ctrl.stage_coordinator
        if self._is_placed:
            self._is_placed = has_first_event
            placed = stage_graph.PlacedRequest(
                self._ctx.req.id, has_first_event, not has_first_event
            )
            coordinator.free(results, placed)
        elif results:
            coordinator.free(results)

    def _graph(self) -> stage_graph.StageGraph:
        req = self._ctx.req
        counts = req.piece_counts
        return stage_graph.StageGraph(
            req.id,
            req.input_key,
            req.priority,
            req.objective_at,
            req.deadline_at,
            tuple(
                stage_graph.StageSpec(
                    stage.pool,
                    stage.after,
                    # Stages without a requested count get one piece.
                    counts[number] if number < len(counts) else 1,
                    stage.result_bytes,
                )
                for number, stage in enumerate(req.route.stages)
            ),
            self._ctx.ctrl.placement.affinity_data_centre(
                req.route.pool_for(req.id),
                req.prompt.shared_name(),
                req.regions,
            ),
            self._prompt(),
            regions=req.regions,
        )

    def _prompt(self) -> stage_graph.PromptSize:
        req = self._ctx.req
        if not req.route.is_prompt:
            return stage_graph.PromptSize()
        pool = req.route.pool_for(req.id)
        return stage_graph.PromptSize(
            pool,
            req.prompt.shared_name(),
            req.prompt.shared_tokens(),
            req.prompt.own_tokens(),
            self._cost(pool),
        )

    def _cost(self, pool: str) -> engine_load.Prompt | None:
        """Returns what the prompt costs, if it is to be placed by that."""
        ctx = self._ctx
        req = ctx.req
        if not ctx.table.is_pause_sensitive(req.route, pool):
            return None
        size = req.prompt.answer_size()
        account = req.account.name if req.account else ""
        return engine_load.Prompt(
            req.prompt.sized_parts(),
            ctx.ctrl.costs.estimate_s(req.route.name, account, size),
            min(_MAX_TOKENS, int(size.expected_tokens())),
            req.route.gap_objective_s,
        )
