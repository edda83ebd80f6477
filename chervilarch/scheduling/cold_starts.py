"""Decides how many requests a host may send to endpoints that are cold.

Load pattern: endpoints restart under full load, one or a whole pool at once, or
a data centre is used again after an evacuation. Every host finds them idle and
sends its next requests there, in the same second, while they take only a few.

Hosts keep the bound without asking each other, so that it also holds while they
can't reach each other. All of them together use half of it: each has an equal
share, rounded down, or if that is less than one request a second, the first
hosts by a hash have one each and the others none. The other half covers hosts
that disagree on which hosts exist, two sides of a partition that know only
themselves, and requests that were delayed on their way.
"""

import collections
import zlib
from collections.abc import Callable, Hashable, Iterable, Mapping
from typing import NamedTuple, Protocol

# Share of the bound that the hosts use. The rest is the tolerance described
# above.
_USED_SHARE = 0.5
# Coordinators that may call one pool's workers at a time. Usually only one
# does, but a network partition makes more hosts coordinators.
_MAX_COORDINATORS = 3
# The bound is per second. Two requests of one host are told apart by a tenth
# more, as the first may be delayed on its way longer than the second.
WINDOW_S = 1.1
# A host that starts uses no share before the hosts that it knows haven't become
# more for this long: it could take a large fleet for a small one. Gossip passes
# the list of hosts on within about 0.1 s, and the store's list is read within
# 1.5 s.
SETTLE_S = 2.0
# Hosts that are neither alive nor said to have left count this long after
# gossip forgets them: they may be cut off and serve on.
HOST_MEMORY_S = 3600.0
MAX_HOSTS = 1024
# Other hosts hear of the end of a cold time when it is read. Without that, it
# lasts this much longer than the record says: other hosts aren't told of a cold
# time that becomes longer by less than `NEWS_TOLERANCE_S`.
NEWS_TOLERANCE_S = 2.5
_END_MARGIN_S = 3.0
# An endpoint writes its record about every 1.2 s, so one that is read this long
# after an endpoint was tried again was written since it was unreachable.
_RECORD_PERIOD_S = 1.5
# The host that reads the store passes such a record on, once, so that the other
# hosts read it too. They noticed at other times and try again up to 4 s later,
# the longest ejection.
_SHARE_DELAY_S = _RECORD_PERIOD_S + 4.0
_MAX_WARM_UPS = 1024


class Run(Hashable, Protocol):
    """One run of an endpoint; `key` is its id."""

    key: str


class Place(NamedTuple):
    """Where an endpoint is used.

    Attributes:
        pool: its pool.
        data_centre: its data centre.
    """

    pool: str
    data_centre: str


class PoolBound(NamedTuple):
    """Bound on the requests to a cold endpoint of a pool.

    Attributes:
        cold_start_s: how long an endpoint is cold after a start, in seconds.
        per_s: most requests in any one second, over all hosts.
    """

    cold_start_s: float
    per_s: float


class Report(NamedTuple):
    """What an endpoint's record says.

    Attributes:
        sequence: increases with each record of one run.
        remaining_s: how much longer it is cold; 0.0 if it is warm.
    """

    sequence: int
    remaining_s: float


class ColdPeriod(NamedTuple):
    """A time for which endpoints count as cold.

    Attributes:
        name: id of the endpoint, or name of the data centre.
        reason: why they count as cold.
        cold_s: seconds from now.
        share: requests a second that this host may send to the endpoint, None
            for a data centre.
        hosts: number of hosts that may send it requests.
    """

    name: str
    reason: str
    cold_s: float
    share: int | None
    hosts: int


class _Reported(NamedTuple):
    """State of a run by its last record.

    Attributes:
        sequence: that of the record.
        until: monotonic time until which the run is cold.
    """

    sequence: int
    until: float


_NO_REPORT = _Reported(-1, float("-inf"))


class _SendLog:
    """Times of the last sends to each endpoint.

    They are kept by endpoint, not by run: a request that was sent for one run
    may reach the next one.
    """

    def __init__(self) -> None:
        self._times: dict[str, collections.deque[float]] = {}

    def record(self, run: Run, now: float) -> None:
        times = self._times.setdefault(run.key, collections.deque())
        while times and times[0] + WINDOW_S <= now:
            times.popleft()
        times.append(now)

    def withdraw(self, run: Run, at: float) -> None:
        """Removes a send that was recorded at some time, if it is kept."""
        times = self._times.get(run.key, ())
        if at in times:
            times.remove(at)

    def free_at(self, run: Run, share: int, now: float) -> float:
        """Returns from when a run may get a request, at `share` a window."""
        times = [t for t in self._times.get(run.key, ()) if t + WINDOW_S > now]
        return times[-share] + WINDOW_S if len(times) >= share else now

    def keep(self, runs: Mapping[Run, Place]) -> None:
        """Forgets the endpoints of other runs."""
        keys = {run.key for run in runs}
        self._times = {k: t for k, t in self._times.items() if k in keys}


