"""Records of the platform's log: their types, encoding and decoding.

Two streams are kept: `configuration` (publishes and snapshots) and `calls`
(claims, releases and results of calls that may not be repeated).
"""

from typing import Any, NamedTuple

import msgspec

CONFIGURATION_STREAM = "configuration"
CALLS_STREAM = "calls"


class Publish(NamedTuple):
    """A change of the configuration, as an RFC 6902 patch of its base."""

    publish_id: str
    base_version: int
    patch: list[dict[str, Any]]
    author: str


class Snapshot(NamedTuple):
    """The configuration after folding all records up to an offset."""

    through_offset: int
    version: int
    document: dict[str, Any]


class Claim(NamedTuple):
    """A router's wish to be the only one that runs a call.

    Attributes:
        claim_id: unique to one attempt by one router process.
        account: owner of the key.
        key: the caller's idempotency key, a UUIDv7.
        digest: hash of the request, to tell apart reuse with another body.
    """

    claim_id: str
    account: str
    key: str
    digest: str


class Release(NamedTuple):
    """The holder's word that it has not dispatched and never will."""

    claim_id: str
    account: str
    key: str


class Result(NamedTuple):
    """The outcome of a dispatched call, for retries through other hosts."""

    claim_id: str
    account: str
    key: str
    outcome: str
    output: Any


class Unreadable(NamedTuple):
    """A record that this version can't read; it is skipped and counted."""

    reason: str


Body = Publish | Snapshot | Claim | Release | Result | Unreadable


class Record(NamedTuple):
    """A record as read from the log.

    Attributes:
        offset: position in the stream.
        time: when the log took it, seconds since the Unix epoch.
        body: what it says.
    """

    offset: int
    time: float
    body: Body


_TYPES = {
    "publish": Publish,
    "snapshot": Snapshot,
    "claim": Claim,
    "release": Release,
    "result": Result,
}
_NAMES = {kind: name for name, kind in _TYPES.items()}


def encode(body: Body) -> dict[str, Any]:
    """Returns the JSON object that is appended for a record body."""
    return {**body._asdict(), "kind": _NAMES[type(body)]}


def decode(fields: Any) -> Body:
    """Returns the typed body of a JSON object from the log."""
    if not isinstance(fields, dict):
        return Unreadable("the record is not a JSON object")
    kind = _TYPES.get(fields.get("kind"))
    if kind is None:
        return Unreadable(f"unknown record kind {fields.get('kind')!r}")
    try:
        values = [fields[name] for name in kind._fields]
        return msgspec.convert(values, kind)
    except (KeyError, msgspec.ValidationError) as exc:
        return Unreadable(f"{fields['kind']}: {exc}")
