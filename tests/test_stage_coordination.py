"""Orders for stages between hosts, over real datagrams on loopback."""

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

PROMPT = stage_graph.Prompt("s", b"a,b", 600, 90)
MADE = stage_graph.GraphResult((RESULT,), "e9")


def graph(name="r1", now=0.0):
    need = stage_graph.StageSpec("p", (), 2, 100)
    after = stage_graph.StageSpec("q", (0,), 1, 100)
    return stage_graph.StageGraph(
        name, "key", 1, now + 2.0, now + 8.0, (need, after), "dc1", PROMPT
    )


class FakeDesk:
    """Takes orders; the test ends them."""

    def __init__(self):
        self.runs: list[stage_scheduler.GraphRun] = []
        self.cancelled: list[str] = []
        self.freed: list[str] = []
        self.left: list[str] = []

    def run(self, what):
        run = stage_scheduler.GraphRun(what)
        self.runs.append(run)
        return run

    def cancel(self, run):
        self.cancelled.append(run.graph.request_id)

    def leave(self, run):
        self.left.append(run.graph.request_id)

    def free(self, results):
        self.freed += [result.handle for result in results]


class Host:
    """A gatherer with a fake desk; `n2` is chosen over `n1` by its hash."""

    def __init__(self, loop, name):
        self.scheduler = FakeDesk()
        self.peers: list[stage_coordination.Peer] = []
        own = stage_coordination.Peer(name, ("127.0.0.1", 0))
        self.gatherer = stage_coordination.StageCoordinator(
            loop, self.scheduler, own, lambda: self.peers, KEY
        )
        address = self.gatherer._socket.address
        self.peer = stage_coordination.Peer(name, address)


@pytest.fixture
def world():
    loop, clock = lh.new_loop()
    hosts = [Host(loop, name) for name in ("n1", "n2", "n3")]
    by_choice = sorted(
        hosts, key=lambda host: stage_coordination.rank(host.peer), reverse=True
    )
    for host in hosts:
        host.peers = [other.peer for other in hosts if other is not host]
    yield loop, clock, by_choice
    loop.close()


def test_an_order_is_run_by_the_same_host_for_all(world):
    loop, _, (owner, second, third) = world
    submissions = [
        host.gatherer.submit(graph(host.peer.name, loop.now()))
        for host in (owner, second, third)
    ]
    lh.run_until(loop, lambda: len(owner.scheduler.runs) == 3)
    for run in owner.scheduler.runs:
        run.future.set_result(MADE)
    lh.run_until(loop, lambda: all(t.future.done() for t in submissions))
    assert [t.future.result() for t in submissions] == [MADE] * 3


def test_a_failure_comes_back_with_its_reason(world):
    loop, _, (owner, second, _) = world
    submission = second.gatherer.submit(graph(now=loop.now()))
    lh.run_until(loop, lambda: owner.scheduler.runs)
    failure = pieces.PieceFailure(pieces.OVERLOADED, 0.5)
    owner.scheduler.runs[0].future.set_result(failure)
    lh.run_until(loop, submission.future.done)
    assert submission.future.result() == failure


def test_an_order_sent_again_runs_once(world):
    loop, clock, (owner, second, _) = world
    second.gatherer.submit(graph(now=loop.now()))
    lh.run_until(loop, lambda: owner.scheduler.runs)
    for _ in range(5):
        lh.advance(loop, clock, 0.4)
    assert len(owner.scheduler.runs) == 1 and owner.scheduler.cancelled == []


def test_a_silent_host_is_passed_over(world):
    loop, clock, (owner, second, third) = world
    owner.gatherer._socket.close()
    submission = third.gatherer.submit(graph(now=loop.now()))
    lh.advance(loop, clock, 0.5)
    lh.run_until(loop, lambda: second.scheduler.runs)
    second.scheduler.runs[0].future.set_result(MADE)
    lh.run_until(loop, submission.future.done)


def test_a_host_that_falls_silent_with_an_order_is_passed_over(world):
    loop, clock, (owner, second, third) = world
    third.gatherer.submit(graph(now=loop.now()))
    lh.run_until(loop, lambda: owner.scheduler.runs)
    lh.settle(loop, 10)
    owner.gatherer._socket.close()
    lh.advance(loop, clock, 3.0)
    lh.run_until(loop, lambda: second.scheduler.runs)


