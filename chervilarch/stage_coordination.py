"""Brings the stage work of all hosts together at one of them.

Only one queue that sees the whole demand can fill calls and keep endpoints
from being raced for. The gathering host is one of the live hosts with the most
processor, chosen by rendezvous hashing; it is a matter of performance only:
any host can run an order, and two that both gather waste work but break
nothing.
"""

import zlib
from collections.abc import Callable
from concurrent.futures import Future
from typing import NamedTuple

from chervilarch import loop as loops
from chervilarch import (
    peer_socket,
    stage_graph,
    stage_messages,
    stage_scheduler,
    state_log,
    tasks,
)
from chervilarch.stage_messages import Kind, StageMessage

# An order that isn't accepted is sent again after this time. The way there
# and back takes a few milliseconds.
_RESEND_S = 0.08
_MAX_SENDS = 3
# An accepted order is asked after this often, and held to be lost when its
# gatherer wasn't heard for the longer time.
_KEEPALIVE_S = 0.4
_SILENCE_S = 1.0
# A gatherer that didn't answer gets no orders for this time.
_AVOID_S = 1.5
# An order whose sender wasn't heard for this time is dropped.
_ABANDONED_S = 2.0
_SWEEP_S = 0.5
# Ranks a host that is leaving behind all others.
_LEAVING_CORES = -1


class Peer(NamedTuple):
    """A live host, the address of one of its sockets and its processor."""

    name: str
    address: tuple[str, int]
    milli_cores: int = 0


class Submission:
    """An order that was submitted here."""

    def __init__(self, number: int, graph: stage_graph.StageGraph):
        self.number = number
        self.graph = graph
        self.future: Future = Future()
        self.peer: Peer | None = None
        self.local: stage_scheduler.GraphRun | None = None
        self.sends = 0
        self.is_accepted = False
        self.heard_at = 0.0
        self.timer: loops.Timer | None = None


class _RemoteRun:
    """An order that another host submitted."""

    def __init__(self, run: stage_scheduler.GraphRun, now: float):
        self.run = run
        self.heard_at = now


