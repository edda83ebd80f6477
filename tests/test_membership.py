"""The fleet's membership and its gossip messages."""

import collections
import random
import types

import loop_helpers as lh
import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from chervilarch import clocks, gossip, membership, messages, metrics
from chervilarch.membership import Member, Status

KEY = b"a key of the fleet"


def member(name, incarnation=1, status=Status.ALIVE, **fields):
    return Member(
        name, f"10.0.0.1:{ord(name[0])}", "a", incarnation, status, **fields
    )


@pytest.fixture
def fleet():
    created = membership.Membership(member("own"), random.Random(1))
    for name in "bcd":
        created.observe(member(name), 0.0)
    return created


def status_of(fleet, name):
    return fleet.find(name).status


def test_a_suspect_is_declared_dead_after_the_timeout(fleet):
    fleet.suspect("b", 10.0)
    fleet.expire(10.1)
    assert status_of(fleet, "b") is Status.SUSPECT
    fleet.expire(10.0 + fleet.suspect_timeout_s())
    assert status_of(fleet, "b") is Status.DEAD


def test_a_false_suspicion_is_refuted(fleet):
    fleet.suspect("b", 10.0)
    fleet.observe(member("b", incarnation=2), 10.5)
    fleet.expire(99.0)
    assert status_of(fleet, "b") is Status.ALIVE


def test_a_host_refutes_a_false_status_of_itself(fleet):
    fleet.observe(member("own", status=Status.DEAD), 1.0)
    assert fleet.own.incarnation == 2
    assert fleet.own.status is Status.ALIVE


def test_a_leaving_host_still_lists_all_others(fleet):
    fleet.own = fleet.own._replace(status=Status.LEFT)
    assert [found.name for found in fleet.live()] == ["own", "b", "c", "d"]


def test_a_host_exceeds_the_incarnation_of_an_earlier_process(fleet):
    fleet.observe(member("own", incarnation=7), 1.0)
    assert fleet.own.incarnation == 8


def test_an_update_of_an_older_incarnation_is_ignored(fleet):
    fleet.observe(member("b", incarnation=5), 1.0)
    fleet.observe(member("b", incarnation=4, status=Status.DEAD), 2.0)
    assert status_of(fleet, "b") is Status.ALIVE


def test_the_order_of_updates_does_not_matter():
    updates = [
        member("b", i, status)
        for i in (1, 2)
        for status in (Status.ALIVE, Status.SUSPECT, Status.DEAD)
    ]
    ends = set()
    for number in range(50):
        created = membership.Membership(member("own"), random.Random(1))
        random.Random(number).shuffle(updates)
        for update in updates:
            created.observe(update, 0.0)
        ends.add(created.find("b"))
    assert len(ends) == 1


def test_every_live_member_is_probed_in_a_round(fleet):
    fleet.observe(member("d", status=Status.DEAD), 1.0)
    assert {fleet.next_probe().name for _ in range(2)} == {"b", "c"}


def test_updates_are_sent_a_bounded_number_of_times(fleet):
    sent = 0
    while fleet.updates_to_send():
        sent += 1
    assert 0 < sent < 20


GOSSIP = messages.Gossip(
    "ping",
    member("own", config_version=3, config_through=5, milli_cores=387),
    "10.0.0.2:1",
    7,
    8,
    "",
    (member("b"),),
    (messages.LeavingEndpoint("10.0.0.3:1", 4),),
    (messages.AccountUse("buyers", 2.5),),
)


def test_gossip_survives_a_round_trip():
    frame = messages.encode_gossip(KEY, GOSSIP)
    assert messages.decode_gossip(KEY, frame) == GOSSIP


def test_gossip_fits_a_datagram():
    full = GOSSIP._replace(
        members=(member("b"),) * membership.MAX_UPDATES_PER_MESSAGE,
        leaving=GOSSIP.leaving * 8,
        uses=GOSSIP.uses * 8,
    )
    frame = messages.encode_gossip(KEY, full)
    assert len(frame) <= messages.TARGET_DATAGRAM_BYTES


def test_a_message_under_another_key_is_rejected():
    frame = messages.encode_gossip(b"another key of a fleet", GOSSIP)
    assert isinstance(messages.decode_gossip(KEY, frame), messages.BadFrame)


@seed(1)
@settings(max_examples=300, deadline=None, database=None)
@given(st.binary(max_size=1500))
def test_any_bytes_are_refused(data):
    assert isinstance(messages.decode_gossip(KEY, data), messages.BadFrame)
    sealed = messages.seal(KEY, data)
    for decode in (
        messages.decode_gossip,
        messages.decode_request,
        messages.decode_reply,
    ):
        decode(KEY, sealed)


def test_a_replayed_datagram_is_detected():
    guard = gossip.ReplayGuard()
    assert guard.accept("b", 1, 5)
    assert not guard.accept("b", 1, 5)
    assert guard.accept("b", 1, 4)
    assert guard.accept("b", 2, 5)
    assert not guard.accept("b", 1, 6)


