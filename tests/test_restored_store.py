"""The store comes back from an older copy: offsets are given out again."""

import types

import capnp
import gateway_world
import loop_helpers as lh
import pytest
import store_hosts as sh

from chervilarch import gateway, messages, store, store_messages, tasks

CONFIG = store.Topic.CONFIGURATION


@pytest.fixture
def cluster():
    """One data centre of three hosts; the hosts in their read order."""
    yield from sh.run_hosts(3, data_centres=1)


@pytest.fixture
def fleet():
    """Three data centres of three hosts."""
    yield from sh.run_hosts(9, data_centres=3)


@pytest.fixture
def env():
    loop, clock = lh.new_loop()
    yield loop, clock, lh.FakeStore()
    loop.close()


class PagedLink(lh.FakeStore):
    """A link whose pages of newest values have one record each.

    Attributes:
        after_page: called after each page was made.
    """

    def __init__(self, shared):
        super().__init__(shared)
        self.after_page = lambda: None

    def read_newest(self, topic, after, timeout_s):
        page = super().read_newest(topic, "", timeout_s).result()
        records = [r for r in page.records if r.key > after]
        records.sort(key=lambda record: record.key)
        page = page._replace(records=records[:1], has_more=len(records) > 1)
        self.after_page()
        return tasks.done(page)


class HeldLink(lh.FakeStore):
    """A link whose answers arrive when `release` is called.

    The store's state when it got the call decides on the answer.

    Attributes:
        held_kinds: kinds of the calls whose answers are held.
    """

    def __init__(self, shared, *held_kinds):
        super().__init__(shared)
        self.held_kinds = set(held_kinds)
        self._held = []

    def read_newest(self, topic, after, timeout_s):
        answer = super().read_newest(topic, after, timeout_s)
        return self._hold("newest", answer)

    def read_changes(self, topic, offset, wait_s):
        answer = super().read_changes(topic, offset, wait_s)
        return self._hold("changes", answer)

    def _hold(self, kind, answer):
        if kind not in self.held_kinds:
            return answer
        fut = tasks.Future()
        self._held.append((fut, answer.result()))
        return fut

    def release(self):
        """Answers the calls that were held."""
        held, self._held = self._held, []
        for fut, answer in held:
            fut.set_result(answer)


def follow_endpoints(loop, link):
    host = sh.Host(loop, "n0", link)
    host.endpoints.topic_follower.start()
    lh.run_pending(loop)
    return host


def test_records_before_an_offset_that_was_passed_again_are_read(env):
    loop, clock, shared = env
    for name in ("e0", "e1"):
        shared.write(sh.ENDPOINTS, name, b"live 1")
    for number in range(2, 6):
        shared.write(sh.ENDPOINTS, "e0", b"live %d" % number)
    host = follow_endpoints(loop, lh.FakeStore(shared))
    assert host.endpoints.topic_follower.state().end == 6
    shared.restore(2, era=1)
    shared.write(sh.ENDPOINTS, "e1", b"leaving 2")
    for number in range(2, 8):
        shared.write(sh.ENDPOINTS, "e0", b"live %d" % number)
    lh.advance(loop, clock, 2 * sh.PAUSE_S)
    assert host.listed() == ["e0"]
    host.sharing.close()


def test_hosts_that_do_not_read_hear_of_a_restore_from_the_reader(cluster):
    loop, clock, shared, (first, second, third) = cluster
    for number in range(2, 12):
        shared.write(sh.ENDPOINTS, "e0", b"live %d" % number)
    lh.advance(loop, clock, 3 * sh.PAUSE_S)
    shared.restore(3, era=1)
    shared.write(sh.ENDPOINTS, "e1", b"leaving 2")
    reads = [host.reads() for host in (second, third)]
    lh.run_until(
        loop,
        lambda: lh.advance(loop, clock, 0.01) or first.listed() == ["e0", "e2"],
    )
    lh.advance(loop, clock, 0.4)
    assert second.listed() == third.listed() == ["e0", "e2"]
    assert [host.reads() for host in (second, third)] == reads
    shared.write(sh.ENDPOINTS, "e2", b"leaving 2")
    lh.advance(loop, clock, 1.05 * sh.PAUSE_S)
    assert second.listed() == third.listed() == ["e0"]


