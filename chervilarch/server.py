"""The WSGI application that callers, the load balancer and operators use."""

import collections
import traceback
from collections.abc import Callable, Iterable
from typing import Any

import msgspec
import werkzeug
from werkzeug import exceptions, routing

from chervilarch import (
    caller_input,
    controllers,
    drain,
    event_stream,
    explanations,
    filters,
    http_server,
    keys,
    outcomes,
    request,
    settings,
    state_log,
    status_report,
)
from chervilarch.outcomes import Reason

_REQUEST_ID_HEADER = "X-Request-Id"
_JSON = "application/json"
_PROBLEM = "application/problem+json"
# Threads reserved for health checks and refusals.
RESERVED_THREADS = 16

_READING_REMEDIES = collections.defaultdict(
    lambda: "send a request that follows RFC 9112",
    {
        408: "send the whole request faster",
        413: "send a smaller body",
        431: "send fewer or shorter headers",
        503: "send the request to another host",
    },
)

_URL_MAP = routing.Map(
    [
        routing.Rule("/healthz", endpoint="health", methods=["GET"]),
        routing.Rule("/readyz", endpoint="ready", methods=["GET"]),
        routing.Rule(
            "/v1/pipelines/<name>/runs", endpoint="run", methods=["POST"]
        ),
        routing.Rule(
            "/v1/requests/<request_id>/explanation",
            endpoint="explain",
            methods=["GET"],
        ),
        routing.Rule("/v1/status", endpoint="status", methods=["GET"]),
    ]
)


class Application:
    """Routes requests; pipeline runs go through the filter chain."""

    def __init__(
        self,
        ctrl: controllers.Controllers,
        cfg: settings.Settings,
        request_tracker: drain.RequestTracker,
    ):
        self.ctrl = ctrl
        self.cfg = cfg
        self.request_tracker = request_tracker

    def __call__(
        self, environ: dict[str, Any], start_response: Callable
    ) -> Iterable[bytes]:
        """Serves one request; see PEP 3333."""
        with self.request_tracker.track():
            try:
                return self._serve(environ, start_response)
            except exceptions.HTTPException as exc:
                return exc.get_response(environ)(environ, start_response)

    def _serve(
        self, environ: dict[str, Any], start_response: Callable
    ) -> Iterable[bytes]:
        url_adapter = _URL_MAP.bind_to_environ(environ)
        route_name, values = url_adapter.match()
        # Without a reference back, the body is freed with the request.
        req = werkzeug.Request(environ, populate_request=False)
        if route_name == "run":
            run_handler = _PipelineRunHandler(self, environ, start_response)
            return run_handler.run(req, values["name"])
        handlers = {
            "health": self._handle_health,
            "ready": self._handle_ready,
            "explain": self._handle_explain,
            "status": self._handle_status,
        }
        response = handlers[route_name](req, **values)
        return response(environ, start_response)

    def _handle_health(self, req: werkzeug.Request) -> werkzeug.Response:
        return werkzeug.Response("ok\n", mimetype="text/plain")

    def _handle_ready(self, req: werkzeug.Request) -> werkzeug.Response:
        reason = self.not_ready_reason()
        if reason:
            return werkzeug.Response(
                f"not ready: {reason}\n", 503, mimetype="text/plain"
            )
        return werkzeug.Response("ready\n", mimetype="text/plain")

    def not_ready_reason(self) -> str:
        """Returns why the load balancer should send nothing here, or ""."""
        if self.request_tracker.is_draining():
            return "shutting down"
        if self.ctrl.rules.ruleset is None:
            return "no configuration yet"
        # An unreachable log doesn't end readiness: requests that need no claim
        # are still served.
        if self.ctrl.calls.is_catching_up():
            return "claims of other hosts are still being read"
        age_s = self.ctrl.configuration.contact_age_s()
        if age_s > self.cfg.bounds.stale_after_s:
            return f"neither log nor peers heard for {age_s:.0f} s"
        return ""

    def _handle_explain(
        self, req: werkzeug.Request, request_id: str
    ) -> werkzeug.Response:
        key = caller_input.bearer_key(req)
        account = None
        if not self._is_operator(key):
            caller_account = filters.find_account(self.ctrl, self.cfg, key)
            if caller_account is None:
                return _unauthenticated_response()
            account = caller_account.name
        trace = self.ctrl.explanations.find(request_id, account)
        if trace is None:
            raise exceptions.NotFound(
                "no such request here lately; ask the host that served it"
            )
        return _json_response(
            {
                "request_id": trace.request_id,
                "account": trace.account,
                "steps": trace.steps(),
            }
        )

    def _handle_status(self, req: werkzeug.Request) -> werkzeug.Response:
        if not self._is_operator(caller_input.bearer_key(req)):
            return _unauthenticated_response()
        report = status_report.build_report(self.ctrl, self.cfg)
        report["not_ready_reason"] = self.not_ready_reason()
        report["in_flight"] = self.request_tracker.in_flight()
        return _json_response(report)

    def _is_operator(self, key: str) -> bool:
        return bool(key) and keys.matches(key, self.cfg.operator_key_sha256)


