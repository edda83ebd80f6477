"""Chooses the endpoint of a request's final call."""

import collections
import itertools
import math
import random
import zlib
from collections.abc import Iterable
from typing import NamedTuple

from chervilarch import (
    avoidances,
    choice,
    clocks,
    endpoint_list,
    endpoint_state,
    piece_queue,
    routing_table,
    stage_graph,
    state_log,
)
from chervilarch.scheduling import (
    cold_starts,
    engine_choice,
    engine_load,
    homes,
)

# Prompt tokens of one work unit at a model engine.
TOKENS_PER_UNIT = 1000.0
# Assumed time of a work unit, in seconds, at an endpoint without an estimate.
_DEFAULT_UNIT_S = 0.05
# Work units of a running stream after its first event: it slows a new prompt
# about as much as a prompt of this size.
_RUNNING_UNITS = 0.2
# Factor on the expected time of a suspected endpoint.
_SUSPICION_FACTOR = 4.0
# A call of an endpoint on trial is expected to end within this many times its
# expected time plus this extra time; else the next one waits longer.
_TRIAL_RATIO = 2.0
_TRIAL_EXTRA_S = 0.05
# A request that is sent later than this after its lease counts at that time
# too for a cold endpoint, which may have got others meanwhile.
_LATE_SEND_S = 0.1
# Prompts whose first event is awaited; the news of some may be lost.
_MAX_PLACED = 4096


class Requirements(NamedTuple):
    """What a final call needs of its endpoint.

    Attributes:
        pool: pool of the call.
        is_prompt: whether it goes to a model engine.
        shared: name of the prompt prefix shared with other requests.
        shared_tokens: tokens of that prefix.
        own_tokens: tokens of the rest, which no endpoint has cached.
        finish_by: monotonic deadline in seconds.
        input_bytes: bytes of its inputs by data centre.
        preferred: id of the endpoint that the coordinator proposes, "" for
            none; it is chosen if it is usable and not suspected.
        regions: regions whose endpoints may be chosen, None for all.
        version: version of their software, None for any.
        prompt: set if the engine is chosen by the prompt's cost.
        request_id: with a prompt, the caller's id of the request.
        objective_at: with a prompt, when the first event is due, in monotonic
            seconds.
    """

    pool: str
    is_prompt: bool = False
    shared: bytes = b""
    shared_tokens: int = 0
    own_tokens: int = 0
    finish_by: float = float("inf")
    input_bytes: dict[str, int] = {}
    preferred: str = ""
    regions: homes.Allowed = None
    version: str | None = None
    prompt: engine_load.Prompt | None = None
    request_id: str = ""
    objective_at: float = float("inf")


class Lease(NamedTuple):
    """Reservation of an endpoint for one call, until it is released.

    Attributes:
        listing: the endpoint.
        slot: the call's part of the endpoint's load.
    """

    listing: endpoint_list.Listing
    slot: endpoint_state.Slot


