"""Records of the platform's log: their types, encoding and decoding.

There are two streams: `configuration` (publishes and snapshots) and `calls`
(claims, releases and results of non-repeatable calls).
"""

from typing import Annotated, Any, NamedTuple

import msgspec

from chervilarch import decoding

CONFIGURATION_STREAM = "configuration"
CALLS_STREAM = "calls"


# Bounds of the field that carries it to other hosts; -1 stands for none.
_Version = Annotated[int, msgspec.Meta(ge=-1, le=2**63 - 1)]


class Publish(NamedTuple):
    """A change of the configuration, as an RFC 6902 patch of its base."""

    publish_id: str
    base_version: _Version
    patch: list[dict[str, Any]]
    author: str


class Snapshot(NamedTuple):
    """The configuration after folding all records up to an offset."""

    through_offset: _Version
    version: _Version
    document: dict[str, Any]


class Claim(NamedTuple):
    """A router's request for the sole right to run a call.

    Attributes:
        claim_id: unique; a router makes a new one for each claim.
        account: owner of the key.
        key: the caller's idempotency key, a UUIDv7.
        digest: hash of the request, to detect reuse of the key for another one.
    """

    claim_id: str
    account: str
    key: str
    digest: str


class Release(NamedTuple):
    """States that the call didn't and won't run under the holder's claim."""

    claim_id: str
    account: str
    key: str


class Result(NamedTuple):
    """The outcome of a call that may have run, for later requests with its key.

    Attributes:
        outcome: an outcome name of `outcomes`, or "answer_not_kept".
        output: the answer's output for "answer", None for "answer_not_kept",
            otherwise the detail text.
    """

    claim_id: str
    account: str
    key: str
    outcome: str
    output: Any


class Unreadable(NamedTuple):
    """A record that this version can't decode; it is skipped and counted."""

    reason: str


Body = Publish | Snapshot | Claim | Release | Result | Unreadable


class Record(NamedTuple):
    """A record as read from the log.

    Attributes:
        offset: position in the stream.
        time: when it was appended, by the log's clock, in Unix seconds.
        body: decoded content.
    """

    offset: int
    time: float
    body: Body


_TYPES_BY_KIND = {
    "publish": Publish,
    "snapshot": Snapshot,
    "claim": Claim,
    "release": Release,
    "result": Result,
}
_KINDS_BY_TYPE = {body_type: kind for kind, body_type in _TYPES_BY_KIND.items()}


def encode(body: Body) -> dict[str, Any]:
    """Returns the JSON object to append for a record body."""
    return {**body._asdict(), "kind": _KINDS_BY_TYPE[type(body)]}


def decode(fields: Any) -> Body:
    """Returns the record body in a JSON object from the log."""
    if not isinstance(fields, dict):
        return Unreadable("the record is not a JSON object")
    body_type = _TYPES_BY_KIND.get(fields.get("kind"))
    if body_type is None:
        return Unreadable(f"unknown record kind {fields.get('kind')!r}")
    try:
        values = [fields[name] for name in body_type._fields]
        return msgspec.convert(values, body_type)
    except decoding.ERRORS as exc:
        return Unreadable(f"{fields['kind']}: {exc}")