def test_a_restore_causes_no_burst_of_reads_and_messages(fleet):
    loop, clock, shared, members = fleet
    shared.write(sh.ENDPOINTS, "e0", b"live 2")
    lh.advance(loop, clock, 3 * sh.PAUSE_S)
    told = []
    for host in members:
        follower = host.endpoints.topic_follower
        follower.on_update = lambda update, send=follower.on_update: (
            told.append(update.first < update.end) or send(update)
        )
    shared.restore(3, era=1)
    lh.advance(loop, clock, 2 * sh.PAUSE_S)
    snapshots = [host.source.calls.count("newest") for host in members]
    assert snapshots == [2] * 9
    # The first host tells of the restore, then of its usual reads.
    assert len(told) <= 3 and not any(told)


def test_a_snapshot_has_no_pages_of_before_and_after_a_restore(env):
    loop, clock, shared = env
    for name in ("e0", "e1", "e2"):
        shared.write(sh.ENDPOINTS, name, b"live 1")
    shared.write(sh.ENDPOINTS, "e0", b"live 2")
    link = PagedLink(shared)

    def restore():
        link.after_page = lambda: None
        shared.restore(0, era=1)
        for name in ("e1", "e2", "e3"):
            shared.write(sh.ENDPOINTS, name, b"live 2")

    link.after_page = restore
    host = follow_endpoints(loop, link)
    assert host.listed() == ["e1", "e2", "e3"]
    state = host.endpoints.topic_follower.state()
    assert (state.era, state.end) == (1, 3)
    host.sharing.close()


def test_a_snapshot_of_before_a_restore_that_arrives_late_is_not_used(env):
    loop, clock, shared = env
    shared.write(sh.ENDPOINTS, "e0", b"live 1")
    shared.write(sh.ENDPOINTS, "e1", b"live 1")
    link = HeldLink(shared, "newest")
    host = follow_endpoints(loop, link)
    shared.restore(1, era=1)
    shared.write(sh.ENDPOINTS, "e2", b"live 1")
    link.eras.observe(1)
    link.held_kinds.clear()
    link.release()
    lh.advance(loop, clock, 0.5)
    assert host.listed() == ["e0", "e2"]
    assert host.endpoints.topic_follower.state().position == (1, 2)
    host.sharing.close()


def test_a_read_that_stays_silent_does_not_hide_a_restore(env):
    loop, clock, shared = env
    shared.write(CONFIG, "config", b"1 ")
    link = HeldLink(shared, "changes")
    host = sh.ConfigHost(loop, "n0", link)
    host.configuration.topic_follower.start()
    lh.advance(loop, clock, sh.PAUSE_S)
    shared.restore(0, era=1)
    shared.write(CONFIG, "config", b"2 ")
    # The answer to another call of this host.
    link.put(store.Topic.ROUTERS, "n0", b"v", 1.0)
    lh.advance(loop, clock, 0.5)
    assert host.configuration.table.version == 2
    # A frozen host gets the old answer after the snapshot.
    link.release()
    lh.advance(loop, clock, 0.5)
    assert host.configuration.topic_follower.state().position == (1, 1)
    host.sharing.close()


def test_an_update_of_before_a_restore_is_not_applied(env):
    loop, clock, shared = env
    shared.write(sh.ENDPOINTS, "e0", b"live 1")
    host = follow_endpoints(loop, lh.FakeStore(shared))
    follower = host.endpoints.topic_follower
    shared.restore(1, era=1)
    lh.advance(loop, clock, 1.5 * sh.PAUSE_S)
    old = follower.state()._replace(
        first=0, end=9, era=0, records=(store.Record(5, "e0", b"leaving 3"),)
    )
    follower.apply_update(old, "n9")
    assert follower.state().position == (1, 1) and host.listed() == ["e0"]
    host.sharing.close()


