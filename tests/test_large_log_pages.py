"""Pages of the platform's log that are over the bound of a reply."""

import json
import urllib.parse

import pytest

from chervilarch import exchanges, log_client, transfers


class Log:
    """Records of one size; refuses replies over the bound, as libcurl does."""

    def __init__(self, count, size):
        result = {"claim_id": "c", "account": "a", "key": "k", "output": ""}
        body = {"kind": "result", "outcome": "answer", **result}
        body["output"] = "o" * size
        self._records = [
            {"offset": offset, "time": 1.0, "body": body}
            for offset in range(count)
        ]
        self.reads = 0

    def send_and_wait(self, exchange):
        """Returns a page, or the failure of one that is too large."""
        self.reads += 1
        query = urllib.parse.urlsplit(exchange.url).query
        fields = {k: int(v) for k, v in urllib.parse.parse_qsl(query)}
        end = fields["from"] + fields["limit"]
        page = {
            "first_offset": 0,
            "next_offset": len(self._records),
            "records": self._records[fields["from"] : end],
            "time": 1.0,
            "retention_s": 7200.0,
        }
        reply = json.dumps(page).encode()
        if len(reply) > transfers.MAX_REPLY_BYTES:
            kind = exchanges.FailureKind.TOO_LARGE
            return exchanges.TransferFailure(kind, "too large", True)
        return exchanges.Reply(200, {}, reply, 0.0)


@pytest.mark.parametrize(
    ("count", "size"), [(1000, 16_000), (20, 4_000_000), (3000, 100)]
)
def test_records_that_are_too_large_for_one_page_are_read_in_parts(count, size):
    log = Log(count, size)
    client = log_client.LogClient("127.0.0.1:1", log)
    offsets = []
    while len(offsets) < count:
        page = client.read("calls", len(offsets))
        assert isinstance(page, log_client.LogPage)
        offsets += [record.offset for record in page.records]
    assert offsets == list(range(count))
    assert log.reads <= count + 10


def test_one_record_over_the_bound_is_an_error():
    client = log_client.LogClient("127.0.0.1:1", Log(1, 9_000_000))
    assert isinstance(client.read("calls", 0), log_client.LogError)
