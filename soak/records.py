"""What the soak saw: runs at back ends, answers to callers, disturbances."""

import collections
from typing import NamedTuple

# A gateway is bound by promises with a time only after so long in calm.
CONTACT_S = 3.0


class Run(NamedTuple):
    """A request that began to run; `after` is where a stream went on."""

    at: float
    request_id: str
    endpoint: str
    route: str
    gateway: str
    after: int
    tenant: str
    has_key: bool


class Answer(NamedTuple):
    """How a request ended at its caller.

    Attributes:
        sent_at: when it was sent, in seconds of the soak's clock.
        ended_at: when it ended.
        request_id: its id.
        route: name of its route.
        gateway: the gateway that it was sent to.
        status: None if the connection ended without an answer.
        is_whole: whether the answer ended as its framing demands.
        is_own: whether id, stamp and body are those of this request.
        events: the ids of the stream's events.
        wanted: how many events the whole stream has.
        has_left: whether the caller closed the connection by itself.
    """

    sent_at: float
    ended_at: float
    request_id: str
    route: str
    gateway: str
    status: int | None
    is_whole: bool
    is_own: bool
    events: tuple[int, ...]
    wanted: int
    has_left: bool


class Disturbance(NamedTuple):
    """A fault: from when to when, and on what."""

    began_at: float
    ended_at: float
    target: str
    kind: str


class Records:
    """Everything that the checks judge."""

    def __init__(self) -> None:
        self.runs: dict[str, list[Run]] = collections.defaultdict(list)
        self.answers: list[Answer] = []
        self.disturbances: list[Disturbance] = []
        # When the store held that an endpoint leaves or a key is gone.
        self.left_at: dict[str, float] = {}
        self.moved_at: list[tuple[float, str]] = []
        # What a stand-in itself saw that must not be.
        self.broken: list[str] = []

    def is_calm(self, targets: set[str], begin: float, end: float) -> bool:
        """Tells whether nothing disturbed any target in that time."""
        return not any(
            item.target in targets
            and item.began_at <= end
            and item.ended_at >= begin
            for item in self.disturbances
        )
