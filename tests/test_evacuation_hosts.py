"""Hosts learn of evacuations from the store or each other, whatever fails."""

import capnp
import loop_helpers as lh
import pytest
import store_hosts as sh

from chervilarch import messages, store, store_messages
from chervilarch.scheduling import evacuation

CONFIG = store.Topic.CONFIGURATION
ZONE = "evacuate/dc1"
ALL = {"dc0", "dc1", "dc2"}
LEFT = {"dc0", "dc2"}


# Bound from the store's acknowledgement, in present deployments.
EVACUATE_S = 5.0


class SlowLink(sh.WaitingLink):
    """A link whose answers take almost as long as a read waits for them."""

    def _delay(self, answer):
        fut = sh.tasks.Future()
        answer.add_done_callback(
            lambda done: self._loop.call_later(
                0.9, lambda: fut.set_result(done.result())
            )
        )
        return fut

    def read_newest(self, topic, after, timeout_s):
        return self._delay(super().read_newest(topic, after, timeout_s))

    def read_changes(self, topic, offset, wait_s):
        return self._delay(super().read_changes(topic, offset, wait_s))


class Fleet:
    """Two hosts with links of their own to one store."""

    def __init__(self):
        self.loop, self.clock = lh.new_loop()
        self.store = lh.FakeStore()
        self.store.write(CONFIG, "config", b"1 ")
        self.hosts = []

    def start(self, name="n0", is_cut_off=False, make_link=sh.WaitingLink):
        """Starts a host that knows the others, and they it."""
        link = make_link(self.loop, self.store)
        host = sh.ConfigHost(self.loop, name, link)
        if is_cut_off:
            link.error = store.StoreError("down")
        for other in self.hosts:
            other.peers.append(host.peer)
            host.peers.append(other.peer)
        self.hosts.append(host)
        host.configuration.topic_follower.start()
        lh.run_until(
            self.loop,
            lambda: (
                self.pass_time(0.01)
                or host.configuration.topic_follower.may_serve
            ),
        )
        return host

    def pass_time(self, seconds=2.5 * sh.PAUSE_S):
        lh.advance(self.loop, self.clock, seconds)

    def write(self, key=ZONE, value=b"{}"):
        self.store.write(CONFIG, key, value)

    def close(self):
        for host in self.hosts:
            host.sharing.close()
        self.loop.close()


@pytest.fixture
def fleet():
    made = Fleet()
    yield made
    made.close()


def events(caplog, *names):
    return [r.msg for r in caplog.records if r.msg in names]


def test_an_evacuation_begins_and_ends_on_all_hosts(fleet, caplog):
    hosts = [fleet.start("n0"), fleet.start("n1")]
    ended = []
    hosts[0].evacuations.on_ended = lambda name: ended.append(
        (name, hosts[0].work_in())
    )
    assert [host.work_in() for host in hosts] == [ALL, ALL]
    gauge = b"chervilarch_evacuated_data_centres %.1f\n"
    shown = hosts[0].evacuations._meters.text
    assert gauge % 0 in shown()
    with caplog.at_level("INFO"):
        fleet.write()
        fleet.pass_time()
        assert [host.work_in() for host in hosts] == [LEFT, LEFT]
        assert gauge % 1 in shown()
        fleet.write(value=b"")
        fleet.pass_time()
    assert [host.work_in() for host in hosts] == [ALL, ALL]
    # The hook is called before the endpoints may get work again.
    assert ended == [("dc1", LEFT)]
    names = ("data centre evacuated", "evacuation ended")
    assert events(caplog, *names) == [names[0]] * 2 + [names[1]] * 2


def test_an_evacuation_is_known_in_time_while_the_store_is_slow(fleet):
    hosts = [
        fleet.start(name, make_link=SlowLink) for name in ("n0", "n1", "n2")
    ]
    for value, expected in ((b"{}", LEFT), (b"", ALL)):
        fleet.write(value=value)
        fleet.pass_time(EVACUATE_S)
        assert [host.work_in() for host in hosts] == [expected] * 3


def test_a_host_that_was_cut_off_learns_an_end_that_is_no_record(fleet):
    """The history was dropped meanwhile: only the newest values are left."""
    fleet.write()
    host = fleet.start()
    host.source.error = store.StoreError("cut off")
    fleet.write(value=b"")
    fleet.write("config", b"2 ")
    fleet.store.first[CONFIG] = 4
    fleet.write("config", b"3 ")
    fleet.pass_time()
    assert host.work_in() == LEFT
    host.source.error = None
    fleet.store.first[CONFIG] = 3
    fleet.write("config", b"4 ")
    fleet.store.first[CONFIG] = 5
    fleet.pass_time()
    assert host.work_in() == ALL


def test_a_host_that_starts_without_the_store_asks_a_live_one(fleet):
    fleet.write()
    first = fleet.start("n0")
    first.source.error = store.StoreError("down")
    assert fleet.start("n1", is_cut_off=True).work_in() == LEFT


