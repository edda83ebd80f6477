"""Stand-in endpoints of the soak.

Plain endpoints answer requests, workers make pieces, and engines generate
streams. The path of a request decides what an endpoint does.
"""

import asyncio
import hashlib
import itertools
import json
import random
import time
from collections.abc import Callable

from soak import link, records, store, wire

# How long a request takes, the gap between a stream's events, and how long a
# batch takes in itself and for each piece.
_REQUEST_S = 0.03
_EVENT_INTERVAL_S = 0.015
_BATCH_S = 0.04
_PIECE_S = 0.004
# Batches that may wait at a worker beside the one that it runs.
_WORKER_QUEUE = 2
_HEARTBEAT_S = 0.6
# The record of an endpoint that crashed is removed this long after its end, as
# if it expired after three missed heartbeats.
_EXPIRY_S = 1.8
_STREAM_ROUTES = ("draft", "note", "tell")
PIECES = 4
# Engines crash on prompts with a part whose id begins so.
DEADLY = "dead"


class Results:
    """The results that workers hold, by handle.

    Attributes:
        by_handle: request id, stage and piece of each result.
    """

    def __init__(self) -> None:
        self.by_handle: dict[str, tuple[str, int, int]] = {}
        self._next_numbers = itertools.count()

    def add(self, address: str, request_id: str, stage: int, piece: int) -> str:
        """Stores a result; returns its handle."""
        handle = f"{address}/{next(self._next_numbers):x}"
        self.by_handle[handle] = (request_id, stage, piece)
        return handle

    def drop(self, address: str) -> None:
        """Drops all results of a worker."""
        for handle in [
            h for h in self.by_handle if h.startswith(address + "/")
        ]:
            del self.by_handle[handle]


