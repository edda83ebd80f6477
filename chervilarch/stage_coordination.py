"""Runs the stage graphs of all hosts on one of them, the coordinator.

Only a single queue that sees the whole demand can fill batches and keep hosts
from competing for endpoints. The coordinator is the live host with the most
processor capacity; a hash of the name decides among equals. The choice affects
performance only: any host can run a graph, and two coordinators at a time
waste work but break nothing.
"""

import zlib
from collections.abc import Callable
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
from chervilarch.futures import Future
from chervilarch.stage_messages import Kind, StageMessage

# A submission that isn't accepted is sent again after this time. A round trip
# takes a few milliseconds.
_RESEND_S = 0.08
_MAX_SENDS = 3
# An accepted submission is sent again at this interval, and counts as lost
# when its coordinator has been silent for `_SILENCE_S`.
_KEEPALIVE_S = 0.4
_SILENCE_S = 1.0
# A host that was silent as coordinator isn't chosen again for this time.
_AVOID_S = 1.5
# A remote run whose submitter has been silent for this time is discarded.
_ABANDONED_S = 2.0
_SWEEP_S = 0.5
# Puts a host that is stopping behind all others.
_LEAVING_MILLI_CORES = -1


class Peer(NamedTuple):
    """A live host and the address of one of its sockets."""

    name: str
    address: tuple[str, int]
    milli_cores: int = 0
    data_centre: str = ""


class Submission:
    """A stage graph that this host handed to the coordinator, itself or not.

    `coordinator` is None while the graph runs on this host.
    """

    def __init__(self, number: int, graph: stage_graph.StageGraph):
        self.number = number
        self.graph = graph
        self.future: Future = Future()
        self.coordinator: Peer | None = None
        self.local_run: stage_scheduler.ScheduledGraph | None = None
        self.sends = 0
        self.is_accepted = False
        self.last_heard_at = 0.0
        self.timer: loops.Timer | None = None


class _RemoteRun:
    """A graph that runs here for another host."""

    def __init__(self, run: stage_scheduler.ScheduledGraph, now: float):
        self.run = run
        self.last_heard_at = now


