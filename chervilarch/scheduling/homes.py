"""Decides in which regions a request may be served.

Load pattern: when a region loses endpoints, the least loaded ones that are left
are those of other regions, and requests whose data must stay at home would
follow the load there. They are refused instead.
"""

from collections.abc import Mapping
from typing import Protocol

# Regions in which endpoints may be used; None for all, even unknown ones.
Allowed = frozenset[str] | None


class Restricted(Protocol):
    """A route or an account; no allowed regions mean all."""

    allowed_regions: frozenset[str]


def allowed_regions(route: Restricted, account: Restricted | None) -> Allowed:
    """Returns the regions that both route and account allow.

    Args:
        route: the request's route.
        account: the request's account, None if it has none.

    Returns:
        The regions, none if the two have none in common; None for all.
    """
    restrictions = [
        restricted.allowed_regions
        for restricted in (route, account)
        if restricted is not None and restricted.allowed_regions
    ]
    if not restrictions:
        return None
    return frozenset.intersection(*restrictions)


class Regions:
    """The regions of data centres."""

    def __init__(self, by_data_centre: Mapping[str, str]):
        """Creates it.

        Args:
            by_data_centre: region of each data centre, as far as it is known.
        """
        self._by_data_centre = dict(by_data_centre)

    def allows(self, data_centre: str, allowed: Allowed) -> bool:
        """Returns whether a data centre lies in an allowed region.

        One whose region isn't known lies in none.
        """
        if allowed is None:
            return True
        return self._by_data_centre.get(data_centre) in allowed
