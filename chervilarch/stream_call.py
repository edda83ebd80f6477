"""The final call of a request whose answer is a stream of events.

Only whole events are passed on, so that a stream that breaks can go on at
another endpoint after the last one.
"""

from chervilarch import (
    attempts,
    exchanges,
    final_call,
    outcomes,
    placement,
    stage_inputs,
    state_log,
    tasks,
)
from chervilarch import routed_context as contexts
from chervilarch.inbound import WRITE_HIGH_BYTES

# A stream without its first event for so many times its expected time, and
# this much longer, is taken to be stuck, if it can go on elsewhere.
_FIRST_EVENT_RATIO = 4.0
_FIRST_EVENT_S = 0.5
# Pauses between events of this many times the route's objective are taken to
# mean that the endpoint has stopped.
_GAP_RATIO = 2.0
_LEAST_GAP_S = 0.8
_EVENT_END = b"\n\n"


class EventSplitter:
    """Cuts a stream's bytes after whole events and keeps the last id."""

    def __init__(self) -> None:
        self._rest = b""
        self.last_id = ""
        self.events = 0

    def feed(self, chunk: bytes) -> bytes:
        """Returns the bytes of the events that a chunk completes."""
        data = self._rest + chunk
        end = data.rfind(_EVENT_END)
        if end < 0:
            self._rest = data
            return b""
        end += len(_EVENT_END)
        whole, self._rest = data[:end], data[end:]
        for line in whole.split(b"\n"):
            if line.startswith(b"id:"):
                self.last_id = line[3:].strip().decode("latin-1")
                self.events += 1
        return whole

    def drop_rest(self) -> bool:
        """Forgets an event that isn't whole; tells whether there was one."""
        had_rest, self._rest = bool(self._rest.strip()), b""
        return had_rest


class _Data:
    """A part of the reply's body."""

    def __init__(self, chunk: bytes):
        self.chunk = chunk