def test_a_cancelled_order_is_stopped_at_its_gatherer(world):
    loop, _, (owner, second, _) = world
    submission = second.gatherer.submit(graph("gone", loop.now()))
    lh.run_until(loop, lambda: owner.scheduler.runs)
    second.gatherer.cancel(submission)
    lh.run_until(loop, lambda: owner.scheduler.cancelled == ["gone"])


def test_an_order_whose_sender_is_silent_is_dropped(world):
    loop, clock, (owner, second, _) = world
    second.gatherer.submit(graph("orphan", loop.now()))
    lh.run_until(loop, lambda: owner.scheduler.runs)
    loop.unwatch(second.gatherer._socket)
    for timer in second.gatherer._remote_submissions.values():
        timer.timer.cancel()
    lh.advance(loop, clock, 3.0)
    assert owner.scheduler.cancelled == ["orphan"]


def test_results_that_nobody_awaits_are_freed(world):
    loop, _, (owner, second, _) = world
    submission = second.gatherer.submit(graph(now=loop.now()))
    lh.run_until(loop, lambda: owner.scheduler.runs)
    second.gatherer._forget(submission)
    owner.scheduler.runs[0].future.set_result(MADE)
    lh.run_until(loop, lambda: owner.scheduler.freed == ["h1"])


def test_used_results_are_freed_by_the_gathering_host(world):
    loop, _, (owner, second, _) = world
    second.gatherer.free((RESULT,))
    lh.run_until(loop, lambda: owner.scheduler.freed == ["h1"])


def test_a_host_that_ends_stops_the_orders_of_others(world):
    loop, _, (owner, second, _) = world
    second.gatherer.submit(graph("left", loop.now()))
    lh.run_until(loop, lambda: owner.scheduler.runs)
    owner.gatherer.close()
    assert owner.scheduler.cancelled == ["left"]


def test_messages_survive_the_wire():
    what = graph(now=100.0)._replace(is_begun=True)
    message = stage_messages.StageMessage(
        stage_messages.Kind.SUBMIT, 7, what, (RESULT, RESULT)
    )
    frame = stage_messages.encode(KEY, message, 100.0)
    got = stage_messages.decode(KEY, frame, 200.0)
    assert got.results == (RESULT, RESULT)
    assert got.graph == graph(now=200.0)._replace(is_begun=True)
    bad = stage_messages.decode(b"x" * 16, frame, 0.0)
    assert isinstance(bad, messages.BadFrame)
    assert isinstance(
        stage_messages.decode(KEY, messages.seal(KEY, b"\xff" * 9), 0.0),
        messages.BadFrame,
    )


def test_another_host_goes_on_with_what_a_silent_one_had_made(world):
    loop, clock, (owner, second, third) = world
    third.gatherer.submit(graph(now=loop.now()))
    lh.run_until(loop, lambda: owner.scheduler.runs)
    lh.settle(loop, 10)
    held = ((0, (RESULT, RESULT._replace(handle="h2"))),)
    owner.scheduler.runs[0].note_progress(held)
    lh.settle(loop, 10)
    loop.unwatch(owner.gatherer._socket._socket)
    lh.advance(loop, clock, 2.0)
    lh.run_until(loop, lambda: second.scheduler.runs)
    assert second.scheduler.runs[0].graph.made == held
    owner.gatherer._socket._receive(0)
    assert owner.scheduler.left == ["r1"] and owner.scheduler.freed == []


def test_a_host_that_started_anew_gets_what_it_had_made_before(world):
    loop, clock, (owner, second, third) = world
    third.gatherer.submit(graph(now=loop.now()))
    lh.run_until(loop, lambda: owner.scheduler.runs)
    held = ((0, (RESULT,)), (1, (RESULT._replace(handle="h2"),)))
    owner.scheduler.runs[0].note_progress(held)
    lh.settle(loop, 10)
    owner.gatherer._remote_runs.clear()
    lh.advance(loop, clock, 0.5)
    lh.run_until(loop, lambda: len(owner.scheduler.runs) == 2)
    assert owner.scheduler.runs[1].graph.made == held


