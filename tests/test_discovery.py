"""Endpoint list, followers of the store, budgets, placement and the fleet."""

import random

import loop_helpers as lh
import pytest

from chervilarch import (
    budgets,
    endpoint_list,
    followers,
    gossip,
    hosts,
    membership,
    placement,
    store,
)
from chervilarch import fleet as fleets

LEAVING = hosts.LEAVING
STAGES = fleets.PeerPort.STAGES


def test_a_leaving_endpoint_gets_no_work_and_does_not_come_back():
    entries = endpoint_list.EndpointList()
    assert entries.apply("e1", lh.listing(sequence=1))
    assert entries.apply("e1", lh.listing(state=LEAVING, sequence=2))
    assert entries.listed() == {}
    entries.apply("e1", lh.listing(sequence=3))
    assert entries.listed() == {}


def test_an_older_record_is_ignored():
    entries = endpoint_list.EndpointList()
    entries.apply("e1", lh.listing(sequence=5))
    assert not entries.apply("e1", lh.listing(sequence=4, state=LEAVING))
    assert list(entries.listed()) == ["e1"]


def test_a_restart_under_the_same_id_is_listed_again():
    entries = endpoint_list.EndpointList()
    entries.apply("e1", lh.listing(sequence=9, state=LEAVING))
    assert entries.apply("e1", lh.listing(incarnation=2, sequence=1))
    assert list(entries.listed()) == ["e1"]


def test_a_removed_endpoint_is_unlisted_at_once():
    entries = endpoint_list.EndpointList()
    entries.apply("e1", lh.listing())
    assert entries.remove("e1", 10.0)
    assert entries.listed() == {}


def test_entries_expired_in_an_outage_have_two_seconds_to_return():
    entries = endpoint_list.EndpointList()
    for name in ("back", "gone", "left"):
        entries.apply(name, lh.listing(name))
    entries.apply("left", lh.listing("left", state=LEAVING, sequence=2))
    entries.start_grace(10.0)
    for name in ("back", "gone", "left"):
        entries.remove(name, 10.0)
    assert set(entries.listed()) == {"back", "gone"}
    entries.apply("back", lh.listing("back", sequence=2))
    assert entries.expire(11.9) == []
    assert entries.expire(12.0) == ["gone"]
    assert set(entries.listed()) == {"back"}


def test_a_removed_run_does_not_come_back_from_an_older_copy():
    entries = endpoint_list.EndpointList()
    entries.apply("e1", lh.listing(sequence=5))
    entries.remove("e1", 10.0)
    for sequence in (4, 5):
        entries.apply("e1", lh.listing(sequence=sequence))
        assert entries.listed() == {}
    entries.apply("e1", lh.listing(sequence=6))
    assert list(entries.listed()) == ["e1"]
    entries.remove("e1", 11.0)
    entries.apply("e1", lh.listing(incarnation=2, sequence=1))
    assert list(entries.listed()) == ["e1"]


def test_an_entry_that_lapsed_does_not_come_back_from_an_older_copy():
    entries = endpoint_list.EndpointList()
    entries.apply("e1", lh.listing(sequence=5))
    entries.start_grace(10.0)
    entries.remove("e1", 10.0)
    assert entries.expire(12.0) == ["e1"]
    entries.apply("e1", lh.listing(sequence=5))
    assert entries.listed() == {}


def test_a_removal_in_the_grace_time_is_not_undone_by_another_restore():
    entries = endpoint_list.EndpointList()
    entries.apply("e1", lh.listing(sequence=5))
    entries.start_grace(10.0)
    entries.remove_missing(set(), 10.0)
    entries.remove("e1", 10.5)
    entries.start_grace(11.0)
    entries.apply("e1", lh.listing(sequence=5))
    assert list(entries.listed()) == ["e1"]
    assert entries.expire(12.0) == ["e1"]


