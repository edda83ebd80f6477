"""HTTP/1.1 server on the event loop, with `h11` as its codec.

Unlike a WSGI server it notices a caller that disconnects while its request
waits or runs, and an answer that ends early never looks complete.
"""

import enum
import errno
import heapq
import http
import selectors
import socket
from collections.abc import Callable
from typing import NamedTuple, Protocol

import h11

from chervilarch import (
    byte_room,
    request_framing,
    state_log,
    unsent_answers,
    write_buffer,
)
from chervilarch import loop as loops
from chervilarch.futures import Future

_RECV_BYTES = 64 * 1024
_BACKLOG = 1024
# Idle connections that are closed at a time to make room for new ones.
_MAX_CLOSED_FOR_ROOM = 32
# Without room, connections wait this long in the listener's queue until it is
# looked again.
_ACCEPT_RETRY_S = 0.1
_NO_DESCRIPTOR_ERRORS = (errno.EMFILE, errno.ENFILE)
# A sender pauses while more bytes than this wait for a slow caller.
WRITE_HIGH_BYTES = 256 * 1024
# With this many pipelined bytes read, the rest is left in the kernel.
_MAX_PIPELINED_BYTES = 64 * 1024
# Limits for requests that arrive before there is a configuration.
DEFAULT_HEADER_BYTES = 16 * 1024
DEFAULT_BODY_BYTES = 4 * 1024 * 1024
DEFAULT_HEADER_TIMEOUT_S = 3.0
DEFAULT_IDLE_TIMEOUT_S = 15.0
# On a new connection the first request may be on its way for this long; until
# then a stop doesn't close it as idle.
FIRST_REQUEST_WAIT_S = 0.5
# A caller that takes no byte of a finished answer for this long is
# disconnected.
UNREAD_TIMEOUT_S = 15.0
# While an answer is being read, more of it is written this often, too: a socket
# becomes writable only once a third of its buffer is free.
_WRITE_INTERVAL_S = 1.0
# After its last answer a connection is read, and what comes is dropped, until
# nothing came for the first of these times; for the second at most.
_LINGER_S = 1.0
_MAX_LINGER_S = 5.0
# A request of which bytes wait unread at its time limit may be read for this
# long in addition: more may wait in the caller's kernel.
LATE_READ_S = 0.5
# A request that gets no room for its body within this time is refused. Callers
# give up on a host that hasn't read their request after a second.
ROOM_WAIT_S = 0.5
# Retry-After of such a refusal, in seconds.
ROOM_RETRY_S = 0.5
_ROOM_CHECK_INTERVAL_S = 0.25
_UNBOUNDED = byte_room.Bounds(2**62, 2**62, 2**62)

# Doesn't say whether the request ran.
_FAULT_STATUS = 502
_BODYLESS = frozenset((204, 304))

_REASON_PHRASES = {
    status.value: status.phrase.encode() for status in http.HTTPStatus
}

Headers = list[tuple[str, str]]


class CloseReason(enum.Enum):
    """Why a caller's connection is closed, and by whom."""

    CALLER_CLOSED = "the caller closed it"
    CALLER_RESET = "the caller reset it"
    ANSWER_BROKEN = "the answer was broken off"
    ANSWER_UNREAD = "the caller didn't read the answer"
    ANSWER_GAVE_WAY = "the caller was too slow for the room of its answer"
    ANSWERED = "its last answer was sent"
    IDLE = "no request came in time"
    STOPPING = "this host stops"
    NO_ROOM = "a new connection needs its place"
    OUT_OF_STEP = "the request or the answer wasn't whole"


class Limits(NamedTuple):
    """Limits on the size of a request and the time to send it.

    Attributes:
        header_bytes: size of the head.
        body_bytes: size of the body.
        header_timeout_s: time to send the head.
        idle_timeout_s: time that a connection may wait for a request.
        body_timeout_s: time to send the body; None for `idle_timeout_s`.
    """

    header_bytes: int = DEFAULT_HEADER_BYTES
    body_bytes: int = DEFAULT_BODY_BYTES
    header_timeout_s: float = DEFAULT_HEADER_TIMEOUT_S
    idle_timeout_s: float = DEFAULT_IDLE_TIMEOUT_S
    body_timeout_s: float | None = None


