"""Finds faults within one configuration; does no I/O."""

import collections
import graphlib
import math
import re
from collections.abc import Iterator
from typing import NamedTuple

from chervilarch import declared_config, routing_table, stage_graph
from chervilarch.declared_config import Finding, Place, Section, Severity

# How msgspec names the place where a value has another type than expected.
_DECODER_PATH = re.compile(r" - at `(\$[^`]*)`$")
# How msgspec names the place where a document is no JSON.
_DECODER_BYTE = re.compile(r"\(byte (\d+)\)$")
# Sums of times that are written in decimals differ by rounding.
_ROUNDING_S = 1e-9


class _RouteEntry(NamedTuple):
    """A route, its position, and the pools that it may use."""

    route: routing_table.Route
    index: int
    pools: dict[str, routing_table.Pool]

    def place(self, field: str = "", item: int | None = None) -> Place:
        """Returns the place of one of its fields."""
        return Place(Section.ROUTE, self.route.name, self.index, field, item)

    def pools_place(self, item: int | None = None) -> Place:
        """Returns the place of one of its pools, or of all."""
        if len(self.route.pools) == 1 and self.route.pools[0][1] == 1:
            return self.place("pool")
        return self.place("pools", item)


def find_faults(config: declared_config.Configuration) -> list[Finding]:
    """Returns all faults of a configuration, in the order of its parts."""
    pools = {pool.name: pool for pool in config.pools}
    findings = []
    if not config.routes:
        findings.append(
            _error(
                "no-routes",
                Place(Section.ROUTE),
                "there are no routes, so every request is refused",
                "add the routes",
            )
        )
    findings += _find_hidden_routes(config.routes)
    for index, route in enumerate(config.routes):
        entry = _RouteEntry(route, index, pools)
        for find in _ROUTE_CHECKS:
            findings += find(entry)
    findings += _find_repeated_names(config)
    findings += _find_account_faults(config)
    findings += _find_limit_faults(config.limits)
    return findings


def describe_unreadable(reason: str, value: bytes) -> Finding:
    """Returns the finding for a file that the decoder refuses.

    Args:
        reason: what the decoder says.
        value: content of the file.
    """
    if not value.strip():
        return _error(
            "file-empty",
            Place(Section.FILE),
            "the file is empty",
            "write the whole configuration as one JSON object",
        )
    position = _DECODER_BYTE.search(reason)
    if position:
        before = value[: int(position[1])]
        line = before.count(b"\n") + 1
        column = len(before) - before.rfind(b"\n")
        reason = f"{reason[: position.start()]}at line {line}, byte {column}"
    path = _DECODER_PATH.search(reason)
    if path:
        reason = reason[: path.start()]
    return _error(
        "file-refused",
        Place(Section.FILE, field=path[1] if path else ""),
        f"the gateways can't decode it: {reason}",
        "correct it; until then they keep the configuration that they have",
    )


def describe_unread_file(reason: str) -> Finding:
    """Returns the finding for a file that can't be read at all."""
    return _error(
        "file-unreadable",
        Place(Section.FILE),
        f"it can't be read: {reason}",
        "give a readable file",
    )


def _find_hidden_routes(
    routes: tuple[routing_table.Route, ...],
) -> Iterator[Finding]:
    """Finds routes that a later one with the same host and prefix replaces.

    The longest prefix decides, so a route with another prefix leaves some paths
    to both.
    """
    last = {(r.host, r.path_prefix): n for n, r in enumerate(routes)}
    for index, route in enumerate(routes):
        winner = last[route.host, route.path_prefix]
        if winner != index:
            yield _error(
                "route-hidden",
                Place(Section.ROUTE, route.name, index),
                "it never matches: route "
                f"{declared_config.quote(routes[winner].name)} at position "
                f"{winner} has the same host and prefix, and the last one wins",
                "remove one of them, or change its host or prefix",
            )


