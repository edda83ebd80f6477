"""Settings of `chervilarch-router`: one JSON file, validated at its start."""

import json
import pathlib
from typing import Any, NamedTuple

from chervilarch import decoding, schemas


class Bounds(NamedTuple):
    """Optional bounds of a deployment of `chervilarch-router`.

    Attributes:
        threads: requests served at a time.
        max_body_bytes: size limit of a request body.
        body_timeout_s: time limit for a caller to send a body.
        drain_notice_s: time for the balancer to stop sending requests here on
            shutdown.
        grace_s: time from SIGTERM until the process is killed, 0 for no limit.
        stale_after_s: time without contact with the platform's log or a peer
            after which requests are refused.
    """

    threads: int = 192
    max_body_bytes: int = 4 * 1024 * 1024
    body_timeout_s: float = 10.0
    drain_notice_s: float = 2.0
    stale_after_s: float = 15.0
    grace_s: float = 0.0


class Settings(NamedTuple):
    """Settings of one router."""

    host: str
    data_centre: str
    caller_address: str
    peer_address: str
    log_address: str
    host_list_address: str
    peer_key: str
    operator_key_sha256: str
    statsd_address: str | None = None
    caller_keys: dict[str, str] = {}
    log_json: bool = False
    bounds: Bounds = Bounds()


class SettingsError(NamedTuple):
    """Faults of a settings file of either program; each ends with a remedy."""

    faults: list[str]


# Fields that a running router reloads on SIGHUP.
RELOADABLE_FIELDS = ("operator_key_sha256", "caller_keys", "log_json")


def load(path: pathlib.Path) -> Settings | SettingsError:
    """Reads and validates a settings file."""
    document = read_json(path)
    if isinstance(document, SettingsError):
        return document
    faults = schemas.check(document, schemas.ROUTER_SETTINGS)
    if faults:
        return SettingsError([f"{path}: {fault}" for fault in faults])
    return parse(document)


def parse(document: dict[str, Any]) -> Settings:
    """Returns the settings of a valid document."""
    fields = dict(document)
    fields["bounds"] = Bounds(**fields.get("bounds", {}))
    return Settings(**fields)


def read_json(path: pathlib.Path) -> Any | SettingsError:
    """Reads a JSON file."""
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as exc:
        reason = exc.strerror or str(exc)
        return SettingsError([f"{path}: {reason}; give a readable file"])
    except UnicodeDecodeError:
        return SettingsError([f"{path}: not UTF-8; save it as UTF-8"])
    try:
        return json.loads(text)
    except decoding.ERRORS as exc:
        return SettingsError([f"{path}: not JSON: {exc}; correct the file"])


def changes_needing_restart(old: Settings, new: Settings) -> list[str]:
    """Returns the names of changed fields that need a restart."""
    return [
        name
        for name in Settings._fields
        if name not in RELOADABLE_FIELDS
        and getattr(old, name) != getattr(new, name)
    ]