class Request(NamedTuple):
    """A complete request.

    Attributes:
        method: HTTP method.
        target: path and query as sent.
        headers: names in lower case with values, in the order sent.
        body: the complete body.
        arrived_at: monotonic time at which its first byte was read.
        peer: address of the caller.
    """

    method: str
    target: str
    headers: Headers
    body: bytes
    arrived_at: float
    peer: str


class Handler(Protocol):
    """Serves requests of one listener."""

    def begin(self, req: Request, responder: "Responder") -> Callable[[], None]:
        """Starts a request; returns what to call if the caller disconnects."""

    def limits(self) -> Limits:
        """Returns the limits in force."""

    def is_closing(self) -> bool:
        """Returns whether connections close after the current answer."""


class Responder:
    """The answer to one request."""

    def __init__(self, conn: "_Connection"):
        self._conn = conn
        self.head_sent = False
        self.ended = False

    def send_head(self, status: int, headers: Headers) -> None:
        """Sends the status line and headers."""
        head = self._conn.build_head(status, headers)
        self.head_sent = True
        self._conn.send_event(head)

    def send_body(self, data: bytes) -> None:
        """Sends a chunk of the body."""
        self._conn.send_event(h11.Data(data=data))

    def finish(self) -> None:
        """Ends the answer as complete."""
        self.ended = True
        self._conn.finish()

    def abort(self) -> None:
        """Closes the connection, so that the answer can't look complete."""
        self.ended = True
        self._conn.close(CloseReason.ANSWER_BROKEN)

    def send(self, status: int, headers: Headers, body: bytes) -> None:
        """Sends a complete answer."""
        length = ("Content-Length", str(len(body)))
        self.send_head(status, [*headers, length])
        if body and self._conn.allows_body(status):
            self.send_body(body)
        self.finish()

    def fail(self) -> None:
        """Ends the answer after a fault, with a status if none was sent.

        The status doesn't say whether the request ran.
        """
        if not self.head_sent:
            try:
                self.send(_FAULT_STATUS, [], b"")
                return
            except Exception as exc:  # noqa: BLE001
                state_log.log_exception("fault not answered", exc)
        self.abort()

    def buffered(self) -> int:
        """Returns how many bytes are yet to be written to the socket."""
        return self._conn.unsent_bytes()

    def growth(self) -> Future | None:
        """Returns when more of the answer may be sent; None for at once."""
        return self._conn.growth()

    def taken_at(self) -> float:
        """Returns when the caller last took bytes, in monotonic seconds."""
        return self._conn.taken_at

    def on_writable(self, callback: Callable[[], None]) -> None:
        """Calls back once all bytes have been written to the socket."""
        self._conn.on_flushed = callback


class Rejection(NamedTuple):
    """Headers and body of the answer to a request that can't be read."""

    headers: Headers
    body: bytes


def _empty_rejection(status: int, detail: str) -> Rejection:
    return Rejection([], b"")


