"""The graph of a request's stages, and the desk that admits orders."""

import random

import loop_helpers as lh
import pytest

from chervilarch import (
    pieces,
    placement,
    stage_graph,
    stage_scheduler,
    tasks,
)

MADE_BEFORE = pieces.PieceResult("h", "e", "x", "dc1", "p")


class FakeRunner:
    """Takes jobs; the test ends them."""

    def __init__(self):
        self.jobs: dict[int, list[pieces.PendingJob]] = {}
        self.freed: list[str] = []
        self.adopted: list[str] = []
        self.progress: list[stage_graph.StageResults] = []
        self.queues = {
            "p": lh.piece_queue_of("e1"),
            "q": lh.piece_queue_of("e2"),
        }
        self.on_dispatched = None

    def queue(self, pool):
        return self.queues.get(pool)

    def submit(self, new):
        pending = pieces.PendingJob(new)
        self.jobs.setdefault(new.stage, []).append(pending)
        return pending

    def cancel(self, pending):
        pending.end(pieces.PieceFailure(pieces.FAILED))

    def adopt(self, results, result_bytes):
        self.adopted += [result.handle for result in results]

    def free(self, results):
        self.freed += [result.handle for result in results]

    def make(self, stage):
        """Ends the newest job of a stage with results."""
        pending = self.jobs[stage][-1]
        times = len(self.jobs[stage])
        for piece in range(pending.job.count):
            handle = f"s{stage}.{piece}.{times}"
            pending.add_result(
                piece, pieces.PieceResult(handle, "e1", "x", "dc1", "p")
            )


def need(pool, after=(), count=1):
    return stage_graph.StageSpec(pool, after, count, 10)


def graph(*stages, objective_at=100.0, deadline_at=200.0, name="r1"):
    return stage_graph.StageGraph(
        name, "key", 1, objective_at, deadline_at, stages
    )


def start(runner, what):
    return tasks.Task(
        stage_graph.GraphRunner(runner, what, runner.progress.append).run()
    )


def test_a_chain_runs_each_stage_once_and_frees_what_was_used():
    runner = FakeRunner()
    task = start(runner, graph(need("p"), need("q", (0,), 2), need("p", (1,))))
    for stage in range(3):
        assert list(runner.jobs) == list(range(stage + 1))
        runner.make(stage)
    assert [result.handle for result in task.future.result()] == ["s2.0.1"]
    assert runner.freed == ["s0.0.1", "s1.0.1", "s1.1.1"]
    assert all(len(jobs) == 1 for jobs in runner.jobs.values())
    assert runner.jobs[1][0].job.inputs == ("s0.0.1",)
    assert runner.jobs[2][0].job.inputs == ("s1.0.1", "s1.1.1")


def test_a_final_stage_waits_for_the_longest_chain():
    runner = FakeRunner()
    task = start(runner, graph(need("p"), need("p"), need("q", (1,))))
    assert list(runner.jobs) == [1]
    runner.make(1)
    assert set(runner.jobs) == {0, 1, 2}
    runner.make(2)
    runner.make(0)
    handles = [result.handle for result in task.future.result()]
    assert handles == ["s0.0.1", "s2.0.1"]


def test_a_stage_left_out_is_no_input():
    runner = FakeRunner()
    task = start(runner, graph(need("p", count=0), need("q", (0,))))
    assert runner.jobs[1][0].job.inputs == ()
    runner.make(1)
    assert len(task.future.result()) == 1


def test_lost_inputs_are_made_again_but_not_for_ever():
    runner = FakeRunner()
    task = start(runner, graph(need("p"), need("q", (0,))))
    for _ in range(3):
        runner.make(0)
        runner.jobs[1][-1].end(pieces.PieceFailure(pieces.INPUT_GONE))
    assert len(runner.jobs[0]) == 3
    assert task.future.result().reason == pieces.INPUT_GONE


def test_a_cancelled_order_frees_what_was_made():
    runner = FakeRunner()
    task = start(runner, graph(need("p"), need("p")))
    runner.make(0)
    task.cancel()
    assert runner.freed == ["s0.0.1"]
    assert runner.queues["p"].upcoming == 0


def test_an_order_goes_on_with_what_another_host_had_made():
    runner = FakeRunner()
    whole = graph(need("p"), need("q", (0,), 2), need("p", (1,)))
    former = start(runner, whole)
    runner.make(0)
    runner.make(1)
    held = runner.progress[-1]
    assert [number for number, _ in held] == [1]
    other = FakeRunner()
    moved = whole._replace(made=held)
    assert moved.unmade() == [2] and whole.unmade() == [0, 1, 2]
    task = start(other, moved)
    assert other.adopted == ["s1.0.1", "s1.1.1"] and list(other.jobs) == [2]
    other.make(2)
    assert [result.handle for result in task.future.result()] == ["s2.0.1"]
    assert other.freed == ["s1.0.1", "s1.1.1"]
    former.cancel()


