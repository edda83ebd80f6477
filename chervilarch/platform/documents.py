"""Decodes configurations and endpoint records from the platform's store.

Both are JSON. The operators write a complete configuration as one record; each
endpoint writes a record with its own address and state.
"""

from typing import NamedTuple

import msgspec

from chervilarch import endpoint_list, hosts, routing_table

_MS_PER_S = 1000
_BYTES_PER_MB = 1_000_000
_STATES = {"ready": "live", "draining": hosts.LEAVING}


class Unreadable(NamedTuple):
    """A record that is not valid, and why."""

    reason: str


class _Stage(msgspec.Struct):
    service: str
    after: list[int] = []
    bytes: float = 0


class _Split(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    target_latency_ms: float = 0
    priority: int = 0
    # Either one service or `traffic_split` is set.
    service: str = ""
    traffic_split: list[_Split] = []
    max_attempts: int = 1
    stages: list[_Stage] = []
    auth_exempt: bool = False
    sticky: bool = False
    resumable: bool = False
    gap_aim_ms: float = 0


class _Pieces(msgspec.Struct):
    batch: int
    call_ms: float
    item_ms: float
    slots: int = 1
    queue: int = 0
    headroom_mb: float = 0
    handle_s: float = 0


class _Service(msgspec.Struct):
    name: str
    pieces: _Pieces | None = None


class _Limits(msgspec.Struct):
    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    priority: int | None = None


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits
    tenants: list[_Tenant] | None = None


class _Server(msgspec.Struct):
    service: str
    address: str
    zone: str
    # `slots` and `cold_remaining_ms` aren't used. They are declared so that a
    # record in which another program wrote another type for them is refused.
    slots: int
    state: str
    sequence: int
    cold_remaining_ms: float = 0
    # Start time of the endpoint in Unix milliseconds.
    born: int = 0


def decode_configuration(
    value: bytes,
) -> routing_table.RoutingTable | Unreadable:
    """Returns the routing table of a configuration record."""
    try:
        config = msgspec.json.decode(value, type=_Config)
    except msgspec.MsgspecError as exc:
        return Unreadable(str(exc))
    limits = config.limits
    return routing_table.RoutingTable(
        config.version,
        [_build_route(route) for route in config.routes],
        {service.name: _build_pool(service) for service in config.services},
        {
            key: routing_table.Account(tenant.name, tenant.priority)
            for tenant in config.tenants or ()
            for key in tenant.api_keys
        },
        routing_table.CallerLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms / _MS_PER_S,
            limits.idle_timeout_ms / _MS_PER_S,
        ),
        config.tenants is not None,
    )


def decode_endpoint(
    server_id: str, value: bytes
) -> endpoint_list.Listing | Unreadable:
    """Returns the listing of an endpoint's record."""
    try:
        server = msgspec.json.decode(value, type=_Server)
    except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
        return Unreadable(str(exc))
    if server.state not in _STATES:
        return Unreadable(f"state {server.state!r} is not known")
    host, sep, port = server.address.rpartition(":")
    if not sep or not host or not port.isdigit():
        return Unreadable(f"{server.address!r} is not an address")
    entry = hosts.HostEntry(
        server_id,
        server.address,
        hosts.ROLE_ENDPOINT,
        server.service,
        server.zone,
        _STATES[server.state],
        server.born,
    )
    return endpoint_list.Listing(entry, server.sequence)


def _build_route(route: _Route) -> routing_table.Route:
    weighted_pools = [
        (split.service, split.weight) for split in route.traffic_split
    ]
    is_stream = route.kind == "streaming"
    is_repeatable = route.kind == "safe" or (is_stream and route.resumable)
    return routing_table.Route(
        name=route.name,
        host=route.host.lower(),
        path_prefix=route.path_prefix,
        is_stream=is_stream,
        retry_policy=(
            routing_table.RetryPolicy.ANY
            if is_repeatable
            else routing_table.RetryPolicy.AT_MOST_ONCE
        ),
        timeout_s=route.timeout_ms / _MS_PER_S,
        objective_s=(route.target_latency_ms or route.timeout_ms) / _MS_PER_S,
        gap_objective_s=route.gap_aim_ms / _MS_PER_S,
        priority=route.priority,
        pools=tuple(weighted_pools) or ((route.service, 1.0),),
        max_attempts=max(1, route.max_attempts),
        stages=tuple(
            routing_table.Stage(
                stage.service, tuple(stage.after), int(stage.bytes)
            )
            for stage in route.stages
        ),
        needs_key=not route.auth_exempt,
        is_prompt=route.sticky,
    )


def _build_pool(service: _Service) -> routing_table.Pool:
    pieces = service.pieces
    return routing_table.Pool(
        service.name,
        pieces
        and routing_table.WorkerProfile(
            max(1, pieces.slots),
            pieces.queue,
            max(1, pieces.batch),
            pieces.call_ms / _MS_PER_S,
            pieces.item_ms / _MS_PER_S,
            pieces.headroom_mb * _BYTES_PER_MB,
            pieces.handle_s,
        ),
    )
