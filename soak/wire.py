"""HTTP/1.1 server for the soak's stand-ins, on `h11` and asyncio streams."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import h11

_READ_BYTES = 65536


class Request(NamedTuple):
    """A complete request."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


class AnswerWriter:
    """Writes the answer to one request.

    Attributes:
        headers: headers that are added to the answer.
    """

    def __init__(self, conn: h11.Connection, writer: asyncio.StreamWriter):
        self._conn = conn
        self.writer = writer
        self.headers: dict[str, str] = {}

    async def send_head(self, status: int, headers: dict[str, str]) -> None:
        """Sends the head; without a length the body is chunked."""
        await self._send_event(
            h11.Response(
                status_code=status,
                headers=[*headers.items(), *self.headers.items()],
            )
        )

    async def send_data(self, data: bytes) -> None:
        """Sends a part of the body."""
        await self._send_event(h11.Data(data=data))

    async def end_body(self) -> None:
        """Ends the body."""
        await self._send_event(h11.EndOfMessage())

    async def send(
        self, status: int, body: bytes, headers: dict[str, str]
    ) -> None:
        """Sends a complete answer with its length."""
        with_length = {**headers, "Content-Length": str(len(body))}
        await self.send_head(status, with_length)
        await self.send_data(body)
        await self.end_body()

    def abort(self) -> None:
        """Resets the connection."""
        self.writer.transport.abort()

    async def _send_event(self, event) -> None:
        self.writer.write(self._conn.send(event))
        await self.writer.drain()


async def serve(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    handle: Callable[[Request, AnswerWriter], Awaitable[None]],
) -> None:
    """Serves one connection until it ends."""
    conn = h11.Connection(h11.SERVER)
    try:
        while (req := await _read_request(conn, reader)) is not None:
            await handle(req, AnswerWriter(conn, writer))
            if conn.our_state is not h11.DONE:
                break
            conn.start_next_cycle()
    except (OSError, h11.ProtocolError, asyncio.CancelledError):
        pass  # The client closed, the link was reset, or the soak is over.
    finally:
        writer.close()


async def _read_request(conn, reader) -> Request | None:
    head, body = None, b""
    while True:
        event = conn.next_event()
        if event is h11.NEED_DATA:
            conn.receive_data(await reader.read(_READ_BYTES))
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
