"""Tests of the event loop and of tasks over futures."""

import gc
import os
import selectors
import signal
import socket
import subprocess
import sys
import time
import weakref

import loop_helpers as lh
import pytest

from chervilarch import loop as loops
from chervilarch import tasks
from chervilarch.futures import Future


@pytest.fixture
def loop_and_clock():
    loop, clock = lh.new_loop()
    yield loop, clock
    loop.close()


def test_timers_run_in_order_when_due(loop_and_clock):
    loop, clock = loop_and_clock
    ran = []
    loop.call_later(2.0, lambda: ran.append("late"))
    loop.call_later(1.0, lambda: ran.append("early"))
    loop.call_later(1.5, lambda: ran.append("cancelled")).cancel()
    lh.run_pending(loop)
    assert ran == []
    clock.advance(1.0)
    lh.run_pending(loop)
    assert ran == ["early"]
    clock.advance(1.0)
    lh.run_pending(loop)
    assert ran == ["early", "late"]


def test_a_timer_runs_after_what_had_arrived_by_its_time(loop_and_clock):
    loop, clock = loop_and_clock
    first, first_peer = socket.socketpair()
    second, second_peer = socket.socketpair()
    ran = []
    timer = loop.call_later(1.0, lambda: ran.append("timer"))

    def take_long(events):
        first.recv(1)
        second_peer.send(b"a")
        clock.advance(2.0)

    def receive(events):
        second.recv(1)
        ran.append("data")
        timer.cancel()

    loop.watch(first, selectors.EVENT_READ, take_long)
    loop.watch(second, selectors.EVENT_READ, receive)
    first_peer.send(b"a")
    lh.run_until(loop, lambda: ran)
    lh.run_pending(loop)
    assert ran == ["data"]
    for sock in (first, first_peer, second, second_peer):
        sock.close()


def test_a_callback_that_raises_does_not_end_the_loop(loop_and_clock):
    loop, _ = loop_and_clock
    sock, peer = socket.socketpair()
    ran = []

    def fail(*args):
        sock.recv(1)
        raise ValueError("broken")

    loop.watch(sock, selectors.EVENT_READ, fail)
    peer.send(b"aaa")
    loop.call_from_thread(fail)
    loop.call_soon(fail)
    loop.call_soon(lambda: ran.append("timer"))
    loop.call_from_thread(lambda: ran.append("thread"))
    lh.run_until(loop, lambda: len(ran) == 2)
    loop.unwatch(sock)
    sock.close()
    peer.close()


def test_task_waits_for_futures_and_returns(loop_and_clock):
    fut: Future = Future()

    def coroutine():
        got = yield fut
        return got + 1

    task = tasks.Task(coroutine())
    assert not task.future.done()
    fut.set_result(1)
    assert task.future.result() == 2


def test_cancelled_task_cleans_up_and_ignores_its_future(loop_and_clock):
    fut: Future = Future()
    ended = []

    def coroutine():
        try:
            yield fut
        finally:
            ended.append(True)

    task = tasks.Task(coroutine())
    task.cancel()
    assert ended == [True] and task.future.result() is None
    fut.set_result(1)


def test_running_task_can_cancel_itself(loop_and_clock):
    created = []
    first: Future = Future()

    def coroutine():
        yield first
        created[0].cancel()
        yield Future()
        pytest.fail("resumed after its cancellation")

    created.append(tasks.Task(coroutine()))
    first.set_result(None)
    assert created[0].future.done()


def test_task_that_raises_resolves_with_none(loop_and_clock):
    def coroutine():
        yield tasks.done(None)
        raise ValueError("broken")

    assert tasks.Task(coroutine()).future.result() is None


def test_wait_returns_the_result_or_times_out(loop_and_clock):
    loop, clock = loop_and_clock
    fut: Future = Future()
    got = []

    def coroutine(until):
        got.append((yield from tasks.wait(loop, fut, until)))

    tasks.Task(coroutine(loop.now() + 1.0))
    clock.advance(1.0)
    lh.run_pending(loop)
    assert got == [tasks.TIMED_OUT]
    fut.set_result("value")
    tasks.Task(coroutine(loop.now() + 1.0))
    assert got == [tasks.TIMED_OUT, "value"]


@pytest.mark.parametrize("end", ["timed out", "cancelled", "other is first"])
def test_a_future_that_goes_on_forgets_ended_waits(loop_and_clock, end):
    loop, clock = loop_and_clock
    awaited = Future()

    def wait_once():
        other = Future()
        if end == "other is first":
            task = tasks.Task(tasks.first_of(awaited, other))
            other.set_result(None)
        else:
            until = loop.now() + 0.01
            task = tasks.Task(tasks.wait(loop, awaited, until))
            if end == "cancelled":
                task.cancel()
            clock.advance(0.02)
            lh.run_pending(loop)
        assert task.future.done()

    wait_once()
    gc.collect()
    before = len(gc.get_objects())
    for _ in range(100):
        wait_once()
    gc.collect()
    assert len(gc.get_objects()) - before < 100