def test_removals_are_remembered_for_a_bounded_time_and_number():
    entries = endpoint_list.EndpointList()
    for number in range(endpoint_list.MAX_REMOVALS + 10):
        entries.apply(f"e{number}", lh.listing(f"e{number}"))
        entries.remove(f"e{number}", 10.0)
    assert len(entries._seen) == endpoint_list.MAX_REMOVALS
    entries.apply("e0", lh.listing("e0"))
    assert list(entries.listed()) == ["e0"]
    entries.forget_old_removals(10.0 + endpoint_list.REMOVAL_MEMORY_S)
    assert list(entries._seen) == ["e0"]


def test_a_run_known_to_have_ended_is_not_listed_again():
    entries = endpoint_list.EndpointList()
    entries.apply("e1", lh.listing())
    assert entries.mark_ended("e1", 1, 10.0)
    entries.apply("e1", lh.listing(sequence=2))
    assert entries.listed() == {}
    entries.apply("e1", lh.listing(incarnation=2, sequence=1))
    assert list(entries.listed()) == ["e1"]


@pytest.fixture
def env():
    loop, clock = lh.new_loop()
    yield loop, clock, lh.FakeStore()
    loop.close()


def decode_listing(name, value):
    if value == b"bad":
        return store.StoreError("bad")
    state = LEAVING if value == b"leaving" else "live"
    return lh.listing(name, state=state, sequence=int(len(value)))


def follow_endpoints(env):
    loop, _, source = env
    follower = followers.EndpointFollower(loop, source, decode_listing, 0.8)
    notified = []
    follower.add_listener(notified.append)
    follower.topic_follower.start()
    lh.run_pending(loop)
    return follower, notified


def test_changes_of_endpoints_are_notified_within_the_pause(env):
    loop, clock, source = env
    source.write(store.Topic.ENDPOINTS, "e1", b"r")
    _, notified = follow_endpoints(env)
    assert list(notified[-1]["p"]) == ["e1"]
    source.write(store.Topic.ENDPOINTS, "e1", b"leaving")
    lh.advance(loop, clock, 0.9)
    assert notified[-1] == {}


def test_an_unreadable_entry_removes_only_its_endpoint(env):
    loop, clock, source = env
    source.write(store.Topic.ENDPOINTS, "e1", b"r")
    source.write(store.Topic.ENDPOINTS, "e2", b"r")
    _, notified = follow_endpoints(env)
    source.write(store.Topic.ENDPOINTS, "e1", b"bad")
    lh.advance(loop, clock, 0.9)
    assert list(notified[-1]["p"]) == ["e2"]


def fail(value):
    raise ValueError("broken")


def test_a_listener_that_raises_does_not_stop_the_list(env):
    loop, clock, source = env
    follower = followers.EndpointFollower(loop, source, decode_listing, 0.8)
    notified = []
    follower.add_listener(fail)
    follower.add_listener(notified.append)
    follower.topic_follower.start()
    for name in ("e1", "e2"):
        source.write(store.Topic.ENDPOINTS, name, b"r")
        lh.advance(loop, clock, 0.9)
    assert list(notified[-1]["p"]) == ["e1", "e2"]


def test_a_listener_that_raises_does_not_stop_the_configuration(env):
    loop, clock, source = env
    follower = followers.ConfigFollower(
        loop, source, "k", lambda value: lh.table(version=int(value)), 1.0
    )
    notified = []
    follower.add_listener(fail)
    follower.add_listener(notified.append)
    follower.topic_follower._pause_s = 0.1
    follower.topic_follower.start()
    for value in (b"1", b"2"):
        source.write(store.Topic.CONFIGURATION, "k", value)
        lh.advance(loop, clock, 1.0)
    assert [table.version for table in notified] == [1, 2]


def test_a_snapshot_is_read_when_the_history_was_dropped(env):
    loop, clock, source = env
    source.write(store.Topic.ENDPOINTS, "e1", b"r")
    _, notified = follow_endpoints(env)
    source.log[store.Topic.ENDPOINTS].clear()
    source.write(store.Topic.ENDPOINTS, "e2", b"r")
    source.first[store.Topic.ENDPOINTS] = 5
    lh.advance(loop, clock, 1.0)
    source.first[store.Topic.ENDPOINTS] = 0
    lh.advance(loop, clock, 1.0)
    assert list(notified[-1]["p"]) == ["e2"]


