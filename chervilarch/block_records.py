"""Keeps the blocks of prompts in the platform's store.

Running hosts tell each other of blocks. The store's records are for hosts that
start, as all may have been restarted at once.

A restore of the store from an older copy loses blocks, and brings back others
that had been removed. The hosts that know better correct it: each reads the
records after a random delay and writes what still differs, which is nothing for
nearly all of them.
"""

import hashlib
import random
from collections.abc import Callable
from typing import Annotated

import msgspec

from chervilarch import clocks, decoding, prompt_blocks, state_log, store, tasks
from chervilarch import loop as loops
from chervilarch.prompt_blocks import BLOCK_RETENTION_S, PromptBlock

_STORE_TIMEOUT_S = 1.0
# Pause after a failed call; the store may be away for a while.
_RETRY_S = 1.0
_KEY_BYTES = 16
# Changes that wait while the store is away; the oldest go first.
_MAX_UNWRITTEN = 256
# A block's parts must fit a datagram beside those of other blocks.
_MAX_PARTS_CHARS = 4096
# Longest time that a block's evidence precedes its end.
_MAX_AGE_S = 24 * 3600.0


class _Record(msgspec.Struct):
    """A block as it is stored; times are in Unix seconds."""

    # A block without parts would refuse every prompt.
    parts: Annotated[list[str], msgspec.Meta(min_length=1)]
    round: Annotated[int, msgspec.Meta(ge=1, le=2**31 - 1)]
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
        known_blocks: Callable[[], list[PromptBlock]],
        rng: random.Random,
    ):
        """Creates the records; nothing is read before `start`.

        Args:
            loop: the event loop.
            source: the platform's store.
            clock: its time of day dates the records.
            on_read: called with the blocks that were stored.
            known_blocks: returns the blocks that this host knows, also ended
                ones.
            rng: spreads the reads of all hosts over time after a restore.
        """
        self._loop = loop
        self._store = source
        self._clock = clock
        self._on_read = on_read
        self._known_blocks = known_blocks
        self._rng = rng
        self._is_correcting = False
        self._unwritten: dict[str, bytes] = {}
        self._is_writing = False

    def start(self) -> None:
        """Reads the stored blocks; repeats that until the store answers."""
        self._store.eras.add_listener(self._on_restore)
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

    def _on_restore(self, era: int) -> None:
        if not self._is_correcting:
            self._is_correcting = True
            tasks.Task(self._correct())

    def _correct(self) -> tasks.Coroutine[None]:
        """Writes what a restored store lacks, until no restore interferes."""
        while True:
            era = self._store.eras.era
            delay_s = self._rng.uniform(0.0, store.REWRITE_SPREAD_S)
            yield tasks.sleep(self._loop, delay_s)
            if not self._known_blocks():
                self._is_correcting = False
                return
            page = yield self._store.read_newest(
                store.Topic.BLOCKS, "", _STORE_TIMEOUT_S
            )
            if isinstance(page, store.StoreError):
                yield tasks.sleep(self._loop, _RETRY_S)
            elif self._store.eras.era == era:
                break
        self._is_correcting = False
        wrong = self._wrong_blocks(page.records)
        state_log.log_change(
            "stored blocks checked",
            era=era,
            stored=len(page.records),
            wrong=len(wrong),
        )
        self.write(wrong)

    def _wrong_blocks(self, records: list[store.Record]) -> list[PromptBlock]:
        """Returns the known blocks whose records are missing or outdated."""
        decoded = {record.key: self._decode(record) for record in records}
        wrong = []
        for block in self._known_blocks():
            key = _key(block)
            stored = decoded.get(key)
            # Another host knows of a later round.
            is_later = stored is not None and stored.round > block.round
            is_outdated = stored is None or stored.round < block.round
            if block.is_active:
                is_wrong = is_outdated
            else:
                is_wrong = key in decoded and not is_later
            if is_wrong:
                wrong.append(block)
        return wrong

    def _write(self) -> tasks.Coroutine[None]:
        while self._unwritten:
            key, value = next(iter(self._unwritten.items()))
            era = self._store.eras.era
            error = yield self._store.put(
                store.Topic.BLOCKS, key, value, _STORE_TIMEOUT_S
            )
            if error is not None:
                yield tasks.sleep(self._loop, _RETRY_S)
            elif era not in (None, self._store.eras.era):
                # The write was under way in a restore and may be lost.
                continue
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
        fields = decoding.attempt(_decode_record, record.value)
        if isinstance(fields, decoding.Unreadable):
            state_log.log_fault(
                "prompt block unreadable", key=record.key, reason=fields.reason
            )
            return None
        now = self._loop.now()
        offset_s = self._clock.wall() - now
        ends_at = min(
            fields.ends_at - offset_s, now + prompt_blocks.MAX_BLOCK_S
        )
        since = min(fields.since - offset_s, now)
        return PromptBlock(
            frozenset(fields.parts),
            fields.round,
            True,
            max(since, ends_at - _MAX_AGE_S),
            ends_at,
            ends_at,
        )


def _decode_record(value: bytes) -> _Record:
    fields = msgspec.json.decode(value, type=_Record)
    if sum(len(part) for part in fields.parts) > _MAX_PARTS_CHARS:
        raise ValueError("its parts are too long")
    return fields


def _key(block: PromptBlock) -> str:
    names = "\n".join(sorted(block.parts))
    return hashlib.blake2b(names.encode(), digest_size=_KEY_BYTES).hexdigest()
