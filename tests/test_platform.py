"""Tests of the platform's records, headers and store calls."""

import json
import pathlib
import re
import struct

import loop_helpers as lh
import pytest

from chervilarch import (
    exchanges,
    hosts,
    http_server,
    outcomes,
    pieces,
    routed,
    routing_table,
    store,
    tasks,
)
from chervilarch.platform import documents, wire
from chervilarch.platform import store as platform_store

CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r1",
            "host": "A.example",
            "path_prefix": "/x/",
            "kind": "streaming",
            "timeout_ms": 8000,
            "target_latency_ms": 1900,
            "priority": 0,
            "service": "s1",
            "max_attempts": 2,
            "stages": [{"service": "s2", "after": [], "bytes": 8000}],
            "auth_exempt": False,
            "sticky": True,
            "resumable": True,
            "gap_aim_ms": 500,
        },
        {
            "name": "r2",
            "host": "a.example",
            "path_prefix": "/x/y/",
            "kind": "non_idempotent",
            "timeout_ms": 800,
            "traffic_split": [
                {"service": "s1", "weight": 90},
                {"service": "s3", "weight": 10},
            ],
            "auth_exempt": True,
        },
    ],
    "services": [
        {"name": "s1", "engine": {"slots": 128, "kv_tokens": 1000}},
        {
            "name": "s2",
            "pieces": {
                "slots": 1,
                "queue": 2,
                "batch": 4,
                "call_ms": 150.0,
                "item_ms": 32.0,
                "headroom_mb": 18.0,
                "handle_s": 4.0,
                "link_mbps": 1,
            },
        },
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
    "tenants": [{"name": "t1", "api_keys": ["k1", "k2"], "priority": 1}],
    "unknown": {"field": 1},
}
SERVER = {
    "service": "s1",
    "address": "10.0.0.1:8080",
    "zone": "z1",
    "version": "v1",
    "slots": 128,
    "state": "ready",
    "cold_remaining_ms": 1500,
    "sequence": 4,
    "born": 99,
}


def decode_table():
    return documents.decode_configuration(json.dumps(CONFIG).encode())


def test_decodes_a_configuration():
    table = decode_table()
    assert table.version == 7
    route = table.find("a.example:80", "/x/1")
    assert route.name == "r1" and route.is_stream and route.is_prompt
    assert route.retry_policy is routing_table.RetryPolicy.ANY
    assert (route.timeout_s, route.objective_s) == (8.0, 1.9)
    assert route.stages == (routing_table.Stage("s2", (), 8000),)
    assert table.pools["s2"].worker_profile.call_overhead_s == 0.15
    assert table.pools["s2"].worker_profile.result_memory_bytes == 18e6
    assert table.account_of_key("k2") == routing_table.Account("t1", 1)
    assert table.account_of_key("k3") is None


def test_longest_prefix_matches_and_weights_split_a_route():
    table = decode_table()
    route = table.find("a.example", "/x/y/z")
    assert route.name == "r2" and not route.needs_key
    assert route.retry_policy is routing_table.RetryPolicy.AT_MOST_ONCE
    pools = [route.pool_for(f"id{number}") for number in range(1000)]
    assert 50 < pools.count("s3") < 150
    assert route.pool_for("id1") == route.pool_for("id1")
    assert table.find("a.example", "/y/") is None
    assert table.find("b.example", "/x/1") is None


@pytest.mark.parametrize("value", [b"\xff", b"[]", b'{"version": "7"}', b""])
def test_unreadable_configuration_has_a_reason(value):
    assert documents.decode_configuration(value).reason


def test_decodes_an_endpoint():
    listing = documents.decode_endpoint("i-1", json.dumps(SERVER).encode())
    assert listing.entry == hosts.HostEntry(
        "i-1", "10.0.0.1:8080", "endpoint", "s1", "z1", "live", 99
    )
    assert listing.sequence == 4


