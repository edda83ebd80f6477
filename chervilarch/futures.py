"""Results that come later, within the loop's thread."""

from collections.abc import Callable
from typing import Generic, TypeVar

from chervilarch import guards

T = TypeVar("T")


class Future(Generic[T]):
    """A result that may come later."""

    __slots__ = ("_callbacks", "_is_done", "_result")

    def __init__(self) -> None:
        self._callbacks: list[Callable[[Future[T]], None]] = []
        self._is_done = False
        self._result: T | None = None

    def done(self) -> bool:
        """Returns whether there is a result."""
        return self._is_done

    def result(self) -> T:
        """Returns the result.

        Raises:
            RuntimeError: there is none yet.
        """
        if not self._is_done:
            raise RuntimeError("the future has no result yet")
        return self._result

    def set_result(self, result: T) -> None:
        """Sets the result and calls the callbacks.

        Raises:
            RuntimeError: there is a result already.
        """
        if self._is_done:
            raise RuntimeError("the future has a result already")
        self._is_done = True
        self._result = result
        callbacks, self._callbacks = self._callbacks, []
        for callback in callbacks:
            guards.call(callback, self)

    def add_done_callback(
        self, callback: "Callable[[Future[T]], None]"
    ) -> None:
        """Calls back once there is a result; at once if there is one."""
        if self._is_done:
            guards.call(callback, self)
        else:
            self._callbacks.append(callback)

    def remove_done_callback(
        self, callback: "Callable[[Future[T]], None]"
    ) -> None:
        """Removes a callback, if it waits."""
        if callback in self._callbacks:
            self._callbacks.remove(callback)