def test_the_host_with_the_most_processor_gathers(world):
    loop, _, (owner, second, third) = world
    for host in (owner, second, third):
        host.peers = [
            peer._replace(milli_cores=2000 if peer == third.peer else 387)
            for peer in host.peers
        ]
    second.gatherer.submit(graph(now=loop.now()))
    lh.run_until(loop, lambda: third.scheduler.runs)
    assert owner.scheduler.runs == []


def test_orders_follow_to_a_better_gathering_host(world):
    loop, clock, (owner, second, third) = world
    # At first the two others know each other only.
    second.peers, third.peers = [third.peer], [second.peer]
    local = second.gatherer.submit(graph("local", now=loop.now()))
    remote = third.gatherer.submit(graph("remote", now=loop.now()))
    lh.run_until(loop, lambda: len(second.scheduler.runs) == 2)
    held = ((0, (RESULT, RESULT._replace(handle="h2"))),)
    for run in second.scheduler.runs:
        run.note_progress(held)
    lh.settle(loop, 10)
    second.peers.append(owner.peer)
    third.peers.append(owner.peer)
    lh.advance(loop, clock, 0.6)
    lh.run_until(loop, lambda: len(owner.scheduler.runs) == 2)
    assert [run.graph.made for run in owner.scheduler.runs] == [held, held]
    lh.run_until(loop, lambda: len(second.scheduler.left) == 2)
    # What the former host still says of a moved order counts no more.
    tasks.resolve(
        second.scheduler.runs[0].future, pieces.PieceFailure(pieces.FAILED)
    )
    made = stage_graph.GraphResult((RESULT,))
    for run in owner.scheduler.runs:
        tasks.resolve(run.future, made)
    lh.run_until(loop, lambda: remote.future.done() and local.future.done())
    assert local.future.result() == remote.future.result() == made


def test_orders_leave_a_host_that_leaves(world):
    loop, clock, (owner, second, third) = world
    third.gatherer.submit(graph(now=loop.now()))
    lh.run_until(loop, lambda: owner.scheduler.runs)
    held = ((0, (RESULT,)),)
    owner.scheduler.runs[0].note_progress(held)
    lh.settle(loop, 10)
    third.peers.remove(owner.peer)
    lh.advance(loop, clock, 0.6)
    lh.run_until(loop, lambda: second.scheduler.runs and owner.scheduler.left)
    assert second.scheduler.runs[0].graph.made == held


def test_orders_stay_while_the_gathering_host_does(world):
    loop, clock, (owner, second, third) = world
    third.gatherer.submit(graph(now=loop.now()))
    lh.run_until(loop, lambda: owner.scheduler.runs)
    second.peers, third.peers = [third.peer], [owner.peer]
    lh.advance(loop, clock, 1.2)
    assert len(owner.scheduler.runs) == 1
    assert owner.scheduler.left == second.scheduler.runs == []


def test_a_host_that_leaves_has_its_own_orders_gathered_elsewhere(world):
    loop, _, (owner, second, _) = world
    submission = owner.gatherer.submit(graph(now=loop.now()))
    held = ((0, (RESULT,)),)
    owner.scheduler.runs[0].note_progress(held)
    owner.gatherer.leave()
    lh.run_until(loop, lambda: second.scheduler.runs)
    assert second.scheduler.runs[0].graph.made == held
    assert owner.scheduler.left == ["r1"]
    made = stage_graph.GraphResult((RESULT,))
    tasks.resolve(second.scheduler.runs[0].future, made)
    lh.run_until(loop, lambda: submission.future.done())


def test_a_host_that_leaves_alone_goes_on_with_its_orders(world):
    loop, _, (owner, _, _) = world
    owner.peers.clear()
    owner.gatherer.submit(graph(now=loop.now()))
    owner.gatherer.leave()
    assert owner.scheduler.left == [] and len(owner.scheduler.runs) == 1
    owner.gatherer.submit(graph("r2", now=loop.now()))
    assert len(owner.scheduler.runs) == 2