class _PipelineRunHandler:
    """Handles one HTTP request that runs a pipeline."""

    def __init__(
        self,
        app: Application,
        environ: dict[str, Any],
        start_response: Callable,
    ):
        self._ctrl = app.ctrl
        self._cfg = app.cfg
        self._request_tracker = app.request_tracker
        self._environ = environ
        self._start_response = start_response
        self._write: Callable[[bytes], Any] | None = None
        self._trace = explanations.Trace(request.new_id(), app.ctrl.clock)
        self._arrived_at = app.ctrl.clock.monotonic()

    def run(self, req: werkzeug.Request, name: str) -> Iterable[bytes]:
        """Runs a pipeline and returns the body of the response."""
        self._ctrl.explanations.add(self._trace)
        parsed = self._parse(req, name)
        if isinstance(parsed, outcomes.Rejected):
            return self._send_outcome(parsed, False)
        if parsed.wants_stream:
            parsed.emit = self._send_tokens
        ctx = filters.FilterContext(
            self._ctrl, self._cfg, parsed, self._request_tracker.stop_times
        )
        try:
            outcome = self._run_filters(ctx)
        except OSError:
            # `_send_tokens` raises it when the caller has disconnected.
            self._ctrl.metrics.count("callers.gone")
            raise
        except Exception as exc:  # noqa: BLE001
            outcome = self._handle_internal_fault(parsed, exc)
        self._record_outcome(parsed, outcome)
        return self._send_outcome(outcome, parsed.wants_stream)

    def _run_filters(self, ctx: filters.FilterContext) -> outcomes.Outcome:
        if (
            self._request_tracker.in_flight()
            > self._cfg.bounds.threads - RESERVED_THREADS
        ):
            outcome = outcomes.NotRun(
                Reason.OVERLOADED,
                "this host serves as many requests as it can",
                "send the request again a little later",
            )
            return filters.guard_not_run(ctx, lambda: outcome)
        return filters.run_chain(ctx)

    def _handle_internal_fault(
        self, req: request.PipelineRequest, exc: Exception
    ) -> outcomes.Outcome:
        """Logs an unexpected exception and returns the caller's outcome.

        If the request won a claim, that is "unknown", even if the claim was
        released.
        """
        self._ctrl.metrics.count("internal_faults")
        state_log.log_fault(
            "internal fault",
            request_id=req.id,
            traceback="".join(traceback.format_exception(exc)),
        )
        kind = outcomes.Unknown
        if not req.claim_id:
            kind = (
                outcomes.RanInPart
                if req.any_attempt_started
                else outcomes.NotRun
            )
        return kind(
            Reason.INTERNAL,
            "the router met a fault of its own",
            f"report request {req.id}; the router's log tells more",
        )

    def _parse(
        self, req: werkzeug.Request, name: str
    ) -> request.PipelineRequest | outcomes.Rejected:
        body = req.get_data()
        try:
            document = msgspec.json.decode(body)
        except (msgspec.DecodeError, RecursionError) as exc:
            return caller_input.bad_request(
                f"the body is not JSON: {exc}", "send a JSON object"
            )
        fault = caller_input.check_document(document)
        if fault is not None:
            return fault
        headers = caller_input.read_headers(req)
        if isinstance(headers, outcomes.Rejected):
            return headers
        return request.PipelineRequest(
            name, body, document, headers, self._trace, self._arrived_at
        )

    def _record_outcome(
        self, req: request.PipelineRequest, outcome: outcomes.Outcome
    ) -> None:
        elapsed_s = self._ctrl.clock.monotonic() - self._arrived_at
        name = outcomes.outcome_name(outcome)
        if isinstance(outcome, outcomes.Answer):
            self._ctrl.metrics.count("outcome.answer")
        else:
            self._ctrl.metrics.count(f"outcome.{name}.{outcome.reason.value}")
        self._trace.add_step("ended", outcome=name)
        if req.rule is None:
            return
        histograms = self._ctrl.histograms
        histograms.record(f"account.{req.account.name}.{name}", elapsed_s)
        histograms.record(f"class.{req.rule.priority}.{name}", elapsed_s)
        histograms.record(f"pipeline.{req.pipeline.name}.{name}", elapsed_s)
        self._ctrl.metrics.time(f"pipeline.{req.pipeline.name}", elapsed_s)

    def _send_tokens(self, texts: list[str], start: int) -> None:
        if self._write is None:
            self._start_stream()
        self._write(
            b"".join(
                event_stream.encode_event(
                    "token",
                    msgspec.json.encode({"index": start + i, "text": text}),
                )
                for i, text in enumerate(texts)
            )
        )

    def _start_stream(self) -> None:
        headers = [
            ("Content-Type", "text/event-stream"),
            (_REQUEST_ID_HEADER, self._trace.request_id),
            ("Cache-Control", "no-store"),
        ]
        self._write = self._start_response("200 OK", headers)

    def _send_outcome(
        self, outcome: outcomes.Outcome, wants_stream: bool
    ) -> Iterable[bytes]:
        is_answer = isinstance(outcome, outcomes.Answer)
        if self._write is None and not (wants_stream and is_answer):
            response = self._build_response(outcome)
            return response(self._environ, self._start_response)
        if self._write is None:
            self._start_stream()
        if is_answer:
            data = {
                "request_id": self._trace.request_id,
                "output": outcome.output,
            }
            return [event_stream.encode_event("end", msgspec.json.encode(data))]
        document = outcomes.problem(outcome, self._trace.request_id)
        data = msgspec.json.encode(document)
        return [event_stream.encode_event("error", data)]

    def _build_response(self, outcome: outcomes.Outcome) -> werkzeug.Response:
        request_id = self._trace.request_id
        if isinstance(outcome, outcomes.Answer):
            document: Any = {
                "request_id": request_id,
                "output": outcome.output,
            }
            response = _json_response(document)
        else:
            document = outcomes.problem(outcome, request_id)
            response = _json_response(document, document["status"], _PROBLEM)
        if isinstance(outcome, outcomes.NotRun):
            response.headers["Retry-After"] = f"{outcome.retry_after_s:.0f}"
        response.headers[_REQUEST_ID_HEADER] = request_id
        return response


