"""The final call of a request whose answer is a stream of events.

Only complete events are relayed, so that a broken stream can resume at another
endpoint after the last one.
"""

import functools
from collections.abc import Callable
from typing import NamedTuple

from chervilarch import (
    attempts,
    endpoint_lease,
    event_stream,
    exchanges,
    final_call,
    http_client,
    outcomes,
    placement,
    reachability,
    routed,
    stage_inputs,
    state_log,
    tasks,
)
from chervilarch import routed_context as contexts
from chervilarch.scheduling import version_history

# A stream that can resume elsewhere counts as stalled when its first event
# takes this many times its expected time, or half the route's objective if that
# is longer, plus this extra time.
_FIRST_EVENT_RATIO = 4.0
_FIRST_EVENT_EXTRA_S = 0.5
# It also counts as stalled when the pause between events exceeds this many
# times the route's gap objective, but at least the minimum.
_GAP_RATIO = 2.0
_MIN_GAP_S = 0.8
# A silent attempt that couldn't be replaced is tried to be replaced again after
# this time.
_REPLACE_AGAIN_S = 0.25
# An endpoint that is full declines at once. One that hasn't done so after this
# time has taken the request, and the silent one is cancelled; the users allow
# both to work on it for 0.4 s.
_TAKEOVER_S = 0.2


_OTHER_VERSION = attempts.Failure(
    attempts.FailureCause.FAILED,
    "the endpoint has started again with another version of its software",
)
_UNRECORDED = attempts.Failure(
    attempts.FailureCause.LATE,
    "the store didn't take the record of the stream's version in time",
)
_STALLED = attempts.Failure(attempts.FailureCause.LATE, "no event in time")


def _is_event_stream(head: routed.ReplyHead) -> bool:
    content_type = dict(head.headers).get("content-type", "").lower()
    return head.status == 200 and content_type.startswith("text/event-stream")


class _Chunk:
    """A chunk of a reply's body, as a mailbox item."""

    def __init__(self, chunk: bytes):
        self.chunk = chunk


class _Attempt(NamedTuple):
    """An attempt that was sent.

    Attributes:
        lease: lease of its endpoint.
        transfer: its HTTP transfer.
        mailbox: gets chunks of the reply, and then its result.
        sent_at: monotonic time in seconds.
    """

    lease: placement.Lease
    transfer: http_client.Transfer
    mailbox: tasks.Mailbox
    sent_at: float


