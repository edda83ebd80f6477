"""What the operators' commands read: routers' reports and whole streams."""

from typing import Any, NamedTuple

import msgspec

from chervilarch import exchanges, log_client, records, transfers

_TIMEOUT_S = 3.0
_HTTP_OK = 200


class NoReport(NamedTuple):
    """A router gave no report."""

    reason: str


class WholeStream(NamedTuple):
    """All records that the log holds of a stream."""

    records: list[records.Record]
    first_offset: int


def read_status(
    thread: transfers.TransferThread, router: str, key: str
) -> dict[str, Any] | NoReport:
    """Reads a router's report."""
    return _get(thread, f"http://{router}/v1/status", key)


def read_explanation(
    thread: transfers.TransferThread, router: str, key: str, request_id: str
) -> dict[str, Any] | NoReport:
    """Reads what a router decided for a request."""
    path = f"/v1/requests/{request_id}/explanation"
    return _get(thread, f"http://{router}{path}", key)


def read_stream(
    client: log_client.LogClient, stream: str
) -> WholeStream | log_client.LogError:
    """Reads a stream from its first record to its present end."""
    held: list[records.Record] = []
    offset = 0
    while True:
        page = client.read(stream, offset, 0.0)
        if isinstance(page, log_client.LogError):
            return page
        if page.first_offset > offset:
            # Records expired while they were read.
            held = []
        held.extend(page.records)
        if not page.records:
            return WholeStream(held, page.first_offset)
        offset = page.records[-1].offset + 1


def _get(
    thread: transfers.TransferThread, url: str, key: str
) -> dict[str, Any] | NoReport:
    result = thread.call(
        exchanges.Exchange(
            "GET",
            url,
            headers=(f"Authorization: Bearer {key}",),
            timeout_s=_TIMEOUT_S,
        )
    )
    if isinstance(result, exchanges.TransferFailure):
        return NoReport(f"{result.kind.value}: {result.detail}")
    if result.status != _HTTP_OK:
        return NoReport(f"HTTP status {result.status}")
    try:
        return msgspec.json.decode(result.body, type=dict)
    except msgspec.DecodeError as exc:
        return NoReport(f"not JSON: {exc}")
