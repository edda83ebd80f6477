"""Runs the piece queues of all pools: sends calls, retries and hedges."""

import collections
import math
from collections.abc import Callable

from chervilarch import (
    avoidances,
    budgets,
    endpoint_limits,
    endpoint_list,
    endpoint_state,
    exchanges,
    http_client,
    piece_calls,
    piece_queue,
    pieces,
    routed,
    routing_table,
    state_log,
    tasks,
    telemetry,
)
from chervilarch import loop as loops
from chervilarch.futures import Future
from chervilarch.scheduling import cold_starts, homes

# A job fails when more calls than this have failed.
_MAX_ERRORS = 3
# Delay until the next try of a retry that the budget denied.
_BUDGET_RETRY_S = 0.1
# Results to free are collected for this long, so that one call frees several.
_FREE_PERIOD_S = 0.03
# While work waits, dispatch runs at least this often: memory may have been
# freed, or a slow endpoint may have become worth its time.
_DISPATCH_PERIOD_S = 0.05


class PieceRunner:
    """Runs jobs; pieces of several requests share calls."""

    def __init__(
        self,
        loop: loops.Loop,
        client: http_client.Client,
        wire: routed.Wire,
        retry_budgets: budgets.PoolBudgets,
        meters: telemetry.Telemetry,
        on_endpoint_removed: Callable[[str, int], None],
        on_endpoint_leaving: Callable[[str, int], None],
        limits: endpoint_limits.EndpointLimits,
        avoided: avoidances.Avoidances,
        cold: cold_starts.ColdStarts | None = None,
        regions: homes.Regions | None = None,
    ):
        self._regions = regions
        self.cold = cold or cold_starts.ColdStarts()
        self.loop = loop
        self.client = client
        self.wire = wire
        self._budgets = retry_budgets
        self.meters = meters
        self.on_endpoint_removed = on_endpoint_removed
        self.on_endpoint_leaving = on_endpoint_leaving
        self.limits = limits
        self.avoided = avoided
        self._queues: dict[str, piece_queue.PieceQueue] = {}
        self._listed: dict[str, dict[str, endpoint_list.Listing]] = {}
        self._to_free: dict[str, list[str]] = collections.defaultdict(list)
        self._is_freeing = False
        self._timers: dict[str, loops.Timer] = {}
        # Called after each dispatch, when queues may have become shorter.
        self.on_dispatched: Callable[[], None] | None = None
        # Resolves once the listed endpoints may be used.
        self.confirmed: Callable[[], Future] = _confirm_at_once
        # Returns whether this host has asked the others for what they know. A
        # store that was restored may lack evacuations.
        self.may_serve: Callable[[], bool] = _may_serve_at_once
        self._held_pools: set[str] = set()
        # Returns whether a pool has endpoints, all evacuated.
        self.is_pool_evacuated: Callable[[str], bool] = _is_not_evacuated

    def set_pools(self, pools: dict[str, routing_table.Pool]) -> None:
        """Applies the pools of a configuration."""
        for name, pool in pools.items():
            if pool.worker_profile is None:
                continue
            queue = self._queues.get(name)
            if queue is None:
                queue = piece_queue.PieceQueue(
                    name, pool.worker_profile, self._regions
                )
                queue.set_endpoints(self._listed.get(name, {}))
                self._queues[name] = queue
            queue.profile = pool.worker_profile

    def set_endpoints(
        self, listed: dict[str, dict[str, endpoint_list.Listing]]
    ) -> None:
        """Replaces the endpoints that may get work, by pool."""
        self._listed = listed
        for name, queue in self._queues.items():
            queue.set_endpoints(listed.get(name, {}))
            self.dispatch(name)

    def queue(self, pool: str) -> piece_queue.PieceQueue | None:
        """Returns the queue of a pool; None if the pool makes no pieces."""
        return self._queues.get(pool)

    def submit(self, job: pieces.Job) -> pieces.PendingJob:
        """Queues a job; its future gets results or a `JobFailure`."""
        now = self.loop.now()
        pending = pieces.PendingJob(job, now)
        queue = self._queues.get(job.pool)
        workers = queue.allowed_workers(job.regions) if queue else []
        if not workers:
            pending.end(pieces.JobFailure(pieces.NO_ENDPOINT))
            return pending
        self._apply_closures(queue)
        next_call_at = min(worker.closed_until() for worker in workers)
        if max(now, next_call_at) + queue.call_s(1) > job.deadline_at:
            pending.end(pieces.JobFailure(pieces.PAST_DEADLINE))
            return pending
        self._budgets.earn(job.pool)
        queue.add(pending)
        pool = job.pool
        self.loop.call_at(job.deadline_at, lambda: self.dispatch(pool))
        self.dispatch(pool)
        return pending

    def cancel(self, pending: pieces.PendingJob) -> None:
        """Ends a job and frees its results."""
        if not pending.is_ended:
            completed = pending.completed()
            pending.end(pieces.JobFailure(pieces.FAILED))
            self.free(completed)

    def count_results(
        self, results: tuple[pieces.PieceResult, ...], result_bytes: int
    ) -> None:
        """Counts the memory of results that another host had made."""
        now = self.loop.now()
        for result in results:
            queue = self._queues.get(result.pool)
            worker = queue.find_worker(result.endpoint) if queue else None
            if worker is not None:
                until = now + queue.profile.result_ttl_s
                worker.add_result(result.handle, result_bytes, until)

    def free(self, results: list[pieces.PieceResult]) -> None:
        """Frees results that are no longer needed.

        A worker that limits its requests, asked for a pause, is avoided or is
        cold isn't asked to: its results expire.
        """
        now = self.loop.now()
        for result in results:
            queue = self._queues.get(result.pool)
            worker = queue.find_worker(result.endpoint) if queue else None
            if worker is not None and (
                self.limits.per_s(worker.run())
                or worker.closed_until() > now
                or self.cold.is_cold(worker.run(), now)
            ):
                continue
            self._to_free[result.address].append(result.handle)
            if worker is not None:
                worker.remove_result(result.handle)
        if self._to_free and not self._is_freeing:
            self._is_freeing = True
            self.loop.call_later(_FREE_PERIOD_S, self._send_frees)

    def _apply_closures(self, queue: piece_queue.PieceQueue) -> None:
        """Tells the workers of a queue which of them are avoided or cold."""
        now = self.loop.now()
        for worker in queue.workers.values():
            run = worker.run()
            wait_s = self.avoided.wait_s(run)
            worker.avoided_until = now + wait_s if wait_s else -math.inf
            worker.is_on_trial = self.avoided.trial_since(run) < math.inf
            worker.cold_until = self._cold_until(run)

    def _cold_until(self, run: endpoint_state.EndpointRun) -> float:
        now = self.loop.now()
        wait_s = self.cold.piece_wait_s(run, now)
        return now + wait_s if wait_s else -math.inf

    def pace(self, worker: piece_queue.Worker) -> None:
        """Delays the next call of a worker that limits its requests or is cold.

        Only the coordinator calls workers, so it needs no permits.
        """
        run = worker.run()
        self.cold.record_piece_send(run, self.loop.now())
        worker.cold_until = self._cold_until(run)
        per_s = self.limits.per_s(run)
        if per_s is not None:
            worker.paced_until = self.loop.now() + 1.0 / per_s

    def retry(
        self,
        queue: piece_queue.PieceQueue,
        batch: list[tuple[pieces.PendingJob, int]],
        is_error: bool,
    ) -> None:
        """Requeues the lost pieces of a call, within the retry budget.

        Args:
            queue: queue of the pool.
            batch: jobs with piece numbers.
            is_error: whether this counts as a failed call of each job.
        """
        for pending, numbers in _by_job(batch).items():
            missing = [n for n in numbers if pending.must_requeue(n)]
            if not missing:
                continue
            pending.errors += is_error
            if pending.errors > _MAX_ERRORS:
                completed = pending.completed()
                pending.end(pieces.JobFailure(pieces.FAILED))
                self.free(completed)
            elif self._budgets.spend(pending.job.pool, self.loop.now()):
                pending.queued_pieces += missing
                queue.add(pending)
            else:
                self._retry_later(queue, pending, missing)
        self.dispatch(queue.pool)

    def hedge(
        self,
        queue: piece_queue.PieceQueue,
        batch: list[tuple[pieces.PendingJob, int]],
    ) -> None:
        """Queues pieces of an overdue call again, if the budget allows."""
        for pending, numbers in _by_job(batch).items():
            wanted = [piece for piece in numbers if pending.can_requeue(piece)]
            if wanted and self._budgets.spend(
                pending.job.pool, self.loop.now()
            ):
                pending.queued_pieces += wanted
                queue.add(pending)
        self.dispatch(queue.pool)

    def _retry_later(
        self,
        queue: piece_queue.PieceQueue,
        pending: pieces.PendingJob,
        missing: list[int],
    ) -> None:
        """Retries once the budget may allow it, up to the job's deadline."""
        batch = [(pending, piece) for piece in missing]
        self.loop.call_later(
            _BUDGET_RETRY_S, lambda: self.retry(queue, batch, False)
        )

    def _send_frees(self) -> None:
        self._is_freeing = False
        to_free, self._to_free = self._to_free, collections.defaultdict(list)
        for address, handles in to_free.items():
            fut = self.client.call(self.wire.build_free(address, handles))
            fut.add_done_callback(
                lambda done, address=address: _log_free(address, done.result())
            )
        for pool in self._queues:
            self.dispatch(pool)

    def dispatch(self, pool: str) -> None:
        """Fails jobs past their deadline, then sends calls to free workers."""
        queue = self._queues[pool]
        now = self.loop.now()
        queue.forget_idle_workers(now)
        for pending in queue.expire(now):
            completed = pending.completed()
            state_log.log_decision(
                "pieces out of time",
                is_problem=True,
                request_id=pending.job.request_id,
                stage=pending.job.stage,
                pool=pool,
                made=len(completed),
                waited_ms=round((now - pending.queued_at) * 1000),
                late_ms=round((now - pending.job.target_at) * 1000),
                waiting=queue.backlog(),
            )
            pending.end(pieces.JobFailure(pieces.PAST_DEADLINE))
            self.free(completed)
        self._refuse_without_worker(pool, queue)
        confirmed = self.confirmed()
        if not confirmed.done():
            self._hold(pool, confirmed)
            return
        if not self.may_serve():
            if queue.backlog():
                self._dispatch_later(pool, queue, now)
            return
        self._apply_closures(queue)
        while True:
            batch = queue.next_batch(now)
            if batch is None:
                break
            piece_calls.PieceCall(self, queue, batch)
        self._break_deadlock(pool, queue, now)
        if queue.backlog():
            self._dispatch_later(pool, queue, now)
        if self.on_dispatched is not None:
            self.on_dispatched()

    def _refuse_without_worker(
        self, pool: str, queue: piece_queue.PieceQueue
    ) -> None:
        """Fails jobs that wait for evacuated pools, or regions without worker.

        Others wait for a worker of the pool to be listed.
        """
        is_evacuated = self.is_pool_evacuated(pool)
        for pending in queue.waiting_jobs():
            regions = pending.job.regions
            if is_evacuated:
                reason = "all endpoints of the pool are evacuated"
            elif regions is not None and not queue.allowed_workers(regions):
                reason = "the allowed regions have no endpoint of the pool left"
            else:
                continue
            # Calls that run may still make these pieces.
            pending.drop_hedges()
            if not pending.queued_pieces:
                continue
            completed = pending.completed()
            state_log.log_decision(
                "pieces refused",
                is_problem=True,
                request_id=pending.job.request_id,
                stage=pending.job.stage,
                pool=pool,
                made=len(completed),
                reason=reason,
            )
            pending.end(pieces.JobFailure(pieces.NO_ENDPOINT))
            self.free(completed)

    def _hold(self, pool: str, confirmed: Future) -> None:
        """Dispatches once the endpoints are confirmed."""
        if pool in self._held_pools:
            return
        self._held_pools.add(pool)

        def release(done: Future) -> None:
            self._held_pools.remove(pool)
            self.dispatch(pool)

        confirmed.add_done_callback(release)

    def _break_deadlock(
        self, pool: str, queue: piece_queue.PieceQueue, now: float
    ) -> None:
        results = queue.break_deadlock(now)
        if results:
            state_log.log_decision(
                "results given up for room",
                is_problem=True,
                pool=pool,
                results=len(results),
                waiting=queue.backlog(),
            )
            self.free(results)

    def _dispatch_later(
        self, pool: str, queue: piece_queue.PieceQueue, now: float
    ) -> None:
        """Dispatches when a backoff ends, or after the dispatch period."""
        backoff_ends = [
            worker.unavailable_until()
            for worker in queue.workers.values()
            if worker.unavailable_until() > now
        ]
        due_at = min([*backoff_ends, now + _DISPATCH_PERIOD_S])
        timer = self._timers.get(pool)
        if timer is not None:
            timer.cancel()
        self._timers[pool] = self.loop.call_at(
            due_at, lambda: self.dispatch(pool)
        )


def _is_not_evacuated(pool: str) -> bool:
    return False


def _may_serve_at_once() -> bool:
    return True


def _confirm_at_once() -> Future:
    return tasks.done(None)


def _log_free(address: str, result: exchanges.TransferResult) -> None:
    """Logs a failure to free results; their worker lets them expire."""
    if isinstance(result, exchanges.TransferFailure):
        reason = f"{result.kind.value}: {result.detail}"
    elif result.status != 200:
        reason = f"status {result.status}"
    else:
        return
    state_log.log_decision(
        "results not freed", is_problem=True, address=address, reason=reason
    )


def _by_job(
    batch: list[tuple[pieces.PendingJob, int]],
) -> dict[pieces.PendingJob, list[int]]:
    by_job: dict[pieces.PendingJob, list[int]] = {}
    for pending, piece in batch:
        by_job.setdefault(pending, []).append(piece)
    return by_job