@pytest.mark.parametrize(
    "change",
    [
        {"service": None},
        {"address": 5},
        {"address": "nowhere"},
        {"state": "dancing"},
        {"sequence": "4"},
        {"born": 1.5},
    ],
)
def test_rejects_malformed_endpoint_records(change):
    value = json.dumps({**SERVER, **change}).encode()
    assert isinstance(
        documents.decode_endpoint("i-1", value), documents.Unreadable
    )


def inbound_request(*headers, method="POST", target="/x/1?q=1", body=b"b"):
    headers_with_id = [("host", "a.example"), ("request-id", "id1"), *headers]
    return http_server.Request(
        method, target, headers_with_id, body, 5.0, "127.0.0.1"
    )


def parse(*headers, **changes):
    req = wire.HttpWire().parse_request(inbound_request(*headers, **changes))
    req.route = lh.route(is_prompt=True)
    req.account = routing_table.Account("t1")
    return req


def test_parses_a_request():
    req = parse(
        ("authorization", "Bearer k1"),
        ("deadline-ms", "1500"),
        ("token-usage", "1460,80"),
        ("prompt-prefix", "5c:800,91:410,e4:250"),
        ("pieces", "1,8,16"),
        ("piece-key", "pk"),
        ("last-event-id", "12"),
    )
    assert (req.id, req.api_key, req.allowed_s) == ("id1", "k1", 1.5)
    assert req.prompt.parts == (("5c", 800), ("91", 410), ("e4", 250))
    assert req.prompt.shared_tokens() == 1210
    assert req.piece_counts == (1, 8, 16) and req.input_key == "pk"
    assert (req.path, req.resume_after) == ("/x/1", "12")


@pytest.mark.parametrize(
    "header",
    [("deadline-ms", "soon"), ("pieces", "1,x"), ("prompt-prefix", "a:b")],
)
def test_rejects_an_unreadable_header(header):
    result = wire.HttpWire().parse_request(inbound_request(header))
    assert isinstance(result, outcomes.Rejected)


def test_rejects_a_request_without_id():
    req = http_server.Request("GET", "/", [("host", "a")], b"", 0.0, "")
    result = wire.HttpWire().parse_request(req)
    assert isinstance(result, outcomes.Rejected)


def test_call_drops_hop_by_hop_and_internal_headers_of_the_caller():
    req = parse(
        ("authorization", "Bearer k1"),
        ("tenant", "other"),
        ("hold", "h"),
        ("pin-ms", "1"),
        ("kv-backup", "x"),
        ("kv-from", "x"),
        ("kv-fetch", "x"),
        ("expect-version", "1"),
        ("inputs", "x"),
        ("request-priority", "0"),
        ("connection", "x-hop"),
        ("x-hop", "1"),
        ("x-app", "kept"),
        ("x-empty", ""),
        ("transfer-encoding", "chunked"),
    )
    req.priority = 3
    call = wire.HttpWire().build_call(
        req, lh.listing("i-1", address="10.0.0.1:80"), 1.2, ("h1", "h2"), "7"
    )
    assert set(call.headers) == {
        "host: a.example",
        "request-id: id1",
        "x-app: kept",
        "x-empty;",
        "Deadline-Ms: 1200",
        "Expect-Instance: i-1",
        "Tenant: t1",
        "Request-Priority: 3",
        "Inputs: h1,h2",
        "Last-Event-Id: 7",
    }
    assert (call.method, call.target, call.body) == ("POST", "/x/1?q=1", b"b")
    assert call.fresh and call.url == "http://10.0.0.1:80/"


def test_parses_the_head_of_a_reply():
    head = wire.HttpWire().parse_head(
        200,
        [
            ("request-id", "id1"),
            ("response-stamp", "s"),
            ("server-load", "1,0,8"),
            ("content-length", "5"),
            ("content-type", "text/plain"),
        ],
    )
    assert head.request_id == "id1" and head.is_stamped
    assert not head.did_not_run and not head.is_misdirected
    assert [name for name, _ in head.headers] == [
        "request-id",
        "response-stamp",
        "content-type",
    ]
    assert wire.HttpWire().parse_head(503, [("not-executed", "1")]).did_not_run
    assert wire.HttpWire().parse_head(421, []).is_misdirected


