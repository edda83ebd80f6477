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
    stage_desk,
    stage_graph,
    stage_messages,
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


class Ticket:
    """An order that was submitted here."""

    def __init__(self, number: int, order: stage_graph.Order):
        self.number = number
        self.order = order
        self.future: Future = Future()
        self.peer: Peer | None = None
        self.local: stage_desk.OrderRun | None = None
        self.sends = 0
        self.is_accepted = False
        self.heard_at = 0.0
        self.timer: loops.Timer | None = None


class _Served:
    """An order that another host submitted."""

    def __init__(self, run: stage_desk.OrderRun, now: float):
        self.run = run
        self.heard_at = now


class Gatherer:
    """Submits orders to the gathering host, and gathers for others."""

    def __init__(
        self,
        loop: loops.Loop,
        desk: stage_desk.StageDesk,
        own: Peer,
        live_peers: Callable[[], list[Peer]],
        key: bytes,
    ):
        """Creates the gatherer and binds its socket.

        Args:
            loop: the event loop.
            desk: runs orders on this host.
            own: this host.
            live_peers: returns the other hosts that are held alive.
            key: seals datagrams.

        Raises:
            OSError: the address can't be bound.
        """
        self._loop = loop
        self._desk = desk
        self._own = own
        self._live_peers = live_peers
        self._key = key
        self._number = int(loop.clock.wall() * 1000) << 20
        self._tickets: dict[int, Ticket] = {}
        self._local: dict[int, Ticket] = {}
        self._served: dict[tuple, _Served] = {}
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
        for served in self._served.values():
            self._drop(served)
        self._served.clear()
        self._socket.close()

    def leave(self) -> None:
        """Has own orders gathered elsewhere, as this host is about to stop."""
        self._own = self._own._replace(milli_cores=_LEAVING_CORES)
        self._rank = rank(self._own)
        self._follow_best()

    def submit(self, order: stage_graph.Order) -> Ticket:
        """Has an order run; its future gets `Made` or a `PieceFailure`."""
        self._number += 1
        ticket = Ticket(self._number, order)
        self._place(ticket)
        return ticket

    def cancel(self, ticket: Ticket) -> None:
        """Stops an order; its future is not resolved."""
        if ticket.local is not None:
            self._local.pop(ticket.number, None)
            self._desk.cancel(ticket.local)
        elif self._forget(ticket):
            self._send(ticket.peer, StageMessage(Kind.CANCEL, ticket.number))

    def free(self, results: stage_graph.Results) -> None:
        """Frees results that the final call has read."""
        peer = self._choose_peer()
        if peer is None:
            self._desk.free(results)
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

    def _place(self, ticket: Ticket) -> None:
        """Sends an order to the gathering host, or runs it here."""
        peer = self._choose_peer()
        ticket.peer = peer
        ticket.sends = 0
        ticket.is_accepted = False
        if peer is None:
            self._run_here(ticket)
            return
        self._tickets[ticket.number] = ticket
        ticket.heard_at = self._loop.now()
        self._send_submit(ticket)

    def _run_here(self, ticket: Ticket) -> None:
        run = self._desk.run(ticket.order)
        ticket.local = run
        self._local[ticket.number] = ticket

        def finish(fut: Future) -> None:
            # An order that moved on ends here without a result.
            if ticket.local is run:
                self._local.pop(ticket.number, None)
                tasks.resolve(ticket.future, fut.result())

        run.future.add_done_callback(finish)

    def _send_submit(self, ticket: Ticket) -> None:
        ticket.sends += 1
        # With what is made, as the peer may have started anew meanwhile.
        self._send(
            ticket.peer,
            StageMessage(Kind.SUBMIT, ticket.number, ticket.order),
        )
        delay_s = _KEEPALIVE_S if ticket.is_accepted else _RESEND_S
        ticket.timer = self._loop.call_later(
            delay_s, lambda: self._follow_up(ticket)
        )

    def _follow_up(self, ticket: Ticket) -> None:
        """Asks again after an order, or places it elsewhere."""
        now = self._loop.now()
        if ticket.is_accepted:
            is_lost = now - ticket.heard_at > _SILENCE_S
        else:
            is_lost = ticket.sends >= _MAX_SENDS
        if not is_lost:
            self._send_submit(ticket)
            return
        self._avoided[ticket.peer.name] = now + _AVOID_S
        state_log.log_fault(
            "gathering host silent",
            request_id=ticket.order.request_id,
            host=ticket.peer.name,
            silent_ms=round((now - ticket.heard_at) * 1000),
        )
        self._move(ticket)

    def _move(self, ticket: Ticket) -> None:
        """Places an order anew, with what is made of it."""
        run, ticket.local = ticket.local, None
        if run is not None:
            self._local.pop(ticket.number, None)
            ticket.order = ticket.order._replace(made=run.progress)
            self._desk.leave(run)
        else:
            self._forget(ticket)
            self._send(ticket.peer, StageMessage(Kind.MOVED, ticket.number))
        self._number += 1
        ticket.number = self._number
        self._place(ticket)

    def _follow_best(self) -> None:
        """Moves orders to a better host that appeared, or from one that left.

        Hosts that gather side by side send calls to endpoints that the other
        one has filled.
        """
        peer = self._choose_peer() or self._own
        former, self._rank = self._rank, rank(peer)
        live = {self._own.name, *(peer.name for peer in self._live_peers())}
        moved = []
        for ticket in [*self._tickets.values(), *self._local.values()]:
            host = ticket.peer or self._own
            is_lesser = self._rank > former and rank(host) < self._rank
            if is_lesser or host.name not in live:
                moved.append(ticket)
        for ticket in moved:
            self._move(ticket)
        if moved:
            state_log.log_change(
                "orders moved", host=peer.name, orders=len(moved)
            )

    def _forget(self, ticket: Ticket) -> bool:
        if ticket.timer is not None:
            ticket.timer.cancel()
        return self._tickets.pop(ticket.number, None) is not None

    def _send(self, peer: Peer, message: StageMessage) -> None:
        self._send_to(peer.address, message)

    def _send_to(self, address: tuple, message: StageMessage) -> None:
        frame = stage_messages.encode(self._key, message, self._loop.now())
        self._socket.send(address, frame)

    def _take(self, message: StageMessage, source: tuple) -> None:
        ticket = self._tickets.get(message.number)
        if message.kind is Kind.SUBMIT:
            self._take_submit(message, source)
        elif message.kind is Kind.ACCEPTED:
            if ticket is not None:
                ticket.is_accepted = True
                ticket.heard_at = self._loop.now()
                # Kept, so that another host can go on with them.
                ticket.order = ticket.order._replace(made=message.progress)
        elif message.kind is Kind.RESULTS:
            self._take_results(ticket, message, source)
        elif message.kind is Kind.FREE:
            self._desk.free(message.results)
        else:
            self._end_served(source, message)

    def _take_submit(self, message: StageMessage, source: tuple) -> None:
        key = (source, message.number)
        served = self._served.get(key)
        if served is None:
            served = _Served(self._desk.run(message.order), self._loop.now())
            self._served[key] = served
            served.run.on_progress = lambda: self._answer(
                served, source, message.number
            )
            if not served.run.future.done():
                served.run.future.add_done_callback(
                    lambda _: self._answer(served, source, message.number)
                )
        served.heard_at = self._loop.now()
        self._answer(served, source, message.number)

    def _answer(self, served: _Served, source: tuple, number: int) -> None:
        """Sends an order's results if there are any."""
        if (source, number) not in self._served:
            return
        if not served.run.future.done():
            accepted = StageMessage(
                Kind.ACCEPTED, number, progress=served.run.progress
            )
            self._send_to(source, accepted)
            return
        made = served.run.future.result()
        if isinstance(made, stage_graph.Made):
            answer = StageMessage(
                Kind.RESULTS, number, results=made.results, engine=made.engine
            )
        else:
            answer = StageMessage(Kind.RESULTS, number, failure=made)
        self._send_to(source, answer)

    def _take_results(
        self, ticket: Ticket | None, message: StageMessage, source: tuple
    ) -> None:
        if ticket is None:
            # Nobody waits for these any more.
            self._send_to(source, StageMessage(Kind.CANCEL, message.number))
            return
        self._send_to(source, StageMessage(Kind.RECEIVED, message.number))
        self._forget(ticket)
        tasks.resolve(
            ticket.future,
            message.failure
            or stage_graph.Made(message.results, message.engine),
        )

    def _end_served(self, source: tuple, message: StageMessage) -> None:
        served = self._served.pop((source, message.number), None)
        if served is None:
            return
        if message.kind is Kind.CANCEL:
            self._drop(served)
        elif message.kind is Kind.MOVED:
            self._desk.leave(served.run)

    def _drop(self, served: _Served) -> None:
        """Stops an order that nobody waits for and frees its results."""
        run = served.run
        if not run.future.done():
            self._desk.cancel(run)
            return
        made = run.future.result()
        if isinstance(made, stage_graph.Made):
            self._desk.free(made.results)

    def _sweep(self) -> None:
        oldest = self._loop.now() - _ABANDONED_S
        for key, served in list(self._served.items()):
            if served.heard_at < oldest:
                del self._served[key]
                self._drop(served)
        self._follow_best()
        self._loop.call_later(_SWEEP_S, self._sweep)


def rank(peer: Peer) -> tuple[int, int]:
    """Returns a host's rank; the live host with the highest one gathers."""
    return peer.milli_cores, zlib.crc32(peer.name.encode())
