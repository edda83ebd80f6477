"""Codec of the datagrams that carry topic updates between hosts."""

import zlib
from typing import NamedTuple

from chervilarch import messages, store

_MS_PER_S = 1000
# Shorter values, such as records of endpoints, gain nothing from compression.
_MIN_COMPRESSED_BYTES = 512
# Bounds the memory of a value that was compressed.
_MAX_VALUE_BYTES = 8 * 1024 * 1024


# Topics of which this build passes on records that older builds leave out.
_EXTENDED_TOPICS = (store.Topic.CONFIGURATION.value,)


class StoreNews(NamedTuple):
    """What a datagram tells of the store.

    Attributes:
        updates: how far the sender has read each topic, with new records.
        must_relay: whether the receiver passes it on in its data centre.
    """

    updates: list[store.TopicUpdate]
    must_relay: bool = False


def encode(key: bytes, news: StoreNews, now: float) -> bytes:
    """Returns the sealed datagram that carries topic updates."""
    updates = news.updates
    msg = messages.SCHEMA.StoreNews.new_message()
    msg.mustRelay = news.must_relay
    slots = msg.init("topics", len(updates))
    for slot, update in zip(slots, updates, strict=True):
        slot.topic = update.topic.value
        slot.first = update.first
        slot.end = update.end
        slot.era = update.era
        slot.isComplete = update.is_complete
        run_slots = slot.init("removed", len(update.removed))
        for run_slot, run in zip(run_slots, update.removed, strict=True):
            run_slot.name = run.name
            run_slot.incarnation = run.incarnation
            run_slot.sequence = run.sequence
            run_slot.isLeaving = run.is_leaving
        # Rounded up: an update must not look newer than it is.
        slot.ageMs = int((now - update.read_at) * _MS_PER_S) + 1
        record_slots = slot.init("records", len(update.records))
        for record_slot, record in zip(
            record_slots, update.records, strict=True
        ):
            record_slot.offset = record.offset
            record_slot.era = record.era
            record_slot.key = record.key
            record_slot.value = record.value
            if len(record.value) >= _MIN_COMPRESSED_BYTES:
                record_slot.value = zlib.compress(record.value)
                record_slot.isCompressed = True
    return messages.seal(key, msg.to_bytes_packed())


def decode(
    key: bytes, frame: bytes, now: float
) -> StoreNews | messages.BadFrame:
    """Returns the topic updates of a sealed datagram."""
    payload = messages.unseal(key, frame)
    if isinstance(payload, messages.BadFrame):
        return payload
    try:
        msg = messages.SCHEMA.StoreNews.from_bytes_packed(payload)
        updates = [
            store.TopicUpdate(
                store.Topic(str(slot.topic)),
                slot.first,
                slot.end,
                now - slot.ageMs / _MS_PER_S,
                tuple(
                    store.Record(
                        record.offset,
                        record.key,
                        _read_value(record),
                        record.era,
                    )
                    for record in slot.records
                ),
                slot.era,
                tuple(
                    store.RemovedRun(
                        run.name, run.incarnation, run.sequence, run.isLeaving
                    )
                    for run in slot.removed
                ),
                slot.isComplete or str(slot.topic) not in _EXTENDED_TOPICS,
            )
            for slot in msg.topics
        ]
        return StoreNews(updates, msg.mustRelay)
    except messages.DECODING_ERRORS as exc:
        return messages.BadFrame(f"malformed news of the store: {exc}")


def _read_value(record) -> bytes:
    """Returns a record's value.

    Raises:
        ValueError: the value is too large or not whole.
        zlib.error: it isn't compressed data.
    """
    if not record.isCompressed:
        return bytes(record.value)
    decompressor = zlib.decompressobj()
    value = decompressor.decompress(bytes(record.value), _MAX_VALUE_BYTES)
    if not decompressor.eof:
        raise ValueError("a compressed value is too large or not whole")
    return value
