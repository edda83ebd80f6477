"""What the fault scenarios share: a small fleet, checks and callers."""

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


class BrokenPromiseError(Exception):
    """Something that must always hold did not."""


class Scenario(NamedTuple):
    """A named scenario; it raises an error if something did not hold."""

    name: str
    run: Callable[[], None]


class Told(NamedTuple):
    """What a caller was told: an outcome, its reason or its output."""

    outcome: str
    reason: str
    output: Any


def expect(condition: bool, what: str) -> None:
    """Raises `BrokenPromiseError` unless a condition holds."""
    if not condition:
        raise BrokenPromiseError(what)


def specs(
    unit_ms: float = 50, copies: int = 2, **options: str
) -> list[fleet.EndpointSpec]:
    """Returns endpoints of each pool."""
    extra = tuple(part for item in options.items() for part in item)
    common = ("--unit-ms", str(unit_ms), *extra)
    kinds = {"bookings": "service", "encode": "call", "generate": "stream"}
    return [
        fleet.EndpointSpec(pool, kind, "a", common)
        for pool, kind in kinds.items()
        for _ in range(copies)
    ]


def start(running: fleet.Fleet, **rule: Any) -> int:
    """Publishes the scenario's configuration; returns its version."""
    path = overhead.write_configuration(
        running.folder, POOLS, PIPELINES, **rule
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
) -> Told:
    """Runs a pipeline and returns what the caller was told."""
    sent = {**ACCOUNT_HEADERS}
    sent.update({k.replace("_", "-"): v for k, v in headers.items()})
    if key:
        sent["Idempotency-Key"] = key
    answer = fleet.call(
        router.address,
        "POST",
        f"/v1/pipelines/{pipeline}/runs",
        {"input": prompt, "stream": stream, "max_tokens": tokens},
        sent,
        timeout_s,
    )
    return told(answer)


def told(answer: fleet.Answer) -> Told:
    """Returns what an HTTP answer tells its caller."""
    if answer.status == 0:
        return Told("lost", "", None)
    if answer.headers.get("Content-Type", "").startswith("text/event-stream"):
        return _told_by_stream(answer.body.decode())
    document = answer.json()
    if answer.status == 200:
        return Told("answer", "", document["output"])
    return Told(document["outcome"], document["reason"], document["detail"])


def _told_by_stream(text: str) -> Told:
    last = text.strip().split("\n\n")[-1]
    data = json.loads(last.split("data: ", 1)[1])
    if last.startswith("event: end"):
        return Told("answer", "", data["output"])
    if last.startswith("event: error"):
        return Told(data["outcome"], data["reason"], data["detail"])
    return Told("cut", "", None)


class Caller(threading.Thread):
    """Sends one request in the background."""

    def __init__(self, *args: Any, **kwargs: Any):
        super().__init__(daemon=True)
        self._args = args
        self._kwargs = kwargs
        self.told: Told | None = None
        self.start()

    def run(self) -> None:
        """Sends the request."""
        self.told = send(*self._args, **self._kwargs)

    def result(self) -> Told:
        """Waits for what the caller was told."""
        self.join(30)
        expect(self.told is not None, "a caller waited over 30 s")
        return self.told


def executions(running: fleet.Fleet, key: str) -> int:
    """Returns how often the booking services ran a key."""
    return sum(
        fleet.counts(endpoint)["executions"].get(key, 0)
        for endpoint in running.endpoints
        if endpoint.spec.pool == "bookings"
    )


def check_key(running: fleet.Fleet, key: str, answers: list[Told]) -> None:
    """Checks what must hold for a key, whatever happened."""
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
) -> list[Told]:
    """Sends a key through every router; all must tell the same outcome."""
    answers = [
        send(router, "book", prompt, key, Deadline_Ms="2500")
        for router in running.routers
        if router.process.is_running()
    ]
    names = {item.outcome for item in answers}
    expect(len(names) == 1, f"routers tell {answers} of key {key}")
    return answers


def expected_tokens(prompt: str, count: int = 32) -> str:
    """Returns the whole answer of the engines to a prompt."""
    return "".join(standin.token_text(prompt, i) for i in range(count))


def expected_call(pool: str, prompt: str) -> dict[str, str]:
    """Returns the whole answer of a call stage to a prompt."""
    return standin.call_output(pool, prompt)


def pause(seconds: float) -> None:
    """Lets time pass."""
    time.sleep(seconds)
