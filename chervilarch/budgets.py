"""Retry and hedge budgets: extra attempts as a share of first attempts."""

import threading

RETRY_SHARE = 0.08
HEDGE_SHARE = 0.04
_MAX_SAVED = 10.0


class Budget:
    """A bucket that each first attempt fills by a share of a token."""

    def __init__(self, share: float, saved: float = _MAX_SAVED):
        self._share = share
        self._saved = saved
        self._lock = threading.Lock()

    def earn(self) -> None:
        """Counts a first attempt."""
        with self._lock:
            self._saved = min(_MAX_SAVED, self._saved + self._share)

    def spend(self) -> bool:
        """Takes one extra attempt; False if none is left."""
        with self._lock:
            if self._saved < 1.0:
                return False
            self._saved -= 1.0
            return True
