"""HTTP client on the event loop, driven by libcurl's multi interface.

An exchange with `fresh` set uses a new connection. All but plain reads should
set it: libcurl retries a request by itself when a reused connection turns out
dead, and stray bytes that a server sends after an answer would be read as the
next one.
"""

import selectors
from collections.abc import Callable
from concurrent.futures import Future

import pycurl

from chervilarch import exchanges, guards, reply_head, tasks
from chervilarch import loop as loops

CONNECT_TIMEOUT_S = 0.5
MAX_REPLY_BYTES = 16 * 1024 * 1024
# Bound on the bodies of all running transfers together.
MAX_KEPT_BYTES = 64 * 1024 * 1024
_MAX_IDLE_CONNECTIONS = 32
# Below the shortest idle time-out of the servers whose connections are reused.
_CONNECTION_MAX_IDLE_S = 3
_MS_PER_S = 1000
_MAX_SPARE_HANDLES = 64


class Transfer:
    """One running exchange."""

    def __init__(
        self,
        client: "Client",
        exchange: exchanges.Exchange,
        on_done: Callable[[exchanges.TransferResult], None],
    ):
        self._client = client
        self.exchange = exchange
        self.on_done = on_done
        self.on_data: Callable[[bytes], None] | None = None
        self.curl: pycurl.Curl | None = None
        self.head = reply_head.ReplyHead()
        # Why this side broke the transfer off, or "".
        self.fault = ""
        self._body = bytearray()

    def cancel(self) -> None:
        """Closes the connection; `on_done` isn't called."""
        self._client.release(self)

    def pause(self) -> None:
        """Stops reading the reply until `resume`."""
        self._set_pause(pycurl.PAUSE_RECV)

    def resume(self) -> None:
        """Resumes reading the reply."""
        self._set_pause(pycurl.PAUSE_CONT)

    def _set_pause(self, state: int) -> None:
        if self.curl is None:
            return
        try:
            self.curl.pause(state)
        except pycurl.error as exc:
            # The end of the reply has arrived, but `on_done` wasn't called yet.
            if exc.args[0] != pycurl.E_BAD_FUNCTION_ARGUMENT:
                raise

    def reply(self, elapsed_s: float) -> exchanges.Reply:
        """Returns the reply as far as it has been received."""
        return exchanges.Reply(
            self.head.status, dict(self.head.headers), self.body(), elapsed_s
        )

    def body(self) -> bytes:
        """Returns the part of the body that is kept for `on_done`."""
        return bytes(self._body)

    def on_body_chunk(self, chunk: bytes) -> int:
        """Stores a chunk of the body; called by libcurl."""
        if self.on_data is not None and self.head.status == 200:
            self._client.queue_chunk(self, chunk)
            return len(chunk)
        if len(self._body) + len(chunk) > MAX_REPLY_BYTES:
            self.fault = f"the reply is over {MAX_REPLY_BYTES} bytes"
            return 0
        if self._client.kept_bytes + len(chunk) > MAX_KEPT_BYTES:
            self.fault = (
                f"all replies are over {MAX_KEPT_BYTES} bytes, "
                f"this one has {len(self._body)}"
            )
            return 0
        self._body += chunk
        self._client.kept_bytes += len(chunk)
        return len(chunk)

    def kept_bytes(self) -> int:
        """Returns the bytes of the body that are kept for `on_done`."""
        return len(self._body)


class Client:
    """Drives a `pycurl.CurlMulti` from the event loop.

    Attributes:
        kept_bytes: bytes of the bodies of all running transfers.
    """

    def __init__(self, loop: loops.Loop):
        self._loop = loop
        self._timer: loops.Timer | None = None
        self._multi = pycurl.CurlMulti()
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._watch)
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._set_timer)
        self._multi.setopt(pycurl.M_MAXCONNECTS, _MAX_IDLE_CONNECTIONS)
        self._running: dict[pycurl.Curl, Transfer] = {}
        self._spare_handles: list[pycurl.Curl] = []
        self._queued_chunks: list[tuple[Transfer, bytes]] = []
        self.kept_bytes = 0

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
        self._queued_chunks.append((transfer, chunk))

    def release(self, transfer: Transfer) -> None:
        """Removes a transfer; closes the connection of an unfinished one."""
        curl, transfer.curl = transfer.curl, None
        if curl is None:
            return
        del self._running[curl]
        self.kept_bytes -= transfer.kept_bytes()
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
        bits = 0
        if mask & selectors.EVENT_READ:
            bits |= pycurl.CSELECT_IN
        if mask & selectors.EVENT_WRITE:
            bits |= pycurl.CSELECT_OUT
        self._multi.socket_action(fd, bits)
        self._deliver()

    def _deliver(self) -> None:
        """Runs the callbacks for what the last call of libcurl received."""
        queued_chunks, self._queued_chunks = self._queued_chunks, []
        for transfer, chunk in queued_chunks:
            if transfer.curl is not None:
                guards.call(transfer.on_data, chunk)
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
            if transfer is not None and transfer.curl is not None:
                result = reply_head.result(
                    transfer.curl,
                    code,
                    transfer.fault or text,
                    transfer.head,
                    transfer.body(),
                )
                self.release(transfer)
                guards.call(transfer.on_done, result)


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
    curl.setopt(pycurl.HEADERFUNCTION, transfer.head.on_line)
    curl.setopt(pycurl.WRITEFUNCTION, transfer.on_body_chunk)
