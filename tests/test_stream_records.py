"""Records of streams in the store: restores, outages, bounds."""

import random

import loop_helpers as lh
import pytest

from chervilarch import store, stream_records, tasks
from chervilarch.futures import Future
from chervilarch.platform import store as platform_store
from chervilarch.scheduling import default_version


class Hosts:
    """Hosts that share a store, on one clock."""

    def __init__(self):
        self.loop, self.clock = lh.new_loop()
        self.store = lh.FakeStore()

    def new(self, count=1):
        link = lh.FakeStore(self.store)
        link.eras.observe(self.store.era)
        records = stream_records.StreamRecords(
            self.loop, link, self.clock, random.Random(1), lambda: count
        )
        return records, link

    def write_three(self, records):
        """Records the streams s0 to s2, one after the other."""
        for number in range(3):
            records.write(f"s{number}", "p", "v1")
            lh.advance(self.loop, self.clock, 0.1)

    def find(self, records, stream_id):
        read = records.refresh()
        lh.advance(self.loop, self.clock, 0.01)
        return read.result() or records.known(stream_id)

    def appended(self):
        return len(self.store.log.get(store.Topic.STREAMS, []))


@pytest.fixture
def hosts():
    created = Hosts()
    yield created
    created.loop.close()


def test_a_host_that_starts_finds_the_record_of_a_stream(hosts):
    first, _ = hosts.new()
    assert first.write("s1", "p", "v1").done()
    started, _ = hosts.new()
    found = hosts.find(started, "s1")
    assert found[:2] == ("p", "v1")
    assert hosts.find(started, "s2") is None
    assert started.versions("p", 10.0) == {"v1"}
    assert not started.versions("q", 10.0)


def test_a_host_finds_what_was_written_after_its_last_read(hosts):
    first, _ = hosts.new()
    second, _ = hosts.new()
    assert hosts.find(second, "s1") is None
    first.write("s1", "p", "v1")
    lh.advance(hosts.loop, hosts.clock, 0.1)
    assert hosts.find(second, "s1").version == "v1"


def test_records_that_a_restore_lost_are_written_again(hosts):
    first, _ = hosts.new()
    first.write("s1", "p", "v1")
    second, link = hosts.new()
    assert hosts.find(second, "s1") is not None
    hosts.store.restore(0, 1)
    started, _ = hosts.new()
    assert hosts.find(started, "s1") is None
    first._store.eras.observe(1)
    lh.advance(hosts.loop, hosts.clock, store.REWRITE_SPREAD_S + 0.1)
    assert hosts.find(started, "s1").version == "v1"
    # Offsets were given out again.
    first.write("s2", "p", "v2")
    lh.advance(hosts.loop, hosts.clock, 0.1)
    assert hosts.find(second, "s2").version == "v2"


def test_a_read_that_crosses_a_restore_misses_no_record(hosts):
    first, _ = hosts.new()
    hosts.write_three(first)
    second, _ = hosts.new()
    assert hosts.find(second, "s2") is not None
    hosts.store.restore(1, 1)
    other, _ = hosts.new()
    # The second one of these has an offset that the second host had read.
    for stream_id in ("t0", "t1", "t2", "t3"):
        other.write(stream_id, "p", "v2")
        lh.advance(hosts.loop, hosts.clock, 0.1)
    assert hosts.find(second, "t1").version == "v2"


def test_a_record_waits_for_the_store_to_come_back(hosts):
    first, link = hosts.new()
    link.error = store.StoreError("away")
    stored = first.write("s1", "p", "v1")
    lh.advance(hosts.loop, hosts.clock, 2.0)
    assert not stored.done() and hosts.appended() == 0
    second, other_link = hosts.new()
    other_link.error = link.error
    assert isinstance(hosts.find(second, "s1"), store.StoreError)
    link.error = other_link.error = None
    lh.advance(hosts.loop, hosts.clock, 1.0)
    assert stored.done() and hosts.find(second, "s1").version == "v1"


def test_old_records_are_dropped_unwritten(hosts):
    first, link = hosts.new()
    link.error = store.StoreError("away")
    stored = first.write("s1", "p", "v1")
    lh.advance(hosts.loop, hosts.clock, stream_records.RETENTION_S + 1.0)
    link.error = None
    lh.advance(hosts.loop, hosts.clock, 1.0)
    assert stored.done() and hosts.appended() == 0


def test_reading_goes_on_after_records_that_the_store_dropped(hosts):
    first, _ = hosts.new()
    hosts.write_three(first)
    hosts.store.first[store.Topic.STREAMS] = 2
    started, link = hosts.new()
    read = link.read_changes

    def tell_first(topic, offset, wait_s):
        page = read(topic, offset, wait_s).result()
        if isinstance(page, store.StoreError):
            page = page._replace(first=2)
        return tasks.done(page)

    link.read_changes = tell_first
    assert hosts.find(started, "s2").version == "v1"


def test_an_unreadable_record_hides_no_other(hosts):
    hosts.store.write(store.Topic.STREAMS, "k", b"\xff")
    first, _ = hosts.new()
    first.write("s1", "p", "v1")
    started, _ = hosts.new()
    assert hosts.find(started, "s1").version == "v1"


