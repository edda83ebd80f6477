"""Serves this process's pages: readiness, metrics, values for peers."""

from collections.abc import Callable

from chervilarch import inbound


class PageHandler:
    """Implements `inbound.Handler` for pages of this process."""

    def __init__(self, page: Callable[[str], tuple[int, str, bytes]]):
        """Creates the handler.

        Args:
            page: returns status, content type and body for a target.
        """
        self._page = page

    def limits(self) -> inbound.Limits:
        """Returns the limits in force."""
        return inbound.Limits()

    def is_closing(self) -> bool:
        """Returns whether connections close after the current answer."""
        return False

    def begin(
        self, req: inbound.Inbound, reply: inbound.Responder
    ) -> Callable[[], None]:
        """Answers with a page at once."""
        status, content_type, body = self._page(req.target)
        reply.send(status, [("Content-Type", content_type)], body)
        return _do_nothing


def _do_nothing() -> None:
    pass
