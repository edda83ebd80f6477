"""HTTP client of the platform's store, a log of keyed records by topic."""

import base64
import struct
from collections.abc import Callable
from typing import Annotated, Any
from urllib import parse

import msgspec

from chervilarch import decoding, exchanges, http_client, state_log, store
from chervilarch.futures import Future

_OK = 200
_GONE = 410
_PRECONDITION_FAILED = 412
_MS_PER_S = 1000
# How long after the end of its wait a read times out. The store usually answers
# in milliseconds but may be slow for a while.
_REPLY_MARGIN_S = 1.0
_TOPICS = {
    store.Topic.CONFIGURATION: "keyed.op",
    store.Topic.ENDPOINTS: "keyed.servers",
    store.Topic.ROUTERS: "keyed.routers",
    store.Topic.BLOCKS: "keyed.blocks",
    store.Topic.STREAMS: "keyed.streams",
}
# Key of the operators' record; other keys of that topic aren't for us.
CONFIGURATION_KEY = "config"
# Keys of the operators' evacuations in the same topic; the data centre follows.
EVACUATION_PREFIX = "evacuate/"
_ERA_HEADER = "store-era"
# Eras are passed on as signed numbers of 64 bits.
_MAX_ERA = 2**63 - 1
_MAX_ERA_DIGITS = len(str(_MAX_ERA))
# End offset and first kept offset, in front of the records of a reply.
_HEADER = struct.Struct(">QQ")
# Length in bytes, in front of each record.
_LENGTH = struct.Struct(">I")


# Bounds of the field that carries an offset to other hosts.
_MAX_OFFSET = 2**63 - 1
_Offset = Annotated[int, msgspec.Meta(ge=0, le=_MAX_OFFSET)]


class _Item(msgspec.Struct):
    key: str
    value: str  # base64
    offset: _Offset


class _Newest(msgspec.Struct):
    # Decoded one by one, so that a bad one doesn't hide the others.
    items: list[msgspec.Raw]
    has_more: bool
    end: _Offset


class _Kept(msgspec.Struct):
    first: _Offset


class StoreClient:
    """Implements `store.Store` over HTTP."""

    def __init__(self, client: http_client.Client, address: str):
        self.eras = store.EraWatch()
        self._has_logged_era = False
        self._client = client
        self._base = f"http://{address}/chervilarch/"

    def read_newest(
        self, topic: store.Topic, after: str, timeout_s: float
    ) -> "Future[store.NewestPage | store.StoreError]":
        """Reads a page of the newest value of each key."""
        query = {"topic": _TOPICS[topic], "part": 0}
        if after:
            query["after"] = after
        exchange = self._exchange("GET", "log-newest", query, timeout_s)
        return self._call(exchange, _decode_newest)

    def read_changes(
        self, topic: store.Topic, offset: int, wait_s: float
    ) -> "Future[store.RecordPage | store.StoreError]":
        """Reads records from an offset on; waits up to `wait_s` for one."""
        query = {"topic": _TOPICS[topic], "part": 0, "from": offset}
        if wait_s > 0:
            query["wait_ms"] = int(wait_s * _MS_PER_S)
        timeout_s = wait_s + _REPLY_MARGIN_S
        exchange = self._exchange("GET", "log-read", query, timeout_s)
        return self._call(
            exchange, lambda result, era: _decode_changes(result, offset, era)
        )

    def put(
        self, topic: store.Topic, key: str, value: bytes, timeout_s: float
    ) -> "Future[store.StoreError | None]":
        """Sets the newest value of a key."""
        return self.append(topic, [(key, value)], timeout_s)

    def append(
        self,
        topic: store.Topic,
        records: list[tuple[str, bytes]],
        timeout_s: float,
        at: int | None = None,
    ) -> "Future[store.StoreError | None]":
        """Appends keys and values, all or none; `at` as in `store.Store`."""
        body = b"".join(_encode_record(key, value) for key, value in records)
        query = {"topic": _TOPICS[topic], "part": 0}
        if at is not None:
            query["at"] = at
        exchange = self._exchange("POST", "log-append", query, timeout_s)
        exchange = exchange._replace(body=body, fresh=True)
        return self._call(exchange, lambda result, _: _reply_error(result))

    def _exchange(
        self, method: str, call: str, query: dict, timeout_s: float
    ) -> exchanges.Exchange:
        url = f"{self._base}{call}?{parse.urlencode(query)}"
        return exchanges.Exchange(method, url, timeout_s=timeout_s)

    def _call(
        self,
        exchange: exchanges.Exchange,
        convert: Callable[[exchanges.TransferResult, int], Any],
    ) -> Future:
        """Sends a request; converts the result and the era of the answer."""
        fut: Future = Future()

        def finish(done: Future) -> None:
            result = done.result()
            era = self._observe_era(result)
            converted = decoding.attempt(convert, result, era)
            if isinstance(converted, decoding.Unreadable):
                converted = store.StoreError(f"unreadable: {converted.reason}")
            fut.set_result(converted)

        self._client.call(exchange).add_done_callback(finish)
        return fut

    def _observe_era(self, result: exchanges.TransferResult) -> int:
        """Observes the era of an answer and returns it, 0 if it has none."""
        if isinstance(result, exchanges.TransferFailure):
            return 0
        text = result.headers.get(_ERA_HEADER)
        if text is None:
            return 0
        era = _parse_era(text)
        if era is None:
            if not self._has_logged_era:
                self._has_logged_era = True
                state_log.log_fault("store era unreadable", value=text[:80])
            return 0
        self.eras.observe(era)
        return era


