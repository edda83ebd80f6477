"""Topic updates that one host shares with its neighbours."""

import random

import loop_helpers as lh
import pytest
import store_hosts as sh

from chervilarch import messages, store, store_messages, store_sharing
from chervilarch.futures import Future


@pytest.fixture
def cluster():
    """One data centre of three hosts; the hosts in their read order."""
    yield from sh.run_hosts(3, data_centres=1)


def test_one_host_reads_and_all_get_the_changes(cluster):
    loop, clock, shared, (first, second, third) = cluster
    lh.advance(loop, clock, 3 * sh.PAUSE_S)
    before = [host.reads() for host in (first, second, third)]
    for number in range(2, 12):
        shared.write(sh.ENDPOINTS, "e0", b"live %d" % number)
        shared.write(sh.ENDPOINTS, "e1", b"leaving %d" % number)
        lh.advance(loop, clock, sh.PAUSE_S)
    reads = [
        host.reads() - count
        for host, count in zip((first, second, third), before, strict=True)
    ]
    assert reads[0] in (9, 10) and reads[1:] == [0, 0]
    assert second.listed() == third.listed() == ["e0", "e2"]


def test_a_change_arrives_in_time_when_the_reader_fails(cluster):
    loop, clock, shared, (first, second, third) = cluster
    lh.advance(loop, clock, 3 * sh.PAUSE_S)
    first.endpoints.topic_follower.on_update = lambda update: None
    first.source.error = store.StoreError("cut off")
    shared.write(sh.ENDPOINTS, "e1", b"")
    lh.advance(loop, clock, 1.15 * sh.PAUSE_S)
    assert second.listed() == third.listed() == ["e0", "e2"]
    assert third.reads() <= 1


def test_a_lost_update_is_detected_by_the_offset_gap(cluster):
    loop, clock, shared, (first, second, third) = cluster
    lh.advance(loop, clock, 3 * sh.PAUSE_S)
    first.neighbours.remove(third.peer)
    shared.write(sh.ENDPOINTS, "e1", b"leaving 2")
    lh.advance(loop, clock, 0.9 * sh.PAUSE_S)
    first.neighbours.append(third.peer)
    shared.write(sh.ENDPOINTS, "e2", b"leaving 2")
    lh.advance(loop, clock, 1.3 * sh.PAUSE_S)
    assert third.listed() == ["e0"]


def test_a_host_without_the_store_gets_updates_from_neighbours(cluster):
    loop, clock, shared, (first, second, third) = cluster
    lh.advance(loop, clock, 3 * sh.PAUSE_S)
    third.source.error = store.StoreError("cut off")
    first.source.calls.clear()
    shared.write(sh.ENDPOINTS, "e1", b"")
    lh.advance(loop, clock, 1.1 * sh.PAUSE_S)
    assert third.listed() == ["e0", "e2"]


def test_an_older_update_is_ignored(cluster):
    loop, clock, shared, (first, second, third) = cluster
    shared.write(sh.ENDPOINTS, "e1", b"leaving 5")
    lh.advance(loop, clock, 2 * sh.PAUSE_S)
    follower = second.endpoints.topic_follower
    state = follower.state()
    old = store.Record(0, "e1", b"live 6")
    follower.apply_update(
        state._replace(first=0, end=1, records=(old,), read_at=loop.now()),
        "n9",
    )
    assert follower.state() == state and second.listed() == ["e0", "e2"]


def test_records_of_overlapping_updates_are_applied_once(cluster):
    loop, clock, shared, (first, second, third) = cluster
    lh.advance(loop, clock, sh.PAUSE_S)
    follower = second.endpoints.topic_follower
    state = follower.state()
    stale = store.Record(state.end - 1, "e2", b"")
    fresh = store.Record(state.end, "e1", b"")
    follower.apply_update(
        state._replace(
            first=state.end - 1, end=state.end + 1, records=(stale, fresh)
        ),
        "n9",
    )
    assert second.listed() == ["e0", "e2"]


