"""Stand-in endpoint: a call stage, model engine or service with side effects.

Work takes `unit_ms` times its size divided by the speed, in a bounded number
of slots; requests beyond them wait. `POST /control` changes its behaviour:
{"slow_factor": 10}, {"leaving": true} or {"answers": FAULT, "times": N}, which
applies a fault to the next N requests.

Every kind has the fault decline (status 503, the work isn't run).

Faults of calls and services: cut or closed (the connection is reset once the
work is done), silent (no answer after the work), other (the answer names
another attempt and holds the output for another input), late (the answer comes
1 s later), error (status 500 after the work).

Faults of streams, from the middle token on: cut or closed (the connection is
reset), silent (nothing more is sent), other (events name another attempt),
missing (this token is left out); and repeated or twice (every token is sent
twice).

A fault that the endpoint's kind doesn't have is used up without an effect.
"""

import argparse
import asyncio
import collections
import hashlib
import json
import time

from aiohttp import web

from standins import faults

_LOAD_HISTORY = 4096
_PREFIX_CHARS = 64
# A call's input of this size takes one work unit.
BYTES_PER_UNIT = 4096


def token_text(prompt: object, index: int) -> str:
    """Returns the token that an engine generates at an index of its answer."""
    digest = hashlib.md5(f"{prompt_digest(prompt)}:{index}".encode())
    return f"w{digest.hexdigest()[:5]} "


def prompt_digest(prompt: object) -> str:
    """Returns the hash of a prompt."""
    text = json.dumps(prompt, sort_keys=True)
    return hashlib.md5(text.encode()).hexdigest()


def call_output(pool: str, prompt: object) -> dict:
    """Returns the output of a call stage for an input."""
    return {"pool": pool, "digest": prompt_digest(prompt)}


class Slots:
    """A bounded number of slots, given out by priority, then age."""

    def __init__(self, count: int):
        self._free = count
        self._waiting: list[tuple[int, int, asyncio.Future]] = []
        self._number = 0
        self.running = 0

    @property
    def queued(self) -> int:
        """Number of requests that wait for a slot."""
        return len(self._waiting)

    async def acquire(self, priority: int) -> None:
        """Waits for a slot."""
        if self._free > 0:
            self._free -= 1
            self.running += 1
            return
        waiter = asyncio.get_running_loop().create_future()
        self._number += 1
        self._waiting.append((priority, self._number, waiter))
        self._waiting.sort(key=lambda item: item[:2])
        try:
            await waiter
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                self.release()
            else:
                self._waiting = [w for w in self._waiting if w[2] is not waiter]
            raise

    def release(self) -> None:
        """Frees a slot, or hands it to the next waiter."""
        self.running -= 1
        while self._waiting:
            waiter = self._waiting.pop(0)[2]
            if not waiter.done():
                self.running += 1
                waiter.set_result(None)
                return
        self._free += 1