@pytest.mark.parametrize("is_cut_off", [False, True])
def test_a_host_that_starts_hears_of_what_a_copy_lacks(fleet, is_cut_off):
    fleet.write()
    first = fleet.start("n0")
    fleet.store.restore(1, era=1)
    fleet.pass_time()
    assert first.work_in() == LEFT
    assert fleet.start("n1", is_cut_off).work_in() == LEFT
    fleet.pass_time(evacuation.GRACE_S + 4.0)
    assert [host.work_in() for host in fleet.hosts] == [ALL, ALL]


@pytest.mark.parametrize("is_cut_off", [False, True])
def test_a_host_that_starts_ignores_what_a_copy_brings_back(fleet, is_cut_off):
    fleet.write()
    first = fleet.start("n0")
    fleet.write(value=b"")
    fleet.pass_time()
    fleet.store.restore(2, era=1)
    fleet.pass_time()
    assert first.work_in() == ALL
    assert fleet.start("n1", is_cut_off).work_in() == ALL
    fleet.write("config", b"2 ")
    fleet.write()
    fleet.pass_time()
    assert [host.work_in() for host in fleet.hosts] == [LEFT, LEFT]


def test_a_host_that_starts_hears_of_what_an_unreadable_record_hides(fleet):
    """The store has no other record of the evacuation; it isn't its end."""
    fleet.write()
    first = fleet.start("n0")
    fleet.write(value=b"[1]")
    fleet.pass_time()
    assert first.work_in() == LEFT
    second = fleet.start("n1")
    assert second.work_in() == LEFT
    fleet.write(value=b"")
    fleet.pass_time()
    assert [host.work_in() for host in fleet.hosts] == [ALL, ALL]


def test_a_host_that_was_paused_asks_what_it_missed(fleet):
    """The store is away when it is back, and nothing else is written."""
    first = fleet.start("n0")
    host = fleet.start("n1")
    for peers in (first.peers, host.peers):
        peers.clear()
    host.source.error = store.StoreError("cut off")
    fleet.write()
    fleet.pass_time()
    assert (first.work_in(), host.work_in()) == (LEFT, ALL)
    host.peers.append(first.peer)
    first.source.error = store.StoreError("down")
    fleet.clock.advance(3.0)
    lh.run_until(fleet.loop, lambda: host.work_in() == LEFT)


def start_two_that_know_an_end(fleet):
    hosts = [fleet.start("n0"), fleet.start("n1")]
    for value in (b"{}", b""):
        fleet.write(value=value)
        fleet.pass_time()
    return hosts


def test_a_host_without_the_store_hears_of_a_new_evacuation(fleet):
    """Its offset, given out again, is that of the one that ended."""
    first, host = start_two_that_know_an_end(fleet)
    host.source.error = store.StoreError("cut off")
    fleet.store.restore(1, era=1)
    fleet.pass_time()
    fleet.write()
    fleet.pass_time()
    assert [first.work_in(), host.work_in()] == [LEFT, LEFT]


def test_a_host_that_notices_a_restore_late_is_corrected(fleet):
    """It takes the new evacuation for the one that ended."""
    first, host = start_two_that_know_an_end(fleet)
    for peers in (first.peers, host.peers):
        peers.clear()
    host.source.error = store.StoreError("cut off")
    fleet.store.restore(1, era=1)
    fleet.pass_time()
    fleet.write()
    fleet.pass_time()
    assert [first.work_in(), host.work_in()] == [LEFT, ALL]
    host.source.error = None
    host.peers.append(first.peer)
    fleet.pass_time(EVACUATE_S)
    assert host.work_in() == LEFT


def test_a_host_that_missed_an_end_hears_of_it_after_a_restore(fleet):
    fleet.write()
    first, host = fleet.start("n0"), fleet.start("n1")
    for peers in (first.peers, host.peers):
        peers.clear()
    host.source.error = store.StoreError("cut off")
    fleet.write(value=b"")
    fleet.pass_time()
    fleet.store.restore(2, era=1)
    host.source.error = None
    host.peers.append(first.peer)
    fleet.pass_time(EVACUATE_S)
    assert [first.work_in(), host.work_in()] == [ALL, ALL]


ODD_VALUES = [
    b"null",
    b"[]",
    b"{",
    b"\xff",
    b'{"a": ' * 100_000,
    b"[" * 100_000,
]