def test_an_update_of_after_a_restore_is_not_applied_but_read(env):
    loop, clock, shared = env
    for name in ("e0", "e1"):
        shared.write(sh.ENDPOINTS, name, b"live 1")
    link = lh.FakeStore(shared)
    host = follow_endpoints(loop, link)
    follower = host.endpoints.topic_follower
    shared.restore(1, era=1)
    shared.write(sh.ENDPOINTS, "e2", b"live 1")
    news = follower.state()._replace(
        first=2, end=3, era=1, records=(store.Record(2, "e0", b"", 1),)
    )
    follower.apply_update(news, "n9")
    assert "e0" in host.listed()
    lh.advance(loop, clock, 0.4)
    assert follower.state().position == (1, 2)
    assert {"e0", "e2"} <= set(host.listed())
    host.sharing.close()


def test_a_restored_store_that_names_no_era_is_followed_on(env):
    loop, clock, shared = env
    for number in range(1, 6):
        shared.write(sh.ENDPOINTS, "e0", b"live %d" % number)
    host = follow_endpoints(loop, lh.FakeStore(shared))
    shared.restore(1, era=0)
    shared.write(sh.ENDPOINTS, "e1", b"live 1")
    lh.advance(loop, clock, 2 * sh.PAUSE_S)
    assert host.listed() == ["e0", "e1"]
    assert host.endpoints.topic_follower.state().position == (0, 2)
    host.sharing.close()


def test_an_era_that_the_store_does_not_confirm_is_read_for_once(env):
    loop, clock, shared = env
    shared.write(sh.ENDPOINTS, "e0", b"live 1")
    link = lh.FakeStore(shared)
    host = follow_endpoints(loop, link)
    follower = host.endpoints.topic_follower
    follower.apply_update(follower.state()._replace(era=2**62), "n9")
    lh.advance(loop, clock, 5 * sh.PAUSE_S)
    assert link.calls.count("newest") == 2
    shared.write(sh.ENDPOINTS, "e0", b"leaving 2")
    lh.advance(loop, clock, 1.5 * sh.PAUSE_S)
    assert host.listed() == []
    host.sharing.close()


def test_entries_that_a_restore_lost_have_time_to_return(cluster):
    loop, clock, shared, members = cluster
    shared.write(sh.ENDPOINTS, "e3", b"live 1")
    lh.advance(loop, clock, 3 * sh.PAUSE_S)
    shared.restore(2, era=1)
    lh.advance(loop, clock, 1.5)
    shared.write(sh.ENDPOINTS, "e2", b"live 2")
    for host in members:
        assert host.listed() == ["e0", "e1", "e2", "e3"]
    lh.advance(loop, clock, 3.0)
    assert all(host.listed() == ["e0", "e1", "e2"] for host in members)


def test_a_second_restore_within_the_grace_time_starts_it_again(env):
    loop, clock, shared = env
    shared.write(sh.ENDPOINTS, "e0", b"live 1")
    shared.write(sh.ENDPOINTS, "e1", b"live 1")
    host = follow_endpoints(loop, lh.FakeStore(shared))
    shared.restore(1, era=1)
    lh.advance(loop, clock, 2.5)
    shared.restore(1, era=2)
    lh.advance(loop, clock, 1.5)
    assert host.listed() == ["e0", "e1"]
    lh.advance(loop, clock, 2.0)
    assert host.listed() == ["e0"]
    host.sharing.close()


def test_lost_entries_have_time_to_return_after_the_next_outage_too(cluster):
    loop, clock, shared, members = cluster
    lh.advance(loop, clock, 3 * sh.PAUSE_S)
    shared.restore(2, era=1)
    lh.advance(loop, clock, 1.5)
    for host in members:
        host.source.error = store.StoreError("down")
    lh.advance(loop, clock, 4.0)
    assert all(host.listed() == ["e0", "e1", "e2"] for host in members)
    for host in members:
        host.source.error = None
    lh.advance(loop, clock, 1.5)
    assert all(host.listed() == ["e0", "e1", "e2"] for host in members)
    lh.advance(loop, clock, 3.0)
    assert all(host.listed() == ["e0", "e1"] for host in members)


