"""Tests of calls for pieces: retries, hedges, deadlines and freed results."""

import json

import loop_helpers as lh
import pytest

from chervilarch import (
    avoidances,
    budgets,
    endpoint_limits,
    exchanges,
    piece_runner,
    pieces,
    routing_table,
    tasks,
    telemetry,
)
from chervilarch.platform import wire

WORKER_PROFILE = routing_table.WorkerProfile(1, 2, 4, 0.15, 0.03, 1e6, 4.0)


class FakeTransfer:
    """A call in flight that the test answers or breaks."""

    def __init__(self, exchange, on_done):
        self.exchange = exchange
        self.on_done = on_done

    def items(self):
        return json.loads(self.exchange.body)["items"]

    def reply(self, *answers, status=200, **headers):
        body = json.dumps({"items": list(answers)}).encode()
        fields = {name.replace("_", "-"): headers[name] for name in headers}
        self.on_done(exchanges.Reply(status, fields, body, 0.1))

    def succeed(self):
        self.reply(*({"handle": f"h{item['piece']}"} for item in self.items()))

    def fail(self, kind=exchanges.FailureKind.BROKEN):
        self.on_done(exchanges.TransferFailure(kind, "cut", True))


class FakeClient:
    """Records calls; those for pieces stay open, those that free succeed."""

    def __init__(self):
        self.started = []
        self.freed = []

    def start(self, exchange, on_done):
        self.started.append(FakeTransfer(exchange, on_done))

    def call(self, exchange):
        self.freed += json.loads(exchange.body)["handles"]
        return tasks.done(exchanges.Reply(200, {}, b"", 0.0))


class World:
    """A `PieceRunner` with a fake client and one pool of two endpoints."""

    def __init__(self, share=1.0, fixed=100.0):
        self.loop, self.clock = lh.new_loop()
        self.client = FakeClient()
        self.leaving = []
        self.runner = piece_runner.PieceRunner(
            self.loop,
            self.client,
            wire.HttpWire(),
            budgets.PoolBudgets(share, fixed, 10.0),
            telemetry.Telemetry(),
            lambda name, incarnation: None,
            lambda name, incarnation: self.leaving.append((name, incarnation)),
            endpoint_limits.EndpointLimits(self.loop),
            lh.new_avoidances(self.clock),
        )
        self.runner.set_pools({"p": routing_table.Pool("p", WORKER_PROFILE)})
        self.runner.set_endpoints(
            {"p": {name: lh.listing(name) for name in ("e1", "e2")}}
        )

    def submit(self, count=2, deadline_s=8.0):
        now = self.loop.now()
        return self.runner.submit(
            pieces.Job(
                "r1", 0, "p", count, "k", (), now + 1, now + deadline_s, 1, 10
            )
        )


@pytest.fixture
def world():
    return World()


def name_of(call):
    """Returns the id of the worker that a call was sent to."""
    return call.exchange.headers[1].removeprefix("Expect-Instance: ")


def test_results_are_in_the_order_of_the_pieces(world):
    pending = world.submit(3)
    world.client.started[0].succeed()
    handles = [result.handle for result in pending.future.result()]
    assert handles == ["h0", "h1", "h2"]


def test_a_worker_whose_reply_says_it_leaves_is_reported(world):
    world.submit(1)
    call = world.client.started[0]
    call.reply({"handle": "h0"}, server_leaving="1")
    assert [name for name, _ in world.leaving] == [
        call.exchange.headers[1].removeprefix("Expect-Instance: ")
    ]


def test_a_worker_gets_no_calls_within_the_pause_that_it_asks_for(world):
    world.runner.set_endpoints({"p": {"e1": lh.listing("e1")}})
    world.submit(1)
    world.client.started[0].reply(status=503, retry_after="3", not_executed="1")
    lh.advance(world.loop, world.clock, 2.9)
    assert len(world.client.started) == 1
    lh.advance(world.loop, world.clock, 0.2)
    assert len(world.client.started) == 2


def test_a_job_is_refused_at_once_if_all_workers_pause_for_longer(world):
    world.runner.set_endpoints({"p": {"e1": lh.listing("e1")}})
    world.submit(1)
    world.client.started[0].reply(
        status=503, retry_after="30", not_executed="1"
    )
    refused = world.submit(1)
    assert refused.future.done() and refused.is_ended