class LateReads:
    """Keeps the answers to a host's reads back until they are released."""

    def __init__(self, link):
        self.held = []
        for name in ("read_changes", "read_newest"):
            setattr(link, name, self._holding(getattr(link, name)))

    def _holding(self, read):
        def hold(*args):
            answer = Future()
            self.held.append((answer, read(*args).result()))
            return answer

        return hold

    def release(self, number):
        answer, page = self.held[number]
        answer.set_result(page)


@pytest.mark.parametrize("has_read", [False, True])
def test_an_answer_that_comes_late_replaces_nothing_newer(hosts, has_read):
    # Two reads are under way; the answer to the first one comes last.
    first, _ = hosts.new()
    second, link = hosts.new()
    hosts.store.write(store.Topic.STREAMS, "pool/p", b'["v1",0,1.0]')
    first.write("s1", "p", "v1")
    if has_read:
        hosts.find(second, "s1")
    late = LateReads(link)
    first.write("s2", "p", "v1")
    lh.advance(hosts.loop, hosts.clock, 0.1)
    second.refresh()
    lh.advance(hosts.loop, hosts.clock, 0.01)
    first.write("s2", "p", "v2")
    hosts.store.write(store.Topic.STREAMS, "pool/p", b'["v2",0,2.0]')
    lh.advance(hosts.loop, hosts.clock, 0.1)
    second.refresh()
    lh.advance(hosts.loop, hosts.clock, 0.01)
    late.release(1)
    late.release(0)
    lh.run_pending(hosts.loop)
    assert second.known("s2").version == "v2"
    assert second.default("p").version == "v2"


def test_a_host_deletes_its_records_once_nobody_takes_the_streams_up(hosts):
    first, _ = hosts.new()
    hosts.write_three(first)
    second, _ = hosts.new()
    assert hosts.find(second, "s2") is not None
    for _ in range(2):
        lh.advance(hosts.loop, hosts.clock, stream_records.RETENTION_S)
    assert hosts.find(second, "s2") is None
    log = hosts.store.log[store.Topic.STREAMS]
    newest = {record.key: record.value for record in log}
    assert len(newest) == 3 and not any(newest.values())


def test_records_of_hosts_that_ended_are_deleted_by_one_that_starts(hosts):
    # A snapshot has them in any order.
    other, _ = hosts.new()
    other.write("s2", "p", "v1")
    lh.advance(hosts.loop, hosts.clock, 0.1)
    ended, _ = hosts.new()
    ended.write("s1", "p", "v1")
    ended._own.clear()
    hosts.clock.advance(590.0)
    other.write("s2", "p", "v1")
    other._own.clear()
    hosts.clock.advance(20.0)
    started, _ = hosts.new()
    assert hosts.find(started, "s2") is not None
    lh.advance(hosts.loop, hosts.clock, 0.1)
    log = hosts.store.log[store.Topic.STREAMS]
    assert (log[-1].key, log[-1].value) == (log[1].key, b"")
    assert hosts.find(started, "s1") is None


def test_a_host_forgets_old_records_that_it_has_read(hosts):
    ended, _ = hosts.new()
    ended.write("s1", "p", "v1")
    ended._own.clear()
    second, _ = hosts.new()
    assert hosts.find(second, "s1") is not None
    hosts.clock.advance(610.0)
    other, _ = hosts.new()
    other.write("s2", "p", "v1")
    assert hosts.find(second, "s2") is not None
    assert second.known("s1") is None
    assert all(r.value for r in hosts.store.log[store.Topic.STREAMS])


def test_of_two_hosts_that_set_a_default_version_one_does(hosts):
    links = [hosts.new()[0] for _ in range(2)]
    for records in links:
        hosts.find(records, "s1")
    results = []
    for number, records in enumerate(links):
        default = default_version.DefaultVersion(f"v{number}", 0, 1.0)
        task = tasks.Task(records.set_default("p", default))
        lh.advance(hosts.loop, hosts.clock, 0.01)
        results.append(task.future.result())
    assert results[0] is None and results[1].is_conflict
    for records in links:
        hosts.find(records, "s1")
        assert records.default("p").version == "v0"


def test_all_hosts_together_append_no_more_often_than_a_partition_takes(hosts):
    # 195 hosts that each begin four streams a second.
    records, link = hosts.new(count=195)
    calls = []
    append = link.append

    def count(topic, batch, timeout_s, at=None):
        calls.append(len(batch))
        return append(topic, batch, timeout_s, at)

    link.append = count
    for number in range(40):
        records.write(f"s{number}", "p", "v1")
        lh.advance(hosts.loop, hosts.clock, 0.25)
    assert sum(calls) == 40 and hosts.appended() == 40
    assert len(calls) * 195 / 10.0 <= 1.1 * stream_records._APPENDS_PER_S


def test_the_platforms_store_is_told_several_records_in_one_call():
    record = platform_store._encode_record("key", b"value")
    assert record == b"\x00\x00\x00\x09\x03keyvalue"
    assert platform_store._read_first(b'{"first":7}') == 7
    assert platform_store._read_first(b"nothing") == 0