class Endpoint:
    """A simulated endpoint, from its start to its end, behind its link.

    An endpoint that replaces a crashed one gets its link and a name of its own.

    Attributes:
        mode: how it answers.
            "well": without a fault.
            "declines": with status 503, not executed.
            "mute": not at all, and resets the connection after a while; for a
                batch at once when it is done.
            "cut": with a part of the body or stream, and resets the connection;
                for a batch not at all.
            "garbage": with another request's id, and after a plain answer with
                bytes that follow on no request; batches as "well".
            "late": after 1 s; batches take five times as long.
            "500": with status 500 after the work; for a batch with an error for
                each piece.
        limit_per_s: the limit that its answers name, 0.0 for none.
        on_deadly_prompt: called when a prompt crashes it.
    """

    def __init__(
        self,
        name: str,
        data_centre: str,
        link_: link.Link,
        store_server: store.StandInStore,
        history: records.History,
        results: Results,
        version: str = "1",
    ):
        self.name = name
        self.pool = name.rsplit("-", 1)[0]
        self.link = link_
        self.mode = "well"
        self.limit_per_s = 0.0
        self.on_deadly_prompt: Callable[[Endpoint], None] | None = None
        self.is_draining = False
        self._data_centre = data_centre
        self._store_server = store_server
        self._history = history
        self._results = results
        self._version = version
        self._born = int(time.time() * 1000)
        self._sequence = 0
        self._batch_lock = asyncio.Lock()
        self._waiting = 0
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._heartbeat: asyncio.Task | None = None

    async def start(self) -> None:
        """Listens behind the link and starts sending heartbeats."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.link.target = self._server.sockets[0].getsockname()
        self._heartbeat = asyncio.create_task(self._send_heartbeats())

    async def drain(self) -> None:
        """Announces that the endpoint drains; it goes on serving."""
        self.is_draining = True
        await self._write_record()
        self._history.leaving_since[self.name] = time.monotonic()

    async def end(self, is_graceful: bool) -> None:
        """Stops serving.

        Args:
            is_graceful: whether the record is removed at once; else only after
                `_EXPIRY_S`, as if it expired.
        """
        self._heartbeat.cancel()
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        self._results.drop(self.link.address)
        if not is_graceful:
            await asyncio.sleep(_EXPIRY_S)
        await self._store_server.write(store.ENDPOINTS_TOPIC, self.name, b"")
        self._history.leaving_since.setdefault(self.name, time.monotonic())

    async def _send_heartbeats(self) -> None:
        while True:
            if not self._store_server.is_down:
                await self._write_record()
            await asyncio.sleep(_HEARTBEAT_S)

    async def _write_record(self) -> None:
        self._sequence += 1
        record = {
            "service": self.pool,
            "address": self.link.address,
            "zone": self._data_centre,
            "version": self._version,
            "slots": 8,
            "state": "draining" if self.is_draining else "ready",
            "cold_remaining_ms": 0,
            "sequence": self._sequence,
            "born": self._born,
        }
        await self._store_server.write(
            store.ENDPOINTS_TOPIC, self.name, json.dumps(record).encode()
        )

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            await wire.serve(reader, writer, self._handle)
        finally:
            self._writers.discard(writer)

    async def _handle(
        self, req: wire.Request, answer: wire.AnswerWriter
    ) -> None:
        arrival = (time.monotonic(), req.headers.get("x-gateway", ""))
        self._history.arrivals[self.name].append(arrival)
        if self.limit_per_s:
            answer.headers["Server-Limit"] = f"{self.limit_per_s:.1f}"
        expected = req.headers.get("expect-instance", self.name)
        if expected != self.name:
            await answer.send(421, b"", {"Not-Executed": "1"})
            return
        if not req.path.endswith("stage-free"):
            at, gateway = arrival
            self._history.work.append(
                records.Work(at, self.name, self._data_centre, gateway)
            )
        if self.mode == "declines":
            await answer.send(503, b"", {"Not-Executed": "1"})
        elif req.path.endswith("stage-run"):
            await self._run_batch(req, answer)
        elif req.path.endswith("stage-free"):
            for handle in json.loads(req.body)["handles"]:
                self._results.by_handle.pop(handle, None)
            await answer.send(200, b"{}", {})
        else:
            await self._run_request(req, answer)

    async def _run_request(
        self, req: wire.Request, answer: wire.AnswerWriter
    ) -> None:
        _, route, event_count, *_ = req.path.split("/")
        request_id = req.headers["request-id"]
        if route == "draft" and not await self._has_inputs(req, answer):
            return
        entries = req.headers.get("prompt-prefix", "").split(",")
        prompt = tuple(entry.partition(":")[0] for entry in entries)
        resumed_after = int(req.headers.get("last-event-id", 0))
        self._history.runs[request_id].append(
            records.Run(
                time.monotonic(),
                request_id,
                self.name,
                route,
                req.headers.get("x-gateway", ""),
                resumed_after,
                req.headers.get("tenant", ""),
                "authorization" in req.headers,
                prompt,
            )
        )
        stamp = f"{self.name}.{request_id}"
        headers = {"Request-Id": request_id, "Response-Stamp": stamp}
        if self.mode == "garbage":
            headers["Request-Id"] = "another"
        await asyncio.sleep(1.0 if self.mode == "late" else _REQUEST_S)
        for part in prompt:
            if part.startswith(DEADLY):
                self._history.crashes[part].append(time.monotonic())
                self.on_deadly_prompt(self)
                answer.abort()
                return
        if self.mode == "mute":
            await asyncio.sleep(records.SETTLING_S)
            answer.abort()
        elif self.mode == "500":
            await answer.send(500, b"failed", headers)
        elif route in _STREAM_ROUTES:
            await self._stream(
                answer, headers, request_id, resumed_after, int(event_count)
            )
        else:
            body = answer_body(request_id, req.body)
            if self.mode == "cut":
                headers["Content-Length"] = str(len(body))
                await answer.send_head(200, headers)
                await answer.send_data(body[: len(body) // 2])
                answer.abort()
                return
            await answer.send(200, body, headers)
            if self.mode == "garbage":
                answer.writer.write(b"HTTP/1.1 200 OK\r\n\r\nnobody's")

    async def _stream(
        self,
        answer,
        headers,
        request_id: str,
        resumed_after: int,
        event_count: int,
    ) -> None:
        await answer.send_head(
            200, {**headers, "Content-Type": "text/event-stream"}
        )
        # Every run of a request at an endpoint draws from the same seed.
        rng = random.Random(request_id + self.name)
        cut_at = rng.randint(resumed_after + 1, event_count + 1)
        for number in range(resumed_after + 1, event_count + 1):
            event = f"id: {number}\ndata: {request_id}\n\n".encode()
            if self.mode == "cut" and number == cut_at:
                await answer.send_data(event[: len(event) // 2])
                answer.abort()
                return
            await answer.send_data(event)
            await asyncio.sleep(_EVENT_INTERVAL_S)
        await answer.end_body()

    async def _has_inputs(
        self, req: wire.Request, answer: wire.AnswerWriter
    ) -> bool:
        """Returns whether all inputs are here; answers 409 otherwise."""
        handles = req.headers.get("inputs", "").split(",")
        inputs = [self._results.by_handle.get(handle) for handle in handles]
        if None in inputs:
            await answer.send(409, b"", {"Not-Executed": "1"})
            return False
        self._check_inputs(req.headers["request-id"], 1, inputs)
        return True

    def _check_inputs(
        self, request_id: str, stage: int, inputs: list[tuple]
    ) -> None:
        expected = {(request_id, stage, piece) for piece in range(PIECES)}
        if len(inputs) != PIECES or set(inputs) != expected:
            self._history.violations.append(
                f"{request_id} was given inputs {inputs}"
            )

    async def _run_batch(
        self, req: wire.Request, answer: wire.AnswerWriter
    ) -> None:
        if self._waiting > _WORKER_QUEUE:
            await answer.send(503, b"", {"Not-Executed": "1"})
            return
        items = json.loads(req.body)["items"]
        self._waiting += 1
        try:
            async with self._batch_lock:
                slowdown = 5 if self.mode == "late" else 1
                await asyncio.sleep(
                    slowdown * (_BATCH_S + _PIECE_S * len(items))
                )
                outputs = [self._run_piece(item) for item in items]
        finally:
            self._waiting -= 1
        if self.mode in ("mute", "cut"):
            answer.abort()
            return
        body = json.dumps({"items": outputs}).encode()
        await answer.send(200, body, {"Server-Load": f"1,{self._waiting},1"})

    def _run_piece(self, item: dict) -> dict:
        if "inputs" in item:
            inputs = [
                self._results.by_handle.get(name) for name in item["inputs"]
            ]
            if None in inputs:
                return {"reason": "gone"}
            self._check_inputs(item["id"], 0, inputs)
        elif item.get("key") != f"key-{item['id']}":
            self._history.violations.append(
                f"{item['id']} has key {item.get('key')}"
            )
        if self.mode == "500":
            return {"reason": "error"}
        handle = self._results.add(
            self.link.address, item["id"], item["stage"], item["piece"]
        )
        return {"handle": handle}


def answer_body(request_id: str, body: bytes) -> bytes:
    """Returns the body of a plain answer: request id and body's digest."""
    digest = hashlib.sha256(body).hexdigest()
    return f"{request_id} {digest} ".encode() * 40
