"""Keeps the blocks of prompts in the platform's store.

Running hosts tell each other of blocks. The store's records are for hosts that
start, as all may have been restarted at once.
"""

import hashlib
from collections.abc import Callable

import msgspec

from chervilarch import clocks, state_log, store, tasks
from chervilarch import loop as loops
from chervilarch.prompt_blocks import BLOCK_RETENTION_S, PromptBlock

_STORE_TIMEOUT_S = 1.0
# Pause after a failed call; the store may be away for a while.
_RETRY_S = 1.0
_KEY_BYTES = 16
# Changes that wait while the store is away; the oldest go first.
_MAX_UNWRITTEN = 256


class _Record(msgspec.Struct):
    """A block as it is stored; times are in Unix seconds."""

    parts: list[str]
    round: int
    since: float
    ends_at: float


class BlockRecords:
    """Reads the stored blocks at the start and writes changes of this host."""

    def __init__(
        self,
        loop: loops.Loop,
        source: store.Store,
        clock: clocks.Clock,
        on_read: Callable[[list[PromptBlock]], None],
    ):
        """Creates the records; nothing is read before `start`.

        Args:
            loop: the event loop.
            source: the platform's store.
            clock: its time of day dates the records.
            on_read: called with the blocks that were stored.
        """
        self._loop = loop
        self._store = source
        self._clock = clock
        self._on_read = on_read
        self._unwritten: dict[str, bytes] = {}
        self._is_writing = False

    def start(self) -> None:
        """Reads the stored blocks; repeats that until the store answers."""
        tasks.Task(self._read())

    def write(self, blocks: list[PromptBlock]) -> None:
        """Writes blocks that changed; one that ended is removed."""
        for block in blocks:
            self._unwritten[_key(block)] = self._encode(block)
            if len(self._unwritten) > _MAX_UNWRITTEN:
                del self._unwritten[next(iter(self._unwritten))]
        if self._unwritten and not self._is_writing:
            self._is_writing = True
            tasks.Task(self._write())

    def _read(self) -> tasks.Coroutine[None]:
        while True:
            page = yield self._store.read_newest(
                store.Topic.BLOCKS, "", _STORE_TIMEOUT_S
            )
            if not isinstance(page, store.StoreError):
                break
            yield tasks.sleep(self._loop, _RETRY_S)
        now = self._loop.now()
        decoded = [self._decode(record) for record in page.records]
        blocks = [block for block in decoded if block is not None]
        old = [b for b in blocks if now - b.ends_at > BLOCK_RETENTION_S]
        self.write([block._replace(is_active=False) for block in old])
        self._on_read([block for block in blocks if block not in old])

    def _write(self) -> tasks.Coroutine[None]:
        while self._unwritten:
            key, value = next(iter(self._unwritten.items()))
            error = yield self._store.put(
                store.Topic.BLOCKS, key, value, _STORE_TIMEOUT_S
            )
            if error is not None:
                yield tasks.sleep(self._loop, _RETRY_S)
            elif self._unwritten.get(key) == value:
                del self._unwritten[key]
        self._is_writing = False

    def _encode(self, block: PromptBlock) -> bytes:
        if not block.is_active:
            return b""
        offset_s = self._clock.wall() - self._loop.now()
        return msgspec.json.encode(
            _Record(
                sorted(block.parts),
                block.round,
                block.since + offset_s,
                block.ends_at + offset_s,
            )
        )

    def _decode(self, record: store.Record) -> PromptBlock | None:
        try:
            fields = msgspec.json.decode(record.value, type=_Record)
        except msgspec.MsgspecError as exc:
            state_log.log_fault(
                "prompt block unreadable", key=record.key, reason=str(exc)
            )
            return None
        offset_s = self._clock.wall() - self._loop.now()
        ends_at = fields.ends_at - offset_s
        return PromptBlock(
            frozenset(fields.parts),
            fields.round,
            True,
            fields.since - offset_s,
            ends_at,
            ends_at,
        )


def _key(block: PromptBlock) -> str:
    names = "\n".join(sorted(block.parts))
    return hashlib.blake2b(names.encode(), digest_size=_KEY_BYTES).hexdigest()
