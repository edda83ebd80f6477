"""Controller of the accounts' limits: each host's share of a fleet's limit."""

import threading
from typing import NamedTuple

from chervilarch import clocks, gossip, messages, shares

_PERIOD_S = 1.0
_SMOOTHING = 0.5
_PEER_MAX_AGE_S = 10.0
_FORGET_BELOW = 0.01


class _Use(NamedTuple):
    """An account's demand on this host."""

    count: int
    per_second: float
    bucket: shares.Bucket


class AccountLimits:
    """Admits requests within each account's limit."""

    def __init__(self, clock: clocks.Clock, fleet: gossip.GossipController):
        self._clock = clock
        self._fleet = fleet
        self._lock = threading.Lock()
        self._uses: dict[str, _Use] = {}
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
        """Takes one request from the account's share on this host."""
        now = self._clock.monotonic()
        rate = self._rate(account, limit_per_s)
        with self._lock:
            use = self._uses.get(account)
            if use is None:
                use = _Use(0, 0.0, shares.Bucket(max(1.0, rate), now))
            bucket, admitted = shares.take(use.bucket, rate, now)
            self._uses[account] = _Use(use.count + 1, use.per_second, bucket)
            return admitted

    def _rate(self, account: str, limit_per_s: float) -> float:
        use = self._uses.get(account)
        own_rate = use.per_second if use else 0.0
        peer_rates = self._fleet.peer_rates(account, _PEER_MAX_AGE_S)
        hosts = self._fleet.live_count()
        return shares.host_rate(limit_per_s, own_rate, peer_rates, hosts)

    def _run(self) -> None:
        while not self._stop.wait(_PERIOD_S):
            self._fleet.set_uses(self._measure())

    def _measure(self) -> list[messages.AccountUse]:
        with self._lock:
            for account, use in list(self._uses.items()):
                rate = _SMOOTHING * use.count / _PERIOD_S
                rate += (1 - _SMOOTHING) * use.per_second
                if rate < _FORGET_BELOW:
                    del self._uses[account]
                else:
                    self._uses[account] = _Use(0, rate, use.bucket)
            return [
                messages.AccountUse(account, use.per_second)
                for account, use in self._uses.items()
            ]
