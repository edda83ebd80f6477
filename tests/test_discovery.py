"""The list of endpoints, the followers of the store, and budgets."""

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


def test_a_leaving_endpoint_gets_no_work_and_does_not_come_back():
    entries = endpoint_list.EndpointList()
    assert entries.take("e1", lh.listing(sequence=1))
    assert entries.take("e1", lh.listing(state=LEAVING, sequence=2))
    assert entries.listed() == {}
    entries.take("e1", lh.listing(sequence=3))
    assert entries.listed() == {}


def test_an_old_record_changes_nothing():
    entries = endpoint_list.EndpointList()
    entries.take("e1", lh.listing(sequence=5))
    assert not entries.take("e1", lh.listing(sequence=4, state=LEAVING))
    assert list(entries.listed()) == ["e1"]


def test_a_new_start_under_an_old_id_counts_anew():
    entries = endpoint_list.EndpointList()
    entries.take("e1", lh.listing(sequence=9, state=LEAVING))
    assert entries.take("e1", lh.listing(incarnation=2, sequence=1))
    assert list(entries.listed()) == ["e1"]


def test_a_removed_endpoint_is_gone_at_once():
    entries = endpoint_list.EndpointList()
    entries.take("e1", lh.listing())
    assert entries.remove("e1", 10.0)
    assert entries.listed() == {}


def test_what_lapsed_in_an_outage_has_two_seconds_to_come_back():
    entries = endpoint_list.EndpointList()
    for name in ("back", "gone", "left"):
        entries.take(name, lh.listing(name))
    entries.take("left", lh.listing("left", state=LEAVING, sequence=2))
    entries.note_outage_end(10.0)
    for name in ("back", "gone", "left"):
        entries.remove(name, 10.0)
    assert set(entries.listed()) == {"back", "gone"}
    entries.take("back", lh.listing("back", sequence=2))
    assert entries.expire(11.9) == []
    assert entries.expire(12.0) == ["gone"]
    assert set(entries.listed()) == {"back"}


def test_a_run_known_to_have_ended_is_not_listed_again():
    entries = endpoint_list.EndpointList()
    entries.take("e1", lh.listing())
    assert entries.mark_gone("e1", 1)
    entries.take("e1", lh.listing(sequence=2))
    assert entries.listed() == {}
    entries.take("e1", lh.listing(incarnation=2, sequence=1))
    assert list(entries.listed()) == ["e1"]


@pytest.fixture
def world():
    loop, clock = lh.new_loop()
    yield loop, clock, lh.FakeStore()
    loop.close()


def decode_listing(name, value):
    if value == b"bad":
        return store.StoreError("bad")
    state = LEAVING if value == b"leaving" else "live"
    return lh.listing(name, state=state, sequence=int(len(value)))


def follow_endpoints(world):
    loop, _, source = world
    follower = followers.EndpointFollower(loop, source, decode_listing, 0.8)
    told = []
    follower.add_listener(told.append)
    follower.follower.start()
    lh.settle(loop)
    return follower, told


def test_changes_of_endpoints_are_told_within_the_pause(world):
    loop, clock, source = world
    source.write(store.Topic.ENDPOINTS, "e1", b"r")
    _, told = follow_endpoints(world)
    assert list(told[-1]["p"]) == ["e1"]
    source.write(store.Topic.ENDPOINTS, "e1", b"leaving")
    lh.advance(loop, clock, 0.9)
    assert told[-1] == {}


def test_an_unreadable_entry_names_no_endpoint_and_the_others_hold(world):
    loop, clock, source = world
    source.write(store.Topic.ENDPOINTS, "e1", b"r")
    source.write(store.Topic.ENDPOINTS, "e2", b"r")
    _, told = follow_endpoints(world)
    source.write(store.Topic.ENDPOINTS, "e1", b"bad")
    lh.advance(loop, clock, 0.9)
    assert list(told[-1]["p"]) == ["e2"]