def _parse_era(text: str) -> int | None:
    if not (text.isascii() and text.isdigit()):
        return None
    if len(text) > _MAX_ERA_DIGITS or int(text) > _MAX_ERA:
        return None
    return int(text)


def _reply_error(result: exchanges.TransferResult) -> store.StoreError | None:
    if isinstance(result, exchanges.TransferFailure):
        return store.StoreError(f"{result.kind.value}: {result.detail}")
    if result.status == _GONE:
        return store.StoreError(
            "the records were dropped", True, _read_first(result.body)
        )
    if result.status == _PRECONDITION_FAILED:
        return store.StoreError("the topic ends elsewhere", is_conflict=True)
    if result.status != _OK:
        return store.StoreError(f"HTTP status {result.status}")
    return None


def _read_first(body: bytes) -> int:
    """Returns the first offset that a topic still keeps, 0 if unknown."""
    kept = decoding.attempt(_decode_kept, body)
    return 0 if isinstance(kept, decoding.Unreadable) else kept.first


def _decode_kept(body: bytes) -> _Kept:
    return msgspec.json.decode(body, type=_Kept)


def _decode_newest(
    result: exchanges.TransferResult, era: int
) -> store.NewestPage | store.StoreError:
    error = _reply_error(result)
    if error is not None:
        return error
    page = msgspec.json.decode(result.body, type=_Newest)
    records = []
    for raw in page.items:
        record = decoding.attempt(_decode_item, raw, era)
        if isinstance(record, decoding.Unreadable):
            state_log.log_fault("store item unreadable", reason=record.reason)
        else:
            records.append(record)
    if page.has_more and not records:
        return store.StoreError("no item of the page is readable")
    return store.NewestPage(records, page.has_more, page.end, era)


def _decode_item(raw: msgspec.Raw, era: int) -> store.Record:
    item = msgspec.json.decode(raw, type=_Item)
    value = base64.b64decode(item.value, validate=True)
    return store.Record(item.offset, item.key, value, era)


def _decode_changes(
    result: exchanges.TransferResult, offset: int, era: int
) -> store.RecordPage | store.StoreError:
    error = _reply_error(result)
    if error is not None:
        return error
    body = result.body
    if len(body) < _HEADER.size:
        return store.StoreError("the reply ends within its head")
    end, first = _HEADER.unpack_from(body)
    if max(end, first) > _MAX_OFFSET:
        return store.StoreError("the reply names an offset out of range")
    records = []
    position = _HEADER.size
    while position + _LENGTH.size <= len(body):
        (length,) = _LENGTH.unpack_from(body, position)
        position += _LENGTH.size
        if position + length > len(body):
            return store.StoreError("the reply ends within a record")
        records.append(
            _decode_record(
                offset + len(records), body[position : position + length], era
            )
        )
        position += length
    return store.RecordPage(records, end, first, era)


def _encode_record(key: str, value: bytes) -> bytes:
    name = key.encode()
    record = bytes([len(name)]) + name + value
    return _LENGTH.pack(len(record)) + record


def _decode_record(offset: int, record: bytes, era: int) -> store.Record:
    size = record[0] if record else 0
    key = record[1 : 1 + size].decode("utf-8", "replace")
    return store.Record(offset, key, record[1 + size :], era)