def test_an_endpoint_that_left_does_not_come_back_from_the_copy(cluster):
    loop, clock, shared, members = cluster
    shared.write(sh.ENDPOINTS, "e1", b"")
    shared.write(sh.ENDPOINTS, "e2", b"leaving 2")
    lh.advance(loop, clock, 3 * sh.PAUSE_S)
    shared.restore(3, era=1)
    lh.advance(loop, clock, 3 * sh.PAUSE_S)
    assert all(host.listed() == ["e0"] for host in members)
    shared.write(sh.ENDPOINTS, "e1", b"live 2")
    shared.write(sh.ENDPOINTS, "e2", b"live 3")
    lh.advance(loop, clock, 2 * sh.PAUSE_S)
    assert all(host.listed() == ["e0", "e1"] for host in members)


def test_hosts_agree_on_a_version_that_was_written_again(env):
    loop, clock, shared = env
    shared.write(CONFIG, "config", b"1 a")
    shared.write(CONFIG, "config", b"3 lost")
    members = [
        sh.ConfigHost(loop, name, sh.WaitingLink(loop, shared))
        for name in ("n0", "n1")
    ]
    early, late = members
    early.configuration.topic_follower.start()
    lh.advance(loop, clock, sh.PAUSE_S)
    shared.restore(1, era=1)
    shared.write(CONFIG, "config", b"3 new")
    late.configuration.topic_follower.start()
    lh.advance(loop, clock, 2 * sh.PAUSE_S)
    tables = [host.configuration.table for host in members]
    assert [table.version for table in tables] == [3, 3]
    assert [table.content for table in tables] == [b"3 new", b"3 new"]
    # The same record once more, at another place, changes nothing.
    shared.restore(1, era=2)
    shared.write(CONFIG, "config", b"3 new")
    lh.advance(loop, clock, 2 * sh.PAUSE_S)
    assert [host.configuration.table for host in members] == tables
    for host in members:
        host.sharing.close()


def test_a_copy_with_an_older_configuration_does_not_put_it_in_force(env):
    loop, clock, shared = env
    shared.write(CONFIG, "config", b"1 a")
    shared.write(CONFIG, "config", b"3 b")
    host = sh.ConfigHost(loop, "n0", sh.WaitingLink(loop, shared))
    host.configuration.topic_follower.start()
    lh.advance(loop, clock, sh.PAUSE_S)
    shared.restore(1, era=1)
    shared.write(CONFIG, "config", b"2 c")
    lh.advance(loop, clock, 2 * sh.PAUSE_S)
    assert host.configuration.table.version == 3
    host.sharing.close()


def start_without_store(loop, clock, shared, peer):
    late = sh.Host(loop, "n9", lh.FakeStore(shared))
    late.source.error = store.StoreError("down")
    late.neighbours = [peer]
    late.endpoints.topic_follower.start()
    lh.run_until(loop, late.endpoints.topic_follower.has_read)
    return late


def test_a_host_is_served_what_its_peer_holds_true_not_the_copy(cluster):
    loop, clock, shared, (first, second, third) = cluster
    shared.write(sh.ENDPOINTS, "e1", b"")
    shared.write(sh.ENDPOINTS, "e2", b"leaving 2")
    lh.advance(loop, clock, 3 * sh.PAUSE_S)
    shared.restore(3, era=1)
    lh.advance(loop, clock, 3 * sh.PAUSE_S)
    late = start_without_store(loop, clock, shared, third.peer)
    assert late.listed() == ["e0"]
    late.source.error = None
    lh.advance(loop, clock, 3 * sh.PAUSE_S)
    assert late.listed() == ["e0"]
    shared.write(sh.ENDPOINTS, "e1", b"live 2")
    shared.write(sh.ENDPOINTS, "e2", b"live 3")
    lh.advance(loop, clock, 3 * sh.PAUSE_S)
    assert late.listed() == ["e0", "e1"]
    late.sharing.close()


def test_a_removal_at_a_peer_does_not_end_a_later_run(env):
    loop, clock, shared = env
    shared.write(sh.ENDPOINTS, "e0", b"live 3")
    host = follow_endpoints(loop, lh.FakeStore(shared))
    apply = host.endpoints.topic_follower.on_removed
    apply([store.RemovedRun("e0", 1, 2), store.RemovedRun("e0", 0, 9)])
    lh.advance(loop, clock, sh.PAUSE_S)
    assert host.listed() == ["e0"]
    apply([store.RemovedRun("e0", 1, 3)])
    shared.write(sh.ENDPOINTS, "e1", b"live 1")
    lh.advance(loop, clock, 2 * sh.PAUSE_S)
    assert host.listed() == ["e1"]
    host.sharing.close()


