"""Runs the stages of a route before its final call."""

from chervilarch import outcomes, pieces, route_book, state_log, tasks
from chervilarch import routed_context as contexts

# Expected time of the final call up to its first event, in seconds; pieces
# aim to be done this long before the objective.
FINAL_CALL_S = 0.2
# How often a request's stages are run again after a result was lost.
_MAX_REPEATS = 2


class StageRun:
    """The stages of one request and their results."""

    def __init__(self, ctx: "contexts.RoutedContext"):
        self._ctx = ctx
        self._req = ctx.req
        self._stages = ctx.req.route.stages
        self._results: dict[int, tuple[pieces.PieceResult, ...]] = {}
        self._running: dict[int, pieces.PendingJob] = {}
        self._repeats = 0

    def run(self) -> tasks.Steps["outcomes.Outcome | None"]:
        """Makes all results; returns an outcome only if that failed."""
        try:
            while True:
                self._start_ready()
                if not self._running:
                    return None
                yield tasks.first_of(
                    *(pending.future for pending in self._running.values())
                )
                failure = self._collect()
                if failure is not None:
                    return self._outcome(failure)
        finally:
            for pending in self._running.values():
                self._ctx.ctrl.piece_runner.cancel(pending)
            self._running.clear()

    def inputs(self) -> tuple[pieces.PieceResult, ...]:
        """Returns the results that the final call needs."""
        return tuple(
            result
            for number in self._req.route.final_stages()
            for result in self._results.get(number, ())
        )

    def forget_inputs(self) -> bool:
        """Drops all results after some were lost; False if too often."""
        self.free()
        self._repeats += 1
        return self._repeats <= _MAX_REPEATS

    def free(self) -> None:
        """Frees all results."""
        for results in self._results.values():
            self._ctx.ctrl.piece_runner.free(list(results))
        self._results.clear()

    def _count(self, number: int) -> int:
        counts = self._req.piece_counts
        # A request that gives no number takes one piece a stage.
        return counts[number] if number < len(counts) else 1

    def _start_ready(self) -> None:
        for number, stage in enumerate(self._stages):
            is_wanted = self._count(number) > 0 and number not in self._running
            if not is_wanted or number in self._results:
                continue
            after = [n for n in stage.after if self._count(n) > 0]
            if not self._is_needed(number):
                continue
            if all(n in self._results for n in after):
                self._start(number, stage, after)

    def _is_needed(self, number: int) -> bool:
        """Tells whether anything that is still to be run uses a stage."""
        followers = [
            n
            for n, stage in enumerate(self._stages)
            if number in stage.after and self._count(n) > 0
        ]
        if not followers:
            return True
        return any(n not in self._results for n in followers)

    def _start(
        self, number: int, stage: route_book.Stage, after: list[int]
    ) -> None:
        req = self._req
        inputs = tuple(
            result.handle for n in after for result in self._results[n]
        )
        job = pieces.Job(
            req.id,
            number,
            stage.pool,
            self._count(number),
            req.piece_key,
            inputs,
            req.objective_at - FINAL_CALL_S - self._after_s(number),
            req.deadline_at,
            req.priority,
        )
        self._running[number] = self._ctx.ctrl.piece_runner.submit(job)

    def _after_s(self, number: int) -> float:
        """Returns the least time of the stages that follow a stage."""
        book = self._ctx.book
        longest_s = 0.0
        for n, stage in enumerate(self._stages):
            if number in stage.after and self._count(n) > 0:
                pool = book.pools.get(stage.pool)
                limits = pool.pieces if pool else None
                own_s = 0.0
                if limits is not None:
                    count = min(limits.batch, self._count(n))
                    own_s = limits.call_s + count * limits.piece_s
                longest_s = max(longest_s, own_s + self._after_s(n))
        return longest_s

    def _collect(self) -> pieces.PieceFailure | None:
        for number, pending in list(self._running.items()):
            if not pending.future.done():
                continue
            del self._running[number]
            made = pending.future.result()
            if isinstance(made, pieces.PieceFailure):
                if made.reason == pieces.INPUT_GONE and self._make_inputs_again(
                    number
                ):
                    continue
                return made
            self._results[number] = made
            state_log.log_decision(
                "stage done",
                request_id=self._req.id,
                stage=number,
                pool=self._stages[number].pool,
                endpoints=sorted({result.endpoint for result in made}),
                elapsed_ms=self._ctx.elapsed_ms(),
            )
            self._free_inputs(number)
        return None

    def _make_inputs_again(self, number: int) -> bool:
        self._repeats += 1
        if self._repeats > _MAX_REPEATS:
            return False
        state_log.log_decision(
            "stage results lost",
            is_problem=True,
            request_id=self._req.id,
            stage=number,
        )
        for n in self._stages[number].after:
            lost = self._results.pop(n, ())
            self._ctx.ctrl.piece_runner.free(list(lost))
        return True

    def _free_inputs(self, number: int) -> None:
        """Frees the results that only this stage still needed."""
        for n in self._stages[number].after:
            if not self._is_needed(n):
                self._ctx.ctrl.piece_runner.free(list(self._results.pop(n, ())))

    def _outcome(self, failure: pieces.PieceFailure) -> outcomes.Outcome:
        if failure.reason == pieces.LATE:
            reason = outcomes.Reason.DEADLINE_PASSED
        elif failure.reason == pieces.OVERLOADED:
            reason = outcomes.Reason.OVERLOADED
        elif failure.reason == pieces.NO_ENDPOINT:
            reason = outcomes.Reason.NO_ENDPOINT
        else:
            reason = outcomes.Reason.STAGE_FAILED
        return outcomes.NotRun(
            reason,
            f"a stage gave no results: {failure.reason}",
            "send the request again after the time given",
            failure.retry_after_s,
        )
