"""Tells `ColdStarts` of endpoints, pools and hosts, and logs what it says."""

from chervilarch import (
    endpoint_list,
    endpoint_state,
    fleet,
    followers,
    gateway_settings,
    routing_table,
    state_log,
)
from chervilarch.scheduling import cold_starts

_MS_PER_S = 1000


def connect(
    cold: cold_starts.ColdStarts,
    bounds: gateway_settings.GatewayBounds,
    configuration: followers.ConfigFollower,
    endpoints: followers.EndpointFollower,
) -> None:
    """Passes on configurations, endpoints and what their records say."""
    configuration.add_listener(
        lambda table: cold.set_pools(pool_bounds(table, bounds))
    )
    endpoints.add_listener(lambda listed: cold.set_endpoints(places(listed)))
    endpoints.on_report = lambda listing, now: cold.record_report(
        _run(listing),
        _place(listing),
        cold_starts.Report(listing.sequence, listing.cold_s),
        now,
    )


def set_hosts(
    cold: cold_starts.ColdStarts, gateways: fleet.Fleet, now: float
) -> None:
    """Passes on the hosts that may be alive, once any list was read."""
    known = gateways.known_hosts()
    if known is not None:
        cold.set_hosts(known.own, known.names, now, known.left)


def pool_bounds(
    table: routing_table.RoutingTable, bounds: gateway_settings.GatewayBounds
) -> dict[str, cold_starts.PoolBound]:
    """Returns the bounds of the pools that have one.

    A pool that gets both final calls and calls for pieces has half of the bound
    for each.
    """
    if bounds.cold_over is None or bounds.cold_slack is None:
        return {}
    routes = table.routes()
    called = {pool for route in routes for pool, _ in route.pools}
    staged = {stage.pool for route in routes for stage in route.stages}
    both = called & staged
    return {
        name: cold_starts.PoolBound(
            pool.cold_start_s,
            cold_starts.bound_per_s(
                pool.cold_per_s, bounds.cold_over, bounds.cold_slack
            )
            / (2 if name in both else 1),
        )
        for name, pool in table.pools.items()
        if pool.cold_per_s > 0.0
    }


def places(
    listed: dict[str, dict[str, endpoint_list.Listing]],
) -> dict[endpoint_state.EndpointRun, cold_starts.Place]:
    """Returns pool and data centre of each run in a list of endpoints."""
    return {
        _run(listing): _place(listing)
        for listings in listed.values()
        for listing in listings.values()
    }


def log_cold(period: cold_starts.ColdPeriod) -> None:
    """Logs that endpoints count as cold from now."""
    state_log.log_change(
        "endpoint cold",
        name=period.name,
        reason=period.reason,
        cold_ms=round(period.cold_s * _MS_PER_S),
        own_per_s=period.share,
        hosts=period.hosts,
    )


def _run(listing: endpoint_list.Listing) -> endpoint_state.EndpointRun:
    entry = listing.entry
    return endpoint_state.EndpointRun(entry.name, entry.incarnation)


def _place(listing: endpoint_list.Listing) -> cold_starts.Place:
    return cold_starts.Place(listing.entry.pool, listing.entry.data_centre)