@pytest.mark.parametrize("sequence", [2**70, -(2**70)])
def test_a_removed_run_with_an_absurd_sequence_stops_no_snapshot(env, sequence):
    loop, clock, shared = env
    shared.write(sh.ENDPOINTS, "e0", b"live %d" % sequence)
    shared.write(sh.ENDPOINTS, "e1", b"live 1")
    host = follow_endpoints(loop, lh.FakeStore(shared))
    shared.write(sh.ENDPOINTS, "e0", b"")
    shared.write(sh.ENDPOINTS, "e1", b"")
    lh.advance(loop, clock, 2 * sh.PAUSE_S)
    snapshot = host.endpoints.topic_follower.snapshot()
    news = store_messages.StoreNews([snapshot])
    frame = store_messages.encode(sh.KEY, news, loop.now())
    (decoded,) = store_messages.decode(sh.KEY, frame, loop.now()).updates
    assert decoded.removed == (store.RemovedRun("e1", 1, 1),)
    host.sharing.close()


def test_a_host_is_served_the_configuration_in_force_not_the_copy(env):
    loop, clock, shared = env
    shared.write(CONFIG, "config", b"1 a")
    shared.write(CONFIG, "config", b"3 b")
    running, late = (
        sh.ConfigHost(loop, name, sh.WaitingLink(loop, shared))
        for name in ("n0", "n1")
    )
    running.configuration.topic_follower.start()
    lh.advance(loop, clock, sh.PAUSE_S)
    shared.restore(1, era=1)
    lh.advance(loop, clock, 2 * sh.PAUSE_S)
    late.source.error = store.StoreError("down")
    late.peers = [running.peer]
    late.configuration.topic_follower.start()
    lh.run_until(loop, late.configuration.topic_follower.has_read)
    assert late.configuration.table.version == 3
    for host in (running, late):
        host.sharing.close()


def test_a_host_without_the_store_fetches_an_update_that_it_missed(cluster):
    loop, clock, shared, (first, second, third) = cluster
    lh.advance(loop, clock, 3 * sh.PAUSE_S)
    third.source.error = store.StoreError("cut off")
    for host in (first, second):
        host.neighbours.remove(third.peer)
    shared.write(sh.ENDPOINTS, "e1", b"leaving 2")
    lh.advance(loop, clock, 2 * sh.PAUSE_S)
    for host in (first, second):
        host.neighbours.append(third.peer)
    shared.write(sh.ENDPOINTS, "e0", b"live 2")
    lh.advance_until(loop, clock, lambda: third.listed() == ["e0", "e2"])


def test_a_host_without_the_store_learns_of_a_restore(cluster):
    loop, clock, shared, (first, second, third) = cluster
    for number in range(2, 6):
        shared.write(sh.ENDPOINTS, "e0", b"live %d" % number)
    lh.advance(loop, clock, 3 * sh.PAUSE_S)
    third.source.error = store.StoreError("cut off")
    shared.restore(3, era=1)
    shared.write(sh.ENDPOINTS, "e1", b"leaving 2")
    lh.advance_until(loop, clock, lambda: third.listed() == ["e0", "e2"])
    state = third.endpoints.topic_follower.state()
    assert state.position == (1, 4)
    # It applies the updates of the new era from there on.
    shared.write(sh.ENDPOINTS, "e2", b"leaving 2")
    lh.advance_until(loop, clock, lambda: third.listed() == ["e0"])


def start_beside(loop, shared, peers, name="n9"):
    late = sh.Host(loop, name, lh.FakeStore(shared))
    late.neighbours = list(peers)
    late.endpoints.topic_follower.start()
    return late


