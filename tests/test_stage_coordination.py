"""Stage graphs submitted between hosts, over real datagrams on loopback."""

import loop_helpers as lh
import pytest

from chervilarch import (
    messages,
    pieces,
    stage_coordination,
    stage_graph,
    stage_messages,
    stage_scheduler,
    tasks,
)

KEY = b"k" * 16
RESULT = pieces.PieceResult("h1", "e1", "10.0.0.1:80", "dc1", "p")

PROMPT = stage_graph.PromptSize("s", b"a,b", 600, 90)
MADE = stage_graph.GraphResult((RESULT,), "e9")


def graph(name="r1", now=0.0):
    first = stage_graph.StageSpec("p", (), 2, 100)
    after = stage_graph.StageSpec("q", (0,), 1, 100)
    return stage_graph.StageGraph(
        name, "key", 1, now + 2.0, now + 8.0, (first, after), "dc1", PROMPT
    )


class FakeScheduler:
    """Records the graphs it is given; the test resolves their futures."""

    def __init__(self):
        self.runs: list[stage_scheduler.ScheduledGraph] = []
        self.cancelled: list[str] = []
        self.freed: list[str] = []
        self.handed_over: list[str] = []

    def run(self, submitted):
        run = stage_scheduler.ScheduledGraph(submitted)
        self.runs.append(run)
        return run

    def cancel(self, run):
        self.cancelled.append(run.graph.request_id)

    def hand_over(self, run):
        self.handed_over.append(run.graph.request_id)

    def free(self, results):
        self.freed += [result.handle for result in results]


class Host:
    """A coordinator with a fake scheduler."""

    def __init__(self, loop, name):
        self.scheduler = FakeScheduler()
        self.peers: list[stage_coordination.Peer] = []
        own = stage_coordination.Peer(name, ("127.0.0.1", 0))
        self.coordinator = stage_coordination.StageCoordinator(
            loop, self.scheduler, own, lambda: self.peers, KEY
        )
        address = self.coordinator._socket.address
        self.peer = stage_coordination.Peer(name, address)


@pytest.fixture
def world():
    loop, clock = lh.new_loop()
    hosts = [Host(loop, name) for name in ("n1", "n2", "n3")]
    by_priority = sorted(
        hosts,
        key=lambda host: stage_coordination.election_priority(host.peer),
        reverse=True,
    )
    for host in hosts:
        host.peers = [other.peer for other in hosts if other is not host]
    yield loop, clock, by_priority
    loop.close()


def test_all_hosts_submit_to_the_same_coordinator(world):
    loop, _, (best, second, third) = world
    submissions = [
        host.coordinator.submit(graph(host.peer.name, loop.now()))
        for host in (best, second, third)
    ]
    lh.run_until(loop, lambda: len(best.scheduler.runs) == 3)
    for run in best.scheduler.runs:
        run.future.set_result(MADE)
    lh.run_until(loop, lambda: all(s.future.done() for s in submissions))
    assert [s.future.result() for s in submissions] == [MADE] * 3


def test_a_failure_is_returned_with_its_reason(world):
    loop, _, (best, second, _) = world
    submission = second.coordinator.submit(graph(now=loop.now()))
    lh.run_until(loop, lambda: best.scheduler.runs)
    failure = pieces.JobFailure(pieces.OVERLOADED, 0.5)
    best.scheduler.runs[0].future.set_result(failure)
    lh.run_until(loop, submission.future.done)
    assert submission.future.result() == failure


def test_a_repeated_submission_runs_once(world):
    loop, clock, (best, second, _) = world
    second.coordinator.submit(graph(now=loop.now()))
    lh.run_until(loop, lambda: best.scheduler.runs)
    for _ in range(5):
        lh.advance(loop, clock, 0.4)
    assert len(best.scheduler.runs) == 1 and best.scheduler.cancelled == []


def test_a_silent_coordinator_is_avoided(world):
    loop, clock, (best, second, third) = world
    best.coordinator._socket.close()
    submission = third.coordinator.submit(graph(now=loop.now()))
    lh.advance(loop, clock, 0.5)
    lh.run_until(loop, lambda: second.scheduler.runs)
    second.scheduler.runs[0].future.set_result(MADE)
    lh.run_until(loop, submission.future.done)


