"""History of a soak: runs, answers to callers and disturbances."""

import collections
from typing import NamedTuple

# Guarantees with a time limit bind a gateway only once it has been undisturbed
# for this long.
SETTLING_S = 3.0


class Run(NamedTuple):
    """A request that an endpoint began to run.

    Attributes:
        started_at: when it began, in seconds of the soak's clock.
        request_id: its id.
        endpoint: the endpoint's name.
        route: name of its route.
        gateway: the gateway that the caller sent it to.
        resumed_after: the last event that the caller already has, 0 for none.
        tenant: the tenant that the endpoint was told.
        has_authorization: whether the caller's key reached the endpoint.
        prompt: ids of the prompt's parts.
    """

    started_at: float
    request_id: str
    endpoint: str
    route: str
    gateway: str
    resumed_after: int
    tenant: str
    has_authorization: bool
    prompt: tuple[str, ...] = ()


class Answer(NamedTuple):
    """How a request ended for its caller.

    Attributes:
        sent_at: when it was sent, in seconds of the soak's clock.
        ended_at: when it ended.
        request_id: its id.
        route: name of its route.
        gateway: the gateway that it was sent to.
        status: None if the connection ended without an answer.
        is_complete: whether the answer ended as its framing requires.
        matches_request: whether id, stamp and body belong to this request.
        events: the ids of the stream's events.
        expected_events: how many events the complete stream has.
        caller_gave_up: whether the caller closed the connection first.
    """

    sent_at: float
    ended_at: float
    request_id: str
    route: str
    gateway: str
    status: int | None
    is_complete: bool
    matches_request: bool
    events: tuple[int, ...]
    expected_events: int
    caller_gave_up: bool


class Limit(NamedTuple):
    """A time in which an endpoint names a limit in its answers.

    Attributes:
        endpoint: the endpoint's name.
        per_s: requests a second that it takes from all gateways together.
        began_at: when it began, in seconds of the soak's clock.
        ended_at: when it ended.
    """

    endpoint: str
    per_s: float
    began_at: float
    ended_at: float


class Evacuation(NamedTuple):
    """A time in which operators want no new work in a data centre.

    Attributes:
        data_centre: its name.
        began_at: when the store had the record, in seconds of the soak's clock.
        ended_at: when its deletion was begun.
    """

    data_centre: str
    began_at: float
    ended_at: float


class Work(NamedTuple):
    """A request or call for pieces that reached an endpoint it was meant for.

    Attributes:
        arrived_at: when, in seconds of the soak's clock.
        endpoint: the endpoint's name.
        data_centre: the endpoint's data centre.
        gateway: the gateway that the caller sent the request to, "" for pieces,
            which any gateway may send.
    """

    arrived_at: float
    endpoint: str
    data_centre: str
    gateway: str


class Disturbance(NamedTuple):
    """An interval in which guarantees with a time limit don't bind a target.

    Faults that suspend no guarantee, such as those of the endpoints themselves,
    aren't recorded.

    Attributes:
        began_at: when it began, in seconds of the soak's clock.
        ended_at: when it ended, infinite while it lasts.
        target: a gateway's name, "store", or "link " and an endpoint's name.
        kind: what happened; "start" is the time after a gateway's restart.
    """

    began_at: float
    ended_at: float
    target: str
    kind: str


class History:
    """Everything that the checks look at.

    Attributes:
        runs: runs at the endpoints, by request id.
        answers: answers to callers.
        disturbances: intervals in which some guarantees don't bind.
        leaving_since: for each endpoint, when the store first held that it
            drains or no longer held its record.
        lookup_pools: when which pool was given the requests of route `look`.
        deadly_parts: prompt parts that callers use and that crash engines.
        crashes: for each such part, when engines crashed on it.
        limits: the limits that endpoints named.
        arrivals: time and gateway of the requests that reached each endpoint.
        evacuations: the evacuations that have ended.
        work: what reached the endpoints.
        violations: impossible events that a stand-in saw itself.
    """

    def __init__(self) -> None:
        self.runs: dict[str, list[Run]] = collections.defaultdict(list)
        self.answers: list[Answer] = []
        self.disturbances: list[Disturbance] = []
        self.leaving_since: dict[str, float] = {}
        self.lookup_pools: list[tuple[float, str]] = []
        self.deadly_parts: list[str] = []
        self.crashes: dict[str, list[float]] = collections.defaultdict(list)
        self.limits: list[Limit] = []
        self.arrivals: dict[str, list[tuple[float, str]]] = (
            collections.defaultdict(list)
        )
        self.evacuations: list[Evacuation] = []
        self.work: list[Work] = []
        self.violations: list[str] = []

    def is_undisturbed(
        self, targets: set[str], begin: float, end: float
    ) -> bool:
        """Returns whether no disturbance of a target overlaps that time."""
        return not any(
            item.target in targets
            and item.began_at <= end
            and item.ended_at >= begin
            for item in self.disturbances
        )
