"""One call for pieces, from its sending to what it taught."""

from chervilarch import (
    exchanges,
    piece_queue,
    piece_runner,
    pieces,
    routed,
    state_log,
)

# A call that takes this many times its expected time, and this much more, is
# overdue: its pieces are made elsewhere as well.
_OVERDUE_RATIO = 1.8
_OVERDUE_S = 0.06
# A call is given up at this many times its expected time, and this much more;
# an endpoint that hangs must not seem ever slower, so slowness is bounded.
_GIVE_UP_RATIO = 4.0
_GIVE_UP_S = 0.5
_MAX_SLOWNESS = 3.0
_OK = 200


class PieceCall:
    """One call for pieces; it is sent at once."""

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
        timeout_s = _GIVE_UP_RATIO * slowness * batch.nominal_s + _GIVE_UP_S
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
        runner.meters.observe_batch(self._pool, len(batch.pieces))
        self._overdue = self._loop.call_later(
            _OVERDUE_RATIO * batch.expected_s + _OVERDUE_S, self._note_overdue
        )
        runner.client.start(exchange, self._on_done)

    def _note_overdue(self) -> None:
        """Has the pieces made elsewhere; this call goes on."""
        worker = self._batch.worker
        elapsed_s = self._loop.now() - self._sent_at
        worker.note_overdue(elapsed_s / self._batch.nominal_s)
        state_log.log_decision(
            "pieces overdue",
            is_problem=True,
            pool=self._pool,
            endpoint=worker.listing.entry.name,
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
        self._runner.dispatch(self._pool)

    def _read(
        self, result: exchanges.TransferResult
    ) -> list[routed.PieceReply] | None:
        """Returns what the reply says of each piece; None if nothing."""
        replies, reason = None, ""
        if isinstance(result, exchanges.TransferFailure):
            reason = f"{result.kind.value}: {result.detail}"
        elif result.status != _OK:
            reason = f"status {result.status}"
        else:
            count = len(self._batch.pieces)
            replies = self._runner.wire.read_pieces(result.body, count)
            reason = "unreadable reply"
        if replies is None:
            self._note_failure(result, reason)
            return None
        elapsed_s = self._loop.now() - self._sent_at
        # Pieces that weren't made take no time.
        if all(reply.handle for reply in replies):
            self._batch.worker.note_time(elapsed_s / self._batch.nominal_s)
        self._runner.meters.observe_stage(self._pool, elapsed_s)
        return replies

    def _note_failure(
        self, result: exchanges.TransferResult, reason: str
    ) -> None:
        """Learns from a call that made nothing."""
        now = self._loop.now()
        worker = self._batch.worker
        entry = worker.listing.entry
        head = None
        if isinstance(result, exchanges.Reply):
            headers = list(result.headers.items())
            head = self._runner.wire.read_head(result.status, headers)
        if head is not None and head.is_other_endpoint:
            self._runner.on_endpoint_gone(entry.name, entry.incarnation)
        elif head is not None and head.did_not_run:
            self._queue.rest_full(worker, now)
        else:
            worker.note_failure(now)
        state_log.log_decision(
            "pieces failed",
            is_problem=True,
            pool=self._pool,
            endpoint=entry.name,
            reason=reason,
        )

    def _take(self, replies: list[routed.PieceReply]) -> None:
        entry = self._batch.worker.listing.entry
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
                    room_used=self._batch.worker.used_bytes(now),
                    room=self._queue.limits.room_bytes,
                )
                if reply.is_full:
                    without_room.add(pending)
                again.append((pending, piece))
                is_error |= not reply.is_full
        for pending in without_room:
            pending.note_no_room()
        if without_room:
            self._queue.rest_full(self._batch.worker, now)
        self._runner.free(unused)
        self._runner.make_again(self._queue, again, is_error)

    def _keep(
        self, pending: pieces.PendingJob, handle: str, now: float
    ) -> None:
        """Counts a result's room until it is freed or expires."""
        until = now + self._queue.limits.kept_s
        size = pending.result_bytes()
        self._batch.worker.keep(handle, size, until)
