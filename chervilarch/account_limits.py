"""Enforces the accounts' request limits, by each host's share of them.

Only the router uses it; threads share one object.
"""

import threading
from typing import NamedTuple

from chervilarch import clocks, gossip, messages, shares

# How often demand is counted and announced.
_PERIOD_S = 1.0
# Weight of the newest period in the moving average of an account's demand.
_SMOOTHING = 0.5
# The demand of a peer that was heard longer ago than this isn't used.
_PEER_MAX_AGE_S = 10.0
# An account with fewer requests a second than this is forgotten.
_MIN_DEMAND_PER_S = 0.01


class _Demand(NamedTuple):
    """Demand of an account at this host."""

    count: int
    per_second: float
    bucket: shares.Bucket


class AccountLimits:
    """Admits requests within each account's limit."""

    def __init__(self, clock: clocks.Clock, fleet: gossip.GossipController):
        self._clock = clock
        self._fleet = fleet
        self._lock = threading.Lock()
        self._demands: dict[str, _Demand] = {}
        self._stop = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="account-limits", daemon=True
        )

    def start(self) -> None:
        """Starts measuring demand."""
        self._thread.start()

    def stop(self) -> None:
        """Stops measuring demand."""
        self._stop.set()

    def admit(self, account: str, limit_per_s: float) -> bool:
        """Counts a request; returns whether the account's share allows it."""
        now = self._clock.monotonic()
        rate = self._rate(account, limit_per_s)
        with self._lock:
            demand = self._demands.get(account)
            if demand is None:
                demand = _Demand(0, 0.0, shares.Bucket(max(1.0, rate), now))
            bucket, admitted = shares.take_token(demand.bucket, rate, now)
            self._demands[account] = _Demand(
                demand.count + 1, demand.per_second, bucket
            )
            return admitted

    def _rate(self, account: str, limit_per_s: float) -> float:
        demand = self._demands.get(account)
        own_rate = demand.per_second if demand else 0.0
        peer_rates = self._fleet.peer_rates(account, _PEER_MAX_AGE_S)
        hosts = self._fleet.live_count()
        return shares.host_rate(limit_per_s, own_rate, peer_rates, hosts)

    def _run(self) -> None:
        while not self._stop.wait(_PERIOD_S):
            self._fleet.set_rates(self._measure())

    def _measure(self) -> list[messages.AccountUse]:
        with self._lock:
            for account, demand in list(self._demands.items()):
                rate = _SMOOTHING * demand.count / _PERIOD_S
                rate += (1 - _SMOOTHING) * demand.per_second
                if rate < _MIN_DEMAND_PER_S:
                    del self._demands[account]
                else:
                    self._demands[account] = _Demand(0, rate, demand.bucket)
            return [
                messages.AccountUse(account, demand.per_second)
                for account, demand in self._demands.items()
            ]