def test_refusal_status_depends_on_whether_the_request_ran():
    def status(outcome):
        return wire.HttpWire().build_refusal(outcome, "id1")[0]

    reason = outcomes.Reason.OVERLOADED
    not_run = outcomes.NotRun(reason, "d", "r", 0.25)
    assert status(not_run) == 503
    headers = dict(wire.HttpWire().build_refusal(not_run, "id1")[1])
    assert headers["Retry-After"] == "0.250"
    assert status(outcomes.Unknown(reason, "d", "r")) == 502
    assert status(outcomes.TooLate(reason, "d", "r")) == 504


def test_builds_a_piece_call_and_parses_its_reply():
    first = pieces.Job("id1", 0, "s2", 2, "pk", (), 1.0, 2.5, 1)
    second = first._replace(request_id="id2", stage=2, inputs=("h1",))
    call = wire.HttpWire().build_piece_call(
        lh.listing("i-1"), [(first, 1), (second, 0)], 2.0, 1.0
    )
    assert json.loads(call.body) == {
        "items": [
            {"id": "id1", "stage": 0, "piece": 1, "left_ms": 500, "key": "pk"},
            {
                "id": "id2",
                "stage": 2,
                "piece": 0,
                "left_ms": 500,
                "inputs": ["h1"],
            },
        ]
    }
    assert "Expect-Instance: i-1" in call.headers
    body = b'{"items":[{"handle":"h"},{"reason":"gone"},{"reason":"room"}]}'
    assert wire.HttpWire().parse_pieces(body, 3) == [
        routed.PieceReply("h"),
        routed.PieceReply("", pieces.INPUT_GONE),
        routed.PieceReply("", pieces.FAILED, is_memory_full=True),
    ]
    assert wire.HttpWire().parse_pieces(body, 2) is None
    assert wire.HttpWire().parse_pieces(b"garbage", 1) is None


class FakeClient:
    """Returns the same result for every call and records the exchanges."""

    def __init__(self, result):
        self.result = result
        self.sent = []

    def call(self, exchange):
        self.sent.append(exchange)
        return tasks.done(self.result)


def reply(status, body):
    return exchanges.Reply(status, {}, body, 0.0)


def test_reads_changes_with_their_offsets():
    def record(key, value):
        data = bytes([len(key)]) + key + value
        return struct.pack(">I", len(data)) + data

    body = struct.pack(">QQ", 9, 2) + record(b"a", b"1") + record(b"b", b"")
    client = FakeClient(reply(200, body))
    read = platform_store.StoreClient(client, "10.0.0.9:1").read_changes
    changes = read(store.Topic.ENDPOINTS, 7, 2.0).result()
    assert changes == store.RecordPage(
        [store.Record(7, "a", b"1"), store.Record(8, "b", b"")], 9, 2
    )
    assert "from=7&wait_ms=2000" in client.sent[0].url


@pytest.mark.parametrize(
    ("result", "is_dropped"),
    [
        (reply(410, b""), True),
        (reply(503, b""), False),
        (reply(200, b"short"), False),
        (reply(200, struct.pack(">QQI", 1, 0, 50)), False),
        (
            exchanges.TransferFailure(
                exchanges.FailureKind.TIMED_OUT, "late", True
            ),
            False,
        ),
    ],
)
def test_failed_read_returns_a_store_error(result, is_dropped):
    client = platform_store.StoreClient(FakeClient(result), "a:1")
    error = client.read_changes(store.Topic.ENDPOINTS, 0, 0.0).result()
    assert isinstance(error, store.StoreError)
    assert error.is_dropped is is_dropped


@pytest.mark.parametrize(
    ("status", "is_conflict"), [(412, True), (503, False), (410, False)]
)
def test_an_append_on_condition_tells_a_conflict(status, is_conflict):
    client = FakeClient(reply(status, b""))
    append = platform_store.StoreClient(client, "a:1").append
    error = append(store.Topic.STREAMS, [("k", b"v")], 1.0, at=7).result()
    assert error.is_conflict is is_conflict
    assert "at=7" in client.sent[0].url


