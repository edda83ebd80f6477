"""Endpoints that a restore of the store lost or brought back."""

import loop_helpers as lh
import pytest
import store_hosts as sh

from chervilarch import store


@pytest.fixture
def cluster():
    yield from sh.run_hosts(3, data_centres=1)


def start_by_peer(loop, shared, neighbour):
    """Starts a host whose first values come from a neighbour."""
    late = sh.Host(loop, "n9", lh.FakeStore(shared))
    late.neighbours = [neighbour.peer]
    late.source.error = store.StoreError("429")
    late.endpoints.topic_follower.start()
    lh.run_until(loop, late.endpoints.topic_follower.has_read)
    late.source.error = None
    return late


def test_a_cut_off_host_lets_lost_entries_lapse_as_well(cluster):
    loop, clock, shared, (first, second, third) = cluster
    lh.advance(loop, clock, 3 * sh.PAUSE_S)
    third.source.error = store.StoreError("cut off")
    shared.restore(2, era=1)
    lh.advance_until(
        loop,
        clock,
        lambda: third.endpoints.topic_follower.state().era == 1,
    )
    third.source.error = None
    for sequence in range(2, 12):
        shared.write(sh.ENDPOINTS, "e0", b"live %d" % sequence)
        lh.advance(loop, clock, 1.0)
    got = [host.listed() for host in (first, second, third)]
    assert got == [["e0", "e1"]] * 3


def test_a_host_started_in_the_grace_time_lets_lost_entries_lapse(cluster):
    loop, clock, shared, (first, second, third) = cluster
    lh.advance(loop, clock, 3 * sh.PAUSE_S)
    shared.restore(2, era=1)
    lh.advance(loop, clock, 1.2)
    late = start_by_peer(loop, shared, first)
    lh.advance(loop, clock, 8.0)
    got = [host.listed() for host in (first, late)]
    late.sharing.close()
    assert got == [["e0", "e1"]] * 2


def test_a_host_that_fetches_in_the_grace_time_of_an_outage_lets_entries_lapse(
    cluster,
):
    loop, clock, shared, (first, second, third) = cluster
    lh.advance(loop, clock, 3 * sh.PAUSE_S)
    for host in (first, second, third):
        host.source.error = store.StoreError("down")
    lh.advance(loop, clock, 4.0)
    shared.write(sh.ENDPOINTS, "e2", b"")
    for host in (first, second, third):
        host.source.error = None
    lh.advance_until(
        loop, clock, lambda: first.endpoints.topic_follower.state().end == 4
    )
    late = start_by_peer(loop, shared, first)
    lh.advance(loop, clock, 8.0)
    got = [host.listed() for host in (first, late)]
    late.sharing.close()
    assert got == [["e0", "e1"]] * 2


def test_renewals_reach_all_hosts_after_the_reader_fetched_from_a_peer(cluster):
    loop, clock, shared, (first, second, third) = cluster
    lh.advance(loop, clock, 3 * sh.PAUSE_S)
    first.source.error = store.StoreError("429")
    shared.restore(2, era=1)
    lh.advance_until(
        loop,
        clock,
        lambda: first.endpoints.topic_follower.state().era == 1,
    )
    first.source.error = None
    # The reader of rank 0 reads again before the entry returns.
    reads = first.reads()
    lh.advance_until(loop, clock, lambda: first.reads() > reads)
    for sequence in range(2, 10):
        shared.write(sh.ENDPOINTS, "e2", b"live %d" % sequence)
        lh.advance(loop, clock, 1.0)
    got = [host.listed() for host in (first, second, third)]
    assert got == [["e0", "e1", "e2"]] * 3


def test_a_peers_answer_does_not_end_the_grace_time(cluster):
    loop, clock, shared, (first, second, third) = cluster
    lh.advance(loop, clock, 3 * sh.PAUSE_S)
    shared.restore(2, era=1)
    follower = third.endpoints.topic_follower
    lh.advance_until(
        loop,
        clock,
        lambda: all(
            host.endpoints.topic_follower.state().era == 1
            for host in (first, second, third)
        ),
    )
    # The process was frozen for a moment.
    assert follower.has_joined
    follower._on_resume(0.6)
    lh.advance_until(loop, clock, lambda: follower.has_joined)
    lh.advance(loop, clock, 8.0)
    got = [host.listed() for host in (first, second, third)]
    assert got == [["e0", "e1"]] * 3


