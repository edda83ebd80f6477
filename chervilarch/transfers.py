"""A thread that drives many outgoing HTTP transfers at once with libcurl.

Other threads get a `concurrent.futures.Future` for a complete reply, or a
`ByteStream` for a streamed one, so that no thread is blocked by a transfer
unless it waits for the result.
"""

import collections
import selectors
import socket
import threading
import time
from collections.abc import Callable
from concurrent.futures import Future

import pycurl

from chervilarch import byte_room, exchanges, reply_head

CONNECT_TIMEOUT_S = 1.0
MAX_REPLY_BYTES = 8 * 1024 * 1024
# Bounds on the bodies that one thread's transfers keep.
DEFAULT_BOUNDS = byte_room.Bounds(
    shared=48 * 1024 * 1024,
    largest=MAX_REPLY_BYTES,
    small=16 * 1024 * 1024,
)
MAX_IDLE_CONNECTIONS = 512
CONNECTION_MAX_IDLE_S = 20
CONNECTION_MAX_AGE_S = 300
_IDLE_WAIT_S = 5.0
# While transfers wait for room, this often it is looked whether they wait for a
# silent one.
_ROOM_CHECK_INTERVAL_S = 0.25
_MS_PER_S = 1000


class _Transfer:
    """State of one transfer; used by the transfer thread only."""

    def __init__(
        self,
        thread: "TransferThread",
        exchange: exchanges.Exchange,
        on_done: Callable[[exchanges.TransferResult], None],
    ):
        self._thread = thread
        self.exchange = exchange
        self.on_done = on_done
        self.stream: exchanges.ByteStream | None = None
        self.curl: pycurl.Curl | None = None
        self.head = reply_head.ReplyHead()
        self.done = False
        # Why this side broke the transfer off, or "".
        self.fault = ""
        # Whether the reply is left unread for lack of room.
        self.waits_for_room = False
        self._body = bytearray()
        self._holder: byte_room.Holder | None = None

    def on_header_line(self, line: bytes) -> int | None:
        result = self.head.on_line(line)
        if self.stream is not None:
            self.stream.status = self.head.status
        return result

    def on_body_chunk(self, chunk: bytes) -> int:
        if self.stream is not None and self.head.status == 200:
            accepted = self.stream.offer(chunk)
            return len(chunk) if accepted else pycurl.WRITEFUNC_PAUSE
        if self._holder is None:
            self._holder = self._thread.open_holder(self)
        grant = self._thread.take_room(self._holder, len(chunk))
        self.waits_for_room = grant is byte_room.Grant.WAIT
        if self.waits_for_room:
            return pycurl.WRITEFUNC_PAUSE
        if grant is byte_room.Grant.REFUSED:
            self.fault = self.fault or (
                f"the reply is over {self._thread.room.bounds.largest} bytes"
            )
            return 0
        self._body += chunk
        return len(chunk)

    def give_up(self) -> None:
        """Drops the body for lack of room."""
        self.fault = f"the reply had to give way, at {len(self._body)} bytes"
        self._body = bytearray()

    def take_body(self) -> bytes:
        """Returns the body, which isn't kept here any longer."""
        body, self._body = bytes(self._body), bytearray()
        if self._holder is not None:
            self._holder.on_evicted = None
        return body

    def finish(self, result: exchanges.TransferResult) -> None:
        """Passes the result on; the room is kept until `close_holder`."""
        self.curl = None
        self.done = True
        on_done, self.on_done, self.stream = self.on_done, _ignore, None
        if not isinstance(result, exchanges.Reply):
            self.close_holder()
        on_done(result)

    def close_holder(self) -> None:
        """Returns the room of the body, which nobody needs any longer."""
        if self._holder is not None:
            self._thread.room.close(self._holder)
            self._holder = None


def _ignore(result: exchanges.TransferResult) -> None:
    """Receives the result of a transfer that has ended."""