def _find_unmatchable_address(entry: _RouteEntry) -> Iterator[Finding]:
    """Finds hosts and prefixes that no request can have.

    `RoutingTable.find` compares hosts without ports, and prefixes of a path
    without its query that end with a slash.
    """
    route = entry.route
    if ":" in route.host:
        yield _error(
            "route-host",
            entry.place("host"),
            f"it never matches: {declared_config.quote(route.host)} holds a "
            "port, and requests are matched without it",
            "write the host name alone",
        )
    prefix = route.path_prefix
    is_whole = prefix.startswith("/") and prefix.endswith("/")
    if not is_whole or "?" in prefix or "#" in prefix:
        yield _error(
            "route-prefix",
            entry.place("prefix"),
            f"it never matches: {declared_config.quote(prefix)} isn't a path "
            "that begins and ends with a slash",
            "write it as /name/, without a query",
        )


def _find_time_faults(entry: _RouteEntry) -> Iterator[Finding]:
    route = entry.route
    if route.timeout_s <= 0:
        yield _error(
            "time-out-not-positive",
            entry.place("timeout_s"),
            f"the time-out is {_seconds(route.timeout_s)}, so every request "
            "ends before it is sent",
            "write a time-out above the latency target",
        )
        return
    if route.objective_s < 0:
        yield _error(
            "target-negative",
            entry.place("objective_s"),
            f"the latency target is {_seconds(route.objective_s)}, so every "
            "answer is late",
            "write a target above 0, or none",
        )
        return
    if route.timeout_s < route.objective_s:
        yield _error(
            "time-out-below-target",
            entry.place("timeout_s"),
            f"the time-out {_seconds(route.timeout_s)} is below the latency "
            f"target {_seconds(route.objective_s)}",
            "raise the time-out, or lower the target",
        )
        return
    yield from _find_excess_attempts(entry)


def _find_excess_attempts(entry: _RouteEntry) -> Iterator[Finding]:
    """Finds routes whose attempts don't fit into the time-out one by one.

    Each attempt may take what the latency target leaves after the stages, or
    the expected time of a final call if there is no target below the time-out.
    It is no error: attempts that are refused end earlier, and hedges overlap.
    """
    route = entry.route
    if route.max_attempts <= 1:
        return
    stages_s = _stages_s(entry) or 0.0
    attempt_s = stage_graph.FINAL_CALL_S
    if stages_s and stages_s + attempt_s > route.timeout_s + _ROUNDING_S:
        # Not even one fits, which is reported as a fault of the stages.
        return
    if route.objective_s < route.timeout_s:
        attempt_s = max(attempt_s, route.objective_s - stages_s)
    needed_s = stages_s + route.max_attempts * attempt_s
    if needed_s > route.timeout_s + _ROUNDING_S:
        yield _warning(
            "attempts-exceed-time-out",
            entry.place("max_attempts"),
            f"{route.max_attempts} attempts of {_seconds(attempt_s)} "
            f"{_after_stages(stages_s)}take {_seconds(needed_s)}, and the "
            f"time-out is {_seconds(route.timeout_s)}",
            "allow fewer attempts, or raise the time-out",
        )


def _find_pool_faults(entry: _RouteEntry) -> Iterator[Finding]:
    for index, (name, _) in enumerate(entry.route.pools):
        if name not in entry.pools:
            yield _unknown_pool(entry.pools_place(index), name)


def _find_split_faults(entry: _RouteEntry) -> Iterator[Finding]:
    weights = [weight for _, weight in entry.route.pools]
    negative = [n for n, weight in enumerate(weights) if weight < 0]
    for index in negative:
        yield _error(
            "weight-negative",
            entry.pools_place(index),
            f"the weight {weights[index]:g} is below 0, which distorts the "
            "shares of the others",
            "write 0 to send nothing, or remove it",
        )
    if negative:
        return
    if sum(weights) <= 0:
        yield _error(
            "split-sends-nothing",
            entry.pools_place(),
            "all weights are 0, so the first service gets every request",
            "give a weight above 0 to each service that should get requests",
        )
        return
    for index, weight in enumerate(weights):
        if weight == 0:
            name = declared_config.quote(entry.route.pools[index][0])
            yield _warning(
                "weight-zero",
                entry.pools_place(index),
                f"the weight is 0, so service {name} gets no request",
                "remove it, or give it a weight above 0",
            )


