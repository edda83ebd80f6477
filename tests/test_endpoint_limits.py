"""Requests to endpoints that name how many they take a second."""

import random

import loop_helpers as lh
import pytest
from gateway_world import (
    KEY,
    answer,
    read_status,
    route_document,
    status,
    stream_route_document,
)

from chervilarch import (
    advisories,
    clocks,
    endpoint_limits,
    endpoint_state,
    futures,
    permits,
    tasks,
)
from chervilarch.stage_coordination import Peer

_LIMIT_PER_S = 2.0
# The users allow half as much again, and five requests, in a window.
_SLACK_RATIO = 1.5
_SLACK_REQUESTS = 5
_WINDOW_S = 4.0
_REQUESTS = 40
_SEAL_KEY = b"k" * 16
_RUN = endpoint_state.EndpointRun("e1", 1)


@pytest.fixture
def limited(world):
    """An endpoint that names a limit; the requests that it got."""
    requests = []
    limit = f"Server-Limit: {_LIMIT_PER_S}\r\n"
    world.endpoint("e1", lh.answer_with(answer(extra=limit), requests))
    return requests


def allowed_requests(seconds, per_s=_LIMIT_PER_S):
    return _SLACK_RATIO * per_s * seconds + _SLACK_REQUESTS


def test_an_endpoint_gets_no_more_requests_than_it_says(world, limited):
    world.start(route_document(target_latency_ms=100))
    world.fetch(KEY)
    started_at = world.loop.now()
    callers = [world.send(KEY) for _ in range(_REQUESTS)]
    answers = [read_status(world, caller) for caller in callers]
    elapsed_s = world.loop.now() - started_at
    assert len(limited) <= allowed_requests(elapsed_s)
    assert set(answers) == {200, 503}
    assert len(limited) == 1 + answers.count(200)


def test_a_refusal_for_a_limit_tells_when_to_come_back(world, limited):
    world.start(route_document(target_latency_ms=100, timeout_ms=200))
    world.fetch(KEY)
    for _ in range(5):
        received = world.fetch(KEY)
        if status(received) == 503:
            break
    head = received.partition(b"\r\n\r\n")[0].lower()
    wait_s = float(head.partition(b"retry-after: ")[2].split(b"\r\n")[0])
    assert status(received) == 503 and 0.0 < wait_s <= 1.0 / _LIMIT_PER_S


def test_other_endpoints_take_what_one_does_not(world, limited):
    requests = []
    world.endpoint("e2", lh.answer_with(answer(), requests))
    world.start(route_document())
    callers = [world.send(KEY) for _ in range(_REQUESTS)]
    assert {read_status(world, caller) for caller in callers} == {200}
    started_at = world.loop.now()
    callers = [world.send(KEY) for _ in range(_REQUESTS)]
    before = len(limited)
    assert {read_status(world, caller) for caller in callers} == {200}
    elapsed_s = world.loop.now() - started_at
    assert len(limited) - before <= allowed_requests(elapsed_s)


def test_a_limit_ends_with_an_answer_that_names_none(world):
    names_limit = [True]
    requests = []

    def serve(conn):
        requests.append(lh.read_request(conn))
        extra = "Server-Limit: 1\r\n" if names_limit[0] else ""
        conn.sendall(answer(extra=extra))

    world.endpoint("e1", serve)
    world.start(route_document())
    world.fetch(KEY)
    names_limit[0] = False
    world.fetch(KEY)
    callers = [world.send(KEY) for _ in range(_REQUESTS)]
    assert {read_status(world, caller) for caller in callers} == {200}


class Host:
    """One host's limits and permits."""

    def __init__(self, loop, name, hosts):
        self.own = Peer(name, ("127.0.0.1", lh.free_ports(1)))
        self.cut_off = False
        self.loop = loop
        self.granted_at = []
        self.limits = endpoint_limits.EndpointLimits(loop)
        self.permits = permits.Permits(
            loop,
            self.own,
            lambda: self.peers(hosts),
            _SEAL_KEY,
            self.limits,
            random.Random(name),
        )
        hosts.append(self)

    def peers(self, hosts):
        return [
            host.own
            for host in hosts
            if host is not self and self.cut_off == host.cut_off
        ]

    def ask(self, max_wait_s=0.0):
        fut = self.permits.acquire(_RUN, max_wait_s)
        fut.add_done_callback(self._count)

    def _count(self, fut):
        permit = fut.result()
        if permit.is_granted:
            self.granted_at.append(self.loop.now() + permit.wait_s)


@pytest.fixture
def fleet():
    loop, clock = lh.new_loop()
    hosts = []
    for number in range(8):
        Host(loop, f"h{number}", hosts)
    yield loop, clock, hosts
    for host in hosts:
        host.permits.close()


