"""A client that sends a request on a new channel and reads its answer."""

import asyncio
import secrets
import time
from typing import NamedTuple

import h11

from review.standins_3 import platform

_READ_BYTES = 65536


class Answer(NamedTuple):
    """What a client got.

    Attributes:
        request_id: its `Request-Id`.
        status: HTTP status, 0 if the channel ended before one.
        headers: names in lower case.
        body: the body as far as it came.
        is_complete: whether the answer looks complete.
    """

    request_id: str
    status: int
    headers: dict[str, str]
    body: bytes
    is_complete: bool

    def events(self) -> list[tuple[int, str]]:
        """Returns id and data of each whole event."""
        events = []
        for block in self.body.split(b"\n\n")[:-1]:
            fields = dict(
                line.partition(": ")[::2]
                for line in block.decode().splitlines()
            )
            if "id" in fields:
                events.append((int(fields["id"]), fields["data"]))
        return events


def new_id() -> str:
    """Returns a `Request-Id`."""
    return secrets.token_hex(8)


async def send(
    ip: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 30.0,
    gap_s: float = 30.0,
) -> Answer:
    """Sends a POST to a gateway; the channel is closed afterwards.

    Args:
        ip: address of the gateway.
        path: the request's path.
        headers: headers beside those that all requests have.
        body: the request's body.
        timeout_s: after this time the client leaves.
        gap_s: the client leaves when nothing has come for this time.
    """
    request_id = new_id()
    try:
        reader, writer = await asyncio.open_connection(ip, platform.CALLER_PORT)
    except OSError:
        return Answer(request_id, 0, {}, b"", False)
    fields = {
        "Host": "saltlog.example",
        "Authorization": "Bearer rakers-key",
        "Request-Id": request_id,
        "Content-Length": str(len(body)),
    } | headers
    conn = h11.Connection(h11.CLIENT)
    writer.write(
        conn.send(
            h11.Request(
                method="POST", target=path, headers=list(fields.items())
            )
        )
    )
    if body:
        writer.write(conn.send(h11.Data(data=body)))
    writer.write(conn.send(h11.EndOfMessage()))
    try:
        return await _read(reader, conn, request_id, timeout_s, gap_s)
    finally:
        writer.close()


async def _read(
    reader: asyncio.StreamReader,
    conn: h11.Connection,
    request_id: str,
    timeout_s: float,
    gap_s: float,
) -> Answer:
    """Reads an answer until it ends, breaks off, or the client leaves."""
    ends_at = time.monotonic() + timeout_s
    got = Answer(request_id, 0, {}, b"", False)
    body = bytearray()
    while True:
        try:
            event = conn.next_event()
            if event is h11.NEED_DATA:
                left_s = ends_at - time.monotonic()
                async with asyncio.timeout(max(0.0, min(gap_s, left_s))):
                    conn.receive_data(await reader.read(_READ_BYTES))
                continue
        except (OSError, TimeoutError, h11.RemoteProtocolError):
            return got._replace(body=bytes(body))
        if isinstance(event, h11.Response):
            headers = {k.decode(): v.decode() for k, v in event.headers}
            got = got._replace(status=event.status_code, headers=headers)
        elif isinstance(event, h11.Data):
            body += event.data
        else:
            is_complete = isinstance(event, h11.EndOfMessage)
            return got._replace(body=bytes(body), is_complete=is_complete)
