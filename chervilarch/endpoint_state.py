"""State of one endpoint, and of the attempts that hold its slots."""

from typing import NamedTuple

from chervilarch import choice, hosts, limits

# Consecutive failures after which an endpoint is ejected.
EJECT_AFTER = 3
EJECT_S = 2.0
MAX_EJECT_S = 4.0
# After an ejection ends, trust recovers fully within this time.
RECOVERY_S = 5.0
_MIN_TRUST = 0.1
# How long an endpoint is trusted less after it lost to a hedge or was too slow;
# doubled with each further suspicion.
SUSPECT_S = 1.0
MAX_SUSPECT_S = 8.0
# An answer within this multiple of the unloaded time clears a suspicion.
_CLEARING_RATIO = 2.0


class EndpointRun(NamedTuple):
    """One run of an endpoint.

    Attributes:
        key: key of the endpoint in its table: its address in the router, its id
            in the gateway.
        incarnation: tells its runs apart.
    """

    key: str
    incarnation: int


class Work(NamedTuple):
    """Requirements of an attempt.

    Attributes:
        pool: name of the pool.
        units: predicted size in work units, 1.0 for ordinary work.
        priority: lower values go first; only the router sets it.
        prefix: start of a prompt, which an endpoint may have cached; only the
            router sets it.
        exclude: addresses that were tried already; only the router sets it.
        finish_by: monotonic time by which the work must be done.
        is_stream: whether the answer is a stream of tokens.
    """

    pool: str
    units: float = 1.0
    priority: int = 5
    prefix: bytes = b""
    exclude: frozenset[str] = frozenset()
    finish_by: float = float("inf")
    is_stream: bool = False


class Slot:
    """The place of one running attempt on an endpoint, with its timing."""

    def __init__(
        self, number: int, endpoint: EndpointRun, work: Work, now: float
    ):
        self.number = number
        self.endpoint = endpoint
        self.work = work
        self.started_at = now
        self.expected_s = 0.0
        # Whether the first event of a stream has arrived; only the gateway sets
        # it.
        self.has_answered = False
        # Whether the request was sent; only the gateway sets it.
        self.is_sent = False
        # When the first and the last event so far arrived; only the gateway
        # sets them.
        self.first_event_at: float | None = None
        self.last_event_at: float | None = None
        # Only the router sets this.
        self.deviation_s = 0.0

    def record_event(self, now: float) -> None:
        """Records that events of a stream arrived."""
        if self.first_event_at is None:
            self.first_event_at = now
        self.last_event_at = now

    def answered_s(self) -> float:
        """Returns the time between the first and the last event, or 0."""
        if self.first_event_at is None:
            return 0.0
        return self.last_event_at - self.first_event_at


