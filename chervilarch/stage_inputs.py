"""The stage results that a request's final call needs."""

from chervilarch import outcomes, pieces, stage_graph, tasks
from chervilarch import routed_context as contexts

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
        return None

    def result_bytes_by_data_centre(self) -> dict[str, int]:
        """Returns the bytes of the results by data centre."""
        stages = self._ctx.req.route.stages
        return stage_graph.result_bytes_by_data_centre(stages, self._results)

    def free(self) -> None:
        """Frees the results when the final call no longer needs them."""
        results, self._results = self._results, ()
        if results:
            self._ctx.ctrl.stage_coordinator.free(results)

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
        return stage_graph.PromptSize(
            req.route.pool_for(req.id),
            req.prompt.shared_name(),
            req.prompt.shared_tokens(),
            req.prompt.own_tokens(),
        )