class StreamCall:
    """Sends a request and passes on its events."""

    def __init__(
        self, ctx: contexts.RoutedContext, inputs: stage_inputs.StageInputs
    ):
        self._ctx = ctx
        self._inputs = inputs
        self._pool = ctx.req.route.pool_for(ctx.req.id)
        self._tried: set[str] = set()
        self._splitter = EventSplitter()
        self._splitter.last_id = ctx.req.resume_after
        self._has_event = False

    def run(self) -> tasks.Steps[outcomes.Outcome]:
        """Returns an `Answer` once the stream is whole, or a failure."""
        ctx = self._ctx
        ctx.ctrl.retry_budgets.earn(self._pool)
        last: attempts.Failure | None = None
        while True:
            lease = ctx.ctrl.placement.pick(self._need(), self._tried)
            if lease is None:
                break
            judged = yield from self._attempt(lease)
            if isinstance(judged, final_call.Success):
                return outcomes.Answer(judged)
            last = judged
            self._splitter.drop_rest()
            if not final_call.may_send_again(ctx, self._pool):
                break
            failed = yield from self._make_inputs_again(judged)
            if failed is not None:
                return failed
        return final_call.failure(ctx, last)

    def _need(self) -> placement.Requirements:
        prompt = self._ctx.req.prompt
        return placement.Requirements(
            self._pool,
            is_prompt=self._ctx.req.route.is_prompt,
            shared=prompt.shared_name(),
            shared_tokens=prompt.shared_tokens(),
            own_tokens=prompt.own_tokens(),
            near=self._inputs.near(),
            advised=self._inputs.engine,
            finish_by=self._ctx.req.deadline_at,
        )

    def _make_inputs_again(
        self, judged: attempts.Failure
    ) -> tasks.Steps[outcomes.Outcome | None]:
        """Runs the stages again if their results may be gone."""
        if not self._ctx.req.route.stages:
            return None
        is_gone = judged.kind is attempts.FailureCause.INPUT_GONE
        if not self._has_event and not is_gone:
            return None
        self._inputs.free()
        return (yield from self._inputs.make(self._has_event))

    def _attempt(
        self, lease: placement.Lease
    ) -> tasks.Steps["final_call.Success | attempts.Failure"]:
        ctx = self._ctx
        self._tried.add(lease.listing.entry.name)
        ctx.req.sends += 1
        exchange = ctx.ctrl.wire.build_call(
            ctx.req,
            lease.listing,
            ctx.left_s() - final_call.RETURN_S,
            self._inputs.handles(),
            self._splitter.last_id,
        )
        mail = tasks.Mailbox()
        transfer = ctx.ctrl.client.start(
            exchange, mail.put, lambda chunk: mail.put(_Data(chunk))
        )
        final_call.log_send(ctx, lease)
        judged: final_call.Success | attempts.Failure = attempts.Failure(
            attempts.FailureCause.LOST, "the caller left"
        )
        ended = False
        try:
            judged = yield from self._pass_on(lease, transfer, mail)
            ended = True
        finally:
            transfer.cancel()
            if not ended:
                ctx.ctrl.placement.abandon(lease)
        final_call.settle(ctx, lease, judged)
        return judged

    def _pass_on(
        self, lease: placement.Lease, transfer, mail: tasks.Mailbox
    ) -> tasks.Steps["final_call.Success | attempts.Failure"]:
        """Passes events on until the stream ends."""
        ctx = self._ctx
        is_first = True
        while True:
            until = self._patience_until(lease, is_first)
            got = yield from tasks.wait(ctx.ctrl.loop, mail.ready(), until)
            if isinstance(got, tasks.TimedOut):
                return attempts.Failure(
                    attempts.FailureCause.LATE, "no event in time"
                )
            item = mail.take()
            if not isinstance(item, _Data):
                return self._judge_end(transfer, item)
            if is_first:
                head = ctx.ctrl.wire.read_head(
                    transfer.status, transfer.headers
                )
                judged = final_call.classify(
                    head, transfer.reply(0.0), ctx.req.id
                )
                if isinstance(judged, attempts.Failure):
                    return judged
            whole = self._splitter.feed(item.chunk)
            if not whole:
                continue
            if is_first:
                is_first = False
                self._note_first_event(lease, head)
            ctx.reply.send_body(whole)
            if ctx.reply.buffered() > WRITE_HIGH_BYTES:
                transfer.pause()
                ctx.reply.on_writable(transfer.resume)

    def _patience_until(self, lease: placement.Lease, is_first: bool) -> float:
        """Returns when a stream counts as stuck, in monotonic seconds."""
        ctx = self._ctx
        if not self._may_move():
            return ctx.req.deadline_at
        if is_first:
            patience_s = _FIRST_EVENT_RATIO * lease.slot.expected_s
            patience_s = max(patience_s, ctx.req.route.objective_s / 2)
            since = lease.slot.started_at
            return min(since + patience_s + _FIRST_EVENT_S, ctx.req.deadline_at)
        gap_s = _GAP_RATIO * ctx.req.route.gap_objective_s
        return min(ctx.now() + max(_LEAST_GAP_S, gap_s), ctx.req.deadline_at)

    def _may_move(self) -> bool:
        req = self._ctx.req
        return req.may_repeat() and req.runs + 1 < req.route.max_attempts

    def _note_first_event(self, lease: placement.Lease, head) -> None:
        ctx = self._ctx
        ctx.ctrl.placement.note_first_event(lease)
        # The endpoint has fetched its inputs before it read the prompt.
        self._inputs.free()
        state_log.log_decision(
            "first event",
            request_id=ctx.req.id,
            endpoint=lease.listing.entry.name,
            attempt=ctx.req.sends,
            elapsed_ms=ctx.elapsed_ms(),
        )
        if not self._has_event:
            self._has_event = True
            ctx.note_first_answer()
            ctx.reply.send_head(head.status, head.headers)

    def _judge_end(
        self, transfer, result: exchanges.TransferResult
    ) -> "final_call.Success | attempts.Failure":
        ctx = self._ctx
        head = ctx.ctrl.wire.read_head(transfer.status, transfer.headers)
        judged = final_call.classify(head, result, ctx.req.id)
        if head.status == 409 and head.did_not_run:
            return attempts.Failure(
                attempts.FailureCause.INPUT_GONE, "a stage's result is gone"
            )
        if isinstance(judged, attempts.Failure):
            return judged
        if head.status == 200 and self._splitter.drop_rest():
            return attempts.Failure(
                attempts.FailureCause.LOST, "the stream ended within an event"
            )
        return judged