@pytest.mark.parametrize(("count", "reads"), [(30, 0), (200, 1)])
def test_long_updates_are_split_and_very_long_ones_are_read(
    cluster, count, reads
):
    loop, clock, shared, (first, second, third) = cluster
    lh.advance(loop, clock, 3 * sh.PAUSE_S)
    before = third.reads()
    for n in range(count):
        shared.write(sh.ENDPOINTS, f"{n}-{'x' * 200}", b"live 1")
    lh.advance(loop, clock, 1.05 * sh.PAUSE_S)
    assert len(second.listed()) == len(third.listed()) == 3 + count
    assert third.reads() - before == reads


def test_hosts_of_higher_rank_retry_less_often_in_an_outage(cluster):
    loop, clock, shared, members = cluster
    lh.advance(loop, clock, 3 * sh.PAUSE_S)
    for host in members:
        host.source.error = store.StoreError("down")
    before = [host.reads() for host in members]
    lh.advance(loop, clock, 10.0)
    counts = [
        host.reads() - count
        for host, count in zip(members, before, strict=True)
    ]
    assert counts[0] > counts[1] > counts[2] >= 5


def test_entries_that_expire_in_an_outage_have_time_to_return(cluster):
    loop, clock, shared, members = cluster
    lh.advance(loop, clock, 3 * sh.PAUSE_S)
    for host in members:
        host.source.error = store.StoreError("down")
    lh.advance(loop, clock, 5.0)
    shared.write(sh.ENDPOINTS, "e1", b"")
    for host in members:
        host.source.error = None
    lh.advance(loop, clock, 1.5)
    assert all(host.listed() == ["e0", "e1", "e2"] for host in members)
    lh.advance(loop, clock, 2.5)
    assert all(host.listed() == ["e0", "e2"] for host in members)


def test_one_host_without_the_store_is_no_outage(cluster):
    loop, clock, shared, (first, second, third) = cluster
    ended = []
    third.endpoints.topic_follower.on_outage_end = lambda: ended.append(
        loop.now()
    )
    third.source.error = store.StoreError("cut off")
    lh.advance(loop, clock, 8 * sh.PAUSE_S)
    third.source.error = None
    lh.advance(loop, clock, 2 * sh.PAUSE_S)
    assert not ended


def test_an_update_after_an_outage_ends_the_retry_delay_of_other_hosts(
    cluster, monkeypatch
):
    loop, clock, shared, (first, second, third) = cluster
    lh.advance(loop, clock, 3 * sh.PAUSE_S)
    # Updates then only tell that there are records; each host reads the store.
    monkeypatch.setattr(store_sharing, "_MAX_FRAME_BYTES", 0)
    for host in (first, second, third):
        host.source.error = store.StoreError("down")
    lh.advance(loop, clock, 10.0)
    shared.write(sh.ENDPOINTS, "e1", b"leaving 2")
    before = third.reads()
    lh.run_until(loop, lambda: _advance(loop, clock) and third.reads() > before)
    # The third host has just failed a read and would retry 2 s later.
    for host in (first, second, third):
        host.source.error = None
    lh.advance(loop, clock, 1.0)
    assert third.listed() == ["e0", "e2"]


def _advance(loop, clock):
    lh.advance(loop, clock, 0.01)
    return True


def test_a_host_that_starts_in_an_outage_fetches_from_a_peer(cluster):
    loop, clock, shared, (first, second, third) = cluster
    shared.write(sh.ENDPOINTS, "e1", b"leaving 2")
    lh.advance(loop, clock, 2 * sh.PAUSE_S)
    late = sh.Host(loop, "n9", lh.FakeStore(shared))
    late.source.error = store.StoreError("down")
    late.endpoints.topic_follower.start()
    lh.advance(loop, clock, sh.PAUSE_S)
    assert not late.endpoints.topic_follower.has_read()
    late.neighbours = [third.peer]
    clock.advance(sh.PAUSE_S)
    lh.run_until(loop, lambda: late.listed() == ["e0", "e2"])
    assert late.endpoints.topic_follower.state().end == 4
    shared.write(sh.ENDPOINTS, "e0", b"")
    late.source.error = None
    lh.advance(loop, clock, 2 * sh.PAUSE_S)
    assert late.listed() == ["e2"]
    late.sharing.close()


