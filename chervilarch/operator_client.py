"""Reads routers' reports and streams of the log for the operators' commands."""

from typing import Any, NamedTuple

import msgspec

from chervilarch import decoding, exchanges, log_client, records, transfers

_TIMEOUT_S = 3.0
_HTTP_OK = 200


class ReportError(NamedTuple):
    """Why a router's report could not be read."""

    reason: str


class StreamContents(NamedTuple):
    """All records of a stream that the log still holds."""

    records: list[records.Record]
    first_offset: int


def read_status(
    thread: transfers.TransferThread, router: str, key: str
) -> dict[str, Any] | ReportError:
    """Reads a router's status report."""
    return _get_json(thread, f"http://{router}/v1/status", key)


def read_explanation(
    thread: transfers.TransferThread, router: str, key: str, request_id: str
) -> dict[str, Any] | ReportError:
    """Reads the steps that a router recorded for a request."""
    path = f"/v1/requests/{request_id}/explanation"
    return _get_json(thread, f"http://{router}{path}", key)


def read_stream(
    client: log_client.LogClient, stream: str
) -> StreamContents | log_client.LogError:
    """Reads a stream from its first record to its current end."""
    stream_records: list[records.Record] = []
    offset = 0
    while True:
        page = client.read(stream, offset, 0.0)
        if isinstance(page, log_client.LogError):
            return page
        if page.first_offset > offset:
            # Records expired during the read; the earlier ones don't connect
            # to the rest.
            stream_records = []
        stream_records.extend(page.records)
        if not page.records:
            return StreamContents(stream_records, page.first_offset)
        offset = page.records[-1].offset + 1


def _get_json(
    thread: transfers.TransferThread, url: str, key: str
) -> dict[str, Any] | ReportError:
    result = thread.send_and_wait(
        exchanges.Exchange(
            "GET",
            url,
            headers=(f"Authorization: Bearer {key}",),
            timeout_s=_TIMEOUT_S,
        )
    )
    if isinstance(result, exchanges.TransferFailure):
        return ReportError(f"{result.kind.value}: {result.detail}")
    if result.status != _HTTP_OK:
        return ReportError(f"HTTP status {result.status}")
    try:
        return msgspec.json.decode(result.body, type=dict)
    except decoding.ERRORS as exc:
        return ReportError(f"not JSON: {exc}")
