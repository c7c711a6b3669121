"""A loopback proxy that can disrupt the connections it forwards."""

import asyncio
import random
import socket
import struct
import time
from contextlib import suppress
from enum import Enum

CHUNK_BYTES = 16 * 1024
SILENCE_POLL_S = 0.02
# SO_LINGER with a timeout of 0: closing discards unsent data and sends a reset.
RESET_LINGER = struct.pack('ii', 1, 0)


class LinkFault(Enum):
    """Fault that a link applies to its connections.

    REFUSE resets new connections. SILENCE holds back all bytes, and
    CUT_REPLIES those from the target.
    """

    NONE = 'none'
    DELAY = 'delay'
    REFUSE = 'refuse'
    SILENCE = 'silence'
    CUT_REPLIES = 'cut-replies'


class Link:
    """Forwards connections from one address to another.

    Attributes:
        fault: Current fault of all connections.
        delay: Seconds by which DELAY holds back each chunk.
        silenced: Connection sides that never get bytes again.
        disrupted_at: Monotonic time at which single connections were last
            reset or silenced.
    """

    def __init__(self, listen: str, target: str, seed: int) -> None:
        self.listen = listen
        self.target = target
        self.random = random.Random(seed)
        self.fault = LinkFault.NONE
        self.delay = 0.1
        self.writers: set[asyncio.StreamWriter] = set()
        self.silenced: set[asyncio.StreamWriter] = set()
        self.disrupted_at = float('-inf')
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Starts to listen for connections."""
        host, _, port = self.listen.partition(':')
        self.server = await asyncio.start_server(self.handle, host, int(port))

    async def handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forwards one connection in both directions."""
        if self.fault is LinkFault.REFUSE:
            reset(writer)
            return
        host, _, port = self.target.partition(':')
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            reset(writer)
            return
        self.writers |= {writer, target_writer}
        try:
            await asyncio.gather(
                self.forward(reader, target_writer, False),
                self.forward(target_reader, writer, True),
            )
        except (OSError, asyncio.CancelledError):
            # A side closed the connection, or the soak ends: both are expected.
            reset(writer)
            reset(target_writer)
        finally:
            self.close_side(writer)
            self.close_side(target_writer)

    def close_side(self, writer: asyncio.StreamWriter) -> None:
        """Closes one side of a connection and stops tracking it."""
        self.writers.discard(writer)
        self.silenced.discard(writer)
        writer.close()

    async def forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_reply: bool,
    ) -> None:
        """Forwards bytes in one direction until the reader ends."""
        while chunk := await reader.read(CHUNK_BYTES):
            if self.fault is LinkFault.DELAY:
                await asyncio.sleep(self.delay)
            while self.is_held_back(writer, is_reply):
                await asyncio.sleep(SILENCE_POLL_S)
            writer.write(chunk)
            await writer.drain()
        with suppress(OSError, RuntimeError):
            writer.write_eof()

    def is_held_back(
        self, writer: asyncio.StreamWriter, is_reply: bool
    ) -> bool:
        """Returns whether bytes to a side are held back now."""
        if writer in self.silenced or self.fault is LinkFault.SILENCE:
            return True
        return is_reply and self.fault is LinkFault.CUT_REPLIES

    def reset_some(self, share: float) -> None:
        """Resets a random share of the connections."""
        self.disrupted_at = time.monotonic()
        for writer in tuple(self.writers):
            if self.random.random() < share:
                reset(writer)

    def silence_some(self, share: float) -> None:
        """Silences a random share of the connections for good."""
        self.disrupted_at = time.monotonic()
        for writer in tuple(self.writers):
            if self.random.random() < share:
                self.silenced.add(writer)

    def close(self) -> None:
        """Stops listening and resets all connections."""
        if self.server is not None:
            self.server.close()
        for writer in tuple(self.writers):
            reset(writer)


def reset(writer: asyncio.StreamWriter) -> None:
    """Aborts a connection with a TCP reset."""
    sock = writer.get_extra_info('socket')
    with suppress(OSError, AttributeError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
    writer.transport.abort()
