"""Tests of how messages share the room for their bytes."""

import random

import pytest

from chervilarch import byte_room
from chervilarch.byte_room import Grant

_KB = 1024
BOUNDS = byte_room.Bounds(shared=1000 * _KB, largest=400 * _KB, small=200 * _KB)


class Message:
    """A message that asks for room in steps, as its bytes arrive."""

    def __init__(self, room, peer, expected_size=0):
        self._room = room
        self.calls = []
        self.is_evicted = False
        self.holder = room.open(
            peer, 0.0, lambda: self.calls.append("room"), self._give_up
        )
        self.holder.expected_size = expected_size

    def _give_up(self):
        self.is_evicted = True

    def take(self, size, now=0.0):
        return self._room.take(self.holder, size, now)

    def fill(self, step=50 * _KB, now=0.0):
        """Takes room until it has to wait or is refused."""
        while (grant := self.take(step, now)) is Grant.TAKEN:
            pass
        return grant

    def close(self):
        self._room.close(self.holder)


@pytest.fixture
def room():
    return byte_room.Room(BOUNDS)


def test_a_message_is_refused_over_its_own_bound(room):
    message = Message(room, "a")
    assert message.fill() is Grant.REFUSED
    assert message.holder.size == BOUNDS.largest


def test_messages_wait_at_the_shared_bound_and_one_goes_on(room):
    messages = [Message(room, "a", 390 * _KB) for _ in range(5)]
    for _ in range(20):
        for message in messages:
            message.take(50 * _KB)
    going_on = [m for m in messages if m.holder.size > 300 * _KB]
    assert len(going_on) == 1
    assert room.size <= BOUNDS.shared + BOUNDS.largest
    assert not any(message.is_evicted for message in messages)
    going_on[0].close()
    assert all("room" in m.calls for m in messages if m is not going_on[0])


@pytest.mark.parametrize("seed", range(20))
def test_whole_messages_beyond_the_bound_all_end(room, seed):
    rng = random.Random(seed)
    messages = [
        Message(room, rng.choice("abc"), rng.randint(1, 400) * _KB)
        for _ in range(30)
    ]
    left = list(messages)
    for _ in range(10_000):
        if not left:
            break
        message = rng.choice(left)
        missing = message.holder.expected_size - message.holder.size
        message.take(min(missing, 16 * _KB))
        assert room.size <= sum(BOUNDS)
        if message.holder.size == message.holder.expected_size:
            message.close()
            left.remove(message)
    assert not left and not room.size
    assert not any(message.is_evicted for message in messages)


def test_a_message_whose_length_is_over_the_bound_is_refused_at_once(room):
    message = Message(room, "a", BOUNDS.largest + 1)
    assert message.take(1) is Grant.REFUSED


def test_a_message_with_a_length_gives_way_only_if_it_is_silent(room):
    faulty = [Message(room, "faulty", 400 * _KB) for _ in range(6)]
    for _ in range(6):
        for message in faulty:
            message.take(50 * _KB)
    sound = Message(room, "sound", 300 * _KB)
    while sound.take(20 * _KB) is Grant.TAKEN:
        assert sound.holder.size < 300 * _KB
    assert not any(message.is_evicted for message in faulty)
    late = byte_room.MAX_SILENCE_S + 0.1
    while sound.holder.size < 300 * _KB:
        assert sound.take(20 * _KB, late) is Grant.TAKEN
    # Those that wait for room aren't silent, only the one that goes on is.
    assert [message.is_evicted for message in faulty].count(True) == 1


def test_a_small_message_does_not_wait_for_large_ones(room):
    for message in [Message(room, "a", 390 * _KB) for _ in range(6)]:
        message.fill()
    for _ in range(3):
        assert Message(room, "a").take(64 * _KB) is Grant.TAKEN