class Endpoint:
    """The state of one endpoint process."""

    def __init__(self, args: argparse.Namespace):
        self.args = args
        self.switch = faults.FaultSwitch()
        self._slots = Slots(args.slots)
        self._slow_factor = 1.0
        self._is_leaving = False
        self._fault = ""
        self._fault_uses_left = 0
        self._executions: collections.Counter[str] = collections.Counter()
        self._requests: collections.Counter[str] = collections.Counter()
        self._cached_prefixes: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._prefix_hits = 0
        self._prefix_lookups = 0
        self._loads: collections.deque[tuple[float, int]] = collections.deque(
            [(0.0, 0)], _LOAD_HISTORY
        )
        self._busy_s = 0.0

    def unit_s(self) -> float:
        """Returns how long a work unit takes at present."""
        return self.args.unit_ms / 1000 / self.args.speed * self._slow_factor

    def _record_load(self) -> None:
        load = self._slots.running + self._slots.queued
        self._loads.append((time.monotonic(), load))

    def reported_load(self) -> int:
        """Returns the load as it was `load_lag_s` ago."""
        shown_until = time.monotonic() - self.args.load_lag_s
        while len(self._loads) > 1 and self._loads[1][0] <= shown_until:
            self._loads.popleft()
        return self._loads[0][1]

    def _next_fault(self) -> str:
        if self._fault_uses_left <= 0:
            return ""
        self._fault_uses_left -= 1
        return self._fault

    async def handle_work(self, request: web.Request) -> web.StreamResponse:
        """Handles a stage's work."""
        payload = await request.json()
        fault = self._next_fault()
        if self._is_leaving or fault == "decline":
            error = "leaving" if self._is_leaving else "declined"
            return self._reply(payload, {"error": error, "ran": False}, 503)
        priority = int(request.headers.get("X-Priority", 5))
        await self._slots.acquire(priority)
        self._record_load()
        try:
            key = request.headers.get("Idempotency-Key", "")
            self._executions[key] += 1
            self._requests[payload["request_id"]] += 1
            if self.args.kind == "stream":
                return await self._stream(request, payload, fault)
            return await self._call(request, payload, fault)
        finally:
            self._slots.release()
            self._record_load()

    async def _call(
        self, request: web.Request, payload: dict, fault: str
    ) -> web.StreamResponse:
        size = max(1.0, len(json.dumps(payload["request"])) / BYTES_PER_UNIT)
        start = time.monotonic()
        await asyncio.sleep(self.unit_s() * size)
        self._busy_s += time.monotonic() - start
        if fault == "late":
            await asyncio.sleep(1.0)
        if fault in ("closed", "cut"):
            return faults.drop(request)
        if fault == "silent":
            await asyncio.sleep(3600)
        if fault == "error":
            return self._reply(payload, {"error": "failed"}, 500)
        if fault == "other":
            payload = {**payload, "attempt_id": "another", "request": "other"}
        output = call_output(self.args.pool, payload["request"])
        if self.args.kind == "service":
            output["booking"] = sum(self._executions.values())
        return self._reply(payload, {"output": output}, 200)

    async def _stream(
        self, request: web.Request, payload: dict, fault: str
    ) -> web.StreamResponse:
        prompt = payload["request"]
        await self._prefill(prompt)
        response = web.StreamResponse(
            headers={
                "Content-Type": "text/event-stream",
                "X-Load": str(self.reported_load()),
            }
        )
        await response.prepare(request)
        attempt_id = payload["attempt_id"]
        first = len(payload["generated"])
        count = payload["max_tokens"]
        middle = (first + count) // 2
        for index in range(first, count):
            await asyncio.sleep(self.unit_s() / self.args.tokens_per_unit)
            if index == middle and fault:
                if fault in ("cut", "closed"):
                    return faults.drop(request)
                if fault == "silent":
                    await asyncio.sleep(3600)
                if fault == "missing":
                    continue
                if fault == "other":
                    attempt_id = "another"
            data = {
                "attempt_id": attempt_id,
                "index": index,
                "text": token_text(prompt, index),
            }
            event = b"event: token\ndata: %s\n\n" % json.dumps(data).encode()
            await response.write(event)
            if fault in ("repeated", "twice"):
                await response.write(event)
        end = {"attempt_id": attempt_id, "tokens": count}
        await response.write(
            b"event: end\ndata: %s\n\n" % json.dumps(end).encode()
        )
        await response.write_eof()
        return response

    async def _prefill(self, prompt: object) -> None:
        prefix = json.dumps(prompt)[:_PREFIX_CHARS]
        self._prefix_lookups += 1
        if prefix in self._cached_prefixes:
            self._prefix_hits += 1
            self._cached_prefixes.move_to_end(prefix)
            return
        self._cached_prefixes[prefix] = None
        if len(self._cached_prefixes) > self.args.prefixes:
            self._cached_prefixes.popitem(last=False)
        await asyncio.sleep(self.args.prefill_ms / 1000 * self._slow_factor)

    def _reply(self, payload: dict, body: dict, status: int) -> web.Response:
        return web.json_response(
            {"attempt_id": payload["attempt_id"], **body},
            status=status,
            headers={"X-Load": str(self.reported_load())},
        )

    async def handle_control(self, request: web.Request) -> web.Response:
        """Handles `POST /control`."""
        change = await request.json()
        self._slow_factor = change.get("slow_factor", self._slow_factor)
        self._is_leaving = change.get("leaving", self._is_leaving)
        if "answers" in change:
            self._fault = change["answers"]
            self._fault_uses_left = change.get("times", 1)
        return web.json_response({})

    async def handle_counts(self, request: web.Request) -> web.Response:
        """Handles `GET /counts`."""
        return web.json_response(
            {
                "executions": dict(self._executions),
                "requests": dict(self._requests),
                "total": sum(self._executions.values()),
                "running": self._slots.running,
                "queued": self._slots.queued,
                "prefix_hits": self._prefix_hits,
                "prefix_lookups": self._prefix_lookups,
                "busy_s": self._busy_s,
            }
        )


def build_app(args: argparse.Namespace) -> web.Application:
    """Returns the endpoint as an application."""
    endpoint = Endpoint(args)
    app = web.Application(
        middlewares=[faults.middleware(endpoint.switch)],
        client_max_size=16 * 1024 * 1024,
    )
    app.router.add_post("/faults", endpoint.switch.set)
    app.router.add_post("/control", endpoint.handle_control)
    app.router.add_get("/counts", endpoint.handle_counts)
    app.router.add_post("/{path:.*}", endpoint.handle_work)
    return app


def build_parser() -> argparse.ArgumentParser:
    """Returns the parser of the stand-in's arguments."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", required=True)
    parser.add_argument("--pool", required=True)
    parser.add_argument(
        "--kind", choices=("call", "stream", "service"), default="call"
    )
    parser.add_argument("--unit-ms", type=float, default=20.0)
    parser.add_argument("--tokens-per-unit", type=float, default=4.0)
    parser.add_argument("--prefill-ms", type=float, default=20.0)
    parser.add_argument("--prefixes", type=int, default=64)
    parser.add_argument("--speed", type=float, default=1.0)
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--load-lag-s", type=float, default=1.0)
    return parser


def main() -> None:
    """Runs the stand-in."""
    args = build_parser().parse_args()
    # A service finishes its calls; the others stop if the caller leaves.
    cancels = args.kind != "service"
    faults.run(build_app(args), args.address, cancels)


if __name__ == "__main__":
    main()
