"""Tests of stage graphs and of the scheduler that runs them."""

import random

import loop_helpers as lh
import pytest

from chervilarch import (
    endpoint_limits,
    endpoint_state,
    pieces,
    placement,
    stage_graph,
    stage_scheduler,
    tasks,
    telemetry,
)

OLD_RESULT = pieces.PieceResult("h", "e", "x", "dc1", "p")


class FakeRunner:
    """Records jobs; the test completes them."""

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
        self.limits = endpoint_limits.EndpointLimits(None)
        self.meters = telemetry.Telemetry()

    def queue(self, pool):
        return self.queues.get(pool)

    def submit(self, job):
        pending = pieces.PendingJob(job)
        self.jobs.setdefault(job.stage, []).append(pending)
        return pending

    def cancel(self, pending):
        pending.end(pieces.JobFailure(pieces.FAILED))

    def count_results(self, results, result_bytes):
        self.adopted += [result.handle for result in results]

    def free(self, results):
        self.freed += [result.handle for result in results]

    def complete(self, stage):
        """Completes the newest job of a stage with results."""
        pending = self.jobs[stage][-1]
        times = len(self.jobs[stage])
        for piece in range(pending.job.count):
            handle = f"s{stage}.{piece}.{times}"
            pending.add_result(
                piece, pieces.PieceResult(handle, "e1", "x", "dc1", "p")
            )


def spec(pool, after=(), count=1):
    return stage_graph.StageSpec(pool, after, count, 10)


def build_graph(*stages, objective_at=100.0, deadline_at=200.0, name="r1"):
    return stage_graph.StageGraph(
        name, "key", 1, objective_at, deadline_at, stages
    )


def start(runner, graph):
    return tasks.Task(
        stage_graph.GraphRunner(runner, graph, runner.progress.append).run()
    )


def test_a_chain_runs_each_stage_once_and_frees_used_results():
    runner = FakeRunner()
    task = start(
        runner, build_graph(spec("p"), spec("q", (0,), 2), spec("p", (1,)))
    )
    for stage in range(3):
        assert list(runner.jobs) == list(range(stage + 1))
        runner.complete(stage)
    assert [result.handle for result in task.future.result()] == ["s2.0.1"]
    assert runner.freed == ["s0.0.1", "s1.0.1", "s1.1.1"]
    assert all(len(jobs) == 1 for jobs in runner.jobs.values())
    assert runner.jobs[1][0].job.inputs == ("s0.0.1",)
    assert runner.jobs[2][0].job.inputs == ("s1.0.1", "s1.1.1")


def test_a_final_stage_waits_for_the_longest_chain():
    runner = FakeRunner()
    task = start(runner, build_graph(spec("p"), spec("p"), spec("q", (1,))))
    assert list(runner.jobs) == [1]
    runner.complete(1)
    assert set(runner.jobs) == {0, 1, 2}
    runner.complete(2)
    runner.complete(0)
    handles = [result.handle for result in task.future.result()]
    assert handles == ["s0.0.1", "s2.0.1"]


def test_a_skipped_stage_is_no_input():
    runner = FakeRunner()
    task = start(runner, build_graph(spec("p", count=0), spec("q", (0,))))
    assert runner.jobs[1][0].job.inputs == ()
    runner.complete(1)
    assert len(task.future.result()) == 1


def test_reruns_for_lost_inputs_are_limited():
    runner = FakeRunner()
    task = start(runner, build_graph(spec("p"), spec("q", (0,))))
    for _ in range(3):
        runner.complete(0)
        runner.jobs[1][-1].end(pieces.JobFailure(pieces.INPUT_GONE))
    assert len(runner.jobs[0]) == 3
    assert task.future.result().reason == pieces.INPUT_GONE


def test_a_cancelled_graph_frees_its_results():
    runner = FakeRunner()
    task = start(runner, build_graph(spec("p"), spec("p")))
    runner.complete(0)
    task.cancel()
    assert runner.freed == ["s0.0.1"]
    assert runner.queues["p"].upcoming() == 0


def test_a_graph_continues_with_results_that_another_host_had_made():
    runner = FakeRunner()
    full = build_graph(spec("p"), spec("q", (0,), 2), spec("p", (1,)))
    old_task = start(runner, full)
    runner.complete(0)
    runner.complete(1)
    progress = runner.progress[-1]
    assert [number for number, _ in progress] == [1]
    new_runner = FakeRunner()
    remaining = full._replace(completed=progress)
    assert remaining.unfinished_stages() == [
        2
    ] and full.unfinished_stages() == [0, 1, 2]
    task = start(new_runner, remaining)
    assert new_runner.adopted == ["s1.0.1", "s1.1.1"] and list(
        new_runner.jobs
    ) == [2]
    new_runner.complete(2)
    assert [result.handle for result in task.future.result()] == ["s2.0.1"]
    assert new_runner.freed == ["s1.0.1", "s1.1.1"]
    old_task.cancel()


def test_stages_of_lost_adopted_results_are_rerun():
    runner = FakeRunner()
    result = pieces.PieceResult("old", "e1", "x", "dc1", "p")
    graph = build_graph(spec("p"), spec("q", (0,)))._replace(
        completed=((0, (result,)),)
    )
    task = start(runner, graph)
    assert list(runner.jobs) == [1]
    runner.jobs[1][-1].end(pieces.JobFailure(pieces.INPUT_GONE))
    assert set(runner.jobs) == {0, 1}
    task.cancel()


