"""One call for pieces: sends it and handles its reply."""

from chervilarch import (
    exchanges,
    piece_queue,
    piece_runner,
    pieces,
    routed,
    state_log,
)

# A call is overdue, and its pieces are hedged, after this multiple of its
# expected time plus this many seconds.
_OVERDUE_RATIO = 1.8
_OVERDUE_S = 0.06
# A call times out at this multiple of its expected time plus this many seconds.
# Slowness is bounded here: else each timeout of an endpoint that hangs would
# allow the next call more time. It isn't bounded for the overdue time, so above
# a slowness of about 7 a call times out before its pieces are hedged.
_TIMEOUT_RATIO = 4.0
_TIMEOUT_S = 0.5
_MAX_SLOWNESS = 3.0
_OK = 200


class PieceCall:
    """One call for pieces; creating it sends it."""

    def __init__(
        self,
        runner: "piece_runner.PieceRunner",
        queue: piece_queue.PieceQueue,
        batch: piece_queue.Batch,
    ):
        self._runner = runner
        self._queue = queue
        self._batch = batch
        self._loop = runner.loop
        self._sent_at = self._loop.now()
        self._pool = queue.pool
        slowness = min(_MAX_SLOWNESS, batch.worker.slowness)
        timeout_s = _TIMEOUT_RATIO * slowness * batch.nominal_s + _TIMEOUT_S
        exchange = runner.wire.build_piece_call(
            batch.worker.listing,
            [(pending.job, piece) for pending, piece in batch.pieces],
            self._sent_at,
            timeout_s,
        )
        state_log.log_decision(
            "pieces sent",
            pool=self._pool,
            endpoint=batch.worker.listing.entry.name,
            requests=sorted({p.job.request_id for p, _ in batch.pieces}),
            pieces=len(batch.pieces),
            expected_ms=round(batch.expected_s * 1000),
            waiting=queue.backlog(),
        )
        runner.meters.observe_batch_size(self._pool, len(batch.pieces))
        self._overdue = self._loop.call_later(
            _OVERDUE_RATIO * batch.expected_s + _OVERDUE_S, self._on_overdue
        )
        runner.pace(batch.worker)
        runner.client.start(exchange, self._on_done)

    def _on_overdue(self) -> None:
        """Hedges the pieces; this call goes on."""
        worker = self._batch.worker
        elapsed_s = self._loop.now() - self._sent_at
        worker.record_overdue(elapsed_s / self._batch.nominal_s)
        state_log.log_decision(
            "pieces overdue",
            is_problem=True,
            pool=self._pool,
            endpoint=worker.listing.entry.name,
            elapsed_ms=round(elapsed_s * 1000),
        )
        self._runner.hedge(self._queue, self._batch.pieces)

    def _on_done(self, result: exchanges.TransferResult) -> None:
        self._overdue.cancel()
        self._queue.finish(self._batch)
        replies = self._read_replies(result)
        if replies is None:
            self._runner.retry(self._queue, self._batch.pieces, True)
        else:
            self._record_replies(replies)
        self._runner.dispatch(self._pool)

    def _read_replies(
        self, result: exchanges.TransferResult
    ) -> list[routed.PieceReply] | None:
        """Returns the reply to each piece; None if the call failed."""
        replies, reason = None, ""
        self._record_head(result)
        if isinstance(result, exchanges.TransferFailure):
            reason = f"{result.kind.value}: {result.detail}"
        elif result.status != _OK:
            reason = f"status {result.status}"
        else:
            count = len(self._batch.pieces)
            replies = self._runner.wire.parse_pieces(result.body, count)
            reason = "unreadable reply"
        if replies is None:
            self._record_failure(result, reason)
            return None
        elapsed_s = self._loop.now() - self._sent_at
        # Pieces that weren't made take no time and would distort the average.
        if all(reply.handle for reply in replies):
            self._batch.worker.record_time(elapsed_s / self._batch.nominal_s)
        self._runner.meters.observe_stage_call(self._pool, elapsed_s)
        self._runner.avoided.record_answer(
            self._batch.worker.run(), self._sent_at
        )
        return replies

    def _parse_head(
        self, result: exchanges.TransferResult
    ) -> routed.ReplyHead | None:
        if isinstance(result, exchanges.TransferFailure):
            return None
        headers = list(result.headers.items())
        return self._runner.wire.parse_head(result.status, headers)

    def _record_head(self, result: exchanges.TransferResult) -> None:
        """Records what the worker says of its limit, shutdown and pause."""
        head = self._parse_head(result)
        if head is None or head.is_misdirected:
            return
        run = self._batch.worker.run()
        self._runner.limits.record_answer(run, head.limit_per_s)
        if head.is_leaving:
            self._runner.on_endpoint_leaving(run.key, run.incarnation)
        if head.pause_s is not None:
            worker = self._batch.worker
            until = self._loop.now() + head.pause_s
            worker.paced_until = max(worker.paced_until, until)

    def _record_failure(
        self, result: exchanges.TransferResult, reason: str
    ) -> None:
        """Records and logs a failed call."""
        now = self._loop.now()
        worker = self._batch.worker
        entry = worker.listing.entry
        head = self._parse_head(result)
        if head is not None and head.is_misdirected:
            self._runner.on_endpoint_removed(entry.name, entry.incarnation)
        elif head is not None and head.did_not_run:
            self._queue.back_off_full(worker, now)
        else:
            backoff_s = worker.record_failure(now)
            if (
                isinstance(result, exchanges.TransferFailure)
                and not result.sent
                and self._loop.resumed_at <= self._sent_at
            ):
                self._runner.cold.note_unreachable(
                    worker.run(), now + backoff_s
                )
        if (
            isinstance(result, exchanges.TransferFailure)
            and result.kind is exchanges.FailureKind.ENDLESS
        ):
            self._runner.avoided.record_endless(worker.run(), self._sent_at)
        state_log.log_decision(
            "pieces failed",
            is_problem=True,
            pool=self._pool,
            endpoint=entry.name,
            reason=reason,
        )

    def _record_replies(self, replies: list[routed.PieceReply]) -> None:
        entry = self._batch.worker.listing.entry
        duplicates = []
        out_of_memory: set[pieces.PendingJob] = set()
        to_retry: list[tuple[pieces.PendingJob, int]] = []
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
                self._hold_memory(pending, reply.handle, now)
                if not pending.add_result(piece, result):
                    duplicates.append(result)
            elif reply.failure in (pieces.PAST_DEADLINE, pieces.INPUT_GONE):
                if not pending.is_ended and pending.results[piece] is None:
                    completed = pending.completed()
                    pending.end(pieces.JobFailure(reply.failure))
                    self._runner.free(completed)
            else:
                state_log.log_decision(
                    "piece not made",
                    is_problem=True,
                    request_id=pending.job.request_id,
                    pool=self._pool,
                    endpoint=entry.name,
                    reason="no room" if reply.is_memory_full else reply.failure,
                    room_used=self._batch.worker.used_bytes(now),
                    room=self._queue.profile.result_memory_bytes,
                )
                if reply.is_memory_full:
                    out_of_memory.add(pending)
                to_retry.append((pending, piece))
                is_error |= not reply.is_memory_full
        for pending in out_of_memory:
            pending.raise_size_estimate()
        if out_of_memory:
            self._queue.back_off_full(self._batch.worker, now)
        self._runner.free(duplicates)
        self._runner.retry(self._queue, to_retry, is_error)

    def _hold_memory(
        self, pending: pieces.PendingJob, handle: str, now: float
    ) -> None:
        """Counts a result's memory until it is freed or expires."""
        until = now + self._queue.profile.result_ttl_s
        size = pending.result_bytes()
        self._batch.worker.add_result(handle, size, until)