def run_load(fleet, seconds, max_wait_s=0.0, per_s=_LIMIT_PER_S):
    """Lets every host ask ten times a second; returns the times of permits."""
    loop, clock, hosts = fleet
    for host in hosts:
        host.limits.record_answer(_RUN, per_s)
        host.granted_at.clear()
    for _ in range(round(10 * seconds)):
        for host in hosts:
            host.ask(max_wait_s)
        lh.advance(loop, clock, 0.1)
    return sorted(at for host in hosts for at in host.granted_at)


def most_in_window(times):
    return max(
        sum(start <= at < start + _WINDOW_S for at in times) for start in times
    )


@pytest.mark.parametrize("max_wait_s", [0.0, 1.0])
def test_all_hosts_together_keep_to_a_limit_and_use_it(fleet, max_wait_s):
    times = run_load(fleet, 20.0, max_wait_s)
    assert most_in_window(times) <= allowed_requests(_WINDOW_S)
    assert len(times) >= 0.9 * _LIMIT_PER_S * 20.0


def test_a_limit_holds_while_hosts_restart_one_after_the_other(fleet):
    loop, _, hosts = fleet
    times = []
    for number in range(8):
        times += run_load(fleet, 2.0)
        hosts[number].permits.close()
        del hosts[number]
        Host(loop, f"h{number}", hosts)
        hosts.insert(number, hosts.pop())
    assert most_in_window(sorted(times)) <= allowed_requests(_WINDOW_S)


def test_a_silent_host_delays_permits_but_does_not_stop_them(fleet):
    loop, clock, hosts = fleet
    run_load(fleet, 1.0)
    giver = max(hosts, key=lambda host: permits._rank(_RUN, host.own))
    giver.permits.close()
    hosts.remove(giver)
    peers = [host.own for host in hosts] + [giver.own]
    for host in hosts:
        host.permits._live_peers = lambda own=host.own: [
            peer for peer in peers if peer is not own
        ]
    times = run_load(fleet, 10.0)
    assert len(times) >= 0.5 * _LIMIT_PER_S * 10.0
    assert most_in_window(times) <= allowed_requests(_WINDOW_S)


@pytest.mark.parametrize("delay_s", [0.05, 0.1, 0.3, 0.6, 2.0])
@pytest.mark.parametrize("per_s", [_LIMIT_PER_S, 20.0])
def test_a_slow_host_is_not_given_permits_beside(fleet, delay_s, per_s):
    loop, _, hosts = fleet
    giver = max(hosts, key=lambda host: permits._rank(_RUN, host.own))
    handle = giver.permits._socket._on_message
    giver.permits._socket._on_message = lambda *args: loop.call_later(
        delay_s, lambda: handle(*args)
    )
    times = run_load(fleet, 20.0, per_s=per_s)
    assert most_in_window(times) <= allowed_requests(_WINDOW_S, per_s)


def test_each_side_of_a_cut_keeps_to_a_limit(fleet):
    _, _, hosts = fleet
    for host in hosts[:3]:
        host.cut_off = True
    run_load(fleet, 8.0)
    for side in (hosts[:3], hosts[3:]):
        times = sorted(at for host in side for at in host.granted_at)
        assert most_in_window(times) <= allowed_requests(_WINDOW_S)


def test_limits_of_several_endpoints_are_kept_apart(fleet):
    loop, clock, hosts = fleet
    others = [endpoint_state.EndpointRun(f"e{n}", 1) for n in range(20)]
    counts = dict.fromkeys(others, 0)
    for host in hosts:
        for number, run in enumerate(others):
            host.limits.record_answer(run, 1.0 + number)

    def count(run, permit):
        counts[run] += permit.is_granted

    for _ in range(40):
        for host in hosts:
            for run in others:
                fut = host.permits.acquire(run, 0.0)
                fut.add_done_callback(
                    lambda done, run=run: count(run, done.result())
                )
        lh.advance(loop, clock, 0.1)
    for number, run in enumerate(others):
        assert counts[run] <= allowed_requests(_WINDOW_S, 1.0 + number)
        assert counts[run] >= min(40, 0.9 * _WINDOW_S * (1.0 + number))


def test_hosts_tell_each_other_of_limits_and_their_end(fleet):
    loop, clock, hosts = fleet
    sources = [host.limits for host in hosts[:2]]
    sources[0].publish = sources[1].merge
    sources[0].record_answer(_RUN, 3.0)
    assert sources[1].per_s(_RUN) == 3.0
    late = endpoint_limits.EndpointLimits(loop)
    late.merge(sources[0].items(loop.now(), advisories._EXCHANGED_AGE_S))
    assert late.per_s(_RUN) == 3.0
    clock.advance(1.0)
    sources[0].record_answer(_RUN, None)
    assert sources[1].per_s(_RUN) is None
    # An older answer doesn't bring the limit back.
    sources[1].merge(late.items(loop.now(), advisories._EXCHANGED_AGE_S))
    assert sources[1].per_s(_RUN) is None