def _find_stage_faults(entry: _RouteEntry) -> Iterator[Finding]:
    for index, stage in enumerate(entry.route.stages):
        place = entry.place("stages", index)
        pool = entry.pools.get(stage.pool)
        if pool is None:
            yield _unknown_pool(place, stage.pool)
        elif pool.worker_profile is None:
            name = declared_config.quote(stage.pool)
            yield _error(
                "pool-runs-no-stages",
                place,
                f"service {name} doesn't say how it makes pieces, so the stage "
                "never runs",
                "name a service with pieces, or add them to this one",
            )
        for number in stage.after:
            if number >= len(entry.route.stages):
                yield _error(
                    "stage-unknown",
                    place,
                    f"it waits for stage {number}; the last one is "
                    f"{len(entry.route.stages) - 1}",
                    "name stages by their position, the first one is 0",
                )
    cycle = _stage_cycle(entry.route)
    if cycle:
        chain = " -> ".join(str(number) for number in cycle)
        yield _error(
            "stages-wait-for-each-other",
            entry.place("stages", cycle[0]),
            f"stages wait for each other: {chain}",
            "remove one of these dependencies",
        )


def _find_late_stages(entry: _RouteEntry) -> Iterator[Finding]:
    """Finds routes whose stages and final call take longer than allowed.

    The stages make one piece each, at the configured speed, without waiting.
    Callers may skip stages, so those that skip enough can still be served.
    """
    route = entry.route
    stages_s = _stages_s(entry)
    if not route.stages or stages_s is None or route.timeout_s <= 0:
        return
    needed_s = stages_s + stage_graph.FINAL_CALL_S
    cause = (
        f"the longest chain of stages takes {_seconds(stages_s)} with one "
        f"piece each, and the final call {_seconds(stage_graph.FINAL_CALL_S)}; "
    )
    if needed_s > route.timeout_s + _ROUNDING_S:
        yield _error(
            "stages-exceed-time-out",
            entry.place("stages"),
            f"{cause}the time-out is {_seconds(route.timeout_s)}",
            "raise the time-out, or shorten the chain",
        )
    elif 0 <= route.objective_s < needed_s - _ROUNDING_S:
        yield _warning(
            "stages-exceed-target",
            entry.place("stages"),
            f"{cause}the latency target is {_seconds(route.objective_s)}",
            "raise the target, or shorten the chain",
        )


_ROUTE_CHECKS = (
    _find_unmatchable_address,
    _find_time_faults,
    _find_pool_faults,
    _find_split_faults,
    _find_stage_faults,
    _find_late_stages,
)


def _find_repeated_names(
    config: declared_config.Configuration,
) -> Iterator[Finding]:
    """Finds names that two entries share."""
    # Of pools with the same name, the table keeps the last one.
    for section, entries, note, make in (
        (Section.ROUTE, config.routes, "logs can't tell them apart", _warning),
        (Section.POOL, config.pools, "the last one replaces it", _error),
        (
            Section.ACCOUNT,
            config.accounts or (),
            "they count as one account",
            _warning,
        ),
    ):
        last = {entry.name: index for index, entry in enumerate(entries)}
        for index, entry in enumerate(entries):
            if last[entry.name] != index:
                yield make(
                    "name-repeated",
                    Place(section, entry.name, index),
                    f"position {last[entry.name]} has the same name; {note}",
                    "rename or remove one of them",
                )


def _find_account_faults(
    config: declared_config.Configuration,
) -> Iterator[Finding]:
    if config.accounts is None:
        return
    if not any(account.keys for account in config.accounts) and any(
        route.needs_key for route in config.routes
    ):
        yield _error(
            "no-keys",
            Place(Section.ACCOUNT),
            "no account has a key, so all routes that need one refuse every "
            "request",
            "add the accounts with their keys, or leave out the list if "
            "callers need none",
        )
    holders = collections.defaultdict(list)
    for index, account in enumerate(config.accounts):
        for key in dict.fromkeys(account.keys):
            holders[key].append(index)
    for index, account in enumerate(config.accounts):
        if not account.keys:
            yield _warning(
                "account-without-keys",
                Place(Section.ACCOUNT, account.name, index),
                "it has no key, so it can't send requests",
                "add a key, or remove the account",
            )
        yield from _find_key_faults(config.accounts, index, holders)


