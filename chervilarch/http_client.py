"""HTTP client on the event loop, driven by libcurl's multi interface.

An exchange with `fresh` set uses a new connection. All but plain reads should
set it: libcurl retries a request by itself when a reused connection turns out
dead, and stray bytes that a server sends after an answer would be read as the
next one.
"""

import collections
import selectors
from collections.abc import Callable

import pycurl

from chervilarch import (
    byte_room,
    deferred_replies,
    exchanges,
    guards,
    read_quota,
    reply_head,
    tasks,
)
from chervilarch import loop as loops
from chervilarch.futures import Future

CONNECT_TIMEOUT_S = 0.5
MAX_REPLY_BYTES = 16 * 1024 * 1024
# Bounds on the bodies that are kept, for a process without other ones.
DEFAULT_BOUNDS = byte_room.Bounds(
    shared=48 * 1024 * 1024,
    largest=MAX_REPLY_BYTES,
    small=16 * 1024 * 1024,
)
# libcurl sends a request with a longer body in several parts, and gives up
# without a look at an early answer if the endpoint refuses one of them. So it
# has to read between them. Its buffer of 64 KiB holds the head, too.
MAX_DEFERRED_BODY_BYTES = 40 * 1024
# While transfers wait for room, this often it is looked whether they wait for a
# silent one.
_ROOM_CHECK_INTERVAL_S = 0.25
_MAX_IDLE_CONNECTIONS = 32
# Below the shortest idle time-out of the servers whose connections are reused.
_CONNECTION_MAX_IDLE_S = 3
_MS_PER_S = 1000
_MAX_SPARE_HANDLES = 64
# Postponed replies that go on in one turn of the loop.
_MAX_RESUMED = read_quota.TURN_BYTES // read_quota.READER_BYTES


class Transfer:
    """One running exchange."""

    def __init__(
        self,
        client: "Client",
        exchange: exchanges.Exchange,
        on_done: Callable[[exchanges.TransferResult], None],
    ):
        self._client = client
        # These are None once it has ended.
        self.exchange: exchanges.Exchange | None = exchange
        self.on_done: Callable[[exchanges.TransferResult], None] | None = (
            on_done
        )
        self.on_data: Callable[[bytes], None] | None = None
        self.curl: pycurl.Curl | None = None
        self.head = reply_head.ReplyHead()
        # Why this side broke the transfer off, or "".
        self.fault = ""
        # Whether it did so as no end of the reply was in sight.
        self.is_endless = False
        # Whether the reply is left unread for lack of room.
        self.waits_for_room = False
        # Whether the receiver of `on_data` asked to stop reading.
        self.is_paused = False
        self.reader = read_quota.Reader()
        self._body = bytearray()
        self._holder: byte_room.Holder | None = None
        self.is_body_kept = False

    def cancel(self) -> None:
        """Closes the connection; `on_done` isn't called."""
        self._client.release(self)

    def pause(self) -> None:
        """Stops reading the reply until `resume`."""
        self.is_paused = True
        self._set_pause(pycurl.PAUSE_RECV)

    def resume(self) -> None:
        """Resumes reading the reply."""
        self.is_paused = False
        self._set_pause(pycurl.PAUSE_CONT)

    def _set_pause(self, state: int) -> None:
        if self.curl is None or self._client.deferred.is_deferred(self.curl):
            return
        try:
            self.curl.pause(state)
        except pycurl.error as exc:
            if exc.args[0] == pycurl.E_WRITE_ERROR and self.fault:
                self._client.end_broken_off_soon(self)
            # The end of the reply has arrived, but `on_done` wasn't called yet.
            elif exc.args[0] != pycurl.E_BAD_FUNCTION_ARGUMENT:
                raise

    def defer_reading(self, *addresses) -> int:
        """Defers the reading of the reply; called by libcurl."""
        return self._client.deferred.defer(self.curl, self.head)

    def reply(self, elapsed_s: float) -> exchanges.Reply:
        """Returns the reply as far as it was received, without its body."""
        return exchanges.Reply(
            self.head.status, dict(self.head.headers), b"", elapsed_s
        )

    def kept_bytes(self) -> int:
        """Returns the size of the body so far."""
        return len(self._body)

    def hold(self, size: int) -> bool:
        """Counts what the receiver of `on_data` keeps of the body now.

        Small parts need no room. A holder that has to give way ends the
        transfer.

        Args:
            size: in bytes.

        Returns:
            Whether there is room for it.
        """
        if size <= byte_room.SMALL_BYTES:
            if self._holder is not None:
                self.close_holder()
            return True
        if self._holder is None:
            self._holder = self._client.open_holder(self)
            self._holder.expected_size = 0
        missing = size - self._holder.size
        if missing < 0:
            self._client.room.set_size(self._holder, size)
            return True
        grant = self._client.take_room(self._holder, missing)
        return grant is byte_room.Grant.TAKEN

    def keep_body(self) -> None:
        """Counts the body as kept after `on_done` too, until `drop_body`."""
        self.is_body_kept = True

    def drop_body(self) -> None:
        """Returns the room of the body, which nobody needs any longer."""
        self.is_body_kept = False
        if self.curl is None:
            self.close_holder()

    def close_holder(self) -> None:
        """Returns the room of the body unless `keep_body` was called."""
        if self._holder is not None and not self.is_body_kept:
            self._client.room.close(self._holder)
            self._holder = None

    def take_body(self) -> bytes:
        """Returns the body, which isn't kept here any longer."""
        body, self._body = bytes(self._body), bytearray()
        if self._holder is not None:
            self._holder.on_evicted = None
        return body

    def on_body_chunk(self, chunk: bytes) -> int:
        """Stores a chunk of the body; called by libcurl."""
        if not self._client.may_read(self, len(chunk)):
            return pycurl.WRITEFUNC_PAUSE
        if self.on_data is not None and self.head.status == 200:
            self._client.queue_chunk(self, chunk)
            return len(chunk)
        if self._holder is None:
            self._holder = self._client.open_holder(self)
        grant = self._client.take_room(self._holder, len(chunk))
        self.waits_for_room = grant is byte_room.Grant.WAIT
        if self.waits_for_room:
            return pycurl.WRITEFUNC_PAUSE
        if grant is byte_room.Grant.REFUSED:
            if not self.fault:
                self.is_endless = not self._holder.expected_size
                largest = self._client.room.bounds.largest
                self.fault = f"the reply is over {largest} bytes"
            return 0
        self._body += chunk
        return len(chunk)

    def drop_references(self) -> None:
        """Drops what only a running transfer needs, also its callbacks."""
        self.exchange = self.on_done = self.on_data = None
        self._body = bytearray()

    def record_arrival(self, now: float) -> None:
        """Records that bytes have arrived which aren't read yet."""
        if self._holder is not None:
            self._holder.progressed_at = now

    def give_up(self) -> None:
        """Drops the body for lack of room."""
        self.fault = f"the reply had to give way, at {len(self._body)} bytes"
        self._body = bytearray()


