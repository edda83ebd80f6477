"""The bound on requests to an endpoint that has just started.

Each host decides on its own. The tests replay a fleet whose hosts all send a
cold endpoint whatever they may, and guard against more requests in a second
than it may get, and against a bound that nobody uses.
"""

import random

import pytest

from chervilarch import endpoint_state
from chervilarch.scheduling import cold_starts

_RUN = endpoint_state.EndpointRun("e1", 1)
_PLACE = cold_starts.Place("p", "dc1")
# Figures of docs/LOAD.md: 12 a second, half as much again, and 5.
_BOUND = 23
_COLD_START_S = 30.0
_POOL = cold_starts.PoolBound(
    _COLD_START_S, cold_starts.bound_per_s(12.0, 1.5, 5.0)
)
_STEP_S = 0.02
# How long requests take to the endpoint, at most.
_MAX_DELAY_S = 0.05


class Host:
    """A host with its own clock and seed that wants the endpoint always."""

    def __init__(self, name, names, now, bound=_POOL):
        self.name = name
        self.rng = random.Random(name)
        self.offset_s = self.rng.uniform(-1e6, 1e6)
        self.rate = self.rng.uniform(0.999, 1.001)
        self.paused_until = 0.0
        self.cold = cold_starts.ColdStarts()
        self.cold.set_pools({"p": bound})
        self.cold.set_endpoints({_RUN: _PLACE})
        self.know(names, now)
        self.report(now)

    def time(self, now):
        return self.offset_s + self.rate * now

    def know(self, names, now):
        self.cold.set_hosts(self.name, names, self.time(now))

    def report(self, now, sequence=1, remaining_s=1000.0):
        report = cold_starts.Report(sequence, remaining_s)
        self.cold.record_report(_RUN, _PLACE, report, self.time(now))

    def send(self, now):
        """Sends what it may; returns when the requests arrive."""
        own = self.time(now)
        arrivals = []
        while self.cold.wait_s(_RUN, own) <= 0.0:
            self.cold.record_send(_RUN, own)
            leaves_at = max(now, self.paused_until)
            arrivals.append(leaves_at + self.rng.uniform(0.0, _MAX_DELAY_S))
        return arrivals


def names_of(count, first=0):
    return [f"h{number}" for number in range(first, first + count)]


def fleet(count, now=0.0):
    names = names_of(count)
    return [Host(name, names, now) for name in names]


def play(hosts, from_s, to_s, on_step=lambda now: None):
    """Lets all hosts send; returns the times of arrival."""
    arrivals = []
    for step in range(round((to_s - from_s) / _STEP_S)):
        now = from_s + step * _STEP_S
        on_step(now)
        for host in hosts:
            if now >= host.paused_until:
                arrivals += host.send(now)
    return sorted(arrivals)


def most_in_a_second(arrivals):
    most, first = 0, 0
    for last, at in enumerate(arrivals):
        while arrivals[first] <= at - 1.0:
            first += 1
        most = max(most, last - first + 1)
    return most


@pytest.mark.parametrize("count", [1, 2, 6, 11, 12, 24, 69, 98])
def test_all_hosts_together_keep_to_the_bound_and_use_it(count):
    arrivals = play(fleet(count), 0.0, 12.0)
    assert most_in_a_second(arrivals) <= _BOUND
    used_s = 12.0 - cold_starts.SETTLE_S
    # At least half of what the hosts leave for themselves.
    assert len(arrivals) >= _BOUND / 4 * used_s / cold_starts.WINDOW_S


