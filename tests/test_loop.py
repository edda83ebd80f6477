"""The event loop and tasks over futures."""

from concurrent.futures import Future

import loop_helpers as lh
import pytest

from chervilarch import tasks


@pytest.fixture
def world():
    loop, clock = lh.new_loop()
    yield loop, clock
    loop.close()


def test_timers_run_in_order_and_only_when_due(world):
    loop, clock = world
    ran = []
    loop.call_later(2.0, lambda: ran.append("late"))
    loop.call_later(1.0, lambda: ran.append("early"))
    loop.call_later(1.5, lambda: ran.append("cancelled")).cancel()
    lh.settle(loop)
    assert ran == []
    clock.advance(1.0)
    lh.settle(loop)
    assert ran == ["early"]
    clock.advance(1.0)
    lh.settle(loop)
    assert ran == ["early", "late"]


def test_a_task_waits_for_futures_and_returns(world):
    fut: Future = Future()

    def steps():
        got = yield fut
        return got + 1

    task = tasks.Task(steps())
    assert not task.future.done()
    fut.set_result(1)
    assert task.future.result() == 2


def test_a_cancelled_task_cleans_up_and_ignores_its_future(world):
    fut: Future = Future()
    ended = []

    def steps():
        try:
            yield fut
        finally:
            ended.append(True)

    task = tasks.Task(steps())
    task.cancel()
    assert ended == [True] and task.future.result() is None
    fut.set_result(1)


def test_a_task_may_cancel_itself_while_it_runs(world):
    holder = []
    first: Future = Future()

    def steps():
        yield first
        holder[0].cancel()
        yield Future()
        pytest.fail("resumed after its cancellation")

    holder.append(tasks.Task(steps()))
    first.set_result(None)
    assert holder[0].future.done()


def test_a_broken_task_ends_with_none(world):
    def steps():
        yield tasks.done(None)
        raise ValueError("broken")

    assert tasks.Task(steps()).future.result() is None


def test_wait_returns_the_result_or_times_out(world):
    loop, clock = world
    fut: Future = Future()
    got = []

    def steps(until):
        got.append((yield from tasks.wait(loop, fut, until)))

    tasks.Task(steps(loop.now() + 1.0))
    clock.advance(1.0)
    lh.settle(loop)
    assert got == [tasks.TIMED_OUT]
    fut.set_result("value")
    tasks.Task(steps(loop.now() + 1.0))
    assert got == [tasks.TIMED_OUT, "value"]


def test_a_mailbox_loses_nothing_after_a_time_out(world):
    loop, clock = world
    mail = tasks.Mailbox()
    got = []

    def steps():
        first = yield from tasks.wait(loop, mail.ready(), loop.now() + 1.0)
        got.append(first)
        yield mail.ready()
        got.append(mail.take())

    tasks.Task(steps())
    clock.advance(1.0)
    lh.settle(loop)
    mail.put("item")
    assert got == [tasks.TIMED_OUT, "item"]