def test_a_coordinator_that_falls_silent_after_accepting_is_avoided(world):
    loop, clock, (best, second, third) = world
    third.coordinator.submit(graph(now=loop.now()))
    lh.run_until(loop, lambda: best.scheduler.runs)
    lh.run_pending(loop, 10)
    best.coordinator._socket.close()
    lh.advance(loop, clock, 3.0)
    lh.run_until(loop, lambda: second.scheduler.runs)


def test_a_cancelled_graph_is_stopped_at_its_coordinator(world):
    loop, _, (best, second, _) = world
    submission = second.coordinator.submit(graph("gone", loop.now()))
    lh.run_until(loop, lambda: best.scheduler.runs)
    second.coordinator.cancel(submission)
    lh.run_until(loop, lambda: best.scheduler.cancelled == ["gone"])


def test_a_remote_run_whose_submitter_is_silent_is_cancelled(world):
    loop, clock, (best, second, _) = world
    second.coordinator.submit(graph("orphan", loop.now()))
    lh.run_until(loop, lambda: best.scheduler.runs)
    loop.unwatch(second.coordinator._socket)
    for submission in second.coordinator._remote_submissions.values():
        submission.timer.cancel()
    lh.advance(loop, clock, 3.0)
    assert best.scheduler.cancelled == ["orphan"]


def test_results_that_nobody_awaits_are_freed(world):
    loop, _, (best, second, _) = world
    submission = second.coordinator.submit(graph(now=loop.now()))
    lh.run_until(loop, lambda: best.scheduler.runs)
    second.coordinator._forget(submission)
    best.scheduler.runs[0].future.set_result(MADE)
    lh.run_until(loop, lambda: best.scheduler.freed == ["h1"])


def test_used_results_are_freed_by_the_coordinator(world):
    loop, _, (best, second, _) = world
    second.coordinator.free((RESULT,))
    lh.run_until(loop, lambda: best.scheduler.freed == ["h1"])


def test_a_closing_coordinator_cancels_remote_runs(world):
    loop, _, (best, second, _) = world
    second.coordinator.submit(graph("remote", loop.now()))
    lh.run_until(loop, lambda: best.scheduler.runs)
    best.coordinator.close()
    assert best.scheduler.cancelled == ["remote"]


def test_messages_are_decoded_and_bad_frames_rejected():
    submitted = graph(now=100.0)._replace(is_partly_answered=True)
    message = stage_messages.StageMessage(
        stage_messages.Kind.SUBMIT, 7, submitted, (RESULT, RESULT)
    )
    frame = stage_messages.encode(KEY, message, 100.0)
    got = stage_messages.decode(KEY, frame, 200.0)
    assert got.results == (RESULT, RESULT)
    assert got.graph == graph(now=200.0)._replace(is_partly_answered=True)
    bad = stage_messages.decode(b"x" * 16, frame, 0.0)
    assert isinstance(bad, messages.BadFrame)
    assert isinstance(
        stage_messages.decode(KEY, messages.seal(KEY, b"\xff" * 9), 0.0),
        messages.BadFrame,
    )


def test_another_host_continues_from_the_results_of_a_silent_one(world):
    loop, clock, (best, second, third) = world
    third.coordinator.submit(graph(now=loop.now()))
    lh.run_until(loop, lambda: best.scheduler.runs)
    lh.run_pending(loop, 10)
    progress = ((0, (RESULT, RESULT._replace(handle="h2"))),)
    best.scheduler.runs[0].record_completed(progress)
    lh.run_pending(loop, 10)
    loop.unwatch(best.coordinator._socket._socket)
    lh.advance(loop, clock, 2.0)
    lh.run_until(loop, lambda: second.scheduler.runs)
    assert second.scheduler.runs[0].graph.completed == progress
    best.coordinator._socket._receive(0)
    assert best.scheduler.handed_over == ["r1"] and best.scheduler.freed == []


def test_a_restarted_coordinator_gets_the_results_so_far(world):
    loop, clock, (best, second, third) = world
    third.coordinator.submit(graph(now=loop.now()))
    lh.run_until(loop, lambda: best.scheduler.runs)
    progress = ((0, (RESULT,)), (1, (RESULT._replace(handle="h2"),)))
    best.scheduler.runs[0].record_completed(progress)
    lh.run_pending(loop, 10)
    best.coordinator._remote_runs.clear()
    lh.advance(loop, clock, 0.5)
    lh.run_until(loop, lambda: len(best.scheduler.runs) == 2)
    assert best.scheduler.runs[1].graph.completed == progress


