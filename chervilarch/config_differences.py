"""Lists the differences between two configurations; does no I/O."""

import collections
import enum
from collections.abc import Iterator, Sequence
from typing import Any, NamedTuple

from chervilarch import declared_config, routing_table
from chervilarch.declared_config import (
    Change,
    Difference,
    Finding,
    Place,
    Section,
    Severity,
)

_Entry = routing_table.Route | routing_table.Pool | declared_config.Account


class _Item(NamedTuple):
    """An entry of a configuration and its position."""

    index: int
    entry: _Entry


def list_differences(
    old: declared_config.Configuration, new: declared_config.Configuration
) -> list[Difference]:
    """Returns what differs between two configurations, by section.

    Entries are compared by name; if several have the same name, in their order.
    Values are those that the gateway uses, in its units.
    """
    differences = []
    if old.version != new.version:
        place = Place(Section.VERSION)
        differences.append(
            Difference(Change.CHANGED, place, old.version, new.version)
        )
    for section, old_entries, new_entries in (
        (Section.ROUTE, old.routes, new.routes),
        (Section.POOL, old.pools, new.pools),
        (Section.ACCOUNT, old.accounts or (), new.accounts or ()),
    ):
        differences += _compare_entries(section, old_entries, new_entries)
    if (old.accounts is None) != (new.accounts is None):
        # Without a list of accounts, callers need no key.
        place = Place(Section.ACCOUNT, field="needs_key")
        differences.append(
            Difference(
                Change.CHANGED,
                place,
                old.accounts is not None,
                new.accounts is not None,
            )
        )
    differences += _compare_fields(
        Place(Section.LIMITS), old.limits, new.limits
    )
    return differences


def check_version(
    old: declared_config.Configuration, new: declared_config.Configuration
) -> list[Finding]:
    """Returns a finding if the newer configuration has no higher version."""
    if new.version > old.version:
        return []
    if new.version < old.version:
        effect = "gateways ignore the new one"
    else:
        effect = "nothing tells the two configurations apart"
    return [
        Finding(
            Severity.ERROR,
            "version-not-higher",
            Place(Section.VERSION),
            f"the version is {new.version}, the old one is {old.version}; "
            f"{effect}",
            f"write {old.version + 1} or more",
        )
    ]


def _compare_entries(
    section: Section, old: Sequence[_Entry], new: Sequence[_Entry]
) -> Iterator[Difference]:
    old_items, new_items = _number_entries(old), _number_entries(new)
    for key, item in old_items.items():
        if key not in new_items:
            place = Place(section, item.entry.name, item.index)
            yield Difference(Change.REMOVED, place)
    for key, item in new_items.items():
        place = Place(section, item.entry.name, item.index)
        if key not in old_items:
            yield Difference(Change.ADDED, place)
        else:
            yield from _compare_fields(place, old_items[key].entry, item.entry)


def _number_entries(entries: Sequence[_Entry]) -> dict[tuple, _Item]:
    """Returns entries by their name and number among those with that name."""
    counts: collections.Counter[str] = collections.Counter()
    items = {}
    for index, entry in enumerate(entries):
        items[entry.name, counts[entry.name]] = _Item(index, entry)
        counts[entry.name] += 1
    return items


def _compare_fields(
    place: Place, old: NamedTuple, new: NamedTuple
) -> Iterator[Difference]:
    old_fields, new_fields = old._asdict(), new._asdict()
    for field, value in new_fields.items():
        if field == "keys":
            yield from _compare_keys(place, old_fields[field], value)
        elif old_fields[field] != value:
            yield Difference(
                Change.CHANGED,
                place._replace(field=field),
                _to_json(old_fields[field]),
                _to_json(value),
            )


def _compare_keys(
    place: Place, old: tuple[str, ...], new: tuple[str, ...]
) -> Iterator[Difference]:
    """Compares API keys; yields their number only, since they are secret.

    Their order has no effect.
    """
    place = place._replace(field="keys")
    removed, added = set(old) - set(new), set(new) - set(old)
    if removed:
        yield Difference(Change.REMOVED, place, old=len(removed))
    if added:
        yield Difference(Change.ADDED, place, new=len(added))


def _to_json(value: Any) -> Any:
    """Returns a value of a field, made of JSON types."""
    if isinstance(value, enum.Enum):
        return value.value
    if hasattr(value, "_asdict"):
        return {name: _to_json(v) for name, v in value._asdict().items()}
    if isinstance(value, tuple | list | frozenset | set):
        return [_to_json(v) for v in value]
    if isinstance(value, dict):
        return {str(name): _to_json(v) for name, v in value.items()}
    return value