def build_rejection(status: int, detail: str) -> http_server.Rejection:
    """Returns the answer to a request that can't be read."""
    outcome = caller_input.bad_request(detail, _READING_REMEDIES[status])
    document = outcomes.problem(outcome, "")
    document["status"] = status
    return http_server.Rejection(
        [("Content-Type", _PROBLEM)], msgspec.json.encode(document)
    )


def build_cut_off() -> tuple[int, http_server.Rejection]:
    """Returns the answer to a request that is cut off when the host stops."""
    outcome = outcomes.Unknown(
        Reason.SHUTTING_DOWN,
        "this host stops and had no answer",
        "send the request to another host, with the same key if it has one",
    )
    document = outcomes.problem(outcome, "")
    return document["status"], http_server.Rejection(
        [("Content-Type", _PROBLEM)], msgspec.json.encode(document)
    )


def _json_response(
    document: Any, status: int = 200, mimetype: str = _JSON
) -> werkzeug.Response:
    data = msgspec.json.encode(document)
    return werkzeug.Response(data, status, mimetype=mimetype)


def _unauthenticated_response() -> werkzeug.Response:
    outcome = outcomes.Rejected(
        Reason.UNAUTHENTICATED,
        "the Authorization header names no operator or account here",
        'send "Authorization: Bearer KEY"',
    )
    document = outcomes.problem(outcome, "")
    return _json_response(document, document["status"], _PROBLEM)
