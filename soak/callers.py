"""Callers of a soak: they keep connections open until these end."""

import asyncio
import itertools
import random
import time

import h11

from soak import endpoints, gateways, records

KEY = "secret-1"
HOST = "soak.example"
_DEADLINE_S = 3.0
# Beyond the deadline, so that an answer at the deadline is still seen.
_PATIENCE_S = 1.0
_PAUSE_S = 0.05
_EVENTS = 30
_LEAVE_SHARE = 0.05
_REQUESTS_A_CONNECTION = 8
# Weights of the routes.
ROUTES = {"book": 3, "look": 3, "draft": 2, "note": 2}
_TEMPLATE = {"book": "POST", "look": "GET", "draft": "POST", "note": "POST"}


class Caller:
    """Sends one request after the other."""

    def __init__(
        self,
        number: int,
        found: list[gateways.Gateway],
        seen: records.Records,
        rng: random.Random,
    ):
        self._ids = (f"{number}-{count}" for count in itertools.count())
        self._gateways = found
        self._seen = seen
        self._rng = rng
        self.is_leaving_early = False

    async def run(self) -> None:
        """Sends requests until cancelled."""
        while True:
            choices = [item for item in self._gateways if item.is_in_rotation]
            if not choices:
                await asyncio.sleep(_PAUSE_S)
                continue
            gateway = self._rng.choice(choices)
            try:
                reader, writer = await asyncio.open_connection(
                    gateway.ip, gateways.CALLER_PORT
                )
            except OSError:
                await asyncio.sleep(_PAUSE_S)
                continue
            try:
                await self._use(gateway, reader, writer)
            finally:
                writer.close()

    async def _use(self, gateway, reader, writer) -> None:
        conn = h11.Connection(h11.CLIENT)
        for _ in range(_REQUESTS_A_CONNECTION):
            route = self._rng.choices(list(ROUTES), list(ROUTES.values()))[0]
            exchange = _Exchange(next(self._ids), route, gateway.name)
            may_leave = self._rng.random() < _LEAVE_SHARE
            leave_s = self._rng.uniform(0.0, 0.4) if may_leave else None
            answer = await exchange.run(conn, reader, writer, leave_s)
            # A kept connection may end just as a request is sent on it.
            self._seen.answers.append(answer)
            if conn.our_state is not h11.DONE or not answer.is_whole:
                return
            if conn.their_state is not h11.DONE:
                return
            conn.start_next_cycle()
            await asyncio.sleep(self._rng.uniform(0, _PAUSE_S))


class _Exchange:
    """One request and its answer."""

    def __init__(self, request_id: str, route: str, gateway: str):
        self._id = request_id
        self._route = route
        self._gateway = gateway
        self._body = b"" if route == "look" else request_id.encode() * 9
        self._status: int | None = None
        self._headers: dict[str, str] = {}
        self._got = b""
        self._is_whole = False

    async def run(self, conn, reader, writer, leave_s) -> records.Answer:
        """Sends the request and reads its answer."""
        sent_at = time.monotonic()
        limit_s = _DEADLINE_S + _PATIENCE_S if leave_s is None else leave_s
        has_left = False
        try:
            async with asyncio.timeout(limit_s):
                writer.write(conn.send(self._request()))
                writer.write(conn.send(h11.Data(data=self._body)))
                writer.write(conn.send(h11.EndOfMessage()))
                await writer.drain()
                await self._read(conn, reader)
        except TimeoutError:
            has_left = True
        except (OSError, h11.ProtocolError):
            pass  # The answer ended early, which its record says.
        is_stream = self._route in ("draft", "note")
        return records.Answer(
            sent_at,
            time.monotonic(),
            self._id,
            self._route,
            self._gateway,
            self._status,
            self._is_whole,
            self._is_own(),
            self._events() if is_stream else (),
            _EVENTS if is_stream else 0,
            has_left,
        )

    def _request(self) -> h11.Request:
        headers = [
            ("Host", HOST),
            ("Request-Id", self._id),
            ("Authorization", f"Bearer {KEY}"),
            ("Deadline-Ms", str(int(_DEADLINE_S * 1000))),
            ("Tenant", "forged"),
            ("X-Gateway", self._gateway),
            ("Content-Length", str(len(self._body))),
        ]
        if self._route == "draft":
            headers += [
                ("Pieces", f"{endpoints.PIECES},{endpoints.PIECES}"),
                ("Piece-Key", f"key-{self._id}"),
                ("Token-Usage", "100,20"),
                ("Prompt-Prefix", f"{len(self._id):x}:60,{self._id}:40"),
            ]
        return h11.Request(
            method=_TEMPLATE[self._route],
            target=f"/{self._route}/{_EVENTS}/x",
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
                self._got += event.data
            elif isinstance(event, h11.EndOfMessage):
                self._is_whole = True
                return
            elif isinstance(event, h11.ConnectionClosed):
                return

    def _is_own(self) -> bool:
        """Tells whether head and body are an endpoint's for this request."""
        if self._headers.get("request-id") != self._id:
            return False
        stamp = self._headers.get("response-stamp", "")
        if not stamp.endswith(f".{self._id}"):
            return False
        if self._route in ("draft", "note"):
            return all(
                data == self._id
                for data in self._lines("data: ", whole_events=True)
            )
        wanted = endpoints.answer_body(self._id, self._body)
        if self._is_whole:
            return self._got == wanted
        return wanted.startswith(self._got)

    def _events(self) -> tuple[int, ...]:
        return tuple(
            int(text) for text in self._lines("id: ", whole_events=True)
        )

    def _lines(self, head: str, whole_events: bool) -> list[str]:
        text = self._got.decode()
        if whole_events:
            text = text[: text.rfind("\n\n") + 1]
        return [
            line.removeprefix(head)
            for line in text.split("\n")
            if line.startswith(head)
        ]