def test_a_peer_without_a_snapshot_is_ignored(cluster):
    loop, clock, shared, (first, second, third) = cluster
    late, other = (
        sh.Host(loop, name, lh.FakeStore(shared)) for name in ("n8", "n9")
    )
    late.source.error = store.StoreError("down")
    late.neighbours = [other.peer]
    late.endpoints.topic_follower.start()
    lh.run_until(loop, lambda: other.sharing._server.connection_count() == 1)
    lh.run_until(loop, lambda: other.sharing._server.connection_count() == 0)
    assert not late.endpoints.topic_follower.has_read()
    late.source.error = None
    lh.advance(loop, clock, sh.PAUSE_S)
    assert late.listed() == ["e0", "e1", "e2"]
    late.sharing.close()
    other.sharing.close()


def test_a_peers_snapshot_is_no_younger_than_its_request(cluster, monkeypatch):
    # A host that stood still reads the reply late: it holds an old list.
    loop, clock, shared, (first, second, third) = cluster
    lh.advance(loop, clock, 2 * sh.PAUSE_S)
    late = sh.Host(loop, "n9", lh.FakeStore(shared))
    late.neighbours = [third.peer]
    client, replies, delayed = late.sharing._client, [], Future()
    call = client.call

    def call_late(exchange):
        replies.append(call(exchange))
        return delayed

    monkeypatch.setattr(client, "call", call_late)
    asked_at = loop.now()
    fetched = late.endpoints.topic_follower.fetch_from_peer()
    lh.run_until(loop, lambda: replies[0].done())
    clock.advance(5.0)
    delayed.set_result(replies[0].result())
    assert fetched.result().read_at <= asked_at
    late.sharing.close()


def test_topic_updates_survive_a_round_trip():
    updates = [
        store.TopicUpdate(
            sh.ENDPOINTS,
            3,
            9,
            99.5,
            (store.Record(4, "e1", b"x"), store.Record(5, "e2", b"y" * 9000)),
        ),
        store.TopicUpdate(store.Topic.CONFIGURATION, 7, 7, 99.0),
    ]
    news = store_messages.StoreNews(updates, must_relay=True)
    frame = store_messages.encode(sh.KEY, news, 100.0)
    decoded, must_relay = store_messages.decode(sh.KEY, frame, 100.0)
    assert must_relay
    assert [update._replace(read_at=0) for update in decoded] == [
        update._replace(read_at=0) for update in updates
    ]
    assert [update.read_at for update in decoded] == pytest.approx(
        [99.5, 99.0], abs=0.002
    )
    assert isinstance(
        store_messages.decode(b"z" * 16, frame, 100.0), messages.BadFrame
    )
    broken = messages.seal(sh.KEY, b"\xff\xff")
    assert isinstance(
        store_messages.decode(sh.KEY, broken, 100.0), messages.BadFrame
    )


def test_a_value_that_grows_beyond_bounds_is_refused(monkeypatch):
    record = store.Record(4, "e1", b"x" * 5000)
    update = store.TopicUpdate(sh.ENDPOINTS, 3, 9, 99.5, (record,))
    frame = store_messages.encode(
        sh.KEY, store_messages.StoreNews([update]), 100.0
    )
    assert len(frame) < 500
    monkeypatch.setattr(store_messages, "_MAX_VALUE_BYTES", 4000)
    assert isinstance(
        store_messages.decode(sh.KEY, frame, 100.0), messages.BadFrame
    )


@pytest.fixture
def fleet():
    """Three data centres of three hosts; the hosts in their read order."""
    yield from sh.run_hosts(9, data_centres=3)


def in_data_centre_of(host, members):
    name = host.peer.data_centre
    return [member for member in members if member.peer.data_centre == name]