class Placement:
    """Chooses and leases the endpoints of final calls.

    It goes by their load and health as this host sees them. A gateway has two:
    one for the final calls that it sends, one for those of the graphs that it
    runs as the coordinator.
    """

    def __init__(
        self,
        data_centre: str,
        clock: clocks.Clock,
        rng: random.Random,
        avoided: avoidances.Avoidances,
        cold: cold_starts.ColdStarts | None = None,
        only_proposes: bool = False,
        regions: homes.Regions | None = None,
    ):
        """Creates it without endpoints.

        Args:
            data_centre: this host's.
            clock: tells the monotonic time.
            rng: chooses among endpoints that are alike.
            avoided: the endpoints that are avoided.
            cold: the endpoints that are cold.
            only_proposes: whether other hosts send the requests. These keep the
                bound on requests to cold endpoints themselves.
            regions: the regions of data centres.
        """
        self._regions = regions or homes.Regions({})
        self._cold = cold or cold_starts.ColdStarts()
        self._only_proposes = only_proposes
        self._data_centre = data_centre
        self._clock = clock
        self._rng = rng
        self._avoided = avoided
        # Requests that wait for an endpoint to open, by pool.
        self.waiting: collections.Counter[str] = collections.Counter()
        self._slot_numbers = itertools.count()
        self._pools: dict[str, dict[str, endpoint_state.Endpoint]] = {}
        self._listings: dict[str, endpoint_list.Listing] = {}
        # Endpoints that get no new calls while some of theirs go on; they may
        # get work again.
        self._former: dict[
            endpoint_state.EndpointRun, endpoint_state.Endpoint
        ] = {}
        # When endpoints that limit their requests take the next one.
        self._deferred: dict[endpoint_state.EndpointRun, float] = {}
        # Until when endpoints that asked for a pause get no requests.
        self._paused: dict[endpoint_state.EndpointRun, float] = {}
        self._pool_profiles: dict[str, routing_table.Pool] = {}
        # What engines have to do, by pool and run, and their speed by pool.
        self._engine_loads: dict[
            str, dict[endpoint_state.EndpointRun, engine_load.EngineLoad]
        ] = {}
        self._read_speeds: dict[str, engine_load.ReadSpeed] = {}
        # The engines of prompts that were placed by their cost.
        self._placed: dict[str, engine_load.EngineLoad] = {}

    def set_pools(self, pools: dict[str, routing_table.Pool]) -> None:
        """Applies the pools of a configuration."""
        self._pool_profiles = pools

    def set_endpoints(
        self, listed: dict[str, dict[str, endpoint_list.Listing]]
    ) -> None:
        """Sets the endpoints that may get work, by pool and id."""
        pools: dict[str, dict[str, endpoint_state.Endpoint]] = {}
        self._listings = {}
        # An evacuated endpoint may return before its pause ends.
        now = self._clock.monotonic()
        self._paused = {r: t for r, t in self._paused.items() if t > now}
        former = self._former | {
            _run_of(name, endpoint): endpoint
            for endpoints in self._pools.values()
            for name, endpoint in endpoints.items()
        }
        for pool, listings in listed.items():
            kept = pools.setdefault(pool, {})
            for name, listing in listings.items():
                self._listings[name] = listing
                entry = listing.entry
                run = endpoint_state.EndpointRun(name, entry.incarnation)
                endpoint = former.get(run)
                if endpoint is None or endpoint.pool != pool:
                    is_local = entry.data_centre == self._data_centre
                    endpoint = endpoint_state.Endpoint(entry, is_local)
                else:
                    del former[run]
                kept[name] = endpoint
        self._pools = pools
        self._former = {r: e for r, e in former.items() if e.slots}
        runs = endpoint_list.runs(listed)
        self._engine_loads = {
            pool: {run: load for run, load in loads.items() if run in runs}
            for pool, loads in self._engine_loads.items()
        }

    def has_endpoint(
        self, pool: str, regions: homes.Allowed, version: str | None = None
    ) -> bool:
        """Returns whether a pool has an endpoint in the allowed regions.

        Args:
            pool: the pool.
            regions: the regions, None for all.
            version: version of its software, None for any.
        """
        return bool(self._endpoints(pool, regions, version))

    def _endpoints(
        self, pool: str, regions: homes.Allowed, version: str | None = None
    ) -> dict[str, endpoint_state.Endpoint]:
        """Returns the endpoints of a pool in the allowed regions.

        Args:
            pool: the pool.
            regions: the regions, None for all.
            version: version of their software, None for any.
        """
        endpoints = self._pools.get(pool, {})
        if regions is None and version is None:
            return endpoints
        return {
            name: endpoint
            for name, endpoint in endpoints.items()
            if self._regions.allows(endpoint.data_centre, regions)
            and version in (None, self._listings[name].version)
        }

    def affinity_data_centre(
        self, pool: str, shared: bytes, regions: homes.Allowed = None
    ) -> str:
        """Returns the data centre of the affinity endpoint, "" if unknown."""
        endpoints = self._endpoints(pool, regions)
        if not endpoints:
            return ""
        return endpoints[_affinity_endpoint(endpoints, shared)].data_centre

    def is_usable(self, lease: Lease) -> bool:
        """Returns whether the endpoint of a lease may still get work.

        It may have begun to leave, or to be paused or avoided, since.
        """
        if self._endpoint(lease) is None:
            return False
        run, now = lease.slot.endpoint, self._clock.monotonic()
        return not (self._paused_s(run, now) or self._avoided.wait_s(run))

    def defer(self, run: endpoint_state.EndpointRun, until: float) -> None:
        """Prefers other endpoints to one until a monotonic time."""
        self._deferred[run] = max(until, self._deferred.get(run, until))

    def pause(self, run: endpoint_state.EndpointRun, until: float) -> None:
        """Sends an endpoint no requests until a monotonic time."""
        self._paused[run] = max(until, self._paused.get(run, until))
        state_log.log_decision(
            "endpoint paused",
            is_problem=True,
            endpoint=run.key,
            pause_ms=round(1000 * (until - self._clock.monotonic())),
        )

    def pause_s(
        self,
        pool: str,
        tried: set[str],
        regions: homes.Allowed = None,
        version: str | None = None,
    ) -> float:
        """Returns when the first closed endpoint of a pool may be used.

        Endpoints are closed while they are paused, avoided, tried by another
        request, or cold and have got this host's share of requests.

        Args:
            pool: the pool.
            tried: ids of endpoints that aren't to be counted.
            regions: regions whose endpoints are counted.
            version: version of the software of those that are counted.

        Returns:
            Seconds until then, 0.0 if no other endpoint is closed.
        """
        now = self._clock.monotonic()
        endpoints = self._endpoints(pool, regions, version)
        waits_s = [
            self._closed_s(name, endpoint, now)
            for name, endpoint in endpoints.items()
            if name not in tried
        ]
        return min(filter(None, waits_s), default=0.0)

    def is_any_avoided(self, pool: str, regions: homes.Allowed = None) -> bool:
        """Returns whether an endpoint of a pool is avoided or on trial."""
        return any(
            self._avoided.trial_since(_run_of(name, endpoint)) < math.inf
            for name, endpoint in self._endpoints(pool, regions).items()
        )

    def queue_s(
        self, pool: str, tried: set[str], regions: homes.Allowed = None
    ) -> float:
        """Returns how long requests that wait for cold endpoints take.

        Each of these opens for a few requests only.

        Args:
            pool: the pool.
            tried: ids of endpoints that aren't to be counted.
            regions: regions whose endpoints are counted. All requests that wait
                for the pool are taken to wait for these.
        """
        now = self._clock.monotonic()
        per_window = sum(
            self._cold.per_window(_run_of(name, endpoint), now)
            for name, endpoint in self._endpoints(pool, regions).items()
            if name not in tried
        )
        if not per_window:
            return 0.0
        return cold_starts.WINDOW_S * (self.waiting[pool] // per_window)

    def is_any_cold(self, pool: str, regions: homes.Allowed = None) -> bool:
        """Returns whether this host may send a cold endpoint no request."""
        now = self._clock.monotonic()
        return any(
            self._cold_s(_run_of(name, endpoint), now) > 0.0
            for name, endpoint in self._endpoints(pool, regions).items()
        )

    def _cold_s(self, run: endpoint_state.EndpointRun, now: float) -> float:
        return 0.0 if self._only_proposes else self._cold.wait_s(run, now)

    def _closed_s(
        self, name: str, endpoint: endpoint_state.Endpoint, now: float
    ) -> float:
        """Returns how long an endpoint gets no requests, 0.0 if it may."""
        run = _run_of(name, endpoint)
        cold_s = self._cold_s(run, now)
        if not self._paused_s(run, now) and not self._avoided.is_any():
            return cold_s
        return max(
            cold_s, self._paused_s(run, now), self._avoided.wait_s(run)
        ) or self._trial_s(run, endpoint, now)

    def _paused_s(self, run: endpoint_state.EndpointRun, now: float) -> float:
        """Returns how long an endpoint is paused; forgets ended pauses."""
        if run not in self._paused:
            return 0.0
        if self._paused[run] > now:
            return self._paused[run] - now
        del self._paused[run]
        return 0.0

    def _trial_s(
        self,
        run: endpoint_state.EndpointRun,
        endpoint: endpoint_state.Endpoint,
        now: float,
    ) -> float:
        """Returns how long a request probably tries an endpoint on trial."""
        since = self._avoided.trial_since(run)
        ends = [
            slot.started_at + _TRIAL_RATIO * slot.expected_s + _TRIAL_EXTRA_S
            for slot in endpoint.slots.values()
            if slot.started_at > since and not slot.has_answered
        ]
        if not ends:
            return 0.0
        if max(ends) > now:
            return max(ends) - now
        return avoidances.FIRST_AVOIDANCE_S

    def wait_s(self, run: endpoint_state.EndpointRun) -> float:
        """Returns how long an endpoint is deferred, paused or avoided."""
        until = max(
            times.get(run, float("-inf"))
            for times in (self._deferred, self._paused)
        )
        return max(
            0.0, until - self._clock.monotonic(), self._avoided.wait_s(run)
        )

    def shortest_wait_s(
        self, pool: str, regions: homes.Allowed = None
    ) -> float:
        """Returns how long all open endpoints are deferred or closed."""
        now = self._clock.monotonic()
        if (
            not self._is_any_deferred(now)
            and not self._paused
            and not self._avoided.is_any()
            and not self.is_any_cold(pool, regions)
        ):
            return 0.0
        endpoints = self._endpoints(pool, regions)
        is_any_open = any(e.is_open(now) for e in endpoints.values())
        return min(
            (
                max(
                    self.wait_s(_run_of(name, endpoint)),
                    self._closed_s(name, endpoint, now),
                )
                for name, endpoint in endpoints.items()
                if endpoint.is_open(now) or not is_any_open
            ),
            default=0.0,
        )

    def pick(self, requirements: Requirements, tried: set[str]) -> Lease | None:
        """Chooses an endpoint that wasn't tried; None if there is none."""
        now = self._clock.monotonic()
        candidates = {
            name: endpoint
            for name, endpoint in self._endpoints(
                requirements.pool, requirements.regions, requirements.version
            ).items()
            if name not in tried and not self._closed_s(name, endpoint, now)
        }
        # If all endpoints are ejected, any of them is better than none.
        usable = {
            name: endpoint
            for name, endpoint in candidates.items()
            if endpoint.is_open(now)
        } or candidates
        if not usable:
            return None
        if self._only_proposes:
            usable = self._warm(usable, now) or usable
        if self._is_any_deferred(now):
            usable = self._not_deferred(usable)
        preferred = usable.get(requirements.preferred)
        if preferred is not None and now >= preferred.suspect_until:
            name = requirements.preferred
            # The shared prefix is assumed to be cached there.
            units = max(0.1, requirements.own_tokens / TOKENS_PER_UNIT)
        elif requirements.prompt is not None:
            return self._lease_by_cost(requirements, usable, now)
        elif requirements.is_prompt:
            name, units = self._pick_engine(requirements, usable, now)
        else:
            name, units = self._pick_by_wait(usable, now), 1.0
        return self._lease(requirements, usable[name], name, units, now)

    def _lease(
        self,
        requirements: Requirements,
        endpoint: endpoint_state.Endpoint,
        name: str,
        units: float,
        now: float,
    ) -> Lease:
        work = endpoint_state.Work(
            requirements.pool,
            units,
            finish_by=requirements.finish_by,
            is_stream=requirements.is_prompt,
        )
        slot = endpoint_state.Slot(
            next(self._slot_numbers),
            endpoint_state.EndpointRun(name, endpoint.incarnation),
            work,
            now,
        )
        slot.expected_s = (endpoint.latency_s(now) or _DEFAULT_UNIT_S) * units
        endpoint.slots[slot.number] = slot
        endpoint.units += units
        if not self._only_proposes:
            self._cold.record_send(slot.endpoint, now)
        return Lease(self._listings[name], slot)

    def _warm(
        self, endpoints: dict[str, endpoint_state.Endpoint], now: float
    ) -> dict[str, endpoint_state.Endpoint]:
        """Returns the endpoints that aren't cold."""
        return {
            name: endpoint
            for name, endpoint in endpoints.items()
            if not self._cold.is_cold(_run_of(name, endpoint), now)
        }

    def record_send(self, lease: Lease) -> None:
        """Records that a leased request is sent now.

        A lease counts as a request to its endpoint until it is released unused.
        One that is used only later counts again.
        """
        lease.slot.is_sent = True
        now = self._clock.monotonic()
        if now - lease.slot.started_at > _LATE_SEND_S:
            self._cold.record_send(lease.slot.endpoint, now)

    def _is_any_deferred(self, now: float) -> bool:
        """Returns whether any endpoint is deferred; forgets past times."""
        if self._deferred:
            self._deferred = {
                run: until
                for run, until in self._deferred.items()
                if until > now
            }
        return bool(self._deferred)

    def _not_deferred(
        self, usable: dict[str, endpoint_state.Endpoint]
    ) -> dict[str, endpoint_state.Endpoint]:
        """Returns the endpoints that aren't deferred, or the next to be so."""
        waits_s = {
            name: self.wait_s(_run_of(name, endpoint))
            for name, endpoint in usable.items()
        }
        shortest_s = min(waits_s.values())
        return {
            name: endpoint
            for name, endpoint in usable.items()
            if waits_s[name] == shortest_s
        }

    def record_first_event(self, lease: Lease) -> None:
        """Records the first event of a stream, which continues to run."""
        lease.slot.has_answered = True
        endpoint = self._endpoint(lease)
        if endpoint is None:
            return
        now = self._clock.monotonic()
        endpoint.record_success(lease.slot, now - lease.slot.started_at, now)
        remaining = min(lease.slot.work.units, _RUNNING_UNITS)
        endpoint.units -= lease.slot.work.units - remaining
        lease.slot.work = lease.slot.work._replace(units=remaining)

    def finish(self, lease: Lease, succeeded: bool) -> None:
        """Releases a slot and records whether the call succeeded."""
        endpoint = self._release(lease)
        if endpoint is None:
            return
        now = self._clock.monotonic()
        if not succeeded:
            self._log_ejection(endpoint, lease, endpoint.record_failure(now))
        elif not lease.slot.work.is_stream:
            endpoint.record_success(
                lease.slot, now - lease.slot.started_at, now
            )

    def record_silence(self, lease: Lease) -> None:
        """Trusts an endpoint less whose call goes on in silence."""
        endpoint = self._endpoint(lease)
        if endpoint is not None:
            endpoint.suspect(self._clock.monotonic())

    def finish_late(self, lease: Lease) -> None:
        """Releases the slot of a call that got no answer in time."""
        endpoint = self._release(lease)
        if endpoint is not None:
            now = self._clock.monotonic()
            endpoint.suspect(now)
            self._log_ejection(endpoint, lease, endpoint.record_failure(now))

    def finish_unreachable(self, lease: Lease) -> None:
        """Releases the slot of a call whose endpoint was unreachable."""
        endpoint = self._endpoint(lease)
        self._finish_ejected(lease)
        if endpoint is not None:
            self._cold.note_unreachable(
                lease.slot.endpoint,
                max(self._clock.monotonic(), endpoint.ejected_until),
            )

    def finish_endless(self, lease: Lease) -> None:
        """Releases the slot of a call whose reply had no end in sight."""
        self._finish_ejected(lease)
        self._avoided.record_endless(lease.slot.endpoint, lease.slot.started_at)

    def _finish_ejected(self, lease: Lease) -> None:
        endpoint = self._release(lease)
        if endpoint is not None:
            now = self._clock.monotonic()
            self._log_ejection(
                endpoint, lease, endpoint.record_unreachable(now)
            )

    def abandon(self, lease: Lease, is_suspect: bool = False) -> None:
        """Releases a slot without an outcome; may suspect its endpoint."""
        endpoint = self._release(lease)
        if endpoint is not None and is_suspect:
            endpoint.suspect(self._clock.monotonic())

    def _endpoint(self, lease: Lease) -> endpoint_state.Endpoint | None:
        name, incarnation = lease.slot.endpoint
        endpoint = self._pools.get(lease.slot.work.pool, {}).get(name)
        if endpoint is None or endpoint.incarnation != incarnation:
            return None
        return endpoint if lease.slot.number in endpoint.slots else None

    def _release(self, lease: Lease) -> endpoint_state.Endpoint | None:
        endpoint = self._endpoint(lease)
        former = self._former.get(lease.slot.endpoint)
        for holder in (endpoint, former):
            if holder is not None and lease.slot.number in holder.slots:
                del holder.slots[lease.slot.number]
                holder.units -= lease.slot.work.units
                if not (lease.slot.is_sent or self._only_proposes):
                    self._cold.withdraw_send(
                        lease.slot.endpoint, lease.slot.started_at
                    )
        if former is not None and not former.slots:
            del self._former[lease.slot.endpoint]
        return endpoint

    def _log_ejection(
        self,
        endpoint: endpoint_state.Endpoint,
        lease: Lease,
        eject_s: float | None,
    ) -> None:
        if eject_s is not None:
            state_log.log_fault(
                "endpoint ejected",
                endpoint=lease.listing.entry.name,
                pool=endpoint.pool,
                seconds=eject_s,
            )

    def _pick_engine(
        self,
        requirements: Requirements,
        usable: dict[str, endpoint_state.Endpoint],
        now: float,
    ) -> tuple[str, float]:
        """Returns the engine with the least time to the first token, and units.

        The units are the size of the call there: the shared prefix of a prompt
        is assumed to be cached at its affinity endpoint.
        """
        affinity = _affinity_endpoint(usable, requirements.shared)
        known = [e.latency_s(now) for e in usable.values() if e.latency_s(now)]
        default_s = sum(known) / len(known) if known else _DEFAULT_UNIT_S
        own = requirements.own_tokens / TOKENS_PER_UNIT
        shared = requirements.shared_tokens / TOKENS_PER_UNIT

        all_bytes = sum(requirements.input_bytes.values())

        def cost(name: str) -> float:
            endpoint = usable[name]
            unit_s = endpoint.latency_s(now) or default_s
            uncached = 0.0 if name == affinity else shared
            factor = _SUSPICION_FACTOR if now < endpoint.suspect_until else 1.0
            remote_bytes = all_bytes - requirements.input_bytes.get(
                endpoint.data_centre, 0
            )
            return (
                piece_queue.REMOTE_S_PER_BYTE * remote_bytes
                + factor * unit_s * (own + uncached + endpoint.units)
            )

        name = min(usable, key=cost)
        uncached = 0.0 if name == affinity else shared
        return name, max(0.1, own + uncached)

    def _lease_by_cost(
        self,
        requirements: Requirements,
        usable: dict[str, endpoint_state.Endpoint],
        now: float,
    ) -> Lease:
        """Leases the engine at which a prompt makes the fewest answers late."""
        pool, prompt = requirements.pool, requirements.prompt
        profile = self._pool_profiles.get(pool)
        engine = profile.engine_profile if profile else None
        slots = engine.slots if engine else 0
        all_bytes = sum(requirements.input_bytes.values())
        candidates = [
            engine_choice.Candidate(
                name,
                self._engine_load(pool, _run_of(name, endpoint)),
                piece_queue.REMOTE_S_PER_BYTE
                * (
                    all_bytes
                    - requirements.input_bytes.get(endpoint.data_centre, 0)
                ),
                now < endpoint.suspect_until,
                slots,
            )
            for name, endpoint in usable.items()
        ]
        left_s = requirements.objective_at - now
        chosen = engine_choice.choose(candidates, prompt, left_s, now)
        units = chosen.load.uncached_tokens(prompt, now) / TOKENS_PER_UNIT
        lease = self._lease(
            requirements,
            usable[chosen.name],
            chosen.name,
            max(0.1, units),
            now,
        )
        backlog_s = chosen.load.backlog_s(now)
        request_id = requirements.request_id
        expected_s = chosen.load.add_prompt(request_id, prompt, now)
        self._placed[request_id] = chosen.load
        if len(self._placed) > _MAX_PLACED:
            del self._placed[next(iter(self._placed))]
        state_log.log_decision(
            "engine proposed",
            request_id=request_id,
            endpoint=chosen.name,
            backlog_ms=round(1000 * backlog_s),
            expected_ms=round(1000 * expected_s),
            left_ms=round(1000 * left_s),
            uncached_tokens=round(TOKENS_PER_UNIT * units),
            output_ms=round(1000 * prompt.output_s),
            running=chosen.load.running(),
        )
        return lease

    def _engine_load(
        self, pool: str, run: endpoint_state.EndpointRun
    ) -> engine_load.EngineLoad:
        loads = self._engine_loads.setdefault(pool, {})
        if run not in loads:
            profile = self._pool_profiles.get(pool)
            engine = profile.engine_profile if profile else None
            speed = self._read_speeds.setdefault(pool, engine_load.ReadSpeed())
            loads[run] = engine_load.EngineLoad(
                speed, engine.memory_tokens if engine else 0
            )
        return loads[run]

    def record_placed(self, placed: stage_graph.PlacedRequest) -> None:
        """Records what became of a prompt that was placed by its cost."""
        load = self._placed.get(placed.request_id)
        if load is None:
            return
        if placed.has_first_event:
            load.record_first_event(placed.request_id, self._clock.monotonic())
        if placed.has_ended:
            load.record_end(placed.request_id)
            del self._placed[placed.request_id]

    def _pick_by_wait(
        self, usable: dict[str, endpoint_state.Endpoint], now: float
    ) -> str:
        default_s = endpoint_state.mean_latency_s(list(usable.values()), now)
        views = [
            endpoint.view(now, default_s)._replace(key=name)
            for name, endpoint in usable.items()
        ]
        chosen = choice.choose(views, self._rng)
        if chosen is None:
            chosen = min(views, key=lambda view: view.in_flight / view.limit)
        return chosen.key


def _run_of(
    name: str, endpoint: endpoint_state.Endpoint
) -> endpoint_state.EndpointRun:
    return endpoint_state.EndpointRun(name, endpoint.incarnation)


def _affinity_endpoint(names: Iterable[str], shared: bytes) -> str:
    """Returns the endpoint with the highest hash, the same on every host."""
    return max(names, key=lambda name: zlib.crc32(shared + name.encode()))
