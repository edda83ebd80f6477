"""Calls callbacks whose exceptions must not end the work of others."""

from collections.abc import Callable
from typing import TypeVar

from chervilarch import state_log

T = TypeVar("T")


def call(callback: Callable[..., T], *args) -> T | None:
    """Calls a callback; logs an exception that it raises and returns None."""
    try:
        return callback(*args)
    except Exception as exc:  # noqa: BLE001
        state_log.log_exception("callback failed", exc)
        return None
