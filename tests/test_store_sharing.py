"""Readings of the store that one host shares with its neighbours."""

import random

import loop_helpers as lh
import pytest

from chervilarch import (
    followers,
    hosts,
    messages,
    outgoing,
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
    """A follower of the endpoints on a store link of its own."""

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
            {ENDPOINTS: self.endpoints.follower},
            KEY,
            outgoing.Client(loop),
            random.Random(1),
        )
        self.peer = stage_coordination.Peer(name, self.sharing._socket.address)
        self.told = []
        self.endpoints.add_listener(self.told.append)

    def listed(self):
        return sorted(self.told[-1].get("p", {})) if self.told else []

    def reads(self):
        return self.source.calls.count("changes")


class Link(lh.FakeStore):
    """One host's way to a store that all share."""

    def __init__(self, shared):
        super().__init__()
        self.log = shared.log
        self.first = shared.first


@pytest.fixture
def world():
    loop, clock = lh.new_loop()
    shared = lh.FakeStore()
    for n in range(3):
        shared.write(ENDPOINTS, f"e{n}", b"live 1")
    found = [Host(loop, f"n{n}", Link(shared)) for n in range(3)]
    for host in found:
        host.neighbours = [peer.peer for peer in found if peer is not host]
    in_turn = sorted(found, key=lambda host: host.sharing.read_rank())
    for host in found:
        host.endpoints.follower.start()
    lh.settle(loop)
    yield loop, clock, shared, in_turn
    for host in found:
        host.sharing.close()
    loop.close()


def test_one_host_reads_and_all_hear_of_the_changes(world):
    loop, clock, shared, (first, second, third) = world
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


def test_a_change_is_known_in_time_when_the_reader_is_lost(world):
    loop, clock, shared, (first, second, third) = world
    lh.advance(loop, clock, 3 * PAUSE_S)
    first.endpoints.follower.on_update = lambda news: None
    first.source.error = store.StoreError("cut off")
    shared.write(ENDPOINTS, "e1", b"")
    lh.advance(loop, clock, 1.15 * PAUSE_S)
    assert second.listed() == third.listed() == ["e0", "e2"]
    assert third.reads() <= 1


def test_lost_news_is_noticed_by_its_gap(world):
    loop, clock, shared, (first, second, third) = world
    lh.advance(loop, clock, 3 * PAUSE_S)
    first.neighbours.remove(third.peer)
    shared.write(ENDPOINTS, "e1", b"leaving 2")
    lh.advance(loop, clock, 0.9 * PAUSE_S)
    first.neighbours.append(third.peer)
    shared.write(ENDPOINTS, "e2", b"leaving 2")
    lh.advance(loop, clock, 1.3 * PAUSE_S)
    assert third.listed() == ["e0"]


def test_a_host_that_is_cut_off_hears_its_neighbours(world):
    loop, clock, shared, (first, second, third) = world
    lh.advance(loop, clock, 3 * PAUSE_S)
    third.source.error = store.StoreError("cut off")
    first.source.calls.clear()
    shared.write(ENDPOINTS, "e1", b"")
    lh.advance(loop, clock, 1.1 * PAUSE_S)
    assert third.listed() == ["e0", "e2"]


def test_older_news_changes_nothing(world):
    loop, clock, shared, (first, second, third) = world
    shared.write(ENDPOINTS, "e1", b"leaving 5")
    lh.advance(loop, clock, 2 * PAUSE_S)
    follower = second.endpoints.follower
    held = follower.state()
    old = store.Change(0, "e1", b"live 6")
    follower.apply_update(
        held._replace(first=0, end=1, changes=(old,), read_at=loop.now()), "n9"
    )
    assert follower.state() == held and second.listed() == ["e0", "e2"]


def test_news_of_an_overlapping_span_is_taken_once(world):
    loop, clock, shared, (first, second, third) = world
    lh.advance(loop, clock, PAUSE_S)
    follower = second.endpoints.follower
    held = follower.state()
    stale = store.Change(held.end - 1, "e2", b"")
    fresh = store.Change(held.end, "e1", b"")
    follower.apply_update(
        held._replace(
            first=held.end - 1, end=held.end + 1, changes=(stale, fresh)
        ),
        "n9",
    )
    assert second.listed() == ["e0", "e2"]


@pytest.mark.parametrize(("count", "reads"), [(30, 0), (200, 1)])
def test_long_news_goes_in_parts_and_very_long_news_is_read(
    world, count, reads
):
    loop, clock, shared, (first, second, third) = world
    lh.advance(loop, clock, 3 * PAUSE_S)
    before = third.reads()
    for n in range(count):
        shared.write(ENDPOINTS, f"{n}-{'x' * 200}", b"live 1")
    lh.advance(loop, clock, 1.05 * PAUSE_S)
    assert len(second.listed()) == len(third.listed()) == 3 + count
    assert third.reads() - before == reads


