"""Keeps the versions that began streams in the platform's store.

Written only while a pool has endpoints of several versions: a host that has
just started, as all may have at once, learns there at which version a stream
that is taken up may go on. Hosts read the records only when they need one.

A restore of the store from an older copy loses records. Each host writes its
own ones again; a stream whose record is lost counts as unknown.
"""

import collections
import hashlib
import random
from collections.abc import Callable
from typing import NamedTuple

import msgspec

from chervilarch import clocks, decoding, guards, state_log, store, tasks
from chervilarch import loop as loops
from chervilarch.futures import Future

# How long records count. No stream is taken up later.
RETENTION_S = 60.0
_MAX_RECORDS = 100_000
_STORE_TIMEOUT_S = 1.0
_RETRY_S = 0.25
# Appends a second of all hosts together. A partition of the store takes 500.
_APPENDS_PER_S = 400.0
_KEY_BYTES = 10


class StreamRecord(NamedTuple):
    """What is recorded of a stream.

    Attributes:
        pool: pool of its engine.
        version: version of the software that began it.
        begun_at: when it began, in Unix seconds.
    """

    pool: str
    version: str
    begun_at: float


class _Unacknowledged(NamedTuple):
    value: bytes
    fut: Future


class StreamRecords:
    """Writes and reads the records of streams."""

    def __init__(
        self,
        loop: loops.Loop,
        source: store.Store,
        clock: clocks.Clock,
        rng: random.Random,
        host_count: Callable[[], int],
    ):
        """Creates the records; nothing is read or written before a use.

        Args:
            loop: the event loop.
            source: the platform's store.
            clock: its time of day dates the records.
            rng: spreads the writes of all hosts after a restore.
            host_count: returns the number of hosts, which share the appends.
        """
        self._loop = loop
        self._store = source
        self._clock = clock
        self._rng = rng
        self._host_count = host_count
        self._own: dict[str, StreamRecord] = {}
        self._known: collections.OrderedDict[str, StreamRecord] = (
            collections.OrderedDict()
        )
        self._offset = 0
        self._unwritten: dict[str, _Unacknowledged] = {}
        self._is_writing = False
        source.eras.add_listener(self._on_restore)

    def write(self, stream_id: str, pool: str, version: str) -> Future:
        """Records a stream; the future resolves when the store has it."""
        key = _key(stream_id)
        record = StreamRecord(pool, version, self._clock.wall())
        self._own[key] = record
        self._forget_old(self._own)
        return self._queue(key, record)

    def _queue(self, key: str, record: StreamRecord) -> Future:
        waiting = self._unwritten.get(key)
        fut = waiting.fut if waiting else Future()
        self._unwritten[key] = _Unacknowledged(
            msgspec.json.encode(tuple(record)), fut
        )
        if not self._is_writing:
            self._is_writing = True
            tasks.Task(self._write_all())
        return fut

    def _write_all(self) -> tasks.Coroutine[None]:
        while self._unwritten:
            batch = dict(self._unwritten)
            era = self._store.eras.era
            error = yield self._store.append(
                store.Topic.STREAMS,
                [(key, entry.value) for key, entry in batch.items()],
                _STORE_TIMEOUT_S,
            )
            if error is not None:
                self._drop_old_unwritten()
                yield tasks.sleep(self._loop, _RETRY_S)
                continue
            if era not in (None, self._store.eras.era):
                # The write was under way in a restore and may be lost.
                continue
            for key, entry in batch.items():
                if self._unwritten.get(key) is entry:
                    del self._unwritten[key]
                tasks.resolve(entry.fut, None)
            pause_s = max(1, self._host_count()) / _APPENDS_PER_S
            yield tasks.sleep(self._loop, pause_s)
        self._is_writing = False

    def _drop_old_unwritten(self) -> None:
        """Gives up records of streams that nobody takes up any more."""
        for key in list(self._unwritten):
            if key not in self._own:
                tasks.resolve(self._unwritten.pop(key).fut, None)
        self._forget_old(self._own)

    def find(
        self, stream_id: str
    ) -> tasks.Coroutine["StreamRecord | store.StoreError | None"]:
        """Returns a stream's record as of now, None if the store has none."""
        key = _key(stream_id)
        if key in self._known:
            return self._known[key]
        error = yield from self._read_new()
        if key in self._known:
            return self._known[key]
        return error

    def has_records(self, pool: str, span_s: float) -> bool:
        """Returns whether a known stream of a pool began in the last time."""
        oldest = self._clock.wall() - span_s
        return any(
            record.pool == pool and record.begun_at >= oldest
            for record in (*self._known.values(), *self._own.values())
        )

    def _read_new(self) -> tasks.Coroutine[store.StoreError | None]:
        """Reads up to the end that the store has when it is asked."""
        while True:
            offset = self._offset
            page = yield self._store.read_changes(
                store.Topic.STREAMS, offset, 0.0
            )
            if self._offset < offset:
                # A restore has given out the offsets again meanwhile.
                continue
            if isinstance(page, store.StoreError):
                if page.is_dropped and page.first > offset:
                    self._offset = max(self._offset, page.first)
                    continue
                return page
            for record in page.records:
                guards.call(self._apply, record)
            read_to = offset + len(page.records)
            self._offset = max(self._offset, read_to)
            if read_to >= page.end or not page.records:
                return None

    def _apply(self, record: store.Record) -> None:
        decoded = decoding.attempt(_decode, record.value)
        if isinstance(decoded, decoding.Unreadable):
            state_log.log_fault(
                "stream record unreadable", reason=decoded.reason
            )
            return
        self._known.pop(record.key, None)
        self._known[record.key] = decoded
        self._forget_old(self._known)

    def _forget_old(self, records: dict[str, StreamRecord]) -> None:
        oldest = self._clock.wall() - RETENTION_S
        while records:
            key, record = next(iter(records.items()))
            if record.begun_at >= oldest and len(records) <= _MAX_RECORDS:
                return
            del records[key]

    def _on_restore(self, era: int) -> None:
        # Offsets are given out again.
        self._offset = 0
        self._forget_old(self._own)
        if self._own:
            delay_s = self._rng.uniform(0.0, store.REWRITE_SPREAD_S)
            self._loop.call_later(delay_s, self._write_again)

    def _write_again(self) -> None:
        for key, record in self._own.items():
            self._queue(key, record)


def _decode(value: bytes) -> StreamRecord:
    return StreamRecord(
        *msgspec.json.decode(value, type=tuple[str, str, float])
    )


def _key(stream_id: str) -> str:
    """Returns the key of a stream: the caller's ids have any length."""
    digest = hashlib.blake2b(stream_id.encode(), digest_size=_KEY_BYTES)
    return digest.hexdigest()
