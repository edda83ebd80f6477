"""Topic updates that one host shares with its neighbours."""

import random

import loop_helpers as lh
import pytest

from chervilarch import (
    followers,
    hosts,
    http_client,
    messages,
    stage_coordination,
    store,
    store_messages,
    store_sharing,
)

KEY = b"k" * 16
PAUSE_S = 1.0
ENDPOINTS = store.Topic.ENDPOINTS


def decode_listing(name, value):
    if value == b"bad":
        return store.StoreError("bad")
    word, _, sequence = value.partition(b" ")
    state = hosts.LEAVING if word == b"leaving" else "live"
    return lh.listing(name, state=state, sequence=int(sequence))


class Host:
    """A host that follows the endpoints over its own link to the store."""

    def __init__(self, loop, name, source):
        self.source = source
        self.endpoints = followers.EndpointFollower(
            loop, source, decode_listing, PAUSE_S
        )
        self.neighbours = []
        self.sharing = store_sharing.StoreSharing(
            loop,
            stage_coordination.Peer(name, ("127.0.0.1", lh.free_ports(1))),
            lambda: self.neighbours,
            lambda: self.neighbours,
            {ENDPOINTS: self.endpoints.topic_follower},
            KEY,
            http_client.Client(loop),
            random.Random(1),
        )
        self.peer = stage_coordination.Peer(name, self.sharing._socket.address)
        self.notified = []
        self.endpoints.add_listener(self.notified.append)

    def listed(self):
        return sorted(self.notified[-1].get("p", {})) if self.notified else []

    def reads(self):
        return self.source.calls.count("changes")


class Link(lh.FakeStore):
    """One host's link to a store that all hosts share."""

    def __init__(self, shared):
        super().__init__()
        self.log = shared.log
        self.first = shared.first


@pytest.fixture
def cluster():
    loop, clock = lh.new_loop()
    shared = lh.FakeStore()
    for n in range(3):
        shared.write(ENDPOINTS, f"e{n}", b"live 1")
    members = [Host(loop, f"n{n}", Link(shared)) for n in range(3)]
    for host in members:
        host.neighbours = [peer.peer for peer in members if peer is not host]
    by_rank = sorted(members, key=lambda host: host.sharing.read_rank())
    for host in members:
        host.endpoints.topic_follower.start()
    lh.run_pending(loop)
    yield loop, clock, shared, by_rank
    for host in members:
        host.sharing.close()
    loop.close()


def test_one_host_reads_and_all_get_the_changes(cluster):
    loop, clock, shared, (first, second, third) = cluster
    lh.advance(loop, clock, 3 * PAUSE_S)
    before = [host.reads() for host in (first, second, third)]
    for number in range(2, 12):
        shared.write(ENDPOINTS, "e0", b"live %d" % number)
        shared.write(ENDPOINTS, "e1", b"leaving %d" % number)
        lh.advance(loop, clock, PAUSE_S)
    reads = [
        host.reads() - count
        for host, count in zip((first, second, third), before, strict=True)
    ]
    assert reads[0] in (9, 10) and reads[1:] == [0, 0]
    assert second.listed() == third.listed() == ["e0", "e2"]


def test_a_change_arrives_in_time_when_the_reader_fails(cluster):
    loop, clock, shared, (first, second, third) = cluster
    lh.advance(loop, clock, 3 * PAUSE_S)
    first.endpoints.topic_follower.on_update = lambda update: None
    first.source.error = store.StoreError("cut off")
    shared.write(ENDPOINTS, "e1", b"")
    lh.advance(loop, clock, 1.15 * PAUSE_S)
    assert second.listed() == third.listed() == ["e0", "e2"]
    assert third.reads() <= 1


def test_a_lost_update_is_detected_by_the_offset_gap(cluster):
    loop, clock, shared, (first, second, third) = cluster
    lh.advance(loop, clock, 3 * PAUSE_S)
    first.neighbours.remove(third.peer)
    shared.write(ENDPOINTS, "e1", b"leaving 2")
    lh.advance(loop, clock, 0.9 * PAUSE_S)
    first.neighbours.append(third.peer)
    shared.write(ENDPOINTS, "e2", b"leaving 2")
    lh.advance(loop, clock, 1.3 * PAUSE_S)
    assert third.listed() == ["e0"]


def test_a_host_without_the_store_gets_updates_from_neighbours(cluster):
    loop, clock, shared, (first, second, third) = cluster
    lh.advance(loop, clock, 3 * PAUSE_S)
    third.source.error = store.StoreError("cut off")
    first.source.calls.clear()
    shared.write(ENDPOINTS, "e1", b"")
    lh.advance(loop, clock, 1.1 * PAUSE_S)
    assert third.listed() == ["e0", "e2"]


