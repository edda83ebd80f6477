"""HTTP/1.1 over asyncio streams for the soak's stand-ins, by `h11`."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import h11

_CHUNK = 65536


class Request(NamedTuple):
    """A whole request."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


class Reply:
    """Writes one answer."""

    def __init__(self, conn: h11.Connection, writer: asyncio.StreamWriter):
        self._conn = conn
        self.writer = writer

    async def begin(self, status: int, headers: dict[str, str]) -> None:
        """Sends the head; without a length the body is chunked."""
        await self._send(
            h11.Response(status_code=status, headers=list(headers.items()))
        )

    async def data(self, data: bytes) -> None:
        """Sends a part of the body."""
        await self._send(h11.Data(data=data))

    async def end(self) -> None:
        """Ends the body."""
        await self._send(h11.EndOfMessage())

    async def whole(
        self, status: int, body: bytes, headers: dict[str, str]
    ) -> None:
        """Sends an answer with its length."""
        sized = {**headers, "Content-Length": str(len(body))}
        await self.begin(status, sized)
        await self.data(body)
        await self.end()

    def abort(self) -> None:
        """Resets the connection."""
        self.writer.transport.abort()

    async def _send(self, event) -> None:
        self.writer.write(self._conn.send(event))
        await self.writer.drain()


async def serve(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    handle: Callable[[Request, Reply], Awaitable[None]],
) -> None:
    """Serves one connection until it ends."""
    conn = h11.Connection(h11.SERVER)
    try:
        while (req := await _read_request(conn, reader)) is not None:
            await handle(req, Reply(conn, writer))
            if conn.our_state is not h11.DONE:
                break
            conn.start_next_cycle()
    except (OSError, h11.ProtocolError, asyncio.CancelledError):
        pass  # The peer went away or was cut off, or the soak is over.
    finally:
        writer.close()


async def _read_request(conn, reader) -> Request | None:
    head, body = None, b""
    while True:
        event = conn.next_event()
        if event is h11.NEED_DATA:
            conn.receive_data(await reader.read(_CHUNK))
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage):
            headers = {k.decode(): v.decode() for k, v in head.headers}
            return Request(
                head.method.decode(), head.target.decode(), headers, body
            )
        else:
            return None
