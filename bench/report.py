"""Measured values with their bounds, as a table and as one JSON line."""

import json
from typing import Any, NamedTuple


class Measure(NamedTuple):
    """One measured value with its bounds.

    Attributes:
        name: what was measured, with its unit.
        value: the measured value.
        at_least: lower bound that the value has to reach, or None.
        at_most: upper bound that the value has to keep, or None.
        baselines: the same value under other policies in the same run.
    """

    name: str
    value: float
    at_least: float | None = None
    at_most: float | None = None
    baselines: dict[str, float] | None = None

    def verdict(self) -> str:
        """Returns "met", "missed", or "" where there is no bound."""
        if self.at_least is None and self.at_most is None:
            return ""
        meets_lower = self.at_least is None or self.value >= self.at_least
        meets_upper = self.at_most is None or self.value <= self.at_most
        return "met" if meets_lower and meets_upper else "missed"

    def bound(self) -> str:
        """Returns the bound as text."""
        parts = []
        if self.at_least is not None:
            parts.append(f">= {self.at_least:g}")
        if self.at_most is not None:
            parts.append(f"<= {self.at_most:g}")
        return " and ".join(parts)


def print_measures(measures: list[Measure]) -> None:
    """Prints a table, then one JSON object as the last line."""
    for item in measures:
        baselines = ", ".join(
            f"{name} {value:.3g}"
            for name, value in (item.baselines or {}).items()
        )
        print(
            f"{item.name:48} {item.value:10.4g}  {item.bound():14} "
            f"{item.verdict():7} {baselines}"
        )
    document: dict[str, Any] = {
        item.name: {
            **{k: v for k, v in item._asdict().items() if k != "name"},
            "verdict": item.verdict(),
        }
        for item in measures
    }
    print(json.dumps(document))