def test_endpoints_stay_usable_in_an_outage_of_the_store(env):
    loop, clock, source = env
    source.write(store.Topic.ENDPOINTS, "e1", b"r")
    _, notified = follow_endpoints(env)
    source.error = store.StoreError("down")
    lh.advance(loop, clock, 5.0)
    assert list(notified[-1]["p"]) == ["e1"]
    source.error = None
    source.write(store.Topic.ENDPOINTS, "e1", b"")
    lh.advance(loop, clock, 1.0)
    assert list(notified[-1]["p"]) == ["e1"]
    lh.advance(loop, clock, 2.5)
    assert notified[-1] == {}


def test_an_older_configuration_never_comes_into_force(env):
    loop, clock, source = env
    tables = {b"v5": lh.table(version=5), b"v4": lh.table(version=4)}
    follower = followers.ConfigFollower(loop, source, "config", tables.get, 1.0)
    source.write(store.Topic.CONFIGURATION, "other", b"x")
    source.write(store.Topic.CONFIGURATION, "config", b"v5")
    lh.run_pending(loop)
    assert follower.table is None
    follower.topic_follower._pause_s = 0.5
    follower.topic_follower.start()
    assert follower.table.version == 5
    source.write(store.Topic.CONFIGURATION, "config", b"v4")
    lh.advance(loop, clock, 1.0)
    assert follower.table.version == 5


def test_retries_stay_within_share_and_fixed_part_of_all_hosts():
    hosts_count, share, fixed, window_s = 8, 0.2, 56.0, 10.0
    host_budgets = [
        budgets.PoolBudgets(share, fixed, window_s) for _ in range(hosts_count)
    ]
    for budget in host_budgets:
        budget.set_hosts(hosts_count)
    requests = 0
    retries = []
    for tick in range(400):
        now = tick * 0.1
        for budget in host_budgets:
            budget.earn("p")
            requests += 1
            while budget.spend("p", now):
                retries.append(now)
    for start in range(0, 300):
        begin = start * 0.1
        count = sum(begin <= at < begin + window_s for at in retries)
        in_window = hosts_count * window_s / 0.1
        assert count <= share * in_window + fixed


def test_the_fixed_part_is_divided_among_the_expected_hosts():
    budget = budgets.PoolBudgets(0.0, 56.0, 10.0)
    budget.set_hosts(4)
    spent = 0
    while budget.spend("p", 0.0):
        spent += 1
    assert 1 <= spent <= 56 / 4


def placement_of(*listings):
    _, clock = lh.new_loop()
    place = placement.Placement(
        "dc1", clock, random.Random(1), lh.new_avoidances(clock)
    )
    place.set_endpoints({"p": {item.entry.name: item for item in listings}})
    return place, clock


def prompt_requirements(shared=b"a", **changes):
    plain = placement.Requirements("p", True, shared, 6000, 1000)
    return plain._replace(**changes)


def test_a_shared_prompt_goes_to_the_same_engine_until_it_is_loaded():
    place, _ = placement_of(*(lh.listing(f"e{n}") for n in range(4)))
    first = place.pick(prompt_requirements(), set())
    place.abandon(first)
    second = place.pick(prompt_requirements(), set())
    assert second.listing == first.listing
    picked = [
        place.pick(prompt_requirements(), set()).listing for _ in range(20)
    ]
    assert picked[0] == first.listing
    assert len({listing.entry.name for listing in picked}) == 4


def test_an_engine_in_the_data_centre_of_the_results_is_preferred():
    place, _ = placement_of(
        lh.listing("e1", data_centre="dc1"), lh.listing("e2", data_centre="dc2")
    )
    for name, shared in (("dc1", b"x"), ("dc2", b"y")):
        requirements = prompt_requirements(
            shared, shared_tokens=0, input_bytes={name: 20_000_000}
        )
        lease = place.pick(requirements, set())
        assert lease.listing.entry.data_centre == name


