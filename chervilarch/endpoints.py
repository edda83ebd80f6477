"""Controller of the endpoints: which there are, how they do, who may go on.

An attempt holds a slot on an endpoint. When none has room, it waits in its
pool's queue, which is ordered by priority and then by age.
"""

import collections
import itertools
import random
import threading
from typing import NamedTuple

from chervilarch import (
    choice,
    clocks,
    endpoint_state,
    hosts,
    limits,
    metrics,
    state_log,
)

# How long a pool counts as having long work.
LONG_MEMORY_S = 30.0
# A waiter's time left, in unloaded times, below which it gives way.
_SLACK = 1.35
# How often the first waiter of a queue looks for an endpoint by itself.
_LOOK_PERIOD_S = 0.01


class PoolEstimate(NamedTuple):
    """What a pool is expected to do with one more attempt.

    Attributes:
        limit: attempts that may run at a time.
        unit_s: mean time of a work unit, 0 while unknown.
        best_s: least time of a work unit, 0 while unknown.
        backlog: attempts under way, waiting or on their way, beyond `limit`.
    """

    limit: float
    unit_s: float
    best_s: float
    backlog: float


class NoSlot(NamedTuple):
    """No endpoint could be had.

    Attributes:
        is_pool_down: whether the pool has no open endpoint at all.
        waited_s: how long the attempt waited.
    """

    is_pool_down: bool
    waited_s: float


class _Waiter:
    """An attempt in a pool's queue."""

    def __init__(self, work: endpoint_state.Work, number: int):
        self.work = work
        self.order = (work.priority, number)
        self.ready = threading.Event()
        self.slot: endpoint_state.Slot | None = None