def test_a_timer_that_ran_forgets_its_callback(loop_and_clock):
    loop, _ = loop_and_clock

    class Callback:
        def __call__(self):
            pass

    callback = Callback()
    timer = loop.call_soon(callback)
    lh.run_pending(loop)
    kept = weakref.ref(callback)
    del callback
    assert timer and kept() is None


def test_mailbox_keeps_items_after_a_timeout(loop_and_clock):
    loop, clock = loop_and_clock
    mailbox = tasks.Mailbox()
    got = []

    def coroutine():
        first = yield from tasks.wait(loop, mailbox.ready(), loop.now() + 1.0)
        got.append(first)
        yield mailbox.ready()
        got.append(mailbox.pop())

    tasks.Task(coroutine())
    clock.advance(1.0)
    lh.run_pending(loop)
    mailbox.put("item")
    assert got == [tasks.TIMED_OUT, "item"]


def test_a_pause_is_noticed_before_what_waited_meanwhile_is_handled(
    loop_and_clock,
):
    loop, clock = loop_and_clock
    lh.run_pending(loop)
    order = []
    loop.add_resume_listener(lambda paused_s: order.append(paused_s))
    loop.call_later(1.0, lambda: order.append("timer"))
    loop.call_from_thread(lambda: order.append("socket"))
    clock.advance(3.0)
    lh.run_pending(loop)
    assert order == [3.0, "socket", "timer"]
    assert loop.resumed_at == loop.now()


def test_a_pause_between_two_callbacks_is_noticed(loop_and_clock):
    loop, clock = loop_and_clock
    lh.run_pending(loop)
    order = []
    loop.add_resume_listener(lambda paused_s: order.append("resumed"))
    loop.call_soon(lambda: clock.advance(2.0))
    loop.call_soon(lambda: order.append("next"))
    lh.run_pending(loop)
    assert order == ["resumed", "next"]


def test_short_delays_are_no_pause(loop_and_clock):
    loop, clock = loop_and_clock
    resumed = []
    loop.add_resume_listener(resumed.append)
    for _ in range(50):
        clock.advance(loops.PAUSE_S)
        lh.run_pending(loop)
    assert not resumed


def test_a_periodic_callback_that_raised_is_called_again():
    loop, clock = lh.new_loop()
    calls = []

    def raise_first():
        calls.append(loop.now())
        if len(calls) == 1:
            raise ValueError("broken")

    loop.call_every(1.0, raise_first)
    lh.advance(loop, clock, 3.5)
    assert len(calls) == 3


_STOPPED_PROGRAM = """
import selectors, socket, sys
from chervilarch import clocks
from chervilarch import loop as loops

loop = loops.Loop(clocks.SystemClock())
sock = socket.socket(fileno=int(sys.argv[1]))
ran = []
timer = loop.call_later(0.6, lambda: ran.append("timer"))

def receive(events):
    sock.recv(1)
    ran.append("data")
    timer.cancel()

loop.watch(sock, selectors.EVENT_READ, receive)
print("ready", flush=True)
while not ran:
    loop.run_once(1.0)
print(ran[0], flush=True)
"""


def test_a_timer_runs_after_what_had_arrived_while_the_process_was_stopped():
    own, other = socket.socketpair()
    fd = other.fileno()
    with subprocess.Popen(
        [sys.executable, "-c", _STOPPED_PROGRAM, str(fd)],
        pass_fds=[fd],
        stdout=subprocess.PIPE,
        text=True,
    ) as process:
        assert process.stdout.readline() == "ready\n"
        time.sleep(0.2)  # Until it waits.
        process.send_signal(signal.SIGSTOP)
        os.waitpid(process.pid, os.WUNTRACED)
        own.send(b"a")
        time.sleep(0.8)  # Until its timer is due.
        process.send_signal(signal.SIGCONT)
        assert process.stdout.readline() == "data\n"
    own.close()
    other.close()


def test_a_long_turn_is_logged(loop_and_clock, caplog):
    loop, clock = loop_and_clock
    loop.call_soon(lambda: clock.advance(loops.LONG_TURN_S / 2))
    lh.run_pending(loop)
    assert not caplog.records
    loop.call_soon(lambda: clock.advance(loops.LONG_TURN_S + 0.01))
    lh.run_pending(loop)
    assert [record.msg for record in caplog.records] == ["long turn"]
