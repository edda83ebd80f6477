"""Fold of the configuration stream, as pure functions.

Every host that folds the same records gets the same configuration. A version
is the offset of the publish that created it. Nothing here does I/O; the model
checker runs this code as it is.
"""

import copy
from typing import Any, NamedTuple

import jsonpatch

from chervilarch import records

NO_VERSION = -1


class ConfigState(NamedTuple):
    """The configuration after folding the records up to an offset.

    Attributes:
        through: offset of the last folded record, -1 for none.
        version: offset of the accepted publish in force, -1 for none.
        document: the configuration in force.
    """

    through: int
    version: int
    document: dict[str, Any]


EMPTY = ConfigState(-1, NO_VERSION, {})


class Accepted(NamedTuple):
    """A publish that was accepted; its offset is the new version."""

    version: int


class Conflict(NamedTuple):
    """A publish whose base version was not the one in force."""

    current_version: int


class Malformed(NamedTuple):
    """A publish whose patch doesn't apply to its base."""

    reason: str


PublishResult = Accepted | Conflict | Malformed


def evaluate_publish(
    state: ConfigState, record: records.Record
) -> PublishResult:
    """Returns the result of a publish, given the state just before it."""
    publish = record.body
    if publish.base_version != state.version:
        return Conflict(state.version)
    try:
        apply_patch(state.document, publish.patch)
    except ValueError as exc:
        return Malformed(str(exc))
    return Accepted(record.offset)


def fold(state: ConfigState, record: records.Record) -> ConfigState:
    """Returns the state after one more record.

    A record that was folded before, or that doesn't follow the last one
    directly, is ignored.
    """
    if record.offset != state.through + 1:
        return state
    if not isinstance(record.body, records.Publish):
        return state._replace(through=record.offset)
    if not isinstance(evaluate_publish(state, record), Accepted):
        return state._replace(through=record.offset)
    document = apply_patch(state.document, record.body.patch)
    return ConfigState(record.offset, record.offset, document)


def find_base(
    retained: list[records.Record], first_offset: int
) -> ConfigState | None:
    """Finds a state from which the retained records can be replayed.

    Args:
        retained: records that the log still holds, in offset order.
        first_offset: first offset that the log still holds.

    Returns:
        The empty state if no record has expired, else the newest snapshot
        that leaves no gap before the first retained record, else None.
    """
    if first_offset == 0:
        return EMPTY
    newest = None
    for record in retained:
        state = _snapshot_state(record)
        if state is None or state.through < first_offset - 1:
            continue
        if newest is None or state.through > newest.through:
            newest = state
    return newest


def newer(state: ConfigState, other: ConfigState) -> ConfigState:
    """Returns the state whose last folded record has the higher offset."""
    return other if other.through > state.through else state


def apply_patch(document: dict[str, Any], patch: list) -> dict[str, Any]:
    """Applies an RFC 6902 patch to a copy of a document.

    Raises:
        ValueError: the patch doesn't fit the document.
    """
    try:
        result = jsonpatch.apply_patch(copy.deepcopy(document), patch)
    except (
        jsonpatch.JsonPatchException,
        jsonpatch.JsonPointerException,
        TypeError,
        KeyError,
    ) as exc:
        raise ValueError(f"the patch doesn't apply: {exc}") from exc
    if not isinstance(result, dict):
        raise ValueError("the patch leaves no JSON object")
    return result


def make_patch(old: dict[str, Any], new: dict[str, Any]) -> list:
    """Returns the RFC 6902 patch that turns one document into another."""
    return list(jsonpatch.make_patch(old, new))


def _snapshot_state(record: records.Record) -> ConfigState | None:
    body = record.body
    if not isinstance(body, records.Snapshot):
        return None
    if body.through_offset >= record.offset:
        return None
    return ConfigState(body.through_offset, body.version, body.document)
