"""Cases of prompts with a part that crashes engines.

Sound and deadly prompts come at any gateway. Deadly ones crash the engine that
begins to write an answer on them; it is back, as a new boot, some seconds
later. The check is the users' rule on such prompts.
"""

import asyncio
import itertools
import pathlib
import random
import time
from collections.abc import Callable
from typing import NamedTuple

from review.standins import world

_DEADLINE_S = 10.0
DEADLY = "dead5c1e07a2"
# Time between two events.
_EVENT_S = 0.03
_EVENTS = 8
# An engine that crashed is back after this time.
_BACK_S = 4.0
_CONTACT_S = 3.0
_MAX_LATE = 3


def first_part() -> str:
    """Returns one of the first parts that many prompts share."""
    return random.choice("abcdefgh") * 8


def _first_part() -> list[str]:
    return [first_part()]


class Plan(NamedTuple):
    """What a case sends, and for how long.

    Attributes:
        folder: folder of the case.
        sound_per_s: sound prompts a second.
        deadly_per_s: deadly prompts a second.
        prefill_s: time to read a prompt.
        run_s: time from the first deadly prompt to the end.
        deadly_prefix: returns the shared parts of a deadly prompt.
        sound_prefix: returns the shared parts of a sound prompt.
        is_resumable: whether the route's streams may be resumed.
        events_before_crash: events of a deadly prompt's answer that leave the
            engine before it crashes.
        gateways: number of gateways.
        engines: number of engines.
    """

    folder: pathlib.Path
    sound_per_s: float
    deadly_per_s: float
    prefill_s: float
    run_s: float
    deadly_prefix: Callable[[], list[str]]
    sound_prefix: Callable[[], list[str]] = _first_part
    is_resumable: bool = True
    events_before_crash: int = 0
    gateways: int = 6
    engines: int = 9