class Server:
    """Accepts connections on one address."""

    def __init__(
        self,
        loop: loops.Loop,
        address: str,
        handler: Handler,
        build_rejection: Callable[[int, str], Rejection] = _empty_rejection,
        answer_room: byte_room.Room | None = None,
        body_room: byte_room.Room | None = None,
        max_connections: int | None = None,
        count_slow_caller: Callable[[str], None] | None = None,
    ):
        """Binds the address.

        Args:
            loop: runs the server.
            address: IP address and port to listen at.
            handler: serves the requests.
            build_rejection: returns the answer to a request that can't be read,
                by its status and a description of the fault.
            answer_room: counts the bytes of answers that callers haven't read.
            body_room: bounds the bodies of requests, from before they are read
                until they are answered; unbounded by default.
            max_connections: bound on open connections, None for none. At the
                bound the longest idle ones are closed for new ones; if none is
                idle, new ones wait in the listener's queue.
            count_slow_caller: counts what slow callers cause, by its name.

        Raises:
            OSError: the address can't be bound.
        """
        self.loop = loop
        self.unsent = unsent_answers.UnsentAnswers(
            loop,
            answer_room or byte_room.Room(_UNBOUNDED),
            count_slow_caller or _ignore,
        )
        self.body_room = body_room or byte_room.Room(_UNBOUNDED)
        self._room_timer: loops.Timer | None = None
        self.handler = handler
        self.build_rejection = build_rejection
        host, port = address.rsplit(":", 1)
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind((host, int(port)))
        self._listener.listen(_BACKLOG)
        self._listener.setblocking(False)
        self.port = self._listener.getsockname()[1]
        self._connections: set[_Connection] = set()
        self._max_connections = max_connections
        loop.watch(self._listener, selectors.EVENT_READ, self._accept)

    def stop_accepting(self) -> None:
        """Closes the listener; open connections stay open.

        Connections that wait in the listener's queue are accepted first: the
        kernel would reset them.
        """
        self._max_connections = None
        self._accept(selectors.EVENT_READ)
        self.loop.unwatch(self._listener)
        self._listener.close()

    def close_idle(self) -> None:
        """Closes the connections that serve no request and have none sent."""
        for conn in list(self._connections):
            conn.close_if_idle(CloseReason.STOPPING)

    def refuse_unread(self) -> None:
        """Refuses the requests that haven't been sent completely."""
        for conn in list(self._connections):
            conn.refuse_if_reading()

    def check_room(self) -> None:
        """Makes bodies that don't arrive give way while others wait."""
        if self._room_timer is None:
            self._room_timer = self.loop.call_later(
                _ROOM_CHECK_INTERVAL_S, self._check_room
            )

    def _check_room(self) -> None:
        self._room_timer = None
        if self.body_room.is_awaited():
            self.body_room.check(self.loop.now())
            self.check_room()

    def remove(self, conn: "_Connection") -> None:
        """Removes a closed connection."""
        self._connections.discard(conn)

    def connection_count(self) -> int:
        """Returns the number of open connections."""
        return len(self._connections)

    def cut_off(self, status: int, answer: Rejection) -> None:
        """Answers the requests in flight; breaks answers that have begun."""
        for conn in list(self._connections):
            conn.cut_off(status, answer)

    def serves_requests(self) -> bool:
        """Returns whether any request waits for the end of its answer."""
        return any(conn.is_serving() for conn in self._connections)

    def _accept(self, events: int) -> None:
        if not (self._is_below_bound() or self._close_for_room()):
            self._pause_accepting()
            return
        # At the bound, one that still waits gets room in the next turn.
        while self._is_below_bound():
            try:
                sock, peer = self._listener.accept()
            except OSError as exc:
                # No connection waits, it was reset meanwhile, or the process
                # can't open another.
                if exc.errno not in _NO_DESCRIPTOR_ERRORS:
                    return
                if self._close_for_room():
                    continue
                self._pause_accepting()
                return
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._connections.add(_Connection(self, sock, peer[0]))

    def _is_below_bound(self) -> bool:
        return (
            self._max_connections is None
            or len(self._connections) < self._max_connections
        )

    def _close_for_room(self) -> bool:
        """Closes the longest idle connections; returns whether it closed any.

        The others have a request that is being read, served or answered.
        """
        open_before = len(self._connections)
        for conn in heapq.nsmallest(
            _MAX_CLOSED_FOR_ROOM,
            (conn for conn in self._connections if conn.is_idle()),
            key=lambda conn: conn.idle_since,
        ):
            conn.close_if_idle(CloseReason.NO_ROOM)
        closed = open_before - len(self._connections)
        state_log.log_decision(
            "connections at the bound",
            is_problem=True,
            connections=open_before,
            idle_closed=closed,
        )
        return closed > 0

    def _pause_accepting(self) -> None:
        """Leaves new connections in the listener's queue for a moment."""
        self.loop.unwatch(self._listener)
        self.loop.call_later(_ACCEPT_RETRY_S, self._resume_accepting)

    def _resume_accepting(self) -> None:
        if self._listener.fileno() >= 0:
            self.loop.watch(self._listener, selectors.EVENT_READ, self._accept)


