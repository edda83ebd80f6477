"""Keeps the versions that began streams in the platform's store.

A host that has just started, as all may have at once, learns there at which
version a stream that is taken up may go on. The topic holds the default version
of each pool and a record of each stream that began at another version. Hosts
read it only when they need it.

A restore of the store from an older copy loses records. Each host writes its
own ones again.
"""

import collections
import hashlib
import itertools
import random
from collections.abc import Callable
from typing import NamedTuple

import msgspec

from chervilarch import clocks, decoding, guards, state_log, store, tasks
from chervilarch import loop as loops
from chervilarch.futures import Future
from chervilarch.scheduling import default_version

# How long records count and are kept. No stream is taken up later.
RETENTION_S = 60.0
# Records of hosts that have ended are deleted by others after this time.
_FOREIGN_RETENTION_S = 600.0
_STORE_TIMEOUT_S = 1.0
_RETRY_S = 0.25
# Appends a second of all hosts together. A partition of the store takes 500.
_APPENDS_PER_S = 400.0
# Searches that begin within this time share a read.
_READ_DELAY_S = 0.005
_KEY_BYTES = 10
# Precedes the name of a pool; keys of streams are hexadecimal.
_POOL_PREFIX = "pool/"


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
    """Writes and reads the records of streams and the default versions.

    Attributes:
        on_defaults: called when the known default versions have changed.
    """

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
        self.on_defaults: Callable[[], None] = _ignore
        self._own: dict[str, StreamRecord] = {}
        self._known: collections.OrderedDict[str, StreamRecord] = (
            collections.OrderedDict()
        )
        self._defaults: dict[str, default_version.DefaultVersion] = {}
        # First offset that wasn't read; None before a snapshot.
        self._offset: int | None = None
        # Rises with each restore, so that a read notices one.
        self._restores = 0
        # The read that begins next.
        self._next_read: Future | None = None
        self._unwritten: dict[str, _Unacknowledged] = {}
        self._is_writing = False
        # Whether the last append failed.
        self._has_failed = False
        self._will_delete = False
        source.eras.add_listener(self._on_restore)

    def era(self) -> int:
        """Returns the store's era, 0 if it names none."""
        return self._store.eras.era or 0

    def has_seen_restore(self) -> bool:
        """Returns whether the store was restored since this host started."""
        return self._restores > 0

    def is_store_away(self) -> bool:
        """Returns whether records wait as the store didn't take the last."""
        return self._has_failed and self._is_writing

    def default(self, pool: str) -> default_version.DefaultVersion | None:
        """Returns a pool's default version as of the last read."""
        return self._defaults.get(pool)

    def known(self, stream_id: str) -> StreamRecord | None:
        """Returns a stream's record as of the last read."""
        return self._known.get(_key(stream_id))

    def versions(self, pool: str, span_s: float) -> set[str]:
        """Returns the versions in all records of the last `span_s`."""
        oldest = self._clock.wall() - span_s
        return {
            record.version
            for record in (*self._known.values(), *self._own.values())
            if record.pool == pool and record.begun_at >= oldest
        }

    def is_own(self, stream_id: str) -> bool:
        """Returns whether this host has a record of a stream to keep."""
        return _key(stream_id) in self._own

    def write(self, stream_id: str, pool: str, version: str) -> Future:
        """Records a stream.

        Returns:
            A future with True once the store has the record, or False if it is
            given up.
        """
        key = _key(stream_id)
        record = StreamRecord(pool, version, self._clock.wall())
        self._own[key] = record
        self._delete_old()
        return self._queue(key, _encode(record))

    def refresh(self) -> "Future[store.StoreError | None]":
        """Reads up to the end that the store has when it is asked.

        Returns:
            A future with None once that has been read by a read that began
            after the call, or with the error.
        """
        if self._next_read is None:
            self._next_read = Future()
            self._loop.call_later(_READ_DELAY_S, self._begin_read)
        return self._next_read

    def set_default(
        self, pool: str, default: default_version.DefaultVersion
    ) -> tasks.Coroutine[store.StoreError | None]:
        """Sets a pool's default version.

        Returns:
            An error if the store can't be reached, or has changed since the
            last read.
        """
        if self._offset is None:
            return store.StoreError("the topic was not read yet")
        error = yield self._store.append(
            store.Topic.STREAMS,
            [(_POOL_PREFIX + pool, msgspec.json.encode(tuple(default)))],
            _STORE_TIMEOUT_S,
            at=self._offset,
        )
        if error is None:
            state_log.log_change(
                "default version written", pool=pool, **default._asdict()
            )
        return error

    def _queue(self, key: str, value: bytes) -> Future:
        waiting = self._unwritten.get(key)
        fut = waiting.fut if waiting else Future()
        self._unwritten[key] = _Unacknowledged(value, fut)
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
            self._has_failed = error is not None
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
                tasks.resolve(entry.fut, True)
            pause_s = max(1, self._host_count()) / _APPENDS_PER_S
            yield tasks.sleep(self._loop, pause_s)
        self._is_writing = False

    def _drop_old_unwritten(self) -> None:
        """Gives up records of streams that nobody takes up any more."""
        oldest = self._clock.wall() - RETENTION_S
        for key in _begun_before(oldest, self._own):
            if key in self._unwritten:
                tasks.resolve(self._unwritten.pop(key).fut, False)
                del self._own[key]

    def _delete_old(self) -> None:
        """Deletes this host's old records, now and from time to time."""
        oldest = self._clock.wall() - RETENTION_S
        for key in _begun_before(oldest, self._own):
            del self._own[key]
            unwritten = self._unwritten.pop(key, None)
            if unwritten is not None:
                tasks.resolve(unwritten.fut, False)
                continue
            self._queue(key, b"")
        if self._own and not self._will_delete:
            self._will_delete = True
            self._loop.call_later(RETENTION_S, self._delete_due)

    def _delete_due(self) -> None:
        self._will_delete = False
        self._delete_old()

    def _begin_read(self) -> None:
        fut, self._next_read = self._next_read, None
        tasks.Task(self._read_new(fut))

    def _read_new(self, fut: Future) -> tasks.Coroutine[None]:
        was = dict(self._defaults)
        error = yield from self._read_to_end()
        if self._defaults != was:
            guards.call(self.on_defaults)
        tasks.resolve(fut, error)

    def _read_to_end(self) -> tasks.Coroutine[store.StoreError | None]:
        is_end: store.StoreError | bool = False
        while is_end is False:
            if self._offset is None:
                is_end = yield from self._read_snapshot()
            else:
                is_end = yield from self._read_changes(self._offset)
        return None if is_end is True else is_end

    def _read_changes(
        self, offset: int
    ) -> tasks.Coroutine[store.StoreError | bool]:
        """Reads records from an offset on; returns whether that was the end."""
        restores = self._restores
        page = yield self._store.read_changes(store.Topic.STREAMS, offset, 0.0)
        if self._restores > restores:
            # Offsets were given out again meanwhile.
            return False
        if isinstance(page, store.StoreError):
            if not page.is_dropped:
                return page
            self._offset = None
            return False
        read_to = offset + len(page.records)
        if self._offset is None:
            return False
        # A read that began later may have gone further.
        if read_to > self._offset:
            for record in page.records:
                if record.offset >= self._offset:
                    guards.call(self._apply, record)
            self._offset = read_to
            self._forget_old()
        return read_to >= page.end or not page.records

    def _read_snapshot(self) -> tasks.Coroutine[store.StoreError | bool]:
        """Reads the newest values; returns whether no restore interfered."""
        restores, after, end = self._restores, "", None
        records: list[store.Record] = []
        while True:
            page = yield self._store.read_newest(
                store.Topic.STREAMS, after, _STORE_TIMEOUT_S
            )
            if isinstance(page, store.StoreError):
                return page
            if self._restores > restores:
                return False
            end = page.end if end is None else end
            records += page.records
            if not page.has_more or not page.records:
                break
            after = page.records[-1].key
        # A read that began later may have gone further.
        if self._offset is None or end > self._offset:
            for record in records:
                guards.call(self._apply, record)
            self._offset = end
            self._delete_foreign()
        return True

    def _delete_foreign(self) -> None:
        """Deletes what hosts that have ended left."""
        oldest = self._clock.wall() - _FOREIGN_RETENTION_S
        old = [
            key
            for key, record in self._known.items()
            if record.begun_at < oldest
        ]
        for key in old:
            del self._known[key]
            self._queue(key, b"")

    def _forget_old(self) -> None:
        """Forgets records whose hosts, or a later snapshot, delete them."""
        oldest = self._clock.wall() - _FOREIGN_RETENTION_S
        for key in _begun_before(oldest, self._known):
            del self._known[key]

    def _apply(self, record: store.Record) -> None:
        key, value = record.key, record.value
        is_pool = key.startswith(_POOL_PREFIX)
        if not value:
            if not is_pool:
                self._known.pop(key, None)
            return
        decoded = decoding.attempt(
            _decode_default if is_pool else _decode, value
        )
        if isinstance(decoded, decoding.Unreadable):
            state_log.log_fault(
                "stream record unreadable", reason=decoded.reason
            )
            return
        if is_pool:
            self._defaults[key.removeprefix(_POOL_PREFIX)] = decoded
            return
        self._known.pop(key, None)
        self._known[key] = decoded

    def _on_restore(self, era: int) -> None:
        # Offsets are given out again.
        self._offset = None
        self._restores += 1
        if self._own:
            delay_s = self._rng.uniform(0.0, store.REWRITE_SPREAD_S)
            self._loop.call_later(delay_s, self._write_again)

    def _write_again(self) -> None:
        self._delete_old()
        for key, record in list(self._own.items()):
            self._queue(key, _encode(record))


def _begun_before(
    begun_at: float, records: dict[str, StreamRecord]
) -> list[str]:
    """Returns the keys of the first records up to one that began later."""
    return [
        key
        for key, _ in itertools.takewhile(
            lambda item: item[1].begun_at < begun_at, records.items()
        )
    ]


def _ignore() -> None:
    pass


def _encode(record: StreamRecord) -> bytes:
    return msgspec.json.encode(tuple(record))


def _decode(value: bytes) -> StreamRecord:
    return StreamRecord(
        *msgspec.json.decode(value, type=tuple[str, str, float])
    )


def _decode_default(value: bytes) -> default_version.DefaultVersion:
    return default_version.DefaultVersion(
        *msgspec.json.decode(value, type=tuple[str, int, float])
    )


def _key(stream_id: str) -> str:
    """Returns the key of a stream: the caller's ids have any length."""
    digest = hashlib.blake2b(stream_id.encode(), digest_size=_KEY_BYTES)
    return digest.hexdigest()
