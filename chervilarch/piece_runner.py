"""Controller of stage work: sends calls for the queues of all pools."""

import collections
from collections.abc import Callable

from chervilarch import (
    budgets,
    endpoint_list,
    exchanges,
    outgoing,
    piece_calls,
    piece_queue,
    pieces,
    routed,
    routing_table,
    state_log,
    telemetry,
)
from chervilarch import loop as loops

# A job fails after so many failed calls.
_MAX_ERRORS = 3
# Pieces whose repeat the budget denies are looked at again after this time.
_BUDGET_WAIT_S = 0.1
# Results are freed in rounds, so that one call frees several.
_RELEASE_PERIOD_S = 0.03
# Room and slower endpoints are looked at again this often while work waits.
_LOOK_AGAIN_S = 0.05


class PieceRunner:
    """Makes the pieces of jobs, batched over requests."""

    def __init__(
        self,
        loop: loops.Loop,
        client: outgoing.Client,
        wire: routed.Wire,
        retry_budgets: budgets.PoolBudgets,
        meters: telemetry.Telemetry,
        on_endpoint_gone: Callable[[str, int], None],
    ):
        self.loop = loop
        self.client = client
        self.wire = wire
        self._budgets = retry_budgets
        self.meters = meters
        self.on_endpoint_gone = on_endpoint_gone
        self._queues: dict[str, piece_queue.PieceQueue] = {}
        self._listed: dict[str, dict[str, endpoint_list.Listing]] = {}
        self._to_free: dict[str, list[str]] = collections.defaultdict(list)
        self._is_freeing = False
        self._timers: dict[str, loops.Timer] = {}
        # Called when queues may have become shorter.
        self.on_dispatched: Callable[[], None] | None = None

    def set_pools(self, pools: dict[str, routing_table.Pool]) -> None:
        """Takes the pools of a configuration."""
        for name, pool in pools.items():
            if pool.pieces is None:
                continue
            queue = self._queues.get(name)
            if queue is None:
                queue = piece_queue.PieceQueue(name, pool.pieces)
                queue.set_endpoints(self._listed.get(name, {}))
                self._queues[name] = queue
            queue.limits = pool.pieces

    def set_endpoints(
        self, listed: dict[str, dict[str, endpoint_list.Listing]]
    ) -> None:
        """Takes the endpoints that may get work, by pool."""
        self._listed = listed
        for name, queue in self._queues.items():
            queue.set_endpoints(listed.get(name, {}))
            self.dispatch(name)

    def queue(self, pool: str) -> piece_queue.PieceQueue | None:
        """Returns the queue of a pool."""
        return self._queues.get(pool)

    def submit(self, job: pieces.Job) -> pieces.PendingJob:
        """Starts a job; its future gets results or a `PieceFailure`."""
        now = self.loop.now()
        pending = pieces.PendingJob(job, now)
        queue = self._queues.get(job.pool)
        if queue is None or not queue.workers:
            pending.end(pieces.PieceFailure(pieces.NO_ENDPOINT))
            return pending
        if now + queue.call_s(1) > job.deadline_at:
            pending.end(pieces.PieceFailure(pieces.LATE))
            return pending
        self._budgets.earn(job.pool)
        queue.add(pending)
        self.loop.call_at(job.deadline_at, lambda: self.dispatch(job.pool))
        self.dispatch(job.pool)
        return pending

    def cancel(self, pending: pieces.PendingJob) -> None:
        """Makes no more pieces of a job and frees its results."""
        if not pending.is_ended:
            made = pending.made()
            pending.end(pieces.PieceFailure(pieces.FAILED))
            self.free(made)

    def adopt(
        self, results: tuple[pieces.PieceResult, ...], result_bytes: int
    ) -> None:
        """Counts the room of results that another host has had made."""
        now = self.loop.now()
        for result in results:
            queue = self._queues.get(result.pool)
            worker = queue.workers.get(result.endpoint) if queue else None
            if worker is not None:
                until = now + queue.limits.kept_s
                worker.keep(result.handle, result_bytes, until)

    def free(self, results: list[pieces.PieceResult]) -> None:
        """Frees results that nobody needs any more."""
        for result in results:
            self._to_free[result.address].append(result.handle)
            queue = self._queues.get(result.pool)
            worker = queue.workers.get(result.endpoint) if queue else None
            if worker is not None:
                worker.release(result.handle)
        if results and not self._is_freeing:
            self._is_freeing = True
            self.loop.call_later(_RELEASE_PERIOD_S, self._send_releases)

    def make_again(
        self,
        queue: piece_queue.PieceQueue,
        batch: list[tuple[pieces.PendingJob, int]],
        is_error: bool,
    ) -> None:
        """Queues pieces again that no call will bring, within the budget."""
        for pending, again in _by_job(batch).items():
            missing = [piece for piece in again if pending.is_missing(piece)]
            if not missing:
                continue
            pending.errors += is_error
            if pending.errors > _MAX_ERRORS:
                made = pending.made()
                pending.end(pieces.PieceFailure(pieces.FAILED))
                self.free(made)
            elif self._budgets.spend(pending.job.pool, self.loop.now()):
                pending.todo += missing
                queue.add(pending)
            else:
                self._try_later(queue, pending, missing)
        self.dispatch(queue.pool)

    def make_beside(
        self,
        queue: piece_queue.PieceQueue,
        batch: list[tuple[pieces.PendingJob, int]],
    ) -> None:
        """Queues pieces of an overdue call as well, if the budget allows."""
        for pending, again in _by_job(batch).items():
            wanted = [piece for piece in again if pending.is_wanted(piece)]
            if wanted and self._budgets.spend(
                pending.job.pool, self.loop.now()
            ):
                pending.todo += wanted
                queue.add(pending)
        self.dispatch(queue.pool)

    def _try_later(
        self,
        queue: piece_queue.PieceQueue,
        pending: pieces.PendingJob,
        missing: list[int],
    ) -> None:
        """Waits for the budget; the job's deadline ends that."""
        batch = [(pending, piece) for piece in missing]
        self.loop.call_later(
            _BUDGET_WAIT_S, lambda: self.make_again(queue, batch, False)
        )

    def _send_releases(self) -> None:
        self._is_freeing = False
        to_free, self._to_free = self._to_free, collections.defaultdict(list)
        for address, handles in to_free.items():
            fut = self.client.call(self.wire.build_release(address, handles))
            fut.add_done_callback(
                lambda done, address=address: _log_release(
                    address, done.result()
                )
            )
        for pool in self._queues:
            self.dispatch(pool)

    def dispatch(self, pool: str) -> None:
        """Sends calls as long as endpoints are free."""
        queue = self._queues[pool]
        now = self.loop.now()
        for pending in queue.expire(now):
            made = pending.made()
            state_log.log_decision(
                "pieces out of time",
                is_problem=True,
                request_id=pending.job.request_id,
                stage=pending.job.stage,
                pool=pool,
                made=len(made),
                waited_ms=round((now - pending.queued_at) * 1000),
                late_ms=round((now - pending.job.aim_at) * 1000),
                waiting=queue.backlog(),
            )
            pending.end(pieces.PieceFailure(pieces.LATE))
            self.free(made)
        while True:
            batch = queue.next_batch(now)
            if batch is None:
                break
            piece_calls.PieceCall(self, queue, batch)
        self._free_stuck(pool, queue, now)
        if queue.backlog():
            self._pump_later(pool, queue, now)
        if self.on_dispatched is not None:
            self.on_dispatched()

    def _free_stuck(
        self, pool: str, queue: piece_queue.PieceQueue, now: float
    ) -> None:
        results = queue.take_victim(now)
        if results:
            state_log.log_decision(
                "results given up for room",
                is_problem=True,
                pool=pool,
                results=len(results),
                waiting=queue.backlog(),
            )
            self.free(results)

    def _pump_later(
        self, pool: str, queue: piece_queue.PieceQueue, now: float
    ) -> None:
        """Looks again when an endpoint ends its rest or frees its room."""
        resting = [
            worker.resting_until
            for worker in queue.workers.values()
            if worker.resting_until > now
        ]
        due_at = min([*resting, now + _LOOK_AGAIN_S])
        timer = self._timers.get(pool)
        if timer is not None:
            timer.cancel()
        self._timers[pool] = self.loop.call_at(
            due_at, lambda: self.dispatch(pool)
        )


def _log_release(address: str, result: exchanges.TransferResult) -> None:
    """Logs results that weren't freed; their maker drops them in time."""
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
