"""Which endpoint gets the final call of a request."""

import itertools
import random
import zlib
from collections.abc import Iterable
from typing import NamedTuple

from chervilarch import (
    choice,
    clocks,
    endpoint_list,
    endpoint_state,
    piece_queue,
    state_log,
)

# Prompt tokens of one work unit at a model engine.
TOKENS_PER_UNIT = 1000.0
# An unknown endpoint is taken for this fast, in seconds a work unit.
_UNKNOWN_UNIT_S = 0.05
# A stream that is under way slows a new prompt about as much as this much
# of one, in work units.
_RUNNING_UNITS = 0.2
# A suspected endpoint counts as so many times slower.
_SUSPICION = 4.0


class Requirements(NamedTuple):
    """What a final call needs.

    Attributes:
        pool: where it may go.
        is_prompt: whether it goes to a model engine.
        shared: names the part of the prompt that others share.
        shared_tokens: tokens of that part.
        own_tokens: tokens that no endpoint has read.
        finish_by: monotonic deadline in seconds.
        near: data centres that hold its inputs, with their bytes.
        advised: id of an endpoint that is taken if it is sound.
    """

    pool: str
    is_prompt: bool = False
    shared: bytes = b""
    shared_tokens: int = 0
    own_tokens: int = 0
    finish_by: float = float("inf")
    near: dict[str, int] = {}
    advised: str = ""


class Lease(NamedTuple):
    """An endpoint that was chosen for one call.

    Attributes:
        listing: the endpoint.
        slot: its part in the endpoint's load.
    """

    listing: endpoint_list.Listing
    slot: endpoint_state.Slot


