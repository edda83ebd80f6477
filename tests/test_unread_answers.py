"""Tests of which unread answers are ended at the bound on memory."""

import random

import pytest

from chervilarch import byte_room
from chervilarch.scheduling import unread_answers
from chervilarch.scheduling.unread_answers import (
    GROWTH_BYTES,
    LAST_WAIT_S,
    LOOK_INTERVAL_S,
    MAX_DRAIN_S,
    SETTLE_S,
    WAIT_S,
)

_KB = 1024
BOUNDS = byte_room.Bounds(shared=1000 * _KB, largest=400 * _KB, small=200 * _KB)


class Host:
    """Answers in a full room, looked at each interval."""

    def __init__(self):
        self.now = 0.0
        self.answers = unread_answers.UnreadAnswers()
        self.answers.begin_looks(self.now)

    def open(self, size):
        answer = self.answers.open(self.now)
        answer.size = size
        return answer

    def look(self, waits, size=BOUNDS.shared, bytes_per_s=()):
        """Looks once an interval later; returns the answers to end."""
        self.now += LOOK_INTERVAL_S
        for answer, speed in dict(bytes_per_s).items():
            answer.record_taken(speed * LOOK_INTERVAL_S, self.now)
        state = unread_answers.RoomState(size, BOUNDS)
        endings = self.answers.choose(state, waits, self.now)
        return [ending.answer for ending in endings]

    def look_until_ended(self, waits, size=BOUNDS.shared):
        """Looks until an answer is to be ended."""
        while not (ended := self.look(waits, size)):
            assert self.now < 100.0
        return ended

    def look_until(self, waited_s, wait_size, **kwargs):
        """Looks until a reply, which waits from now on, has waited."""
        waits = [unread_answers.Wait(wait_size, self.now)]
        until = self.now + waited_s
        ended = []
        while self.now < until and not ended:
            ended = self.look(waits, **kwargs)
        return ended


@pytest.fixture
def host():
    return Host()


def test_no_answer_is_ended_while_no_reply_waits(host):
    host.open(400 * _KB)
    for _ in range(100):
        assert not host.look([])


def test_a_slow_answer_over_its_fair_part_is_ended_for_a_waiting_reply(host):
    small = host.open(100 * _KB)
    large = host.open(400 * _KB)
    began_at = host.now
    assert host.look_until(1.0, 64 * _KB) == [large]
    assert host.now - began_at == WAIT_S
    assert small.size


def test_only_as_many_answers_end_as_what_waits_needs(host):
    answers = [host.open(400 * _KB) for _ in range(2)]
    answers.append(host.open(390 * _KB))
    assert host.look_until(1.0, 500 * _KB) == answers[:2]
    for answer in answers:
        host.answers.close(answer)
    answers = [host.open(size * _KB) for size in (350, 400, 360)]
    assert host.look_until(1.0, 300 * _KB) == [answers[1]]


def test_answers_within_their_fair_part_end_before_a_reply_waits_for_long(host):
    for _ in range(8):
        host.open(100 * _KB)
    waits = [unread_answers.Wait(64 * _KB, host.now)] * 2
    assert len(host.look_until_ended(waits)) == 2
    assert host.now == LAST_WAIT_S < 1.0


def test_an_answer_that_is_read_in_time_is_not_ended(host):
    read = host.open(400 * _KB)
    fast = {read: read.size / MAX_DRAIN_S * 1.1}
    assert not host.look_until(5.0, 300 * _KB, bytes_per_s=fast)
    unread = host.open(64 * _KB)
    assert host.look_until(5.0, 300 * _KB, bytes_per_s=fast) == [unread]
    host.answers.close(unread)
    # The speed is that of the last moments.
    assert host.look_until(5.0, 300 * _KB) == [read]


def test_an_answer_that_has_just_become_unread_is_not_ended(host):
    waits = [unread_answers.Wait(64 * _KB, host.now)]
    for _ in range(16):
        host.look(waits)
    opened_at = host.now
    answer = host.open(400 * _KB)
    assert host.look_until_ended(waits) == [answer]
    assert host.now == opened_at + SETTLE_S


