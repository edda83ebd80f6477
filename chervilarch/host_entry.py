"""Keeps this host's entry in the platform's store, for hosts that start.

A restore of the store from an older copy may lose the entry, so it is written
again after each.
"""

import random

from chervilarch import loop as loops
from chervilarch import state_log, store, tasks
from chervilarch.futures import Future

_STORE_TIMEOUT_S = 1.5
_RETRY_S = 1.0


class HostEntry:
    """Writes the entry at the start and after each restore of the store.

    Attributes:
        written: resolves once the entry was written for the first time.
    """

    def __init__(
        self,
        loop: loops.Loop,
        source: store.Store,
        name: str,
        value: bytes,
        rng: random.Random,
    ):
        """Creates the writer; nothing is written before `start`.

        Args:
            loop: the event loop.
            source: the platform's store.
            name: key of the entry.
            value: content of the entry.
            rng: spreads the writes of all hosts over time after a restore.
        """
        self._loop = loop
        self._store = source
        self._name = name
        self._value = value
        self._rng = rng
        self._restored: Future = Future()
        self.written: Future = Future()

    def start(self) -> None:
        """Begins to write the entry."""
        self._store.eras.add_listener(self._on_restore)
        tasks.Task(self._run())

    def _on_restore(self, era: int) -> None:
        restored, self._restored = self._restored, Future()
        tasks.resolve(restored, None)

    def _run(self) -> tasks.Coroutine[None]:
        while True:
            restored = self._restored
            error = yield self._store.put(
                store.Topic.ROUTERS, self._name, self._value, _STORE_TIMEOUT_S
            )
            if error is None:
                tasks.resolve(self.written, None)
                state_log.log_change(
                    "host entry written", era=self._store.eras.era
                )
                # A restore while the write was under way counts too.
                yield restored
                delay_s = self._rng.uniform(0.0, store.REWRITE_SPREAD_S)
                yield tasks.sleep(self._loop, delay_s)
            else:
                yield tasks.sleep(self._loop, _RETRY_S)
