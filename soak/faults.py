"""The environment of a soak and its random faults, which overlap and repeat."""

import asyncio
import contextlib
import json
import random
import signal
import time

from soak import (
    callers,
    checks,
    endpoints,
    gateways,
    link,
    records,
    store,
)

# Endpoints that each pool starts with.
POOLS = {"desk": 2, "other": 2, "maker": 2, "engine": 3}
_LINK_FAULTS = [mode for mode in link.Mode if mode is not link.Mode.HEALTHY]
# Pause of an operator between attempts to write while the store is down.
_WRITE_RETRY_S = 0.1
_ENDPOINT_FAULTS = ["declines", "mute", "cut", "garbage", "late", "500"]


class SoakEnvironment:
    """Runs a soak's endpoints, publishes its configuration, injects faults."""

    def __init__(
        self,
        store_server: store.StandInStore,
        fleet: list[gateways.Gateway],
        history: records.History,
        rng: random.Random,
        evacuation_rng: random.Random,
        name_parts: list[str],
    ):
        """Starts nothing; see `start`.

        Args:
            store_server: the store.
            fleet: the gateways.
            history: where disturbances are recorded.
            rng: draws the faults.
            evacuation_rng: draws the evacuations. One more fault among those
                that `rng` draws would change the faults of all earlier seeds.
            name_parts: parts of the names of the faults to inject; empty for
                all.
        """
        self.store_server = store_server
        self.gateways = fleet
        self.endpoints: list[endpoints.Endpoint] = []
        self._history = history
        self._rng = rng
        self._evacuation_rng = evacuation_rng
        self._results = endpoints.Results()
        self._replacing: set[asyncio.Task] = set()
        self._version = 0
        self._is_restoring = False
        self._last_numbers = dict.fromkeys(POOLS, 0)
        # The option `--kinds` selects by parts of the methods' names.
        self._faults = [
            self._kill,
            self._terminate,
            self._freeze,
            self._reload,
            self._take_store_down,
            self._lose_answers,
            self._compact,
            self._restore_store,
            self._harm_store_link,
            self._harm_endpoint,
            self._harm_endpoint_link,
            self._crash_endpoint,
            self._retire_endpoint,
            self._flap_endpoint,
            self._name_limit,
            self._spread_deadly_part,
            self._write_unreadable,
            self._publish,
        ]
        if name_parts:
            self._faults = [
                fault
                for fault in self._faults
                if _is_selected(fault, name_parts)
            ]
        self._injects_evacuations = not name_parts or _is_selected(
            self._evacuate, name_parts
        )

    async def start(self) -> None:
        """Publishes a configuration and starts the endpoints."""
        await self._publish(self._rng)
        for pool, count in POOLS.items():
            for _ in range(count):
                await self._add_endpoint(pool)

    async def inject(self, seconds: float) -> None:
        """Injects faults for a time; returns once all of them have ended."""
        running = []
        if self._injects_evacuations:
            running.append(
                asyncio.create_task(self._inject_evacuations(seconds))
            )
        until = time.monotonic() + seconds
        while time.monotonic() < until and self._faults:
            fault = self._rng.choice(self._faults)
            times = self._rng.choice((1, 1, 2, 3))
            # Each fault draws from its own generator, because concurrent draws
            # from one have no repeatable order. But `_add_endpoint` draws the
            # data centre from `self._rng`, also while faults run, so a seed
            # doesn't fully repeat the faults.
            rng = random.Random(self._rng.random())
            running.append(asyncio.create_task(_repeat(fault, times, rng)))
            await asyncio.sleep(self._rng.uniform(0.2, 1.5))
        await asyncio.gather(*running)

    async def _inject_evacuations(self, seconds: float) -> None:
        """Evacuates data centres, one at a time, that begin in a time."""
        rng = self._evacuation_rng
        until = time.monotonic() + seconds
        while True:
            await asyncio.sleep(rng.uniform(0.0, seconds))
            if time.monotonic() >= until:
                return
            await self._evacuate(rng)

    @contextlib.contextmanager
    def _record_disturbance(self, target: str, kind: str):
        began_at = time.monotonic()
        index = len(self._history.disturbances)
        ongoing = records.Disturbance(began_at, float("inf"), target, kind)
        self._history.disturbances.append(ongoing)
        try:
            yield
        finally:
            self._history.disturbances[index] = ongoing._replace(
                ended_at=time.monotonic()
            )

    async def _kill(self, rng: random.Random) -> None:
        gateway = rng.choice(self.gateways)
        with self._record_disturbance(gateway.name, "kill"):
            gateway.send_signal(signal.SIGKILL)
            await asyncio.sleep(1.0)

    async def _terminate(self, rng: random.Random) -> None:
        gateway = rng.choice(self.gateways)
        with self._record_disturbance(gateway.name, "term"):
            await gateway.terminate()
        with self._record_disturbance(gateway.name, "start"):
            await asyncio.sleep(1.0)

    async def _freeze(self, rng: random.Random) -> None:
        """Suspends a gateway with SIGSTOP for a while."""
        gateway = rng.choice(self.gateways)
        with self._record_disturbance(gateway.name, "freeze"):
            gateway.send_signal(signal.SIGSTOP)
            await asyncio.sleep(_draw_duration_s(rng))
            gateway.send_signal(signal.SIGCONT)

    async def _reload(self, rng: random.Random) -> None:
        rng.choice(self.gateways).send_signal(signal.SIGHUP)

    async def _take_store_down(self, rng: random.Random) -> None:
        with self._record_disturbance("store", "down"):
            self.store_server.is_down = True
            await asyncio.sleep(2 * _draw_duration_s(rng))
            self.store_server.is_down = False

    async def _lose_answers(self, rng: random.Random) -> None:
        with self._record_disturbance("store", "answers lost"):
            self.store_server.loses_answers = True
            await asyncio.sleep(_draw_duration_s(rng))
            self.store_server.loses_answers = False

    async def _compact(self, rng: random.Random) -> None:
        self.store_server.compact()

    async def _restore_store(self, rng: random.Random) -> None:
        """Brings the store back from a copy; its records are written again."""
        if self._is_restoring:
            return
        self._is_restoring = True
        with self._record_disturbance("store", "restored"):
            self.store_server.is_down = True
            await asyncio.sleep(rng.uniform(0.0, 2.0))
            lost = self.store_server.restore(rng.uniform(1.0, 10.0))
            self.store_server.is_down = False
            await asyncio.sleep(rng.uniform(0.0, 1.5))
            await self.store_server.write_again(lost)
        self._is_restoring = False

    async def _harm_store_link(self, rng: random.Random) -> None:
        gateway = rng.choice(self.gateways)
        with self._record_disturbance(gateway.name, "store link"):
            await self._apply_link_fault(rng, gateway.store_link)

    async def _apply_link_fault(
        self, rng: random.Random, link_: link.Link
    ) -> None:
        link_.mode = rng.choice(_LINK_FAULTS)
        if rng.random() < 0.5:
            link_.reset()
        await asyncio.sleep(_draw_duration_s(rng))
        link_.mode = link.Mode.HEALTHY
        # A connection that lost bytes stays silent until either side closes it.

    async def _harm_endpoint(self, rng: random.Random) -> None:
        endpoint = rng.choice(self.endpoints)
        endpoint.mode = rng.choice(_ENDPOINT_FAULTS)
        await asyncio.sleep(_draw_duration_s(rng))
        endpoint.mode = "well"

    async def _harm_endpoint_link(self, rng: random.Random) -> None:
        endpoint = rng.choice(self.endpoints)
        with self._record_disturbance(f"link {endpoint.name}", "link"):
            await self._apply_link_fault(rng, endpoint.link)

    async def _flap_endpoint(self, rng: random.Random) -> None:
        endpoint = rng.choice(self.endpoints)
        for _ in range(4):
            endpoint.mode = "declines"
            await asyncio.sleep(rng.uniform(0.05, 0.4))
            endpoint.mode = "well"
            await asyncio.sleep(rng.uniform(0.05, 0.4))

    async def _crash_endpoint(self, rng: random.Random) -> None:
        endpoint = self._take_replaceable(rng)
        if endpoint is not None:
            await self._replace(endpoint)

    async def _replace(self, endpoint: endpoints.Endpoint) -> None:
        await endpoint.end(is_graceful=False)
        await self._add_endpoint(endpoint.pool, endpoint.link)

    async def _retire_endpoint(self, rng: random.Random) -> None:
        endpoint = self._take_replaceable(rng)
        if endpoint is not None:
            await self._add_endpoint(endpoint.pool)
            await endpoint.drain()
            await asyncio.sleep(3.5)
            await endpoint.end(is_graceful=True)

    async def _name_limit(self, rng: random.Random) -> None:
        endpoint = rng.choice([e for e in self.endpoints if e.pool != "maker"])
        began_at = time.monotonic()
        endpoint.limit_per_s = round(rng.uniform(1.0, 4.0), 1)
        per_s = endpoint.limit_per_s
        await asyncio.sleep(records.SETTLING_S + _draw_duration_s(rng))
        if endpoint.limit_per_s == per_s:
            endpoint.limit_per_s = 0.0
            self._history.limits.append(
                records.Limit(endpoint.name, per_s, began_at, time.monotonic())
            )

    async def _spread_deadly_part(self, rng: random.Random) -> None:
        """Lets callers use a prompt part that crashes engines."""
        if self._history.deadly_parts or len(self._history.crashes) > 1:
            return
        part = f"{endpoints.DEADLY}{rng.getrandbits(32):x}"
        self._history.deadly_parts.append(part)
        await asyncio.sleep(3 * records.SETTLING_S + _draw_duration_s(rng))
        self._history.deadly_parts.remove(part)

    def _replace_crashed(self, endpoint: endpoints.Endpoint) -> None:
        # A draining or crashed endpoint is replaced by the fault that ends it.
        if endpoint in self.endpoints:
            self.endpoints.remove(endpoint)
            self._replacing.add(asyncio.create_task(self._replace(endpoint)))

    def _take_replaceable(
        self, rng: random.Random
    ) -> endpoints.Endpoint | None:
        """Removes and returns an endpoint, unless it is its pool's only one."""
        chosen = rng.choice(self.endpoints)
        others = [item for item in self.endpoints if item.pool == chosen.pool]
        if len(others) < 2:
            return None
        self.endpoints.remove(chosen)
        return chosen

    async def _write_unreadable(self, rng: random.Random) -> None:
        name = f"bad-{rng.randint(0, 2)}"
        value = rng.choice((b"\xff{", b"{}", b'{"service": 7}', b""))
        await self.store_server.write(store.ENDPOINTS_TOPIC, name, value)

    async def _add_endpoint(
        self, pool: str, old_link: link.Link | None = None
    ) -> None:
        """Starts an endpoint, at the address of one that ended if given."""
        self._last_numbers[pool] += 1
        endpoint_link = old_link or link.Link(("127.0.0.1", 1))
        if old_link is None:
            await endpoint_link.start()
        endpoint = endpoints.Endpoint(
            f"{pool}-{self._last_numbers[pool]}",
            self._rng.choice("ab"),
            endpoint_link,
            self.store_server,
            self._history,
            self._results,
        )
        endpoint.on_deadly_prompt = self._replace_crashed
        await endpoint.start()
        self.endpoints.append(endpoint)

    async def _publish(self, rng: random.Random) -> None:
        """Publishes a configuration that draws the pool of `look` anew."""
        if self.store_server.is_down:
            return
        self._version += rng.randint(1, 9)
        pool = rng.choice(("desk", "other"))
        document = configuration(self._version, pool)
        data = json.dumps(document).encode()
        await self.store_server.write(store.CONFIG_TOPIC, "config", data)
        self._history.lookup_pools.append((time.monotonic(), pool))

    async def _evacuate(self, rng: random.Random) -> None:
        """Evacuates a data centre for longer than gateways may take."""
        data_centre = rng.choice("ab")
        await self._write_evacuation(data_centre, b"{}")
        began_at = time.monotonic()
        await asyncio.sleep(checks.EVACUATE_S + 2 * _draw_duration_s(rng))
        # What the deletion meets may have been sent after it.
        ended_at = time.monotonic()
        await self._write_evacuation(data_centre, b"")
        self._history.evacuations.append(
            records.Evacuation(data_centre, began_at, ended_at)
        )

    async def _write_evacuation(self, data_centre: str, value: bytes) -> None:
        while self.store_server.is_down:
            await asyncio.sleep(_WRITE_RETRY_S)
        await self.store_server.write(
            store.CONFIG_TOPIC, f"evacuate/{data_centre}", value
        )