def test_a_pause_of_the_process_counts_as_nobodys_wait(host):
    answer = host.open(400 * _KB)
    host.open(100 * _KB)
    waits = [unread_answers.Wait(64 * _KB, host.now)]
    host.now += 5.0
    assert not host.look(waits)
    resumed_at = host.now
    assert host.look_until_ended(waits) == [answer]
    assert host.now == resumed_at + WAIT_S


def test_an_answer_is_ended_late_if_only_its_own_reply_waits(host):
    host.open(100 * _KB)
    host.open(100 * _KB)
    answer = host.open(335 * _KB)
    host.answers.wait(answer, host.now)
    assert host.look_until_ended([]) == [answer]
    assert host.now == LAST_WAIT_S


def test_an_answer_at_the_bound_of_a_message_ends_without_others(host):
    others = host.open(300 * _KB)
    answer = host.open(BOUNDS.largest - GROWTH_BYTES + 1)
    state = unread_answers.RoomState(700 * _KB, BOUNDS)
    assert host.answers.may_grow(others, state)
    assert not host.answers.may_grow(answer, state)
    host.answers.wait(answer, host.now)
    assert host.look_until_ended([], 700 * _KB) == [answer]
    assert host.now == LAST_WAIT_S


def test_answers_that_wait_together_grow_within_the_room(host):
    answers = [host.open(100 * _KB) for _ in range(9)]
    full = unread_answers.RoomState(BOUNDS.shared, BOUNDS)
    for answer in answers:
        assert not host.answers.may_grow(answer, full)
        host.answers.wait(answer, host.now)
    free = full._replace(size=BOUNDS.shared - 2 * GROWTH_BYTES)
    assert host.answers.growing(free) == answers[:2]
    # Small ones go on beyond it.
    small = host.open(_KB)
    assert host.answers.may_grow(small, full)
    beyond = full._replace(size=BOUNDS.shared + BOUNDS.largest)
    assert not host.answers.may_grow(small, beyond)


class Replay:
    """Replies that arrive for callers, of which some never read."""

    def __init__(self, host, seed):
        self._host = host
        self._rng = random.Random(seed)
        # By answer, in bytes a second.
        self._speeds = {}
        self._waits = []
        self.ended = 0
        self.longest_wait_s = 0.0

    def size(self):
        return sum(answer.size for answer in self._speeds)

    def step(self):
        """Lets replies arrive, and ends answers, for one interval."""
        if self._rng.random() < 0.5:
            size = self._rng.randint(64, 400) * _KB
            self._waits.append(unread_answers.Wait(size, self._host.now))
        self._place_replies()
        ended = self._host.look(self._waits, self.size(), self._speeds)
        assert not any(self._speeds[answer] for answer in ended)
        self.ended += len(ended)
        self._read()
        self._remove(ended)
        self._place_replies()
        for wait in self._waits:
            waited_s = self._host.now - wait.since
            self.longest_wait_s = max(self.longest_wait_s, waited_s)

    def _place_replies(self):
        """Turns replies that have room into answers of callers."""
        while self._waits:
            size = self._waits[0].size
            if self.size() + size > BOUNDS.shared:
                break
            del self._waits[0]
            reads = self._rng.random() < 0.5
            self._speeds[self._host.open(size)] = 2 * size if reads else 0

    def _read(self):
        for answer, speed in self._speeds.items():
            answer.size -= min(answer.size, int(speed * LOOK_INTERVAL_S))
        self._remove([a for a in self._speeds if not a.size])

    def _remove(self, answers):
        for answer in answers:
            self._speeds.pop(answer, None)
            self._host.answers.close(answer)


@pytest.mark.parametrize("seed", range(20))
def test_replies_beside_callers_that_never_read_wait_less_than_a_second(
    host, seed
):
    """Replays the load pattern of the module."""
    replay = Replay(host, seed)
    for _ in range(400):
        replay.step()
        assert replay.size() <= BOUNDS.shared
    assert replay.ended and replay.longest_wait_s < 1.0
