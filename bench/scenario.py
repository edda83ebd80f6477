"""Shared parts of the fault scenarios: a small fleet, checks and callers."""

import json
import threading
import time
from collections.abc import Callable
from typing import Any, NamedTuple

from bench import fleet, overhead
from standins import endpoint as standin

ACCOUNT_HEADERS = {"Authorization": "Bearer load-key"}
POOLS = {
    "bookings": overhead.call_pool("bookings", repeatable=False),
    "encode": overhead.call_pool("encode"),
    "generate": overhead.STREAM_POOL,
}
PIPELINES = {
    "book": ["bookings"],
    "encode": ["encode"],
    "generate": ["generate"],
    "survey": ["encode", "generate"],
}


class InvariantError(Exception):
    """An invariant that a scenario checks was violated."""


class Scenario(NamedTuple):
    """A named scenario; `run` raises `InvariantError` if a check fails."""

    name: str
    run: Callable[[], None]


class CallerResult(NamedTuple):
    """What a caller received: an outcome with its reason and output.

    An outcome other than "answer" has the detail as its output.
    """

    outcome: str
    reason: str
    output: Any


def expect(condition: bool, message: str) -> None:
    """Raises `InvariantError` unless a condition holds."""
    if not condition:
        raise InvariantError(message)


def specs(
    unit_ms: float = 50, copies: int = 2, **options: str
) -> list[fleet.EndpointSpec]:
    """Returns the specs of `copies` endpoints of each pool."""
    extra_options = tuple(part for item in options.items() for part in item)
    all_options = ("--unit-ms", str(unit_ms), *extra_options)
    kinds = {"bookings": "service", "encode": "call", "generate": "stream"}
    return [
        fleet.EndpointSpec(pool, kind, "a", all_options)
        for pool, kind in kinds.items()
        for _ in range(copies)
    ]


def start(running: fleet.Fleet, **row_values: Any) -> int:
    """Puts the configuration of the scenarios in force; returns its version.

    `row_values` overrides values of each schedule row. Waits until every router
    has the version and knows the endpoints.
    """
    path = overhead.write_configuration(
        running.folder, POOLS, PIPELINES, **row_values
    )
    version = running.publish(None, path)
    running.wait_in_force(version)
    running.wait_endpoints_known()
    return version


def send(
    router: fleet.Router,
    pipeline: str,
    prompt: str,
    key: str = "",
    stream: bool = False,
    timeout_s: float = 15.0,
    tokens: int = 32,
    **headers: str,
) -> CallerResult:
    """Runs a pipeline and returns what the caller received.

    Underscores in the names of `headers` stand for hyphens.
    """
    request_headers = {**ACCOUNT_HEADERS}
    request_headers.update({k.replace("_", "-"): v for k, v in headers.items()})
    if key:
        request_headers["Idempotency-Key"] = key
    response = fleet.send_request(
        router.address,
        "POST",
        f"/v1/pipelines/{pipeline}/runs",
        {"input": prompt, "stream": stream, "max_tokens": tokens},
        request_headers,
        timeout_s,
    )
    return parse_response(response)


def parse_response(response: fleet.HttpResponse) -> CallerResult:
    """Returns the result that an HTTP response holds for its caller."""
    if response.status == 0:
        return CallerResult("lost", "", None)
    if response.headers.get("Content-Type", "").startswith("text/event-stream"):
        return _parse_stream(response.body.decode())
    document = response.json()
    if response.status == 200:
        return CallerResult("answer", "", document["output"])
    return CallerResult(
        document["outcome"], document["reason"], document["detail"]
    )


def _parse_stream(text: str) -> CallerResult:
    last = text.strip().split("\n\n")[-1]
    data = json.loads(last.split("data: ", 1)[1])
    if last.startswith("event: end"):
        return CallerResult("answer", "", data["output"])
    if last.startswith("event: error"):
        return CallerResult(data["outcome"], data["reason"], data["detail"])
    return CallerResult("cut", "", None)


class Caller(threading.Thread):
    """Sends one request in a thread that starts at once."""

    def __init__(self, *args: Any, **kwargs: Any):
        super().__init__(daemon=True)
        self._args = args
        self._kwargs = kwargs
        self._result: CallerResult | None = None
        self.start()

    def run(self) -> None:
        """Sends the request and keeps its result."""
        self._result = send(*self._args, **self._kwargs)

    def result(self) -> CallerResult:
        """Waits for the result; fails after 30 s."""
        self.join(30)
        expect(self._result is not None, "a caller waited over 30 s")
        return self._result


def executions(running: fleet.Fleet, key: str) -> int:
    """Returns how often the booking services executed the call of a key."""
    return sum(
        fleet.endpoint_counts(endpoint)["executions"].get(key, 0)
        for endpoint in running.endpoints
        if endpoint.spec.pool == "bookings"
    )


def check_key(
    running: fleet.Fleet, key: str, answers: list[CallerResult]
) -> None:
    """Checks that a key ran at most once, and exactly once if it was answered.

    All answers must have the same output.
    """
    runs = executions(running, key)
    expect(runs <= 1, f"key {key} ran {runs} times; told {answers}")
    outputs = [item.output for item in answers if item.outcome == "answer"]
    expect(
        all(output == outputs[0] for output in outputs),
        f"key {key} got different answers: {outputs}",
    )
    if outputs:
        expect(runs == 1, f"key {key} was answered but never ran")


def check_same_outcome(
    running: fleet.Fleet, key: str, prompt: str
) -> list[CallerResult]:
    """Sends a key through every running router; all outcomes must be equal."""
    answers = [
        send(router, "book", prompt, key, Deadline_Ms="2500")
        for router in running.routers
        if router.process.is_running()
    ]
    outcomes = {item.outcome for item in answers}
    expect(len(outcomes) == 1, f"routers tell {answers} of key {key}")
    return answers


def expected_tokens(prompt: str, count: int = 32) -> str:
    """Returns the complete output of a stream endpoint for a prompt."""
    return "".join(standin.token_text(prompt, i) for i in range(count))


def expected_call(pool: str, prompt: str) -> dict[str, str]:
    """Returns the complete output of a call endpoint for a prompt."""
    return standin.call_output(pool, prompt)


def pause(seconds: float) -> None:
    """Sleeps for a time."""
    time.sleep(seconds)
