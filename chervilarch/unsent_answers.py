"""Counts what callers haven't read, and ends answers to make room for replies.

`scheduling.unread_answers` decides; this module counts the bytes in the room,
looks at it while anything waits, and carries out the decisions.
"""

import socket
import struct
from collections.abc import Callable
from typing import Protocol

from chervilarch import byte_room, state_log
from chervilarch import loop as loops
from chervilarch.futures import Future
from chervilarch.scheduling import unread_answers

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_MS_PER_S = 1000


class Connection(Protocol):
    """A caller's connection."""

    peer: str

    def write_more(self) -> None:
        """Writes what the socket takes now."""

    def give_way(self) -> None:
        """Breaks the answer off and closes the connection."""


class _Entry:
    """The unsent bytes of one connection."""

    def __init__(self, answer: unread_answers.Answer, holder: byte_room.Holder):
        self.answer = answer
        self.holder = holder
        # Resolves once more of the reply may be read.
        self.growth: Future | None = None
        self.has_waited = False


class UnsentAnswers:
    """The unsent answers of one server's connections."""

    def __init__(
        self,
        loop: loops.Loop,
        room: byte_room.Room,
        count: Callable[[str], None],
    ):
        """Watches a room, which no other instance may do.

        Args:
            loop: runs the server.
            room: is shared with the replies of endpoints.
            count: counts an event, "left unread" or "ended".
        """
        self._loop = loop
        self._room = room
        self._count = count
        self._answers = unread_answers.UnreadAnswers()
        self._entries: dict[Connection, _Entry] = {}
        self._timer: loops.Timer | None = None
        room.on_wait = self._begin_looks

    def size(self) -> int:
        """Returns the unsent bytes of all answers."""
        return self._answers.size()

    def update(self, conn: Connection, unsent: int, taken: int) -> None:
        """Counts a connection's unsent bytes.

        Args:
            conn: the connection.
            unsent: its bytes that are yet to be written.
            taken: bytes that were written since the last call.
        """
        entry = self._entries.get(conn)
        if not unsent:
            if entry is not None:
                self._grant_soon(entry)
                self._remove(conn)
            return
        now = self._loop.now()
        if entry is None:
            entry = self._entries[conn] = _Entry(
                self._answers.open(now),
                self._room.open(conn.peer, now, _do_nothing),
            )
        else:
            entry.answer.record_taken(taken, now)
        entry.answer.size = unsent
        self._room.set_size(entry.holder, unsent)
        if entry.growth and taken and self._may_grow(entry):
            self._grant_soon(entry)

    def remove(self, conn: Connection) -> None:
        """Removes a connection that is closed."""
        if conn in self._entries:
            self._entries[conn].growth = None
            self._remove(conn)

    def growth(self, conn: Connection) -> Future | None:
        """Returns when more of a reply may be read; None for at once.

        The future isn't resolved if the connection closes first.
        """
        entry = self._entries.get(conn)
        if entry is None or self._may_grow(entry):
            return None
        entry.growth = Future()
        self._answers.wait(entry.answer, self._loop.now())
        self._begin_looks()
        if not entry.has_waited:
            entry.has_waited = True
            self._count("left unread")
            state_log.log_decision(
                "reply left unread",
                is_problem=True,
                peer=conn.peer,
                unsent_bytes=entry.answer.size,
                room_bytes=self._room.size,
                bound_bytes=self._room.bounds.shared,
            )
        return entry.growth

    def _remove(self, conn: Connection) -> None:
        entry = self._entries.pop(conn)
        self._answers.close(entry.answer)
        self._room.close(entry.holder)

    def _state(self) -> unread_answers.RoomState:
        return unread_answers.RoomState(self._room.size, self._room.bounds)

    def _may_grow(self, entry: _Entry) -> bool:
        return self._answers.may_grow(entry.answer, self._state())

    def _grant_soon(self, entry: _Entry) -> None:
        """Lets a reply be read on, after what is running now."""
        self._answers.stop_waiting(entry.answer)
        growth, entry.growth = entry.growth, None
        if growth is not None:
            self._loop.call_soon(lambda: growth.set_result(None))

    def _begin_looks(self) -> None:
        if self._timer is None:
            self._answers.begin_looks(self._loop.now())
            self._look_later()

    def _look_later(self) -> None:
        self._timer = self._loop.call_later(
            unread_answers.LOOK_INTERVAL_S, self._look
        )

    def _look(self) -> None:
        """Ends answers if others need their room, and lets others grow."""
        self._timer = None
        if not (self._room.is_awaited() or self._answers.is_awaited()):
            return
        self._look_later()
        # A socket takes more before it becomes writable.
        for conn in list(self._entries):
            conn.write_more()
        bodies = [unread_answers.Wait(*wait) for wait in self._room.waits()]
        endings = self._answers.choose(self._state(), bodies, self._loop.now())
        if endings:
            self._end(endings)
        entries = {entry.answer: entry for entry in self._entries.values()}
        for answer in self._answers.growing(self._state()):
            self._grant_soon(entries[answer])

    def _end(self, endings: list[unread_answers.Ending]) -> None:
        conns = {entry.answer: conn for conn, entry in self._entries.items()}
        for ending in endings:
            conn = conns[ending.answer]
            self._count("ended")
            state_log.log_decision(
                "unread answer ended",
                is_problem=True,
                peer=conn.peer,
                unsent_bytes=ending.size,
                fair_bytes=ending.fair_part,
                room_bytes=self._room.size,
                drain_ms=round(ending.drain_s * _MS_PER_S),
                age_ms=round(ending.age_s * _MS_PER_S),
                waits=ending.waits,
                waited_ms=round(ending.waited_s * _MS_PER_S),
            )
            conn.give_way()


def reset_on_close(sock: socket.socket) -> None:
    """Makes the close of a socket show the caller that bytes are missing."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)


def _do_nothing() -> None:
    pass