def _is_selected(fault, name_parts: list[str]) -> bool:
    return any(part in fault.__name__ for part in name_parts)


async def _repeat(fault, times: int, rng: random.Random) -> None:
    for _ in range(times):
        await fault(rng)
        await asyncio.sleep(rng.uniform(0.05, 0.6))


def _draw_duration_s(rng: random.Random) -> float:
    """Draws how long a fault lasts, in seconds."""
    return rng.uniform(0.2, 2.5)


def configuration(version: int, lookup_pool: str) -> dict:
    """Returns a configuration whose route `look` has the given pool.

    Its routes are:
        book: plain calls that may run at most once.
        look: plain calls that may be repeated.
        note: streams that may run at most once.
        draft: streams that can be resumed, after two stages of pieces.

    The pools `desk` and `other` serve plain calls, and `other` also `note`. The
    workers of `maker` make the pieces; `engine` generates the streams of
    `draft`.
    """

    def route(name: str, kind: str, pool: str, **more) -> dict:
        return {
            "name": name,
            "host": callers.HOST,
            "path_prefix": f"/{name}/",
            "kind": kind,
            "timeout_ms": 3000,
            "target_latency_ms": 800,
            "service": pool,
            "max_attempts": 2,
            "priority": 1,
            **more,
        }

    stream = {"gap_aim_ms": 500}
    stages = [
        {"service": "maker", "after": [], "bytes": 1000},
        {"service": "maker", "after": [0], "bytes": 1000},
    ]
    return {
        "version": version,
        "routes": [
            route("book", "non_idempotent", "desk"),
            route("look", "safe", lookup_pool),
            route("note", "streaming", "other", **stream),
            route(
                "draft",
                "streaming",
                "engine",
                sticky=True,
                resumable=True,
                stages=stages,
                **stream,
            ),
        ],
        "services": [
            {"name": "desk"},
            {"name": "other"},
            {"name": "engine"},
            {
                "name": "maker",
                "pieces": {
                    "slots": 1,
                    "queue": 2,
                    "batch": 8,
                    "call_ms": 40,
                    "item_ms": 4,
                    "headroom_mb": 64,
                    "handle_s": 4,
                    "link_mbps": 1000,
                },
            },
        ],
        "tenants": [
            {"name": "crew", "api_keys": [callers.API_KEY], "priority": 1}
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1 << 20,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }
