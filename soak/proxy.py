"""A TCP proxy that delays or drops data and resets connections."""

import asyncio
import enum


class Mode(enum.Enum):
    """How the proxy treats the data of all its connections.

    ``PASS`` forwards it, ``DELAY`` forwards it late, ``CUT_IN`` drops data to the
    target, ``CUT_OUT`` drops data from the target, ``SILENT`` drops both.
    """

    PASS = "pass"
    DELAY = "delay"
    CUT_IN = "cut_in"
    CUT_OUT = "cut_out"
    SILENT = "silent"


DELAY_S = 0.15
CHUNK_BYTES = 65536


class Proxy:
    """Forwards connections from one address to another.

    Parameters
    ----------
    listen, target : str
        ``IP:port`` to listen on and to connect to.
    """

    def __init__(self, listen: str, target: str) -> None:
        self._listen = listen
        self._target = target
        self.mode = Mode.PASS
        # Drops the data of connections whose first message contains this.
        self.cut_off = b""
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Accept connections."""
        host, _, port = self._listen.rpartition(":")
        self._server = await asyncio.start_server(self._accept, host, int(port))

    def reset(self) -> None:
        """Reset all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    def close(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self._target.rpartition(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, target_writer}
        first = bytearray()
        inward = self._forward(reader, target_writer, Mode.CUT_IN, first)
        outward = self._forward(target_reader, writer, Mode.CUT_OUT, first)
        await asyncio.gather(inward, outward)
        for end in (writer, target_writer):
            end.transport.abort()
        self._writers -= {writer, target_writer}

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        cut_mode: Mode,
        first: bytearray,
    ) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                if cut_mode is Mode.CUT_IN and not first:
                    first += data
                if self.cut_off and self.cut_off in first:
                    continue
                if self.mode is Mode.DELAY:
                    await asyncio.sleep(DELAY_S)
                if self.mode in (cut_mode, Mode.SILENT):
                    continue
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        if not writer.is_closing():
            writer.transport.abort()
