"""Plain HTTP/1.1 on asyncio streams, for servers and clients."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple

_READ_BYTES = 64 * 1024


class Request(NamedTuple):
    """A complete request; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


class Answer(NamedTuple):
    """What a client got on one channel.

    Attributes:
        status: 0 if the channel ended before a status line.
        headers: names in lower case.
        body: bytes of the body that arrived.
        is_complete: whether the answer ended as its framing requires.
        ended_at: monotonic time of the end.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    is_complete: bool
    ended_at: float


Handler = Callable[[Request, asyncio.StreamWriter], Awaitable[bool]]


async def _read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]] | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, sep, value = line.partition(":")
        if sep:
            headers.setdefault(name.strip().lower(), value.strip())
    return first, headers


async def serve_channel(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    handle: Handler,
) -> None:
    """Serves one channel; a handler returns whether to go on."""
    try:
        while (head := await _read_head(reader)) is not None:
            first, headers = head
            method, target, _ = first.split(" ", 2)
            size = int(headers.get("content-length", "0"))
            body = await reader.readexactly(size) if size else b""
            req = Request(method, target, headers, body)
            if not await handle(req, writer):
                break
    except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
        pass
    finally:
        writer.close()


def answer_bytes(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Returns a complete answer with its length."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


def chunk(data: bytes) -> bytes:
    """Returns a chunk of a body without length."""
    return b"%x\r\n%s\r\n" % (len(data), data)


class Channel:
    """A client's channel, which is kept for several requests."""

    def __init__(self, reader, writer):
        self._reader = reader
        self._writer = writer

    def send(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> None:
        """Sends a request."""
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines += [f"Content-Length: {len(body)}", "", ""]
        self._writer.write("\r\n".join(lines).encode("latin-1") + body)

    async def receive(self) -> Answer:
        """Reads one answer, up to its end or the end of the channel."""
        body = bytearray()
        status, headers = 0, {}
        is_complete = False
        try:
            head = await _read_head(self._reader)
            if head is not None:
                first, headers = head
                status = int(first.split(" ")[1])
                is_complete = await self._read_body(headers, body)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        return Answer(
            status, headers, bytes(body), is_complete, time.monotonic()
        )

    async def _read_body(
        self, headers: dict[str, str], body: bytearray
    ) -> bool:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int(await self._reader.readuntil(b"\r\n"), 16)
                body += await self._reader.readexactly(size)
                await self._reader.readexactly(2)
                if not size:
                    return True
        size = int(headers.get("content-length", "0"))
        while len(body) < size:
            data = await self._reader.read(min(_READ_BYTES, size - len(body)))
            if not data:
                return False
            body += data
        return True

    def close(self) -> None:
        """Closes the channel."""
        self._writer.close()


async def connect(host: str, port: int) -> Channel | None:
    """Opens a channel; None if it isn't taken within a second."""
    try:
        async with asyncio.timeout(1.0):
            return Channel(*await asyncio.open_connection(host, port))
    except (OSError, TimeoutError):
        return None