class TransferThread:
    """Drives a `pycurl.CurlMulti` from one thread.

    Attributes:
        room: bounds the bodies that are kept; used by the thread only.
    """

    def __init__(
        self,
        name: str = "transfers",
        round_pause_s: float = 0.0,
        bounds: byte_room.Bounds = DEFAULT_BOUNDS,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        """Creates the thread.

        Args:
            name: the thread's name.
            round_pause_s: pause after each round with events; data that arrives
                during it is handed over together.
            bounds: sizes of the room for bodies.
            now: returns the monotonic time in seconds.
        """
        self.room = byte_room.Room(bounds)
        self._now = now
        self._round_pause_s = round_pause_s
        self._commands: collections.deque[Callable[[], None]] = (
            collections.deque()
        )
        self._wake_recv, self._wake_send = socket.socketpair()
        self._wake_recv.setblocking(False)
        self._wake_send.setblocking(False)
        self._wake_pending = False
        self._lock = threading.Lock()
        self._is_closed = False
        self._stopping = False
        self._timeout_s: float | None = None
        self._selector = selectors.DefaultSelector()
        self._selector.register(self._wake_recv, selectors.EVENT_READ)
        self._multi = pycurl.CurlMulti()
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._update_selector)
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._set_timer)
        self._multi.setopt(pycurl.M_MAXCONNECTS, MAX_IDLE_CONNECTIONS)
        self._running: dict[pycurl.Curl, _Transfer] = {}
        self._idle_handles: list[pycurl.Curl] = []
        self._thread = threading.Thread(
            target=self._run, name=name, daemon=True
        )

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Cancels all transfers, stops the thread and waits for its end."""
        self._enqueue(self._set_stopping)
        self._thread.join()

    def send_and_wait(
        self, exchange: exchanges.Exchange
    ) -> exchanges.TransferResult:
        """Sends a request and waits for its result."""
        handle = self.submit_cancellable(exchange)
        try:
            return handle.future.result()
        finally:
            handle.cancel()

    def submit_cancellable(
        self, exchange: exchanges.Exchange
    ) -> "TransferHandle":
        """Sends a request; its future gets a result, never an exception.

        The reply's body counts as kept until the returned handle is cancelled.
        """
        fut: Future[exchanges.TransferResult] = Future()
        transfer = _Transfer(self, exchange, fut.set_result)
        self._enqueue(lambda: self._start_transfer(transfer))
        return TransferHandle(
            fut, lambda: self._enqueue(lambda: self._abort(transfer))
        )

    def open_stream(self, exchange: exchanges.Exchange) -> exchanges.ByteStream:
        """Sends a request whose reply body is handed over as it arrives."""
        transfer = _Transfer(self, exchange, _ignore)
        stream = exchanges.ByteStream(
            resume=lambda: self._enqueue(lambda: self._unpause(transfer)),
            cancel=lambda: self._enqueue(lambda: self._abort(transfer)),
        )
        transfer.stream = stream
        transfer.on_done = stream.finish
        self._enqueue(lambda: self._start_transfer(transfer))
        return stream

    def open_holder(self, transfer: _Transfer) -> byte_room.Holder:
        """Returns a holder of room for the body of a transfer."""
        holder = self.room.open(
            transfer.exchange.url.split("/")[2],
            self._now(),
            # libcurl mustn't be called from its own callbacks.
            lambda: self._enqueue(lambda: self._resume(transfer)),
            lambda: self._give_up(transfer),
        )
        holder.expected_size = transfer.head.content_length() or 0
        return holder

    def take_room(self, holder: byte_room.Holder, size: int) -> byte_room.Grant:
        """Asks for more room for a body."""
        return self.room.take(holder, size, self._now())

    def _enqueue(self, command: Callable[[], None]) -> None:
        with self._lock:
            if not self._is_closed:
                self._commands.append(command)
                if not self._wake_pending:
                    self._wake_pending = True
                    self._wake_send.send(b"\0")
                return
        # The thread has ended: there is nothing to start or to race with.
        command()

    def _run(self) -> None:
        while not self._stopping:
            wait_s = self._timeout_s
            if wait_s is None:
                wait_s = _IDLE_WAIT_S
            if self.room.is_awaited():
                wait_s = min(wait_s, _ROOM_CHECK_INTERVAL_S)
            ready = self._selector.select(wait_s)
            self._run_commands()
            if self._timeout_s is not None and not ready:
                self._timeout_s = None
                self._multi.socket_action(pycurl.SOCKET_TIMEOUT, 0)
            for key, mask in ready:
                if key.fileobj is not self._wake_recv:
                    self._process_socket(key.fd, mask)
            if self._timeout_s == 0:
                self._timeout_s = None
                self._multi.socket_action(pycurl.SOCKET_TIMEOUT, 0)
            self._process_completed()
            self.room.check(self._now())
            if self._round_pause_s and ready:
                time.sleep(self._round_pause_s)
        self._close()

    def _process_socket(self, fd: int, mask: int) -> None:
        bits = 0
        if mask & selectors.EVENT_READ:
            bits |= pycurl.CSELECT_IN
        if mask & selectors.EVENT_WRITE:
            bits |= pycurl.CSELECT_OUT
        self._multi.socket_action(fd, bits)

    def _run_commands(self) -> None:
        try:
            self._wake_recv.recv(4096)
        except BlockingIOError:
            pass
        self._wake_pending = False
        while self._commands:
            self._commands.popleft()()

    def _update_selector(self, action: int, fd: int, multi, data) -> None:
        if action == pycurl.POLL_REMOVE:
            try:
                self._selector.unregister(fd)
            except (KeyError, ValueError):
                pass
            return
        events = 0
        if action in (pycurl.POLL_IN, pycurl.POLL_INOUT):
            events |= selectors.EVENT_READ
        if action in (pycurl.POLL_OUT, pycurl.POLL_INOUT):
            events |= selectors.EVENT_WRITE
        if not events:
            return
        try:
            self._selector.modify(fd, events)
        except KeyError:
            self._selector.register(fd, events)

    def _set_timer(self, timeout_ms: int) -> None:
        self._timeout_s = None if timeout_ms < 0 else timeout_ms / _MS_PER_S

    def _start_transfer(self, transfer: _Transfer) -> None:
        if self._stopping or transfer.done:
            self._cancel_unstarted(transfer)
            return
        curl = self._idle_handles.pop() if self._idle_handles else pycurl.Curl()
        transfer.curl = curl
        _configure(curl, transfer)
        self._running[curl] = transfer
        self._multi.add_handle(curl)

    def _cancel_unstarted(self, transfer: _Transfer) -> None:
        if not transfer.done:
            transfer.finish(
                exchanges.TransferFailure(
                    exchanges.FailureKind.CANCELLED, "stopped", False
                )
            )

    def _unpause(self, transfer: _Transfer) -> None:
        if transfer.curl is None:
            return
        try:
            transfer.curl.pause(pycurl.PAUSE_CONT)
        except pycurl.error as exc:
            if exc.args[0] == pycurl.E_WRITE_ERROR and transfer.fault:
                self._break_off(transfer)
            # The end of the reply has arrived, but wasn't passed on yet.
            elif exc.args[0] != pycurl.E_BAD_FUNCTION_ARGUMENT:
                raise

    def _resume(self, transfer: _Transfer) -> None:
        """Reads on a reply that may have room now."""
        if transfer.waits_for_room and not self._stopping:
            self._unpause(transfer)

    def _give_up(self, transfer: _Transfer) -> None:
        transfer.give_up()
        self._enqueue(lambda: self._break_off(transfer))

    def _break_off(self, transfer: _Transfer) -> None:
        """Ends a transfer for the fault that this side found."""
        if transfer.curl is None:
            return
        failure = exchanges.TransferFailure(
            exchanges.FailureKind.TOO_LARGE,
            transfer.fault,
            reply_head.was_sent(transfer.curl),
        )
        self._complete(transfer, failure)

    def _abort(self, transfer: _Transfer) -> None:
        if transfer.done:
            transfer.close_holder()
            return
        if transfer.curl is None:
            self._cancel_unstarted(transfer)
            return
        sent = reply_head.was_sent(transfer.curl)
        failure = exchanges.TransferFailure(
            exchanges.FailureKind.CANCELLED, "cancelled", sent
        )
        # Removing an unfinished handle closes its connection.
        self._complete(transfer, failure)

    def _process_completed(self) -> None:
        queued = 1
        while queued:
            queued, done, failed = self._multi.info_read()
            ended = [(curl, None, "") for curl in done] + failed
            for curl, code, text in ended:
                transfer = self._running[curl]
                if transfer.fault:
                    self._break_off(transfer)
                    continue
                result = reply_head.result(
                    curl,
                    code,
                    text,
                    transfer.head,
                    transfer.take_body(),
                )
                self._complete(transfer, result)

    def _complete(
        self, transfer: _Transfer, result: exchanges.TransferResult
    ) -> None:
        curl = transfer.curl
        del self._running[curl]
        self._multi.remove_handle(curl)
        curl.reset()
        self._idle_handles.append(curl)
        transfer.finish(result)

    def _set_stopping(self) -> None:
        self._stopping = True

    def _close(self) -> None:
        with self._lock:
            self._is_closed = True
        self._run_commands()
        for transfer in list(self._running.values()):
            self._abort(transfer)
        for curl in self._idle_handles:
            curl.close()
        self._multi.close()
        self._selector.close()
        self._wake_recv.close()
        self._wake_send.close()


class TransferHandle:
    """A request and the future of its result.

    Attributes:
        future: gets the result.
        cancel: ends the transfer if it runs, and returns the room of its body.
    """

    def __init__(
        self,
        fut: "Future[exchanges.TransferResult]",
        cancel: Callable[[], None],
    ):
        self.future = fut
        self.cancel = cancel


def _configure(curl: pycurl.Curl, transfer: _Transfer) -> None:
    exchange = transfer.exchange
    curl.setopt(pycurl.URL, exchange.url)
    curl.setopt(pycurl.NOSIGNAL, 1)
    curl.setopt(pycurl.PROXY, "")
    curl.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
    curl.setopt(pycurl.HTTPHEADER, [*exchange.headers, "Expect:"])
    if exchange.body or exchange.method == "POST":
        curl.setopt(pycurl.POST, 1)
        curl.setopt(pycurl.POSTFIELDS, exchange.body)
    curl.setopt(pycurl.CUSTOMREQUEST, exchange.method)
    timeout_ms = max(1, int(exchange.timeout_s * _MS_PER_S))
    curl.setopt(pycurl.TIMEOUT_MS, timeout_ms)
    curl.setopt(pycurl.CONNECTTIMEOUT_MS, int(CONNECT_TIMEOUT_S * _MS_PER_S))
    curl.setopt(pycurl.MAXAGE_CONN, CONNECTION_MAX_IDLE_S)
    curl.setopt(pycurl.MAXLIFETIME_CONN, CONNECTION_MAX_AGE_S)
    curl.setopt(pycurl.FRESH_CONNECT, int(exchange.fresh))
    curl.setopt(pycurl.FORBID_REUSE, int(exchange.fresh))
    curl.setopt(pycurl.HEADERFUNCTION, transfer.on_header_line)
    curl.setopt(pycurl.WRITEFUNCTION, transfer.on_body_chunk)
