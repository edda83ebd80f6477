"""Hosts write again what a restored store has lost of their own records."""

import random
from concurrent.futures import Future

import loop_helpers as lh
import pytest

from chervilarch import fleet as fleets
from chervilarch import (
    membership,
    store,
    tasks,
)

_ROUTERS = store.Topic.ROUTERS
# What the users' platform takes of a whole fleet, a second.


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