def test_leaders_of_data_centres_read_before_other_hosts(fleet):
    *_, members = fleet
    ranks = [host.sharing.read_rank() for host in members]
    assert ranks == [0, 1, 2, 3, 3, 3, 4, 4, 4]
    leaders = {host.peer.data_centre for host in members[:3]}
    assert len(leaders) == 3


def test_one_host_reads_for_all_data_centres(fleet):
    loop, clock, shared, members = fleet
    lh.advance(loop, clock, 3 * sh.PAUSE_S)
    before = [host.reads() for host in members]
    for number in range(2, 12):
        shared.write(sh.ENDPOINTS, "e1", b"leaving %d" % number)
        lh.advance(loop, clock, sh.PAUSE_S)
    reads = [
        host.reads() - count
        for host, count in zip(members, before, strict=True)
    ]
    assert reads[0] in (9, 10) and not any(reads[1:])
    assert all(host.listed() == ["e0", "e2"] for host in members)


def isolate(host, members):
    """Cuts a host off from the store and from all other hosts."""
    host.source.error = store.StoreError("cut off")
    host.endpoints.topic_follower.on_update = lambda update: None
    host.sharing._send = lambda *args, **kwargs: None
    for member in members:
        for peers in (member.neighbours, member.remote):
            if host.peer in peers:
                peers[peers.index(host.peer)] = host.peer._replace(
                    address=("127.0.0.1", 9)
                )


@pytest.mark.parametrize("rank", [0, 1])
def test_a_change_arrives_in_time_when_a_leader_fails(fleet, rank):
    loop, clock, shared, members = fleet
    lh.advance(loop, clock, 3 * sh.PAUSE_S)
    failed = members[rank]
    # It still counts as alive, as right after a crash or while it is paused.
    isolate(failed, members)
    shared.write(sh.ENDPOINTS, "e1", b"")
    lh.advance(
        loop, clock, (1 + 0.1 * store_sharing._MAX_READ_RANK) * sh.PAUSE_S
    )
    others = [host for host in members if host is not failed]
    assert all(host.listed() == ["e0", "e2"] for host in others)


def test_a_data_centre_without_its_leader_reads_through_one_host(fleet):
    loop, clock, shared, members = fleet
    lh.advance(loop, clock, 3 * sh.PAUSE_S)
    leader = members[2]
    isolate(leader, members)
    near = [h for h in in_data_centre_of(leader, members) if h is not leader]
    before = [host.reads() for host in near]
    lh.advance(loop, clock, 10 * sh.PAUSE_S)
    reads = sorted(
        host.reads() - count for host, count in zip(near, before, strict=True)
    )
    assert reads[0] <= 1 and 5 <= reads[1] <= 12


@pytest.mark.parametrize(
    ("padding", "must_read"),
    [
        pytest.param(b"route " * 2000, False, id="compressible"),
        pytest.param(random.Random(1).randbytes(20_000), True, id="too large"),
    ],
)
def test_a_configuration_is_shared_unless_it_is_too_large(padding, must_read):
    loop, clock = lh.new_loop()
    shared = lh.FakeStore()
    topic = store.Topic.CONFIGURATION
    shared.write(topic, "config", b"1 ")
    members = [
        sh.ConfigHost(loop, f"n{n}", sh.WaitingLink(loop, shared))
        for n in range(2)
    ]
    for host, other in (members, reversed(members)):
        host.peers.append(other.peer)
        host.configuration.topic_follower.start()
    lh.advance(loop, clock, 3 * sh.PAUSE_S)
    second = max(members, key=lambda host: host.sharing.read_rank())
    before = second.source.calls.count("changes")
    shared.write(topic, "config", b"2 " + padding)
    lh.advance(loop, clock, 0.2 * sh.PAUSE_S)
    assert all(host.configuration.table.version == 2 for host in members)
    assert (second.source.calls.count("changes") > before) == must_read
    for host in members:
        host.sharing.close()
    loop.close()
