"""One odd record of another writer stops neither its neighbours nor a host."""

import json
import random

import loop_helpers as lh
import pytest

from chervilarch import (
    addresses,
    advisory_messages,
    avoidances,
    block_records,
    crash_reports,
    decoding,
    endpoint_limits,
    exchanges,
    followers,
    gossip,
    hosts,
    http_server,
    log_client,
    membership,
    messages,
    metrics,
    outcomes,
    peer_socket,
    permits,
    pieces,
    prompt_blocks,
    stage_graph,
    stage_messages,
    store,
    store_messages,
    tasks,
)
from chervilarch import fleet as fleets
from chervilarch.platform import documents, wire
from chervilarch.platform import store as platform_store

KEY = b"0123456789abcdef"
DEEP = "[" * 200_000 + "]" * 200_000
DEEP_OBJECTS = '{"a":' * 100_000 + "1" + "}" * 100_000
SERVER = {
    "service": "p",
    "address": "10.0.0.1:8080",
    "zone": "z1",
    "slots": 4,
    "state": "ready",
    "sequence": 4,
    "born": 99,
}
CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r1",
            "host": "a.example",
            "path_prefix": "/x/",
            "kind": "safe",
            "timeout_ms": 8000,
            "service": "p",
        }
    ],
    "services": [{"name": "p"}],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
}


def with_field(document, name, text):
    """Returns the JSON of a document with one field set to some JSON text."""
    rest = {key: value for key, value in document.items() if key != name}
    return (json.dumps(rest)[:-1] + f', "{name}": {text}}}').encode()


ODD_SERVERS = [
    with_field(SERVER, "more", DEEP),
    with_field(SERVER, "more", DEEP_OBJECTS),
    with_field(SERVER, "address", '"10.0.0.1:0"'),
    with_field(SERVER, "address", '"10.0.0.1:65536"'),
    with_field(SERVER, "address", '"10.0.0.1:\\u00b2"'),
    with_field(SERVER, "address", f'"10.0.0.1:{"1" * 5000}"'),
    with_field(SERVER, "address", '"10.0.0.1\\r\\nx:1"'),
    with_field(SERVER, "address", '"host:80"'),
    with_field(SERVER, "born", "9" * 400),
    with_field(SERVER, "born", "9" * 5000),
    with_field(SERVER, "born", "-1"),
    with_field(SERVER, "born", str(2**62)),
    with_field(SERVER, "born", "1e400"),
    with_field(SERVER, "sequence", str(2**70)),
    with_field(SERVER, "zone", f'"{"z" * 100_000}"'),
    with_field(SERVER, "zone", '"\\ud800"'),
    b"\xff\xfe",
    b'{"\xff": 1}',
]


@pytest.fixture
def env():
    loop, clock = lh.new_loop()
    yield loop, clock, lh.FakeStore()
    loop.close()


@pytest.fixture
def followed(env):
    """Endpoints e1 and e3 are listed; returns the notified lists."""
    loop, _, source = env
    follower = followers.EndpointFollower(
        loop, source, documents.decode_endpoint, 0.8
    )
    notified = []
    follower.add_listener(notified.append)
    for name in ("e1", "e3"):
        source.write(store.Topic.ENDPOINTS, name, json.dumps(SERVER).encode())
    follower.topic_follower.start()
    lh.run_pending(loop)
    assert set(notified[-1]["p"]) == {"e1", "e3"}
    return notified


@pytest.mark.parametrize("odd", ODD_SERVERS)
def test_an_odd_endpoint_record_stops_neither_list_nor_follower(
    env, followed, odd
):
    loop, clock, source = env
    source.write(store.Topic.ENDPOINTS, "e2", odd)
    source.write(store.Topic.ENDPOINTS, "e4", json.dumps(SERVER).encode())
    lh.advance(loop, clock, 0.9)
    assert set(followed[-1]["p"]) == {"e1", "e3", "e4"}
    source.write(store.Topic.ENDPOINTS, "e3", b"")
    lh.advance(loop, clock, 0.9)
    assert set(followed[-1]["p"]) == {"e1", "e4"}