class ColdStarts:
    """Which endpoints are cold, and what this host may send them.

    Times are monotonic seconds. Pools without a bound have no cold endpoints.
    """

    def __init__(
        self, on_cold: Callable[[ColdPeriod], None] = lambda period: None
    ):
        """Creates it without endpoints, pools and hosts.

        Args:
            on_cold: called when endpoints of a pool with a bound become cold.
        """
        self._on_cold = on_cold
        self._places: dict[Run, Place] = {}
        self._bounds: dict[str, PoolBound] = {}
        self._reports: dict[Run, _Reported] = {}
        # When runs that were unreachable are tried again.
        self._retries: dict[Run, float] = {}
        # The same, until a record was passed on to other hosts.
        self._unshared: dict[Run, float] = {}
        # When data centres were last put to use again.
        self._warm_ups: dict[str, float] = {}
        self._own = ""
        # When each known host was last named.
        self._hosts: dict[str, float] = {}
        # Those that had left when they were last named.
        self._left: frozenset[str] = frozenset()
        self._settled_at: float | None = None
        self._ranks: dict[Run, int] = {}
        self._calls = _SendLog()
        self._piece_calls = _SendLog()

    def set_endpoints(self, places: Mapping[Run, Place]) -> None:
        """Replaces the listed runs; what is known of others is forgotten."""
        self._places = dict(places)
        self._reports = _only(self._reports, places)
        self._retries = _only(self._retries, places)
        self._unshared = _only(self._unshared, places)
        self._ranks = _only(self._ranks, places)
        self._calls.keep(places)
        self._piece_calls.keep(places)

    def set_pools(self, bounds: Mapping[str, PoolBound]) -> None:
        """Replaces the bounds of pools that have one."""
        self._bounds = dict(bounds)

    def set_hosts(
        self,
        own: str,
        names: Iterable[str],
        now: float,
        left: Iterable[str] = (),
    ) -> None:
        """Sets the hosts that may be alive.

        Args:
            own: name of this host.
            names: all known hosts, also dead ones.
            now: monotonic time.
            left: those of them that said that they end; they don't count for
                longer than they are named.
        """
        known = {own, *names}
        gone = (self._left - known) | frozenset(left)
        self._left = frozenset(left)
        before = self._hosts.keys() | ()
        hosts = {
            name: at
            for name, at in self._hosts.items()
            if name not in gone and at + HOST_MEMORY_S > now
        }
        hosts.update(dict.fromkeys(known, now))
        for name in list(hosts)[: max(0, len(hosts) - MAX_HOSTS)]:
            del hosts[name]
        self._hosts = hosts
        has_grown = not hosts.keys() <= before
        if self._settled_at is None or (has_grown and now < self._settled_at):
            self._settled_at = now + SETTLE_S
        if own != self._own or hosts.keys() != before:
            self._own = own
            self._ranks.clear()

    def record_report(
        self, run: Run, place: Place, report: Report, now: float
    ) -> bool:
        """Applies a record of a run, read now.

        Returns:
            Whether other hosts may need it, as the run was unreachable.
        """
        self._places.setdefault(run, place)
        known = self._reports.get(run, _NO_REPORT)
        if report.sequence <= known.sequence:
            return False
        retry_at = self._retries.get(run)
        if retry_at is not None and now >= retry_at + _RECORD_PERIOD_S:
            del self._retries[run]
        until = float("-inf")
        if report.remaining_s > 0.0:
            until = now + report.remaining_s + _END_MARGIN_S
        self._reports[run] = _Reported(report.sequence, until)
        if until > now and known.until <= now:
            self._notify(run, "its record says so", report.remaining_s, now)
        if now < self._unshared.get(run, now + 1.0) + _SHARE_DELAY_S:
            return False
        del self._unshared[run]
        return True

    def note_unreachable(self, run: Run, until: float) -> None:
        """Records that a run couldn't be reached; it may have restarted.

        Args:
            run: the run.
            until: when it is tried again.
        """
        was_cold = self.is_cold(run, until)
        bound = self._bound(run)
        if bound is None:
            return
        self._retries[run] = max(until, self._retries.get(run, until))
        self._unshared[run] = self._retries[run]
        if bound.cold_start_s and not was_cold:
            self._notify(run, "it was unreachable", bound.cold_start_s, until)

    def begin_warm_up(self, data_centre: str, now: float) -> None:
        """Treats the endpoints of a data centre as started now."""
        self._warm_ups.pop(data_centre, None)
        self._warm_ups[data_centre] = now
        if len(self._warm_ups) > _MAX_WARM_UPS:
            del self._warm_ups[next(iter(self._warm_ups))]
        pools = {p.pool for p in self._places.values() if p[1] == data_centre}
        times_s = [
            bound.cold_start_s
            for pool, bound in self._bounds.items()
            if pool in pools
        ]
        if any(times_s):
            self._on_cold(
                ColdPeriod(
                    data_centre,
                    "its data centre is used again",
                    max(times_s),
                    None,
                    len(self._hosts),
                )
            )

    def is_cold(self, run: Run, now: float) -> bool:
        """Returns whether a run counts as cold and its pool has a bound."""
        bound = self._bound(run)
        return bound is not None and self._cold_until(run, bound) > now

    def wait_s(self, run: Run, now: float) -> float:
        """Returns for how long this host may send a run no request."""
        bound = self._bound(run)
        if bound is None:
            return 0.0
        cold_until = self._cold_until(run, bound)
        if cold_until <= now:
            return 0.0
        if not self._has_settled(now):
            settled_at = self._settled_at or now + SETTLE_S
            return min(cold_until, settled_at) - now
        share = self._share(run, bound)
        if not share:
            return cold_until - now
        return min(cold_until, self._calls.free_at(run, share, now)) - now

    def per_window(self, run: Run, now: float) -> int:
        """Returns how many requests this host may send a run in a window.

        Returns:
            Requests in `WINDOW_S`, 0 for a run that isn't cold.
        """
        if not self.is_cold(run, now) or not self._has_settled(now):
            return 0
        return self._share(run, self._bounds[self._places[run].pool])

    def record_send(self, run: Run, now: float) -> None:
        """Records a request of this host to a run, which may be warm."""
        if self._bound(run) is not None:
            self._calls.record(run, now)

    def withdraw_send(self, run: Run, at: float) -> None:
        """Removes the record, made at some time, of an unsent request."""
        self._calls.withdraw(run, at)

    def piece_wait_s(self, run: Run, now: float) -> float:
        """Returns for how long this coordinator may call a run for no piece."""
        bound = self._bound(run)
        if bound is None:
            return 0.0
        cold_until = self._cold_until(run, bound)
        if cold_until <= now:
            return 0.0
        if self._settled_at is None:
            # Hosts that don't know of each other are all coordinators.
            return min(cold_until - now, SETTLE_S)
        share = int(_USED_SHARE * bound.per_s / _MAX_COORDINATORS)
        if not share:
            return cold_until - now
        return min(cold_until, self._piece_calls.free_at(run, share, now)) - now

    def record_piece_send(self, run: Run, now: float) -> None:
        """Records a call for pieces to a run, which may be warm."""
        if self._bound(run) is not None:
            self._piece_calls.record(run, now)

    def _bound(self, run: Run) -> PoolBound | None:
        place = self._places.get(run)
        return self._bounds.get(place.pool) if place is not None else None

    def _cold_until(self, run: Run, bound: PoolBound) -> float:
        until = self._reports.get(run, _NO_REPORT).until
        # Usually there are none of these; this runs for each endpoint that a
        # request may be sent to.
        if self._retries or self._warm_ups:
            began_at = max(
                self._retries.get(run, float("-inf")),
                self._warm_ups.get(
                    self._places[run].data_centre, float("-inf")
                ),
            )
            until = max(until, began_at + bound.cold_start_s)
        return until

    def _has_settled(self, now: float) -> bool:
        return self._settled_at is not None and now >= self._settled_at

    def _share(self, run: Run, bound: PoolBound) -> int:
        """Returns how many requests a second this host may send to a run."""
        used = _USED_SHARE * bound.per_s
        share = used / max(1, len(self._hosts))
        if share >= 1.0:
            return int(share)
        return int(self._rank(run) < int(used))

    def _rank(self, run: Run) -> int:
        """Returns how many hosts come before this one at an endpoint."""
        rank = self._ranks.get(run)
        if rank is None:
            own = _order(self._own, run)
            rank = sum(_order(name, run) < own for name in self._hosts)
            self._ranks[run] = rank
        return rank

    def _notify(self, run: Run, reason: str, cold_s: float, at: float) -> None:
        bound = self._bound(run)
        if bound is None:
            return
        share = self._share(run, bound) if self._has_settled(at) else 0
        self._on_cold(
            ColdPeriod(run.key, reason, cold_s, share, len(self._hosts))
        )


def bound_per_s(cold_per_s: float, over: float, slack: float) -> float:
    """Returns the most requests that a cold endpoint may get in a second.

    Args:
        cold_per_s: requests a second that it can take.
        over: factor on that figure.
        slack: requests in addition.
    """
    return cold_per_s * over + slack


def _order(host: str, run: Run) -> tuple[int, str]:
    return zlib.crc32(f"cold {host} {run.key}".encode()), host


def _only(known: dict, runs: Mapping[Run, Place]) -> dict:
    return {run: value for run, value in known.items() if run in runs}