def test_a_host_that_starts_after_a_restore_uses_no_endpoint_that_left(cluster):
    loop, clock, shared, (first, second, third) = cluster
    shared.write(sh.ENDPOINTS, "e1", b"")
    shared.write(sh.ENDPOINTS, "e2", b"leaving 2")
    shared.write(sh.ENDPOINTS, "e3", b"live 1")
    shared.write(sh.ENDPOINTS, "e3", b"leaving 2")
    lh.advance(loop, clock, 3 * sh.PAUSE_S)
    shared.restore(3, era=1)
    lh.advance(loop, clock, 1.5 * sh.PAUSE_S)
    late = start_beside(loop, shared, [third.peer])
    lh.advance_until(
        loop, clock, lambda: late.endpoints.topic_follower.may_serve
    )
    assert late.listed() == ["e0"]
    shared.write(sh.ENDPOINTS, "e3", b"live 3")
    lh.advance(loop, clock, 3 * sh.PAUSE_S)
    assert late.listed() == ["e0"]
    late.sharing.close()


def test_a_host_that_starts_after_a_restore_takes_no_withdrawn_key(env):
    loop, clock, shared = env
    shared.write(CONFIG, "config", b"1 key")
    shared.write(CONFIG, "config", b"3 none")
    running, late = (
        sh.ConfigHost(loop, name, sh.WaitingLink(loop, shared))
        for name in ("n0", "n1")
    )
    running.configuration.topic_follower.start()
    lh.advance(loop, clock, sh.PAUSE_S)
    shared.restore(1, era=1)
    late.peers = [running.peer]
    late.configuration.topic_follower.start()
    lh.advance_until(
        loop, clock, lambda: late.configuration.topic_follower.may_serve
    )
    assert late.configuration.table.version == 3
    for host in (running, late):
        host.sharing.close()


def test_a_host_that_starts_alone_serves_from_the_store(env):
    loop, clock, shared = env
    shared.write(sh.ENDPOINTS, "e0", b"live 1")
    late = start_beside(loop, shared, [])
    lh.advance(loop, clock, 0.3)
    assert not late.endpoints.topic_follower.may_serve
    lh.advance(loop, clock, 0.4)
    assert late.endpoints.topic_follower.may_serve
    assert late.listed() == ["e0"]
    late.sharing.close()


def test_a_host_that_is_found_later_is_asked_then(cluster):
    loop, clock, shared, (first, second, third) = cluster
    shared.write(sh.ENDPOINTS, "e1", b"")
    lh.advance(loop, clock, 3 * sh.PAUSE_S)
    shared.restore(3, era=1)
    late = start_beside(loop, shared, [])
    lh.advance(loop, clock, 2 * sh.PAUSE_S)
    assert late.endpoints.topic_follower.may_serve
    late.neighbours.append(third.peer)
    lh.advance_until(loop, clock, lambda: late.listed() == ["e0", "e2"])
    late.sharing.close()


def test_hosts_that_start_together_wait_for_one_that_knows_more(env):
    loop, clock, shared = env
    shared.write(sh.ENDPOINTS, "e0", b"live 1")
    started = [start_beside(loop, shared, [], name) for name in ("n8", "n9")]
    for host, other in (started, reversed(started)):
        host.neighbours.append(other.peer)
    fetched = []
    for host in started:
        fetch = host.endpoints.topic_follower.fetch_from_peer
        host.endpoints.topic_follower.fetch_from_peer = lambda fetch=fetch: (
            fetched.append(fetch()) or fetched[-1]
        )
    lh.advance(loop, clock, 0.3)
    followers = [host.endpoints.topic_follower for host in started]
    assert not any(follower.may_serve for follower in followers)
    lh.advance_until(loop, clock, lambda: all(f.may_serve for f in followers))
    assert fetched[0].result() == store.PeerStarting()
    for host in started:
        host.sharing.close()


def test_a_peer_that_does_not_answer_is_not_asked_without_pause(env):
    loop, clock, shared = env
    host = sh.Host(loop, "n0", lh.FakeStore(shared))
    follower = host.endpoints.topic_follower
    asked = []
    follower.has_peers = lambda: True
    follower.fetch_from_peer = lambda: asked.append(1) or tasks.done(None)
    follower.start()
    lh.advance(loop, clock, 0.9)
    assert not follower.may_serve
    lh.advance(loop, clock, 10.1)
    assert follower.may_serve and len(asked) <= 22
    host.sharing.close()


