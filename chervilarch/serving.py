"""Serves the gateway's callers: runs the filters and sends the answers."""

from collections.abc import Callable

from chervilarch import (
    final_call,
    http_server,
    outcomes,
    routed,
    routed_filters,
    state_log,
    stop_admission,
    tasks,
)
from chervilarch.futures import Future
from chervilarch.routed_context import RoutedContext, RoutedControllers

# A request without an answer yet is answered this long before its deadline.
_ANSWER_MARGIN_S = 0.005
# A request without a time limit of its own may wait this long until the
# configuration, which has one, is confirmed after a pause.
_MAX_CONFIRM_WAIT_S = 5.0
_FIRST_ERROR_STATUS = 500
_OWN_FAULT = outcomes.Unknown(
    outcomes.Reason.INTERNAL,
    "the gateway met a fault of its own",
    "report the request's id",
)


class ServingState:
    """Holds whether this gateway is draining, and its requests in flight."""

    def __init__(self) -> None:
        self.is_draining = False
        self.in_flight = 0


class CallerHandler:
    """Implements `http_server.Handler` for callers."""

    def __init__(self, ctrl: RoutedControllers, state: ServingState):
        self._ctrl = ctrl
        self._state = state
        self._requests: set[_CallerRequest] = set()

    def cut_off(self) -> None:
        """Answers all requests in flight; called as the process ends."""
        for request in list(self._requests):
            request.cut_off()

    def limits(self) -> http_server.Limits:
        """Returns the limits in force."""
        table = self._ctrl.configuration.table
        return (
            http_server.Limits(*table.caller_limits)
            if table
            else http_server.Limits()
        )

    def is_closing(self) -> bool:
        """Returns whether connections close after the current answer."""
        return self._state.is_draining

    def begin(
        self, req: http_server.Request, responder: http_server.Responder
    ) -> Callable[[], None]:
        """Starts a request; returns what to call if the caller disconnects."""
        parsed = self._ctrl.wire.parse_request(req)
        if isinstance(parsed, outcomes.Rejected):
            responder.send(*self._ctrl.wire.build_refusal(parsed, ""))
            state_log.log_decision(
                "request refused", is_problem=True, detail=parsed.detail
            )
            return _do_nothing
        request = _CallerRequest(self._ctrl, self._state, parsed, responder)
        self._requests.add(request)
        request.start(self._requests.discard)
        return request.on_disconnect


