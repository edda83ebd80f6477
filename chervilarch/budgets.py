"""Retry and hedge budgets: extra attempts as a share of first attempts."""

import threading

RETRY_SHARE = 0.08
HEDGE_SHARE = 0.04
_MAX_SAVED = 10.0
# Of the allowed repeats this part is used; the rest covers what a window's
# edges and hosts that aren't known yet add.
_SAFE_PART = 0.4


class Budget:
    """A bucket that each first attempt fills by a share of a token."""

    def __init__(
        self,
        share: float,
        saved: float = _MAX_SAVED,
        max_saved: float = _MAX_SAVED,
    ):
        self._share = share
        self._saved = saved
        self._max_saved = max_saved
        self._lock = threading.Lock()

    def earn(self) -> None:
        """Counts a first attempt."""
        with self._lock:
            self._saved = min(self._max_saved, self._saved + self._share)

    def spend(self) -> bool:
        """Takes one extra attempt; False if none is left."""
        with self._lock:
            if self._saved < 1.0:
                return False
            self._saved -= 1.0
            return True


class PoolBudgets:
    """This host's part of the repeats that each pool may get.

    The bound holds for all hosts together, in any window. The share of first
    attempts adds up over hosts by itself; the fixed part is divided by the
    largest fleet that was seen, so that a partition doesn't double it.
    """

    def __init__(self, share: float, fixed: float, window_s: float):
        """Creates the budgets.

        Args:
            share: repeats allowed for each request.
            fixed: further repeats allowed in a window, by all hosts.
            window_s: length of the window in seconds.
        """
        self._share = _SAFE_PART * share
        self._fixed = _SAFE_PART * fixed
        self._window_s = window_s
        self._hosts = 1
        self._pools: dict[str, _PoolBudget] = {}

    def set_hosts(self, count: int) -> None:
        """Takes the number of live hosts."""
        self._hosts = max(self._hosts, count)

    def earn(self, pool: str) -> None:
        """Counts a request for a pool."""
        self._budget(pool).saved += self._share

    def spend(self, pool: str, now: float) -> bool:
        """Takes one repeat; False if none is left."""
        budget = self._budget(pool)
        most = self._fixed / self._hosts
        refilled = (now - budget.at) / self._window_s * most
        budget.saved = min(2 * most, budget.saved + refilled)
        budget.at = now
        if budget.saved < 1.0:
            return False
        budget.saved -= 1.0
        return True

    def _budget(self, pool: str) -> "_PoolBudget":
        if pool not in self._pools:
            self._pools[pool] = _PoolBudget(self._fixed / self._hosts)
        return self._pools[pool]


class _PoolBudget:
    def __init__(self, saved: float):
        self.saved = saved
        self.at = 0.0
