"""Callers of a soak; each uses a connection for several requests."""

import asyncio
import itertools
import random
import time

import h11

from soak import endpoints, gateways, records

API_KEY = "secret-1"
HOST = "soak.example"
_DEADLINE_S = 3.0
# How long to wait beyond the deadline, to see an answer sent just at it.
_ANSWER_MARGIN_S = 1.0
_PAUSE_S = 0.05
_STREAM_EVENTS = 30
# Share of the requests whose caller gives up and closes the connection early.
_GIVE_UP_SHARE = 0.05
# Share of the prompts with a deadly part while there is one.
_DEADLY_SHARE = 0.3
_MAX_REQUESTS_PER_CONNECTION = 8
# Relative weights of the routes that `soak.faults.configuration` describes.
_ROUTE_WEIGHTS = {"book": 3, "look": 3, "draft": 2, "note": 2}
_METHODS = {"book": "POST", "look": "GET", "draft": "POST", "note": "POST"}


class Caller:
    """Sends requests one after the other to gateways in rotation."""

    def __init__(
        self,
        number: int,
        fleet: list[gateways.Gateway],
        history: records.History,
        rng: random.Random,
    ):
        self._ids = (f"{number}-{count}" for count in itertools.count())
        self._gateways = fleet
        self._history = history
        self._rng = rng
        self.is_leaving_early = False

    async def run(self) -> None:
        """Sends requests until cancelled."""
        while True:
            ready = [item for item in self._gateways if item.is_in_rotation]
            if not ready:
                await asyncio.sleep(_PAUSE_S)
                continue
            gateway = self._rng.choice(ready)
            try:
                reader, writer = await asyncio.open_connection(
                    gateway.ip, gateways.CALLER_PORT
                )
            except OSError:
                await asyncio.sleep(_PAUSE_S)
                continue
            try:
                await self._use_connection(gateway, reader, writer)
            finally:
                writer.close()

    async def _use_connection(self, gateway, reader, writer) -> None:
        conn = h11.Connection(h11.CLIENT)
        for _ in range(_MAX_REQUESTS_PER_CONNECTION):
            route = self._rng.choices(
                list(_ROUTE_WEIGHTS), list(_ROUTE_WEIGHTS.values())
            )[0]
            deadly = self._history.deadly_parts
            parts = [f"{self._rng.randint(0, 3):x}"]
            if deadly and self._rng.random() < _DEADLY_SHARE:
                # All callers use the same part, so that its crashes add up.
                parts.append(deadly[0])
            exchange = _Exchange(next(self._ids), route, gateway.name, parts)
            gives_up = self._rng.random() < _GIVE_UP_SHARE
            give_up_after_s = self._rng.uniform(0.0, 0.4) if gives_up else None
            answer = await exchange.run(conn, reader, writer, give_up_after_s)
            # A reused connection may close just as a request is sent on it;
            # that is an answer without a status.
            self._history.answers.append(answer)
            if conn.our_state is not h11.DONE or not answer.is_complete:
                return
            if conn.their_state is not h11.DONE:
                return
            conn.start_next_cycle()
            await asyncio.sleep(self._rng.uniform(0, _PAUSE_S))


class _Exchange:
    """One request and its answer."""

    def __init__(
        self, request_id: str, route: str, gateway: str, parts: list[str]
    ):
        self._id = request_id
        self._parts = [*parts, request_id]
        self._route = route
        self._gateway = gateway
        self._body = b"" if route == "look" else request_id.encode() * 9
        self._status: int | None = None
        self._headers: dict[str, str] = {}
        self._received = b""
        self._is_complete = False

    async def run(
        self, conn, reader, writer, give_up_after_s
    ) -> records.Answer:
        """Sends the request and reads its answer."""
        sent_at = time.monotonic()
        limit_s = (
            _DEADLINE_S + _ANSWER_MARGIN_S
            if give_up_after_s is None
            else give_up_after_s
        )
        gave_up = False
        try:
            async with asyncio.timeout(limit_s):
                writer.write(conn.send(self._request()))
                writer.write(conn.send(h11.Data(data=self._body)))
                writer.write(conn.send(h11.EndOfMessage()))
                await writer.drain()
                await self._read(conn, reader)
        except TimeoutError:
            gave_up = True
        except (OSError, h11.ProtocolError):
            pass  # The record says that the answer is incomplete.
        is_stream = self._route in ("draft", "note")
        return records.Answer(
            sent_at,
            time.monotonic(),
            self._id,
            self._route,
            self._gateway,
            self._status,
            self._is_complete,
            self._matches_request(),
            self._events() if is_stream else (),
            _STREAM_EVENTS if is_stream else 0,
            gave_up,
        )

    def _request(self) -> h11.Request:
        headers = [
            ("Host", HOST),
            ("Request-Id", self._id),
            ("Authorization", f"Bearer {API_KEY}"),
            ("Deadline-Ms", str(int(_DEADLINE_S * 1000))),
            # The gateway must replace this by the tenant of the API key.
            ("Tenant", "forged"),
            ("X-Gateway", self._gateway),
            ("Content-Length", str(len(self._body))),
        ]
        if self._route == "draft":
            headers += [
                ("Pieces", f"{endpoints.PIECES},{endpoints.PIECES}"),
                ("Piece-Key", f"key-{self._id}"),
                ("Token-Usage", "100,20"),
                (
                    "Prompt-Prefix",
                    ",".join(f"{part}:40" for part in self._parts),
                ),
            ]
        return h11.Request(
            method=_METHODS[self._route],
            target=f"/{self._route}/{_STREAM_EVENTS}/x",
            headers=headers,
        )

    async def _read(self, conn, reader) -> None:
        while True:
            event = conn.next_event()
            if event is h11.NEED_DATA:
                conn.receive_data(await reader.read(65536))
            elif isinstance(event, h11.Response):
                self._status = event.status_code
                self._headers = {
                    name.decode(): value.decode()
                    for name, value in event.headers
                }
            elif isinstance(event, h11.Data):
                self._received += event.data
            elif isinstance(event, h11.EndOfMessage):
                self._is_complete = True
                return
            elif isinstance(event, h11.ConnectionClosed):
                return

    def _matches_request(self) -> bool:
        """Returns whether headers and body belong to this request."""
        if self._headers.get("request-id") != self._id:
            return False
        stamp = self._headers.get("response-stamp", "")
        if not stamp.endswith(f".{self._id}"):
            return False
        if self._route in ("draft", "note"):
            return all(
                data == self._id for data in event_lines(self._received, "data")
            )
        expected = endpoints.answer_body(self._id, self._body)
        if self._is_complete:
            return self._received == expected
        return expected.startswith(self._received)

    def _events(self) -> tuple[int, ...]:
        return tuple(int(text) for text in event_lines(self._received, "id"))


def event_lines(received: bytes, field: str) -> list[str]:
    """Returns the values of a field in the complete events of a stream."""
    whole = received[: received.rfind(b"\n\n") + 1].decode()
    prefix = f"{field}: "
    return [
        line.removeprefix(prefix)
        for line in whole.split("\n")
        if line.startswith(prefix)
    ]