class _CallerRequest:
    """One request in flight."""

    def __init__(
        self,
        ctrl: RoutedControllers,
        state: ServingState,
        req: routed.RoutedRequest,
        responder: http_server.Responder,
    ):
        self._ctrl = ctrl
        self._state = state
        self._responder = responder
        self._req = req
        # Set once the configuration may be used.
        self._ctx: RoutedContext | None = None
        self._task: tasks.Task | None = None
        self._deadline_timer = None
        self._on_end: Callable[[_CallerRequest], None] = _do_nothing
        # Resolves once the configuration may be used.
        self._confirmed: Future = tasks.done(None)
        self._is_ended = False

    def start(self, on_end: "Callable[[_CallerRequest], None]") -> None:
        """Runs the filters; `on_end` is called once the request has ended."""
        self._on_end = on_end
        self._state.in_flight += 1
        self._confirmed = self._ctrl.resumption.confirmed()
        if not self._confirmed.done():
            allowed_s = self._req.allowed_s
            if allowed_s is None:
                allowed_s = _MAX_CONFIRM_WAIT_S
            self._set_deadline(self._req.arrived_at + allowed_s)
        self._confirmed.add_done_callback(self._begin_filters)

    def _begin_filters(self, confirmed: Future) -> None:
        if self._is_ended:
            return
        try:
            self._run_filters()
        except Exception as exc:  # noqa: BLE001
            state_log.log_exception("filters not begun", exc)
            self._finish(None)
            self._cancel_task()

    def _run_filters(self) -> None:
        self._ctx = RoutedContext(self._ctrl, self._req, self._responder)
        self._task = tasks.Task(routed_filters.run_chain(self._ctx))
        self._task.future.add_done_callback(
            lambda fut: self._finish(fut.result())
        )
        if not self._is_ended:
            self._set_deadline(self._req.deadline_at)

    def _set_deadline(self, deadline_at: float) -> None:
        if self._deadline_timer is not None:
            self._deadline_timer.cancel()
        self._deadline_timer = self._ctrl.loop.call_at(
            deadline_at - _ANSWER_MARGIN_S, self._time_out
        )

    def on_disconnect(self) -> None:
        """Stops the work for a caller that has disconnected."""
        if not self._is_ended:
            self._end("caller left", has_begun=self._responder.head_sent)
            self._cancel_task()

    def _cancel_task(self) -> None:
        if self._task is not None:
            self._task.cancel()

    def _time_out(self) -> None:
        """Answers at the deadline."""
        self._end_early(
            outcomes.Reason.DEADLINE_PASSED,
            "the deadline passed before the final call",
            "no whole answer before the deadline",
            "allow a longer deadline",
        )

    def cut_off(self) -> None:
        """Answers before the process ends."""
        self._end_early(
            outcomes.Reason.SHUTTING_DOWN,
            "this host stops and the final call was not sent",
            "this host stops and had no whole answer",
            "send the request to another host",
            stop_admission.RETRY_S,
        )

    def _end_early(
        self,
        reason: outcomes.Reason,
        detail_if_unsent: str,
        detail_if_sent: str,
        remedy: str,
        retry_after_s: float = 1.0,
    ) -> None:
        """Ends the request with a detail for whether its call was sent.

        If no final call was sent, the outcome is `NotRun`, also after stages
        ran. Otherwise it is `TooLate`, also on a shutdown and on routes whose
        requests may run only once: the call may have run.
        """
        if self._is_ended:
            return
        if self._req.attempts_sent == 0:
            outcome: outcomes.Outcome = outcomes.NotRun(
                reason, detail_if_unsent, remedy, retry_after_s
            )
        else:
            outcome = outcomes.TooLate(reason, detail_if_sent, remedy)
        self._finish(outcome)
        self._cancel_task()

    def _finish(self, outcome: outcomes.Outcome | None) -> None:
        if self._is_ended:
            return
        if outcome is None:
            outcome = _OWN_FAULT
        has_begun = self._responder.head_sent
        try:
            self._answer(outcome)
        except Exception as exc:  # noqa: BLE001
            state_log.log_exception("answer not sent", exc)
            self._responder.fail()
            outcome = _OWN_FAULT
        if self._is_ended:
            return  # The caller had left, which showed when bytes were sent.
        name = outcomes.outcome_name(outcome)
        if isinstance(outcome, outcomes.Answer):
            status = outcome.output.head.status
            if status < _FIRST_ERROR_STATUS:
                self._record_time()
            self._end(f"answer {status}", has_begun, status=status)
        else:
            self._end(
                name,
                has_begun,
                reason=outcome.reason.value,
                detail=outcome.detail,
            )

    def _record_time(self) -> None:
        """Records how long the answer took, for a stop of this host."""
        now = self._ctrl.loop.now()
        for step, began_at in (
            (stop_admission.Step.REQUEST, self._req.arrived_at),
            (stop_admission.Step.CALL, self._req.call_began_at),
        ):
            self._ctrl.stop_admission.record(
                self._req.route.name, step, now - began_at
            )

    def _answer(self, outcome: outcomes.Outcome) -> None:
        if isinstance(outcome, outcomes.Answer):
            success: final_call.Success = outcome.output
            if self._responder.head_sent:
                self._responder.finish()
            else:
                self._ctx.record_latency()
                self._responder.send(
                    success.head.status, success.head.headers, success.body
                )
        elif self._responder.head_sent:
            self._responder.abort()
        else:
            self._responder.send(
                *self._ctrl.wire.build_refusal(outcome, self._req.id)
            )

    def _end(self, name: str, has_begun: bool, **fields) -> None:
        """Records the end.

        Args:
            name: how the request ended.
            has_begun: whether the answer's head was sent before that.
            **fields: further fields of the log line.
        """
        self._is_ended = True
        self._on_end(self)
        self._confirmed.remove_done_callback(self._begin_filters)
        self._state.in_flight -= 1
        if self._deadline_timer is not None:
            self._deadline_timer.cancel()
        req = self._req
        account = req.account.name if req.account else ""
        route = req.route.name if req.route else ""
        self._ctrl.meters.count_request(account, route, name)
        state_log.log_decision(
            "request ended",
            is_problem=not name.startswith("answer"),
            request_id=req.id,
            route=route,
            outcome=name,
            has_begun=has_begun,
            sends=req.attempts_sent,
            elapsed_ms=req.elapsed_ms(self._ctrl.loop.now()),
            **fields,
        )


def _do_nothing(*args) -> None:
    pass
