"""Which data centres are evacuated, by records that hosts learn in any way."""

import loop_helpers as lh
import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from chervilarch import store
from chervilarch.scheduling import evacuation

ZONE = "dc1"
PEER = evacuation.Origin.PEER


def position(era, offset):
    return store.Position(era, offset)


def begin(offset, era=0):
    return store.Record(offset, "", b"{}", era)


def end(offset, era=0):
    return store.Record(offset, "", b"", era)


@pytest.fixture
def known():
    return evacuation.Evacuations()


@pytest.fixture
def evacuated(known):
    """The evacuation of `ZONE` at offset 5 was read as a change."""
    known.apply_record(ZONE, begin(5), 0.0)
    return known


@pytest.fixture
def ended(evacuated):
    """The same, ended at offset 9."""
    evacuated.apply_record(ZONE, end(9), 0.0)
    return evacuated


def outcomes(changes):
    return [change.outcome.value for change in changes]


def test_endpoints_of_an_evacuated_data_centre_are_left_out(known):
    listed = {
        "p": {"e1": lh.listing("e1"), "e2": lh.listing("e2", data_centre="d")},
        "q": {"e3": lh.listing("e3")},
    }
    assert known.without_evacuated(listed) == listed
    changes = known.apply_record(ZONE, begin(5), 0.0)
    assert outcomes(changes) == ["evacuated"]
    left = known.without_evacuated(listed)
    assert left == {"p": {"e2": listed["p"]["e2"]}, "q": {}}
    assert outcomes(known.apply_record(ZONE, end(6), 0.0)) == ["ended"]
    assert known.without_evacuated(listed) == listed


def test_an_unreadable_record_among_newest_values_ends_nothing(evacuated):
    assert not evacuated.apply_snapshot({ZONE: None}, position(0, 20), 1.0)
    assert evacuated.is_evacuated(ZONE)


@pytest.mark.parametrize("offset", [3, 5, 8])
def test_an_evacuation_that_is_written_again_does_not_lapse(evacuated, offset):
    evacuated.apply_snapshot({}, position(1, 3), 1.0)
    assert not evacuated.apply_record(ZONE, begin(offset, era=1), 2.0)
    assert not evacuated.expire(2 * evacuation.GRACE_S, False)
    assert evacuated.is_evacuated(ZONE)


def test_an_evacuation_does_not_lapse_while_the_store_is_away(evacuated):
    """Operators can't write it again then."""
    evacuated.apply_snapshot({}, position(1, 3), 0.0)
    # Once more in the same era, as after dropped history.
    evacuated.apply_snapshot({}, position(1, 6), 10.0)
    assert not evacuated.expire(0.9 * evacuation.GRACE_S, False)
    assert not evacuated.expire(5 * evacuation.GRACE_S, True)
    assert not evacuated.expire(5.9 * evacuation.GRACE_S, False)
    assert evacuated.expire(6 * evacuation.GRACE_S, False)


def test_an_evacuation_that_lapsed_is_not_taken_over_from_others(evacuated):
    """Hosts that restart would else pass it on among each other for ever."""
    evacuated.apply_snapshot({}, position(1, 3), 0.0)
    evacuated.expire(evacuation.GRACE_S, False)
    told = {ZONE: begin(5)}
    assert not evacuated.apply_peer(told, {}, position(1, 8), 61.0)
    assert not evacuated.apply_snapshot(told, position(1, 9), 61.0, PEER)
    assert not evacuated.is_evacuated(ZONE)
    # Written again later and found among the newest values.
    assert evacuated.apply_snapshot({ZONE: begin(4, 1)}, position(1, 9), 62.0)


@pytest.mark.parametrize("copied", [5, 2])
def test_a_copy_does_not_bring_back_an_evacuation_that_ended(ended, copied):
    """The copy may have the ended evacuation, or one from before it."""
    copy = {ZONE: begin(copied, era=1)}
    for offset in (7, 12):
        ended.apply_snapshot(copy, position(1, offset), 1.0)
        assert not ended.is_evacuated(ZONE)
    # Long after, the same values are read again.
    ended.expire(1000.0, False)
    ended.apply_snapshot(copy, position(1, 13), 1000.0)
    assert not ended.is_evacuated(ZONE)
    # Once more an older copy.
    ended.apply_snapshot({ZONE: begin(copied, 2)}, position(2, 7), 1001.0)
    assert not ended.is_evacuated(ZONE)


def test_a_new_evacuation_beyond_the_copy_is_not_taken_for_an_old_one(ended):
    """It was written before this host read the restored store."""
    changes = ended.apply_snapshot({ZONE: begin(6, 1)}, position(1, 7), 1.0)
    assert outcomes(changes) == ["evacuated"]


def test_a_host_that_ignores_a_new_evacuation_is_corrected(ended):
    """Its offset is that of the old one; another host read it as a change."""
    ended.apply_snapshot({ZONE: begin(5, era=1)}, position(1, 7), 1.0)
    told = {ZONE: begin(5, era=1)}
    changes = ended.apply_peer(told, {}, position(1, 7), 1.1)
    assert outcomes(changes) == ["evacuated"]


