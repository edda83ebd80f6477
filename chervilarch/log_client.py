"""Client of the platform's append-only log, over HTTP and JSON."""

from typing import Annotated, Any, NamedTuple

import msgspec

from chervilarch import decoding, exchanges, records, transfers

READ_LIMIT = 1000
# A page that is too large is read again with this part of its limit.
_LIMIT_DIVISOR = 8
LONG_POLL_S = 5.0
REPLY_MARGIN_S = 2.0
APPEND_TIMEOUT_S = 2.0
_MS_PER_S = 1000
# Bounds of the field that carries an offset to other hosts.
_Offset = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]


class LogPage(NamedTuple):
    """Records read from a stream.

    Attributes:
        first_offset: first offset that the log still holds.
        next_offset: offset that the next append will get.
        records: the records read, in offset order.
        time: the log's clock, seconds since the Unix epoch.
        retention_s: how long the log keeps records.
    """

    first_offset: int
    next_offset: int
    records: list[records.Record]
    time: float
    retention_s: float


class _Item(msgspec.Struct):
    offset: _Offset
    time: float
    body: Any


class _Page(msgspec.Struct):
    first_offset: _Offset
    next_offset: _Offset
    records: list[_Item]
    time: float
    retention_s: float


class LogError(NamedTuple):
    """The log gave no usable reply.

    Attributes:
        reason: description of the fault.
        sent: whether the request may have taken effect.
    """

    reason: str
    sent: bool


class LogClient:
    """Reads and appends; only a read shows whether an append took effect."""

    def __init__(self, address: str, transfer_thread: transfers.TransferThread):
        self._base_url = f"http://{address}/streams"
        self._transfers = transfer_thread
        # Records in a page, by stream.
        self._limits: dict[str, int] = {}

    def read(
        self, stream: str, offset: int, wait_s: float = LONG_POLL_S
    ) -> LogPage | LogError:
        """Reads records from an offset, waiting up to `wait_s` for one."""
        limit = self._limits.get(stream, READ_LIMIT)
        result = self._read_page(stream, offset, wait_s, limit)
        while _is_too_large(result) and limit > 1:
            limit = max(1, limit // _LIMIT_DIVISOR)
            result = self._read_page(stream, offset, wait_s, limit)
        self._limits[stream] = min(READ_LIMIT, 2 * limit)
        return _parse_page(result)

    def _read_page(
        self, stream: str, offset: int, wait_s: float, limit: int
    ) -> exchanges.TransferResult:
        wait_ms = int(wait_s * _MS_PER_S)
        url = (
            f"{self._base_url}/{stream}/records"
            f"?from={max(0, offset)}&limit={limit}&wait_ms={wait_ms}"
        )
        return self._transfers.send_and_wait(
            exchanges.Exchange("GET", url, timeout_s=wait_s + REPLY_MARGIN_S)
        )

    def append(self, stream: str, bodies: list[records.Body]) -> int | LogError:
        """Appends records as one group.

        Returns:
            The offset of the first record. It is only a hint: the append has
            taken effect once it is read back.
        """
        payload = {"records": [records.encode(body) for body in bodies]}
        # On a reused connection, libcurl might send the append twice.
        result = self._transfers.send_and_wait(
            exchanges.Exchange(
                "POST",
                f"{self._base_url}/{stream}/records",
                msgspec.json.encode(payload),
                ("Content-Type: application/json",),
                APPEND_TIMEOUT_S,
                fresh=True,
            )
        )
        reply = _parse_reply(result)
        if isinstance(reply, LogError):
            return reply
        offset = reply.get("offset")
        if not isinstance(offset, int):
            return LogError("the append's reply names no offset", True)
        return offset


def _is_too_large(result: exchanges.TransferResult) -> bool:
    return (
        isinstance(result, exchanges.TransferFailure)
        and result.kind is exchanges.FailureKind.TOO_LARGE
    )


def _parse_reply(result: exchanges.TransferResult) -> dict[str, Any] | LogError:
    if isinstance(result, exchanges.TransferFailure):
        return LogError(f"{result.kind.value}: {result.detail}", result.sent)
    if result.status != 200:
        return LogError(f"HTTP status {result.status}", True)
    reply = decoding.attempt(_decode_object, result.body)
    if isinstance(reply, decoding.Unreadable):
        return LogError(f"not JSON: {reply.reason}", True)
    return reply


def _decode_object(body: bytes) -> dict[str, Any]:
    return msgspec.json.decode(body, type=dict)


def _parse_page(result: exchanges.TransferResult) -> LogPage | LogError:
    reply = _parse_reply(result)
    if isinstance(reply, LogError):
        return reply
    page = decoding.attempt(msgspec.convert, reply, _Page)
    if isinstance(page, decoding.Unreadable):
        return LogError(f"the reply is not a page: {page.reason}", True)
    return LogPage(
        page.first_offset,
        page.next_offset,
        [
            records.Record(item.offset, item.time, records.decode(item.body))
            for item in page.records
        ],
        page.time,
        page.retention_s,
    )