def test_reads_a_page_of_newest_values():
    body = b'{"items":[{"key":"config","value":"YQ==","offset":4}],'
    client = FakeClient(reply(200, body + b'"has_more":false,"end":6}'))
    read = platform_store.StoreClient(client, "a:1").read_newest
    page = read(store.Topic.CONFIGURATION, "", 1.0).result()
    assert page == store.NewestPage([store.Record(4, "config", b"a")], False, 6)


def answer_in_era(era, status=200, body=b"{}"):
    return exchanges.Reply(status, {"store-era": era}, body, 0.0)


@pytest.mark.parametrize("status", [200, 410, 429, 503])
def test_a_restore_of_the_store_is_noticed_in_every_answer(status):
    fake = FakeClient(answer_in_era("7"))
    client = platform_store.StoreClient(fake, "a:1")
    rises = []
    client.eras.add_listener(rises.append)
    client.put(store.Topic.ROUTERS, "n1", b"v", 1.0)
    assert client.eras.era == 7 and not rises
    fake.result = answer_in_era("8", status)
    client.put(store.Topic.ROUTERS, "n1", b"v", 1.0)
    client.read_changes(store.Topic.ENDPOINTS, 0, 0.0)
    fake.result = answer_in_era("7", status)
    client.read_newest(store.Topic.ENDPOINTS, "", 1.0)
    assert client.eras.era == 8 and rises == [8]


def test_pages_carry_the_era_of_their_answer():
    newest = answer_in_era("3", body=b'{"items":[],"has_more":false,"end":6}')
    client = platform_store.StoreClient(FakeClient(newest), "a:1")
    page = client.read_newest(store.Topic.ENDPOINTS, "", 1.0).result()
    assert page.era == 3
    changes = answer_in_era("4", body=struct.pack(">QQ", 9, 2))
    client = platform_store.StoreClient(FakeClient(changes), "a:1")
    page = client.read_changes(store.Topic.ENDPOINTS, 9, 0.0).result()
    assert page.era == 4


@pytest.mark.parametrize(
    "text", ["", "-1", "1.5", "²", "x", str(2**63), "9" * 5000]
)
def test_an_unreadable_era_is_no_observation(text):
    newest = answer_in_era(text, body=b'{"items":[],"has_more":false,"end":6}')
    client = platform_store.StoreClient(FakeClient(newest), "a:1")
    page = client.read_newest(store.Topic.ENDPOINTS, "", 1.0).result()
    assert page.era == 0 and client.eras.era is None


def test_put_uses_a_fresh_connection():
    client = FakeClient(reply(200, b"{}"))
    put = platform_store.StoreClient(client, "a:1").put
    assert put(store.Topic.ROUTERS, "n1", b"v", 1.0).result() is None
    assert client.sent[0].body == b"\x00\x00\x00\x04\x02n1v"
    assert client.sent[0].fresh


def test_platform_names_appear_only_in_the_platform_package():
    names = re.compile(
        r"Deadline-Ms|deadline-ms|Not-Executed|not-executed|Expect-Instance|"
        r"Response-Stamp|response-stamp|Piece-Key|piece-key|Prompt-Prefix|"
        r"Token-Usage|Server-Load|Kv-|Pin-Ms|/chervilarch/|log-append|"
        r"log-read|log-newest|keyed\.|path_prefix\"|target_latency_ms|"
        r"stage-run|stage-free|traffic_split|api_keys|Store-Era|store-era"
    )
    root = pathlib.Path(documents.__file__).parents[1]
    # The router's protocol has a header of this name as well.
    allowed = {
        "attempts.py": {"Deadline-Ms"},
        "caller_input.py": {"Deadline-Ms"},
    }
    found = [
        (path.name, name)
        for path in root.glob("*.py")
        for name in set(names.findall(path.read_text()))
        if name not in allowed.get(path.name, set())
    ]
    assert found == []


def test_parses_which_stream_a_request_takes_up():
    req = parse(
        ("request-id", "id2"), ("last-event-id", "7"), ("resumes", "id1")
    )
    assert (req.resume_after, req.resumed_id) == ("7", "id1")