class EndpointTable:
    """All endpoints that this host knows."""

    def __init__(
        self,
        data_centre: str,
        clock: clocks.Clock,
        counters: metrics.Metrics,
        rng: random.Random,
    ):
        self._data_centre = data_centre
        self._clock = clock
        self._metrics = counters
        self._rng = rng
        self._lock = threading.Lock()
        self._endpoints: dict[str, endpoint_state.Endpoint] = {}
        self._pools: dict[str, list[endpoint_state.Endpoint]] = {}
        self._left: dict[str, int] = {}
        self._queues: dict[str, list[_Waiter]] = collections.defaultdict(list)
        self._upcoming: collections.Counter[str] = collections.Counter()
        self._long_at: dict[str, float] = collections.defaultdict(
            lambda: float("-inf")
        )
        self._numbers = itertools.count()

    def update_list(
        self, entries: list[hosts.HostEntry]
    ) -> list[endpoint_state.EndpointId]:
        """Takes a reading of the host list; returns what newly leaves."""
        news = []
        listed = set()
        with self._lock:
            for entry in entries:
                if entry.role != hosts.ROLE_ENDPOINT:
                    continue
                listed.add(entry.address)
                if self._update_entry(entry):
                    news.append(
                        endpoint_state.EndpointId(
                            entry.address, entry.incarnation
                        )
                    )
            for endpoint in list(self._endpoints.values()):
                endpoint.listed = endpoint.address in listed
                if not endpoint.listed and not endpoint.slots:
                    del self._endpoints[endpoint.address]
            self._rebuild_pools()
            for pool in list(self._queues):
                self._serve_queue(pool)
        return news

    def mark_leaving(self, address: str, incarnation: int) -> bool:
        """Stops new work to a run of an endpoint; tells whether that's news."""
        with self._lock:
            if self._left.get(address, -1) >= incarnation:
                return False
            self._left[address] = incarnation
            endpoint = self._endpoints.get(address)
            if endpoint is not None and endpoint.incarnation <= incarnation:
                endpoint.leaving = True
        self._metrics.count("endpoints.leaving")
        state_log.log_change(
            "endpoint leaving", address=address, incarnation=incarnation
        )
        return True

    def acquire(
        self, work: endpoint_state.Work, timeout_s: float
    ) -> endpoint_state.Slot | NoSlot:
        """Takes a slot, waiting up to `timeout_s` in the pool's queue."""
        now = self._clock.monotonic()
        with self._lock:
            waiter = _Waiter(work, next(self._numbers))
            self._queues[work.pool].append(waiter)
            self._serve_queue(work.pool)
            if waiter.slot is not None:
                return waiter.slot
        self._await_slot(waiter, now + self._wait_bound_s(work, timeout_s, now))
        with self._lock:
            if waiter.slot is not None:
                return waiter.slot
            self._queues[work.pool].remove(waiter)
            is_down = not self._open_endpoints(work.pool, now)
        return NoSlot(is_down, self._clock.monotonic() - now)

    def finish(
        self, slot: endpoint_state.Slot, elapsed_s: float, succeeded: bool
    ) -> None:
        """Gives a slot back with how the attempt went."""
        now = self._clock.monotonic()
        with self._lock:
            endpoint = self._remove_slot(slot)
            if endpoint is None:
                return
            if succeeded:
                endpoint.note_success(slot, elapsed_s, now)
            else:
                self._note_failure(endpoint, now)
            self._serve_queue(slot.work.pool)

    def abandon(self, slot: endpoint_state.Slot) -> None:
        """Gives a slot back with nothing learnt, as after a lost hedge."""
        with self._lock:
            if self._remove_slot(slot) is not None:
                self._serve_queue(slot.work.pool)

    def finish_late(self, slot: endpoint_state.Slot, elapsed_s: float) -> None:
        """Gives back a slot whose attempt met its deadline under load."""
        with self._lock:
            endpoint = self._remove_slot(slot)
            if endpoint is None:
                return
            endpoint.note_at_least(slot, elapsed_s, self._clock.monotonic())
            endpoint.learnt = limits.after_failure(endpoint.learnt)
            self._serve_queue(slot.work.pool)

    def finish_unanswered(
        self, slot: endpoint_state.Slot, elapsed_s: float
    ) -> None:
        """Gives back a slot whose attempt was cancelled before its answer."""
        with self._lock:
            endpoint = self._remove_slot(slot)
            if endpoint is None:
                return
            now = self._clock.monotonic()
            endpoint.note_at_least(slot, elapsed_s, now)
            endpoint.suspect(now)
            self._serve_queue(slot.work.pool)

    def report_load(self, address: str, load: float) -> None:
        """Takes the load that an endpoint reported."""
        with self._lock:
            endpoint = self._endpoints.get(address)
            if endpoint is not None:
                endpoint.load = load - len(endpoint.slots)
                endpoint.load_at = self._clock.monotonic()

    def add_upcoming(self, pool: str, attempts: int) -> None:
        """Counts attempts that will come to a pool, or came if negative."""
        with self._lock:
            self._upcoming[pool] += attempts

    def estimate(
        self, pool: str, units: float, remaining_s: float
    ) -> PoolEstimate:
        """Returns what to expect of the endpoints that could be in time.

        An endpoint that isn't known yet is taken for the fastest known one.
        """
        now = self._clock.monotonic()
        with self._lock:
            least_s = self._least_base_s(pool, now)
            timely = [
                endpoint
                for endpoint in self._open_endpoints(pool, now)
                if (endpoint.learnt.base_s or least_s) * units <= remaining_s
            ]
            if not timely:
                return PoolEstimate(0.0, least_s, least_s, 0.0)
            limit = sum(endpoint.learnt.limit for endpoint in timely)
            ahead = self._upcoming[pool] + len(self._queues[pool])
            ahead += sum(len(endpoint.slots) for endpoint in timely)
            unit_s = endpoint_state.mean_latency_s(timely, now)
        return PoolEstimate(limit, unit_s, least_s, ahead + 1 - limit)

    def describe(self) -> list[dict]:
        """Returns the state of each endpoint for the status page."""
        now = self._clock.monotonic()
        with self._lock:
            return [
                {
                    "address": endpoint.address,
                    "pool": endpoint.pool,
                    "data_centre": endpoint.data_centre,
                    "incarnation": endpoint.incarnation,
                    "open": endpoint.is_open(now),
                    "leaving": endpoint.leaving,
                    "in_flight": len(endpoint.slots),
                    "limit": round(endpoint.learnt.limit, 1),
                    "latency_ms": round(endpoint.learnt.latency_s * 1000, 2),
                    "reported_load": endpoint.load,
                }
                for endpoint in self._endpoints.values()
            ]

    def _update_entry(self, entry: hosts.HostEntry) -> bool:
        endpoint = self._endpoints.get(entry.address)
        if endpoint is None or endpoint.incarnation < entry.incarnation:
            is_local = entry.data_centre == self._data_centre
            endpoint = endpoint_state.Endpoint(entry, is_local)
            self._endpoints[entry.address] = endpoint
        left = self._left.get(entry.address, -1)
        endpoint.leaving = endpoint.incarnation <= left
        if entry.state != hosts.LEAVING or endpoint.leaving:
            return False
        return endpoint.incarnation == entry.incarnation

    def _rebuild_pools(self) -> None:
        self._pools = collections.defaultdict(list)
        for endpoint in self._endpoints.values():
            self._pools[endpoint.pool].append(endpoint)

    def _open_endpoints(
        self, pool: str, now: float
    ) -> list[endpoint_state.Endpoint]:
        return [
            endpoint
            for endpoint in self._pools.get(pool, ())
            if endpoint.is_open(now)
        ]

    def _try_slot(
        self, work: endpoint_state.Work, now: float
    ) -> endpoint_state.Slot | None:
        open_endpoints = self._open_endpoints(work.pool, now)
        default_s = endpoint_state.mean_latency_s(open_endpoints, now)
        views = [endpoint.view(now, default_s) for endpoint in open_endpoints]
        long_seen = now - self._long_at[work.pool] < LONG_MEMORY_S
        views = choice.part_for_length(views, work.units, long_seen)
        views = [view for view in views if view.address not in work.exclude]
        timely = choice.timely(views, work.units, work.finish_by - now)
        chosen = choice.choose(timely, self._rng, work.prefix)
        if chosen is None:
            return None
        endpoint = self._endpoints[chosen.address]
        endpoint_id = endpoint_state.EndpointId(
            endpoint.address, endpoint.incarnation
        )
        slot = endpoint_state.Slot(next(self._numbers), endpoint_id, work, now)
        slot.expected_s = chosen.latency_s * work.units
        slot.deviation_s = endpoint.learnt.deviation_s * work.units
        endpoint.slots[slot.number] = slot
        endpoint.started_at = now
        endpoint.units += work.units
        if choice.is_long(work.units):
            self._long_at[work.pool] = now
        return slot

    def _await_slot(self, waiter: _Waiter, until: float) -> None:
        """Waits until the waiter has a slot or its time is over."""
        pool = waiter.work.pool
        while True:
            left_s = until - self._clock.monotonic()
            if waiter.ready.wait(max(0.0, min(left_s, _LOOK_PERIOD_S))):
                return
            if left_s <= 0:
                return
            with self._lock:
                # Pauses and ejections end without any other event.
                if self._queues[pool] and self._queues[pool][0] is waiter:
                    self._serve_queue(pool)

    def _wait_bound_s(
        self, work: endpoint_state.Work, timeout_s: float, now: float
    ) -> float:
        """Returns how long waiting for a slot still makes sense."""
        with self._lock:
            base_s = self._least_base_s(work.pool, now)
        latest = work.finish_by - base_s * work.units
        return max(0.0, min(timeout_s, latest - now))

    def _remove_slot(
        self, slot: endpoint_state.Slot
    ) -> endpoint_state.Endpoint | None:
        endpoint = self._endpoints.get(slot.endpoint.address)
        if endpoint is None or slot.number not in endpoint.slots:
            return None
        del endpoint.slots[slot.number]
        endpoint.units -= slot.work.units
        return endpoint

    def _note_failure(
        self, endpoint: endpoint_state.Endpoint, now: float
    ) -> None:
        eject_s = endpoint.note_failure(now)
        if eject_s is None:
            return
        self._metrics.count("endpoints.ejected")
        state_log.log_fault(
            "endpoint ejected",
            address=endpoint.address,
            pool=endpoint.pool,
            seconds=eject_s,
        )

    def _serve_queue(self, pool: str) -> None:
        """Gives slots to waiters, in the order of `_serving_order`."""
        queue = self._queues[pool]
        if not queue:
            return
        now = self._clock.monotonic()
        for waiter in self._serving_order(pool, now):
            if not self._has_room(pool, now):
                return
            slot = self._try_slot(waiter.work, now)
            if slot is None:
                # What is free doesn't suit this one; it may suit the next.
                continue
            queue.remove(waiter)
            waiter.slot = slot
            waiter.ready.set()

    def _has_room(self, pool: str, now: float) -> bool:
        """Tells whether any endpoint of a pool may take an attempt."""
        return any(
            endpoint.has_room(now)
            for endpoint in self._open_endpoints(pool, now)
        )

    def _serving_order(self, pool: str, now: float) -> list[_Waiter]:
        """Returns the waiters by priority, then age.

        Whoever could only just finish gives way to those who surely can:
        serving the oldest first under overload makes every answer late.
        """
        base_s = self._least_base_s(pool, now) * _SLACK

        def order(waiter: _Waiter) -> tuple[int, bool, int]:
            left_s = waiter.work.finish_by - now
            is_thin = left_s < base_s * waiter.work.units
            priority, number = waiter.order
            return priority, is_thin, number

        return sorted(self._queues[pool], key=order)

    def _least_base_s(self, pool: str, now: float) -> float:
        """Returns the least unloaded time of a work unit, 0 if unknown."""
        known = [
            endpoint.learnt.base_s
            for endpoint in self._open_endpoints(pool, now)
            if endpoint.learnt.base_s > 0
        ]
        return min(known, default=0.0)
