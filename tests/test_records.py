"""Tests of the encoding and decoding of log records."""

import pytest

from chervilarch import records

BODIES = [
    records.Publish("p1", -1, [{"op": "add", "path": "/a", "value": 1}], "m"),
    records.Snapshot(3, 2, {"a": 1}),
    records.Claim("c1", "buyers", "key", "digest"),
    records.Release("c1", "buyers", "key"),
    records.Result("c1", "buyers", "key", "answer", {"booking": 1}),
]


@pytest.mark.parametrize("body", BODIES, ids=lambda body: type(body).__name__)
def test_record_is_the_same_after_encoding_and_decoding(body):
    assert records.decode(records.encode(body)) == body


@pytest.mark.parametrize(
    "fields",
    [None, [], "x", {}, {"kind": "claim"}, {"kind": "claim", "claim_id": 1}],
)
def test_malformed_record_is_unreadable(fields):
    assert isinstance(records.decode(fields), records.Unreadable)