def test_a_worker_that_asked_for_a_pause_is_not_asked_to_free(world):
    world.runner.set_endpoints({"p": {"e1": lh.listing("e1")}})
    done = world.submit(1)
    world.client.started[0].succeed()
    world.submit(1)
    world.client.started[1].reply(status=503, retry_after="3", not_executed="1")
    world.runner.free(done.future.result())
    lh.advance(world.loop, world.clock, 1.0)
    assert world.client.freed == []


def fail_without_end(world, call):
    """Breaks a call off some time after it was sent."""
    lh.advance(world.loop, world.clock, 0.1)
    call.fail(exchanges.FailureKind.ENDLESS)


# Failed: the worker was called again after 0.4 s.
def test_a_worker_whose_reply_has_no_end_gets_no_calls_for_a_while(world):
    world.runner.set_endpoints({"p": {"e1": lh.listing("e1")}})
    world.submit(1)
    fail_without_end(world, world.client.started[0])
    lh.advance(world.loop, world.clock, avoidances.FIRST_AVOIDANCE_S - 0.1)
    assert len(world.client.started) == 1
    lh.advance(world.loop, world.clock, 0.7)
    assert len(world.client.started) == 2
    fail_without_end(world, world.client.started[1])
    lh.advance(world.loop, world.clock, 2 * avoidances.FIRST_AVOIDANCE_S - 0.1)
    assert len(world.client.started) == 2


# Failed: the worker got as many calls at a time as any.
def test_a_worker_whose_reply_had_no_end_gets_one_call_until_it_answers(world):
    world.runner.set_endpoints({"p": {"e1": lh.listing("e1")}})
    profile = WORKER_PROFILE._replace(batch=1, max_calls=3)
    world.runner.set_pools({"p": routing_table.Pool("p", profile)})
    world.submit(1)
    fail_without_end(world, world.client.started[0])
    for _ in range(5):
        world.submit(1)
    lh.advance(world.loop, world.clock, 1.6)
    assert len(world.client.started) == 2
    world.client.started[1].succeed()
    assert len(world.client.started) == 5


# Failed: the coordinator called it.
def test_a_worker_that_another_host_saw_sending_without_end_is_not_called(
    world,
):
    reply = avoidances.EndlessReply("e1", 1, 0, world.loop.now())
    world.runner.avoided.merge([reply])
    for _ in range(4):
        world.submit(1)
    lh.advance(world.loop, world.clock, 0.5)
    assert {name_of(call) for call in world.client.started} == {"e2"}


def test_a_job_is_refused_at_once_if_all_workers_are_avoided_for_longer(world):
    for name in ("e1", "e2"):
        reply = avoidances.EndlessReply(name, 1, 4, world.loop.now())
        world.runner.avoided.merge([reply])
    assert world.submit(1).future.done()
    assert not world.client.started


def test_pieces_whose_reply_has_no_end_are_made_by_another_worker(world):
    pending = world.submit(1)
    first = world.client.started[0]
    fail_without_end(world, first)
    second = world.client.started[1]
    assert name_of(first) != name_of(second)
    second.succeed()
    assert len(pending.future.result()) == 1


# A broken or garbled answer is an ordinary failure.
@pytest.mark.parametrize("kind", ["broken", "timed_out", "too_large"])
def test_a_worker_that_fails_otherwise_is_not_avoided(world, kind):
    world.submit(1)
    world.client.started[0].fail(exchanges.FailureKind(kind))
    assert not world.runner.avoided.is_any()


def test_pieces_of_a_broken_call_are_retried(world):
    pending = world.submit()
    world.client.started[0].fail()
    assert len(world.client.started) == 2
    urls = {transfer.exchange.url for transfer in world.client.started}
    world.client.started[1].succeed()
    assert len(pending.future.result()) == 2 and len(urls) == 1