def test_memory_is_bounded(fleet):
    loop, _, hosts = fleet
    host = hosts[0]
    host.peers = lambda hosts: []
    for number in range(5000):
        run = endpoint_state.EndpointRun(f"e{number}", 1)
        host.limits.record_answer(run, 1.0)
        host.permits.acquire(run, 0.0)
    assert len(host.limits._limits) <= 4096
    assert len(host.permits._schedules) <= 4096


@pytest.mark.parametrize(
    "document", [route_document(), stream_route_document()]
)
def test_a_request_that_waits_for_a_permit_is_not_sent_to_a_leaving_endpoint(
    world, document
):
    requests = []
    limit = "Server-Limit: 0.5\r\n"
    reply = answer(extra=limit + "Content-Type: text/event-stream\r\n")
    world.endpoint("e1", lh.answer_with(reply, requests))
    world.start({**document, "timeout_ms": 9000, "target_latency_ms": 8000})
    # The first tells the limit, two more use up the burst.
    for _ in range(3):
        world.fetch(KEY)
    sent = len(requests)
    waiting = world.send(KEY)
    lh.run_until(world.loop, lambda: world.ctrl.placement._deferred)
    world.endpoint("e1", lh.answer_with(reply), state="draining", sequence=2)
    assert read_status(world, waiting) == 503
    assert len(requests) == sent


def pause_endpoint(world, run):
    world.ctrl.placement.pause(run, world.loop.now() + 60.0)


def avoid_endpoint(world, run):
    world.ctrl.avoided.record_endless(run, world.loop.now())


# Guards against requests that wait for a permit and go to an endpoint that has
# asked for a pause, or has sent without end, meanwhile.
@pytest.mark.parametrize("close", [pause_endpoint, avoid_endpoint])
@pytest.mark.parametrize("has_permit", [False, True])
@pytest.mark.parametrize(
    "document", [route_document(), stream_route_document()]
)
def test_a_request_that_waits_for_a_permit_is_not_sent_to_a_closed_endpoint(
    world, limited, document, has_permit, close
):
    world.start({**document, "target_latency_ms": 100})
    world.fetch(KEY)
    sent = len(limited)
    asked = []

    def acquire(run, max_wait_s):
        asked.append(run)
        if has_permit:
            # It may be used from then on only.
            world.loop.call_later(0.01, lambda: close(world, run))
            return tasks.done(permits.Permit(True, 0.05))
        permit = futures.Future()

        def grant():
            close(world, run)
            permit.set_result(permits.Permit(True, 0.0))

        world.loop.call_later(0.01, grant)
        return permit

    world.ctrl.permits.acquire = acquire
    assert status(world.fetch(KEY)) == 503
    assert len(asked) == 1
    assert len(limited) == sent


# Guards against an endpoint in need getting everything at once after its entry
# was away for a moment.
def test_a_limit_outlasts_the_absence_of_its_entry(world, limited):
    world.start(route_document(target_latency_ms=100))
    world.fetch(KEY)
    show = world.hide_endpoint("e1")
    sent, started_at = len(limited), world.loop.now()
    show()
    callers = [world.send(KEY) for _ in range(_REQUESTS)]
    answers = [read_status(world, caller) for caller in callers]
    elapsed_s = world.loop.now() - started_at
    assert len(limited) - sent <= allowed_requests(elapsed_s)
    assert 200 in answers


class PausableClock:
    """The system's clock, which a test moves on as a pause does."""

    def __init__(self):
        self._clock = clocks.SystemClock()
        self.paused_s = 0.0

    def wall(self):
        return self._clock.wall() + self.paused_s

    def monotonic(self):
        return self._clock.monotonic() + self.paused_s


@pytest.mark.parametrize("wait_s", [0.0, 0.05])
def test_a_permit_that_ran_out_in_a_pause_is_not_used(world, limited, wait_s):
    clock = PausableClock()
    world.loop.clock = clock
    world.start(route_document(timeout_ms=20_000, target_latency_ms=15_000))
    world.fetch(KEY)
    sent = len(limited)
    asked = []

    def acquire(run, max_wait_s):
        asked.append(run)
        if len(asked) == 1:
            # The process is paused for longer than other hosts' permits wait.
            clock.paused_s += 3.0
            return tasks.done(permits.Permit(True, wait_s))
        return tasks.done(permits.Permit(False, 60.0))

    world.ctrl.permits.acquire = acquire
    received = world.fetch(KEY, ("Deadline-Ms", "10000"))
    assert len(asked) >= 2
    assert len(limited) == sent
    assert status(received) == 503
