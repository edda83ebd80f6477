"""Defers the reading of replies until their heads were checked.

libcurl joins a header line that begins with a blank to the line before it, and
no callback sees the line as the server sent it. So a transfer doesn't read its
reply until the whole head waits in the socket and each of its lines was checked
there.
"""

import re
import select
import socket
from typing import NamedTuple

import pycurl

from chervilarch import reply_head

_LINE = re.compile(rb"[^\n]*\n")
_STATUS_LINE_START = b"HTTP/"


class _Deferred(NamedTuple):
    """A transfer whose reply isn't read, and the check of its head."""

    curl: pycurl.Curl
    check: "_HeadCheck"


class DeferredReplies:
    """The replies that libcurl doesn't read yet.

    Not safe in threads. A transfer calls `defer` as libcurl's PREREQFUNCTION.
    The client calls `watch_new` after each call of libcurl, `check` when
    `fileno` is readable, and `drop` at the end of a transfer.
    """

    def __init__(self) -> None:
        # A set of its own forgets the sockets that libcurl closes, whose
        # numbers are used again, and doesn't interfere with what it watches.
        self._epoll = select.epoll()
        self._fd = self._epoll.fileno()
        self._new: dict[pycurl.Curl, reply_head.ReplyHead] = {}
        self._by_fd: dict[int, _Deferred] = {}
        self._fds: dict[pycurl.Curl, int] = {}

    def fileno(self) -> int:
        """Returns a descriptor that is readable when `check` has work."""
        return self._fd

    def close(self) -> None:
        """Closes the descriptor."""
        self._epoll.close()

    def is_deferred(self, curl: pycurl.Curl) -> bool:
        """Returns whether a transfer may not read its reply yet."""
        return curl in self._new or curl in self._fds

    def is_watched(self, fd: int) -> bool:
        """Returns whether a socket is one of a transfer that may not read."""
        return fd in self._by_fd

    def defer(self, curl: pycurl.Curl, head: reply_head.ReplyHead) -> int:
        """Stops the reading of a reply, before the request is sent."""
        curl.pause(pycurl.PAUSE_RECV)
        self._new[curl] = head
        return pycurl.PREREQFUNC_OK

    def watch_new(self) -> None:
        """Watches the sockets of the replies that `defer` has stopped.

        libcurl doesn't name the socket of a transfer from within a callback.
        """
        new, self._new = self._new, {}
        for curl, head in new.items():
            # libcurl may have sent the request again, on another connection.
            self.drop(curl)
            fd = curl.getinfo(pycurl.ACTIVESOCKET)
            if fd < 0:
                continue  # The transfer has failed.
            self._fds[curl] = fd
            self._by_fd[fd] = _Deferred(curl, _HeadCheck(head))
            self._epoll.register(fd, select.EPOLLIN)

    def check(self) -> list[pycurl.Curl]:
        """Checks the heads of which more has arrived.

        Returns:
            The transfers whose replies libcurl may read now. It gives up those
            whose head has a fault.
        """
        ready = []
        for fd, _ in self._epoll.poll(0):
            deferred = self._by_fd.get(fd)
            if deferred is not None and deferred.check.may_be_read(fd):
                self.drop(deferred.curl)
                ready.append(deferred.curl)
        return ready

    def drop(self, curl: pycurl.Curl) -> None:
        """Stops watching the socket of a transfer, if it is watched."""
        self._new.pop(curl, None)
        fd = self._fds.pop(curl, None)
        deferred = None if fd is None else self._by_fd.get(fd)
        if deferred is None or deferred.curl is not curl:
            return  # Its socket was closed, and the number used again.
        del self._by_fd[fd]
        try:
            self._epoll.unregister(fd)
        except OSError:
            pass  # libcurl has closed it.


class _HeadCheck:
    """Parses the head of a reply while its bytes wait in the socket."""

    def __init__(self, head: reply_head.ReplyHead) -> None:
        self._head = head
        self._waiting_bytes = 0
        self._parsed_bytes = 0
        self._low_water_mark = 1

    def may_be_read(self, fd: int) -> bool:
        """Parses what has arrived; returns whether libcurl may read it."""
        sock = socket.socket(
            socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP, fd
        )
        try:
            data = sock.recv(
                reply_head.MAX_LINE_BYTES + 1,
                socket.MSG_PEEK | socket.MSG_DONTWAIT,
            )
            has_ended = self._has_ended(data)
            # A socket with no more bytes than were parsed isn't ready.
            self._set_low_water_mark(sock, 1 if has_ended else len(data) + 1)
        except BlockingIOError:
            return False
        except OSError:
            has_ended = True
        finally:
            sock.detach()
        if has_ended and self._head.is_complete:
            self._head.mark_unread()
        elif has_ended and not self._head.is_refused():
            # Whatever it is, libcurl reports it.
            self._head.restart()
        return has_ended

    def _set_low_water_mark(self, sock: socket.socket, size: int) -> None:
        if size != self._low_water_mark:
            self._low_water_mark = size
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVLOWAT, size)

    def _has_ended(self, data: bytes) -> bool:
        """Parses the lines in all data so far; returns whether that was all."""
        if len(data) <= self._waiting_bytes:
            # The connection has ended, or the kernel lacks memory for more.
            return True
        self._waiting_bytes = len(data)
        lines_end = data.rfind(b"\n") + 1
        for line in _LINE.findall(data, self._parsed_bytes, lines_end):
            if self._head.on_line(line) == 0 or self._head.is_complete:
                return True
        self._parsed_bytes = lines_end
        if len(data) > reply_head.MAX_LINE_BYTES:
            self._head.is_overlong = True
            return True
        start = data[lines_end:][: len(_STATUS_LINE_START)]
        # Not if it begins no head, which may have no line end either.
        return self._head.awaits_status_line and not (
            _STATUS_LINE_START.startswith(start)
        )