def test_a_piece_whose_retry_is_denied_is_retried_once_the_budget_allows():
    world = World(share=0.0, fixed=2.0)
    pending = world.submit(1)
    sent = 0
    while sent < len(world.client.started):
        world.client.started[sent].reply({"reason": "room"})
        sent += 1
        lh.advance(world.loop, world.clock, 0.3)
    assert not pending.is_ended
    lh.advance(world.loop, world.clock, 6.0)
    assert len(world.client.started) > sent
    world.client.started[-1].succeed()
    assert len(pending.future.result()) == 1


def test_an_overdue_call_is_hedged_and_the_first_result_wins(world):
    pending = world.submit(1)
    lh.advance(world.loop, world.clock, 0.6)
    assert len(world.client.started) == 2
    world.client.started[1].succeed()
    assert len(pending.future.result()) == 1
    world.client.started[0].reply({"handle": "late"})
    lh.advance(world.loop, world.clock, 0.1)
    assert world.client.freed == ["late"]


def test_pieces_of_an_overdue_call_that_fails_are_retried():
    world = World(share=0.0, fixed=0.0)
    pending = world.submit(1)
    lh.advance(world.loop, world.clock, 0.6)
    assert len(world.client.started) == 1
    world.runner._budgets = budgets.PoolBudgets(0.0, 100.0, 10.0)
    world.client.started[0].fail()
    lh.advance(world.loop, world.clock, 1.0)
    world.client.started[-1].succeed()
    assert len(pending.future.result()) == 1


def test_an_overdue_call_makes_its_worker_suspect(world):
    world.submit(1)
    lh.advance(world.loop, world.clock, 0.6)
    queue = world.runner.queue("p")
    suspects = [worker.is_suspect for worker in queue.workers.values()]
    assert suspects.count(True) == 1


def test_a_job_fails_at_its_deadline_and_its_results_are_freed(world):
    pending = world.submit(5, deadline_s=2.0)
    world.client.started[0].succeed()
    lh.advance(world.loop, world.clock, 2.2)
    assert pending.future.result().reason == pieces.PAST_DEADLINE
    lh.advance(world.loop, world.clock, 0.1)
    assert sorted(world.client.freed) == ["h0", "h1", "h2", "h3"]


def test_a_job_past_its_deadline_is_logged_with_its_wait_and_the_backlog(
    world, caplog
):
    caplog.set_level("INFO")
    world.submit(12)
    lh.advance(world.loop, world.clock, 0.2)
    world.submit(2, deadline_s=0.4)
    lh.advance(world.loop, world.clock, 0.5)
    lines = [r for r in caplog.records if "out of time" in r.getMessage()]
    assert lines[0].fields["waited_ms"] >= 400
    assert lines[0].fields["waiting"] >= 4


def test_the_results_of_a_cancelled_job_are_freed(world):
    pending = world.submit(5)
    world.client.started[0].succeed()
    world.runner.cancel(pending)
    lh.advance(world.loop, world.clock, 0.1)
    assert set(world.client.freed) == {"h0", "h1", "h2", "h3"}


def test_a_job_fails_at_once_without_endpoints(world):
    world.runner.set_endpoints({})
    assert world.submit().future.result().reason == pieces.NO_ENDPOINT


@pytest.mark.parametrize("fails", [False, True])
def test_a_worker_with_a_limit_is_called_and_freed_no_more_often(world, fails):
    workers = world.runner.queue("p").workers.values()
    for worker in workers:
        world.runner.limits.record_answer(worker.run(), 1.0)
    headers = {"server-limit": "1"}
    results = []
    answered = 0
    for _ in range(30):
        pending = world.submit(1)
        for transfer in world.client.started[answered:]:
            items = [{"handle": "h"} for _ in transfer.items()]
            # Of a failing worker each second reply can't be used.
            is_bad = fails and answered % 4 > 1
            body = json.dumps({"items": [] if is_bad else items}).encode()
            transfer.on_done(exchanges.Reply(200, headers, body, 0.1))
            answered += 1
        result = pending.future.result() if pending.is_ended else []
        results += [] if isinstance(result, pieces.JobFailure) else result
        lh.advance(world.loop, world.clock, 0.1)
    world.runner.free(results)
    lh.advance(world.loop, world.clock, 0.1)
    # One at once, then one a second, for 3 s.
    assert len(world.client.started) <= 4 * len(workers)
    assert fails or len(world.client.started) >= 3 * len(workers)
    assert world.client.freed == []
