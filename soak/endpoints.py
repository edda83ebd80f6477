"""Stand-ins of endpoints: plain services, makers of pieces and engines."""

import asyncio
import hashlib
import itertools
import json
import random
import time

from soak import link, records, store, wire

# Usual work of one request, and pace of a stream's events, in seconds.
_WORK_S = 0.03
_EVENT_S = 0.015
_CALL_S = 0.04
_PIECE_S = 0.004
_MAKER_QUEUE = 2
_HEARTBEAT_S = 0.6
# A record vanishes after three heartbeats of silence.
_LAPSE_S = 1.8
PIECES = 4


class Results:
    """The results that makers hold: who made which piece of what."""

    def __init__(self) -> None:
        self.held: dict[str, tuple[str, int, int]] = {}
        self._numbers = itertools.count()

    def add(self, address: str, request_id: str, stage: int, piece: int) -> str:
        """Keeps a result; returns its handle."""
        handle = f"{address}/{next(self._numbers):x}"
        self.held[handle] = (request_id, stage, piece)
        return handle

    def drop(self, address: str) -> None:
        """Drops all results of a maker."""
        for handle in [h for h in self.held if h.startswith(address + "/")]:
            del self.held[handle]


class Endpoint:
    """One run of an endpoint behind its link.

    Attributes:
        mode: "well", "declines", "mute", "cut", "garbage", "late" or "500".
    """

    def __init__(
        self,
        name: str,
        data_centre: str,
        link_: link.Link,
        source: store.StoreStandIn,
        seen: records.Records,
        results: Results,
    ):
        self.name = name
        self.pool = name.rsplit("-", 1)[0]
        self.link = link_
        self.mode = "well"
        self.is_leaving = False
        self._data_centre = data_centre
        self._store = source
        self._seen = seen
        self._results = results
        self._born = int(time.time() * 1000)
        self._sequence = 0
        self._slot = asyncio.Lock()
        self._waiting = 0
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._beat: asyncio.Task | None = None

    async def start(self) -> None:
        """Listens behind the link and enters the store's list."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.link.target = self._server.sockets[0].getsockname()
        self._beat = asyncio.create_task(self._send_heartbeats())

    async def leave(self) -> None:
        """Says that it leaves; goes on serving."""
        self.is_leaving = True
        await self._write_record()
        self._seen.left_at[self.name] = time.monotonic()

    async def end(self, in_order: bool) -> None:
        """Ends; its record goes at once or lapses."""
        self._beat.cancel()
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        self._results.drop(self.link.address)
        if not in_order:
            await asyncio.sleep(_LAPSE_S)
        await self._store.write(store.SERVERS, self.name, b"")
        self._seen.left_at.setdefault(self.name, time.monotonic())

    async def _send_heartbeats(self) -> None:
        while True:
            if not self._store.is_down:
                await self._write_record()
            await asyncio.sleep(_HEARTBEAT_S)

    async def _write_record(self) -> None:
        self._sequence += 1
        record = {
            "service": self.pool,
            "address": self.link.address,
            "zone": self._data_centre,
            "version": "1",
            "slots": 8,
            "state": "draining" if self.is_leaving else "ready",
            "cold_remaining_ms": 0,
            "sequence": self._sequence,
            "born": self._born,
        }
        await self._store.write(
            store.SERVERS, self.name, json.dumps(record).encode()
        )

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            await wire.serve(reader, writer, self._handle)
        finally:
            self._writers.discard(writer)

    async def _handle(self, req: wire.Request, reply: wire.Reply) -> None:
        expected = req.headers.get("expect-instance", self.name)
        if expected != self.name:
            await reply.whole(421, b"", {"Not-Executed": "1"})
        elif self.mode == "declines":
            await reply.whole(503, b"", {"Not-Executed": "1"})
        elif req.path.endswith("stage-run"):
            await self._make(req, reply)
        elif req.path.endswith("stage-free"):
            for handle in json.loads(req.body)["handles"]:
                self._results.held.pop(handle, None)
            await reply.whole(200, b"{}", {})
        else:
            await self._run(req, reply)

    async def _run(self, req: wire.Request, reply: wire.Reply) -> None:
        _, route, wanted, *_ = req.path.split("/")
        request_id = req.headers["request-id"]
        if route == "draft" and not await self._has_inputs(req, reply):
            return
        after = int(req.headers.get("last-event-id", 0))
        self._seen.runs[request_id].append(
            records.Run(
                time.monotonic(),
                request_id,
                self.name,
                route,
                req.headers.get("x-gateway", ""),
                after,
                req.headers.get("tenant", ""),
                "authorization" in req.headers,
            )
        )
        stamp = f"{self.name}.{request_id}"
        headers = {"Request-Id": request_id, "Response-Stamp": stamp}
        if self.mode == "garbage":
            headers["Request-Id"] = "another"
        await asyncio.sleep(1.0 if self.mode == "late" else _WORK_S)
        if self.mode == "mute":
            await asyncio.sleep(records.CONTACT_S)
            reply.abort()
        elif self.mode == "500":
            await reply.whole(500, b"failed", headers)
        elif route in ("draft", "note"):
            await self._stream(reply, headers, request_id, after, int(wanted))
        else:
            body = answer_body(request_id, req.body)
            if self.mode == "cut":
                headers["Content-Length"] = str(len(body))
                await reply.begin(200, headers)
                await reply.data(body[: len(body) // 2])
                reply.abort()
                return
            await reply.whole(200, body, headers)
            if self.mode == "garbage":
                reply.writer.write(b"HTTP/1.1 200 OK\r\n\r\nnobody's")

    async def _stream(
        self, reply, headers, request_id: str, after: int, wanted: int
    ) -> None:
        await reply.begin(200, {**headers, "Content-Type": "text/event-stream"})
        # The same for every run of a request at an endpoint.
        rng = random.Random(request_id + self.name)
        cut_at = rng.randint(after + 1, wanted + 1)
        for number in range(after + 1, wanted + 1):
            event = f"id: {number}\ndata: {request_id}\n\n".encode()
            if self.mode == "cut" and number == cut_at:
                await reply.data(event[: len(event) // 2])
                reply.abort()
                return
            await reply.data(event)
            await asyncio.sleep(_EVENT_S)
        await reply.end()

    async def _has_inputs(self, req: wire.Request, reply: wire.Reply) -> bool:
        """Checks that the inputs are all pieces of the request's last stage."""
        handles = req.headers.get("inputs", "").split(",")
        held = [self._results.held.get(handle) for handle in handles]
        if None in held:
            await reply.whole(409, b"", {"Not-Executed": "1"})
            return False
        self._check(req.headers["request-id"], 1, held)
        return True

    def _check(self, request_id: str, stage: int, held: list[tuple]) -> None:
        wanted = {(request_id, stage, piece) for piece in range(PIECES)}
        if len(held) != PIECES or set(held) != wanted:
            self._seen.broken.append(f"{request_id} was given inputs {held}")

    async def _make(self, req: wire.Request, reply: wire.Reply) -> None:
        if self._waiting > _MAKER_QUEUE:
            await reply.whole(503, b"", {"Not-Executed": "1"})
            return
        items = json.loads(req.body)["items"]
        self._waiting += 1
        try:
            async with self._slot:
                slow = 5 if self.mode == "late" else 1
                await asyncio.sleep(slow * (_CALL_S + _PIECE_S * len(items)))
                made = [self._make_piece(item) for item in items]
        finally:
            self._waiting -= 1
        if self.mode in ("mute", "cut"):
            reply.abort()
            return
        body = json.dumps({"items": made}).encode()
        await reply.whole(200, body, {"Server-Load": f"1,{self._waiting},1"})

    def _make_piece(self, item: dict) -> dict:
        if "inputs" in item:
            held = [self._results.held.get(name) for name in item["inputs"]]
            if None in held:
                return {"reason": "gone"}
            self._check(item["id"], 0, held)
        elif item.get("key") != f"key-{item['id']}":
            self._seen.broken.append(f"{item['id']} has key {item.get('key')}")
        if self.mode == "500":
            return {"reason": "error"}
        handle = self._results.add(
            self.link.address, item["id"], item["stage"], item["piece"]
        )
        return {"handle": handle}


def answer_body(request_id: str, body: bytes) -> bytes:
    """Returns the body of a plain answer; it names the request's."""
    digest = hashlib.sha256(body).hexdigest()
    return f"{request_id} {digest} ".encode() * 40
