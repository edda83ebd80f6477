"""Hosts write again what a restored store has lost of their own records."""

import random

import loop_helpers as lh
import pytest
from test_advisories import _BAD as BAD
from test_advisories import Host as AdvisoryHost

from chervilarch import (
    block_records,
    crash_evidence,
    host_entry,
    membership,
    prompt_blocks,
    store,
    tasks,
)
from chervilarch import fleet as fleets
from chervilarch.futures import Future

_ROUTERS = store.Topic.ROUTERS
_BLOCKS = store.Topic.BLOCKS
_FLEET_SIZE = 195
# What the users' platform takes of a whole fleet, a second.
_MAX_WRITES_PER_S = 400
_MAX_READS_PER_S = 2000
_WINDOW_S = 0.1


@pytest.fixture
def env():
    loop, clock = lh.new_loop()
    yield loop, clock, lh.FakeStore()
    loop.close()


def restore(source, copy_end, era):
    """Restores the store, and lets hosts learn of it by any answer."""
    source.restore(copy_end, era)
    source.eras.observe(era)


def start_fleet(loop, clock, source, name="n1"):
    """Starts a host without gossip, which has sockets and a thread."""
    address = f"127.0.0.1:{lh.free_ports(1)}"
    own = membership.Member(name, address, "dc1", 1)
    made = fleets.Fleet(loop, source, own, b"k" * 16, clock, random.Random(1))
    made.gossip.start = lambda: None
    made.start()
    return made


def keys(source, topic):
    newest = {record.key: record for record in source.log.get(topic, [])}
    return [key for key, record in newest.items() if record.value]


def test_a_hosts_entry_is_written_again_after_a_restore(env):
    loop, clock, source = env
    start_fleet(loop, clock, source)
    lh.advance(loop, clock, 1.0)
    assert keys(source, _ROUTERS) == ["n1"]
    for era in (1, 2):
        restore(source, 0, era)
        assert keys(source, _ROUTERS) == []
        lh.advance(loop, clock, 5.0)
        assert keys(source, _ROUTERS) == ["n1"]


def test_an_entry_is_written_anew_if_the_store_is_restored_once_more(env):
    loop, clock, source = env
    start_fleet(loop, clock, source)
    lh.advance(loop, clock, 1.0)
    for era in range(1, 9):
        restore(source, 0, era)
        lh.advance(loop, clock, 0.7)
    lh.advance(loop, clock, 5.0)
    assert keys(source, _ROUTERS) == ["n1"]


class SlowStore(lh.FakeStore):
    """A store that answers writes when the test lets it."""

    def __init__(self):
        super().__init__()
        self.waiting = []

    def put(self, topic, key, value, timeout_s):
        fut = Future()
        self.write(topic, key, value)
        self.waiting.append(fut)
        return fut

    def answer(self):
        waiting, self.waiting = self.waiting, []
        for fut in waiting:
            self.eras.observe(self.era)
            tasks.resolve(fut, None)


def test_an_entry_that_was_under_way_in_a_restore_is_written_again(env):
    loop, clock, _ = env
    source = SlowStore()
    source.eras.observe(0)
    start_fleet(loop, clock, source)
    lh.advance(loop, clock, 0.1)
    restore(source, 0, 1)
    # The answer of before the restore arrives after one from behind it.
    source.answer()
    lh.advance(loop, clock, 5.0)
    source.answer()
    assert keys(source, _ROUTERS) == ["n1"]


@pytest.fixture
def blocking_host(env):
    """A host that has blocked a prompt and stored the block."""
    loop, clock, source = env
    host = AdvisoryHost(loop, "h0", [], source)
    for number in range(3):
        host.learn(number, clock.now)
    lh.advance(loop, clock, 1.0)
    assert len(keys(source, _BLOCKS)) == 1
    yield host
    host.exchange.close()


def test_a_block_that_a_restored_store_has_lost_is_written_again(
    env, blocking_host
):
    loop, clock, source = env
    restore(source, 0, 1)
    lh.advance(loop, clock, 5.0)
    assert len(keys(source, _BLOCKS)) == 1


def test_a_block_that_ended_is_removed_from_a_restored_store(
    env, blocking_host
):
    loop, clock, source = env
    lh.advance(loop, clock, 31.0)
    blocking_host.guard._evidence.record_answer(
        BAD, crash_evidence.SOUND_S, clock.now
    )
    blocking_host.guard._update_blocks(is_own=True)
    lh.advance(loop, clock, 0.1)
    assert keys(source, _BLOCKS) == []
    restore(source, 1, 1)
    assert len(keys(source, _BLOCKS)) == 1
    lh.advance(loop, clock, 5.0)
    assert keys(source, _BLOCKS) == []