class Client:
    """Drives a `pycurl.CurlMulti` from the event loop.

    Attributes:
        room: bounds the bodies that are kept.
        deferred: the replies that libcurl doesn't read yet.
    """

    def __init__(
        self, loop: loops.Loop, bounds: byte_room.Bounds = DEFAULT_BOUNDS
    ):
        self._loop = loop
        self.room = byte_room.Room(bounds)
        self.deferred = deferred_replies.DeferredReplies()
        loop.watch(
            self.deferred.fileno(),
            selectors.EVENT_READ,
            lambda mask: self._read_checked(),
        )
        self._room_timer: loops.Timer | None = None
        self._timer: loops.Timer | None = None
        self._multi = pycurl.CurlMulti()
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._watch)
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._set_timer)
        self._multi.setopt(pycurl.M_MAXCONNECTS, _MAX_IDLE_CONNECTIONS)
        self._running: dict[pycurl.Curl, Transfer] = {}
        self._spare_handles: list[pycurl.Curl] = []
        self._queued_chunks: dict[Transfer, list[bytes]] = {}
        self._quota = read_quota.ReadQuota()
        # Had their part of a turn, in the order in which they go on.
        self._postponed: collections.deque[Transfer] = collections.deque()
        self._postponed_in_turn = 0
        self._is_reading_due = False

    def start(
        self,
        exchange: exchanges.Exchange,
        on_done: Callable[[exchanges.TransferResult], None],
        on_data: Callable[[bytes], None] | None = None,
    ) -> Transfer:
        """Sends a request.

        Args:
            exchange: the request.
            on_done: called once with the complete reply or the failure.
            on_data: receives the body of a reply with status 200 in chunks;
                without it the body is kept for `on_done`.
        """
        transfer = Transfer(self, exchange, on_done)
        transfer.on_data = on_data
        curl = (
            self._spare_handles.pop() if self._spare_handles else pycurl.Curl()
        )
        transfer.curl = curl
        _configure(curl, transfer)
        self._running[curl] = transfer
        self._multi.add_handle(curl)
        return transfer

    def call(
        self, exchange: exchanges.Exchange
    ) -> "Future[exchanges.TransferResult]":
        """Sends a request; the future always resolves, never raises."""
        fut: Future[exchanges.TransferResult] = Future()
        self.start(exchange, lambda result: tasks.resolve(fut, result))
        return fut

    def queue_chunk(self, transfer: Transfer, chunk: bytes) -> None:
        """Queues a chunk for `on_data` until libcurl may be called again."""
        self._queued_chunks.setdefault(transfer, []).append(chunk)

    def may_read(self, transfer: Transfer, size: int) -> bool:
        """Returns whether a chunk is read now, and else postpones it."""
        if self._quota.take(transfer.reader, size, self._loop.turns):
            return True
        transfer.record_arrival(self._loop.now())
        self._postponed.append(transfer)
        self._read_postponed_later()
        return False

    def _read_postponed_later(self) -> None:
        if not self._is_reading_due:
            self._is_reading_due = True
            self._postponed_in_turn = self._loop.turns
            self._loop.call_soon(self._read_postponed)

    def _read_postponed(self) -> None:
        """Reads on replies that had their part of an earlier turn."""
        self._is_reading_due = False
        if self._loop.turns == self._postponed_in_turn:
            self._read_postponed_later()
            return
        if not self._running:
            self._postponed.clear()
            return
        for _ in range(min(len(self._postponed), _MAX_RESUMED)):
            transfer = self._postponed.popleft()
            if not transfer.is_paused:
                transfer.resume()
        if self._postponed:
            self._read_postponed_later()
        self._multi.socket_action(pycurl.SOCKET_TIMEOUT, 0)
        self._deliver()

    def _read_checked(self) -> None:
        """Reads replies whose heads have arrived and were checked."""
        self._resume_checked()
        self._multi.socket_action(pycurl.SOCKET_TIMEOUT, 0)
        self._deliver()

    def _resume_checked(self) -> None:
        for curl in self.deferred.check():
            transfer = self._running[curl]
            if not transfer.is_paused:
                transfer.resume()

    def open_holder(self, transfer: Transfer) -> byte_room.Holder:
        """Returns a holder of room for the body of a transfer."""
        peer = transfer.exchange.url.split("/")[2]
        holder = self.room.open(
            peer,
            self._loop.now(),
            # libcurl mustn't be called from its own callbacks.
            lambda: self._loop.call_soon(lambda: self._resume(transfer)),
            lambda: self._give_up(transfer),
        )
        holder.expected_size = transfer.head.content_length() or 0
        return holder

    def take_room(self, holder: byte_room.Holder, size: int) -> byte_room.Grant:
        """Asks for more room for a body."""
        grant = self.room.take(holder, size, self._loop.now())
        if grant is byte_room.Grant.WAIT and self._room_timer is None:
            self._check_room_later()
        return grant

    def _check_room_later(self) -> None:
        self._room_timer = self._loop.call_later(
            _ROOM_CHECK_INTERVAL_S, self._check_room
        )

    def _check_room(self) -> None:
        self._room_timer = None
        if self.room.is_awaited():
            self._check_room_later()
            self.room.check(self._loop.now())

    def _resume(self, transfer: Transfer) -> None:
        """Reads on a reply that may have room now."""
        if transfer.curl is not None and transfer.waits_for_room:
            transfer.resume()
            self._deliver()

    def _give_up(self, transfer: Transfer) -> None:
        transfer.give_up()
        self.end_broken_off_soon(transfer)

    def end_broken_off_soon(self, transfer: Transfer) -> None:
        """Ends a transfer that this side broke off."""
        self._loop.call_soon(lambda: self._end_broken_off(transfer))

    def _end_broken_off(self, transfer: Transfer) -> None:
        if transfer.curl is None:
            return
        failure = exchanges.TransferFailure(
            exchanges.FailureKind.TOO_LARGE,
            transfer.fault,
            reply_head.was_sent(transfer.curl),
        )
        self._end(transfer, _with_kind(transfer, failure))

    def release(self, transfer: Transfer) -> None:
        """Removes a transfer; closes the connection of an unfinished one."""
        curl, transfer.curl = transfer.curl, None
        if curl is None:
            return
        del self._running[curl]
        self.deferred.drop(curl)
        transfer.close_holder()
        transfer.drop_references()
        self._multi.remove_handle(curl)
        if len(self._spare_handles) < _MAX_SPARE_HANDLES:
            curl.reset()
            self._spare_handles.append(curl)
        else:
            curl.close()

    def close(self) -> None:
        """Cancels all transfers and closes the client."""
        for transfer in list(self._running.values()):
            self.release(transfer)
        self._multi.close()
        self._loop.unwatch(self.deferred.fileno())
        self.deferred.close()

    def _watch(self, action: int, fd: int, multi, data) -> None:
        if action == pycurl.POLL_REMOVE:
            self._loop.unwatch(fd)
            return
        events = 0
        if action in (pycurl.POLL_IN, pycurl.POLL_INOUT):
            events |= selectors.EVENT_READ
        if action in (pycurl.POLL_OUT, pycurl.POLL_INOUT):
            events |= selectors.EVENT_WRITE
        if events:
            self._loop.watch(
                fd, events, lambda mask: self._on_socket_ready(fd, mask)
            )
        else:
            self._loop.unwatch(fd)

    def _set_timer(self, timeout_ms: int) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if timeout_ms >= 0:
            self._timer = self._loop.call_later(
                timeout_ms / _MS_PER_S, self._time_out
            )

    def _time_out(self) -> None:
        self._timer = None
        self._multi.socket_action(pycurl.SOCKET_TIMEOUT, 0)
        self._deliver()

    def _on_socket_ready(self, fd: int, mask: int) -> None:
        if self.deferred.is_watched(fd):
            # Before libcurl sends more, which may fail after an early answer.
            self._resume_checked()
        bits = 0
        if mask & selectors.EVENT_READ:
            bits |= pycurl.CSELECT_IN
        if mask & selectors.EVENT_WRITE:
            bits |= pycurl.CSELECT_OUT
        self._multi.socket_action(fd, bits)
        self._deliver()

    def _deliver(self) -> None:
        """Runs the callbacks for what the last call of libcurl received."""
        self.deferred.watch_new()
        queued_chunks, self._queued_chunks = self._queued_chunks, {}
        for transfer, chunks in queued_chunks.items():
            if transfer.curl is not None:
                guards.call(transfer.on_data, b"".join(chunks))
        ended = []
        queued = 1
        while queued:
            queued, done, failed = self._multi.info_read()
            ended += [(self._running.get(curl), None, "") for curl in done]
            ended += [
                (self._running.get(curl), code, text)
                for curl, code, text in failed
            ]
        for transfer, code, text in ended:
            # An earlier callback may have cancelled this one.
            if transfer is None or transfer.curl is None:
                continue
            if transfer.fault:
                # Its end may have come too, but its body is gone.
                self._end_broken_off(transfer)
                continue
            result = reply_head.result(
                transfer.curl, code, text, transfer.head, transfer.take_body()
            )
            self._end(transfer, _with_kind(transfer, result))

    def _end(
        self, transfer: Transfer, result: exchanges.TransferResult
    ) -> None:
        """Passes a result on, and keeps room for its body meanwhile."""
        is_kept = transfer.is_body_kept
        on_done = transfer.on_done
        transfer.keep_body()
        self.release(transfer)
        guards.call(on_done, result)
        if not is_kept or not isinstance(result, exchanges.Reply):
            transfer.drop_body()


