"""Limits on requests that endpoints name in their answers."""

from typing import NamedTuple

from chervilarch import endpoint_list, endpoint_state, state_log
from chervilarch import loop as loops


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
    """The limits in force, as far as this host knows them."""

    def __init__(self, loop: loops.Loop):
        self._loop = loop
        self._limits: dict[endpoint_state.EndpointRun, EndpointLimit] = {}

    def record_answer(
        self, run: endpoint_state.EndpointRun, per_s: float | None
    ) -> None:
        """Records the limit that an answer names, None for none."""
        known = self._limits.get(run)
        if known is None and per_s is None:
            return
        limit = EndpointLimit(
            run.key, run.incarnation, per_s or 0.0, self._loop.now()
        )
        self._limits[run] = limit
        if known is None or known.per_s != limit.per_s:
            self._log(limit)

    def set_endpoints(
        self, listed: dict[str, dict[str, endpoint_list.Listing]]
    ) -> None:
        """Forgets the limits of runs that have ended."""
        runs = {
            endpoint_state.EndpointRun(name, listing.entry.incarnation)
            for listings in listed.values()
            for name, listing in listings.items()
        }
        self._limits = {
            run: limit for run, limit in self._limits.items() if run in runs
        }

    def _log(self, limit: EndpointLimit) -> None:
        state_log.log_change(
            "endpoint limit", endpoint=limit.endpoint, per_s=limit.per_s
        )
