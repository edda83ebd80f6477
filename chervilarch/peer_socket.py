"""A non-blocking UDP socket for sealed datagrams between hosts.

The gateway uses it for stages and topic updates; gossip has its own socket.

Datagrams tell times by their age, so one that waited while the process was
paused would seem recent. Such datagrams are dropped: all users of the socket
bear losses.
"""

import selectors
import socket
from collections.abc import Callable
from typing import Any

from chervilarch import decoding, guards, messages, state_log
from chervilarch import loop as loops

# The largest payload of a UDP datagram over IPv4.
_MAX_UDP_PAYLOAD_BYTES = 65507
# Further datagrams wait for the next turn of the loop.
_DATAGRAMS_A_TURN = 64
# More than fit the socket's buffer.
_MAX_WAITING_DATAGRAMS = 64 * 1024


class PeerSocket:
    """Sends datagrams, and passes received messages to a callback."""

    def __init__(
        self,
        loop: loops.Loop,
        address: tuple[str, int],
        decode: Callable[[bytes], Any],
        on_message: Callable[[Any, tuple], None],
        refused_event: str,
    ):
        """Binds the socket and starts to listen.

        Args:
            loop: the event loop.
            address: IP address and port to listen on.
            decode: returns the message of a datagram, or a `BadFrame`.
            on_message: called with each message and its sender's address.
            refused_event: log event for a `BadFrame`.

        Raises:
            OSError: the address can't be bound.
        """
        self._loop = loop
        self._decode = decode
        self._on_message = on_message
        self._refused_event = refused_event
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind(address)
        self.address = self._socket.getsockname()
        loop.watch(self._socket, selectors.EVENT_READ, self._receive)
        loop.add_resume_listener(self._drop_waiting)

    def send(self, address: tuple, frame: bytes) -> None:
        """Sends a datagram; one that can't be sent is logged and dropped."""
        try:
            self._socket.sendto(frame, address)
        except (OSError, OverflowError) as exc:
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

    def _drop_waiting(self, paused_s: float) -> None:
        for _ in range(_MAX_WAITING_DATAGRAMS):
            if self._receive_frame() is None:
                return

    def _receive_frame(self) -> tuple[bytes, tuple] | None:
        """Returns the next datagram and its sender, None if none waits."""
        try:
            return self._socket.recvfrom(_MAX_UDP_PAYLOAD_BYTES)
        except OSError:
            return None

    def _receive(self, events: int) -> None:
        for _ in range(_DATAGRAMS_A_TURN):
            received = self._receive_frame()
            if received is None:
                return
            frame, source = received
            message = decoding.attempt(self._decode, frame)
            if isinstance(message, decoding.Unreadable):
                message = messages.BadFrame(message.reason)
            if isinstance(message, messages.BadFrame):
                state_log.log_fault(
                    self._refused_event, host=source[0], reason=message.reason
                )
                continue
            guards.call(self._on_message, message, source)
