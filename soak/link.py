"""A loopback TCP proxy that injects connection faults."""

import asyncio
import contextlib
import enum

_READ_BYTES = 65536
_DELAY_S = 0.3


class Mode(enum.Enum):
    """How a link treats its connections, also those already open."""

    HEALTHY = "well"
    DELAYED = "delayed"
    # Bytes are read and dropped, in both directions or in one.
    SILENT = "silent"
    TO_TARGET_SILENT = "to target silent"
    FROM_TARGET_SILENT = "from target silent"
    # New connections are reset at once.
    REFUSED = "refused"


class Link:
    """A TCP proxy in front of one address, with a mode for each fault."""

    def __init__(self, target: tuple[str, int]):
        self.target = target
        self.mode = Mode.HEALTHY
        self.address = ""
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listens on a free port."""
        server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def reset(self) -> None:
        """Resets all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.mode is Mode.REFUSED:
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(
                *self.target
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, target_writer}
        # The end of the soak cancels open connections.
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(
                self._forward(reader, target_writer, Mode.TO_TARGET_SILENT),
                self._forward(target_reader, writer, Mode.FROM_TARGET_SILENT),
            )
        self._writers -= {writer, target_writer}

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        silent_mode: Mode,
    ) -> None:
        try:
            while data := await reader.read(_READ_BYTES):
                if self.mode in (Mode.SILENT, silent_mode):
                    # A byte stream can't go on after a gap, so the rest is
                    # dropped too.
                    while await reader.read(_READ_BYTES):
                        pass
                    break
                if self.mode is Mode.DELAYED:
                    await asyncio.sleep(_DELAY_S)
                writer.write(data)
                await writer.drain()
        except OSError:
            writer.transport.abort()
            return
        writer.close()