def test_later_hosts_wait_longer_while_the_store_is_away(world):
    loop, clock, shared, found = world
    lh.advance(loop, clock, 3 * PAUSE_S)
    for host in found:
        host.source.error = store.StoreError("down")
    before = [host.reads() for host in found]
    lh.advance(loop, clock, 10.0)
    counts = [
        host.reads() - count for host, count in zip(found, before, strict=True)
    ]
    assert counts[0] > counts[1] > counts[2] >= 5


def test_entries_that_lapse_in_an_outage_have_time_to_come_back(world):
    loop, clock, shared, found = world
    lh.advance(loop, clock, 3 * PAUSE_S)
    for host in found:
        host.source.error = store.StoreError("down")
    lh.advance(loop, clock, 5.0)
    shared.write(ENDPOINTS, "e1", b"")
    for host in found:
        host.source.error = None
    lh.advance(loop, clock, 1.5)
    assert all(host.listed() == ["e0", "e1", "e2"] for host in found)
    lh.advance(loop, clock, 2.5)
    assert all(host.listed() == ["e0", "e2"] for host in found)


def test_one_host_cut_off_does_not_count_as_an_outage(world):
    loop, clock, shared, (first, second, third) = world
    ended = []
    third.endpoints.follower.on_outage_end = lambda: ended.append(loop.now())
    third.source.error = store.StoreError("cut off")
    lh.advance(loop, clock, 8 * PAUSE_S)
    third.source.error = None
    lh.advance(loop, clock, 2 * PAUSE_S)
    assert not ended


def test_news_after_an_outage_ends_the_wait_of_later_hosts(world):
    loop, clock, shared, (first, second, third) = world
    lh.advance(loop, clock, 3 * PAUSE_S)
    for host in (first, second, third):
        host.endpoints.follower._tells_changes = False
        host.source.error = store.StoreError("down")
    lh.advance(loop, clock, 10.0)
    shared.write(ENDPOINTS, "e1", b"leaving 2")
    before = third.reads()
    lh.run_until(loop, lambda: _advance(loop, clock) and third.reads() > before)
    for host in (first, second, third):
        host.source.error = None
    lh.advance(loop, clock, 1.0)
    assert third.listed() == ["e0", "e2"]


def _advance(loop, clock):
    lh.advance(loop, clock, 0.01)
    return True


def test_a_host_that_starts_while_the_store_is_away_asks_another(world):
    loop, clock, shared, (first, second, third) = world
    shared.write(ENDPOINTS, "e1", b"leaving 2")
    lh.advance(loop, clock, 2 * PAUSE_S)
    late = Host(loop, "n9", Link(shared))
    late.source.error = store.StoreError("down")
    late.endpoints.follower.start()
    lh.advance(loop, clock, PAUSE_S)
    assert not late.endpoints.follower.has_read()
    late.neighbours = [third.peer]
    clock.advance(PAUSE_S)
    lh.run_until(loop, lambda: late.listed() == ["e0", "e2"])
    assert late.endpoints.follower.state().end == 4
    shared.write(ENDPOINTS, "e0", b"")
    late.source.error = None
    lh.advance(loop, clock, 2 * PAUSE_S)
    assert late.listed() == ["e2"]
    late.sharing.close()


def test_a_peer_that_has_read_nothing_is_of_no_help(world):
    loop, clock, shared, (first, second, third) = world
    late, other = (Host(loop, name, Link(shared)) for name in ("n8", "n9"))
    late.source.error = store.StoreError("down")
    late.neighbours = [other.peer]
    late.endpoints.follower.start()
    lh.run_until(loop, lambda: other.sharing._pages.connection_count() == 1)
    lh.run_until(loop, lambda: other.sharing._pages.connection_count() == 0)
    assert not late.endpoints.follower.has_read()
    late.source.error = None
    lh.advance(loop, clock, PAUSE_S)
    assert late.listed() == ["e0", "e1", "e2"]
    late.sharing.close()
    other.sharing.close()


def test_news_is_the_same_after_the_wire():
    news = [
        store.TopicUpdate(
            ENDPOINTS, 3, 9, 99.5, (store.Change(4, "e1", b"x"),)
        ),
        store.TopicUpdate(store.Topic.CONFIGURATION, 7, 7, 99.0),
    ]
    frame = store_messages.encode(KEY, news, 100.0)
    found = store_messages.decode(KEY, frame, 100.0)
    assert [item._replace(read_at=0) for item in found] == [
        item._replace(read_at=0) for item in news
    ]
    assert [item.read_at for item in found] == pytest.approx(
        [99.5, 99.0], abs=0.002
    )
    assert isinstance(
        store_messages.decode(b"z" * 16, frame, 100.0), messages.BadFrame
    )
    broken = messages.seal(KEY, b"\xff\xff")
    assert isinstance(
        store_messages.decode(KEY, broken, 100.0), messages.BadFrame
    )