class _Connection:
    """One caller's connection; it serves one request at a time."""

    def __init__(self, server: Server, sock: socket.socket, peer: str):
        self._server = server
        self._loop = server.loop
        self._sock = sock
        self.peer = peer
        self._opened_at = self._loop.now()
        self.idle_since = self._opened_at
        self._has_served = False
        self._limits = server.handler.limits()
        self._codec_header_bytes = self._limits.header_bytes
        self._codec = _create_codec(self._codec_header_bytes)
        self._head: h11.Request | None = None
        # Empty once it was passed on with its request.
        self._body = bytearray()
        self._body_bytes = 0
        self._first_byte_at = 0.0
        self._is_late = False
        self._responder: Responder | None = None
        self._on_disconnect: Callable[[], None] | None = None
        self._out = write_buffer.WriteBuffer()
        self._write_timer: loops.Timer | None = None
        self._body_holder: byte_room.Holder | None = None
        # Bytes of the body for which there is no room yet.
        self._unplaced_bytes = 0
        # Set while the body waits for room, and left unread.
        self._room_timer: loops.Timer | None = None
        self._closing = False
        self._closed = False
        self._has_read_all = False
        self._linger_until = float("-inf")
        self._pipelined_bytes = 0
        self.on_flushed: Callable[[], None] | None = None
        self.taken_at = self._opened_at
        self._timer = self._loop.call_later(
            self._limits.idle_timeout_s, self._time_out
        )
        self._watch()

    def is_idle(self) -> bool:
        """Returns whether no request is being read, served or answered."""
        return not (self._responder or self._first_byte_at or self._out)

    def cut_off(self, status: int, answer: Rejection) -> None:
        """Answers a request in flight, or breaks the answer that has begun."""
        responder = self._responder
        if responder is None or responder.ended:
            return
        if responder.head_sent:
            responder.abort()
        else:
            responder.send(status, answer.headers, answer.body)

    def is_serving(self) -> bool:
        """Returns whether a request waits for the end of its answer."""
        return self._responder is not None

    def close_if_idle(self, reason: CloseReason) -> None:
        """Closes the connection unless a request was sent or may come soon."""
        age_s = self._loop.now() - self._opened_at
        if not self._has_served and age_s < FIRST_REQUEST_WAIT_S:
            return
        if self.is_idle():
            # A request may wait in the kernel; closing would reset it.
            self._receive()
        if self.is_idle():
            self.close(reason)

    def refuse_if_reading(self) -> None:
        """Refuses a request of which only a part has been read."""
        if self._first_byte_at and not (self._responder or self._closing):
            self._reject(503, "this host stops", [("Retry-After", "0")])

    def unsent_bytes(self) -> int:
        """Returns the number of buffered bytes."""
        return len(self._out)

    def build_head(self, status: int, headers: Headers) -> h11.Response:
        """Returns the status line and headers, for `send_event`."""
        # A request that was read already is served before the close.
        has_next = bool(self._codec.trailing_data[0])
        if self._server.handler.is_closing() and not has_next:
            headers = [*headers, ("Connection", "close")]
        return _response_head(status, headers)

    def allows_body(self, status: int) -> bool:
        """Returns whether the answer to the current request has a body."""
        head = self._head
        is_head = head is not None and head.method == b"HEAD"
        return status not in _BODYLESS and not is_head

    def send_event(self, event: h11.Event) -> None:
        """Queues an event of the answer."""
        if self._closed:
            return
        data = self._codec.send(event)
        if data:
            self._out.append(data)
            self._flush()

    def finish(self) -> None:
        """Ends the answer and prepares for the next request."""
        if self._closed:
            return
        self.send_event(h11.EndOfMessage())
        self._close_body_holder()
        self._responder = None
        self._on_disconnect = None
        self._head = None
        self._body_bytes = 0
        self._first_byte_at = 0.0
        if self._codec.our_state is h11.MUST_CLOSE:
            self._closing = True
            self._set_timer(UNREAD_TIMEOUT_S)
            self._flush()
            return
        if self._codec.our_state is not h11.DONE or (
            self._codec.their_state is not h11.DONE
        ):
            self.close(CloseReason.OUT_OF_STEP)
            return
        self._codec.start_next_cycle()
        self._limits = self._server.handler.limits()
        self._set_answered_timer()
        # The next request may already be in the codec.
        self._loop.call_soon(self._parse)

    def close(self, reason: CloseReason) -> None:
        """Closes the connection and notifies the handler of its request."""
        if self._closed:
            return
        self._log_close(reason)
        is_incomplete = bool(self._out) or self._responder is not None
        if is_incomplete and self._codec.their_http_version == b"1.0":
            # The end of the connection may be the end of its answer.
            unsent_answers.reset_on_close(self._sock)
        self._closed = True
        self._out.clear()
        self._server.unsent.remove(self)
        self._close_body_holder()
        self._timer.cancel()
        self._loop.unwatch(self._sock)
        self._sock.close()
        self._server.remove(self)
        responder, self._responder = self._responder, None
        on_disconnect, self._on_disconnect = self._on_disconnect, None
        self.on_flushed = None
        self._head = None
        self._body = bytearray()
        if on_disconnect is not None and not responder.ended:
            on_disconnect()

    def _log_close(self, reason: CloseReason) -> None:
        """Logs a close unless nothing was being read, served or answered."""
        if self.is_idle() or (self._closing and not self._out):
            return
        state_log.log_decision(
            "connection closed",
            is_problem=True,
            reason=reason.value,
            peer=self.peer,
            is_serving=self._responder is not None,
            read_bytes=self._body_bytes,
            unsent_bytes=len(self._out),
        )

    def _watch(self) -> None:
        events = 0
        is_full = self._pipelined_bytes >= _MAX_PIPELINED_BYTES
        waits = is_full or self._room_timer is not None
        if not (waits or self._has_read_all):
            events |= selectors.EVENT_READ
        if self._out:
            events |= selectors.EVENT_WRITE
        if events:
            self._loop.watch(self._sock, events, self._on_ready)
        else:
            self._loop.unwatch(self._sock)

    def _on_ready(self, events: int) -> None:
        if events & selectors.EVENT_WRITE:
            self._flush()
        if events & selectors.EVENT_READ and not self._closed:
            self._receive()

    def _receive(self) -> bool:
        """Reads what waits in the socket; returns whether there was any."""
        try:
            data = self._sock.recv(_RECV_BYTES)
        except BlockingIOError:
            return False
        except OSError:
            self.close(CloseReason.CALLER_RESET)
            return False
        if not data:
            self._end_reading()
            return False
        if self._closing:
            if self._loop.now() < self._linger_until:
                self._set_timer(_LINGER_S)
            return True
        if self._responder is not None:
            self._pipelined_bytes += len(data)
            if self._pipelined_bytes >= _MAX_PIPELINED_BYTES:
                self._watch()
        elif not self._first_byte_at:
            self._start_reading()
        self._codec.receive_data(data)
        if self._responder is None:
            self._parse()
        return True

    def _end_reading(self) -> None:
        """Closes the connection after the rest of an answer that has ended.

        The caller sends no more. That it reads no more either shows only when
        bytes are sent to it.
        """
        if self._responder is not None or not self._out:
            self.close(CloseReason.CALLER_CLOSED)
            return
        self._closing = True
        self._has_read_all = True
        self._set_timer(UNREAD_TIMEOUT_S)
        self._watch()

    def _start_reading(self) -> None:
        """Begins to read a request, with the limits in force."""
        self._limits = self._server.handler.limits()
        if self._limits.header_bytes != self._codec_header_bytes:
            # The codec's own limit can't be changed.
            unread = self._codec.trailing_data[0]
            self._codec_header_bytes = self._limits.header_bytes
            self._codec = _create_codec(self._codec_header_bytes)
            if unread:
                self._codec.receive_data(unread)
        self._first_byte_at = self._loop.now()
        self._is_late = False
        self._set_timer(self._limits.header_timeout_s)

    def _parse(self) -> None:
        """Reads events from the codec until a request is complete."""
        if self._closed or self._responder is not None or self._closing:
            return
        if self._room_timer is not None:
            return
        self._pipelined_bytes = 0
        if self._codec.trailing_data[0] and not self._first_byte_at:
            self._start_reading()
        try:
            self._read_events()
        except h11.RemoteProtocolError as exc:
            self._reject(exc.error_status_hint, str(exc))
        if not (self._closed or self._closing):
            self._watch()

    def _read_events(self) -> None:
        """Handles what the codec has received.

        Raises:
            h11.RemoteProtocolError: the caller doesn't speak HTTP/1.1.
        """
        if self._codec.their_state is h11.IDLE:
            fault = request_framing.raw_head_fault(self._codec.trailing_data[0])
            if fault:
                self._reject(400, fault)
                return
        while self._responder is None:
            event = self._codec.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if not self._handle_event(event) or self._room_timer is not None:
                return

    def _handle_event(self, event: h11.Event) -> bool:
        if isinstance(event, h11.Request):
            self._begin_request(event)
        elif isinstance(event, h11.Data):
            self._add_body(event.data)
        elif isinstance(event, h11.EndOfMessage):
            self._serve()
        elif isinstance(event, h11.ConnectionClosed):
            self.close(CloseReason.CALLER_CLOSED)
        return not (self._closed or self._closing)

    def _begin_request(self, head: h11.Request) -> None:
        """Checks a request's head and waits for its body."""
        limits = self._limits
        if _head_bytes(head) > limits.header_bytes:
            self._reject(431, f"the head is over {limits.header_bytes} bytes")
            return
        fault = request_framing.length_fault(head)
        if fault:
            self._reject(400, fault)
            return
        if request_framing.declared_length(head) > limits.body_bytes:
            self._reject_body()
            return
        self._head = head
        if not self._first_byte_at:
            self._first_byte_at = self._loop.now()
        body_timeout_s = limits.body_timeout_s
        if body_timeout_s is None:
            body_timeout_s = limits.idle_timeout_s
        self._set_timer(body_timeout_s)
        length = request_framing.declared_length(head)
        if length or request_framing.is_chunked(head):
            self._open_body_holder(length)
        if self._place_body(length):
            self._invite_body()

    def _open_body_holder(self, length: int) -> None:
        self._body_holder = self._server.body_room.open(
            self.peer,
            self._loop.now(),
            # The room calls back while it is being used.
            lambda: self._loop.call_soon(self._read_on),
            lambda: self._loop.call_soon(self._give_up_body),
        )
        self._body_holder.expected_size = length

    def _invite_body(self) -> None:
        """Lets a caller send its body that waits for that."""
        if self._codec.they_are_waiting_for_100_continue:
            self._out.append(
                self._codec.send(
                    h11.InformationalResponse(status_code=100, headers=[])
                )
            )
            self._flush()

    def _add_body(self, data: bytes) -> None:
        """Adds a part of the body."""
        self._body += data
        self._body_bytes = len(self._body)
        if self._body_bytes > self._limits.body_bytes:
            self._reject_body()
            return
        if self._body_holder.expected_size:
            self._body_holder.record_progress(len(data), self._loop.now())
        else:
            self._place_body(len(data))

    def _place_body(self, size: int) -> bool:
        """Gets room for bytes of the body; without it the rest isn't read."""
        if self._body_holder is None:
            return True
        self._unplaced_bytes += size
        room = self._server.body_room
        grant = room.take(
            self._body_holder, self._unplaced_bytes, self._loop.now()
        )
        if grant is byte_room.Grant.WAIT:
            if self._room_timer is None:
                self._room_timer = self._loop.call_later(
                    ROOM_WAIT_S, self._refuse_for_room
                )
                self._server.check_room()
            return False
        self._stop_waiting_for_room()
        if self._body_holder.is_evicted:
            self._give_up_body()
            return False
        if grant is byte_room.Grant.REFUSED:
            self._reject(413, "the body is larger than this host can keep")
            return False
        self._unplaced_bytes = 0
        return True

    def _stop_waiting_for_room(self) -> None:
        if self._room_timer is not None:
            self._room_timer.cancel()
            self._room_timer = None

    def _read_on(self) -> None:
        """Reads on if there is room for the body now."""
        if self._closed or self._closing or self._room_timer is None:
            return
        if self._place_body(0):
            if not self._body:
                self._invite_body()
            self._parse()

    def _refuse_for_room(self) -> None:
        self._room_timer = None
        self._reject(
            503,
            "this host has no room for the body",
            [("Retry-After", str(ROOM_RETRY_S))],
        )

    def _give_up_body(self) -> None:
        if not (self._closed or self._closing or self._responder):
            self._reject(408, "the body had to give way to others")

    def _close_body_holder(self) -> None:
        holder, self._body_holder = self._body_holder, None
        self._stop_waiting_for_room()
        self._unplaced_bytes = 0
        if holder is not None:
            self._server.body_room.close(holder)

    def _take_body(self) -> bytes:
        """Returns the body, which isn't kept here any longer."""
        body, self._body = bytes(self._body), bytearray()
        return body

    def _reject_body(self) -> None:
        self._reject(413, f"the body is over {self._limits.body_bytes} bytes")

    def _serve(self) -> None:
        self._timer.cancel()
        self._has_served = True
        if self._body_holder is not None:
            self._body_holder.on_evicted = None
        head = self._head
        self._responder = Responder(self)
        req = Request(
            head.method.decode("ascii"),
            head.target.decode("latin-1"),
            [
                (name.decode("latin-1"), value.decode("latin-1"))
                for name, value in head.headers
            ],
            self._take_body(),
            self._first_byte_at,
            self.peer,
        )
        responder = self._responder
        try:
            on_disconnect = self._server.handler.begin(req, responder)
        except Exception as exc:  # noqa: BLE001
            state_log.log_exception("request not begun", exc)
            if not responder.ended:
                responder.fail()
            return
        if not responder.ended:
            self._on_disconnect = on_disconnect

    def _reject(
        self, status: int, detail: str, extra_headers: Headers = ()
    ) -> None:
        """Answers a request that can't be read with an error, and closes."""
        state_log.log_decision(
            "request not read",
            is_problem=True,
            status=status,
            detail=detail,
            peer=self.peer,
            read_bytes=self._body_bytes,
        )
        if self._codec.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            rejection = self._server.build_rejection(status, detail)
            headers = [
                *rejection.headers,
                ("Content-Length", str(len(rejection.body))),
                ("Connection", "close"),
                *extra_headers,
            ]
            self._out.append(self._codec.send(_response_head(status, headers)))
            if rejection.body:
                self._out.append(
                    self._codec.send(h11.Data(data=rejection.body))
                )
            self._out.append(self._codec.send(h11.EndOfMessage()))
        self._closing = True
        self._body.clear()
        self._close_body_holder()
        self._set_timer(UNREAD_TIMEOUT_S)
        self._flush()

    def _flush(self) -> None:
        unsent_before = len(self._out)
        taken = 0
        while self._out:
            try:
                taken += self._out.write_to(self._sock)
            except BlockingIOError:
                break
            except OSError:
                self.close(CloseReason.CALLER_RESET)
                return
            self.taken_at = self._loop.now()
        if self._closed:
            return
        self._server.unsent.update(self, len(self._out), taken)
        if self._closing and not self._out:
            self._finish_close()
            return
        self._watch()
        if self._out and self._write_timer is None:
            self._write_timer = self._loop.call_later(
                _WRITE_INTERVAL_S, self._write_later
            )
        if len(self._out) < unsent_before and self._is_answered():
            self._set_answered_timer()
        if self._out:
            return
        callback, self.on_flushed = self.on_flushed, None
        if callback is not None:
            callback()

    def _write_later(self) -> None:
        self._write_timer = None
        self.write_more()

    def write_more(self) -> None:
        """Writes what the socket takes now."""
        if self._out:
            self._flush()

    def growth(self) -> Future | None:
        """Returns when more of the answer may be sent; None for at once."""
        return self._server.unsent.growth(self)

    def give_way(self) -> None:
        """Breaks off an answer whose caller is too slow."""
        self.close(CloseReason.ANSWER_GAVE_WAY)

    def _finish_close(self) -> None:
        # Closing a socket with unread bytes sends a reset, which could drop the
        # answer on its way; so only the write side is closed at first.
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.close(CloseReason.CALLER_RESET)
            return
        # Closes then even if the caller keeps its side open.
        self._linger_until = self._loop.now() + _MAX_LINGER_S - _LINGER_S
        self._set_timer(_LINGER_S)
        self._loop.watch(self._sock, selectors.EVENT_READ, self._on_ready)

    def _is_answered(self) -> bool:
        """Returns whether there is no request, or only the end of its answer.

        The next request hasn't begun.
        """
        return self._responder is None and (
            self._closing or not self._first_byte_at
        )

    def _set_answered_timer(self) -> None:
        self.idle_since = self._loop.now()
        self._set_timer(
            UNREAD_TIMEOUT_S if self._out else self._limits.idle_timeout_s
        )

    def _set_timer(self, delay_s: float) -> None:
        self._timer.cancel()
        self._timer = self._loop.call_later(delay_s, self._time_out)

    def _time_out(self) -> None:
        if self.is_idle() and not self._closing:
            # A request may wait in the kernel; closing would reset it.
            timer = self._timer
            self._receive()
            if self._closed or self._timer is not timer:
                return
            # A configuration may have raised the limit meanwhile.
            self._limits = self._server.handler.limits()
            idle_s = self._loop.now() - self.idle_since
            if idle_s < self._limits.idle_timeout_s:
                self._set_timer(self._limits.idle_timeout_s - idle_s)
                return
        if self._first_byte_at and not self._closing:
            self._time_out_reading()
            return
        if self._out:
            state_log.log_decision(
                "answer not read", is_problem=True, unsent_bytes=len(self._out)
            )
            self.close(CloseReason.ANSWER_UNREAD)
            return
        self.close(CloseReason.ANSWERED if self._closing else CloseReason.IDLE)

    def _time_out_reading(self) -> None:
        """Rejects a request whose rest doesn't wait in the kernel either."""
        timer = self._timer
        has_received = self._receive()
        if self._closed or self._responder or self._timer is not timer:
            return
        if has_received and not self._is_late:
            self._is_late = True
            self._set_timer(LATE_READ_S)
            return
        self._reject(408, "the request wasn't sent in time")


def _ignore(event: str) -> None:
    pass


def _create_codec(header_bytes: int) -> h11.Connection:
    return h11.Connection(h11.SERVER, max_incomplete_event_size=header_bytes)


def _response_head(status: int, headers: Headers) -> h11.Response:
    return h11.Response(
        status_code=status,
        # Strings with the bytes that a request or a reply had.
        headers=[
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in headers
        ],
        reason=_REASON_PHRASES.get(status, b""),
    )


def _head_bytes(head: h11.Request) -> int:
    """Returns the size of a request's head.

    The codec bounds only incomplete events.
    """
    fields = sum(len(name) + len(value) + 4 for name, value in head.headers)
    return len(head.method) + len(head.target) + len("  HTTP/1.1\r\n") + fields
