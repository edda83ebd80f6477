"""Limits on requests that endpoints name in their answers.

A limit holds for all hosts together, so hosts tell each other of limits that
begin, change or end. Limits of endpoints that get no requests stay as they were
last seen, also while an endpoint isn't listed: it may be listed again.
"""

import math
from collections.abc import Callable
from typing import NamedTuple

from chervilarch import endpoint_state, state_log
from chervilarch import loop as loops

# An endpoint that takes no requests still gets one at times, as only its answer
# can tell that this is over.
MIN_PER_S = 0.1
# Other hosts needn't know of smaller changes.
_CHANGE_SHARE = 0.1
# Those whose last answer is the oldest are forgotten beyond this.
_MAX_LIMITS = 4096


class EndpointLimit(NamedTuple):
    """What a run of an endpoint last said about its limit.

    Attributes:
        endpoint: id of the endpoint.
        incarnation: tells its runs apart.
        per_s: requests a second that it takes from all hosts together, 0.0
            if it names no limit.
        seen_at: monotonic time of the answer.
    """

    endpoint: str
    incarnation: int
    per_s: float
    seen_at: float


class EndpointLimits:
    """The limits in force, as far as this host knows them.

    Attributes:
        publish: sends news to other hosts.
    """

    def __init__(self, loop: loops.Loop):
        self._loop = loop
        self._limits: dict[endpoint_state.EndpointRun, EndpointLimit] = {}
        self.publish: Callable[[list[EndpointLimit]], None] = _ignore

    def per_s(self, run: endpoint_state.EndpointRun) -> float | None:
        """Returns the limit of a run, None if it has none."""
        limit = self._limits.get(run)
        return limit.per_s if limit is not None and limit.per_s else None

    def record_answer(
        self, run: endpoint_state.EndpointRun, per_s: float | None
    ) -> None:
        """Records the limit that an answer names, None for none."""
        known = self._limits.get(run)
        if known is None and per_s is None:
            return
        named = 0.0 if per_s is None else max(MIN_PER_S, per_s)
        now = self._loop.now()
        limit = EndpointLimit(run.key, run.incarnation, named, now)
        self._set(limit)
        if known is None or _is_news(known, limit):
            self._log(limit)
            self.publish([limit])

    def items(self, now: float, max_age_s: float) -> list[EndpointLimit]:
        """Returns what other hosts should know."""
        return [
            limit
            for limit in self._limits.values()
            if now - limit.seen_at <= max_age_s
        ]

    def merge(self, items: list) -> None:
        """Applies what other hosts learned; the newest answer counts."""
        for limit in items:
            if not isinstance(limit, EndpointLimit):
                continue
            run = endpoint_state.EndpointRun(limit.endpoint, limit.incarnation)
            known = self._limits.get(run)
            if known is not None and limit.seen_at <= known.seen_at:
                continue
            self._set(limit)
            if known is None or _is_news(known, limit):
                self._log(limit)

    def _set(self, limit: EndpointLimit) -> None:
        run = endpoint_state.EndpointRun(limit.endpoint, limit.incarnation)
        self._limits.pop(run, None)
        self._limits[run] = limit
        if len(self._limits) > _MAX_LIMITS:
            del self._limits[next(iter(self._limits))]

    def _log(self, limit: EndpointLimit) -> None:
        state_log.log_change(
            "endpoint limit", endpoint=limit.endpoint, per_s=limit.per_s
        )


def is_limit(per_s: float) -> bool:
    """Returns whether a host may name this limit; 0.0 ends one."""
    return per_s == 0.0 or MIN_PER_S <= per_s < math.inf


def _is_news(known: EndpointLimit, limit: EndpointLimit) -> bool:
    change = abs(limit.per_s - known.per_s)
    return change > _CHANGE_SHARE * min(limit.per_s, known.per_s)


def _ignore(limits: list[EndpointLimit]) -> None:
    pass