@pytest.mark.parametrize("odd", ODD_SERVERS)
def test_an_odd_endpoint_record_does_not_hide_the_true_one(env, followed, odd):
    loop, clock, source = env
    source.write(store.Topic.ENDPOINTS, "e1", odd)
    lh.advance(loop, clock, 0.9)
    assert set(followed[-1]["p"]) == {"e3"}
    source.write(store.Topic.ENDPOINTS, "e1", json.dumps(SERVER).encode())
    lh.advance(loop, clock, 0.9)
    assert set(followed[-1]["p"]) == {"e1", "e3"}


def test_an_absurd_start_told_by_another_host_does_not_hide_the_true_one(env):
    loop, clock, source = env
    follower = followers.EndpointFollower(
        loop, source, documents.decode_endpoint, 0.8
    )
    notified = []
    follower.add_listener(notified.append)
    follower.topic_follower.start()
    lh.run_pending(loop)
    odd = json.dumps({**SERVER, "state": "draining", "born": 2**62}).encode()
    told = store.Beliefs((store.Record(0, "e1", odd),))
    follower.topic_follower.on_beliefs(told)
    source.write(store.Topic.ENDPOINTS, "e1", json.dumps(SERVER).encode())
    lh.advance(loop, clock, 0.9)
    assert list(notified[-1]["p"]) == ["e1"]


def test_an_odd_endpoint_record_in_a_snapshot_hides_no_other(env):
    loop, _, source = env
    source.write(store.Topic.ENDPOINTS, "e1", ODD_SERVERS[0])
    source.write(store.Topic.ENDPOINTS, "e2", json.dumps(SERVER).encode())
    follower = followers.EndpointFollower(
        loop, source, documents.decode_endpoint, 0.8
    )
    notified = []
    follower.add_listener(notified.append)
    follower.topic_follower.start()
    lh.run_pending(loop)
    assert list(notified[-1]["p"]) == ["e2"]


def test_an_endpoint_started_ahead_of_this_host_s_clock_is_listed(
    env, followed
):
    loop, clock, source = env
    born = (clock.wall() + 30) * 1000
    value = with_field(SERVER, "born", str(int(born)))
    source.write(store.Topic.ENDPOINTS, "e5", value)
    lh.advance(loop, clock, 0.9)
    assert "e5" in followed[-1]["p"]


@pytest.mark.parametrize("key", ["a\r\nTenant: x", "\N{SNOWMAN}", ""])
def test_a_key_that_fits_no_header_names_no_endpoint(key):
    value = json.dumps(SERVER).encode()
    assert isinstance(
        documents.decode_endpoint(key, value), documents.Unreadable
    )


@pytest.mark.parametrize(
    "odd",
    [
        with_field(CONFIG, "more", DEEP),
        with_field(CONFIG, "version", "9" * 5000),
        b'{"\xff": 1}',
    ],
)
def test_an_odd_configuration_does_not_stop_the_follower(env, odd):
    loop, clock, source = env
    follower = followers.ConfigFollower(
        loop, source, "config", documents.decode_configuration, 1.0
    )
    # The fake store doesn't wait for a change.
    follower.topic_follower._pause_s = 0.5
    source.write(
        store.Topic.CONFIGURATION, "config", json.dumps(CONFIG).encode()
    )
    follower.topic_follower.start()
    lh.run_pending(loop)
    assert follower.table.version == 7
    source.write(store.Topic.CONFIGURATION, "config", odd)
    newer = json.dumps({**CONFIG, "version": 9}).encode()
    source.write(store.Topic.CONFIGURATION, "config", newer)
    lh.advance(loop, clock, 2.1)
    assert follower.table.version == 9


def test_times_of_a_configuration_fit_messages_between_hosts():
    route = {**CONFIG["routes"][0], "timeout_ms": 1e300}
    value = json.dumps({**CONFIG, "routes": [route]}).encode()
    (route,) = documents.decode_configuration(value).routes()
    assert route.timeout_s == route.objective_s == 24 * 3600


def test_a_listener_that_raises_does_not_stop_a_follower(env):
    loop, clock, source = env
    follower = followers.EndpointFollower(
        loop, source, documents.decode_endpoint, 0.8
    )
    notified = []
    follower.add_listener(lambda by_pool: by_pool["absent"])
    follower.add_listener(notified.append)
    follower.topic_follower.start()
    for count in (1, 2):
        name = f"e{count}"
        source.write(store.Topic.ENDPOINTS, name, json.dumps(SERVER).encode())
        lh.advance(loop, clock, 0.9)
        assert len(notified[-1]["p"]) == count


