"""Records the steps of recent requests, for `explain REQUEST-ID`."""

import collections
import threading
from collections.abc import Callable
from typing import Any, TypedDict

from chervilarch import clocks

MAX_REQUESTS = 5000
MAX_STEPS = 200
# Bounds the memory of all traces: a step takes about half a kilobyte.
MAX_TOTAL_STEPS = 100_000


class Step(TypedDict):
    """One step of a request; `at_ms` counts from the request's arrival."""

    at_ms: float
    step: str
    detail: dict[str, Any]


class Trace:
    """The steps of one request, at most `MAX_STEPS` of them.

    Attributes:
        account: name of the account, "" while unknown.
        ending_filter: filter whose outcome ended a request that got no answer,
            "" for none.
        on_step: called after each step.
    """

    def __init__(self, request_id: str, clock: clocks.Clock):
        self.request_id = request_id
        self.account = ""
        self.ending_filter = ""
        self._clock = clock
        self._start = clock.monotonic()
        self._steps: list[tuple[float, str, dict[str, Any]]] = []
        self.on_step: Callable[[Trace], None] | None = None

    def add_step(self, step: str, **detail: Any) -> None:
        """Adds a step, unless the trace is full."""
        if len(self._steps) < MAX_STEPS:
            at_s = self._clock.monotonic() - self._start
            self._steps.append((at_s, step, detail))
            if self.on_step is not None:
                self.on_step(self)

    def steps(self) -> list[Step]:
        """Returns the steps, oldest first."""
        return [
            Step(at_ms=round(at_s * 1000, 2), step=step, detail=detail)
            for at_s, step, detail in list(self._steps)
        ]


class Explanations:
    """The traces of the last requests.

    There are at most `MAX_REQUESTS`, with `MAX_TOTAL_STEPS` steps.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._traces: collections.OrderedDict[str, Trace] = (
            collections.OrderedDict()
        )
        self._step_counts: collections.Counter[str] = collections.Counter()
        self._total_steps = 0

    def add(self, trace: Trace) -> None:
        """Adds a trace; when full, the oldest ones are dropped."""
        with self._lock:
            self._traces[trace.request_id] = trace
            if len(self._traces) > MAX_REQUESTS:
                self._drop_oldest()
        trace.on_step = self._count_step

    def _count_step(self, trace: Trace) -> None:
        with self._lock:
            if trace.request_id not in self._traces:
                return
            self._step_counts[trace.request_id] += 1
            self._total_steps += 1
            while self._total_steps > MAX_TOTAL_STEPS:
                self._drop_oldest()

    def _drop_oldest(self) -> None:
        request_id, _ = self._traces.popitem(last=False)
        self._total_steps -= self._step_counts.pop(request_id, 0)

    def find(self, request_id: str, account: str | None) -> Trace | None:
        """Returns a request's trace, or None if there is none.

        Only the account's own traces are returned, unless `account` is None.
        """
        with self._lock:
            trace = self._traces.get(request_id)
        if trace is None or (account is not None and trace.account != account):
            return None
        return trace
