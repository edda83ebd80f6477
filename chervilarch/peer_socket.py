"""A UDP socket on the loop for sealed datagrams between hosts."""

import selectors
import socket
from collections.abc import Callable

from chervilarch import loop as loops
from chervilarch import state_log

_MAX_DATAGRAM = 65507


class PeerSocket:
    """Sends and receives datagrams; what they hold is the owner's."""

    def __init__(
        self,
        loop: loops.Loop,
        address: tuple[str, int],
        on_frame: Callable[[bytes, tuple], None],
    ):
        """Binds the socket and starts to listen.

        Args:
            loop: the event loop.
            address: where to listen.
            on_frame: called with each datagram and its sender's address.

        Raises:
            OSError: the address can't be bound.
        """
        self._loop = loop
        self._on_frame = on_frame
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind(address)
        self.address = self._socket.getsockname()
        loop.watch(self._socket, selectors.EVENT_READ, self._receive)

    def send(self, address: tuple, frame: bytes) -> None:
        """Sends a datagram; one that can't be sent counts as lost."""
        try:
            self._socket.sendto(frame, address)
        except OSError as exc:
            state_log.log_fault(
                "datagram not sent",
                host=address[0],
                port=address[1],
                reason=str(exc),
            )

    def close(self) -> None:
        """Stops listening."""
        self._loop.unwatch(self._socket)
        self._socket.close()

    def _receive(self, events: int) -> None:
        while True:
            try:
                frame, source = self._socket.recvfrom(_MAX_DATAGRAM)
            except OSError:
                return  # Nothing is left to read.
            self._on_frame(frame, source)
