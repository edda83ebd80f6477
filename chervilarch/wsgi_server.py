"""Serves a WSGI application (PEP 3333) from `http_server`.

The loop reads complete requests and writes the responses; the application runs
on a pool of threads. So both daemons read HTTP by the same code, and a caller
that disconnects is noticed while its request runs.
"""

import io
import sys
import threading
import urllib.parse
from collections.abc import Callable, Iterable
from concurrent import futures
from typing import Any

import h11

from chervilarch import byte_room, http_server, state_log
from chervilarch import loop as loops

# A request ends if its caller takes no byte for this long.
WRITE_TIMEOUT_S = 10.0
_CLOSE_POLL_S = 0.02
_CUT_OFF_ANSWER = (500, http_server.Rejection([], b""))
# Describe the body as it was sent; the application gets it decoded.
_FRAMING_HEADERS = ("content-length", "transfer-encoding")

StartResponse = Callable[..., Callable[[bytes], None]]
Application = Callable[[dict[str, Any], StartResponse], Iterable[bytes]]


class WsgiServer:
    """Runs the loop, the HTTP server and the application's threads."""

    def __init__(
        self,
        loop: loops.Loop,
        address: str,
        app: Application,
        threads: int,
        limits: http_server.Limits,
        is_closing: Callable[[], bool],
        build_rejection: Callable[[int, str], http_server.Rejection],
        cut_off_answer: tuple[int, http_server.Rejection] = _CUT_OFF_ANSWER,
        body_room: byte_room.Room | None = None,
    ):
        """Binds the address.

        Args:
            loop: runs the connections; `start` runs it on a thread.
            address: IP address and port to listen at.
            app: the WSGI application.
            threads: requests that the application serves at a time; more wait.
            limits: limits on the size and time of a request.
            is_closing: whether connections close after the current response.
            build_rejection: returns the answer to a request that can't be read.
            cut_off_answer: status and answer of a request that a stop cuts off.
            body_room: bounds the bodies of requests; unbounded by default.

        Raises:
            OSError: the address can't be bound.
        """
        self._loop = loop
        self._pool = futures.ThreadPoolExecutor(threads, "request")
        self._cut_off_answer = cut_off_answer
        self._has_cut_off = False
        handler = _Handler(loop, app, self._pool, limits, is_closing)
        self._server = http_server.Server(
            loop, address, handler, build_rejection, body_room=body_room
        )
        self._thread = threading.Thread(
            target=loop.run, name="server", daemon=True
        )

    @property
    def port(self) -> int:
        """Returns the port that the server listens at."""
        return self._server.port

    def start(self) -> None:
        """Starts serving."""
        self._thread.start()

    def stop(self, timeout_s: float, ends_at: float = float("inf")) -> None:
        """Serves what was accepted, closes the connections, ends the thread.

        Args:
            timeout_s: time after which connections are closed although callers
                still send or read.
            ends_at: monotonic time at which the requests in flight are
                answered as cut off.
        """
        self._loop.call_from_thread(
            lambda: self._begin_stop(timeout_s, ends_at)
        )
        self._thread.join()
        # Threads that serve requests that were cut off aren't waited for.
        self._pool.shutdown(wait=not self._has_cut_off, cancel_futures=True)
        if not self._has_cut_off:
            self._loop.close()

    def _begin_stop(self, timeout_s: float, ends_at: float) -> None:
        self._server.stop_accepting()
        self._close_connections(self._loop.now() + timeout_s, ends_at)

    def _close_connections(self, give_up_at: float, ends_at: float) -> None:
        self._server.close_idle()
        count = self._server.connection_count()
        if self._loop.now() >= ends_at:
            if self._server.serves_requests():
                state_log.log_fault("requests cut off")
                self._has_cut_off = True
            self._server.cut_off(*self._cut_off_answer)
            give_up_at = ends_at
        if self._loop.now() >= give_up_at:
            self._server.refuse_unread()
            if not self._server.serves_requests():
                if count:
                    state_log.log_fault("connections cut off", count=count)
                self._loop.stop()
                return
        if not count:
            self._loop.stop()
            return
        self._loop.call_later(
            _CLOSE_POLL_S,
            lambda: self._close_connections(give_up_at, ends_at),
        )


class _Handler:
    """Implements `http_server.Handler`; runs each request on the pool."""

    def __init__(
        self,
        loop: loops.Loop,
        app: Application,
        pool: futures.Executor,
        limits: http_server.Limits,
        is_closing: Callable[[], bool],
    ):
        self._loop = loop
        self._app = app
        self._pool = pool
        self._limits = limits
        self.is_closing = is_closing

    def limits(self) -> http_server.Limits:
        return self._limits

    def begin(
        self, req: http_server.Request, responder: http_server.Responder
    ) -> Callable[[], None]:
        response = _Response(self._loop, responder)
        self._pool.submit(_serve, self._app, req, response)
        return response.on_disconnect