def test_the_peer_that_holds_most_gives_way_to_others(room):
    faulty = [Message(room, "faulty") for _ in range(6)]
    for message in faulty:
        message.fill()
    sizes = {message: message.holder.size for message in faulty}
    sound = Message(room, "sound", 300 * _KB)
    while sound.holder.size < 300 * _KB:
        assert sound.take(20 * _KB) is Grant.TAKEN
    evicted = [message for message in faulty if message.is_evicted]
    assert evicted and not sound.is_evicted
    assert {sizes[message] for message in evicted} == {max(sizes.values())}
    assert evicted[0].take(1) is Grant.REFUSED
    # The first of many can't make the others give way without end.
    greedy = [Message(room, "sound") for _ in range(6)]
    for message in greedy:
        message.fill()
    assert room.size <= sum(BOUNDS)


def test_bytes_that_can_not_be_given_up_stay(room):
    kept = Message(room, "a")
    room.set_size(kept.holder, 390 * _KB)
    kept.holder.on_evicted = None
    for message in [Message(room, "a") for _ in range(4)]:
        message.fill()
    for message in [Message(room, "b") for _ in range(4)]:
        message.fill()
    assert not kept.is_evicted and kept.holder.size == 390 * _KB


def test_the_one_that_others_wait_for_is_given_up_after_a_silence(room):
    messages = [Message(room, "a", 390 * _KB) for _ in range(5)]
    for _ in range(8):
        for message in messages:
            message.take(50 * _KB)
    going_on = max(messages, key=lambda m: m.holder.size)
    room.check(byte_room.MAX_SILENCE_S)
    assert not going_on.is_evicted
    room.check(byte_room.MAX_SILENCE_S + 0.1)
    assert going_on.is_evicted
    others = [m for m in messages if m is not going_on]
    assert all("room" in m.calls for m in others)
    assert any(m.take(50 * _KB, 3.0) is Grant.TAKEN for m in others)


def test_room_that_is_given_back_can_be_taken_again(room):
    message = Message(room, "a")
    room.set_size(message.holder, 300 * _KB)
    room.set_size(message.holder, 100 * _KB)
    assert room.size == 100 * _KB
    message.close()
    message.close()
    assert not room.size and not room.is_awaited()


@pytest.mark.parametrize("count", [10, 1000])
def test_few_of_those_that_wait_are_told_of_free_room(count):
    room = byte_room.Room(BOUNDS)
    full = [Message(room, "full", 390 * _KB) for _ in range(4)]
    for message in full:
        message.fill()
    waiting = [Message(room, "a", 300 * _KB) for _ in range(count)]
    for message in waiting:
        assert message.take(16 * _KB) is Grant.WAIT
    for message in waiting:
        message.calls.clear()
    for _ in range(100):
        room.set_size(full[0].holder, full[0].holder.size - 1)
    told = sum(len(message.calls) for message in waiting)
    assert told <= 100 * 100 // 16_000 + 3


def test_a_message_that_trickles_is_given_up_for_others(room):
    trickling = [Message(room, "a", 390 * _KB) for _ in range(5)]
    for _ in range(30):
        for message in trickling:
            message.take(10 * _KB)
    sound = Message(room, "b", 300 * _KB)
    now = 0.0
    while sound.holder.size < 300 * _KB:
        now += 0.25
        room.check(now)
        for message in trickling:
            message.take(1, now)
        for _ in range(20):
            sound.take(
                16 * _KB if sound.holder.size < 288 * _KB else 12 * _KB, now
            )
            if sound.holder.size >= 300 * _KB:
                break
        assert now < 10.0
    assert not sound.is_evicted


def test_a_message_is_not_silent_for_the_time_that_it_waited(room):
    full = [Message(room, "a", 390 * _KB) for _ in range(4)]
    for message in full:
        message.fill()
    waiting = Message(room, "b", 300 * _KB)
    assert waiting.take(16 * _KB) is Grant.WAIT
    late = byte_room.MAX_SILENCE_S + 1.0
    for message in full:
        message.holder.on_evicted = None
    full[0].close()
    assert waiting.take(16 * _KB, late) is Grant.TAKEN
    others = [Message(room, "c", 390 * _KB) for _ in range(4)]
    for message in others:
        message.fill(now=late)
    room.check(late)
    assert not waiting.is_evicted
