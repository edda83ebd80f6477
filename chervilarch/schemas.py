"""JSON Schemas of settings and configurations, and their validation."""

import re
import zoneinfo
from typing import Any, NamedTuple

import jsonschema

from chervilarch import addresses

_NAME = {"type": "string", "pattern": "^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$"}
_ADDRESS = {"type": "string", "format": "ip-address-and-port"}
_SHA256 = {"type": "string", "pattern": "^[0-9a-f]{64}$"}
_TIME_OF_DAY = {"type": "string", "pattern": "^([01]?[0-9]|2[0-4]):[0-5][0-9]$"}
_POSITIVE = {"type": "number", "exclusiveMinimum": 0}

_PORT = {"type": "integer", "minimum": 1, "maximum": 65535}
# Settings of `chervilarch-gateway`. Unknown fields are ignored: the platform
# may add some.
GATEWAY_SETTINGS = {
    "type": "object",
    "required": [
        "host",
        "data_centre",
        "caller_address",
        "ready_address",
        "ip",
        "peer_ports",
        "metrics_port",
        "store_address",
        "bounds",
    ],
    "properties": {
        "host": _NAME,
        "data_centre": _NAME,
        "caller_address": _ADDRESS,
        "ready_address": _ADDRESS,
        "ip": {"type": "string", "format": "ipv4"},
        "peer_ports": {
            "type": "array",
            "items": _PORT,
            "minItems": 2,
            "maxItems": 2,
        },
        "metrics_port": _PORT,
        "store_address": _ADDRESS,
        "deployment": _NAME,
        "seeds": {"type": "array", "items": _ADDRESS},
        "cores": _POSITIVE,
        "core_share": _POSITIVE,
        "memory_mb": _POSITIVE,
        "regions": {"type": "object", "additionalProperties": _NAME},
        "bounds": {
            "type": "object",
            "required": [
                "drain_s",
                "config_s",
                "grace_s",
                "retry_share",
                "retry_fixed",
                "retry_window_s",
            ],
            "additionalProperties": _POSITIVE,
        },
    },
}

# Settings of `chervilarch-router`.
ROUTER_SETTINGS = {
    "type": "object",
    "additionalProperties": False,
    "required": [
        "host",
        "data_centre",
        "caller_address",
        "peer_address",
        "log_address",
        "host_list_address",
        "peer_key",
        "operator_key_sha256",
    ],
    "properties": {
        "host": _NAME,
        "data_centre": _NAME,
        "caller_address": _ADDRESS,
        "peer_address": _ADDRESS,
        "log_address": _ADDRESS,
        "host_list_address": _ADDRESS,
        "statsd_address": _ADDRESS,
        "peer_key": {"type": "string", "minLength": 16, "maxLength": 64},
        "operator_key_sha256": _SHA256,
        "caller_keys": {
            "type": "object",
            "propertyNames": _SHA256,
            "additionalProperties": _NAME,
        },
        "log_json": {"type": "boolean"},
        "bounds": {
            "type": "object",
            "additionalProperties": False,
            "properties": {
                "threads": {"type": "integer", "minimum": 8, "maximum": 1024},
                "max_body_bytes": {
                    "type": "integer",
                    "minimum": 1024,
                    "maximum": 64 * 1024 * 1024,
                },
                "body_timeout_s": _POSITIVE,
                "drain_notice_s": {"type": "number", "minimum": 0},
                "stale_after_s": _POSITIVE,
                "grace_s": {"type": "number", "minimum": 0},
            },
        },
    },
}

CONFIGURATION = {
    "type": "object",
    "additionalProperties": False,
    "required": ["time_zone", "pools", "accounts", "pipelines", "schedule"],
    "properties": {
        "time_zone": {"type": "string", "format": "time-zone"},
        "pools": {
            "type": "object",
            "propertyNames": _NAME,
            "additionalProperties": {
                "type": "object",
                "additionalProperties": False,
                "required": ["protocol", "path", "repeatable"],
                "properties": {
                    "protocol": {"enum": ["call", "stream"]},
                    "path": {"type": "string", "pattern": "^/[!-~]*$"},
                    "repeatable": {"type": "boolean"},
                    "checks_fencing": {"type": "boolean"},
                },
            },
        },
        "accounts": {
            "type": "object",
            "propertyNames": _NAME,
            "additionalProperties": {
                "type": "object",
                "additionalProperties": False,
                "required": ["key_sha256", "weight"],
                "properties": {"key_sha256": _SHA256, "weight": _POSITIVE},
            },
        },
        "pipelines": {
            "type": "object",
            "propertyNames": _NAME,
            "additionalProperties": {
                "type": "object",
                "additionalProperties": False,
                "required": ["stages"],
                "properties": {
                    "stages": {"type": "array", "items": _NAME, "minItems": 1}
                },
            },
        },
        "schedule": {
            "type": "object",
            "additionalProperties": {
                "type": "object",
                "additionalProperties": False,
                "required": [
                    "pipeline",
                    "account",
                    "deadline_s",
                    "priority",
                    "limit_per_s",
                    "from",
                    "until",
                ],
                "properties": {
                    "pipeline": _NAME,
                    "account": {"type": "string"},
                    "deadline_s": _POSITIVE,
                    "priority": {
                        "type": "integer",
                        "minimum": 1,
                        "maximum": 9,
                    },
                    "limit_per_s": _POSITIVE,
                    "from": _TIME_OF_DAY,
                    "until": _TIME_OF_DAY,
                },
            },
        },
    },
}