def _find_key_faults(
    accounts: tuple[declared_config.Account, ...],
    index: int,
    holders: dict[str, list[int]],
) -> Iterator[Finding]:
    """Finds keys of an account that can't belong to it alone.

    Keys are named by their position only: they are secret.
    """
    account = accounts[index]
    for item, key in enumerate(account.keys):
        place = Place(Section.ACCOUNT, account.name, index, "keys", item)
        if not key.strip():
            yield _error(
                "key-empty",
                place,
                "the key is empty, which callers without a key send too",
                "write the key, or remove it",
            )
        if account.keys.index(key) != item:
            yield _warning(
                "key-repeated",
                place,
                f"it is the same as key {account.keys.index(key)}",
                "remove one of them",
            )
        elif holders[key][-1] != index:
            winner = accounts[holders[key][-1]].name
            yield _error(
                "key-in-two-accounts",
                place,
                f"account {declared_config.quote(winner)} at position "
                f"{holders[key][-1]} has the same key, and the last one wins",
                "give each account a key of its own",
            )


def _find_limit_faults(limits: routing_table.CallerLimits) -> Iterator[Finding]:
    for field, value in limits._asdict().items():
        # A limit of 0 bytes on bodies still allows requests without one.
        if value < 0 or (value == 0 and field != "body_bytes"):
            yield _error(
                "limit-not-positive",
                Place(Section.LIMITS, field=field),
                f"the limit is {value:g}, so every request is refused",
                "write a limit above 0",
            )


def _stage_cycle(route: routing_table.Route) -> list[int]:
    """Returns stages that wait for each other, the first one twice, or []."""
    try:
        _sort_stages(route)
    except graphlib.CycleError as exc:
        return exc.args[1][::-1]
    return []


def _sort_stages(route: routing_table.Route) -> list[int]:
    """Returns the stages so that each comes after those that it waits for.

    Stages that don't exist are included.

    Raises:
        graphlib.CycleError: stages wait for each other.
    """
    dependencies = {n: stage.after for n, stage in enumerate(route.stages)}
    return list(graphlib.TopologicalSorter(dependencies).static_order())


def _stages_s(entry: _RouteEntry) -> float | None:
    """Returns the shortest time of all stages in seconds, if they can end."""
    ends: dict[int, float] = {}
    try:
        numbers = _sort_stages(entry.route)
    except graphlib.CycleError:
        return None
    for number in numbers:
        if number >= len(entry.route.stages):
            return None
        stage = entry.route.stages[number]
        pool = entry.pools.get(stage.pool)
        if pool is None or pool.worker_profile is None:
            return None
        profile = pool.worker_profile
        ends[number] = (
            max((ends[n] for n in stage.after), default=0.0)
            + profile.call_overhead_s
            + profile.piece_s
        )
    return max(ends.values(), default=0.0)


def _unknown_pool(place: Place, name: str) -> Finding:
    if not name:
        return _error(
            "pool-unknown",
            place,
            "no service is named",
            "name a service of the list of services",
        )
    return _error(
        "pool-unknown",
        place,
        f"service {declared_config.quote(name)} doesn't exist",
        "add it to the list of services, or name another",
    )


def _after_stages(stages_s: float) -> str:
    return f"after {_seconds(stages_s)} of stages " if stages_s else ""


def _seconds(value_s: float) -> str:
    return f"{value_s:.6g} s" if math.isfinite(value_s) else str(value_s)


def _error(code: str, place: Place, detail: str, remedy: str) -> Finding:
    return Finding(Severity.ERROR, code, place, detail, remedy)


def _warning(code: str, place: Place, detail: str, remedy: str) -> Finding:
    return Finding(Severity.WARNING, code, place, detail, remedy)
