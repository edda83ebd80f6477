"""Stand-in of a server: plain answers and streams."""

import asyncio
import json
import time

from review.standins_2 import http, platform

_HEARTBEAT_S = 1.2
_MAX_MISSED = 4


class Server:
    """A server of one service; the path says how long a request takes.

    `/NAME/plain/MS` is answered after MS milliseconds, `/NAME/stream/N/MS` by
    N events, one each MS milliseconds.

    Attributes:
        state: of its entry in the store, "ready" or "draining".
        slots: requests that it runs at a time; it queues none.
        silent_until: monotonic time until which it says nothing.
        runs: ids of the requests that it began to run.
        declined: ids of the requests that it turned away as it was full.
        limit_per_s: what its answers name as `Server-Limit`, 0.0 for none.
        arrivals: monotonic time and client's header `X-Machine` of requests.
        is_cut_off: whether it is partitioned from the store.
        pause_until: monotonic time until which it turns requests away and
            names the rest of that time as `Retry-After`.
        refusals: monotonic time and `X-Machine` of those that it turned away.
    """

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        store: platform.Store,
        record: platform.Record,
    ):
        self.name = name
        self.service = service
        self.zone = zone
        self.address = ""
        self.state = "ready"
        self.slots = 16
        self.silent_until = 0.0
        self.runs: list[str] = []
        self.declined: list[str] = []
        self.limit_per_s = 0.0
        self.arrivals: list[tuple[float, str]] = []
        self.is_cut_off = False
        self.pause_until = 0.0
        self.refusals: list[tuple[float, str]] = []
        self._running = 0
        self._store = store
        self._record = record
        self._born = int(time.time() * 1000)
        self._sequence = 0
        self._heartbeat: asyncio.Task | None = None

    async def start(self) -> None:
        """Listens and begins to write its entry."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        self._heartbeat = asyncio.create_task(self._beat())

    async def _beat(self) -> None:
        missed = 0
        while True:
            missed = missed + 1 if self.is_cut_off else 0
            if not missed:
                await self.write_entry()
            elif missed == _MAX_MISSED:
                # What the store does after three intervals of silence.
                self._record.write("entry removed", server=self.name)
                await self._store.write(platform.SERVERS, self.name, b"")
            await asyncio.sleep(_HEARTBEAT_S)

    async def write_entry(self) -> None:
        """Writes the entry to the store."""
        self._sequence += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "1",
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": self._sequence,
            "born": self._born,
        }
        await self._store.write(
            platform.SERVERS, self.name, json.dumps(entry).encode()
        )

    async def _serve(self, reader, writer) -> None:
        await http.serve_channel(reader, writer, self._handle)

    async def _handle(self, req: http.Request, writer) -> bool:
        await self._be_silent()
        request_id = req.headers.get("request-id", "")
        if req.headers.get("expect-instance", self.name) != self.name:
            writer.write(http.answer_bytes(421, {"Not-Executed": "1"}, b""))
            return True
        now = time.monotonic()
        if now < self.pause_until:
            machine = req.headers.get("x-machine", "")
            self.refusals.append((now, machine))
            self._record.write(
                "turned away",
                request=request_id,
                server=self.name,
                machine=machine,
            )
            headers = {
                "Request-Id": request_id,
                "Not-Executed": "1",
                "Retry-After": f"{self.pause_until - now:.3f}",
            }
            if self.limit_per_s:
                headers["Server-Limit"] = f"{self.limit_per_s:.1f}"
            writer.write(http.answer_bytes(503, headers, b""))
            await writer.drain()
            return True
        if self._running >= self.slots:
            self._record.write("full", request=request_id, server=self.name)
            self.declined.append(request_id)
            writer.write(http.answer_bytes(503, {"Not-Executed": "1"}, b""))
            await writer.drain()
            return True
        self._running += 1
        try:
            return await self._run(req, writer, request_id)
        finally:
            self._running -= 1

    async def _be_silent(self) -> None:
        while time.monotonic() < self.silent_until:
            await asyncio.sleep(0.01)

    async def _run(self, req: http.Request, writer, request_id: str) -> bool:
        machine = req.headers.get("x-machine", "")
        self.arrivals.append((time.monotonic(), machine))
        self.runs.append(request_id)
        self._record.write(
            "run", request=request_id, server=self.name, machine=machine
        )
        stamp = {
            "Request-Id": request_id,
            "Response-Stamp": f"{self.name}.{request_id}",
        }
        if self.limit_per_s:
            stamp["Server-Limit"] = f"{self.limit_per_s:.1f}"
        _, _, kind, *numbers = req.target.split("/")
        if kind == "plain":
            await asyncio.sleep(int(numbers[0]) / 1000)
            body = f"{request_id} done".encode()
            writer.write(http.answer_bytes(200, stamp, body))
            await writer.drain()
            return True
        try:
            await self._stream(req, writer, stamp, *map(int, numbers))
        except OSError:
            self._record.write(
                "closed by the caller", request=request_id, server=self.name
            )
            return False
        self._record.write("made", request=request_id, server=self.name)
        return True

    async def _stream(self, req, writer, stamp, count: int, gap_ms: int):
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
        lines += [f"{name}: {value}" for name, value in stamp.items()]
        lines += ["Transfer-Encoding: chunked", "", ""]
        writer.write("\r\n".join(lines).encode())
        first = int(req.headers.get("last-event-id", "0")) + 1
        for number in range(first, count + 1):
            await self._be_silent()
            event = f"id: {number}\ndata: {stamp['Request-Id']}\n\n"
            writer.write(http.chunk(event.encode()))
            await writer.drain()
            if writer.transport.is_closing():
                raise ConnectionResetError
            await asyncio.sleep(gap_ms / 1000)
        writer.write(http.chunk(b""))
        await writer.drain()