def test_a_dropped_history_is_read_again_whole(world):
    loop, clock, source = world
    source.write(store.Topic.ENDPOINTS, "e1", b"r")
    _, told = follow_endpoints(world)
    source.log[store.Topic.ENDPOINTS].clear()
    source.write(store.Topic.ENDPOINTS, "e2", b"r")
    source.first[store.Topic.ENDPOINTS] = 5
    lh.advance(loop, clock, 1.0)
    source.first[store.Topic.ENDPOINTS] = 0
    lh.advance(loop, clock, 1.0)
    assert list(told[-1]["p"]) == ["e2"]


def test_endpoints_stay_usable_while_the_store_is_away(world):
    loop, clock, source = world
    source.write(store.Topic.ENDPOINTS, "e1", b"r")
    _, told = follow_endpoints(world)
    source.error = store.StoreError("down")
    lh.advance(loop, clock, 5.0)
    assert list(told[-1]["p"]) == ["e1"]
    source.error = None
    source.write(store.Topic.ENDPOINTS, "e1", b"")
    lh.advance(loop, clock, 1.0)
    assert list(told[-1]["p"]) == ["e1"]
    lh.advance(loop, clock, 2.5)
    assert told[-1] == {}


def test_an_older_configuration_never_comes_into_force(world):
    loop, clock, source = world
    tables = {b"v5": lh.table(version=5), b"v4": lh.table(version=4)}
    follower = followers.ConfigFollower(loop, source, "config", tables.get, 1.0)
    source.write(store.Topic.CONFIGURATION, "other", b"x")
    source.write(store.Topic.CONFIGURATION, "config", b"v5")
    lh.settle(loop)
    assert follower.table is None
    follower.follower._pause_s = 0.5
    follower.follower.start()
    assert follower.table.version == 5
    source.write(store.Topic.CONFIGURATION, "config", b"v4")
    lh.advance(loop, clock, 1.0)
    assert follower.table.version == 5


def test_repeats_stay_within_share_and_fixed_part_of_all_hosts():
    hosts_count, share, fixed, window_s = 8, 0.2, 56.0, 10.0
    pools = [
        budgets.PoolBudgets(share, fixed, window_s) for _ in range(hosts_count)
    ]
    for budget in pools:
        budget.set_hosts(hosts_count)
    requests = 0
    repeats = []
    for tick in range(400):
        now = tick * 0.1
        for budget in pools:
            budget.earn("p")
            requests += 1
            while budget.spend("p", now):
                repeats.append(now)
    for start in range(0, 300):
        begin = start * 0.1
        count = sum(begin <= at < begin + window_s for at in repeats)
        in_window = hosts_count * window_s / 0.1
        assert count <= share * in_window + fixed


def test_a_budget_takes_a_part_only_for_the_hosts_that_are_expected():
    budget = budgets.PoolBudgets(0.0, 56.0, 10.0)
    budget.set_hosts(4)
    spent = 0
    while budget.spend("p", 0.0):
        spent += 1
    assert 1 <= spent <= 56 / 4


def place_of(*listings):
    _, clock = lh.new_loop()
    place = placement.Placement("dc1", clock, random.Random(1))
    place.set_endpoints({"p": {item.entry.name: item for item in listings}})
    return place, clock


def prompt_need(shared=b"a", **changes):
    plain = placement.Requirements("p", True, shared, 6000, 1000)
    return plain._replace(**changes)


def test_a_shared_prompt_meets_the_same_engine_until_that_is_loaded():
    place, _ = place_of(*(lh.listing(f"e{n}") for n in range(4)))
    first = place.pick(prompt_need(), set())
    place.abandon(first)
    again = place.pick(prompt_need(), set())
    assert again.listing == first.listing
    picked = [place.pick(prompt_need(), set()).listing for _ in range(20)]
    assert picked[0] == first.listing
    assert len({listing.entry.name for listing in picked}) == 4


