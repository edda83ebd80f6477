"""Stand-in for the platform's append-only log service."""

import argparse
import asyncio
import collections
import time

from aiohttp import web

from standins import faults


class Stream:
    """One stream of records with offsets; old records expire."""

    def __init__(self, retention_s: float):
        self._retention_s = retention_s
        self.records: collections.deque[dict] = collections.deque()
        self.next_offset = 0
        self.appended = asyncio.Condition()

    def first_offset(self) -> int:
        """Drops expired records; returns the first offset that is left."""
        oldest = time.time() - self._retention_s
        while self.records and self.records[0]["time"] < oldest:
            self.records.popleft()
        if self.records:
            return self.records[0]["offset"]
        return self.next_offset

    async def append(self, bodies: list) -> int:
        """Appends records; returns the first one's offset."""
        first = self.next_offset
        for body in bodies:
            self.records.append(
                {"offset": self.next_offset, "time": time.time(), "body": body}
            )
            self.next_offset += 1
        async with self.appended:
            self.appended.notify_all()
        return first

    def read(self, offset: int, limit: int) -> list[dict]:
        """Returns up to `limit` records from an offset."""
        first = self.first_offset()
        start = max(0, offset - first)
        if start >= len(self.records):
            return []
        count = len(self.records)
        return [
            self.records[i] for i in range(start, min(count, start + limit))
        ]


class Log:
    """The log service, with its streams and counters."""

    def __init__(self, retention_s: float):
        self._retention_s = retention_s
        self._streams: dict[str, Stream] = {}
        self.appends = 0
        self.switch = faults.FaultSwitch()

    def stream(self, request: web.Request) -> Stream:
        """Returns the stream that a request names; creates it if need be."""
        name = request.match_info["stream"]
        if name not in self._streams:
            self._streams[name] = Stream(self._retention_s)
        return self._streams[name]

    async def handle_append(self, request: web.Request) -> web.Response:
        """Handles `POST /streams/{stream}/records`."""
        payload = await request.json()
        self.appends += 1
        offset = await self.stream(request).append(payload["records"])
        return web.json_response({"offset": offset})

    async def handle_read(self, request: web.Request) -> web.Response:
        """Handles `GET /streams/{stream}/records`."""
        stream = self.stream(request)
        offset = int(request.query.get("from", 0))
        limit = int(request.query.get("limit", 1000))
        wait_s = int(request.query.get("wait_ms", 0)) / 1000
        if offset >= stream.next_offset and wait_s > 0:
            await self._wait(stream, offset, wait_s)
        records = stream.read(offset, limit)
        return web.json_response(
            {
                "first_offset": stream.first_offset(),
                "next_offset": stream.next_offset,
                "records": records,
                "time": time.time(),
                "retention_s": self._retention_s,
            }
        )

    async def _wait(self, stream: Stream, offset: int, wait_s: float) -> None:
        async with stream.appended:
            try:
                await asyncio.wait_for(
                    stream.appended.wait_for(
                        lambda: offset < stream.next_offset
                    ),
                    wait_s,
                )
            except TimeoutError:
                pass

    async def handle_counts(self, request: web.Request) -> web.Response:
        """Handles `GET /counts`."""
        return web.json_response(
            {
                "appends": self.appends,
                "next_offsets": {
                    name: stream.next_offset
                    for name, stream in self._streams.items()
                },
            }
        )


def build_app(retention_s: float) -> web.Application:
    """Returns the service as an application."""
    log = Log(retention_s)
    app = web.Application(
        middlewares=[faults.middleware(log.switch)],
        client_max_size=64 * 1024 * 1024,
    )
    app.router.add_post("/streams/{stream}/records", log.handle_append)
    app.router.add_get("/streams/{stream}/records", log.handle_read)
    app.router.add_get("/counts", log.handle_counts)
    app.router.add_post("/faults", log.switch.set)
    return app


def main() -> None:
    """Runs the stand-in."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", required=True)
    parser.add_argument("--retention-s", type=float, default=7200.0)
    args = parser.parse_args()
    faults.run(build_app(args.retention_s), args.address)


if __name__ == "__main__":
    main()
