"""Decodes configurations and endpoint records from the platform's store.

Both are JSON. The operators write a complete configuration as one record; each
endpoint writes a record with its own address and state.
"""

from typing import Annotated

import msgspec

from chervilarch import (
    addresses,
    declared_config,
    decoding,
    endpoint_list,
    hosts,
    routing_table,
    state_log,
)

_MS_PER_S = 1000
_BYTES_PER_MB = 1_000_000
_STATES = {"ready": "live", "draining": hosts.LEAVING}


# Longer times have no use and would overflow fields of messages between hosts.
_MAX_TIME_MS = 24 * 3600 * _MS_PER_S
_MAX_NAME_CHARS = 255

Unreadable = decoding.Unreadable
# Bounds of the fields that carry the values to other hosts.
_Counter = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
_Size = Annotated[float, msgspec.Meta(ge=0, le=2**53)]
_Priority = Annotated[int, msgspec.Meta(ge=-(2**31), le=2**31 - 1)]
_Index = Annotated[int, msgspec.Meta(ge=0, le=2**16 - 1)]
_Count = Annotated[int, msgspec.Meta(ge=0, le=2**32 - 1)]
_Name = Annotated[str, msgspec.Meta(max_length=_MAX_NAME_CHARS)]


class _Stage(msgspec.Struct):
    service: str
    after: list[_Index] = []
    bytes: _Size = 0


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
    priority: _Priority = 0
    # Either one service or `traffic_split` is set.
    service: str = ""
    traffic_split: list[_Split] = []
    max_attempts: int = 1
    stages: list[_Stage] = []
    auth_exempt: bool = False
    sticky: bool = False
    resumable: bool = False
    gap_aim_ms: float = 0
    allowed_regions: list[_Name] | None = None


class _Pieces(msgspec.Struct):
    batch: int
    call_ms: float
    item_ms: float
    slots: int = 1
    queue: int = 0
    headroom_mb: float = 0
    handle_s: float = 0


class _Engine(msgspec.Struct):
    slots: _Count = 0
    kv_tokens: _Count = 0
    stride: _Count = 0


class _Service(msgspec.Struct):
    name: str
    pieces: _Pieces | None = None
    cold_start_s: float = 0
    cold_per_s: float = 0
    # Decoded apart, so that an unknown form of it doesn't hide the service.
    engine: msgspec.Raw = msgspec.Raw()


class _Limits(msgspec.Struct):
    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    priority: _Priority | None = None
    allowed_regions: list[_Name] | None = None


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits
    tenants: list[_Tenant] | None = None


class _Server(msgspec.Struct):
    service: _Name
    address: str
    zone: _Name
    # Not used. It is declared so that a record in which another program wrote
    # another type for it is refused.
    slots: int
    state: str
    sequence: _Counter
    # Of any type: an endpoint with an unusable figure stays listed.
    cold_remaining_ms: msgspec.Raw = msgspec.Raw(b"0")
    # Start time of the endpoint in Unix milliseconds.
    born: _Counter = 0
    # Version of the endpoint's software.
    version: _Name = ""


def decode_configuration(
    value: bytes,
) -> routing_table.RoutingTable | Unreadable:
    """Returns the routing table of a configuration record."""
    return decoding.attempt(_decode_configuration, value)


def _decode_configuration(value: bytes) -> routing_table.RoutingTable:
    config = msgspec.json.decode(value, type=_Config)
    return routing_table.RoutingTable(
        config.version,
        [_build_route(route) for route in config.routes],
        {service.name: _build_pool(service) for service in config.services},
        {
            key: routing_table.Account(
                tenant.name,
                tenant.priority,
                frozenset(tenant.allowed_regions or ()),
            )
            for tenant in config.tenants or ()
            for key in tenant.api_keys
        },
        _build_limits(config.limits),
        config.tenants is not None,
    )


def decode_declared(
    value: bytes,
) -> declared_config.Configuration | Unreadable:
    """Returns all that a configuration record declares, for a check.

    The routing table of the same record lacks what other entries replace:
    routes with the same host and prefix, services with the same name, and keys
    of several accounts. The last one wins.
    """
    return decoding.attempt(_decode_declared, value)


