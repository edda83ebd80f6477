"""A process that was paused doesn't act on what ran out meanwhile.

In the pause the steady clock goes on. Requests and datagrams wait in the
sockets, and the store's answers come only when the test lets them.
"""

import loop_helpers as lh
import pytest
from store_hosts import Host as SharingHost

from chervilarch import clocks, store, tasks
from chervilarch import loop as loops


class HeldStore(lh.FakeStore):
    """A store whose answers wait until `release` while it is held."""

    def __init__(self):
        super().__init__()
        self.is_held = False
        self._waiting = []

    def read_newest(self, topic, after, timeout_s):
        read = super().read_newest
        return self._answer(lambda: read(topic, after, timeout_s))

    def read_changes(self, topic, offset, wait_s):
        read = super().read_changes
        return self._answer(lambda: read(topic, offset, wait_s))

    def release(self):
        self.is_held = False
        waiting, self._waiting = self._waiting, []
        for fut, read in waiting:
            tasks.resolve(fut, read().result())

    def _answer(self, read):
        if not self.is_held:
            return read()
        fut = tasks.Future()
        self._waiting.append((fut, read))
        return fut


class Fleet:
    """Hosts with a loop each, so that the test can stop one of them."""

    def __init__(self):
        self.clock = clocks.ManualClock()
        self.loops = []

    def new_loop(self):
        loop = loops.Loop(self.clock)
        self.loops.append(loop)
        return loop

    def advance(self, seconds, stopped=None):
        """Moves the clock while one loop doesn't run."""
        for _ in range(round(seconds / 0.01)):
            self.clock.advance(0.01)
            for loop in self.loops:
                if loop is not stopped:
                    lh.run_pending(loop, 2)

    def run(self):
        """Runs what is due at all hosts, without advancing the clock."""
        for _ in range(10):
            for loop in self.loops:
                lh.run_pending(loop, 2)


@pytest.fixture
def fleet():
    made = Fleet()
    yield made
    for loop in made.loops:
        loop.close()


def test_news_that_waited_through_a_pause_does_not_count_as_recent(fleet):
    source = lh.FakeStore()
    source.write(store.Topic.ENDPOINTS, "e1", b"live 1")
    hosts = [
        SharingHost(fleet.new_loop(), f"n{number}", HeldStore())
        for number in range(2)
    ]
    for host, other in (hosts, hosts[::-1]):
        host.source.log = source.log
        host.neighbours.append(other.peer)
        host.endpoints.topic_follower.start()
    fleet.advance(3.0)
    paused, _ = hosts
    fleet.advance(3.0, stopped=paused.endpoints._loop)
    paused.source.is_held = True
    fleet.clock.advance(2.0)
    lh.run_pending(paused.endpoints._loop)
    # The other host read for 3 s; the last of it is 2 s old.
    assert paused.endpoints.topic_follower.read_at <= fleet.clock.now - 2.0
    for host in hosts:
        host.sharing.close()