class Endpoint:
    """State of one endpoint.

    It isn't thread-safe: `EndpointTable` of the router guards it by its lock,
    and `Placement` of the gateway uses it in the loop's thread only. Only the
    router sets `is_leaving`, `is_listed`, `reported_load`, `reported_at` and
    `last_attempt_at`; in the gateway they keep their first values.
    """

    def __init__(self, entry: hosts.HostEntry, is_local: bool):
        self.address = entry.address
        self.pool = entry.pool
        self.data_centre = entry.data_centre
        self.incarnation = entry.incarnation
        self.is_local = is_local
        self.is_leaving = False
        self.is_listed = True
        self.limit_state = limits.LimitState()
        self.slots: dict[int, Slot] = {}
        self.units = 0.0
        self.failures = 0
        self.ejections = 0
        self.ejected_until = float("-inf")
        self.reported_load = 0.0
        self.reported_at = float("-inf")
        self.answered_at = float("-inf")
        self.last_attempt_at = float("-inf")
        self.suspicions = 0
        self.suspect_until = float("-inf")

    def latency_s(self, now: float) -> float:
        """Returns the estimated time of a work unit, 0 while unknown."""
        idle_s = max(0.0, now - self.answered_at)
        return limits.decayed_latency_s(self.limit_state, idle_s)

    def view(self, now: float, default_s: float) -> choice.EndpointView:
        """Returns the input of a choice; `default_s` is used while unknown."""
        oldest_s = 0.0
        if self.slots:
            slot = next(iter(self.slots.values()))
            oldest_s = (now - slot.started_at) / max(1.0, slot.work.units)
        return choice.EndpointView(
            self.address,
            self.is_local,
            len(self.slots),
            self.units,
            self.limit_state.limit,
            self.latency_s(now) or default_s,
            self.limit_state.base_s,
            oldest_s,
            self.reported_load,
            now - self.reported_at,
            self._trust(now),
            self._is_pausing(now),
        )

    def has_capacity(self, now: float) -> bool:
        """Returns whether one more attempt may be sent here."""
        return choice.allows_attempt(
            len(self.slots), self.limit_state.limit, self._is_pausing(now)
        )

    def _is_pausing(self, now: float) -> bool:
        return now - self.last_attempt_at < limits.min_interval_s(
            self.limit_state
        )

    def is_open(self, now: float) -> bool:
        """Returns whether the endpoint may get new work at all."""
        return (
            self.is_listed and not self.is_leaving and now >= self.ejected_until
        )

    def suspect(self, now: float) -> None:
        """Reduces the trust in the endpoint for a while, longer each time."""
        if now < self.suspect_until:
            return
        period_s = min(MAX_SUSPECT_S, SUSPECT_S * 2**self.suspicions)
        self.suspicions += 1
        self.suspect_until = now + period_s

    def record_success(self, slot: Slot, elapsed_s: float, now: float) -> None:
        """Updates the estimates after an answer."""
        unit_s = elapsed_s / max(1.0, slot.work.units)
        self.failures = 0
        self.answered_at = now
        # Counts the answered attempt, whose slot is released by now. A stream's
        # slot isn't released at its first event, so the stream counts twice.
        in_flight = len(self.slots) + 1
        tolerance = limits.STREAMS if slot.work.is_stream else limits.CALLS
        self.limit_state = limits.after_answer(
            self.limit_state, unit_s, in_flight, tolerance
        )
        if unit_s <= _CLEARING_RATIO * self.limit_state.base_s:
            self.suspicions = 0
            self.suspect_until = float("-inf")
        if now - self.ejected_until > RECOVERY_S:
            self.ejections = 0

    def record_failure(self, now: float) -> float | None:
        """Counts a failure; returns for how long it ejects, if it does."""
        self.failures += 1
        self.limit_state = limits.after_failure(self.limit_state)
        if self.failures < EJECT_AFTER or now < self.ejected_until:
            return None
        return self._eject(now)

    def record_unreachable(self, now: float) -> float | None:
        """Ejects an unreachable endpoint; returns for how long, if it does."""
        return None if now < self.ejected_until else self._eject(now)

    def _eject(self, now: float) -> float:
        eject_s = min(MAX_EJECT_S, EJECT_S * 2**self.ejections)
        self.ejections += 1
        self.failures = 0
        self.ejected_until = now + eject_s
        return eject_s

    def record_lower_bound(
        self, slot: Slot, elapsed_s: float, now: float
    ) -> None:
        """Updates the estimates after an attempt cut off at `elapsed_s`."""
        unit_s = elapsed_s / max(1.0, slot.work.units)
        if self.limit_state.latency_s > 0:
            self.answered_at = now
            self.limit_state = limits.after_lower_bound(
                self.limit_state, unit_s
            )

    def _trust(self, now: float) -> float:
        if now < self.suspect_until:
            return _MIN_TRUST
        if self.ejections == 0:
            return 1.0
        since_ejection_s = now - self.ejected_until
        return max(_MIN_TRUST, min(1.0, since_ejection_s / RECOVERY_S))


def mean_latency_s(endpoints: list[Endpoint], now: float) -> float:
    """Returns the mean time of a work unit by limit, 0 while unknown."""
    known = [item for item in endpoints if item.limit_state.latency_s > 0]
    if not known:
        return 0.0
    weighted = sum(
        item.latency_s(now) * item.limit_state.limit for item in known
    )
    return weighted / sum(item.limit_state.limit for item in known)