class Case:
    """State of the run."""

    def __init__(self, plan: Plan, has_trouble: bool):
        self.world = world.World(plan.folder, plan.gateways)
        self.plan = plan
        self.has_trouble = has_trouble
        self.rng = random.Random()
        self.crashes: list[float] = []
        self.deadly_runs: list[float] = []
        self.sound_ok = 0
        self.sound = 0
        self.ids = itertools.count(1)
        self.tasks: set[asyncio.Task] = set()

    def spawn(self, coroutine) -> None:
        """Runs a coroutine in the background."""
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def handle(self, server, req, answer) -> None:
        """Serves a request at an engine."""
        request_id = req.headers["request-id"]
        parts = [
            entry.partition(":")[0]
            for entry in req.headers["prompt-prefix"].split(",")
        ]
        is_deadly = any(part.endswith(DEADLY) for part in parts)
        if is_deadly:
            self.deadly_runs.append(time.monotonic())
        self.world.record.write(
            "reached", id=request_id, server=server.name, deadly=is_deadly
        )
        await asyncio.sleep(self.plan.prefill_s)
        events = self.plan.events_before_crash if is_deadly else _EVENTS
        if events:
            await self._write_events(req, answer, events)
        if not is_deadly:
            await answer.end_body()
        elif server.is_up:
            self.crashes.append(time.monotonic())
            self.world.record.write("crash", server=server.name)
            name = server.crash()
            self.spawn(self.world.remove_entry(name, 3.6))
            self.spawn(self._bring_back(server))

    async def _write_events(self, req, answer, events: int) -> None:
        """Writes the head and a number of events of a stream."""
        request_id = req.headers["request-id"]
        await answer.send_head(
            200,
            {
                "Request-Id": request_id,
                "Response-Stamp": f"3e1b.{request_id}",
                "Content-Type": "text/event-stream",
            },
        )
        first = int(req.headers.get("last-event-id", 0)) + 1
        for number in range(first, first + events):
            if number > _EVENTS:
                return
            await answer.send_data(
                f"id: {number}\ndata: {request_id}\n\n".encode()
            )
            await asyncio.sleep(_EVENT_S)

    async def _bring_back(self, server) -> None:
        await asyncio.sleep(_BACK_S)
        await server.start()

    async def send_all(self, per_s: float, is_deadly: bool) -> None:
        """Starts clients at random times."""
        while True:
            await asyncio.sleep(self.rng.expovariate(per_s))
            self.spawn(self._client(is_deadly))

    async def _client(self, is_deadly: bool) -> None:
        """One client: one request, and one retry if it was refused."""
        began_at = time.monotonic()
        own = f"{next(self.ids):08x}"
        plan = self.plan
        shared = plan.deadly_prefix() if is_deadly else plan.sound_prefix()
        prompt = ",".join(f"{part}:100" for part in [*shared, own])
        self.sound += not is_deadly
        tried = []
        for attempt in range(2):
            left_s = began_at + _DEADLINE_S - time.monotonic()
            gateway = self.rng.choice(
                [g for g in self.world.gateways if g not in tried]
            )
            tried.append(gateway)
            request_id = f"{own}{attempt:x}"
            headers = {
                "Request-Id": request_id,
                "Authorization": f"Bearer {world.KEY}",
                "Deadline-Ms": str(int(left_s * 1000)),
                "Model": "m",
                "Token-Usage": "1650,24",
                "Prompt-Prefix": prompt,
            }
            result = await world.exchange(
                gateway.address, "POST", "/puxa400/2f", headers, b"x", left_s
            )
            self.world.record.write(
                "answer",
                id=request_id,
                gateway=gateway.name,
                deadly=is_deadly,
                status=result.status,
                complete=result.is_complete,
                retry_after=result.headers.get("retry-after", ""),
            )
            if result.status == 200 and result.is_complete:
                self.sound_ok += not is_deadly
                return
            if result.status != 503:
                return
            # Honoured up to one third of the time left.
            wait_s = float(result.headers["retry-after"])
            left_s = began_at + _DEADLINE_S - time.monotonic()
            if wait_s > left_s / 3:
                return
            await asyncio.sleep(wait_s)

    async def run(self) -> int:
        """Runs the case; returns the exit status."""
        self.world.add_servers(self.plan.engines, "brine-model", self.handle)
        route = {
            "name": "season-digest",
            "host": world.HOST,
            "path_prefix": "/puxa400/",
            "kind": "streaming",
            "service": "brine-model",
            "timeout_ms": 10000,
            "target_latency_ms": 1900,
            "gap_aim_ms": 500,
            "priority": 1,
            "max_attempts": 2 if self.plan.is_resumable else 1,
            "resumable": self.plan.is_resumable,
            "sticky": True,
        }
        await self.world.start(
            world.configuration([route], [{"name": "brine-model"}])
        )
        await asyncio.sleep(_CONTACT_S + 1.0)
        self.spawn(self.send_all(self.plan.sound_per_s, False))
        await asyncio.sleep(2.0)
        if self.has_trouble:
            self.spawn(self.send_all(self.plan.deadly_per_s, True))
        await asyncio.sleep(self.plan.run_s)
        for task in list(self.tasks):
            task.cancel()
        return self._judge()

    def _judge(self) -> int:
        late = []
        if len(self.crashes) >= 5:
            known_at = sorted(self.crashes)[4] + _CONTACT_S
            late = [at for at in self.deadly_runs if at > known_at]
        summary = {
            "crashes": len(self.crashes),
            "deadly_sent": len(self.deadly_runs),
            "deadly_sent_late": len(late),
            "allowed": _MAX_LATE,
            "sound": self.sound,
            "sound_served": self.sound_ok,
        }
        self.world.record.write("result", **summary)
        print(summary)
        if self.sound_ok < self.sound / 2:
            return 2
        return int(len(late) > _MAX_LATE)


async def run(plan: Plan, has_trouble: bool) -> int:
    """Runs a case; returns the exit status of its script."""
    case = Case(plan, has_trouble)
    try:
        return await case.run()
    except TimeoutError:
        print("the gateways didn't get ready")
        return 2
    finally:
        case.world.stop()
