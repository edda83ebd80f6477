"""Names the places of a configuration as the operators' file has them."""

from chervilarch.declared_config import Place, Section

_SECTIONS = {
    Section.VERSION: "version",
    Section.ROUTE: "routes",
    Section.POOL: "services",
    Section.ACCOUNT: "tenants",
    Section.LIMITS: "limits",
}
# Fields that have another name in the file.
_FIELDS = {
    Section.ROUTE: {
        "prefix": "path_prefix",
        "timeout_s": "timeout_ms",
        "objective_s": "target_latency_ms",
        "pool": "service",
        "pools": "traffic_split",
    },
    Section.ACCOUNT: {"keys": "api_keys"},
    Section.LIMITS: {
        "header_bytes": "max_header_bytes",
        "body_bytes": "max_body_bytes",
        "header_timeout_s": "header_timeout_ms",
        "idle_timeout_s": "idle_timeout_ms",
    },
}


def json_path(place: Place) -> str:
    """Returns the JSON path of a finding, as "$.routes[1].timeout_ms"."""
    if place.section is Section.FILE:
        return place.field or "$"
    path = f"$.{_SECTIONS[place.section]}"
    if place.index is not None:
        path += f"[{place.index}]"
    if place.field:
        names = _FIELDS.get(place.section, {})
        path += f".{names.get(place.field, place.field)}"
    if place.item is not None:
        path += f"[{place.item}]"
    return path