def newest(body):
    reply = exchanges.Reply(200, {}, body, 0.0)

    class Client:
        def call(self, exchange):
            return tasks.done(reply)

    client = platform_store.StoreClient(Client(), "10.0.0.9:1")
    fut = client.read_newest(store.Topic.ENDPOINTS, "", 1.0)
    assert fut.done()
    return fut.result()


@pytest.mark.parametrize(
    "odd",
    [
        '{"key":"b","value":"%%%","offset":1}',
        '{"key":"b","value":5,"offset":1}',
        '{"key":"b","value":"YQ==","offset":-1}',
        f'{{"key":"b","value":"YQ==","offset":{2**64}}}',
        '["b"]',
    ],
)
def test_an_odd_item_of_a_page_hides_no_other(odd):
    items = '{"key":"a","value":"YQ==","offset":4}', odd
    body = f'{{"items":[{",".join(items)}],"has_more":true,"end":6}}'
    assert newest(body.encode()).records == [store.Record(4, "a", b"a")]


@pytest.mark.parametrize(
    "body",
    [
        f'{{"items":[],"has_more":false,"end":6,"more":{DEEP}}}'.encode(),
        f'{{"items":[],"has_more":false,"end":{2**63}}}'.encode(),
        b'{"items":[5],"has_more":true,"end":6}',
        b"\xff",
    ],
)
def test_an_odd_page_is_an_error_of_the_store(body):
    assert isinstance(newest(body), store.StoreError)


def parse_request(*headers):
    req = http_server.Request(
        "POST",
        "/x/",
        [("host", "a.example"), ("request-id", "id1"), *headers],
        b"",
        5.0,
        "127.0.0.1",
    )
    return wire.HttpWire().parse_request(req)


@pytest.mark.parametrize(
    "header",
    [
        ("deadline-ms", "nan"),
        ("deadline-ms", "inf"),
        ("deadline-ms", "-inf"),
        ("deadline-ms", "1e400"),
        ("pieces", "9" * 5000),
        ("pieces", "65536"),
        ("pieces", "-1"),
        ("pieces", "\N{SUPERSCRIPT TWO}"),
        ("token-usage", f"1,{2**32}"),
        ("token-usage", "-1,1"),
        ("prompt-prefix", f"a:{2**31},b:{2**31}"),
        ("prompt-prefix", "a:" + "9" * 5000),
    ],
)
def test_a_number_that_fits_no_message_is_refused(header):
    assert isinstance(parse_request(header), outcomes.Rejected)


@pytest.mark.parametrize(
    ("text", "allowed_s"), [("-5", 0.0), ("1e300", 86400.0), ("1500", 1.5)]
)
def test_the_time_that_a_caller_allows_is_bounded(text, allowed_s):
    assert parse_request(("deadline-ms", text)).allowed_s == allowed_s


@pytest.mark.parametrize("handle", ["a\r\nTenant: x", "a,b", "h" * 70_000])
def test_a_handle_that_fits_no_header_is_a_failed_piece(handle):
    body = json.dumps({"items": [{"handle": handle}]}).encode()
    (reply,) = wire.HttpWire().parse_pieces(body, 1)
    assert (reply.handle, reply.failure) == ("", pieces.FAILED)


def test_a_deeply_nested_answer_to_a_piece_call_is_unreadable():
    body = f'{{"items":[{{"handle":"h"}}],"more":{DEEP}}}'.encode()
    assert wire.HttpWire().parse_pieces(body, 1) is None


def new_fleet(loop, source):
    own = membership.Member("own", "127.0.0.1:7000", "dc1", 1)
    return fleets.Fleet(
        loop, source, own, KEY, loop.clock, random.Random(1), ()
    )


def test_odd_entries_of_hosts_hide_no_other(env):
    loop, _, source = env
    fleet = new_fleet(loop, source)
    for name, value in (
        ("h1", b"nowhere dc1"),
        ("h2", b"127.0.0.1:x dc1"),
        ("h3", "127.0.0.1:\N{SUPERSCRIPT TWO} dc1".encode()),
        ("h4", b"127.0.0.1:65535 dc1"),
        ("h5", b"127.0.0.1:7000 " + b"d" * 100_000),
        ("h6", b"\xff\xfe"),
        ("h 7", b"127.0.0.1:7000 dc1"),
        ("good", b"127.0.0.2:7000 dc1"),
    ):
        source.write(store.Topic.ROUTERS, name, value)
    page = source.read_newest(store.Topic.ROUTERS, "", 1.0).result()
    fleet._add_listed_hosts(page)
    (peer,) = fleet.peers(fleets.PeerPort.STAGES)
    assert (peer.name, peer.address) == ("good", ("127.0.0.2", 7001))