def test_an_unreachable_endpoint_is_ejected_but_used_without_others():
    place, clock = placement_of(lh.listing("e1"), lh.listing("e2"))
    lease = place.pick(placement.Requirements("p"), set())
    place.finish_unreachable(lease)
    other = place.pick(placement.Requirements("p"), set())
    assert other.listing != lease.listing
    assert place.pick(placement.Requirements("p"), {other.listing.entry.name})
    assert place.pick(placement.Requirements("p"), {"e1", "e2"}) is None


def test_a_finished_call_of_a_replaced_endpoint_is_ignored():
    place, _ = placement_of(lh.listing("e1"))
    lease = place.pick(placement.Requirements("p"), set())
    place.set_endpoints({"p": {"e1": lh.listing("e1", incarnation=2)}})
    place.finish(lease, False)
    assert place.pick(placement.Requirements("p"), set()) is not None


def test_hosts_find_each_other_in_the_store_and_by_gossip(env):
    loop, clock, source = env
    first = lh.free_ports(2)
    members = [
        membership.Member(f"n{n}", f"127.0.0.1:{first + n}", "dc1", 1 + n)
        for n in range(2)
    ]
    key = fleets.deployment_key("10.0.0.1:1")
    created = [
        fleets.Fleet(loop, source, member, key, clock, random.Random(n))
        for n, member in enumerate(members)
    ]
    for fleet in created:
        fleet.start()
    try:
        lh.run_until(
            loop, lambda: all(fleet.peers(STAGES) for fleet in created)
        )
        assert created[0].peers(STAGES)[0].name == "n1"
    finally:
        for fleet in created:
            fleet.gossip.stop()
    assert isinstance(created[0].gossip, gossip.GossipController)


def test_a_host_that_starts_without_the_store_finds_others_by_seeds(env):
    loop, clock, source = env
    source.error = store.StoreError("down")
    port = lh.free_ports(1)
    key = fleets.deployment_key("d")
    created = []
    # All hosts use the same ports, so each has a loopback address of its own.
    for n in (2, 3):
        member = membership.Member(f"n{n}", f"127.0.0.{n}:{port}", "dc1", n)
        rng = random.Random(n)
        created.append(
            fleets.Fleet(loop, source, member, key, clock, rng, ("127.0.0.2",))
        )
    created[0].start()
    lh.advance(loop, clock, 1.0)
    created[1].start()
    try:
        lh.run_until(
            loop, lambda: all(fleet.peers(STAGES) for fleet in created)
        )
    finally:
        for fleet in created:
            fleet.gossip.stop()


@pytest.mark.parametrize("leaves", [True, False])
def test_a_host_that_starts_with_its_clock_set_back_is_accepted(env, leaves):
    loop, clock, source = env
    source.error = store.StoreError("down")
    port = lh.free_ports(1)
    key = fleets.deployment_key("d")

    def start(n, incarnation):
        member = membership.Member(
            f"n{n}", f"127.0.0.{n}:{port}", "dc1", incarnation
        )
        rng = random.Random(n)
        fleet = fleets.Fleet(
            loop, source, member, key, clock, rng, ("127.0.0.2",)
        )
        fleet.start()
        return fleet

    staying, restarted = start(2, 1000), start(3, 90_000)
    try:
        lh.run_until(
            loop, lambda: staying.peers(STAGES) and restarted.peers(STAGES)
        )
        if leaves:
            restarted.gossip.announce_leaving()
            lh.run_until(loop, lambda: not staying.peers(STAGES))
        restarted.gossip.stop()
        restarted = start(3, 50_000)

        def is_accepted():
            lh.advance(loop, clock, 0.05)
            members = staying.gossip.members()[1:]
            return restarted.peers(STAGES) and any(
                member.incarnation > 90_000
                and member.status is membership.Status.ALIVE
                for member in members
            )

        lh.run_until(loop, is_accepted)
    finally:
        staying.gossip.stop()
        restarted.gossip.stop()