@pytest.mark.parametrize("value", ODD_VALUES)
def test_a_malformed_record_is_ignored_with_one_line(fleet, caplog, value):
    host = fleet.start()
    with caplog.at_level("INFO"):
        fleet.write(value=value)
        fleet.write("evacuate/dc2")
        fleet.write("config", b"2 ")
        fleet.pass_time()
        assert host.work_in() == {"dc0", "dc1"}
        # An evacuation in force isn't ended by it, and it isn't logged again.
        fleet.write("evacuate/dc2", value)
        fleet.pass_time()
        # The newest values are read, as the history was dropped.
        reads = host.source.calls.count("newest")
        fleet.store.first[CONFIG] = 9
        fleet.write("config", b"3 ")
        fleet.pass_time()
        assert host.source.calls.count("newest") > reads
    assert host.work_in() == {"dc0", "dc1"}
    assert host.configuration.table.version == 3
    assert len(events(caplog, "evacuation unreadable")) == 2


@pytest.mark.parametrize("name", ["", "d" * 256, "a\x00b", "\ud800", "a\nb"])
def test_an_implausible_name_is_ignored_with_one_line(fleet, caplog, name):
    fleet.start("n0")
    with caplog.at_level("INFO"):
        fleet.write(f"evacuate/{name}")
        fleet.write()
        fleet.pass_time()
    assert len(events(caplog, "evacuation unreadable")) == 1
    # Neither does it keep a host from telling a starting one the rest.
    assert fleet.start("n1", is_cut_off=True).work_in() == LEFT


def test_a_name_without_endpoints_is_kept_and_logged_once(fleet, caplog):
    host = fleet.start()
    with caplog.at_level("INFO"):
        fleet.write("evacuate/dc9")
        fleet.write("evacuate/dc9", b'{"reason": "again"}')
        fleet.pass_time()
        assert len(events(caplog, "evacuated data centre unknown")) == 1
    host.evacuations.set_endpoints({"p": {"e9": lh.listing(data_centre="dc9")}})
    assert host.work_in() == set()
    assert host.evacuations.is_pool_evacuated("p")
    host.evacuations.set_endpoints({"p": {}})
    assert not host.evacuations.is_pool_evacuated("p")


def test_all_names_that_are_kept_fit_what_a_host_tells_another(fleet):
    for number in range(evacuation.MAX_NAMES + 5):
        name = f"{number:04}".rjust(200, "x")
        fleet.write(f"evacuate/{name}", b'{"a": "%s"}' % (b"b" * 2000))
    fleet.write()
    first = fleet.start("n0")
    assert first.work_in() == LEFT
    other = fleet.start("n1", is_cut_off=True)
    told = other.evacuations.beliefs()
    assert len(told.records) == evacuation.MAX_NAMES
    # Operators' values of any length would need memory on every host.
    assert max(len(record.value) for record in told.records) < 100
    assert other.work_in() == LEFT


# The schema of builds that pass on no evacuations.
_OLD_SCHEMA = """
@0xc3a5f0d1b7e24988;
enum StoreTopic { configuration @0; endpoints @1; }
struct StoreRecord {
  offset @0 :Int64; key @1 :Text; value @2 :Data; isCompressed @3 :Bool;
  era @4 :Int64;
}
struct TopicNews {
  topic @0 :StoreTopic; first @1 :Int64; end @2 :Int64; ageMs @3 :UInt32;
  records @4 :List(StoreRecord); era @5 :Int64;
}
struct StoreNews { topics @0 :List(TopicNews); mustRelay @1 :Bool; }
"""


@pytest.fixture(scope="module")
def old_frame(tmp_path_factory):
    """Returns a function that builds a frame as older builds do."""
    path = tmp_path_factory.mktemp("schema") / "older.capnp"
    path.write_text(_OLD_SCHEMA)
    schema = capnp.load(str(path)).StoreNews

    def build(first, end, *records):
        fields = {"topic": "configuration", "first": first, "end": end}
        fields["records"] = [
            {"offset": offset, "key": key, "value": value}
            for offset, key, value in records
        ]
        frame = schema.new_message(topics=[fields]).to_bytes_packed()
        return messages.seal(sh.KEY, frame)

    return build


def test_an_evacuation_that_an_older_build_leaves_out_is_read(fleet, old_frame):
    """The older build read it first and told how far it had read."""
    host = fleet.start()
    fleet.pass_time(0.1)
    # Reads of this host would be late.
    host.source.read_changes = lambda *_: sh.tasks.Future()
    fleet.write()
    host.configuration.topic_follower.apply_update(
        store_messages.decode(
            sh.KEY, old_frame(1, 2), fleet.loop.now()
        ).updates[0],
        "n9",
    )
    assert host.configuration.topic_follower.state().end == 1
    del host.source.read_changes
    fleet.pass_time()
    assert host.work_in() == LEFT


def test_a_snapshot_of_an_older_build_ends_no_evacuation(fleet, old_frame):
    fleet.write()
    host = fleet.start()
    frame = old_frame(9, 9, (8, "config", b"2 "))
    (update,) = store_messages.decode(sh.KEY, frame, fleet.loop.now()).updates
    host.configuration.topic_follower._merge(update)
    assert host.work_in() == LEFT
    assert host.configuration.table.version == 2