def _with_kind(
    transfer: Transfer, result: exchanges.TransferResult
) -> exchanges.TransferResult:
    """Returns the result with the kind of failure that this side knows."""
    if not isinstance(result, exchanges.TransferFailure):
        return result
    if transfer.is_endless:
        return result._replace(kind=exchanges.FailureKind.ENDLESS)
    is_late = result.kind is exchanges.FailureKind.TIMED_OUT
    if is_late and transfer.waits_for_room:
        return result._replace(kind=exchanges.FailureKind.NO_ROOM)
    return result


def _configure(curl: pycurl.Curl, transfer: Transfer) -> None:
    exchange = transfer.exchange
    curl.setopt(pycurl.URL, exchange.url)
    if exchange.target:
        curl.setopt(pycurl.REQUEST_TARGET, exchange.target)
    curl.setopt(pycurl.NOSIGNAL, 1)
    curl.setopt(pycurl.PROXY, "")
    curl.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
    lines = [*exchange.headers, "Expect:", "Accept:"]
    curl.setopt(pycurl.HTTPHEADER, [line.encode("latin-1") for line in lines])
    if exchange.body or exchange.method in ("POST", "PUT", "PATCH"):
        curl.setopt(pycurl.POST, 1)
        curl.setopt(pycurl.POSTFIELDS, exchange.body)
    elif exchange.method == "HEAD":
        curl.setopt(pycurl.NOBODY, 1)
    curl.setopt(pycurl.CUSTOMREQUEST, exchange.method)
    timeout_ms = max(1, int(exchange.timeout_s * _MS_PER_S))
    curl.setopt(pycurl.TIMEOUT_MS, timeout_ms)
    curl.setopt(pycurl.CONNECTTIMEOUT_MS, int(CONNECT_TIMEOUT_S * _MS_PER_S))
    curl.setopt(pycurl.MAXAGE_CONN, _CONNECTION_MAX_IDLE_S)
    curl.setopt(pycurl.FRESH_CONNECT, int(exchange.fresh))
    curl.setopt(pycurl.FORBID_REUSE, int(exchange.fresh))
    if len(exchange.body) <= MAX_DEFERRED_BODY_BYTES:
        curl.setopt(pycurl.PREREQFUNCTION, transfer.defer_reading)
    curl.setopt(pycurl.HEADERFUNCTION, transfer.head.on_libcurl_line)
    curl.setopt(pycurl.WRITEFUNCTION, transfer.on_body_chunk)