def test_adopted_results_that_are_gone_are_made_again():
    runner = FakeRunner()
    result = pieces.PieceResult("old", "e1", "x", "dc1", "p")
    what = graph(need("p"), need("q", (0,)))._replace(made=((0, (result,)),))
    task = start(runner, what)
    assert list(runner.jobs) == [1]
    runner.jobs[1][-1].end(pieces.PieceFailure(pieces.INPUT_GONE))
    assert set(runner.jobs) == {0, 1}
    task.cancel()


def test_an_order_that_moved_on_leaves_its_results(scheduler):
    made, runner, loop, _ = scheduler
    now = loop.now()
    run = made.run(
        graph(
            need("p"),
            need("q", (0,)),
            objective_at=now + 100,
            deadline_at=now + 200,
        )
    )
    runner.make(0)
    assert [number for number, _ in run.progress] == [0]
    made.leave(run)
    assert runner.freed == []


@pytest.fixture
def scheduler():
    loop, clock = lh.new_loop()
    runner = FakeRunner()
    engines = placement.Placement("dc1", clock, random.Random(1))
    listed = {name: lh.listing(name, "s") for name in ("e8", "e9")}
    engines.set_endpoints({"s": listed})
    yield (
        stage_scheduler.StageScheduler(loop, runner, engines),
        runner,
        loop,
        clock,
    )
    loop.close()


def run_due(service, loop, objective_s, deadline_s):
    """Has an order of one stage run that is due after so many seconds."""
    now = loop.now()
    due = {"objective_at": now + objective_s, "deadline_at": now + deadline_s}
    return service.run(graph(need("p"), **due))


def test_an_order_that_cannot_be_on_time_is_held_until_there_is_room(scheduler):
    service, runner, loop, _ = scheduler
    runner.queues["p"].upcoming = 40
    run = run_due(service, loop, 1.0, 60.0)
    assert runner.jobs == {}
    lh.settle(loop)
    assert runner.jobs == {}
    runner.queues["p"].upcoming = 0
    runner.on_dispatched()
    lh.settle(loop)
    runner.make(0)
    assert len(run.future.result().results) == 1


def test_an_order_is_held_for_a_moment_only(scheduler):
    service, runner, loop, clock = scheduler
    runner.queues["p"].upcoming = 40
    run = run_due(service, loop, 1.0, 60.0)
    lh.settle(loop)
    assert not run.future.done()
    lh.advance(loop, clock, 0.3)
    failure = run.future.result()
    assert failure.reason == pieces.OVERLOADED
    # Callers honour up to a third of the time that they have left.
    assert 60.0 / 4 < failure.retry_after_s < 59.0 / 3


@pytest.mark.parametrize(
    "begun", [{"is_begun": True}, {"made": ((0, (MADE_BEFORE,)),)}]
)
def test_what_was_begun_is_not_refused_for_being_late(scheduler, begun):
    service, runner, loop, clock = scheduler
    runner.queues["p"].upcoming = 40
    now = loop.now()
    what = graph(
        need("p"),
        need("p", after=(0,)),
        objective_at=now - 1.0,
        deadline_at=now + 60.0,
    )
    run = service.run(what._replace(**begun))
    lh.advance(loop, clock, 0.5)
    assert not run.future.done() and len(runner.jobs) == 1
    service.cancel(run)


def test_a_hopeless_order_is_refused_at_once_with_a_time_to_come_back(
    scheduler,
):
    service, runner, loop, _ = scheduler
    runner.queues["p"].upcoming = 400
    run = run_due(service, loop, 1.0, 2.0)
    failure = run.future.result()
    assert failure.reason == pieces.OVERLOADED
    assert failure.retry_after_s > 0


def test_prompts_of_all_orders_are_spread_over_the_engines(scheduler):
    service, runner, loop, _ = scheduler
    prompt = stage_graph.Prompt("s", b"same", 6000, 1000)
    engines = []
    for number in range(10):
        now = loop.now()
        what = graph(need("p"), objective_at=now + 50, deadline_at=now + 60)
        run = service.run(what._replace(prompt=prompt))
        runner.jobs[0][-1].add_result(
            0, pieces.PieceResult(f"h{number}", "e1", "x", "dc1", "p")
        )
        engines.append(run.future.result().engine)
    assert set(engines) == {"e8", "e9"}
    results = run.future.result().results
    service.free(results)
    assert runner.freed == ["h9"]