def gossip_of(sender, *members, **fields):
    return messages.Gossip(
        "ping", sender, "127.0.0.1:1", 1, 1, members=members, **fields
    )


def member(name, address="127.0.0.1:9", incarnation=1):
    return membership.Member(name, address, "dc1", incarnation)


@pytest.mark.parametrize(
    "odd",
    [
        member("odd", "nowhere"),
        member("odd", "127.0.0.1:99999"),
        member("odd", incarnation=2**64 - 1),
    ],
)
def test_an_odd_member_hides_no_other_of_its_datagram(odd):
    frame = messages.encode_gossip(
        KEY, gossip_of(member("a"), odd, member("b"))
    )
    names = [m.name for m in messages.decode_gossip(KEY, frame).members]
    assert names == ["b"]
    frame = messages.encode_gossip(KEY, gossip_of(odd))
    assert isinstance(messages.decode_gossip(KEY, frame), messages.BadFrame)


def test_an_indirect_ping_of_no_address_is_refused():
    ping = gossip_of(member("a"), subject="nowhere")._replace(
        kind="indirectPing"
    )
    frame = messages.encode_gossip(KEY, ping)
    assert isinstance(messages.decode_gossip(KEY, frame), messages.BadFrame)


def test_a_listener_that_raises_does_not_end_gossip(env):
    loop, _, _ = env
    calls = []

    def fail(*args):
        calls.append(args)
        raise KeyError(args)

    port = lh.free_ports(1)
    own = membership.Member("own", f"127.0.0.1:{port}", "dc1", 1)
    ctrl = gossip.GossipController(
        own, KEY, loop.clock, metrics.Metrics(None), random.Random(1)
    )
    ctrl.on_config = fail
    ctrl.start()
    try:
        with lh.socket.socket(type=lh.socket.SOCK_DGRAM) as sock:
            for sequence in (1, 2):
                ping = gossip_of(member("a"))._replace(
                    target=own.address, sequence=sequence
                )
                frame = messages.encode_gossip(KEY, ping)
                sock.sendto(frame, ("127.0.0.1", port))
            lh.run_until(loop, lambda: len(calls) == 2)
    finally:
        ctrl.stop()


def stored_blocks(env, *values):
    """Returns the blocks that a starting host reads."""
    loop, clock, source = env
    for number, value in enumerate(values):
        source.write(store.Topic.BLOCKS, str(number), value)
    found = []
    block_records.BlockRecords(
        loop, source, clock, found.extend, list, random.Random(1)
    ).start()
    lh.run_pending(loop)
    return found


def stored_block(clock, **changes):
    now = clock.wall()
    fields = {"parts": ["a"], "round": 1, "since": now - 1, "ends_at": now + 9}
    return json.dumps({**fields, **changes}).encode()


def test_an_odd_stored_block_hides_no_other(env):
    clock = env[1]
    good = stored_block(clock, parts=["good"])
    found = stored_blocks(
        env,
        with_field(json.loads(good), "more", DEEP),
        stored_block(clock, parts=[]),
        stored_block(clock, parts=["a" * 100_000]),
        stored_block(clock, round=2**40),
        stored_block(clock, round=0),
        b"\xff",
        good,
    )
    assert [block.parts for block in found] == [{"good"}]


def test_a_stored_block_ends_within_the_longest_time(env):
    loop, clock, _ = env
    odd = stored_block(clock, since=-1e300, ends_at=1e300)
    (block,) = stored_blocks(env, odd)
    assert block.ends_at - loop.now() == prompt_blocks.MAX_BLOCK_S
    message = advisory_messages.AdvisoryMessage((block,))
    frame = advisory_messages.encode(KEY, message, loop.now())
    decoded = advisory_messages.decode(KEY, frame, loop.now())
    assert decoded.items[0].parts == {"a"}