def test_a_host_frozen_across_a_restore_lets_lost_entries_lapse(cluster):
    loop, clock, shared, (first, second, third) = cluster
    lh.advance(loop, clock, 3 * sh.PAUSE_S)
    shared.restore(2, era=1)
    third_err = store.StoreError("frozen")
    third.source.error = third_err
    for host in (first, second):
        host.neighbours.remove(third.peer)
    lh.advance(loop, clock, 1.5)
    # It goes on while the others' grace time runs.
    third.source.error = None
    for host in (first, second):
        host.neighbours.append(third.peer)
    third.endpoints.topic_follower._on_resume(1.5)
    lh.advance(loop, clock, 8.0)
    got = [host.listed() for host in (first, second, third)]
    assert got == [["e0", "e1"]] * 3


def test_an_answer_of_before_the_restore_does_not_end_the_grace_time(cluster):
    loop, clock, shared, (first, second, third) = cluster
    lh.advance(loop, clock, 3 * sh.PAUSE_S)
    before = second.endpoints.topic_follower.snapshot()
    shared.restore(2, era=1)
    follower = third.endpoints.topic_follower
    lh.advance_until(loop, clock, lambda: follower.state().era == 1)
    follower._merge(before)
    lh.advance(loop, clock, 8.0)
    got = [host.listed() for host in (first, second, third)]
    assert got == [["e0", "e1"]] * 3


def renew(loop, clock, shared, name, sequences):
    for sequence in sequences:
        shared.write(sh.ENDPOINTS, name, b"live %d" % sequence)
        lh.advance(loop, clock, 1.2 * sh.PAUSE_S)


def test_a_removed_endpoint_that_had_renewed_stays_removed(cluster):
    loop, clock, shared, members = cluster
    renew(loop, clock, shared, "e1", range(2, 6))
    copy_end = len(shared.log[sh.ENDPOINTS])
    shared.write(sh.ENDPOINTS, "e1", b"")
    lh.advance(loop, clock, 3 * sh.PAUSE_S)
    assert all(host.listed() == ["e0", "e2"] for host in members)
    shared.restore(copy_end, era=1)
    lh.advance(loop, clock, 3 * sh.PAUSE_S)
    assert [host.listed() for host in members] == [["e0", "e2"]] * 3


def test_a_starting_host_hears_of_removed_endpoint_that_had_renewed(cluster):
    loop, clock, shared, (first, second, third) = cluster
    renew(loop, clock, shared, "e1", range(2, 6))
    copy_end = len(shared.log[sh.ENDPOINTS])
    shared.write(sh.ENDPOINTS, "e1", b"")
    lh.advance(loop, clock, 3 * sh.PAUSE_S)
    shared.restore(copy_end, era=1)
    late = sh.Host(loop, "n9", lh.FakeStore(shared))
    late.neighbours = [third.peer]
    late.endpoints.topic_follower.start()
    lh.advance_until(
        loop, clock, lambda: late.endpoints.topic_follower.may_serve
    )
    listed = late.listed()
    # If it lives after all, its next record tells.
    shared.write(sh.ENDPOINTS, "e1", b"live 6")
    lh.advance_until(loop, clock, lambda: "e1" in late.listed())
    late.sharing.close()
    assert listed == ["e0", "e2"]


def test_an_endpoint_restored_twice_from_copies_while_it_renews(cluster):
    loop, clock, shared, members = cluster
    renew(loop, clock, shared, "e2", range(2, 6))
    for era in (1, 2):
        shared.restore(2, era=era)
        lh.advance(loop, clock, 0.7)
        shared.write(sh.ENDPOINTS, "e2", b"live %d" % (6 + era))
        lh.advance(loop, clock, 0.7)
    for sequence in range(10, 16):
        shared.write(sh.ENDPOINTS, "e2", b"live %d" % sequence)
        lh.advance(loop, clock, 1.0)
    assert [host.listed() for host in members] == [["e0", "e1", "e2"]] * 3