_format_checker = jsonschema.FormatChecker(formats=[])


class Fault(NamedTuple):
    """A part of a document that isn't valid.

    Attributes:
        path: JSON path of the part, as "$.field.field".
        value: the value found there, the list of its unknown fields, or
            "incomplete" if it lacks a required field.
        remedy: what to do about it.
    """

    path: str
    value: Any
    remedy: str

    def __str__(self) -> str:
        value = repr(self.value)
        if len(value) > 80:
            value = value[:77] + "..."
        return f"{self.path} is {value}: {self.remedy}"


def is_name(text: str) -> bool:
    """Returns whether a text can name a host or a data centre."""
    return re.fullmatch(_NAME["pattern"], text) is not None


@_format_checker.checks("ip-address-and-port")
def is_address(value: Any) -> bool:
    """Returns whether a string is an IPv4 address and a port.

    Other types pass; the schema's "type" reports them.
    """
    if not isinstance(value, str):
        return True
    return addresses.parse(value) is not None


@_format_checker.checks("time-zone")
def is_time_zone(value: Any) -> bool:
    """Returns whether a string names a time zone; other types pass."""
    if not isinstance(value, str):
        return True
    try:
        zoneinfo.ZoneInfo(value)
    except (ValueError, OSError, zoneinfo.ZoneInfoNotFoundError):
        return False
    return True


def check(document: Any, schema: dict[str, Any]) -> list[Fault]:
    """Returns all faults of a document, in a fixed order."""
    validator = jsonschema.Draft202012Validator(
        schema, format_checker=_format_checker
    )
    return [_describe_error(error) for error in validator.iter_errors(document)]


def check_configuration(document: Any) -> list[Fault]:
    """Returns all faults of a configuration.

    References are checked only if the document matches its schema.
    """
    faults = check(document, CONFIGURATION)
    return faults or _check_references(document)


def _check_references(document: dict[str, Any]) -> list[Fault]:
    faults = []
    for name, pipeline in document["pipelines"].items():
        for index, pool in enumerate(pipeline["stages"]):
            if pool not in document["pools"]:
                path = f"$.pipelines.{name}.stages[{index}]"
                faults.append(Fault(path, pool, "name a pool of $.pools"))
    for name, rule in document["schedule"].items():
        if rule["pipeline"] not in document["pipelines"]:
            path = f"$.schedule[{name!r}].pipeline"
            remedy = "name a pipeline of $.pipelines"
            faults.append(Fault(path, rule["pipeline"], remedy))
        account = rule["account"]
        if account != "*" and account not in document["accounts"]:
            path = f"$.schedule[{name!r}].account"
            remedy = 'name an account of $.accounts or "*"'
            faults.append(Fault(path, account, remedy))
    return faults


_FORMAT_REMEDIES = {
    "ip-address-and-port": 'write an IPv4 number and a port, as "10.0.0.1:80"',
    "time-zone": 'write a time zone, as "Asia/Tokyo"',
}


def _describe_error(error: jsonschema.ValidationError) -> Fault:
    if error.validator == "additionalProperties":
        known = ", ".join(sorted(error.schema.get("properties", {})))
        remedy = f"{error.message}; remove it, the fields are {known}"
        unknown = sorted(set(error.instance) - set(error.schema["properties"]))
        return Fault(error.json_path, unknown, remedy)
    if error.validator == "required":
        return Fault(error.json_path, "incomplete", f"{error.message}; add it")
    if error.validator == "format":
        remedy = _FORMAT_REMEDIES[error.validator_value]
        return Fault(error.json_path, error.instance, remedy)
    return Fault(error.json_path, error.instance, error.message)