def test_a_graph_that_another_host_takes_over_keeps_its_results(env):
    scheduler, runner, loop, _ = env
    now = loop.now()
    run = scheduler.run(
        build_graph(
            spec("p"),
            spec("q", (0,)),
            objective_at=now + 100,
            deadline_at=now + 200,
        )
    )
    runner.complete(0)
    assert [number for number, _ in run.completed] == [0]
    scheduler.hand_over(run)
    assert runner.freed == []


@pytest.fixture
def env():
    loop, clock = lh.new_loop()
    runner = FakeRunner()
    engines = placement.Placement(
        "dc1", clock, random.Random(1), lh.new_avoidances(clock)
    )
    listed = {name: lh.listing(name, "s") for name in ("e8", "e9")}
    engines.set_endpoints({"s": listed})
    yield (
        stage_scheduler.StageScheduler(loop, runner, engines),
        runner,
        loop,
        clock,
    )
    loop.close()


def submit(scheduler, loop, objective_s, deadline_s):
    """Submits a graph of one stage with an objective and a deadline."""
    now = loop.now()
    times = {"objective_at": now + objective_s, "deadline_at": now + deadline_s}
    return scheduler.run(build_graph(spec("p"), **times))


def test_a_late_graph_is_deferred_until_there_is_capacity(env):
    scheduler, runner, loop, _ = env
    # Pieces of other admitted graphs: so many that the graph misses its
    # objective, but not its deadline.
    runner.queues["p"].add_upcoming(1, 40)
    run = submit(scheduler, loop, 1.0, 60.0)
    assert runner.jobs == {}
    lh.run_pending(loop)
    assert runner.jobs == {}
    runner.queues["p"].add_upcoming(1, -40)
    runner.on_dispatched()
    lh.run_pending(loop)
    runner.complete(0)
    assert len(run.future.result().results) == 1


def test_a_deferred_graph_is_refused_after_a_short_time(env):
    scheduler, runner, loop, clock = env
    runner.queues["p"].add_upcoming(1, 40)
    run = submit(scheduler, loop, 1.0, 60.0)
    lh.run_pending(loop)
    assert not run.future.done()
    lh.advance(loop, clock, 0.3)
    failure = run.future.result()
    assert failure.reason == pieces.OVERLOADED
    # A long delay lets the load peak pass. Callers accept a delay of up to a
    # third of the time that they have left, which is about 59.7 s.
    assert 60.0 / 4 < failure.retry_after_s < 59.0 / 3


@pytest.mark.parametrize(
    "started",
    [{"is_partly_answered": True}, {"completed": ((0, (OLD_RESULT,)),)}],
)
def test_a_graph_with_results_or_part_of_its_answer_is_not_refused_as_late(
    env, started
):
    scheduler, runner, loop, clock = env
    runner.queues["p"].add_upcoming(1, 40)
    now = loop.now()
    graph = build_graph(
        spec("p"),
        spec("p", after=(0,)),
        objective_at=now - 1.0,
        deadline_at=now + 60.0,
    )
    run = scheduler.run(graph._replace(**started))
    lh.advance(loop, clock, 0.5)
    assert not run.future.done() and len(runner.jobs) == 1
    scheduler.cancel(run)


def test_a_hopeless_graph_is_refused_at_once_with_a_retry_time(env):
    scheduler, runner, loop, _ = env
    # Pieces of other admitted graphs: so many that it misses its deadline.
    runner.queues["p"].add_upcoming(1, 400)
    run = submit(scheduler, loop, 1.0, 2.0)
    failure = run.future.result()
    assert failure.reason == pieces.OVERLOADED
    assert failure.retry_after_s > 0


def propose_engines(env):
    """Runs ten graphs with the same prompt; returns the engines and a run."""
    scheduler, runner, loop, _ = env
    prompt = stage_graph.PromptSize("s", b"same", 6000, 1000)
    engines = []
    for number in range(10):
        now = loop.now()
        graph = build_graph(
            spec("p"), objective_at=now + 50, deadline_at=now + 60
        )
        run = scheduler.run(graph._replace(prompt=prompt))
        runner.jobs[0][-1].add_result(
            0, pieces.PieceResult(f"h{number}", "e1", "x", "dc1", "p")
        )
        engines.append(run.future.result().proposed_engine)
    return engines, run


def test_prompts_of_all_graphs_are_spread_over_the_engines(env):
    scheduler, runner, _, _ = env
    engines, run = propose_engines(env)
    assert set(engines) == {"e8", "e9"}
    results = run.future.result().results
    scheduler.free(results)
    assert runner.freed == ["h9"]


def test_an_engine_with_a_limit_is_proposed_no_more_often(env):
    _, runner, loop, _ = env
    limited = endpoint_state.EndpointRun("e8", 1)
    runner.limits = endpoint_limits.EndpointLimits(loop)
    runner.limits.record_answer(limited, 1.0)
    engines, _ = propose_engines(env)
    assert engines.count("e8") == 1 and engines.count("e9") == 9