class StageCoordinator:
    """Submits this host's graphs to the coordinator.

    Every host has one. While this host is the coordinator, it runs the graphs
    of all hosts.
    """

    def __init__(
        self,
        loop: loops.Loop,
        scheduler: stage_scheduler.StageScheduler,
        own: Peer,
        live_peers: Callable[[], list[Peer]],
        seal_key: bytes,
    ):
        """Binds the socket.

        Args:
            loop: the event loop.
            scheduler: runs graphs on this host.
            own: this host.
            live_peers: returns the other hosts that are considered alive.
            seal_key: secret that seals datagrams.

        Raises:
            OSError: the address can't be bound.
        """
        self._loop = loop
        self._scheduler = scheduler
        self._own = own
        self._live_peers = live_peers
        self._seal_key = seal_key
        self._last_number = int(loop.clock.wall() * 1000) << 20
        self._remote_submissions: dict[int, Submission] = {}
        self._local_submissions: dict[int, Submission] = {}
        self._remote_runs: dict[tuple, _RemoteRun] = {}
        # Election priority of the coordinator at the last check.
        self._coordinator_priority = election_priority(own)
        self._avoided_until: dict[str, float] = {}
        self._socket = peer_socket.PeerSocket(
            loop,
            own.address,
            lambda frame: stage_messages.decode(seal_key, frame, loop.now()),
            self._handle,
            "stage message refused",
        )
        loop.call_every(_SWEEP_S, self._sweep)
        loop.add_resume_listener(self._on_resume)

    def close(self) -> None:
        """Stops the graphs of other hosts and closes the socket."""
        for remote in self._remote_runs.values():
            self._discard(remote)
        self._remote_runs.clear()
        self._socket.close()

    def leave(self) -> None:
        """Moves own graphs to another coordinator before this host stops."""
        self._own = self._own._replace(milli_cores=_LEAVING_MILLI_CORES)
        self._coordinator_priority = election_priority(self._own)
        self._follow_coordinator()

    def submit(self, graph: stage_graph.StageGraph) -> Submission:
        """Runs a graph; its future gets `GraphResult` or `JobFailure`."""
        self._last_number += 1
        submission = Submission(self._last_number, graph)
        self._assign(submission)
        return submission

    def cancel(self, submission: Submission) -> None:
        """Stops a submission; its future is not resolved."""
        if submission.local_run is not None:
            self._local_submissions.pop(submission.number, None)
            self._scheduler.cancel(submission.local_run)
        elif self._forget(submission):
            self._send(
                submission.coordinator,
                StageMessage(Kind.CANCEL, submission.number),
            )

    def free(
        self,
        results: stage_graph.Results,
        placed: stage_graph.PlacedRequest | None = None,
    ) -> None:
        """Frees results that the final call no longer needs.

        Args:
            results: the results.
            placed: what became of a call that was placed by its cost.
        """
        peer = self._choose_coordinator()
        if peer is None:
            self._free(results, placed)
        else:
            self._send(
                peer, StageMessage(Kind.FREE, results=results, placed=placed)
            )

    def _free(
        self,
        results: stage_graph.Results,
        placed: stage_graph.PlacedRequest | None,
    ) -> None:
        if placed is not None:
            self._scheduler.record_placed(placed)
        self._scheduler.free(results)

    def _choose_coordinator(self) -> Peer | None:
        """Returns the coordinating host, None if it is this one."""
        now = self._loop.now()
        peers = [
            peer
            for peer in self._live_peers()
            if self._avoided_until.get(peer.name, now) <= now
        ]
        is_own_avoided = self._avoided_until.get(self._own.name, now) > now
        if not is_own_avoided or not peers:
            peers.append(self._own)
        best = max(peers, key=election_priority)
        return None if best is self._own else best

    def _assign(self, submission: Submission) -> None:
        """Sends a graph to the coordinator, or runs it here."""
        peer = self._choose_coordinator()
        submission.coordinator = peer
        submission.sends = 0
        submission.is_accepted = False
        if peer is None:
            self._run_locally(submission)
            return
        self._remote_submissions[submission.number] = submission
        submission.last_heard_at = self._loop.now()
        self._send_submit(submission)

    def _run_locally(self, submission: Submission) -> None:
        run = self._scheduler.run(submission.graph)
        submission.local_run = run
        self._local_submissions[submission.number] = submission

        def finish(fut: Future) -> None:
            # A submission that moved away ends here without a result.
            if submission.local_run is run:
                self._local_submissions.pop(submission.number, None)
                tasks.resolve(submission.future, fut.result())

        run.future.add_done_callback(finish)

    def _send_submit(self, submission: Submission) -> None:
        submission.sends += 1
        # Includes results so far: the peer may have restarted meanwhile.
        self._send(
            submission.coordinator,
            StageMessage(Kind.SUBMIT, submission.number, submission.graph),
        )
        delay_s = _KEEPALIVE_S if submission.is_accepted else _RESEND_S
        submission.timer = self._loop.call_later(
            delay_s, lambda: self._resend_or_reassign(submission)
        )

    def _resend_or_reassign(self, submission: Submission) -> None:
        """Sends a submission again, or to another host if it counts as lost."""
        now = self._loop.now()
        if submission.is_accepted:
            is_lost = now - submission.last_heard_at > _SILENCE_S
        else:
            is_lost = submission.sends >= _MAX_SENDS
        if not is_lost:
            self._send_submit(submission)
            return
        self._avoided_until[submission.coordinator.name] = now + _AVOID_S
        state_log.log_fault(
            "gathering host silent",
            request_id=submission.graph.request_id,
            host=submission.coordinator.name,
            silent_ms=round((now - submission.last_heard_at) * 1000),
        )
        self._reassign(submission)

    def _reassign(self, submission: Submission) -> None:
        """Assigns a submission anew, with its results so far."""
        run, submission.local_run = submission.local_run, None
        if run is not None:
            self._local_submissions.pop(submission.number, None)
            submission.graph = submission.graph._replace(
                completed=run.completed
            )
            self._scheduler.hand_over(run)
        else:
            self._forget(submission)
            self._send(
                submission.coordinator,
                StageMessage(Kind.MOVED, submission.number),
            )
        self._last_number += 1
        submission.number = self._last_number
        self._assign(submission)

    def _follow_coordinator(self) -> None:
        """Moves submissions to a better coordinator, or from one that left.

        Two coordinators at a time send calls to endpoints that the other one
        has filled.
        """
        peer = self._choose_coordinator() or self._own
        former, self._coordinator_priority = (
            self._coordinator_priority,
            election_priority(peer),
        )
        live = {self._own.name, *(peer.name for peer in self._live_peers())}
        moved = []
        for submission in [
            *self._remote_submissions.values(),
            *self._local_submissions.values(),
        ]:
            host = submission.coordinator or self._own
            is_lesser = (
                self._coordinator_priority > former
                and election_priority(host) < self._coordinator_priority
            )
            if is_lesser or host.name not in live:
                moved.append(submission)
        for submission in moved:
            self._reassign(submission)
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
        frame = stage_messages.encode(self._seal_key, message, self._loop.now())
        self._socket.send(address, frame)

    def _handle(self, message: StageMessage, source: tuple) -> None:
        submission = self._remote_submissions.get(message.number)
        if message.kind is Kind.SUBMIT:
            self._handle_submit(message, source)
        elif message.kind is Kind.ACCEPTED:
            if submission is not None:
                submission.is_accepted = True
                submission.last_heard_at = self._loop.now()
                # Another host continues from these if this one is lost.
                submission.graph = submission.graph._replace(
                    completed=message.completed
                )
        elif message.kind is Kind.RESULTS:
            self._handle_results(submission, message, source)
        elif message.kind is Kind.FREE:
            self._free(message.results, message.placed)
        else:
            self._end_remote_run(source, message)

    def _handle_submit(self, message: StageMessage, source: tuple) -> None:
        key = (source, message.number)
        remote = self._remote_runs.get(key)
        if remote is None:
            remote = _RemoteRun(
                self._scheduler.run(message.graph), self._loop.now()
            )
            self._remote_runs[key] = remote
            remote.run.on_results_changed = lambda: self._reply(*key)
            if not remote.run.future.done():
                remote.run.future.add_done_callback(lambda _: self._reply(*key))
        remote.last_heard_at = self._loop.now()
        self._reply(*key)

    def _reply(self, source: tuple, number: int) -> None:
        """Sends a run's outcome, or its progress while it runs."""
        remote = self._remote_runs.get((source, number))
        if remote is None:
            return
        if not remote.run.future.done():
            accepted = StageMessage(
                Kind.ACCEPTED, number, completed=remote.run.completed
            )
            self._send_to(source, accepted)
            return
        outcome = remote.run.future.result()
        if isinstance(outcome, stage_graph.GraphResult):
            reply = StageMessage(
                Kind.RESULTS,
                number,
                results=outcome.results,
                proposed_engine=outcome.proposed_engine,
            )
        else:
            reply = StageMessage(Kind.RESULTS, number, failure=outcome)
        self._send_to(source, reply)

    def _handle_results(
        self,
        submission: Submission | None,
        message: StageMessage,
        source: tuple,
    ) -> None:
        if submission is None:
            # Nothing here waits for these results any more.
            self._send_to(source, StageMessage(Kind.CANCEL, message.number))
            return
        self._send_to(source, StageMessage(Kind.RECEIVED, message.number))
        self._forget(submission)
        tasks.resolve(
            submission.future,
            message.failure
            or stage_graph.GraphResult(
                message.results, message.proposed_engine
            ),
        )

    def _end_remote_run(self, source: tuple, message: StageMessage) -> None:
        remote = self._remote_runs.pop((source, message.number), None)
        if remote is None:
            return
        if message.kind is Kind.CANCEL:
            self._discard(remote)
        elif message.kind is Kind.MOVED:
            self._scheduler.hand_over(remote.run)

    def _discard(self, remote: _RemoteRun) -> None:
        """Stops a run that nobody waits for and frees its results."""
        run = remote.run
        if not run.future.done():
            self._scheduler.cancel(run)
            return
        outcome = run.future.result()
        if isinstance(outcome, stage_graph.GraphResult):
            placed = None
            if run.graph.prompt.prompt is not None:
                placed = stage_graph.PlacedRequest(
                    run.graph.request_id, has_ended=True
                )
            self._free(outcome.results, placed)

    def _on_resume(self, paused_s: float) -> None:
        """Leaves to other hosts what they took over in a pause of this one.

        Their results stay: the hosts that took over go on from them.
        """
        now = self._loop.now()
        for submission in self._remote_submissions.values():
            # The coordinator couldn't be heard.
            submission.last_heard_at = now
            submission.sends = 0
        for key, remote in list(self._remote_runs.items()):
            if now - remote.last_heard_at > _SILENCE_S:
                del self._remote_runs[key]
                self._scheduler.hand_over(remote.run)
        if paused_s > _SILENCE_S:
            # Other hosts avoid this one too.
            self._avoided_until[self._own.name] = now + _AVOID_S
        self._follow_coordinator()
        if self._choose_coordinator() is not None:
            for submission in list(self._local_submissions.values()):
                self._reassign(submission)

    def _sweep(self) -> None:
        oldest = self._loop.now() - _ABANDONED_S
        for key, remote in list(self._remote_runs.items()):
            if remote.last_heard_at < oldest:
                del self._remote_runs[key]
                self._discard(remote)
        self._follow_coordinator()


def election_priority(peer: Peer) -> tuple[int, int]:
    """Returns a host's priority; the live host with the highest coordinates.

    It isn't a request's priority, of which the lowest goes first.
    """
    return peer.milli_cores, zlib.crc32(peer.name.encode())