@pytest.fixture
def controller():
    return gossip.GossipController(
        member("own"),
        KEY,
        clocks.ManualClock(),
        metrics.Metrics(None),
        random.Random(1),
    )


class Inbox:
    """Stands in for a socket that holds datagrams."""

    def __init__(self, *frames):
        self.frames = list(frames)

    def recvfrom(self, size):
        """Returns the next datagram."""
        return self.frames.pop(0), ("127.0.0.1", 1)

    def sendto(self, frame, address):
        """Drops the datagram."""


@pytest.mark.parametrize("target", ["own", "other"])
def test_replayed_and_misdirected_datagrams_are_ignored(controller, target):
    own = controller.members()[0]
    address = own.address if target == "own" else "10.9.9.9:1"
    frame = messages.encode_gossip(
        KEY, GOSSIP._replace(sender=member("b"), target=address)
    )
    controller._socket.close()
    controller._socket = Inbox(frame, frame)
    reported = []
    controller.on_config = lambda *args: reported.append(args)
    controller._receive()
    controller._receive()
    assert len(reported) == (1 if target == "own" else 0)


class Net:
    """Carries datagrams between hosts, in order and without loss."""

    def __init__(self):
        self.frames = {}

    def socket_of(self, address):
        """Returns a host's socket."""
        self.frames[address] = collections.deque()
        return NetSocket(self, address)


class NetSocket:
    """Stands in for a host's UDP socket."""

    def __init__(self, net, address):
        self._net = net
        self._address = address

    def recvfrom(self, size):
        """Returns the next datagram."""
        return self._net.frames[self._address].popleft(), ("", 0)

    def sendto(self, frame, address):
        """Delivers a datagram to a host of the net."""
        self._net.frames[address].append(frame)


def test_hosts_that_start_together_soon_know_each_other():
    net, clock, rng = Net(), clocks.ManualClock(), random.Random(3)
    controllers = []
    for number in range(74):
        own = member("x")._replace(
            name=f"n{number}", address=f"10.0.0.{number}:1"
        )
        controller = gossip.GossipController(
            own, KEY, clock, metrics.Metrics(None), rng
        )
        controller._socket.close()
        controller._socket = net.socket_of((f"10.0.0.{number}", 1))
        controllers.append(controller)
    for controller in controllers:
        controller.contact("10.0.0.0:1")
        controller.contact("10.0.0.1:1")
    # A second after the start, all should choose the same coordinating host.
    for _ in range(20):
        clock.advance(0.05)
        for controller in controllers:
            while net.frames[controller._address]:
                controller._receive()
        for controller in controllers:
            controller.tick(clock.monotonic())
    assert {controller.live_count() for controller in controllers} == {74}


@pytest.fixture
def pair():
    """Two hosts on loopback that know each other, and their clock."""
    clock = clocks.ManualClock()
    port = lh.free_ports(2)
    made = []
    for number, name in enumerate("ab"):
        own = member(name)._replace(address=f"127.0.0.1:{port + number}")
        controller = gossip.GossipController(
            own, KEY, clock, metrics.Metrics(None), random.Random(1)
        )
        controller._socket.bind(controller._address)
        made.append(controller)
    a, b = made
    a._membership.observe(b.members()[0], clock.monotonic())
    b._membership.observe(a.members()[0], clock.monotonic())
    yield a, b, clock
    for controller in made:
        controller._socket.close()


def other_status(controller):
    return controller.members()[1].status


def test_a_host_whose_ack_waits_in_the_kernel_is_not_suspected(pair):
    a, b, clock = pair
    a.run_once(0.0)  # Sends the probe.
    for _ in range(3):
        b.contact(a.members()[0].address)
    b.run_once(lh.TIMEOUT_S)  # Sends the ack, behind other datagrams.
    clock.advance(membership.PROBE_PERIOD_S + 0.1)
    a.run_once(lh.TIMEOUT_S)
    assert other_status(a) is Status.ALIVE


def test_a_pause_after_the_last_look_makes_no_host_suspected(pair, monkeypatch):
    a, b, clock = pair
    a.run_once(0.0)

    def pause_after_look(*args):
        found = look(*args)
        if not found[0]:
            b._receive()
            clock.advance(membership.PROBE_PERIOD_S + 0.1)
        return found

    look = gossip.select.select
    with monkeypatch.context() as patch:
        patch.setattr(
            gossip, "select", types.SimpleNamespace(select=pause_after_look)
        )
        a.run_once(0.0)
    assert other_status(a) is Status.ALIVE
    a.run_once(lh.TIMEOUT_S)
    assert other_status(a) is Status.ALIVE


def test_a_host_that_is_silent_through_a_pause_is_suspected(pair):
    a, _, clock = pair
    a.run_once(0.0)
    clock.advance(membership.PROBE_PERIOD_S + 0.1)
    a.run_once(0.0)
    assert other_status(a) is Status.SUSPECT