def test_a_restore_while_a_host_starts_makes_it_ask_again(env):
    loop, clock, shared = env
    shared.write(sh.ENDPOINTS, "e0", b"live 1")
    asked = []

    def fetch():
        asked.append(tasks.Future())
        return asked[-1]

    link = lh.FakeStore(shared)
    host = sh.Host(loop, "n0", link)
    follower = host.endpoints.topic_follower
    follower.has_peers = lambda: True
    follower.fetch_from_peer = fetch
    follower.start()
    lh.advance(loop, clock, 0.2)
    before = follower.snapshot()
    shared.restore(1, era=1)
    link.eras.observe(1)
    asked[0].set_result(before)
    lh.advance(loop, clock, 0.2)
    assert not follower.may_serve and len(asked) == 2
    removed = (store.RemovedRun("e0", 1, 1),)
    asked[1].set_result(before._replace(era=1, removed=removed))
    lh.advance(loop, clock, 0.2)
    assert follower.may_serve and host.listed() == []
    host.sharing.close()


# The schema of builds that know no eras.
_OLD_SCHEMA = """
@0xc3a5f0d1b7e24987;
enum StoreTopic { configuration @0; endpoints @1; }
struct StoreRecord {
  offset @0 :Int64; key @1 :Text; value @2 :Data; isCompressed @3 :Bool;
}
struct TopicNews {
  topic @0 :StoreTopic; first @1 :Int64; end @2 :Int64; ageMs @3 :UInt32;
  records @4 :List(StoreRecord);
}
struct StoreNews { topics @0 :List(TopicNews); mustRelay @1 :Bool; }
"""


def test_builds_with_and_without_eras_read_each_others_updates(tmp_path):
    path = tmp_path / "old.capnp"
    path.write_text(_OLD_SCHEMA)
    old = capnp.load(str(path)).StoreNews
    record = store.Record(4, "e1", b"x", 6)
    run = store.RemovedRun("e2", 2, 5)
    update = store.TopicUpdate(sh.ENDPOINTS, 3, 9, 99.5, (record,), 7, (run,))
    frame = store_messages.encode(
        sh.KEY, store_messages.StoreNews([update]), 100.0
    )
    (decoded,) = store_messages.decode(sh.KEY, frame, 100.0).updates
    assert decoded._replace(read_at=99.5) == update
    read = old.from_bytes_packed(messages.unseal(sh.KEY, frame)).topics[0]
    assert (read.first, read.end, read.records[0].offset) == (3, 9, 4)
    assert [record.key for record in read.records] == ["e1"]
    sent = old.new_message(
        topics=[{"topic": "endpoints", "first": 3, "end": 9}]
    )
    frame = messages.seal(sh.KEY, sent.to_bytes_packed())
    (decoded,) = store_messages.decode(sh.KEY, frame, 100.0).updates
    assert decoded.position == (0, 9)


def test_a_host_beside_one_that_knows_no_eras_reads_for_itself(cluster):
    loop, clock, shared, (first, second, third) = cluster
    shared.restore(3, era=1)
    lh.advance(loop, clock, 3 * sh.PAUSE_S)
    send = first.endpoints.topic_follower.on_update
    first.endpoints.topic_follower.on_update = lambda update: send(
        update._replace(era=0)
    )
    shared.write(sh.ENDPOINTS, "e1", b"leaving 2")
    lh.advance(loop, clock, 1.3 * sh.PAUSE_S)
    assert second.listed() == third.listed() == ["e0", "e2"]


def test_a_gateway_is_not_ready_before_it_has_asked_a_live_host():
    world = gateway_world.World()
    running = types.SimpleNamespace(
        _ctrl=world.ctrl, _serving_state=world.serving_state
    )
    followers = [
        world.ctrl.configuration.topic_follower,
        world.ctrl.endpoints.topic_follower,
    ]
    world.ctrl.configuration.table = lh.table()
    world.ctrl.endpoints.topic_follower.read_at = 0.0
    reason = gateway.Gateway.not_ready_reason
    for follower in followers:
        assert "no other host was asked" in reason(running)
        follower.may_serve = True
    assert reason(running) == ""
    world.close()
