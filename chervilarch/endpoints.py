"""Table of the endpoints: their state, and which attempts may run.

An attempt holds a slot on an endpoint. While no endpoint is free, it waits in
its pool's queue, which is served by priority; within a priority, attempts with
a tight deadline come after the others, and older ones first.
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

# How long a pool counts as having long work after it was given some.
LONG_WORK_WINDOW_S = 30.0
# A waiter's deadline is tight if less than this many times its service time
# without load remain.
_TIGHT_DEADLINE_FACTOR = 1.35
# How often the first waiter of a queue checks for a free endpoint.
_QUEUE_POLL_PERIOD_S = 0.01


class PoolEstimate(NamedTuple):
    """What one more attempt can expect of a pool.

    Attributes:
        limit: attempts that may run at a time.
        unit_s: mean time of a work unit, 0 while unknown.
        base_s: time of a work unit without load on the fastest open endpoint, 0
            while unknown.
        backlog: running, queued and upcoming attempts, with the new one,
            less `limit`.
    """

    limit: float
    unit_s: float
    base_s: float
    backlog: float


class NoSlot(NamedTuple):
    """No slot became free in time.

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
        self.queue_key = (work.priority, number)
        self.ready = threading.Event()
        self.slot: endpoint_state.Slot | None = None


class EndpointTable:
    """All endpoints that this host knows, and the queues of their pools."""

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
        self._leaving_incarnations: dict[str, int] = {}
        self._queues: dict[str, list[_Waiter]] = collections.defaultdict(list)
        # By pool and priority.
        self._upcoming: collections.Counter[tuple[str, int]] = (
            collections.Counter()
        )
        self._long_work_at: dict[str, float] = collections.defaultdict(
            lambda: float("-inf")
        )
        self._numbers = itertools.count()

    def update_list(
        self, entries: list[hosts.HostEntry]
    ) -> list[endpoint_state.EndpointRun]:
        """Applies the host list; returns endpoints that are newly leaving."""
        newly_leaving = []
        listed = set()
        with self._lock:
            for entry in entries:
                if entry.role != hosts.ROLE_ENDPOINT:
                    continue
                listed.add(entry.address)
                if self._update_entry(entry):
                    newly_leaving.append(
                        endpoint_state.EndpointRun(
                            entry.address, entry.incarnation
                        )
                    )
            for endpoint in list(self._endpoints.values()):
                endpoint.is_listed = endpoint.address in listed
                if not endpoint.is_listed and not endpoint.slots:
                    del self._endpoints[endpoint.address]
            self._rebuild_pools()
            for pool in list(self._queues):
                self._serve_queue(pool)
        return newly_leaving

    def mark_leaving(self, address: str, incarnation: int) -> bool:
        """Stops new work for an incarnation; returns whether that was new."""
        with self._lock:
            if self._leaving_incarnations.get(address, -1) >= incarnation:
                return False
            self._leaving_incarnations[address] = incarnation
            endpoint = self._endpoints.get(address)
            if endpoint is not None and endpoint.incarnation <= incarnation:
                endpoint.is_leaving = True
        self._metrics.count("endpoints.leaving")
        state_log.log_change(
            "endpoint leaving", address=address, incarnation=incarnation
        )
        return True

    def acquire(
        self, work: endpoint_state.Work, timeout_s: float
    ) -> endpoint_state.Slot | NoSlot:
        """Acquires a slot, waiting up to `timeout_s` in the pool's queue."""
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
        """Releases the slot of an attempt that succeeded or failed."""
        now = self._clock.monotonic()
        with self._lock:
            endpoint = self._remove_slot(slot)
            if endpoint is None:
                return
            if succeeded:
                endpoint.record_success(slot, elapsed_s, now)
            else:
                self._record_failure(endpoint, now)
            self._serve_queue(slot.work.pool)

    def abandon(self, slot: endpoint_state.Slot) -> None:
        """Releases a slot without recording anything about the endpoint."""
        with self._lock:
            if self._remove_slot(slot) is not None:
                self._serve_queue(slot.work.pool)

    def finish_late(self, slot: endpoint_state.Slot, elapsed_s: float) -> None:
        """Releases the slot of an attempt that load made miss its deadline."""
        with self._lock:
            endpoint = self._remove_slot(slot)
            if endpoint is None:
                return
            endpoint.record_lower_bound(
                slot, elapsed_s, self._clock.monotonic()
            )
            endpoint.limit_state = limits.after_failure(endpoint.limit_state)
            self._serve_queue(slot.work.pool)

    def finish_cancelled(
        self, slot: endpoint_state.Slot, elapsed_s: float
    ) -> None:
        """Releases the slot of an attempt cancelled before its answer."""
        with self._lock:
            endpoint = self._remove_slot(slot)
            if endpoint is None:
                return
            now = self._clock.monotonic()
            endpoint.record_lower_bound(slot, elapsed_s, now)
            endpoint.suspect(now)
            self._serve_queue(slot.work.pool)

    def report_load(self, address: str, load: float) -> None:
        """Records an endpoint's reported load, less this host's attempts."""
        with self._lock:
            endpoint = self._endpoints.get(address)
            if endpoint is not None:
                endpoint.reported_load = load - len(endpoint.slots)
                endpoint.reported_at = self._clock.monotonic()

    def add_upcoming(self, pool: str, priority: int, attempts: int) -> None:
        """Adds to a pool's upcoming attempts; a negative number takes away."""
        with self._lock:
            self._upcoming[pool, priority] += attempts

    def estimate(
        self, pool: str, units: float, remaining_s: float, priority: int
    ) -> PoolEstimate:
        """Returns an estimate over the endpoints that could finish in time.

        An endpoint without measurements counts as fast as the fastest one. Of
        the attempts that wait, those that are less urgent don't count.
        """
        now = self._clock.monotonic()
        with self._lock:
            least_base_s = self._least_base_s(pool, now)
            timely = [
                endpoint
                for endpoint in self._open_endpoints(pool, now)
                if (endpoint.limit_state.base_s or least_base_s) * units
                <= remaining_s
            ]
            # Limit 0 means that no wait is known: admission then compares only
            # the time without load with the remaining time.
            if not timely:
                return PoolEstimate(0.0, least_base_s, least_base_s, 0.0)
            limit = sum(endpoint.limit_state.limit for endpoint in timely)
            pending = sum(
                count
                for (name, other), count in self._upcoming.items()
                if name == pool and other <= priority
            )
            pending += sum(
                waiter.work.priority <= priority
                for waiter in self._queues[pool]
            )
            pending += sum(len(endpoint.slots) for endpoint in timely)
            unit_s = endpoint_state.mean_latency_s(timely, now)
        return PoolEstimate(limit, unit_s, least_base_s, pending + 1 - limit)

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
                    "leaving": endpoint.is_leaving,
                    "in_flight": len(endpoint.slots),
                    "limit": round(endpoint.limit_state.limit, 1),
                    "latency_ms": round(
                        endpoint.limit_state.latency_s * 1000, 2
                    ),
                    "reported_load": endpoint.reported_load,
                }
                for endpoint in self._endpoints.values()
            ]

    def _update_entry(self, entry: hosts.HostEntry) -> bool:
        endpoint = self._endpoints.get(entry.address)
        if endpoint is None or endpoint.incarnation < entry.incarnation:
            is_local = entry.data_centre == self._data_centre
            endpoint = endpoint_state.Endpoint(entry, is_local)
            self._endpoints[entry.address] = endpoint
        leaving_incarnation = self._leaving_incarnations.get(entry.address, -1)
        endpoint.is_leaving = endpoint.incarnation <= leaving_incarnation
        if entry.state != hosts.LEAVING or endpoint.is_leaving:
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
        long_work_seen = (
            now - self._long_work_at[work.pool] < LONG_WORK_WINDOW_S
        )
        views = choice.filter_by_length(views, work.units, long_work_seen)
        views = [view for view in views if view.key not in work.exclude]
        timely = choice.timely(views, work.units, work.finish_by - now)
        chosen = choice.choose(timely, self._rng, work.prefix)
        if chosen is None:
            return None
        endpoint = self._endpoints[chosen.key]
        endpoint_id = endpoint_state.EndpointRun(
            endpoint.address, endpoint.incarnation
        )
        slot = endpoint_state.Slot(next(self._numbers), endpoint_id, work, now)
        slot.expected_s = chosen.latency_s * work.units
        slot.deviation_s = endpoint.limit_state.deviation_s * work.units
        endpoint.slots[slot.number] = slot
        endpoint.last_attempt_at = now
        endpoint.units += work.units
        if choice.is_long(work.units):
            self._long_work_at[work.pool] = now
        return slot

    def _await_slot(self, waiter: _Waiter, wait_until: float) -> None:
        """Waits until the waiter has a slot or its time has run out."""
        pool = waiter.work.pool
        while True:
            remaining_s = wait_until - self._clock.monotonic()
            if waiter.ready.wait(
                max(0.0, min(remaining_s, _QUEUE_POLL_PERIOD_S))
            ):
                return
            if remaining_s <= 0:
                return
            with self._lock:
                # No event marks the end of a pause or an ejection.
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
        endpoint = self._endpoints.get(slot.endpoint.key)
        if endpoint is None or slot.number not in endpoint.slots:
            return None
        del endpoint.slots[slot.number]
        endpoint.units -= slot.work.units
        return endpoint

    def _record_failure(
        self, endpoint: endpoint_state.Endpoint, now: float
    ) -> None:
        eject_s = endpoint.record_failure(now)
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
        """Assigns slots to waiters, in the sequence of `_serving_order`."""
        queue = self._queues[pool]
        if not queue:
            return
        now = self._clock.monotonic()
        for waiter in self._serving_order(pool, now):
            if not self._has_capacity(pool, now):
                return
            slot = self._try_slot(waiter.work, now)
            if slot is None:
                # No free endpoint suits this waiter; one may suit the next.
                continue
            queue.remove(waiter)
            waiter.slot = slot
            waiter.ready.set()

    def _has_capacity(self, pool: str, now: float) -> bool:
        """Returns whether any endpoint of a pool may get an attempt."""
        return any(
            endpoint.has_capacity(now)
            for endpoint in self._open_endpoints(pool, now)
        )

    def _serving_order(self, pool: str, now: float) -> list[_Waiter]:
        """Returns the waiters by priority, tightness of deadline, then age.

        Waiters with a tight deadline come after the others of their priority:
        serving the oldest first under overload makes every answer late.
        """
        tight_unit_s = self._least_base_s(pool, now) * _TIGHT_DEADLINE_FACTOR

        def sort_key(waiter: _Waiter) -> tuple[int, bool, int]:
            remaining_s = waiter.work.finish_by - now
            is_tight = remaining_s < tight_unit_s * waiter.work.units
            priority, number = waiter.queue_key
            return priority, is_tight, number

        return sorted(self._queues[pool], key=sort_key)

    def _least_base_s(self, pool: str, now: float) -> float:
        """Returns the least time of a work unit without load, 0 if unknown."""
        known = [
            endpoint.limit_state.base_s
            for endpoint in self._open_endpoints(pool, now)
            if endpoint.limit_state.base_s > 0
        ]
        return min(known, default=0.0)
