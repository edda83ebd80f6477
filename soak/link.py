"""A loopback proxy that can harm the connections through it."""

import asyncio
import contextlib
import enum

_CHUNK = 65536
_DELAY_S = 0.3


class Mode(enum.Enum):
    """What happens to bytes; open connections are affected too."""

    WELL = "well"
    DELAYED = "delayed"
    # Bytes are taken and go nowhere, either way or one way.
    SILENT = "silent"
    NO_WAY_THERE = "no way there"
    NO_WAY_BACK = "no way back"
    # New connections are closed at once.
    REFUSED = "refused"


class Link:
    """A proxy before one address."""

    def __init__(self, target: tuple[str, int]):
        self.target = target
        self.mode = Mode.WELL
        self.address = ""
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Binds a port of the proxy's own."""
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
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, far_writer}
        # The end of the soak cancels what is open.
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(
                self._forward(reader, far_writer, Mode.NO_WAY_THERE),
                self._forward(far_reader, writer, Mode.NO_WAY_BACK),
            )
        self._writers -= {writer, far_writer}

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        one_way: Mode,
    ) -> None:
        try:
            while data := await reader.read(_CHUNK):
                if self.mode in (Mode.SILENT, one_way):
                    # What was dropped breaks the byte stream for good.
                    while await reader.read(_CHUNK):
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
