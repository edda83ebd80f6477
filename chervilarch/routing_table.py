"""The gateway's configuration, indexed for look-ups."""

import enum
import zlib
from typing import NamedTuple

from chervilarch.scheduling import engine_choice


class RetryPolicy(enum.Enum):
    """How often a request may run; a retry by the caller is a new request."""

    AT_MOST_ONCE = "at most once"
    ANY = "any"


class Stage(NamedTuple):
    """A step of a request before its final call.

    Attributes:
        pool: pool whose endpoints make its pieces.
        after: indexes of the stages whose results it needs.
        result_bytes: approximate size of one result.
    """

    pool: str
    after: tuple[int, ...]
    result_bytes: int


class WorkerProfile(NamedTuple):
    """Capacity, speed and memory of a worker of one pool; times in seconds.

    Attributes:
        max_calls: calls that run at a time.
        queue: calls that may wait at the worker; nothing here uses it.
        batch: pieces that one call may hold.
        call_overhead_s: fixed time of a call, without its pieces.
        piece_s: approximate time of one piece.
        result_memory_bytes: memory for results.
        result_ttl_s: how long a result is kept after its call.
    """

    max_calls: int
    queue: int
    batch: int
    call_overhead_s: float
    piece_s: float
    result_memory_bytes: float
    result_ttl_s: float


class EngineProfile(NamedTuple):
    """Capacity of an engine of one pool; 0 stands for what isn't known.

    Attributes:
        slots: requests that run at a time.
        memory_tokens: tokens of requests and cached parts that it holds.
        event_tokens: tokens of one event of a stream.
    """

    slots: int = 0
    memory_tokens: int = 0
    event_tokens: int = 0


class Pool(NamedTuple):
    """Endpoints of one kind.

    Attributes:
        name: the pool's name.
        worker_profile: set for pools that run stages.
        cold_start_s: how long an endpoint is cold after a start.
        cold_per_s: requests a second that a cold endpoint can take; 0.0 if
            there is no bound.
        engine_profile: set for pools of model engines.
    """

    name: str
    worker_profile: WorkerProfile | None = None
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0
    engine_profile: EngineProfile | None = None


class Route(NamedTuple):
    """How requests to one HTTP host name and path prefix are served.

    Times are in seconds.

    Attributes:
        name: the route's name.
        host: HTTP host name without a port, in lower case.
        path_prefix: begins and ends with a slash.
        is_stream: whether the answer is a stream of events.
        retry_policy: how often a request may run.
        timeout_s: longest time until the answer.
        objective_s: time within which an answer is on time.
        gap_objective_s: longest pause between events that is still on time.
        priority: 0 is the most urgent.
        pools: pools of the final call with their weights.
        max_attempts: bound on attempts of the final call. There is no retry
            once this many ended attempts may have run, and no hedge once this
            many were sent.
        stages: the stages before the final call.
        needs_key: whether callers must send an account's key.
        is_prompt: whether requests carry a prompt for a model engine.
        allowed_regions: regions whose endpoints may be used; empty for all.
    """

    name: str
    host: str
    path_prefix: str
    is_stream: bool
    retry_policy: RetryPolicy
    timeout_s: float
    objective_s: float
    gap_objective_s: float
    priority: int
    pools: tuple[tuple[str, float], ...]
    max_attempts: int
    stages: tuple[Stage, ...] = ()
    needs_key: bool = True
    is_prompt: bool = False
    allowed_regions: frozenset[str] = frozenset()

    def pool_for(self, request_id: str) -> str:
        """Returns the pool of a request, by its id and the weights."""
        total = sum(weight for _, weight in self.pools)
        if len(self.pools) == 1 or total <= 0:
            return self.pools[0][0]
        point = zlib.crc32(request_id.encode()) / 2**32 * total
        for name, weight in self.pools:
            point -= weight
            if point < 0:
                return name
        return self.pools[-1][0]


class Account(NamedTuple):
    """An account.

    Attributes:
        name: the account's name.
        priority: if set, goes before the route's.
        allowed_regions: regions whose endpoints may be used; empty for all.
    """

    name: str
    priority: int | None = None
    allowed_regions: frozenset[str] = frozenset()


class CallerLimits(NamedTuple):
    """Limits on callers' requests; times in seconds."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class RoutingTable:
    """One version of the gateway's configuration."""

    def __init__(
        self,
        version: int,
        routes: list[Route],
        pools: dict[str, Pool],
        accounts: dict[str, Account],
        limits: CallerLimits,
        has_accounts: bool,
    ):
        self.version = version
        self.pools = pools
        self.caller_limits = limits
        self.has_accounts = has_accounts
        self._accounts = accounts
        self._routes: dict[str, dict[str, Route]] = {}
        for route in routes:
            self._routes.setdefault(route.host, {})[route.path_prefix] = route
        account_priorities = {a.priority for a in accounts.values()}
        ranks = {
            _rank(route.priority, priority)
            for route in routes
            for priority in (
                account_priorities
                if has_accounts and route.needs_key
                else {None}
            )
        }
        self._urgencies = {
            rank: number for number, rank in enumerate(sorted(ranks))
        }

    def urgency(self, route: Route, account: Account | None) -> int:
        """Returns the place of a request among all others; 0 goes first.

        An account's priority goes before the route's. Among requests for which
        it is the same, as when all accounts have one, the route's decides.
        """
        priority = account.priority if account else None
        return self._urgencies[_rank(route.priority, priority)]

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix of a path, if any.

        `host` is the HTTP host name of the request, with or without a port.
        """
        prefixes = self._routes.get(host.partition(":")[0].lower())
        if prefixes is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def is_pause_sensitive(self, route: Route, pool: str) -> bool:
        """Returns whether prompts at a pool can make a route's events late.

        Such prompts are placed by their cost.
        """
        profile = (
            self.pools[pool].engine_profile if pool in self.pools else None
        )
        return (
            profile is not None
            and route.is_prompt
            and route.is_stream
            and engine_choice.is_pause_sensitive(
                route.gap_objective_s, profile.event_tokens
            )
        )

    def account_of_key(self, api_key: str) -> Account | None:
        """Returns the account that holds an API key."""
        return self._accounts.get(api_key)

    def routes(self) -> list[Route]:
        """Returns every route."""
        return [
            r for by_path in self._routes.values() for r in by_path.values()
        ]


def _rank(route_priority: int, account_priority: int | None) -> tuple[int, int]:
    if account_priority is None:
        return route_priority, route_priority
    return account_priority, route_priority