@pytest.mark.parametrize("told", [position(0, 9), position(1, 5)])
def test_a_starting_host_hears_that_the_copys_evacuation_ended(known, told):
    """The live host may have noticed the restore or not yet."""
    known.apply_snapshot({ZONE: begin(5, era=1)}, position(1, 7), 0.0)
    assert known.is_evacuated(ZONE)
    changes = known.apply_peer({}, {ZONE: told}, position(1, 7), 0.1)
    assert outcomes(changes) == ["ended"]


def test_a_change_that_was_read_outweighs_a_peers_removal(known):
    """The peer took a new evacuation for one that had ended."""
    known.apply_record(ZONE, begin(5, era=1), 0.0)
    for told in (position(0, 9), position(1, 5)):
        assert not known.apply_peer({}, {ZONE: told}, position(1, 7), 0.1)
    assert known.is_evacuated(ZONE)


def test_a_host_that_lags_brings_back_no_evacuation(known):
    """Its end is long forgotten here, and the other host hasn't read it."""
    known.apply_snapshot({}, position(0, 12), 0.0)
    assert not known.apply_peer({ZONE: begin(5)}, {}, position(0, 12), 0.1)


def test_a_snapshot_of_another_host_says_all(evacuated):
    """As a host fetches it that was cut off while the evacuation ended."""
    held = {"dc2": begin(7)}
    changes = evacuated.apply_snapshot(held, position(0, 12), 1.0, PEER)
    assert outcomes(changes) == ["evacuated", "ended"]


def test_a_store_that_names_no_era_is_followed_on(evacuated):
    """Its offsets start again from those of the copy."""
    evacuated.apply_snapshot({}, position(0, 3), 1.0)
    assert evacuated.is_evacuated(ZONE)
    assert outcomes(evacuated.apply_record(ZONE, end(3), 2.0)) == ["ended"]


def test_names_are_bounded_and_listed_data_centres_go_first(known):
    """A faulty program's names must not keep a real evacuation out."""
    known.set_listed([ZONE])
    for number in range(evacuation.MAX_NAMES):
        known.apply_record(f"x{number}", begin(number), 0.0)
    changes = known.apply_record("y", begin(2000), 0.0)
    assert outcomes(changes) == ["ignored"] and not known.is_evacuated("y")
    changes = known.apply_record(ZONE, begin(2001), 0.0)
    assert outcomes(changes) == ["ended", "evacuated"]
    assert len(known.evacuated()) == evacuation.MAX_NAMES
    for number in range(3 * evacuation.MAX_NAMES):
        known.apply_record(f"z{number}", end(3000 + number), 0.0)
    assert len(known.ended()) <= evacuation.MAX_NAMES
    assert known.is_evacuated(ZONE)


class Fleet:
    """Hosts that read every change, and the store that they read."""

    def __init__(self):
        self.hosts = [evacuation.Evacuations()]
        self.log = []
        self.era = 0
        # What the operators wrote last.
        self.last = b""

    def write(self, value):
        self.last = value
        self.log.append(store.Record(len(self.log), "", value, self.era))
        for host in self.hosts:
            host.apply_record(ZONE, self.log[-1], 0.0)

    def read_newest(self, host):
        newest = {}
        if self.log and self.log[-1].value:
            newest = {ZONE: self.log[-1]._replace(era=self.era)}
        end_at = position(self.era, len(self.log))
        host.apply_snapshot(newest, end_at, 0.0)
        return end_at

    def restore(self, lost):
        kept = max(0, len(self.log) - lost)
        has_lost, self.log = bool(self.log[kept:]), self.log[:kept]
        self.era += 1
        self.drop_history()
        # Before the operators write again what they wrote.
        self.check()
        if has_lost:
            self.write(self.last)

    def join(self):
        host, first = evacuation.Evacuations(), self.hosts[0]
        read_to = self.read_newest(host)
        host.apply_peer(first.evacuated(), first.ended(), read_to, 0.0)
        self.hosts.append(host)

    def drop_history(self):
        for host in self.hosts:
            self.read_newest(host)

    def check(self):
        held = [host.is_evacuated(ZONE) for host in self.hosts]
        assert held == [bool(self.last)] * len(self.hosts)


STEPS = st.lists(
    st.one_of(
        st.just((Fleet.write, (b"{}",))),
        st.just((Fleet.write, (b"",))),
        st.tuples(st.just(Fleet.restore), st.tuples(st.integers(0, 4))),
        st.just((Fleet.join, ())),
        st.just((Fleet.drop_history, ())),
    ),
    max_size=25,
)


@seed(1)
@settings(max_examples=300, deadline=None, database=None)
@given(STEPS)
def test_hosts_that_read_all_hold_what_operators_wrote_last(steps):
    """Over any restores; other hosts start at any time and ask the first."""
    fleet = Fleet()
    for step, argument in steps:
        step(fleet, *argument)
        fleet.check()
