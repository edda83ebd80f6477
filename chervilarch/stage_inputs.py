"""The results that a request's final call needs, while they are needed."""

from chervilarch import outcomes, pieces, stage_graph, tasks
from chervilarch import routed_context as contexts

_REASONS = {
    pieces.LATE: outcomes.Reason.DEADLINE_PASSED,
    pieces.OVERLOADED: outcomes.Reason.OVERLOADED,
    pieces.NO_ENDPOINT: outcomes.Reason.NO_ENDPOINT,
}


class StageInputs:
    """Has a request's stages run, and frees their results."""

    def __init__(self, ctx: "contexts.RoutedContext"):
        self._ctx = ctx
        self._results: stage_graph.Results = ()
        # The endpoint that the gathering host advises, "" for none.
        self.engine = ""

    def handles(self) -> tuple[str, ...]:
        """Returns the names of the results."""
        return tuple(result.handle for result in self._results)

    def make(
        self, is_begun: bool = False
    ) -> tasks.Steps["outcomes.Outcome | None"]:
        """Runs the stages; returns an outcome only if that failed.

        Args:
            is_begun: the caller has a part of the answer.
        """
        graph = self._graph()
        if is_begun or self._ctx.req.resume_after:
            now = self._ctx.now()
            objective_at = now + self._ctx.req.route.objective_s
            graph = graph._replace(objective_at=objective_at, is_begun=True)
        if not graph.wanted():
            return None
        submission = self._ctx.ctrl.stages.submit(graph)
        try:
            made = yield submission.future
        except tasks.Cancelled:
            self._ctx.ctrl.stages.cancel(submission)
            raise
        if isinstance(made, pieces.PieceFailure):
            return outcomes.NotRun(
                _REASONS.get(made.reason, outcomes.Reason.STAGE_FAILED),
                f"the stages gave no results: {made.reason}",
                "send the request again after the time given",
                made.retry_after_s,
            )
        self._results, self.engine = made
        return None

    def near(self) -> dict[str, int]:
        """Returns the bytes of the results by data centre."""
        stages = self._ctx.req.route.stages
        return stage_graph.near_bytes(stages, self._results)

    def free(self) -> None:
        """Frees the results; the final call has them or needs them no more."""
        results, self._results = self._results, ()
        if results:
            self._ctx.ctrl.stages.free(results)

    def _graph(self) -> stage_graph.StageGraph:
        req = self._ctx.req
        counts = req.piece_counts
        return stage_graph.StageGraph(
            req.id,
            req.piece_key,
            req.priority,
            req.objective_at,
            req.deadline_at,
            tuple(
                stage_graph.StageSpec(
                    stage.pool,
                    stage.after,
                    # A request that gives no number takes one piece a stage.
                    counts[number] if number < len(counts) else 1,
                    stage.result_bytes,
                )
                for number, stage in enumerate(req.route.stages)
            ),
            self._ctx.ctrl.placement.affinity_data_centre(
                req.route.pool_for(req.id), req.prompt.shared_name()
            ),
            self._prompt(),
        )

    def _prompt(self) -> stage_graph.Prompt:
        req = self._ctx.req
        if not req.route.is_prompt:
            return stage_graph.Prompt()
        return stage_graph.Prompt(
            req.route.pool_for(req.id),
            req.prompt.shared_name(),
            req.prompt.shared_tokens(),
            req.prompt.own_tokens(),
        )