def test_an_older_update_is_ignored(cluster):
    loop, clock, shared, (first, second, third) = cluster
    shared.write(ENDPOINTS, "e1", b"leaving 5")
    lh.advance(loop, clock, 2 * PAUSE_S)
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
    lh.advance(loop, clock, PAUSE_S)
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
    lh.advance(loop, clock, 3 * PAUSE_S)
    before = third.reads()
    for n in range(count):
        shared.write(ENDPOINTS, f"{n}-{'x' * 200}", b"live 1")
    lh.advance(loop, clock, 1.05 * PAUSE_S)
    assert len(second.listed()) == len(third.listed()) == 3 + count
    assert third.reads() - before == reads


def test_hosts_of_higher_rank_retry_less_often_in_an_outage(cluster):
    loop, clock, shared, members = cluster
    lh.advance(loop, clock, 3 * PAUSE_S)
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
    lh.advance(loop, clock, 3 * PAUSE_S)
    for host in members:
        host.source.error = store.StoreError("down")
    lh.advance(loop, clock, 5.0)
    shared.write(ENDPOINTS, "e1", b"")
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
    lh.advance(loop, clock, 8 * PAUSE_S)
    third.source.error = None
    lh.advance(loop, clock, 2 * PAUSE_S)
    assert not ended


def test_an_update_after_an_outage_ends_the_retry_delay_of_other_hosts(cluster):
    loop, clock, shared, (first, second, third) = cluster
    lh.advance(loop, clock, 3 * PAUSE_S)
    # Updates then only tell that there are records; each host reads the store.
    for host in (first, second, third):
        host.endpoints.topic_follower._shares_changes = False
        host.source.error = store.StoreError("down")
    lh.advance(loop, clock, 10.0)
    shared.write(ENDPOINTS, "e1", b"leaving 2")
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
    shared.write(ENDPOINTS, "e1", b"leaving 2")
    lh.advance(loop, clock, 2 * PAUSE_S)
    late = Host(loop, "n9", Link(shared))
    late.source.error = store.StoreError("down")
    late.endpoints.topic_follower.start()
    lh.advance(loop, clock, PAUSE_S)
    assert not late.endpoints.topic_follower.has_read()
    late.neighbours = [third.peer]
    clock.advance(PAUSE_S)
    lh.run_until(loop, lambda: late.listed() == ["e0", "e2"])
    assert late.endpoints.topic_follower.state().end == 4
    shared.write(ENDPOINTS, "e0", b"")
    late.source.error = None
    lh.advance(loop, clock, 2 * PAUSE_S)
    assert late.listed() == ["e2"]
    late.sharing.close()


def test_a_peer_without_a_snapshot_is_ignored(cluster):
    loop, clock, shared, (first, second, third) = cluster
    late, other = (Host(loop, name, Link(shared)) for name in ("n8", "n9"))
    late.source.error = store.StoreError("down")
    late.neighbours = [other.peer]
    late.endpoints.topic_follower.start()
    lh.run_until(loop, lambda: other.sharing._server.connection_count() == 1)
    lh.run_until(loop, lambda: other.sharing._server.connection_count() == 0)
    assert not late.endpoints.topic_follower.has_read()
    late.source.error = None
    lh.advance(loop, clock, PAUSE_S)
    assert late.listed() == ["e0", "e1", "e2"]
    late.sharing.close()
    other.sharing.close()


def test_topic_updates_survive_a_round_trip():
    updates = [
        store.TopicUpdate(
            ENDPOINTS, 3, 9, 99.5, (store.Record(4, "e1", b"x"),)
        ),
        store.TopicUpdate(store.Topic.CONFIGURATION, 7, 7, 99.0),
    ]
    frame = store_messages.encode(KEY, updates, 100.0)
    decoded = store_messages.decode(KEY, frame, 100.0)
    assert [update._replace(read_at=0) for update in decoded] == [
        update._replace(read_at=0) for update in updates
    ]
    assert [update.read_at for update in decoded] == pytest.approx(
        [99.5, 99.0], abs=0.002
    )
    assert isinstance(
        store_messages.decode(b"z" * 16, frame, 100.0), messages.BadFrame
    )
    broken = messages.seal(KEY, b"\xff\xff")
    assert isinstance(
        store_messages.decode(KEY, broken, 100.0), messages.BadFrame
    )