class _Response:
    """Hands a response of the application over to the loop's thread."""

    def __init__(self, loop: loops.Loop, responder: http_server.Responder):
        self._loop = loop
        self._responder = responder
        self._status = 0
        self._headers: http_server.Headers = []
        self._is_disconnected = False
        self._lock = threading.Lock()
        self._handed_over_bytes = 0
        self._unsent_bytes = 0
        # Cleared while the caller reads too slowly.
        self._may_write = threading.Event()
        self._may_write.set()

    def start(
        self, status: str, headers: http_server.Headers, exc_info: Any = None
    ) -> Callable[[bytes], None]:
        """Sets status and headers; returns the function that writes."""
        self._status = int(status.split(" ", 1)[0])
        self._headers = headers
        return self.write

    def write(self, data: bytes) -> None:
        """Sends a part of the body.

        Raises:
            OSError: the caller has disconnected or doesn't read.
        """
        self._wait_until_writable()
        if self._is_disconnected:
            raise ConnectionResetError("the caller has disconnected")
        with self._lock:
            self._handed_over_bytes += len(data)
            if self._handed_over_bytes > http_server.WRITE_HIGH_BYTES:
                self._may_write.clear()
        self._hand_over(lambda: self._send(data))

    def _wait_until_writable(self) -> None:
        """Waits while the caller reads too slowly.

        Raises:
            TimeoutError: the caller takes no byte.
        """
        began_at = self._loop.now()
        left_s = WRITE_TIMEOUT_S
        while not self._may_write.wait(left_s):
            taken_at = max(began_at, self._responder.taken_at())
            left_s = taken_at + WRITE_TIMEOUT_S - self._loop.now()
            if left_s <= 0.0:
                raise TimeoutError("the caller doesn't read the response")

    def finish(self) -> None:
        """Ends the response as complete."""
        self._hand_over(self._finish)

    def abort(self) -> None:
        """Ends the response so that it can't look complete."""
        self._hand_over(self._abort)

    def on_disconnect(self) -> None:
        """Makes the application's next write fail; called on the loop."""
        self._is_disconnected = True
        self._may_write.set()

    def _hand_over(self, action: Callable[[], None]) -> None:
        """Runs an action on the loop, unless the response was broken off."""

        def run() -> None:
            if self._responder.ended:
                return
            try:
                action()
            except h11.LocalProtocolError as exc:
                state_log.log_fault("response not valid", detail=str(exc))
                self.on_disconnect()
                self._responder.abort()

        self._loop.call_from_thread(run)

    def _send(self, data: bytes) -> None:
        self._send_head()
        if data:
            self._responder.send_body(data)
        self._unsent_bytes += len(data)
        if self._responder.buffered() > http_server.WRITE_HIGH_BYTES:
            self._responder.on_writable(self._allow_writes)
        else:
            self._allow_writes()

    def _allow_writes(self) -> None:
        """Lets the application write again once enough bytes are sent."""
        with self._lock:
            self._handed_over_bytes -= self._unsent_bytes
            self._unsent_bytes = 0
            if self._handed_over_bytes <= http_server.WRITE_HIGH_BYTES:
                self._may_write.set()

    def _send_head(self) -> None:
        if not self._responder.head_sent:
            self._responder.send_head(self._status, self._headers)

    def _finish(self) -> None:
        self._send_head()
        self._responder.finish()

    def _abort(self) -> None:
        if self._responder.head_sent:
            self._responder.abort()
        else:
            self._responder.send(500, [], b"")


def _serve(
    app: Application, req: http_server.Request, response: _Response
) -> None:
    """Runs the application for one request; never raises."""
    try:
        chunks = app(build_environ(req), response.start)
        try:
            for chunk in chunks:
                if chunk:
                    response.write(chunk)
        finally:
            if hasattr(chunks, "close"):
                chunks.close()
    except OSError as exc:
        state_log.log_fault("response broken off", detail=str(exc))
        response.abort()
    except Exception as exc:  # noqa: BLE001
        state_log.log_fault("server error", detail=repr(exc))
        response.abort()
    else:
        response.finish()


def build_environ(req: http_server.Request) -> dict[str, Any]:
    """Returns the WSGI environment of a request."""
    path, _, query = req.target.partition("?")
    if not path.startswith("/"):
        # The absolute form, which proxies are sent.
        parts = urllib.parse.urlsplit(req.target)
        path, query = parts.path, parts.query
    environ: dict[str, Any] = {
        "REQUEST_METHOD": req.method,
        "SCRIPT_NAME": "",
        "PATH_INFO": urllib.parse.unquote(path, "latin-1"),
        "QUERY_STRING": query,
        "CONTENT_LENGTH": str(len(req.body)),
        "SERVER_NAME": "",
        "SERVER_PORT": "",
        "SERVER_PROTOCOL": "HTTP/1.1",
        "REMOTE_ADDR": req.peer,
        "wsgi.version": (1, 0),
        "wsgi.url_scheme": "http",
        "wsgi.input": io.BytesIO(req.body),
        "wsgi.errors": sys.stderr,
        "wsgi.multithread": True,
        "wsgi.multiprocess": False,
        "wsgi.run_once": False,
    }
    for name, value in req.headers:
        # "A_B" would pass for "A-B" in the environment.
        if name in _FRAMING_HEADERS or "_" in name:
            continue
        variable = name.upper().replace("-", "_")
        if variable != "CONTENT_TYPE":
            variable = f"HTTP_{variable}"
        known = environ.get(variable)
        environ[variable] = value if known is None else f"{known},{value}"
    return environ
