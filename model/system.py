"""Makes a transition system for the model checker from typed states."""

from collections.abc import Callable, Iterable
from typing import Any

import minicheck

Steps = Callable[[Any], Iterable[tuple[str, Any]]]


def build(
    name: str, initial: Any, steps: Steps, invariants: dict[str, Callable]
) -> minicheck.Protocol:
    """Returns the system of a state, its steps and its properties.

    Args:
        name: what it is called.
        initial: first state, a `NamedTuple`.
        steps: gives each label and following state; steps that change nothing
            are left out.
        invariants: properties over a state's fields as a dict.
    """
    state_type = type(initial)

    def transitions(values: tuple) -> list[tuple[str, tuple]]:
        state = state_type(*values)
        return [
            (label, tuple(following))
            for label, following in steps(state)
            if following != state
        ]

    return minicheck.Protocol(
        name=name,
        candidate=False,
        fields=state_type._fields,
        initial=tuple(initial),
        transitions=transitions,
        invariants=dict(invariants),
    )