class StageCoordinator:
    """Submits orders to the gathering host, and gathers for others."""

    def __init__(
        self,
        loop: loops.Loop,
        scheduler: stage_scheduler.StageScheduler,
        own: Peer,
        live_peers: Callable[[], list[Peer]],
        key: bytes,
    ):
        """Creates the gatherer and binds its socket.

        Args:
            loop: the event loop.
            scheduler: runs orders on this host.
            own: this host.
            live_peers: returns the other hosts that are held alive.
            key: seals datagrams.

        Raises:
            OSError: the address can't be bound.
        """
        self._loop = loop
        self._scheduler = scheduler
        self._own = own
        self._live_peers = live_peers
        self._key = key
        self._number = int(loop.clock.wall() * 1000) << 20
        self._remote_submissions: dict[int, Submission] = {}
        self._local_submissions: dict[int, Submission] = {}
        self._remote_runs: dict[tuple, _RemoteRun] = {}
        # The rank of the gathering host when it was last looked at.
        self._rank = rank(own)
        self._avoided: dict[str, float] = {}
        self._socket = peer_socket.PeerSocket(
            loop,
            own.address,
            lambda frame: stage_messages.decode(key, frame, loop.now()),
            self._take,
            "stage message refused",
        )
        loop.call_later(_SWEEP_S, self._sweep)

    def close(self) -> None:
        """Stops the orders of other hosts and closes the socket."""
        for served in self._remote_runs.values():
            self._drop(served)
        self._remote_runs.clear()
        self._socket.close()

    def leave(self) -> None:
        """Has own orders gathered elsewhere, as this host is about to stop."""
        self._own = self._own._replace(milli_cores=_LEAVING_CORES)
        self._rank = rank(self._own)
        self._follow_best()

    def submit(self, graph: stage_graph.StageGraph) -> Submission:
        """Runs a graph; its future gets `GraphResult` or `PieceFailure`."""
        self._number += 1
        submission = Submission(self._number, graph)
        self._place(submission)
        return submission

    def cancel(self, submission: Submission) -> None:
        """Stops an order; its future is not resolved."""
        if submission.local is not None:
            self._local_submissions.pop(submission.number, None)
            self._scheduler.cancel(submission.local)
        elif self._forget(submission):
            self._send(
                submission.peer, StageMessage(Kind.CANCEL, submission.number)
            )

    def free(self, results: stage_graph.Results) -> None:
        """Frees results that the final call has read."""
        peer = self._choose_peer()
        if peer is None:
            self._scheduler.free(results)
        else:
            self._send(peer, StageMessage(Kind.FREE, results=results))

    def _choose_peer(self) -> Peer | None:
        """Returns the gathering host, None if it is this one."""
        now = self._loop.now()
        peers = [
            peer
            for peer in self._live_peers()
            if self._avoided.get(peer.name, now) <= now
        ]
        best = max([self._own, *peers], key=rank)
        return None if best is self._own else best

    def _place(self, submission: Submission) -> None:
        """Sends an order to the gathering host, or runs it here."""
        peer = self._choose_peer()
        submission.peer = peer
        submission.sends = 0
        submission.is_accepted = False
        if peer is None:
            self._run_here(submission)
            return
        self._remote_submissions[submission.number] = submission
        submission.heard_at = self._loop.now()
        self._send_submit(submission)

    def _run_here(self, submission: Submission) -> None:
        run = self._scheduler.run(submission.graph)
        submission.local = run
        self._local_submissions[submission.number] = submission

        def finish(fut: Future) -> None:
            # An order that moved on ends here without a result.
            if submission.local is run:
                self._local_submissions.pop(submission.number, None)
                tasks.resolve(submission.future, fut.result())

        run.future.add_done_callback(finish)

    def _send_submit(self, submission: Submission) -> None:
        submission.sends += 1
        # With what is made, as the peer may have started anew meanwhile.
        self._send(
            submission.peer,
            StageMessage(Kind.SUBMIT, submission.number, submission.graph),
        )
        delay_s = _KEEPALIVE_S if submission.is_accepted else _RESEND_S
        submission.timer = self._loop.call_later(
            delay_s, lambda: self._follow_up(submission)
        )

    def _follow_up(self, submission: Submission) -> None:
        """Asks again after an order, or places it elsewhere."""
        now = self._loop.now()
        if submission.is_accepted:
            is_lost = now - submission.heard_at > _SILENCE_S
        else:
            is_lost = submission.sends >= _MAX_SENDS
        if not is_lost:
            self._send_submit(submission)
            return
        self._avoided[submission.peer.name] = now + _AVOID_S
        state_log.log_fault(
            "gathering host silent",
            request_id=submission.graph.request_id,
            host=submission.peer.name,
            silent_ms=round((now - submission.heard_at) * 1000),
        )
        self._move(submission)

    def _move(self, submission: Submission) -> None:
        """Places an order anew, with what is made of it."""
        run, submission.local = submission.local, None
        if run is not None:
            self._local_submissions.pop(submission.number, None)
            submission.graph = submission.graph._replace(made=run.progress)
            self._scheduler.leave(run)
        else:
            self._forget(submission)
            self._send(
                submission.peer, StageMessage(Kind.MOVED, submission.number)
            )
        self._number += 1
        submission.number = self._number
        self._place(submission)

    def _follow_best(self) -> None:
        """Moves orders to a better host that appeared, or from one that left.

        Hosts that gather side by side send calls to endpoints that the other
        one has filled.
        """
        peer = self._choose_peer() or self._own
        former, self._rank = self._rank, rank(peer)
        live = {self._own.name, *(peer.name for peer in self._live_peers())}
        moved = []
        for submission in [
            *self._remote_submissions.values(),
            *self._local_submissions.values(),
        ]:
            host = submission.peer or self._own
            is_lesser = self._rank > former and rank(host) < self._rank
            if is_lesser or host.name not in live:
                moved.append(submission)
        for submission in moved:
            self._move(submission)
        if moved:
            state_log.log_change(
                "orders moved", host=peer.name, orders=len(moved)
            )

    def _forget(self, submission: Submission) -> bool:
        if submission.timer is not None:
            submission.timer.cancel()
        return self._remote_submissions.pop(submission.number, None) is not None

    def _send(self, peer: Peer, message: StageMessage) -> None:
        self._send_to(peer.address, message)

    def _send_to(self, address: tuple, message: StageMessage) -> None:
        frame = stage_messages.encode(self._key, message, self._loop.now())
        self._socket.send(address, frame)

    def _take(self, message: StageMessage, source: tuple) -> None:
        submission = self._remote_submissions.get(message.number)
        if message.kind is Kind.SUBMIT:
            self._take_submit(message, source)
        elif message.kind is Kind.ACCEPTED:
            if submission is not None:
                submission.is_accepted = True
                submission.heard_at = self._loop.now()
                # Kept, so that another host can go on with them.
                submission.graph = submission.graph._replace(
                    made=message.progress
                )
        elif message.kind is Kind.RESULTS:
            self._take_results(submission, message, source)
        elif message.kind is Kind.FREE:
            self._scheduler.free(message.results)
        else:
            self._end_served(source, message)

    def _take_submit(self, message: StageMessage, source: tuple) -> None:
        key = (source, message.number)
        served = self._remote_runs.get(key)
        if served is None:
            served = _RemoteRun(
                self._scheduler.run(message.graph), self._loop.now()
            )
            self._remote_runs[key] = served
            served.run.on_progress = lambda: self._answer(
                served, source, message.number
            )
            if not served.run.future.done():
                served.run.future.add_done_callback(
                    lambda _: self._answer(served, source, message.number)
                )
        served.heard_at = self._loop.now()
        self._answer(served, source, message.number)

    def _answer(self, served: _RemoteRun, source: tuple, number: int) -> None:
        """Sends an order's results if there are any."""
        if (source, number) not in self._remote_runs:
            return
        if not served.run.future.done():
            accepted = StageMessage(
                Kind.ACCEPTED, number, progress=served.run.progress
            )
            self._send_to(source, accepted)
            return
        made = served.run.future.result()
        if isinstance(made, stage_graph.GraphResult):
            answer = StageMessage(
                Kind.RESULTS, number, results=made.results, engine=made.engine
            )
        else:
            answer = StageMessage(Kind.RESULTS, number, failure=made)
        self._send_to(source, answer)

    def _take_results(
        self,
        submission: Submission | None,
        message: StageMessage,
        source: tuple,
    ) -> None:
        if submission is None:
            # Nobody waits for these any more.
            self._send_to(source, StageMessage(Kind.CANCEL, message.number))
            return
        self._send_to(source, StageMessage(Kind.RECEIVED, message.number))
        self._forget(submission)
        tasks.resolve(
            submission.future,
            message.failure
            or stage_graph.GraphResult(message.results, message.engine),
        )

    def _end_served(self, source: tuple, message: StageMessage) -> None:
        served = self._remote_runs.pop((source, message.number), None)
        if served is None:
            return
        if message.kind is Kind.CANCEL:
            self._drop(served)
        elif message.kind is Kind.MOVED:
            self._scheduler.leave(served.run)

    def _drop(self, served: _RemoteRun) -> None:
        """Stops an order that nobody waits for and frees its results."""
        run = served.run
        if not run.future.done():
            self._scheduler.cancel(run)
            return
        made = run.future.result()
        if isinstance(made, stage_graph.GraphResult):
            self._scheduler.free(made.results)

    def _sweep(self) -> None:
        oldest = self._loop.now() - _ABANDONED_S
        for key, served in list(self._remote_runs.items()):
            if served.heard_at < oldest:
                del self._remote_runs[key]
                self._drop(served)
        self._follow_best()
        self._loop.call_later(_SWEEP_S, self._sweep)


def rank(peer: Peer) -> tuple[int, int]:
    """Returns a host's rank; the live host with the highest one gathers."""
    return peer.milli_cores, zlib.crc32(peer.name.encode())
