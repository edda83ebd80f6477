"""Bytes that wait to be written to a socket."""

import collections
import socket

# Pieces from this size on are kept as they are, smaller ones are joined.
_LARGE_BYTES = 64 * 1024


class WriteBuffer:
    """A queue of bytes; large pieces of it aren't copied."""

    def __init__(self) -> None:
        self._pieces: collections.deque[bytes | bytearray] = collections.deque()
        # How much of the first piece has been written.
        self._written = 0
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def append(self, data: bytes) -> None:
        """Adds bytes at the end."""
        if not data:
            return
        self._size += len(data)
        if len(data) >= _LARGE_BYTES:
            self._pieces.append(data)
        elif self._may_extend_last():
            self._pieces[-1] += data
        else:
            self._pieces.append(bytearray(data))

    def _may_extend_last(self) -> bool:
        last = self._pieces[-1] if self._pieces else b""
        # A growing array is copied, and keeps spare room.
        return isinstance(last, bytearray) and len(last) < _LARGE_BYTES

    def write_to(self, sock: socket.socket) -> int:
        """Writes what the socket takes at once; returns the number of bytes.

        Raises:
            BlockingIOError: it takes none.
            OSError: the connection has failed.
        """
        first = self._pieces[0]
        if isinstance(first, bytearray):
            sent = sock.send(first)
            del first[:sent]
        else:
            with memoryview(first) as view:
                sent = sock.send(view[self._written :])
            self._written += sent
        self._size -= sent
        if len(first) == self._written:
            self._pieces.popleft()
            self._written = 0
        return sent

    def clear(self) -> None:
        """Drops all bytes."""
        self._pieces.clear()
        self._written = self._size = 0
