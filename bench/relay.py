"""A TCP relay that can partition one process from another."""

import contextlib
import socket
import threading

_CHUNK = 65536


class Relay:
    """A TCP proxy that forwards connections until it is partitioned.

    While partitioned, open connections carry no data and new ones are closed.
    """

    def __init__(self, target: str):
        self._target = target
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._forwarding = threading.Event()
        self._forwarding.set()
        host, port = self._listener.getsockname()
        self.address = f"{host}:{port}"
        threading.Thread(target=self._accept, daemon=True).start()

    def partition(self) -> None:
        """Stops forwarding in both directions."""
        self._forwarding.clear()

    def heal(self) -> None:
        """Resumes forwarding."""
        self._forwarding.set()

    def close(self) -> None:
        """Stops accepting connections."""
        self._listener.close()

    def _accept(self) -> None:
        host, port = self._target.rsplit(":", 1)
        while True:
            try:
                client, _ = self._listener.accept()
            except OSError:
                return
            if not self._forwarding.is_set():
                client.close()
                continue
            try:
                server = socket.create_connection((host, int(port)), 1.0)
            except OSError:
                client.close()
                continue
            server.settimeout(None)
            for source, sink in ((client, server), (server, client)):
                threading.Thread(
                    target=self._forward, args=(source, sink), daemon=True
                ).start()

    def _forward(self, source: socket.socket, sink: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while True:
                data = source.recv(_CHUNK)
                self._forwarding.wait()
                if not data:
                    break
                sink.sendall(data)
        for sock in (source, sink):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
