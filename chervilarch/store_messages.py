"""Codec of what hosts tell each other of the platform's store."""

import capnp

from chervilarch import messages, store

_MS_PER_S = 1000


def encode(key: bytes, news: list[store.TopicUpdate], now: float) -> bytes:
    """Returns the sealed datagram of some news."""
    msg = messages.SCHEMA.StoreNews.new_message()
    slots = msg.init("topics", len(news))
    for slot, item in zip(slots, news, strict=True):
        slot.topic = item.topic.value
        slot.first = item.first
        slot.end = item.end
        # Rounded up: the news must not look younger than it is.
        slot.ageMs = int((now - item.read_at) * _MS_PER_S) + 1
        records = slot.init("records", len(item.changes))
        for record, change in zip(records, item.changes, strict=True):
            record.offset = change.offset
            record.key = change.key
            record.value = change.value
    return messages.seal(key, msg.to_bytes_packed())


def decode(
    key: bytes, frame: bytes, now: float
) -> list[store.TopicUpdate] | messages.BadFrame:
    """Returns the news of a sealed datagram."""
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
                    store.Change(record.offset, record.key, bytes(record.value))
                    for record in slot.records
                ),
            )
            for slot in msg.topics
        ]
    except (capnp.KjException, ValueError) as exc:
        return messages.BadFrame(f"malformed news of the store: {exc}")
