"""Transfer of the configuration between routers over TCP.

A frame is a length of four bytes and a sealed Cap'n Proto message. A reply
returns the nonce of its request, so that an old reply can't be replayed.
"""

import json
import secrets
import socket
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from chervilarch import configuration, decoding, messages, metrics

MAX_FRAME_BYTES = 32 * 1024 * 1024
_MAX_REQUEST_BYTES = 4096
# Bounds each wait for the peer, and the time to receive a request.
_TIMEOUT_S = 1.0
# Bounds the time to receive a reply.
_REPLY_TIMEOUT_S = 10.0
_THREADS = 4
_LENGTH_BYTES = 4
_ACCEPT_WAIT_S = 0.2


class ConfigServer:
    """Serves this router's configuration to routers that request it."""

    def __init__(
        self,
        address: str,
        key: bytes,
        counters: metrics.Metrics,
        get_state: Callable[[], configuration.ConfigState],
    ):
        self._address = address
        self._key = key
        self._metrics = counters
        self._get_state = get_state
        self._stop = threading.Event()
        self._executor = ThreadPoolExecutor(_THREADS, "peers")
        self._connection_slots = threading.BoundedSemaphore(4 * _THREADS)
        self._thread = threading.Thread(
            target=self._run, name="peer-server", daemon=True
        )
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)

    def start(self) -> None:
        """Binds the socket and starts the thread."""
        host, port = self._address.rsplit(":", 1)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind((host, int(port)))
        self._socket.listen()
        self._socket.settimeout(_ACCEPT_WAIT_S)
        self._thread.start()

    def stop(self) -> None:
        """Closes the socket and ends the threads."""
        self._stop.set()
        self._thread.join()
        self._socket.close()
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _run(self) -> None:
        while not self._stop.is_set():
            try:
                conn, _ = self._socket.accept()
            except TimeoutError:
                continue
            except OSError:
                self._metrics.count("peers.accept_failed")
                self._stop.wait(_ACCEPT_WAIT_S)
                continue
            if not self._connection_slots.acquire(blocking=False):
                self._metrics.count("peers.too_many")
                conn.close()
                continue
            self._executor.submit(self._serve, conn)

    def _serve(self, conn: socket.socket) -> None:
        try:
            with conn:
                conn.settimeout(_TIMEOUT_S)
                self._handle_request(conn)
        except OSError:
            self._metrics.count("peers.connection_failed")
        finally:
            self._connection_slots.release()

    def _handle_request(self, conn: socket.socket) -> None:
        frame = _receive_frame(
            conn, _MAX_REQUEST_BYTES, time.monotonic() + _TIMEOUT_S
        )
        if frame is None:
            self._metrics.count("peers.bad_frame")
            return
        req = messages.decode_request(self._key, frame)
        if isinstance(req, messages.BadFrame) or req.target != self._address:
            self._metrics.count("peers.bad_frame")
            return
        state = self._get_state()
        reply = messages.TransferReply(
            req.nonce,
            state.through,
            state.version,
            json.dumps(state.document).encode(),
        )
        _send_frame(conn, messages.encode_reply(self._key, reply))


def fetch_configuration(
    address: str, key: bytes
) -> configuration.ConfigState | None:
    """Fetches a peer's configuration; returns None on failure."""
    host, port = address.rsplit(":", 1)
    nonce = secrets.randbits(63)
    try:
        with socket.create_connection((host, int(port)), _TIMEOUT_S) as conn:
            req = messages.TransferRequest(nonce, address)
            _send_frame(conn, messages.encode_request(key, req))
            frame = _receive_frame(
                conn, MAX_FRAME_BYTES, time.monotonic() + _REPLY_TIMEOUT_S
            )
    except OSError:
        return None
    if frame is None:
        return None
    reply = messages.decode_reply(key, frame)
    if isinstance(reply, messages.BadFrame) or reply.nonce != nonce:
        return None
    try:
        document = json.loads(reply.document)
    except decoding.ERRORS:
        return None
    if not isinstance(document, dict):
        return None
    return configuration.ConfigState(reply.through, reply.version, document)


def _send_frame(conn: socket.socket, frame: bytes) -> None:
    conn.sendall(len(frame).to_bytes(_LENGTH_BYTES, "big") + frame)


def _receive_frame(
    conn: socket.socket, max_bytes: int, ends_at: float
) -> bytes | None:
    header = _receive_exactly(conn, _LENGTH_BYTES, ends_at)
    if header is None:
        return None
    size = int.from_bytes(header, "big")
    if size > max_bytes:
        return None
    return _receive_exactly(conn, size, ends_at)


def _receive_exactly(
    conn: socket.socket, size: int, ends_at: float
) -> bytes | None:
    """Receives a number of bytes.

    Args:
        conn: the connection.
        size: number of bytes.
        ends_at: monotonic time at which to give up, however slowly bytes come.

    Returns:
        the bytes, None if the peer closed the connection before.

    Raises:
        OSError: they didn't come in time.
    """
    data = bytearray()
    while len(data) < size:
        if time.monotonic() >= ends_at:
            raise TimeoutError("the peer sends too slowly")
        chunk = conn.recv(min(65536, size - len(data)))
        if not chunk:
            return None
        data += chunk
    return bytes(data)
