"""Codec of the datagrams that carry topic updates between hosts."""

import capnp

from chervilarch import messages, store

_MS_PER_S = 1000


def encode(key: bytes, updates: list[store.TopicUpdate], now: float) -> bytes:
    """Returns the sealed datagram that carries topic updates."""
    msg = messages.SCHEMA.StoreNews.new_message()
    slots = msg.init("topics", len(updates))
    for slot, update in zip(slots, updates, strict=True):
        slot.topic = update.topic.value
        slot.first = update.first
        slot.end = update.end
        # Rounded up: an update must not look newer than it is.
        slot.ageMs = int((now - update.read_at) * _MS_PER_S) + 1
        record_slots = slot.init("records", len(update.records))
        for record_slot, record in zip(
            record_slots, update.records, strict=True
        ):
            record_slot.offset = record.offset
            record_slot.key = record.key
            record_slot.value = record.value
    return messages.seal(key, msg.to_bytes_packed())


def decode(
    key: bytes, frame: bytes, now: float
) -> list[store.TopicUpdate] | messages.BadFrame:
    """Returns the topic updates of a sealed datagram."""
    payload = messages.unseal(key, frame)
    if isinstance(payload, messages.BadFrame):
        return payload
    try:
        msg = messages.SCHEMA.StoreNews.from_bytes_packed(payload)
        return [
            store.TopicUpdate(
                store.Topic(str(slot.topic)),
                slot.first,
                slot.end,
                now - slot.ageMs / _MS_PER_S,
                tuple(
                    store.Record(record.offset, record.key, bytes(record.value))
                    for record in slot.records
                ),
            )
            for slot in msg.topics
        ]
    except (capnp.KjException, ValueError) as exc:
        return messages.BadFrame(f"malformed news of the store: {exc}")
