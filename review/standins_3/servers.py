"""Servers that register in the store and answer requests."""

import asyncio
import json
import time
from collections.abc import Awaitable, Callable

from review.standins_3 import platform
from soak import store, wire

_HEARTBEAT_S = 1.2
Handle = Callable[[wire.Request, wire.AnswerWriter], Awaitable[None]]


class Server:
    """One server of a service.

    Attributes:
        state: what its entry says, `ready` or `draining`.
        extra: headers of all its answers.
        runs: Request-Id of each request that it began to work on.
    """

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        version: str,
        store_server: store.StandInStore,
        record: platform.Record,
    ):
        """Creates the server; it starts with `start`."""
        self.name = name
        self.service = service
        self.version = version
        self.state = "ready"
        self.extra: dict[str, str] = {}
        self.runs: list[str] = []
        self._zone = zone
        self._store = store_server
        self.record = record
        self._sequence = 0
        self._born = 0
        self._server: asyncio.Server | None = None
        self._heartbeat: asyncio.Task | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.address = ""

    async def start(self) -> None:
        """Listens, registers and begins its liveness reports."""
        await self._begin("127.0.0.1", 0)

    async def start_again(self) -> None:
        """Starts at its id and address after a crash; counts start anew."""
        host, port = self.address.rsplit(":", 1)
        self._sequence = 0
        await self._begin(host, int(port))

    async def crash(self) -> None:
        """Ends at once and breaks all answers; its entry stays."""
        self.record.write(f"{self.name} crashes")
        self._heartbeat.cancel()
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def leave(self, serve_s: float) -> None:
        """Reports that it leaves, serves on for a time, and ends."""
        await self.drain()
        await asyncio.sleep(serve_s)
        self.record.write(f"{self.name} ends")
        self._heartbeat.cancel()
        self._server.close()
        self.state = "ready"

    async def _begin(self, host: str, port: int) -> None:
        self._born = int(time.time() * 1000)
        self._server = await asyncio.start_server(self._connect, host, port)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        self._heartbeat = asyncio.create_task(self._report())
        self.record.write(f"{self.name} (version {self.version}) starts")

    async def _connect(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            await wire.serve(reader, writer, self._serve)
        finally:
            self._writers.discard(writer)

    async def drain(self) -> None:
        """Reports that it leaves; it goes on serving."""
        self.state = "draining"
        await self.write_entry()
        self.record.write(f"{self.name} reports draining")

    async def _report(self) -> None:
        while True:
            if not self._store.is_down:
                await self.write_entry()
            await asyncio.sleep(_HEARTBEAT_S)

    async def write_entry(self) -> None:
        """Writes its entry."""
        self._sequence += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self._zone,
            "version": self.version,
            "slots": 128,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": self._sequence,
            "born": self._born,
        }
        await self._store.write(
            store.ENDPOINTS_TOPIC, self.name, json.dumps(entry).encode()
        )

    async def _serve(
        self, req: wire.Request, answer: wire.AnswerWriter
    ) -> None:
        answer.headers.update(self.extra)
        if req.headers.get("expect-instance", self.name) != self.name:
            await answer.send(421, b"", {"Not-Executed": "1"})
            return
        await self.handle(req, answer)

    async def handle(
        self, req: wire.Request, answer: wire.AnswerWriter
    ) -> None:
        """Handles a request that is meant for this server."""
        raise NotImplementedError

    def answer_headers(self, req: wire.Request) -> dict[str, str]:
        """Returns the headers that all answers of a run have."""
        request_id = req.headers["request-id"]
        return {
            "Request-Id": request_id,
            "Response-Stamp": f"{self.name}.{request_id}",
        }


class ModelServer(Server):
    """Writes streams of events; each names the server and its version."""

    events = 180
    interval_s = 0.065

    async def handle(
        self, req: wire.Request, answer: wire.AnswerWriter
    ) -> None:
        """Streams the events after `Last-Event-Id`."""
        request_id = req.headers["request-id"]
        after = int(req.headers.get("last-event-id", 0))
        self.runs.append(request_id)
        self.record.write(f"{self.name} runs {request_id} after event {after}")
        headers = self.answer_headers(req)
        headers["Content-Type"] = "text/event-stream"
        deadline_s = float(req.headers["deadline-ms"]) / 1000
        async with asyncio.timeout(deadline_s):
            await answer.send_head(200, headers)
            for number in range(after + 1, self.events + 1):
                data = f"{self.name} {self.version} {number}"
                await answer.send_data(
                    f"id: {number}\ndata: {data}\n\n".encode()
                )
                await asyncio.sleep(self.interval_s)
            await answer.end_body()
