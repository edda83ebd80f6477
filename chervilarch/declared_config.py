"""A configuration as its file declares it, and what a check says about it.

Unlike `routing_table.RoutingTable`, it keeps what the table drops: routes with
the same host and prefix, accounts without keys, keys of several accounts.
"""

import enum
from typing import Any, NamedTuple

from chervilarch import routing_table


class Account(NamedTuple):
    """An account with its API keys, which are secret."""

    name: str
    keys: tuple[str, ...] = ()
    priority: int | None = None


class Configuration(NamedTuple):
    """All parts of a configuration, in the order of the file.

    Attributes:
        version: the number that orders configurations.
        routes: how requests are served.
        pools: the pools of endpoints.
        accounts: the callers' accounts; None if callers need no key.
        limits: limits on callers' requests.
    """

    version: int
    routes: tuple[routing_table.Route, ...]
    pools: tuple[routing_table.Pool, ...]
    accounts: tuple[Account, ...] | None
    limits: routing_table.CallerLimits


class Section(enum.StrEnum):
    """A part of a configuration that has entries or fields."""

    FILE = "file"
    VERSION = "version"
    ROUTE = "route"
    POOL = "pool"
    ACCOUNT = "account"
    LIMITS = "limits"


class Place(NamedTuple):
    """Where something is in a configuration.

    Attributes:
        section: part of the configuration.
        name: name of the route, pool or account.
        index: position of the route, pool or account in its list; None for the
            list itself and for sections that are no lists.
        field: name of a field in the product's terms, "" for all; of a file
            that can't be decoded, the JSON path where the decoder stopped.
        item: position within a field that is a list.
    """

    section: Section
    name: str = ""
    index: int | None = None
    field: str = ""
    item: int | None = None

    def __str__(self) -> str:
        parts = [self.section.value]
        if self.index is not None:
            parts.append(quote(self.name))
        if self.field:
            parts.append(self.field)
        if self.item is not None:
            parts[-1] += f"[{self.item}]"
        return " ".join(parts)


class Severity(enum.StrEnum):
    """How bad a finding is."""

    # The configuration can't do what it says.
    ERROR = "error"
    # It works, but probably not as it was meant.
    WARNING = "warning"


class Finding(NamedTuple):
    """Something in a configuration that is wrong or doubtful.

    Attributes:
        severity: whether the configuration still works.
        code: stable name of this kind of finding.
        place: where it is.
        detail: what is wrong.
        remedy: what to do about it.
    """

    severity: Severity
    code: str
    place: Place
    detail: str
    remedy: str


class Change(enum.StrEnum):
    """How an entry or a field differs from the older configuration."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


class Difference(NamedTuple):
    """One difference between two configurations.

    Attributes:
        change: what happened to the place.
        place: an entry, or a field of an entry that both configurations have;
            its position is that in the newer configuration, or in the older one
            if it was removed.
        old: former value of a changed field, made of JSON types; of removed
            keys, their number.
        new: present value of a changed field, made of JSON types; of added
            keys, their number.
    """

    change: Change
    place: Place
    old: Any = None
    new: Any = None


_MAX_QUOTED_CHARS = 80


def quote(text: str) -> str:
    """Returns a text in quotes, shortened, without control characters."""
    quoted = repr(text)
    if len(quoted) > _MAX_QUOTED_CHARS:
        quoted = quoted[: _MAX_QUOTED_CHARS - 3] + "..."
    return quoted
