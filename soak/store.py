"""Stand-in for the platform's store: topics of keyed records, over HTTP."""

import asyncio
import base64
import collections
import json
import struct
import time
from typing import NamedTuple
from urllib import parse

from soak import wire

CONFIG_TOPIC, ENDPOINTS_TOPIC, GATEWAYS_TOPIC = (
    "keyed.op",
    "keyed.servers",
    "keyed.routers",
)


class Lost(NamedTuple):
    """What a restore took from a topic.

    Attributes:
        end: offset of the first lost record.
        values: the newest lost value of each key.
    """

    end: int
    values: dict[str, bytes]


class StandInStore:
    """A linearizable log of keyed records per topic.

    Attributes:
        is_down: whether calls get 503 and have no effect; a call under way
            gets no answer.
        loses_answers: whether connections are reset after the effect.
        delay_s: delay before each call.
        era: number in all answers that rises with each restore.
    """

    def __init__(self) -> None:
        # A topic is created on its first use.
        self._topics: dict[str, list[tuple[str, bytes]]] = (
            collections.defaultdict(list)
        )
        self._written_at: dict[str, list[float]] = collections.defaultdict(list)
        self._first_offsets: dict[str, int] = collections.defaultdict(int)
        self._appended = asyncio.Condition()
        self.is_down = False
        self.loses_answers = False
        self.delay_s = 0.0
        self.era = 1

    async def start(self) -> tuple[str, int]:
        """Listens on loopback; returns the address."""
        server = await asyncio.start_server(
            lambda reader, writer: wire.serve(reader, writer, self.handle),
            "127.0.0.1",
            0,
        )
        return server.sockets[0].getsockname()

    async def write(self, topic: str, key: str, value: bytes) -> None:
        """Appends a record; an empty value removes the key."""
        async with self._appended:
            self._add(topic, [(key, value)])

    def _add(self, topic: str, records: list[tuple[str, bytes]]) -> None:
        """Appends records; the caller holds the condition."""
        self._topics[topic] += records
        self._written_at[topic] += [time.monotonic()] * len(records)
        self._appended.notify_all()

    def restore(self, age_s: float) -> dict[str, Lost]:
        """Goes back to a copy of the given age; returns what was lost."""
        self.era += 1
        copied_at = time.monotonic() - age_s
        lost = {}
        for topic, records in self._topics.items():
            end = sum(at <= copied_at for at in self._written_at[topic])
            lost[topic] = Lost(end, dict(records[end:]))
            del records[end:], self._written_at[topic][end:]
            self._first_offsets[topic] = min(self._first_offsets[topic], end)
        return lost

    async def write_again(self, lost: dict[str, Lost]) -> None:
        """Writes again what operators and endpoints wrote and haven't since."""
        for topic in (CONFIG_TOPIC, ENDPOINTS_TOPIC):
            end, values = lost[topic]
            for key, value in values.items():
                if key not in dict(self._topics[topic][end:]):
                    await self.write(topic, key, value)

    def compact(self) -> None:
        """Makes earlier offsets unreadable; the newest values stay."""
        for topic, records in self._topics.items():
            self._first_offsets[topic] = len(records)

    async def handle(
        self, req: wire.Request, answer: wire.AnswerWriter
    ) -> None:
        """Handles one call."""
        await asyncio.sleep(self.delay_s)
        if self.is_down:
            await answer.send(503, b"", self._era_header())
            return
        path, _, query_string = req.path.partition("?")
        query = dict(parse.parse_qsl(query_string))
        status, body = await self._answer(path, query, req.body)
        if self.is_down or self.loses_answers:
            answer.abort()
            return
        await answer.send(status, body, self._era_header())

    def _era_header(self) -> dict[str, str]:
        return {"Store-Era": str(self.era)}

    async def _answer(
        self, path: str, query: dict[str, str], body: bytes
    ) -> tuple[int, bytes]:
        topic = query["topic"]
        records = self._topics[topic]
        if path.endswith("log-newest"):
            newest = {
                key: {
                    "key": key,
                    "value": base64.b64encode(value).decode(),
                    "offset": offset,
                }
                for offset, (key, value) in enumerate(records)
            }
            items = [
                item for item in newest.values() if records[item["offset"]][1]
            ]
            page = {"items": items, "has_more": False, "end": len(records)}
            return 200, json.dumps(page).encode()
        if path.endswith("log-read"):
            return await self._read(topic, query)
        # An append's records: the length in 4 bytes, the key's length in 1
        # byte, the key, and the value.
        appended = []
        while body:
            (length,) = struct.unpack_from(">I", body)
            record, body = body[4 : 4 + length], body[4 + length :]
            key = record[1 : 1 + record[0]].decode()
            appended.append((key, record[1 + record[0] :]))
        async with self._appended:
            end = len(records)
            if int(query.get("at", end)) != end:
                return 412, json.dumps({"end": end}).encode()
            self._add(topic, appended)
        end = len(records)
        return 200, json.dumps({"offset": end - 1, "end": end}).encode()

    async def _read(
        self, topic: str, query: dict[str, str]
    ) -> tuple[int, bytes]:
        records, begin = self._topics[topic], int(query["from"])
        wait_s = float(query.get("wait_ms", 0)) / 1000
        async with self._appended:
            try:
                async with asyncio.timeout(wait_s or None):
                    if wait_s and begin == len(records):
                        await self._appended.wait_for(
                            lambda: len(records) != begin
                        )
            except TimeoutError:
                pass  # No new record; the answer has none.
        if not self._first_offsets[topic] <= begin <= len(records):
            first = {"first": self._first_offsets[topic]}
            return 410, json.dumps(first).encode()
        body = struct.pack(">QQ", len(records), self._first_offsets[topic])
        for key, value in records[begin:]:
            data = bytes([len(key)]) + key.encode() + value
            body += struct.pack(">I", len(data)) + data
        return 200, body
