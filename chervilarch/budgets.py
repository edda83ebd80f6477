"""Retry and hedge budgets: extra attempts as a share of first attempts.

The router has one `Budget` for retries and one for hedges; the `PoolBudgets` of
the gateway pay for both.
"""

import threading

RETRY_SHARE = 0.08
HEDGE_SHARE = 0.04
_MAX_TOKENS = 10.0
# Share of the allowed extra attempts that is used; the rest covers the edges
# of a window and hosts that aren't known yet.
_SAFE_SHARE = 0.4


class Budget:
    """A token bucket that each first attempt refills by a share of a token."""

    def __init__(
        self,
        share: float,
        tokens: float = _MAX_TOKENS,
        max_tokens: float = _MAX_TOKENS,
    ):
        self._share = share
        self._tokens = tokens
        self._max_tokens = max_tokens
        self._lock = threading.Lock()

    def earn(self) -> None:
        """Counts a first attempt."""
        with self._lock:
            self._tokens = min(self._max_tokens, self._tokens + self._share)

    def spend(self) -> bool:
        """Spends one extra attempt; returns False if none is left."""
        with self._lock:
            if self._tokens < 1.0:
                return False
            self._tokens -= 1.0
            return True


class PoolBudgets:
    """This host's part of the extra attempts that each pool may get.

    The bound holds for all hosts together, in any window. The share of requests
    adds up over hosts by itself; the fixed part is divided by the largest
    number of hosts seen, so that a partition doesn't double it.
    """

    def __init__(self, share: float, fixed: float, window_s: float):
        """Creates the budgets.

        Args:
            share: extra attempts allowed for each request.
            fixed: further extra attempts allowed to all hosts in a window.
            window_s: length of the window in seconds.
        """
        self._share = _SAFE_SHARE * share
        self._fixed = _SAFE_SHARE * fixed
        self._window_s = window_s
        self._hosts = 1
        self._pools: dict[str, _PoolBudget] = {}

    def set_hosts(self, count: int) -> None:
        """Sets the number of hosts; only a higher one has an effect.

        The count includes hosts believed dead, as a host that is only cut off
        still spends its part.
        """
        self._hosts = max(self._hosts, count)

    def earn(self, pool: str) -> None:
        """Counts a request for a pool."""
        self._budget(pool).tokens += self._share

    def spend(self, pool: str, now: float) -> bool:
        """Spends one extra attempt; returns False if none is left."""
        budget = self._budget(pool)
        host_fixed = self._fixed / self._hosts
        refilled = (now - budget.refilled_at) / self._window_s * host_fixed
        budget.tokens = min(2 * host_fixed, budget.tokens + refilled)
        budget.refilled_at = now
        if budget.tokens < 1.0:
            return False
        budget.tokens -= 1.0
        return True

    def refund(self, pool: str) -> None:
        """Returns an extra attempt that was spent and not sent."""
        self._budget(pool).tokens += 1.0

    def _budget(self, pool: str) -> "_PoolBudget":
        if pool not in self._pools:
            self._pools[pool] = _PoolBudget(self._fixed / self._hosts)
        return self._pools[pool]


class _PoolBudget:
    def __init__(self, tokens: float):
        self.tokens = tokens
        self.refilled_at = 0.0