def test_a_block_of_a_very_late_round_can_be_followed_by_another():
    blocks = prompt_blocks.PromptBlocks()
    parts = frozenset("a")
    blocks.merge(
        prompt_blocks.PromptBlock(parts, 2**31 - 1, True, 0.0, 1.0, 1.0)
    )
    blocks.add(parts, 0.0, 2.0)
    (block,) = blocks.active()
    assert block.ends_at == 2.0 + prompt_blocks.MAX_BLOCK_S


@pytest.mark.parametrize("per_s", [float("nan"), float("inf"), -1.0, 1e-320])
def test_an_odd_limit_hides_no_other(per_s):
    limits = [
        endpoint_limits.EndpointLimit(name, 1, value, 5.0)
        for name, value in (("odd", per_s), ("e1", 2.0), ("e2", 0.0))
    ]
    message = advisory_messages.AdvisoryMessage(tuple(limits))
    frame = advisory_messages.encode(KEY, message, 5.0)
    decoded = advisory_messages.decode(KEY, frame, 5.0)
    assert [limit.endpoint for limit in decoded.items] == ["e1", "e2"]


def test_a_datagram_to_a_port_out_of_range_is_dropped(env):
    loop, _, _ = env
    sock = peer_socket.PeerSocket(
        loop, ("127.0.0.1", 0), lambda frame: frame, print, "refused"
    )
    sock.send(("127.0.0.1", 65536), b"x")
    sock.close()


def fail_on(bad):
    def fail(frame):
        if frame == bad:
            raise KeyError(frame)
        return frame

    return fail


@pytest.mark.parametrize("is_in_decoder", [False, True])
def test_a_datagram_that_fails_does_not_stop_the_socket(env, is_in_decoder):
    loop, _, _ = env
    received = []
    fail = fail_on(b"odd")

    def on_message(message, source):
        received.append(fail(message))

    sock = peer_socket.PeerSocket(
        loop,
        ("127.0.0.1", 0),
        fail if is_in_decoder else lambda frame: frame,
        on_message,
        "refused",
    )
    for frame in (b"odd", b"good"):
        sock.send(sock.address, frame)
    lh.run_until(loop, lambda: b"good" in received)
    assert received == [b"good"]
    sock.close()


def _sample_frames():
    block = prompt_blocks.PromptBlock(frozenset("ab"), 1, True, 1.0, 2.0, 2.0)
    crash = crash_reports.CrashReport("e", 1, 1.0, {frozenset("a"): 0.5})
    limit = endpoint_limits.EndpointLimit("e", 1, 2.0, 1.0)
    endless = avoidances.EndlessReply("e", 1, 2, 1.0)
    graph = stage_graph.StageGraph(
        "id", "k", 1, 2.0, 3.0, (stage_graph.StageSpec("p", (), 2, 9),), "dc1"
    )
    result = pieces.PieceResult("h", "e", "127.0.0.1:1", "dc1", "p")
    update = store.TopicUpdate(
        store.Topic.ENDPOINTS, 1, 3, 4.0, (store.Record(1, "k", b"v" * 600),)
    )
    return {
        "gossip": (
            messages.SCHEMA.Gossip,
            messages.encode_gossip(
                KEY,
                gossip_of(
                    member("a"),
                    member("b"),
                    leaving=(messages.LeavingEndpoint("127.0.0.1:1", 3),),
                    uses=(messages.AccountUse("u", 1.5),),
                ),
            ),
            lambda frame: messages.decode_gossip(KEY, frame),
        ),
        "stages": (
            messages.SCHEMA.StageMessage,
            stage_messages.encode(
                KEY,
                stage_messages.StageMessage(
                    stage_messages.Kind.SUBMIT, 1, graph
                ),
                1.0,
            ),
            lambda frame: stage_messages.decode(KEY, frame, 1.0),
        ),
        "results": (
            messages.SCHEMA.StageMessage,
            stage_messages.encode(
                KEY,
                stage_messages.StageMessage(
                    stage_messages.Kind.ACCEPTED, 1, completed=((0, (result,)),)
                ),
                1.0,
            ),
            lambda frame: stage_messages.decode(KEY, frame, 1.0),
        ),
        "store": (
            messages.SCHEMA.StoreNews,
            store_messages.encode(KEY, store_messages.StoreNews([update]), 5.0),
            lambda frame: store_messages.decode(KEY, frame, 5.0),
        ),
        "advisories": (
            messages.SCHEMA.Advisories,
            advisory_messages.encode(
                KEY,
                advisory_messages.AdvisoryMessage(
                    (block, crash, limit, endless)
                ),
                3.0,
            ),
            lambda frame: advisory_messages.decode(KEY, frame, 3.0),
        ),
        "permits": (
            messages.SCHEMA.Permit,
            permits._encode(
                KEY,
                permits._Message(
                    permits._Kind.REQUEST,
                    1,
                    permits.EndpointRun("e", 1),
                    2.0,
                    0.5,
                ),
            ),
            lambda frame: permits._decode(KEY, frame),
        ),
        "transfer": (
            messages.SCHEMA.TransferReply,
            messages.encode_reply(KEY, messages.TransferReply(1, 2, 3, b"{}")),
            lambda frame: messages.decode_reply(KEY, frame),
        ),
    }