def test_an_engine_near_the_results_is_preferred():
    place, _ = place_of(
        lh.listing("e1", data_centre="dc1"), lh.listing("e2", data_centre="dc2")
    )
    for name, shared in (("dc1", b"x"), ("dc2", b"y")):
        need = prompt_need(shared, shared_tokens=0, near={name: 20_000_000})
        lease = place.pick(need, set())
        assert lease.listing.entry.data_centre == name


def test_an_unreachable_endpoint_is_ejected_but_better_than_none():
    place, clock = place_of(lh.listing("e1"), lh.listing("e2"))
    lease = place.pick(placement.Requirements("p"), set())
    place.finish_unreachable(lease)
    other = place.pick(placement.Requirements("p"), set())
    assert other.listing != lease.listing
    assert place.pick(placement.Requirements("p"), {other.listing.entry.name})
    assert place.pick(placement.Requirements("p"), {"e1", "e2"}) is None


def test_a_call_of_an_endpoint_that_was_replaced_changes_nothing():
    place, _ = place_of(lh.listing("e1"))
    lease = place.pick(placement.Requirements("p"), set())
    place.set_endpoints({"p": {"e1": lh.listing("e1", incarnation=2)}})
    place.finish(lease, False)
    assert place.pick(placement.Requirements("p"), set()) is not None


def test_hosts_find_each_other_in_the_store_and_by_gossip(world):
    loop, clock, source = world
    first = lh.free_ports(2)
    members = [
        membership.Member(f"n{n}", f"127.0.0.1:{first + n}", "dc1", 1 + n)
        for n in range(2)
    ]
    key = fleets.deployment_key("10.0.0.1:1")
    found = [
        fleets.Fleet(loop, source, member, key, clock, random.Random(n))
        for n, member in enumerate(members)
    ]
    for fleet in found:
        fleet.start()
    try:
        lh.run_until(loop, lambda: all(fleet.peers() for fleet in found))
        assert found[0].peers()[0].name == "n1"
    finally:
        for fleet in found:
            fleet.gossip.stop()
    assert isinstance(found[0].gossip, gossip.GossipController)


def test_a_host_that_starts_without_the_store_finds_others_by_seeds(world):
    loop, clock, source = world
    source.error = store.StoreError("down")
    port = lh.free_ports(1)
    key = fleets.deployment_key("d")
    found = []
    # Hosts use the same ports: addresses of loopback stand for hosts.
    for n in (2, 3):
        member = membership.Member(f"n{n}", f"127.0.0.{n}:{port}", "dc1", n)
        rng = random.Random(n)
        found.append(
            fleets.Fleet(loop, source, member, key, clock, rng, ("127.0.0.2",))
        )
    found[0].start()
    lh.advance(loop, clock, 1.0)
    found[1].start()
    try:
        lh.run_until(loop, lambda: all(fleet.peers() for fleet in found))
    finally:
        for fleet in found:
            fleet.gossip.stop()


@pytest.mark.parametrize("leaves", [True, False])
def test_a_host_that_starts_with_its_clock_set_back_is_heard(world, leaves):
    loop, clock, source = world
    source.error = store.StoreError("down")
    port = lh.free_ports(1)
    key = fleets.deployment_key("d")

    def start(n, incarnation):
        member = membership.Member(
            f"n{n}", f"127.0.0.{n}:{port}", "dc1", incarnation
        )
        rng = random.Random(n)
        made = fleets.Fleet(
            loop, source, member, key, clock, rng, ("127.0.0.2",)
        )
        made.start()
        return made

    stays, goes = start(2, 1000), start(3, 90_000)
    try:
        lh.run_until(loop, lambda: stays.peers() and goes.peers())
        if leaves:
            goes.gossip.announce_leaving()
            lh.run_until(loop, lambda: not stays.peers())
        goes.gossip.stop()
        goes = start(3, 50_000)

        def is_heard():
            lh.advance(loop, clock, 0.05)
            members = stays.gossip.members()[1:]
            return goes.peers() and any(
                member.incarnation > 90_000
                and member.status is membership.Status.ALIVE
                for member in members
            )

        lh.run_until(loop, is_heard)
    finally:
        stays.gossip.stop()
        goes.gossip.stop()