class Placement:
    """Load and health of the endpoints of final calls, as seen here."""

    def __init__(
        self, data_centre: str, clock: clocks.Clock, rng: random.Random
    ):
        self._data_centre = data_centre
        self._clock = clock
        self._rng = rng
        self._numbers = itertools.count()
        self._pools: dict[str, dict[str, endpoint_state.Endpoint]] = {}
        self._listings: dict[str, endpoint_list.Listing] = {}

    def set_endpoints(
        self, listed: dict[str, dict[str, endpoint_list.Listing]]
    ) -> None:
        """Takes the endpoints that may get work, by pool and id."""
        pools: dict[str, dict[str, endpoint_state.Endpoint]] = {}
        self._listings = {}
        for pool, listings in listed.items():
            old = self._pools.get(pool, {})
            kept = pools.setdefault(pool, {})
            for name, listing in listings.items():
                self._listings[name] = listing
                endpoint = old.get(name)
                entry = listing.entry
                if (
                    endpoint is None
                    or endpoint.incarnation != entry.incarnation
                ):
                    is_local = entry.data_centre == self._data_centre
                    endpoint = endpoint_state.Endpoint(entry, is_local)
                kept[name] = endpoint
        self._pools = pools

    def affinity_data_centre(self, pool: str, shared: bytes) -> str:
        """Returns where the home of a shared prompt is, "" if unknown."""
        endpoints = self._pools.get(pool)
        if not endpoints:
            return ""
        return endpoints[_home(endpoints, shared)].data_centre

    def pick(self, need: Requirements, tried: set[str]) -> Lease | None:
        """Chooses an endpoint that wasn't tried; None if there is none."""
        now = self._clock.monotonic()
        names = {
            name: endpoint
            for name, endpoint in self._pools.get(need.pool, {}).items()
            if name not in tried
        }
        # With all endpoints ejected, any of them is better than none.
        usable = {
            name: endpoint
            for name, endpoint in names.items()
            if endpoint.is_open(now)
        } or names
        if not usable:
            return None
        advised = usable.get(need.advised)
        if advised is not None and now >= advised.suspect_until:
            name = need.advised
            units = max(0.1, need.own_tokens / TOKENS_PER_UNIT)
        elif need.is_prompt:
            name, units = self._pick_engine(need, usable, now)
        else:
            name, units = self._pick_plain(usable, now), 1.0
        endpoint = usable[name]
        work = endpoint_state.Work(
            need.pool, units, finish_by=need.finish_by, is_stream=need.is_prompt
        )
        slot = endpoint_state.Slot(
            next(self._numbers),
            endpoint_state.EndpointId(name, endpoint.incarnation),
            work,
            now,
        )
        slot.expected_s = (endpoint.latency_s(now) or _UNKNOWN_UNIT_S) * units
        endpoint.slots[slot.number] = slot
        endpoint.units += units
        return Lease(self._listings[name], slot)

    def note_first_event(self, lease: Lease) -> None:
        """Learns from the first event of a stream; it goes on running."""
        endpoint = self._endpoint(lease)
        if endpoint is None:
            return
        now = self._clock.monotonic()
        endpoint.note_success(lease.slot, now - lease.slot.started_at, now)
        rest = min(lease.slot.work.units, _RUNNING_UNITS)
        endpoint.units -= lease.slot.work.units - rest
        lease.slot.work = lease.slot.work._replace(units=rest)

    def finish(self, lease: Lease, succeeded: bool) -> None:
        """Gives a slot back with how the call went."""
        endpoint = self._give_back(lease)
        if endpoint is None:
            return
        now = self._clock.monotonic()
        if not succeeded:
            self._note_ejection(endpoint, lease, endpoint.note_failure(now))
        elif not lease.slot.work.is_stream:
            endpoint.note_success(lease.slot, now - lease.slot.started_at, now)

    def finish_late(self, lease: Lease) -> None:
        """Gives back the slot of a call that got no answer in its time."""
        endpoint = self._give_back(lease)
        if endpoint is not None:
            now = self._clock.monotonic()
            endpoint.suspect(now)
            self._note_ejection(endpoint, lease, endpoint.note_failure(now))

    def finish_unreachable(self, lease: Lease) -> None:
        """Gives back the slot of a call that found no one at the address."""
        endpoint = self._give_back(lease)
        if endpoint is not None:
            now = self._clock.monotonic()
            self._note_ejection(endpoint, lease, endpoint.note_unreachable(now))

    def abandon(self, lease: Lease, is_slow: bool = False) -> None:
        """Gives a slot back with nothing learnt but perhaps slowness."""
        endpoint = self._give_back(lease)
        if endpoint is not None and is_slow:
            endpoint.suspect(self._clock.monotonic())

    def _endpoint(self, lease: Lease) -> endpoint_state.Endpoint | None:
        name, incarnation = lease.slot.endpoint
        endpoint = self._pools.get(lease.slot.work.pool, {}).get(name)
        if endpoint is None or endpoint.incarnation != incarnation:
            return None
        return endpoint if lease.slot.number in endpoint.slots else None

    def _give_back(self, lease: Lease) -> endpoint_state.Endpoint | None:
        endpoint = self._endpoint(lease)
        if endpoint is not None:
            del endpoint.slots[lease.slot.number]
            endpoint.units -= lease.slot.work.units
        return endpoint

    def _note_ejection(
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
        need: Requirements,
        usable: dict[str, endpoint_state.Endpoint],
        now: float,
    ) -> tuple[str, float]:
        """Returns the engine with the least time to the first token.

        The shared part of a prompt is taken to be cached at its home, the
        endpoint with the highest hash, which is the same on every host.
        """
        home = _home(usable, need.shared)
        known = [e.latency_s(now) for e in usable.values() if e.latency_s(now)]
        default_s = sum(known) / len(known) if known else _UNKNOWN_UNIT_S
        own = need.own_tokens / TOKENS_PER_UNIT
        shared = need.shared_tokens / TOKENS_PER_UNIT

        all_bytes = sum(need.near.values())

        def cost(name: str) -> float:
            endpoint = usable[name]
            unit_s = endpoint.latency_s(now) or default_s
            missing = 0.0 if name == home else shared
            suspicion = _SUSPICION if now < endpoint.suspect_until else 1.0
            far = all_bytes - need.near.get(endpoint.data_centre, 0)
            return piece_queue.FAR_S_PER_BYTE * far + suspicion * unit_s * (
                own + missing + endpoint.units
            )

        name = min(usable, key=cost)
        missing = 0.0 if name == home else shared
        return name, max(0.1, own + missing)

    def _pick_plain(
        self, usable: dict[str, endpoint_state.Endpoint], now: float
    ) -> str:
        default_s = endpoint_state.mean_latency_s(list(usable.values()), now)
        views = [
            endpoint.view(now, default_s)._replace(address=name)
            for name, endpoint in usable.items()
        ]
        chosen = choice.choose(views, self._rng)
        if chosen is None:
            chosen = min(views, key=lambda view: view.in_flight / view.limit)
        return chosen.address


def _home(names: Iterable[str], shared: bytes) -> str:
    """Returns the endpoint with the highest hash, the same on every host."""
    return max(names, key=lambda name: zlib.crc32(shared + name.encode()))
