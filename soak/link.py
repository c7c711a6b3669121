"""A loopback proxy whose connections can be harmed."""

import asyncio
import random
import socket
import struct
import time
from contextlib import suppress
from enum import Enum

CHUNK_BYTES = 16 * 1024
POLL_S = 0.02
# Discards unsent data, so that the peer gets a reset.
RESET_LINGER = struct.pack('ii', 1, 0)


class Harm(Enum):
    """What a link does to its connections."""

    NONE = 'none'
    DELAY = 'delay'
    REFUSE = 'refuse'
    SILENCE = 'silence'
    CUT_REPLIES = 'cut-replies'


class Link:
    """Forwards connections from one address to another.

    Attributes:
        harm: What happens to the bytes of all connections.
        delay: Seconds by which bytes are late, if that is the harm.
        silenced: Connections that stay silent for good.
        harmed_at: Monotonic time at which connections were last harmed.
    """

    def __init__(self, listen: str, target: str, seed: int) -> None:
        self.listen = listen
        self.target = target
        self.random = random.Random(seed)
        self.harm = Harm.NONE
        self.delay = 0.1
        self.writers: set[asyncio.StreamWriter] = set()
        self.silenced: set[asyncio.StreamWriter] = set()
        self.harmed_at = float('-inf')
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Starts to accept connections."""
        host, _, port = self.listen.partition(':')
        self.server = await asyncio.start_server(self.accept, host, int(port))

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forwards one connection in both directions."""
        if self.harm is Harm.REFUSE:
            reset(writer)
            return
        host, _, port = self.target.partition(':')
        try:
            far_reader, far_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            reset(writer)
            return
        self.writers |= {writer, far_writer}
        try:
            await asyncio.gather(
                self.pump(reader, far_writer, False),
                self.pump(far_reader, writer, True),
            )
        except (OSError, asyncio.CancelledError):
            # One side broke off, or the soak ends: both are usual here.
            reset(writer)
            reset(far_writer)
        finally:
            self.forget(writer)
            self.forget(far_writer)

    def forget(self, writer: asyncio.StreamWriter) -> None:
        """Closes one side of a connection."""
        self.writers.discard(writer)
        self.silenced.discard(writer)
        writer.close()

    async def pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        replies: bool,
    ) -> None:
        """Forwards bytes in one direction."""
        while part := await reader.read(CHUNK_BYTES):
            if self.harm is Harm.DELAY:
                await asyncio.sleep(self.delay)
            while self.is_silent(writer, replies):
                await asyncio.sleep(POLL_S)
            writer.write(part)
            await writer.drain()
        with suppress(OSError, RuntimeError):
            writer.write_eof()

    def is_silent(self, writer: asyncio.StreamWriter, replies: bool) -> bool:
        """Returns whether bytes are held back."""
        if writer in self.silenced or self.harm is Harm.SILENCE:
            return True
        return replies and self.harm is Harm.CUT_REPLIES

    def reset_some(self, share: float) -> None:
        """Resets a share of the connections."""
        self.harmed_at = time.monotonic()
        for writer in tuple(self.writers):
            if self.random.random() < share:
                reset(writer)

    def silence_some(self, share: float) -> None:
        """Lets a share of the connections go silent for good."""
        self.harmed_at = time.monotonic()
        for writer in tuple(self.writers):
            if self.random.random() < share:
                self.silenced.add(writer)

    def close(self) -> None:
        """Ends all connections."""
        if self.server is not None:
            self.server.close()
        for writer in tuple(self.writers):
            reset(writer)


def reset(writer: asyncio.StreamWriter) -> None:
    """Ends a connection with a reset."""
    sock = writer.get_extra_info('socket')
    with suppress(OSError, AttributeError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
    writer.transport.abort()