@pytest.mark.parametrize(
    "kind",
    [
        "gossip",
        "stages",
        "results",
        "store",
        "advisories",
        "permits",
        "transfer",
    ],
)
def test_no_datagram_raises_when_it_is_read(kind):
    schema, frame, decode = _sample_frames()[kind]
    message = schema.from_bytes_packed(frame[messages.MAC_BYTES :])
    plain = message.as_builder().to_bytes()
    rng = random.Random(f"{kind} 1")
    for _ in range(3000):
        data = bytearray(plain)
        for _ in range(rng.randrange(1, 4)):
            # The segment table before the first word stays valid.
            data[rng.randrange(8, len(data))] = rng.randrange(256)
        decode(messages.seal(KEY, _pack(data)))


def _pack(data):
    """Returns a message in Cap'n Proto's packed form, without runs."""
    packed = bytearray()
    for first in range(0, len(data), 8):
        word = data[first : first + 8]
        packed.append(sum(1 << i for i, byte in enumerate(word) if byte))
        packed += bytes(byte for byte in word if byte)
        if all(word) or not any(word):
            packed.append(0)
    return bytes(packed)


ENTRY = {
    "name": "x",
    "address": "127.0.0.1:9",
    "role": "endpoint",
    "pool": "encode",
    "data_centre": "a",
    "state": "live",
    "incarnation": 1,
}


class Transfers:
    """Returns one reply to every exchange."""

    def __init__(self, body):
        self.body = body

    def send_and_wait(self, exchange):
        """Returns the reply."""
        return exchanges.Reply(200, {}, self.body, 0.0)


@pytest.mark.parametrize(
    "odd",
    [
        with_field(ENTRY, "incarnation", "-1"),
        with_field(ENTRY, "incarnation", str(2**64)),
        with_field(ENTRY, "address", '"127.0.0.1:99999"'),
        with_field(ENTRY, "address", '"nowhere"'),
        with_field(ENTRY, "name", DEEP),
        b"5",
    ],
)
def test_an_odd_entry_of_the_host_list_hides_no_other(odd):
    body = b'{"hosts": [%s, %s]}' % (odd, json.dumps(ENTRY).encode())
    controller = hosts.HostsController(
        "127.0.0.1:1", Transfers(body), metrics.Metrics(None)
    )
    assert controller.read() == [hosts.HostEntry(**ENTRY)]


@pytest.mark.parametrize(
    "body", [DEEP.encode(), b"\xff", b'{"records": 5}', b'{"records": [{}]}']
)
def test_an_odd_reply_of_the_log_is_an_error(body):
    client = log_client.LogClient("127.0.0.1:1", Transfers(body))
    assert isinstance(client.read("calls", 0), log_client.LogError)


def test_flattened_json_keeps_all_but_what_is_nested_too_deeply():
    data = b'{"a": [1, {"b": [2]}], "c": "[[{", "d": "\\"[", "e": [[[5]]]}'
    assert json.loads(decoding.flatten(data, 2)) == {
        "a": [1, None],
        "c": "[[{",
        "d": '"[',
        "e": [None],
    }
    assert decoding.flatten(data, 9) == data


@pytest.mark.parametrize(
    "address",
    ["", ":", "1.2.3.4:", ":80", "1.2.3.4:0", "1.2.3:80", "[::1]:80", "a:80"],
)
def test_what_is_no_address_isn_t_parsed(address):
    assert addresses.parse(address) is None
    assert addresses.parse("1.2.3.4:65535") == ("1.2.3.4", 65535)
