"""Internal HTTP endpoints of the gateway: readiness, metrics, peer values."""

from collections.abc import Callable

from chervilarch import http_server


class PageHandler:
    """Implements `http_server.Handler` for pages of this process."""

    def __init__(self, page: Callable[[str], tuple[int, str, bytes]]):
        """Creates the handler.

        Args:
            page: returns status, content type and body for a target.
        """
        self._page = page

    def limits(self) -> http_server.Limits:
        """Returns the limits in force."""
        return http_server.Limits()

    def is_closing(self) -> bool:
        """Returns whether connections close after the current answer."""
        return False

    def begin(
        self, req: http_server.Request, responder: http_server.Responder
    ) -> Callable[[], None]:
        """Answers with a page at once."""
        status, content_type, body = self._page(req.target)
        responder.send(status, [("Content-Type", content_type)], body)
        return _do_nothing


def _do_nothing() -> None:
    pass
