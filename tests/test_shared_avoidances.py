"""Hosts tell each other of endpoints that send replies without end."""

import pathlib
import random
import threading

import capnp
import gateway_world
import loop_helpers as lh
import pytest
from gateway_world import KEY, answer, read_status, route_document, status
from test_avoided_endpoints import ENDLESS, FaultyEndpoint

from chervilarch import (
    advisories,
    advisory_messages,
    avoidances,
    endpoint_limits,
    endpoint_state,
    messages,
)
from chervilarch.stage_coordination import Peer

_KEY = b"k" * 16
_RUN = endpoint_state.EndpointRun("e1", 1)


class Host:
    """One host's exchange and avoidances."""

    def __init__(self, loop, name, hosts):
        own = Peer(name, ("127.0.0.1", lh.free_ports(1)))
        self.loop = loop
        self.cut_off = False
        rng = random.Random(name)
        self.exchange = advisories.AdvisoryExchange(
            loop, own, lambda: self.peers(hosts), _KEY, rng
        )
        self.avoided = avoidances.Avoidances(loop.clock, rng, lambda: None)
        self.exchange.add_source(self.avoided)
        self.avoided.publish = self.exchange.publish
        self.peer = own._replace(address=self.exchange._socket.address)
        hosts.append(self)
        self.exchange.start()

    def peers(self, hosts):
        return [
            host.peer
            for host in hosts
            if host is not self and not (self.cut_off or host.cut_off)
        ]

    def wait_s(self, run=_RUN):
        return self.avoided.wait_s(run)

    def send_and_fail(self):
        """Tries the endpoint if this host may; returns whether it did."""
        if self.wait_s():
            return False
        self.avoided.record_endless(_RUN, self.loop.now())
        return True


@pytest.fixture
def fleet():
    loop, clock = lh.new_loop()
    hosts = []
    yield loop, clock, hosts
    for host in hosts:
        host.exchange.close()


def add_hosts(fleet, count):
    loop, _, hosts = fleet
    return [Host(loop, f"h{len(hosts)}", hosts) for _ in range(count)]


def advance(fleet, seconds):
    loop, clock, _ = fleet
    lh.advance(loop, clock, seconds)


def item(fleet, repeats=0, age_s=0.0, run=_RUN):
    seen_at = fleet[1].monotonic() - age_s
    return avoidances.EndlessReply(run.key, run.incarnation, repeats, seen_at)


def test_all_hosts_avoid_what_one_of_them_saw(fleet):
    hosts = add_hosts(fleet, 4)
    advance(fleet, 0.5)
    hosts[0].send_and_fail()
    advance(fleet, 0.3)
    assert all(host.wait_s() for host in hosts)
    assert not hosts[1].wait_s(_RUN._replace(incarnation=2))


def test_a_host_that_starts_hears_of_avoided_endpoints(fleet):
    (first,) = add_hosts(fleet, 1)
    for _ in range(avoidances.MAX_REPEATS + 1):
        advance(fleet, first.wait_s() + 0.1)
        first.send_and_fail()
    advance(fleet, 12.0)
    (late,) = add_hosts(fleet, 1)
    advance(fleet, 1.0)
    assert late.wait_s() and first.wait_s()
    longest_s = avoidances.MAX_AVOIDANCE_S - 12.0
    assert late.wait_s() <= longest_s


def test_hosts_that_were_cut_off_hear_of_it_afterwards(fleet):
    hosts = add_hosts(fleet, 3)
    advance(fleet, 1.0)
    hosts[2].cut_off = True
    for _ in range(4):
        advance(fleet, hosts[0].wait_s() + 0.1)
        hosts[0].send_and_fail()
    advance(fleet, 1.0)
    assert not hosts[2].wait_s()
    hosts[2].cut_off = False
    advance(fleet, 3.0)
    assert hosts[2].wait_s()


# Failed: each host sent its own requests to an endpoint without end.
def test_many_hosts_together_send_few_requests_to_a_faulty_endpoint(fleet):
    hosts = add_hosts(fleet, 8)
    advance(fleet, 1.0)
    sent = 0
    for _ in range(600):
        sent += sum(host.send_and_fail() for host in hosts)
        advance(fleet, 0.1)
    # Each alone would try it at 0, 1, 3, 7, 15, 31 and 47 s at the earliest.
    assert sent <= 4 * len(hosts)


@pytest.mark.parametrize("repeats", [0, 3, 255])
@pytest.mark.parametrize("age_s", [-1e6, -1.0, 0.0, 1e9])
def test_a_false_item_takes_no_endpoint_away_for_longer_than_the_bound(
    fleet, repeats, age_s
):
    (host,) = add_hosts(fleet, 1)
    message = advisory_messages.AdvisoryMessage((item(fleet, repeats, age_s),))
    now = fleet[1].monotonic()
    frame = advisory_messages.encode(_KEY, message, now)
    host.avoided.merge(list(advisory_messages.decode(_KEY, frame, now).items))
    assert host.wait_s() <= avoidances.MAX_AVOIDANCE_S
    advance(fleet, avoidances.MAX_AVOIDANCE_S)
    assert not host.wait_s()


def test_a_replayed_item_does_not_prolong_an_avoidance(fleet):
    (host,) = add_hosts(fleet, 1)
    repeats = avoidances.MAX_REPEATS
    avoided_s = 0.0
    for _ in range(800):
        host.avoided.merge([item(fleet, repeats)])
        avoided_s += 0.1 if host.wait_s() else 0.0
        fleet[1].advance(0.1)
    assert avoided_s <= avoidances.MAX_AVOIDANCE_S + 0.1


