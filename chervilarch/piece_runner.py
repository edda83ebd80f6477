"""Controller of stage work: sends calls for the queues of all pools."""

import collections
from collections.abc import Callable

from chervilarch import (
    budgets,
    endpoint_list,
    exchanges,
    outgoing,
    pieces,
    route_book,
    routed,
    state_log,
    telemetry,
)
from chervilarch import loop as loops

# A call that takes this many times its expected time, and this much more, is
# overdue: its pieces are made elsewhere as well.
_OVERDUE_RATIO = 1.8
_OVERDUE_S = 0.06
# A call is given up at this many times its expected time, and this much more;
# an endpoint that hangs must not seem ever slower, so slowness is bounded.
_GIVE_UP_RATIO = 4.0
_GIVE_UP_S = 0.5
_MAX_SLOWNESS = 3.0
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
        self._loop = loop
        self._client = client
        self._wire = wire
        self._budgets = retry_budgets
        self._meters = meters
        self._on_endpoint_gone = on_endpoint_gone
        self._queues: dict[str, pieces.PieceQueue] = {}
        self._listed: dict[str, dict[str, endpoint_list.Listing]] = {}
        self._to_free: dict[str, list[str]] = collections.defaultdict(list)
        self._is_freeing = False
        self._timers: dict[str, loops.Timer] = {}
        # Called when queues may have become shorter.
        self.on_pumped: Callable[[], None] | None = None

    def set_pools(self, pools: dict[str, route_book.Pool]) -> None:
        """Takes the pools of a configuration."""
        for name, pool in pools.items():
            if pool.pieces is None:
                continue
            queue = self._queues.get(name)
            if queue is None:
                queue = pieces.PieceQueue(name, pool.pieces)
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
            self._pump(name)

    def queue(self, pool: str) -> pieces.PieceQueue | None:
        """Returns the queue of a pool."""
        return self._queues.get(pool)

    def submit(self, job: pieces.Job) -> pieces.PendingJob:
        """Starts a job; its future gets results or a `PieceFailure`."""
        pending = pieces.PendingJob(job)
        queue = self._queues.get(job.pool)
        now = self._loop.now()
        if queue is None or not queue.makers:
            pending.end(pieces.PieceFailure(pieces.NO_ENDPOINT))
            return pending
        if now + queue.call_s(1) > job.deadline_at:
            pending.end(pieces.PieceFailure(pieces.LATE))
            return pending
        self._budgets.earn(job.pool)
        queue.add(pending)
        self._loop.call_at(job.deadline_at, lambda: self._pump(job.pool))
        self._pump(job.pool)
        return pending

    def cancel(self, pending: pieces.PendingJob) -> None:
        """Makes no more pieces of a job and frees its results."""
        if not pending.is_ended:
            made = pending.made()
            pending.end(pieces.PieceFailure(pieces.FAILED))
            self.free(made)

    def free(self, results: list[pieces.PieceResult]) -> None:
        """Frees results that nobody needs any more."""
        for result in results:
            self._to_free[result.address].append(result.handle)
            queue = self._queues.get(result.pool)
            maker = queue.makers.get(result.endpoint) if queue else None
            if maker is not None:
                maker.release(result.handle)
        if results and not self._is_freeing:
            self._is_freeing = True
            self._loop.call_later(_RELEASE_PERIOD_S, self._send_releases)

    def make_again(
        self,
        queue: pieces.PieceQueue,
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
            elif self._budgets.spend(pending.job.pool, self._loop.now()):
                pending.todo += missing
                queue.add(pending)
            else:
                self._try_later(queue, pending, missing)
        self._pump(queue.pool)

    def make_beside(
        self,
        queue: pieces.PieceQueue,
        batch: list[tuple[pieces.PendingJob, int]],
    ) -> None:
        """Queues pieces of an overdue call as well, if the budget allows."""
        for pending, again in _by_job(batch).items():
            wanted = [piece for piece in again if pending.is_wanted(piece)]
            if wanted and self._budgets.spend(
                pending.job.pool, self._loop.now()
            ):
                pending.todo += wanted
                queue.add(pending)
        self._pump(queue.pool)

    def _try_later(
        self,
        queue: pieces.PieceQueue,
        pending: pieces.PendingJob,
        missing: list[int],
    ) -> None:
        """Waits for the budget; the job's deadline ends that."""
        batch = [(pending, piece) for piece in missing]
        self._loop.call_later(
            _BUDGET_WAIT_S, lambda: self.make_again(queue, batch, False)
        )

    def _send_releases(self) -> None:
        self._is_freeing = False
        to_free, self._to_free = self._to_free, collections.defaultdict(list)
        for address, handles in to_free.items():
            fut = self._client.call(self._wire.build_release(address, handles))
            fut.add_done_callback(
                lambda done, address=address: _log_release(
                    address, done.result()
                )
            )
        for pool in self._queues:
            self._pump(pool)

    def _pump(self, pool: str) -> None:
        """Sends calls as long as endpoints are free."""
        queue = self._queues[pool]
        now = self._loop.now()
        for pending in queue.expire(now):
            made = pending.made()
            pending.end(pieces.PieceFailure(pieces.LATE))
            self.free(made)
        while True:
            batch = queue.next_batch(now)
            if batch is None:
                break
            _Call(self, queue, batch)
        self._free_stuck(pool, queue, now)
        if queue.backlog():
            self._pump_later(pool, queue, now)
        if self.on_pumped is not None:
            self.on_pumped()

    def _free_stuck(
        self, pool: str, queue: pieces.PieceQueue, now: float
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
        self, pool: str, queue: pieces.PieceQueue, now: float
    ) -> None:
        """Looks again when an endpoint ends its rest or frees its room."""
        resting = [
            maker.resting_until
            for maker in queue.makers.values()
            if maker.resting_until > now
        ]
        due_at = min([*resting, now + _LOOK_AGAIN_S])
        timer = self._timers.get(pool)
        if timer is not None:
            timer.cancel()
        self._timers[pool] = self._loop.call_at(
            due_at, lambda: self._pump(pool)
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


class _Call:
    """One call for pieces."""

    def __init__(
        self,
        runner: PieceRunner,
        queue: pieces.PieceQueue,
        batch: pieces.Batch,
    ):
        self._runner = runner
        self._queue = queue
        self._batch = batch
        self._loop = runner._loop
        self._sent_at = self._loop.now()
        self._pool = batch.pieces[0][0].job.pool
        slowness = min(_MAX_SLOWNESS, batch.maker.slowness)
        timeout_s = _GIVE_UP_RATIO * slowness * batch.nominal_s + _GIVE_UP_S
        exchange = runner._wire.build_piece_call(
            batch.maker.listing,
            [(pending.job, piece) for pending, piece in batch.pieces],
            self._sent_at,
            timeout_s,
        )
        state_log.log_decision(
            "pieces sent",
            pool=self._pool,
            endpoint=batch.maker.listing.entry.name,
            requests=sorted({p.job.request_id for p, _ in batch.pieces}),
            pieces=len(batch.pieces),
            expected_ms=round(batch.expected_s * 1000),
            waiting=queue.backlog(),
        )
        runner._meters.observe_batch(self._pool, len(batch.pieces))
        self._overdue = self._loop.call_later(
            _OVERDUE_RATIO * batch.expected_s + _OVERDUE_S, self._note_overdue
        )
        runner._client.start(exchange, self._on_done)

    def _note_overdue(self) -> None:
        """Has the pieces made elsewhere; this call goes on."""
        maker = self._batch.maker
        elapsed_s = self._loop.now() - self._sent_at
        maker.slowness = max(maker.slowness, elapsed_s / self._batch.nominal_s)
        state_log.log_decision(
            "pieces overdue",
            is_problem=True,
            pool=self._pool,
            endpoint=maker.listing.entry.name,
            elapsed_ms=round(elapsed_s * 1000),
        )
        self._runner.make_beside(self._queue, self._batch.pieces)

    def _on_done(self, result: exchanges.TransferResult) -> None:
        self._overdue.cancel()
        self._queue.finish(self._batch)
        replies = self._read(result)
        if replies is None:
            self._runner.make_again(self._queue, self._batch.pieces, True)
        else:
            self._take(replies)
        self._runner._pump(self._pool)

    def _read(
        self, result: exchanges.TransferResult
    ) -> list[routed.PieceReply] | None:
        """Returns what the reply says of each piece; None if nothing."""
        now = self._loop.now()
        maker = self._batch.maker
        entry = maker.listing.entry
        if isinstance(result, exchanges.Reply):
            elapsed_s = now - self._sent_at
            head = self._runner._wire.read_head(
                result.status, list(result.headers.items())
            )
            if head.is_other_endpoint:
                self._runner._on_endpoint_gone(entry.name, entry.incarnation)
                reason = "another endpoint has the address"
            elif head.did_not_run:
                self._queue.rest_full(maker, now)
                reason = "full"
            elif result.status == 200:
                replies = self._runner._wire.read_pieces(
                    result.body, len(self._batch.pieces)
                )
                if replies is not None:
                    # Pieces that weren't made take no time.
                    if all(reply.handle for reply in replies):
                        maker.note_time(elapsed_s / self._batch.nominal_s)
                    self._runner._meters.observe_stage(self._pool, elapsed_s)
                    return replies
                reason = "unreadable reply"
                maker.note_failure(now)
            else:
                reason = f"status {result.status}"
                maker.note_failure(now)
        else:
            reason = f"{result.kind.value}: {result.detail}"
            maker.note_failure(now)
        state_log.log_decision(
            "pieces failed",
            is_problem=True,
            pool=self._pool,
            endpoint=entry.name,
            reason=reason,
        )
        return None

    def _take(self, replies: list[routed.PieceReply]) -> None:
        entry = self._batch.maker.listing.entry
        unused = []
        without_room: set[pieces.PendingJob] = set()
        again: list[tuple[pieces.PendingJob, int]] = []
        is_error = False
        now = self._loop.now()
        for (pending, piece), reply in zip(
            self._batch.pieces, replies, strict=True
        ):
            if reply.handle:
                result = pieces.PieceResult(
                    reply.handle,
                    entry.name,
                    entry.address,
                    entry.data_centre,
                    self._pool,
                )
                self._keep(pending, reply.handle, now)
                if not pending.take_result(piece, result):
                    unused.append(result)
            elif reply.failure in (pieces.LATE, pieces.INPUT_GONE):
                if not pending.is_ended and pending.results[piece] is None:
                    made = pending.made()
                    pending.end(pieces.PieceFailure(reply.failure))
                    self._runner.free(made)
            else:
                state_log.log_decision(
                    "piece not made",
                    is_problem=True,
                    request_id=pending.job.request_id,
                    pool=self._pool,
                    endpoint=entry.name,
                    reason="no room" if reply.is_full else reply.failure,
                    room_used=self._batch.maker.used_bytes(now),
                    room=self._queue.limits.room_bytes,
                )
                if reply.is_full:
                    without_room.add(pending)
                again.append((pending, piece))
                is_error |= not reply.is_full
        for pending in without_room:
            pending.note_no_room()
        if without_room:
            self._queue.rest_full(self._batch.maker, now)
        self._runner.free(unused)
        self._runner.make_again(self._queue, again, is_error)

    def _keep(
        self, pending: pieces.PendingJob, handle: str, now: float
    ) -> None:
        """Counts a result's room until it is freed or expires."""
        until = now + self._queue.limits.kept_s
        size = pending.result_bytes()
        self._batch.maker.keep(handle, size, until)