@pytest.mark.parametrize("before", [6, 20, 69, 89])
@pytest.mark.parametrize("knows_all", [True, False])
def test_the_bound_holds_while_a_tenth_of_the_hosts_joins(before, knows_all):
    hosts = fleet(before)
    arrivals = play(hosts, 0.0, 4.0)
    joining = names_of(max(1, before // 10), before)
    everyone = names_of(before) + joining
    # At first, a host that joins knows itself only, or only one other.
    new = [
        Host(name, everyone if knows_all else ["h0"], 4.0) for name in joining
    ]
    hosts += new

    def tell(now):
        """Hosts learn of each other at different times within 1.5 s."""
        for number, host in enumerate(hosts):
            if now >= 4.0 + 1.5 * number / len(hosts):
                host.know(everyone, now)

    arrivals = sorted(arrivals + play(hosts, 4.0, 12.0, tell))
    assert most_in_a_second(arrivals) <= _BOUND


@pytest.mark.parametrize("count", [2, 6, 20, 69, 98])
def test_the_bound_holds_in_halves_that_each_know_only_themselves(count):
    half = count // 2
    names = names_of(count)
    hosts = [Host(name, names[:half], 0.0) for name in names[:half]]
    hosts += [Host(name, names[half:], 0.0) for name in names[half:]]
    assert most_in_a_second(play(hosts, 0.0, 12.0)) <= _BOUND


def test_hosts_that_were_known_count_while_they_are_cut_off():
    hosts = fleet(69)
    sides = [names_of(23), names_of(23, 23), names_of(23, 46)]

    def forget(now):
        """Each third of the fleet forgets the others, as gossip does."""
        for number, host in enumerate(hosts):
            host.know(sides[number // 23], now)

    arrivals = play(hosts, 0.0, 12.0, forget)
    assert most_in_a_second(arrivals) <= _BOUND


@pytest.mark.parametrize("count", [1, 6, 69])
def test_the_bound_holds_when_paused_hosts_resume(count):
    hosts = fleet(count)
    arrivals = play(hosts, 0.0, 4.0)
    # Each sends what it may, which leaves only after the pause.
    for host in hosts[: max(1, count // 10)]:
        host.paused_until = 7.0
    arrivals += [at for host in hosts for at in host.send(4.0)]
    arrivals = sorted(arrivals + play(hosts, 4.0, 12.0))
    assert most_in_a_second(arrivals) <= _BOUND


def test_a_host_that_left_no_longer_counts():
    host = Host("h0", names_of(69), 0.0, cold_starts.PoolBound(30.0, 8.0))
    now = host.time(10.0)
    host.cold.set_hosts("h0", names_of(69), now, left=names_of(68, 1))
    host.cold.set_hosts("h0", ["h0"], now)
    assert len(host.send(10.0)) == 4


def test_a_bound_below_one_request_for_all_hosts_sends_none():
    hosts = [Host("h0", [], 0.0, cold_starts.PoolBound(30.0, 1.9))]
    assert not play(hosts, 0.0, 12.0)


def test_endpoints_are_shared_out_over_different_hosts():
    runs = [endpoint_state.EndpointRun(f"e{n}", 1) for n in range(45)]
    used = set()
    for host in fleet(69):
        host.cold.set_endpoints(dict.fromkeys(runs, _PLACE))
        host.cold.begin_warm_up("dc1", host.time(5.0))
        if any(host.cold.wait_s(run, host.time(5.0)) == 0.0 for run in runs):
            used.add(host.name)
    assert len(used) == 69


def test_a_report_of_warmth_ends_the_cold_time_and_a_later_one_begins_it():
    host = Host("h0", names_of(69), 0.0)
    assert host.cold.is_cold(_RUN, host.time(5.0))
    host.report(6.0, 2, 0.0)
    assert not host.cold.is_cold(_RUN, host.time(6.0))
    assert host.cold.wait_s(_RUN, host.time(6.0)) == 0.0
    host.report(7.0, 3, 20.0)
    assert host.cold.is_cold(_RUN, host.time(26.0))
    # A record that was read before says nothing new.
    host.report(8.0, 3, 0.0)
    assert host.cold.is_cold(_RUN, host.time(8.0))
    assert not host.cold.is_cold(_RUN, host.time(40.0))


def test_requests_before_the_cold_time_was_known_count():
    host = Host("h0", ["h0"], 0.0, cold_starts.PoolBound(30.0, 4.0))
    host.report(5.0, 2, 0.0)
    for _ in range(9):
        host.cold.record_send(_RUN, host.time(6.0))
    host.report(6.1, 3, 20.0)
    assert host.cold.wait_s(_RUN, host.time(6.1)) > 0.9
    assert len(host.send(7.5)) == 2


def test_requests_for_the_run_before_count():
    """A request that was sent for one run may reach the next one."""
    host = Host("h0", ["h0"], 0.0, cold_starts.PoolBound(30.0, 4.0))
    for _ in range(2):
        host.cold.record_send(_RUN, host.time(6.0))
    restarted = endpoint_state.EndpointRun("e1", 2)
    host.cold.set_endpoints({restarted: _PLACE})
    now = host.time(6.1)
    report = cold_starts.Report(1, 20.0)
    host.cold.record_report(restarted, _PLACE, report, now)
    assert host.cold.wait_s(restarted, now) > 0.9


@pytest.mark.parametrize("data_centre", ["dc1", "dc2"])
def test_endpoints_of_a_data_centre_that_is_used_again_are_cold(data_centre):
    host = Host("h0", names_of(6), 0.0)
    host.report(1.0, 2, 0.0)
    host.cold.begin_warm_up(data_centre, host.time(10.0))
    # Records, which know nothing of an evacuation, don't end it.
    host.report(11.0, 3, 0.0)
    for now, is_cold in ((12.0, True), (39.0, True), (41.0, False)):
        is_cold = is_cold and data_centre == "dc1"
        assert host.cold.is_cold(_RUN, host.time(now)) == is_cold


def test_an_unreachable_endpoint_is_cold_until_its_record_is_read_again():
    host = Host("h0", names_of(6), 0.0)
    host.report(1.0, 2, 0.0)
    host.cold.note_unreachable(_RUN, host.time(10.0))
    assert host.cold.is_cold(_RUN, host.time(39.0))
    assert not host.cold.is_cold(_RUN, host.time(41.0))
    # It may have been written before the endpoint ended.
    host.report(10.1, 3, 0.0)
    assert host.cold.is_cold(_RUN, host.time(20.0))
    host.report(12.0, 4, 0.0)
    assert not host.cold.is_cold(_RUN, host.time(20.0))


def test_pools_without_a_bound_have_no_cold_endpoints():
    host = Host("h0", names_of(69), 0.0)
    host.cold.set_pools({})
    host.cold.note_unreachable(_RUN, host.time(4.0))
    host.cold.begin_warm_up("dc1", host.time(4.0))
    assert not host.cold.is_cold(_RUN, host.time(5.0))
    assert host.cold.wait_s(_RUN, host.time(5.0)) == 0.0
    assert host.cold.piece_wait_s(_RUN, host.time(5.0)) == 0.0


def test_three_coordinators_keep_to_the_bound_on_calls_for_pieces():
    arrivals = []
    for host in fleet(3):
        for step in range(600):
            now = host.time(step * _STEP_S)
            while host.cold.piece_wait_s(_RUN, now) <= 0.0:
                host.cold.record_piece_send(_RUN, now)
                arrivals.append(step * _STEP_S)
    assert 0 < most_in_a_second(sorted(arrivals)) <= _BOUND / 2


def test_hosts_that_know_no_others_call_no_cold_worker():
    """Each of them would be a coordinator."""
    cold = cold_starts.ColdStarts()
    cold.set_pools({"p": _POOL})
    cold.record_report(_RUN, _PLACE, cold_starts.Report(1, 20.0), 0.0)
    assert cold.piece_wait_s(_RUN, 5.0) > 0.0
    cold.set_hosts("h0", ["h1"], 5.0)
    assert cold.piece_wait_s(_RUN, 5.0) == 0.0


def test_each_cold_time_is_told_once():
    told = []
    cold = cold_starts.ColdStarts(told.append)
    cold.set_pools({"p": _POOL})
    for sequence in range(3):
        report = cold_starts.Report(sequence, 20.0 - sequence)
        cold.record_report(_RUN, _PLACE, report, float(sequence))
    cold.note_unreachable(_RUN, 2.0)
    cold.begin_warm_up("dc1", 3.0)
    cold.begin_warm_up("dc2", 3.0)
    assert [period.name for period in told] == ["e1", "dc1"]