def test_items_of_others_do_not_outweigh_own_sound_answers(fleet):
    (host,) = add_hosts(fleet, 1)
    clock = fleet[1]
    avoided_s = 0.0
    seconds = 400
    for number in range(10 * seconds):
        host.avoided.merge([item(fleet, number % 5)])
        if host.wait_s():
            avoided_s += 0.1
            clock.advance(0.1)
        else:
            sent_at = clock.monotonic()
            clock.advance(0.1)
            host.avoided.record_answer(_RUN, sent_at)
    longest_s = avoidances.FIRST_AVOIDANCE_S * (1 + avoidances._SPREAD_SHARE)
    times = seconds / avoidances.MIN_INTERVAL_S + 1
    # Until the first trial, which the items put off.
    begin_s = 1.5 * avoidances.MAX_AVOIDANCE_S
    assert 0.0 < avoided_s <= begin_s + (longest_s + 0.1) * times


def older_schema(tmp_path):
    """Returns the schema of hosts that know no replies without end."""
    path = pathlib.Path(messages.__file__).with_name("peer.capnp")
    lines = path.read_text().splitlines()
    kept = [line for line in lines if "List(EndlessReply)" not in line]
    assert len(kept) == len(lines) - 1
    kept[0] = "@0xf1b3c8a2d94e6705;"
    older = tmp_path / "older.capnp"
    older.write_text("\n".join(kept))
    return capnp.load(str(older))


def test_hosts_of_an_older_release_read_the_rest(fleet, tmp_path):
    older = older_schema(tmp_path)
    limit = endpoint_limits.EndpointLimit("e1", 1, 2.0, 1.0)
    message = advisory_messages.AdvisoryMessage((limit, item(fleet)))
    frame = advisory_messages.encode(_KEY, message, 1.0)
    payload = messages.unseal(_KEY, frame)
    read = older.Advisories.from_bytes_packed(payload)
    assert [slot.endpoint for slot in read.limits] == ["e1"]
    sent = older.Advisories.new_message(wantsAll=True)
    frame = messages.seal(_KEY, sent.to_bytes_packed())
    decoded = advisory_messages.decode(_KEY, frame, 1.0)
    assert decoded == advisory_messages.AdvisoryMessage((), True)


@pytest.fixture
def two_worlds(world, monkeypatch):
    """Two gateways that hear of each other's findings."""
    # No avoidance ends within a test.
    monkeypatch.setattr(avoidances, "FIRST_AVOIDANCE_S", 60.0)
    other = gateway_world.World()
    for own, heard in ((world, other), (other, world)):
        peer = Peer("peer", heard.ctrl.advisories._socket.address)
        own.ctrl.advisories._peers = lambda peer=peer: [peer]
        own.start(
            route_document(target_latency_ms=100, timeout_ms=3000),
            route_document(
                name="r2",
                path_prefix="/once/",
                kind="non_idempotent",
                target_latency_ms=100,
                timeout_ms=3000,
            ),
        )
    # Both run in the loop of the first.
    world.loop.call_every(0.01, lambda: other.loop.run_once(0.0))
    yield world, other
    other.close()


@pytest.fixture
def faulty(two_worlds):
    """An endpoint without end, which the first gateway lists."""
    first, _ = two_worlds
    endpoint = FaultyEndpoint(*ENDLESS["body"])
    endpoint.address = first.endpoint("e1", endpoint.serve).address
    await_endpoint(first, first, "e1")
    yield endpoint
    endpoint.stop()


def await_endpoint(first, world, name):
    lh.run_until(
        first.loop,
        lambda: name in world.ctrl.placement._pools.get("s1", {}),
    )


# Failed: each host sent requests there until three of its own had failed.
def test_a_host_sends_nothing_to_an_endpoint_that_another_has_reported(
    two_worlds, faulty
):
    first, second = two_worlds
    second.endpoint("e1", None, address=faulty.address)
    await_endpoint(first, second, "e1")
    assert status(first.fetch(KEY, path="/once/1")) == 502
    callers = [second.send(KEY, path="/once/1") for _ in range(20)]
    assert {read_status(first, caller) for caller in callers} == {503}
    assert len(faulty.requests) == 1


# Failed: the retry went there.
def test_a_retry_is_not_sent_to_an_endpoint_that_was_just_reported(
    two_worlds, faulty
):
    first, second = two_worlds
    seen = []
    was_reported = threading.Event()

    def decline(conn):
        seen.append(lh.read_request(conn))
        was_reported.wait(lh.TIMEOUT_S)
        conn.sendall(answer(503, b"", stamp="", extra="Not-Executed: 1\r\n"))

    second.endpoint("e2", decline)
    await_endpoint(first, second, "e2")
    caller = second.send(KEY)
    lh.run_until(first.loop, lambda: seen)
    second.endpoint("e1", None, address=faulty.address)
    await_endpoint(first, second, "e1")
    assert status(first.fetch(KEY, path="/once/1")) == 502
    lh.run_until(first.loop, lambda: second.ctrl.avoided.wait_s(_RUN))
    was_reported.set()
    assert read_status(first, caller) == 503
    assert len(faulty.requests) == 1