def test_a_block_that_was_under_way_in_a_restore_is_written_again(env):
    loop, clock, _ = env
    source = SlowStore()
    source.eras.observe(0)
    block = block_of(loop.now())
    records = new_records(loop, clock, source, [], 1)
    records.start()
    records.write([block])
    restore(source, 0, 1)
    source.answer()
    lh.advance(loop, clock, 5.0)
    source.answer()
    assert len(keys(source, _BLOCKS)) == 1


def test_blocks_of_a_later_round_are_left_in_a_restored_store(env):
    loop, clock, source = env
    early, late = (block_of(loop.now())._replace(round=n) for n in (1, 2))
    new_records(loop, clock, source, [late], 0).write([late])
    for number, known in enumerate((early, early._replace(is_active=False))):
        new_records(loop, clock, source, [known], number).start()
    source.eras.observe(0)
    restore(source, 1, 1)
    lh.advance(loop, clock, 5.0)
    assert len(source.log[_BLOCKS]) == 1
    assert b'"round":2' in source.log[_BLOCKS][0].value


class SlowReads(lh.FakeStore):
    """A store that answers reads of blocks when the test lets it."""

    def __init__(self):
        super().__init__()
        self.waiting = []

    def read_newest(self, topic, after, timeout_s):
        fut = Future()
        page = super().read_newest(topic, after, timeout_s).result()
        self.waiting.append((fut, page))
        return fut

    def answer(self):
        waiting, self.waiting = self.waiting, []
        for fut, page in waiting:
            tasks.resolve(fut, page)


def test_blocks_are_compared_anew_if_the_store_is_restored_once_more(env):
    loop, clock, _ = env
    source = SlowReads()
    source.eras.observe(0)
    block = block_of(loop.now())
    records = new_records(loop, clock, source, [block], 1)
    records.start()
    records.write([block])
    source.answer()
    restore(source, 1, 1)
    lh.run_until(loop, lambda: advance_until_read(loop, clock, source))
    # The page under way still holds the block.
    restore(source, 0, 2)
    source.answer()
    lh.run_until(loop, lambda: advance_until_read(loop, clock, source))
    source.answer()
    assert len(keys(source, _BLOCKS)) == 1


def advance_until_read(loop, clock, source):
    lh.advance(loop, clock, 0.1)
    return bool(source.waiting)


def block_of(now):
    return prompt_blocks.PromptBlock(
        BAD, 1, True, now, now + 300.0, now + 300.0
    )


def new_records(loop, clock, source, known, seed):
    return block_records.BlockRecords(
        loop,
        source,
        clock,
        lambda blocks: None,
        lambda: known,
        random.Random(seed),
    )


class CountingStore(lh.FakeStore):
    """A host's link to the store; notes the time of each call."""

    def __init__(self, loop, shared, times):
        super().__init__(shared)
        self._loop = loop
        self._times = times

    def read_newest(self, topic, after, timeout_s):
        self._times.append(("read", self._loop.now()))
        return super().read_newest(topic, after, timeout_s)

    def put(self, topic, key, value, timeout_s):
        self._times.append(("write", self._loop.now()))
        return super().put(topic, key, value, timeout_s)


def most_in_a_window(times):
    times = sorted(times)
    return max(
        sum(start <= time < start + _WINDOW_S for time in times)
        for start in times
    )


def test_a_large_fleet_makes_no_burst_on_a_restored_store(env, record_property):
    loop, clock, shared = env
    times = []
    known = [block_of(loop.now())]
    links = []
    for number in range(_FLEET_SIZE):
        link = CountingStore(loop, shared, times)
        links.append(link)
        rng = random.Random(number)
        host_entry.HostEntry(loop, link, f"n{number}", b"a dc1", rng).start()
        new_records(loop, clock, link, known, 1000 + number).start()
    lh.advance(loop, clock, 1.0)
    times.clear()
    shared.restore(0, 1)
    for link in links:
        link.eras.observe(1)
    lh.advance(loop, clock, 5.0)
    assert len(keys(shared, _ROUTERS)) == _FLEET_SIZE
    assert len(keys(shared, _BLOCKS)) == 1
    writes = [time for kind, time in times if kind == "write"]
    reads = [time for kind, time in times if kind == "read"]
    assert len(writes) <= _FLEET_SIZE + 10
    assert len(reads) <= _FLEET_SIZE
    most_writes, most_reads = most_in_a_window(writes), most_in_a_window(reads)
    record_property("writes", (len(writes), most_writes))
    record_property("reads", (len(reads), most_reads))
    assert most_writes <= _MAX_WRITES_PER_S * _WINDOW_S
    assert most_reads <= _MAX_READS_PER_S * _WINDOW_S