def test_the_host_with_the_most_cores_coordinates(world):
    loop, _, (best, second, third) = world
    for host in (best, second, third):
        host.peers = [
            peer._replace(milli_cores=2000 if peer == third.peer else 387)
            for peer in host.peers
        ]
    second.coordinator.submit(graph(now=loop.now()))
    lh.run_until(loop, lambda: third.scheduler.runs)
    assert best.scheduler.runs == []


def test_submissions_move_to_a_better_coordinator(world):
    loop, clock, (best, second, third) = world
    # At first the two others know only each other.
    second.peers, third.peers = [third.peer], [second.peer]
    local = second.coordinator.submit(graph("local", now=loop.now()))
    remote = third.coordinator.submit(graph("remote", now=loop.now()))
    lh.run_until(loop, lambda: len(second.scheduler.runs) == 2)
    progress = ((0, (RESULT, RESULT._replace(handle="h2"))),)
    for run in second.scheduler.runs:
        run.record_completed(progress)
    lh.run_pending(loop, 10)
    second.peers.append(best.peer)
    third.peers.append(best.peer)
    lh.advance(loop, clock, 0.6)
    lh.run_until(loop, lambda: len(best.scheduler.runs) == 2)
    assert [run.graph.completed for run in best.scheduler.runs] == [
        progress,
        progress,
    ]
    lh.run_until(loop, lambda: len(second.scheduler.handed_over) == 2)
    # The former coordinator's outcome of a moved graph is ignored.
    tasks.resolve(
        second.scheduler.runs[0].future, pieces.JobFailure(pieces.FAILED)
    )
    made = stage_graph.GraphResult((RESULT,))
    for run in best.scheduler.runs:
        tasks.resolve(run.future, made)
    lh.run_until(loop, lambda: remote.future.done() and local.future.done())
    assert local.future.result() == remote.future.result() == made


def test_submissions_move_from_a_coordinator_that_left(world):
    loop, clock, (best, second, third) = world
    third.coordinator.submit(graph(now=loop.now()))
    lh.run_until(loop, lambda: best.scheduler.runs)
    progress = ((0, (RESULT,)),)
    best.scheduler.runs[0].record_completed(progress)
    lh.run_pending(loop, 10)
    third.peers.remove(best.peer)
    lh.advance(loop, clock, 0.6)
    lh.run_until(
        loop, lambda: second.scheduler.runs and best.scheduler.handed_over
    )
    assert second.scheduler.runs[0].graph.completed == progress


def test_submissions_stay_while_their_coordinator_is_live(world):
    loop, clock, (best, second, third) = world
    third.coordinator.submit(graph(now=loop.now()))
    lh.run_until(loop, lambda: best.scheduler.runs)
    second.peers, third.peers = [third.peer], [best.peer]
    lh.advance(loop, clock, 1.2)
    assert len(best.scheduler.runs) == 1
    assert best.scheduler.handed_over == second.scheduler.runs == []


def test_a_stopping_host_moves_its_own_graphs(world):
    loop, _, (best, second, _) = world
    submission = best.coordinator.submit(graph(now=loop.now()))
    progress = ((0, (RESULT,)),)
    best.scheduler.runs[0].record_completed(progress)
    best.coordinator.leave()
    lh.run_until(loop, lambda: second.scheduler.runs)
    assert second.scheduler.runs[0].graph.completed == progress
    assert best.scheduler.handed_over == ["r1"]
    made = stage_graph.GraphResult((RESULT,))
    tasks.resolve(second.scheduler.runs[0].future, made)
    lh.run_until(loop, lambda: submission.future.done())


def test_a_stopping_host_without_peers_keeps_its_graphs(world):
    loop, _, (best, _, _) = world
    best.peers.clear()
    best.coordinator.submit(graph(now=loop.now()))
    best.coordinator.leave()
    assert best.scheduler.handed_over == [] and len(best.scheduler.runs) == 1
    best.coordinator.submit(graph("r2", now=loop.now()))
    assert len(best.scheduler.runs) == 2