def _decode_declared(value: bytes) -> declared_config.Configuration:
    config = msgspec.json.decode(value, type=_Config)
    accounts = None
    if config.tenants is not None:
        accounts = tuple(
            declared_config.Account(
                tenant.name,
                tuple(tenant.api_keys),
                tenant.priority,
                tuple(tenant.allowed_regions or ()),
            )
            for tenant in config.tenants
        )
    return declared_config.Configuration(
        config.version,
        tuple(_build_route(route) for route in config.routes),
        tuple(_build_pool(service) for service in config.services),
        accounts,
        _build_limits(config.limits),
    )


def decode_endpoint(
    server_id: str, value: bytes
) -> endpoint_list.Listing | Unreadable:
    """Returns the listing of an endpoint's record."""
    # The id goes into a header of each call.
    is_text = server_id.isascii() and server_id.isprintable()
    if not server_id or not is_text:
        return Unreadable("the key is not printable ASCII")
    server = decoding.attempt(_decode_server, value)
    if isinstance(server, Unreadable):
        return server
    if server.state not in _STATES:
        return Unreadable(f"state {server.state[:20]!r} is not known")
    if addresses.parse(server.address) is None:
        return Unreadable(f"{server.address[:40]!r} is not an address")
    entry = hosts.HostEntry(
        server_id,
        server.address,
        hosts.ROLE_ENDPOINT,
        server.service,
        server.zone,
        _STATES[server.state],
        server.born,
    )
    return endpoint_list.Listing(
        entry,
        server.sequence,
        _read_cold_s(server.cold_remaining_ms),
        server.version,
    )


def _read_cold_s(figure: msgspec.Raw) -> float | None:
    """Returns a remaining cold time in seconds, None if it isn't usable."""
    value = decoding.attempt(_decode_number, figure)
    if isinstance(value, Unreadable) or not 0.0 <= value <= _MAX_TIME_MS:
        return None
    return value / _MS_PER_S


def _decode_number(value: bytes) -> float:
    return msgspec.json.decode(value, type=float)


def decode_evacuation(data_centre: str, value: bytes) -> str | Unreadable:
    """Returns the data centre of an evacuation's record.

    Args:
        data_centre: its name in the record's key.
        value: a JSON object, whose fields aren't used; empty if the evacuation
            ends.
    """
    # Messages between hosts take no text that can't be encoded.
    if not data_centre or not data_centre.isprintable():
        return Unreadable("the key names no data centre")
    if len(data_centre) > _MAX_NAME_CHARS:
        return Unreadable(f"the name has over {_MAX_NAME_CHARS} characters")
    if value:
        fields = decoding.attempt(_decode_object, value)
        if isinstance(fields, Unreadable):
            return fields
    return data_centre


def _decode_object(value: bytes) -> dict:
    return msgspec.json.decode(value, type=dict)


def _decode_server(value: bytes) -> _Server:
    return msgspec.json.decode(value, type=_Server)


def _seconds(milliseconds: float) -> float:
    return min(milliseconds, _MAX_TIME_MS) / _MS_PER_S


def _build_limits(limits: _Limits) -> routing_table.CallerLimits:
    return routing_table.CallerLimits(
        limits.max_header_bytes,
        limits.max_body_bytes,
        _seconds(limits.header_timeout_ms),
        _seconds(limits.idle_timeout_ms),
    )


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
        timeout_s=_seconds(route.timeout_ms),
        objective_s=_seconds(route.target_latency_ms or route.timeout_ms),
        gap_objective_s=_seconds(route.gap_aim_ms),
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
        allowed_regions=frozenset(route.allowed_regions or ()),
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
        max(0.0, min(service.cold_start_s, _MAX_TIME_MS / _MS_PER_S)),
        max(0.0, service.cold_per_s),
        _read_engine(service),
    )


def _read_engine(service: _Service) -> routing_table.EngineProfile | None:
    if bytes(service.engine) in (b"", b"null"):
        return None
    engine = decoding.attempt(_decode_engine, service.engine)
    if isinstance(engine, Unreadable):
        state_log.log_fault(
            "engine profile unreadable", pool=service.name, reason=engine.reason
        )
        return None
    return routing_table.EngineProfile(
        engine.slots, engine.kv_tokens, engine.stride
    )


def _decode_engine(raw: msgspec.Raw) -> _Engine:
    return msgspec.json.decode(raw, type=_Engine)
