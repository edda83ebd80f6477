"""Serves callers, the balancer's readiness checks and metrics."""

from collections.abc import Callable

from chervilarch import (
    final_call,
    inbound,
    outcomes,
    routed,
    routed_filters,
    state_log,
    tasks,
)
from chervilarch.routed_context import RoutedContext, RoutedControllers

# A caller is answered this long before the deadline if nothing else came.
_ANSWER_MARGIN_S = 0.005


class Phase:
    """What this process tells the balancer."""

    def __init__(self) -> None:
        self.is_draining = False
        self.in_flight = 0


class CallerHandler:
    """Implements `inbound.Handler` for callers."""

    def __init__(self, ctrl: RoutedControllers, phase: Phase):
        self._ctrl = ctrl
        self._phase = phase
        self._exchanges: set[_Exchange] = set()

    def cut_off(self) -> None:
        """Answers all requests that are in flight, as the process ends."""
        for exchange in list(self._exchanges):
            exchange.cut_off()

    def limits(self) -> inbound.Limits:
        """Returns the limits in force."""
        table = self._ctrl.configuration.table
        return inbound.Limits(*table.limits) if table else inbound.Limits()

    def is_closing(self) -> bool:
        """Tells whether connections end with the present answer."""
        return self._phase.is_draining

    def begin(
        self, req: inbound.Inbound, reply: inbound.Responder
    ) -> Callable[[], None]:
        """Starts to serve a request."""
        parsed = self._ctrl.wire.parse_request(req)
        if isinstance(parsed, outcomes.Rejected):
            reply.send(*self._ctrl.wire.build_refusal(parsed, ""))
            state_log.log_decision(
                "request refused", is_problem=True, detail=parsed.detail
            )
            return _ignore
        exchange = _Exchange(self._ctrl, self._phase, parsed, reply)
        self._exchanges.add(exchange)
        exchange.start(lambda: self._exchanges.discard(exchange))
        return exchange.leave


class _Exchange:
    """One request and its answer."""

    def __init__(
        self,
        ctrl: RoutedControllers,
        phase: Phase,
        req: routed.RoutedRequest,
        reply: inbound.Responder,
    ):
        self._ctrl = ctrl
        self._phase = phase
        self._reply = reply
        self._req = req
        self._ctx = RoutedContext(ctrl, req, reply)
        self._task: tasks.Task | None = None
        self._watchdog = None
        self._on_end: Callable[[], None] = _ignore
        self._is_ended = False

    def start(self, on_end: Callable[[], None]) -> None:
        """Runs the filters; `on_end` is called once when it is over."""
        self._on_end = on_end
        self._phase.in_flight += 1
        self._task = tasks.Task(routed_filters.run_chain(self._ctx))
        self._task.future.add_done_callback(
            lambda fut: self._finish(fut.result())
        )
        if not self._is_ended:
            self._watchdog = self._ctrl.loop.call_at(
                self._req.deadline_at - _ANSWER_MARGIN_S, self._time_out
            )

    def leave(self) -> None:
        """Stops the work for a caller that gets no answer any more."""
        if not self._is_ended:
            self._end("caller left")
            self._task.cancel()

    def _time_out(self) -> None:
        """Answers at the deadline, whatever is under way."""
        self._give_up(
            outcomes.Reason.DEADLINE_PASSED,
            "the deadline passed before the final call",
            "no whole answer before the deadline",
            "allow a longer deadline",
        )

    def cut_off(self) -> None:
        """Answers before the process ends, whatever is under way."""
        self._give_up(
            outcomes.Reason.SHUTTING_DOWN,
            "this host stops and the final call was not sent",
            "this host stops and had no whole answer",
            "send the request to another host",
        )

    def _give_up(
        self, reason: outcomes.Reason, unsent: str, sent: str, remedy: str
    ) -> None:
        """Ends the request with what can be said of its final call."""
        if self._is_ended:
            return
        if self._req.sends == 0:
            outcome: outcomes.Outcome = outcomes.NotRun(reason, unsent, remedy)
        else:
            outcome = outcomes.TooLate(reason, sent, remedy)
        self._finish(outcome)
        self._task.cancel()

    def _finish(self, outcome: outcomes.Outcome | None) -> None:
        if self._is_ended:
            return
        if outcome is None:
            outcome = outcomes.Unknown(
                outcomes.Reason.INTERNAL,
                "the gateway met a fault of its own",
                "report the request's id",
            )
        self._answer(outcome)
        name = outcomes.outcome_name(outcome)
        if isinstance(outcome, outcomes.Answer):
            status = outcome.output.head.status
            self._end(f"answer {status}", status=status)
        else:
            self._end(name, reason=outcome.reason.value, detail=outcome.detail)

    def _answer(self, outcome: outcomes.Outcome) -> None:
        if isinstance(outcome, outcomes.Answer):
            good: final_call.Success = outcome.output
            if self._reply.head_sent:
                self._reply.finish()
            else:
                self._ctx.note_first_answer()
                self._reply.send(good.head.status, good.head.headers, good.body)
        elif self._reply.head_sent:
            self._reply.abort()
        else:
            self._reply.send(
                *self._ctrl.wire.build_refusal(outcome, self._req.id)
            )

    def _end(self, name: str, **fields) -> None:
        self._is_ended = True
        self._on_end()
        self._phase.in_flight -= 1
        if self._watchdog is not None:
            self._watchdog.cancel()
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
            sends=req.sends,
            elapsed_ms=self._ctx.elapsed_ms(),
            **fields,
        )


def _ignore() -> None:
    pass
