"""Builds transition systems for the model checker from typed states."""

from collections.abc import Callable, Iterable
from typing import Any

import minicheck

# Yields a label and the following state of each step from a state.
StepFunction = Callable[[Any], Iterable[tuple[str, Any]]]


def build(
    name: str,
    initial: Any,
    steps: StepFunction,
    invariants: dict[str, Callable],
) -> minicheck.Protocol:
    """Returns the transition system of an initial state and its steps.

    Args:
        name: name of the system.
        initial: initial state, a `NamedTuple`.
        steps: the steps from a state; those that change nothing are left out.
        invariants: properties by name; each takes a state's fields as a dict.
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
