"""Decides whether work waits for a busy worker near its inputs.

Load pattern: every piece of a stage fetches all results of the stage before, so
work in another data centre multiplies the bytes between them. Under load some
worker elsewhere is nearly always free, and work that always takes it moves most
of its inputs. Work that always waits leaves workers idle; so what already waits
for a worker counts as a longer wait there.
"""

import collections


class LocalWaits:
    """Pieces that wait for busy workers, in one round of assignments."""

    def __init__(self, batch: int, call_s: float):
        """Creates a round in which nothing waits.

        Args:
            batch: most pieces of a call.
            call_s: time of a full call in seconds.
        """
        self._batch = batch
        self._call_s = call_s
        self._pieces: collections.Counter[str] = collections.Counter()

    def add(self, worker: str, count: int) -> None:
        """Counts pieces that wait for a worker."""
        self._pieces[worker] += count

    def delay_s(self, worker: str, slowness: float) -> float:
        """Returns the time of the full calls that wait for a worker.

        Args:
            worker: id of the worker.
            slowness: time of its calls, as a multiple of the usual one.
        """
        calls = self._pieces[worker] // self._batch
        return calls * self._call_s * slowness