class StreamCall:
    """Runs a final call and relays its events; resumes a broken stream."""

    def __init__(
        self, ctx: contexts.RoutedContext, inputs: stage_inputs.StageInputs
    ):
        self._ctx = ctx
        self._inputs = inputs
        # Results of stages that ran again, until an attempt is sent with them.
        # Those of the current attempt are kept, as it may still begin.
        self._next_inputs: stage_inputs.StageInputs | None = None
        # They may expire from this monotonic time on.
        self._next_inputs_until = float("inf")
        # Runs the stages again, even if the silent engine goes on meanwhile.
        self._rerun: tasks.Task | None = None
        # Whether the preparation of the next attempt waited for stages to run.
        self._has_rerun = False
        self._pool = ctx.req.route.pool_for(ctx.req.id)
        # Version of the engines' software that began the stream, None before.
        self._version = ctx.req.version
        # That of the engine if it began here.
        self._engine_version: version_history.EngineVersion | None = None
        self._tried: set[str] = set()
        # Engines of them that were left for their silence alone.
        self._left: set[str] = set()
        self._splitter = event_stream.EventSplitter()
        self._splitter.last_id = ctx.req.resume_after
        self._has_sent_event = False
        # Prepares the next attempt.
        self._replacement: tasks.Task | None = None
        # Not prepared before this monotonic time.
        self._prepare_after = float("-inf")
        # Was sent while the attempt before is silent, which ends when this one
        # is taken, and goes on if it isn't.
        self._successor: _Attempt | None = None

    def run(self) -> tasks.Coroutine[outcomes.Outcome]:
        """Returns an `Answer` once the stream is complete, or a failure."""
        try:
            return (yield from self._run())
        finally:
            self._drop_replacement()
            self._drop_successor()
            self._free_inputs()
            self._settle_version()

    def _run(self) -> tasks.Coroutine[outcomes.Outcome]:
        ctx = self._ctx
        ctx.ctrl.retry_budgets.earn(self._pool)
        last: attempts.Failure | None = None
        lease = yield from self._lease(self._tried)
        while isinstance(lease, placement.Lease):
            attempt, self._successor = self._successor, None
            if attempt is None and not self._may_send(lease):
                ctx.ctrl.placement.abandon(lease)
                lease = yield from self._lease(self._tried)
                continue
            if attempt is None:
                attempt = self._send(lease, self._inputs)
            attempt_result = yield from self._follow(attempt)
            self._settle_version()
            if isinstance(attempt_result, final_call.Success):
                return outcomes.Answer(attempt_result)
            last = attempt_result
            if last is _STALLED:
                self._left.add(lease.listing.entry.name)
            elif last.cause is not attempts.FailureCause.DECLINED:
                self._left.discard(lease.listing.entry.name)
            self._splitter.end_attempt()
            lease = yield from self._next_lease(lease, last)
        if isinstance(lease, outcomes.NotRun):
            return lease
        return final_call.failure_outcome(ctx, last)

    def _next_lease(
        self, lease: placement.Lease, last: attempts.Failure
    ) -> tasks.Coroutine[placement.Lease | outcomes.NotRun | None]:
        """Returns the lease of the next attempt, which may have been sent.

        Args:
            lease: lease of the attempt that ended.
            last: how it ended.
        """
        is_prepared = (
            self._successor is not None or self._replacement is not None
        )
        if is_prepared and last is not _STALLED:
            may_crash = yield from final_call.may_crash_endpoint(
                self._ctx, lease, last
            )
            if may_crash:
                return None
        if self._successor is not None:
            self._use_next_inputs()
            return self._successor.lease
        is_gone = last.cause is attempts.FailureCause.INPUT_GONE
        if is_gone and not self._has_sent_event:
            # It has the same inputs: no stages ran for it.
            self._drop_replacement()
        if self._replacement is None:
            self._replacement = tasks.Task(self._prepare(lease, last))
        next_lease = yield self._replacement.future
        self._replacement = None
        self._use_next_inputs()
        return next_lease

    def _lease(
        self, tried: set[str]
    ) -> tasks.Coroutine[placement.Lease | outcomes.NotRun | None]:
        return (
            yield from endpoint_lease.lease(
                self._ctx, self._requirements(), tried
            )
        )

    def _lease_any(
        self,
    ) -> tasks.Coroutine[placement.Lease | outcomes.NotRun | None]:
        """Leases an untried endpoint, or else one that was only silent."""
        leased = yield from self._lease(self._tried)
        if isinstance(leased, placement.Lease) or not self._left:
            return leased
        # It may not have seen yet that its attempt was cancelled.
        yield tasks.sleep(self._ctx.ctrl.loop, _REPLACE_AGAIN_S)
        return (yield from self._lease(self._tried - self._left))

    def _may_send(self, lease: placement.Lease) -> bool:
        """Returns whether a lease that was kept may still be used.

        Its endpoint may have begun to leave or have been evacuated meanwhile,
        which isn't known right after a pause of the process.
        """
        is_confirmed = self._ctx.ctrl.resumption.confirmed().done()
        return (
            is_confirmed
            and self._begun_at_version() in (None, lease.listing.version)
            and self._ctx.ctrl.placement.is_usable(lease)
        )

    def _pick(
        self, tried: set[str]
    ) -> tasks.Coroutine[placement.Lease | outcomes.NotRun | None]:
        """Leases an endpoint without a permit, which mustn't be used."""
        yield self._ctx.ctrl.resumption.confirmed()
        return self._ctx.ctrl.placement.pick(self._requirements(), tried)

    def _is_other_reachable(self) -> tasks.Coroutine[bool]:
        """Returns whether an untried endpoint accepts a connection now."""
        lease = yield from self._lease_reachable(self._pick)
        if not isinstance(lease, placement.Lease):
            return False
        self._ctx.ctrl.placement.abandon(lease)
        return True

    def _lease_reachable(
        self,
        lease_one: Callable[
            [set[str]],
            tasks.Coroutine[placement.Lease | outcomes.NotRun | None],
        ],
    ) -> tasks.Coroutine[placement.Lease | outcomes.NotRun | None]:
        """Leases an endpoint that accepts a connection now.

        Args:
            lease_one: leases an endpoint that isn't among those given.
        """
        own = self._ctx.ctrl.placement
        tried = set(self._tried)
        while True:
            lease = yield from lease_one(tried)
            if not isinstance(lease, placement.Lease):
                return lease
            entry = lease.listing.entry
            reached = None
            try:
                reached = yield reachability.check(
                    self._ctx.ctrl.loop,
                    entry.address,
                    http_client.CONNECT_TIMEOUT_S,
                )
            finally:
                if reached is None:
                    own.abandon(lease)
            if self._ctx.ctrl.loop.resumed_at > lease.slot.started_at:
                # The process was paused: the time for the connection may have
                # run out meanwhile, and the endpoint may not be usable now.
                own.abandon(lease)
                continue
            if reached is reachability.Reachability.ACCEPTS:
                return lease
            own.finish_unreachable(lease)
            tried.add(entry.name)

    def _prepare(
        self, lease: placement.Lease, failure: attempts.Failure
    ) -> tasks.Coroutine[placement.Lease | outcomes.NotRun | None]:
        """Gets all that another attempt needs.

        Args:
            lease: lease of the attempt before.
            failure: how that attempt failed, or why it is to be replaced.

        Returns:
            The lease of the next attempt, a refusal if there can't be one and
            no attempt has run or the stages failed, or else None.
        """
        ctx = self._ctx
        may_crash = yield from final_call.may_crash_endpoint(
            ctx, lease, failure
        )
        if may_crash or not final_call.try_spend_retry(ctx, self._pool):
            return None
        self._has_rerun = False
        leased: placement.Lease | outcomes.NotRun | None = None
        try:
            self._drop_expired_inputs()
            if self._needs_rerun(failure):
                if failure is _STALLED:
                    is_useful = yield from self._is_other_reachable()
                    if not is_useful:
                        return None
                failed = yield from self._rerun_stages(failure)
                self._has_rerun = True
                if self._next_inputs is None:
                    return failed
            if failure is _STALLED:
                leased = yield from self._lease_reachable(self._lease)
            else:
                leased = yield from self._lease_any()
        finally:
            if not isinstance(leased, placement.Lease):
                self._refund_retry()
        is_not_run = not ctx.req.possible_runs and failure.certainly_not_run()
        if isinstance(leased, placement.Lease) or is_not_run:
            return leased
        return None

    def _drop_replacement(self) -> None:
        """Stops or undoes the preparation of another attempt."""
        replacement, self._replacement = self._replacement, None
        if replacement is None:
            return
        if not replacement.future.done():
            replacement.cancel()
        elif isinstance(replacement.future.result(), placement.Lease):
            self._ctx.ctrl.placement.abandon(replacement.future.result())
            self._refund_retry()

    def _refund_retry(self) -> None:
        """Refunds a retry that wasn't sent, unless stages ran for it."""
        if not self._has_rerun:
            self._ctx.ctrl.retry_budgets.refund(self._pool)

    def _use_next_inputs(self) -> None:
        """Frees the results for the last attempt if there are new ones."""
        if self._next_inputs is not None:
            self._inputs.free()
            self._inputs, self._next_inputs = self._next_inputs, None

    def _free_inputs(self) -> None:
        """Frees all results, and stops stages that run again."""
        if self._rerun is not None:
            self._rerun.cancel()
        self._inputs.free()
        if self._next_inputs is not None:
            self._next_inputs.free()

    def _requirements(self) -> placement.Requirements:
        prompt = self._ctx.req.prompt
        inputs = self._next_inputs or self._inputs
        return placement.Requirements(
            self._pool,
            is_prompt=self._ctx.req.route.is_prompt,
            shared=prompt.shared_name(),
            shared_tokens=prompt.shared_tokens(),
            own_tokens=prompt.own_tokens(),
            input_bytes=inputs.result_bytes_by_data_centre(),
            preferred=inputs.proposed_engine,
            finish_by=self._ctx.req.deadline_at,
            regions=self._ctx.req.regions,
            version=self._begun_at_version() or self._preferred_version(),
        )

    def _preferred_version(self) -> str | None:
        """Returns the version at which a new stream begins at once."""
        ctrl, req = self._ctx.ctrl, self._ctx.req
        if not req.is_retryable():
            return None
        version = ctrl.versions.preferred(self._pool)
        if version is not None and ctrl.placement.has_endpoint(
            self._pool, req.regions, version
        ):
            return version
        return None

    def _drop_expired_inputs(self) -> None:
        inputs = self._next_inputs
        if inputs is not None and self._ctx.now() >= self._next_inputs_until:
            inputs.free()
            self._next_inputs = None

    def _needs_rerun(self, failure: attempts.Failure) -> bool:
        """Returns whether a stage's result was lost or already freed."""
        if not self._ctx.req.route.stages or self._next_inputs is not None:
            return False
        is_gone = failure.cause is attempts.FailureCause.INPUT_GONE
        return self._has_sent_event or is_gone

    def _rerun_stages(
        self, failure: attempts.Failure
    ) -> tasks.Coroutine[outcomes.Outcome | None]:
        """Runs the stages again, or waits for a run that goes on."""
        if failure is not _STALLED:
            self._inputs.free()
        if self._rerun is None or self._rerun.future.done():
            self._rerun = tasks.Task(self._run_stages())
        return (yield self._rerun.future)

    def _run_stages(self) -> tasks.Coroutine[outcomes.Outcome | None]:
        ctx = self._ctx
        inputs = stage_inputs.StageInputs(ctx)
        pools = ctx.ctrl.configuration.table.pools
        profiles = [
            pools[stage.pool].worker_profile
            for stage in ctx.req.route.stages
            if stage.pool in pools
        ]
        self._next_inputs_until = ctx.now() + min(
            (profile.result_ttl_s for profile in profiles if profile),
            default=0.0,
        )
        failed = yield from inputs.run(self._has_sent_event)
        if failed is None:
            self._next_inputs = inputs
        return failed

    def _send(
        self, lease: placement.Lease, inputs: stage_inputs.StageInputs
    ) -> _Attempt:
        ctx = self._ctx
        self._tried.add(lease.listing.entry.name)
        ctx.req.attempts_sent += 1
        exchange = ctx.ctrl.wire.build_call(
            ctx.req,
            lease.listing,
            ctx.remaining_s() - final_call.RETURN_MARGIN_S,
            inputs.handles(),
            self._splitter.last_id,
        )
        mailbox = tasks.Mailbox()
        transfer = ctx.ctrl.client.start(
            exchange, mailbox.put, lambda chunk: mailbox.put(_Chunk(chunk))
        )
        final_call.record_send(ctx, lease)
        return _Attempt(lease, transfer, mailbox, ctx.now())

    def _follow(
        self, attempt: _Attempt
    ) -> tasks.Coroutine["final_call.Success | attempts.Failure"]:
        """Relays an attempt's events and returns how it ended."""
        ctx = self._ctx
        lease, transfer = attempt.lease, attempt.transfer
        attempt_result: final_call.Success | attempts.Failure = (
            attempts.Failure(attempts.FailureCause.LOST, "the caller left")
        )
        has_result = False
        try:
            attempt_result = yield from self._relay(attempt)
            has_result = True
        finally:
            transfer.cancel()
            if not has_result:
                ctx.ctrl.placement.abandon(lease)
                ctx.ctrl.prompt_guard.record_end(lease, None)
        final_call.finish_attempt(ctx, lease, attempt_result, self._tried)
        return attempt_result

    def _relay(
        self, attempt: _Attempt
    ) -> tasks.Coroutine["final_call.Success | attempts.Failure"]:
        """Relays events until the stream ends or another attempt is taken."""
        ctx = self._ctx
        lease, transfer, mailbox, _ = attempt
        head: routed.ReplyHead | None = None
        is_first = True
        last_event_at = lease.slot.started_at
        while True:
            has_item = yield from self._await_item(
                lease, mailbox, self._stalled_at(lease, is_first, last_event_at)
            )
            if not has_item:
                return _STALLED
            item = mailbox.pop()
            if head is None:
                head = ctx.ctrl.wire.parse_head(
                    transfer.head.status, transfer.head.headers
                )
                final_call.record_head(ctx, lease, head)
            if not isinstance(item, _Chunk):
                return self._end(head, item)
            complete = yield from self._accept(
                attempt, head, item.chunk, is_first
            )
            if isinstance(complete, attempts.Failure):
                return complete
            if complete.has_event:
                last_event_at = ctx.now()
                lease.slot.record_event(last_event_at)
                self._drop_replacement()
                self._drop_successor()
                if is_first:
                    is_first = False
                    self._on_first_event(lease, head)
            if not complete.data:
                continue
            ctx.responder.send_body(complete.data)
            growth = ctx.responder.growth()
            if growth is not None:
                transfer.pause()
                yield growth
                transfer.resume()
                # The endpoint wasn't read meanwhile.
                last_event_at = ctx.now()

    def _await_item(
        self, lease: placement.Lease, mailbox: tasks.Mailbox, stalled_at: float
    ) -> tasks.Coroutine[bool]:
        """Waits for an item, and prepares another attempt after a stall.

        The endpoint may go on, so its attempt is kept until another endpoint
        has taken the request.

        Returns:
            Whether there is an item. If not, another attempt was taken or the
            deadline has passed.
        """
        while not len(mailbox):
            is_over = False
            if self._successor is not None:
                is_over = yield from self._await_takeover(mailbox)
            elif self._replacement is not None:
                yield from self._await_replacement(mailbox)
            else:
                is_over = yield from self._await_stall(
                    lease, mailbox, stalled_at
                )
            if is_over:
                return False
        return True

    def _await_stall(
        self, lease: placement.Lease, mailbox: tasks.Mailbox, stalled_at: float
    ) -> tasks.Coroutine[bool]:
        """Waits for an item until an attempt counts as stalled.

        Then begins to prepare another one, unless this one was the last.

        Returns:
            Whether the deadline has passed.
        """
        ctx = self._ctx
        until = ctx.req.deadline_at
        if self._can_resume():
            until = min(until, max(stalled_at, self._prepare_after))
        got = yield from tasks.wait(ctx.ctrl.loop, mailbox.ready(), until)
        if not isinstance(got, tasks.TimedOut):
            return False
        if ctx.remaining_s() <= 0.0 or not self._can_resume():
            return True
        if self._prepare_after <= stalled_at:
            self._log_stall(lease)
        if ctx.req.route.name in ctx.ctrl.answered_routes:
            ctx.ctrl.placement.record_silence(lease)
        self._replacement = tasks.Task(self._prepare(lease, _STALLED))
        return False

    def _await_replacement(
        self, mailbox: tasks.Mailbox
    ) -> tasks.Coroutine[None]:
        """Waits until another attempt is prepared, and sends it.

        Args:
            mailbox: of the silent attempt, which may go on.
        """
        yield from tasks.first_of(mailbox.ready(), self._replacement.future)
        if len(mailbox):
            return
        prepared = self._replacement.future.result()
        self._replacement = None
        if isinstance(prepared, placement.Lease):
            if self._may_send(prepared):
                self._successor = self._send(
                    prepared, self._next_inputs or self._inputs
                )
                return
            self._ctx.ctrl.placement.abandon(prepared)
            self._refund_retry()
        wait_s = _REPLACE_AGAIN_S
        if isinstance(prepared, outcomes.NotRun):
            wait_s = max(wait_s, prepared.retry_after_s)
        self._prepare_after = self._ctx.now() + wait_s

    def _await_takeover(self, mailbox: tasks.Mailbox) -> tasks.Coroutine[bool]:
        """Waits for the successor to take the request.

        Args:
            mailbox: of the silent attempt, which may go on.

        Returns:
            Whether the successor has taken it. If not, the silent attempt went
            on, or the successor failed.
        """
        ctx = self._ctx
        lease, transfer, replies, sent_at = self._successor
        until = min(sent_at + _TAKEOVER_S, ctx.req.deadline_at)
        yield from tasks.wait_first(
            ctx.ctrl.loop, [mailbox.ready(), replies.ready()], until
        )
        if len(mailbox):
            return False
        if not len(replies):
            return True
        head = ctx.ctrl.wire.parse_head(
            transfer.head.status, transfer.head.headers
        )
        reply = replies.peek()
        if isinstance(reply, _Chunk):
            attempt_result = self._classify(head, transfer.reply(0.0))
        else:
            attempt_result = self._classify_end(head, reply)
        if not isinstance(attempt_result, attempts.Failure):
            return True
        self._successor = None
        transfer.cancel()
        final_call.record_head(ctx, lease, head)
        final_call.finish_attempt(ctx, lease, attempt_result, self._tried)
        self._prepare_after = ctx.now() + _REPLACE_AGAIN_S
        if attempt_result.cause is attempts.FailureCause.INPUT_GONE:
            # The silent endpoint may have read them; no other one can.
            self._prepare_after = float("inf")
        return False

    def _drop_successor(self) -> None:
        """Cancels an attempt that isn't needed; it may have run."""
        successor, self._successor = self._successor, None
        if successor is None:
            return
        successor.transfer.cancel()
        self._ctx.req.possible_runs += 1
        self._ctx.ctrl.placement.abandon(successor.lease)
        self._ctx.ctrl.prompt_guard.record_end(successor.lease, None)

    def _log_stall(self, lease: placement.Lease) -> None:
        state_log.log_decision(
            "endpoint silent",
            request_id=self._ctx.req.id,
            endpoint=lease.listing.entry.name,
            has_begun=lease.slot.has_answered,
            elapsed_ms=self._ctx.elapsed_ms(),
        )

    def _accept(
        self,
        attempt: _Attempt,
        head: routed.ReplyHead,
        chunk: bytes,
        is_first: bool,
    ) -> tasks.Coroutine[event_stream.Complete | attempts.Failure]:
        """Returns what a chunk completes, if the stream may go on with it.

        Args:
            attempt: the attempt that got the chunk.
            head: head of its reply.
            chunk: bytes of the reply's body.
            is_first: whether no event of the attempt is complete yet.
        """
        if not is_first:
            return self._split(head, attempt.transfer, chunk, is_first)
        version = self._version_finder(attempt.lease)()
        if self._begun_at_version() not in (None, version):
            return _OTHER_VERSION
        complete = self._split(head, attempt.transfer, chunk, is_first)
        if isinstance(complete, attempts.Failure) or not complete.has_event:
            return complete
        if self._version is None:
            self._version = version
            self._engine_version = version_history.EngineVersion(
                self._version_finder(attempt.lease)
            )
        # The wait for the record isn't the engine's time.
        self._record_first_event(attempt.lease)
        if not self._has_sent_event:
            is_recorded = yield from self._record_version()
            if not is_recorded:
                return _UNRECORDED
        return complete

    def _split(
        self,
        head: routed.ReplyHead,
        transfer,
        chunk: bytes,
        is_first: bool,
    ) -> event_stream.Complete | attempts.Failure:
        """Returns what a chunk completes, unless it can't be used.

        Args:
            head: head of the reply.
            transfer: the attempt's transfer.
            chunk: bytes of the reply's body.
            is_first: whether no event is complete yet.
        """
        if is_first:
            attempt_result = self._classify(head, transfer.reply(0.0))
            if isinstance(attempt_result, attempts.Failure):
                return attempt_result
        complete = self._splitter.feed(chunk)
        fault = self._splitter.fault()
        if fault:
            return attempts.Failure(attempts.FailureCause.ENDLESS, fault)
        if not transfer.hold(self._splitter.kept_bytes()):
            return attempts.Failure(
                attempts.FailureCause.FAILED, "no room for an incomplete event"
            )
        return complete

    def _stalled_at(
        self, lease: placement.Lease, is_first: bool, last_event_at: float
    ) -> float:
        """Returns when a stream counts as stalled, in monotonic seconds.

        Bytes that complete no event don't count.
        """
        ctx = self._ctx
        if not self._can_resume():
            return ctx.req.deadline_at
        if is_first:
            allowed_s = _FIRST_EVENT_RATIO * lease.slot.expected_s
            allowed_s = max(allowed_s, ctx.req.route.objective_s / 2)
            allowed_s += _FIRST_EVENT_EXTRA_S
            return min(last_event_at + allowed_s, ctx.req.deadline_at)
        gap_s = _GAP_RATIO * ctx.req.route.gap_objective_s
        return min(last_event_at + max(_MIN_GAP_S, gap_s), ctx.req.deadline_at)

    def _can_resume(self) -> bool:
        req = self._ctx.req
        return (
            req.is_retryable()
            and req.possible_runs + 1 < req.route.max_attempts
        )

    def _version_finder(self, lease: placement.Lease) -> Callable[[], str]:
        """Returns a function of the version of an attempt's engine."""
        return functools.partial(
            self._ctx.ctrl.endpoints.version_of,
            lease.listing,
            lease.slot.started_at,
        )

    def _begun_at_version(self) -> str | None:
        """Returns the version that began the stream, as far as is known now."""
        if self._engine_version is not None:
            self._version = self._engine_version.update()
        return self._version

    def _settle_version(self) -> None:
        if self._engine_version is not None:
            self._engine_version.settle()

    def _record_version(self) -> tasks.Coroutine[bool]:
        """Makes known to other hosts which version began the stream.

        Returns:
            Whether its first event may be sent.
        """
        req, version = self._ctx.req, self._version
        if not req.is_retryable():
            return True
        engine = self._engine_version
        if engine is None:
            engine = version_history.EngineVersion(lambda: version)
        return (
            yield from self._ctx.ctrl.versions.record(
                req.id,
                self._pool,
                engine,
                req.route.timeout_s,
                req.deadline_at,
            )
        )

    def _record_first_event(self, lease: placement.Lease) -> None:
        self._ctx.ctrl.placement.record_first_event(lease)
        # The endpoint fetches its inputs before it generates an event, so the
        # results can be freed.
        self._inputs.free(has_first_event=True)

    def _on_first_event(self, lease: placement.Lease, head) -> None:
        ctx = self._ctx
        state_log.log_decision(
            "first event",
            request_id=ctx.req.id,
            endpoint=lease.listing.entry.name,
            attempt=ctx.req.attempts_sent,
            elapsed_ms=ctx.elapsed_ms(),
        )
        if not self._has_sent_event:
            self._has_sent_event = True
            ctx.record_latency()
            ctx.responder.send_head(head.status, head.headers)

    def _classify(
        self, head: routed.ReplyHead, result: exchanges.TransferResult
    ) -> "final_call.Success | attempts.Failure":
        """Returns how an attempt ended, or that it may be relayed.

        Once the caller has a part of a stream, an error's answer neither
        belongs into it nor completes it.
        """
        attempt_result = final_call.classify(head, result, self._ctx.req.id)
        if (
            isinstance(attempt_result, final_call.Success)
            and self._has_sent_event
            and not _is_event_stream(head)
        ):
            return attempts.Failure(
                attempts.FailureCause.FAILED,
                "the reply to the resumption of a stream isn't a stream",
            )
        return attempt_result

    def _classify_end(
        self, head: routed.ReplyHead, result: exchanges.TransferResult
    ) -> "final_call.Success | attempts.Failure":
        attempt_result = self._classify(head, result)
        if isinstance(attempt_result, attempts.Failure):
            is_declined = attempt_result.cause is attempts.FailureCause.DECLINED
            if head.status == 409 and is_declined:
                return attempts.Failure(
                    attempts.FailureCause.INPUT_GONE, "a stage's result is gone"
                )
            return attempt_result
        return attempt_result

    def _end(
        self, head: routed.ReplyHead, result: exchanges.TransferResult
    ) -> "final_call.Success | attempts.Failure":
        """Passes on the rest of a stream that has ended as it should."""
        attempt_result = self._classify_end(head, result)
        if isinstance(attempt_result, attempts.Failure) or head.status != 200:
            return attempt_result
        rest = self._splitter.end_attempt()
        if rest is None:
            return attempts.Failure(
                attempts.FailureCause.LOST, "the stream ended within an event"
            )
        if rest and self._has_sent_event:
            self._ctx.responder.send_body(rest)
        return attempt_result._replace(body=rest)
