"""HTTP client on the event loop, driven by libcurl's multi interface.

Every exchange that isn't a plain read uses a new connection: libcurl repeats
a request by itself when a kept connection turns out dead, and a server's
stray bytes after an answer would be taken for the next one.
"""

import selectors
from collections.abc import Callable
from concurrent.futures import Future

import pycurl

from chervilarch import exchanges, tasks
from chervilarch import loop as loops

CONNECT_TIMEOUT_S = 0.5
MAX_REPLY_BYTES = 16 * 1024 * 1024
_MAX_IDLE_CONNECTIONS = 32
# Below a server's shortest idle timeout that is worth a kept connection.
_CONNECTION_MAX_IDLE_S = 3
_MS_PER_S = 1000
_MAX_SPARE = 64

_KINDS = {
    pycurl.E_COULDNT_CONNECT: exchanges.FailureKind.REFUSED,
    pycurl.E_OPERATION_TIMEDOUT: exchanges.FailureKind.TIMED_OUT,
    pycurl.E_WRITE_ERROR: exchanges.FailureKind.TOO_LARGE,
}


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
        self.status = 0
        self.headers: list[tuple[str, str]] = []
        self._body = bytearray()

    def cancel(self) -> None:
        """Closes the connection; `on_done` isn't called."""
        self._client.release(self)

    def pause(self) -> None:
        """Takes no more of the reply until `resume`."""
        if self.curl is not None:
            self.curl.pause(pycurl.PAUSE_RECV)

    def resume(self) -> None:
        """Takes the reply again."""
        if self.curl is not None:
            self.curl.pause(pycurl.PAUSE_CONT)

    def reply(self, elapsed_s: float) -> exchanges.Reply:
        """Returns what has come in."""
        return exchanges.Reply(
            self.status, dict(self.headers), bytes(self._body), elapsed_s
        )

    def take_header(self, line: bytes) -> None:
        """Takes one header line."""
        text = line.decode("latin-1").strip()
        if text.startswith("HTTP/"):
            self.headers.clear()
            words = text.split(" ", 2)
            self.status = int(words[1]) if words[1].isdigit() else 0
            return
        name, sep, value = text.partition(":")
        if sep:
            self.headers.append((name.strip().lower(), value.strip()))

    def take_body(self, chunk: bytes) -> int:
        """Takes a part of the body."""
        if self.on_data is not None and self.status == 200:
            self._client.feed(self, chunk)
            return len(chunk)
        if len(self._body) + len(chunk) > MAX_REPLY_BYTES:
            return 0
        self._body += chunk
        return len(chunk)


class Client:
    """Drives a `pycurl.CurlMulti` from the loop."""

    def __init__(self, loop: loops.Loop):
        self._loop = loop
        self._timer: loops.Timer | None = None
        self._multi = pycurl.CurlMulti()
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._watch)
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._set_timer)
        self._multi.setopt(pycurl.M_MAXCONNECTS, _MAX_IDLE_CONNECTIONS)
        self._running: dict[pycurl.Curl, Transfer] = {}
        self._spare: list[pycurl.Curl] = []
        self._fed: list[tuple[Transfer, bytes]] = []

    def start(
        self,
        exchange: exchanges.Exchange,
        on_done: Callable[[exchanges.TransferResult], None],
        on_data: Callable[[bytes], None] | None = None,
    ) -> Transfer:
        """Sends a request.

        Args:
            exchange: the request.
            on_done: called once with the whole reply or the failure.
            on_data: takes the body of a reply with status 200 as it comes;
                without it the body is kept for `on_done`.
        """
        transfer = Transfer(self, exchange, on_done)
        transfer.on_data = on_data
        curl = self._spare.pop() if self._spare else pycurl.Curl()
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

    def feed(self, transfer: Transfer, chunk: bytes) -> None:
        """Keeps a part of a body until libcurl may be called again."""
        self._fed.append((transfer, chunk))

    def release(self, transfer: Transfer) -> None:
        """Takes a transfer out; an unfinished one loses its connection."""
        curl, transfer.curl = transfer.curl, None
        if curl is None:
            return
        del self._running[curl]
        self._multi.remove_handle(curl)
        if len(self._spare) < _MAX_SPARE:
            curl.reset()
            self._spare.append(curl)
        else:
            curl.close()

    def close(self) -> None:
        """Cancels everything."""
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
            self._loop.watch(fd, events, lambda mask: self._act(fd, mask))
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
        self._collect()

    def _act(self, fd: int, mask: int) -> None:
        bits = 0
        if mask & selectors.EVENT_READ:
            bits |= pycurl.CSELECT_IN
        if mask & selectors.EVENT_WRITE:
            bits |= pycurl.CSELECT_OUT
        self._multi.socket_action(fd, bits)
        self._collect()

    def _collect(self) -> None:
        """Hands over what came in during the last call of libcurl."""
        fed, self._fed = self._fed, []
        for transfer, chunk in fed:
            if transfer.curl is not None:
                transfer.on_data(chunk)
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
                result = _result(transfer, transfer.curl, code, text)
                self.release(transfer)
                transfer.on_done(result)


def _result(
    transfer: Transfer, curl: pycurl.Curl, code: int | None, text: str
) -> exchanges.TransferResult:
    if code is None:
        return transfer.reply(curl.getinfo(pycurl.TOTAL_TIME))
    kind = _KINDS.get(code, exchanges.FailureKind.BROKEN)
    sent = curl.getinfo(pycurl.REQUEST_SIZE) > 0
    return exchanges.TransferFailure(kind, text, sent)


def _configure(curl: pycurl.Curl, transfer: Transfer) -> None:
    exchange = transfer.exchange
    curl.setopt(pycurl.URL, exchange.url)
    if exchange.target:
        curl.setopt(pycurl.REQUEST_TARGET, exchange.target)
    curl.setopt(pycurl.NOSIGNAL, 1)
    curl.setopt(pycurl.PROXY, "")
    curl.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
    curl.setopt(pycurl.HTTPHEADER, [*exchange.headers, "Expect:", "Accept:"])
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
    curl.setopt(pycurl.HEADERFUNCTION, transfer.take_header)
    curl.setopt(pycurl.WRITEFUNCTION, transfer.take_body)
