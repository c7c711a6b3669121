"""Tests of the connections to the platform's store."""

import asyncio

import pytest

from teaselcove.answer_memory import AnswerMemory
from teaselcove.errors import StoreUnavailableError
from teaselcove.ids import Instant
from teaselcove.platform import store as store_module
from teaselcove.platform.store import READ_HEADER, StoreClient

IP = '127.0.0.1'
CALLS = 4
HEADER = READ_HEADER.pack(0, 0)
ANSWER = f'HTTP/1.1 200 OK\r\ncontent-length: {len(HEADER)}\r\n\r\n'.encode()


class SilencedStore:
    """A store that answers, until connections opened by then go silent.

    Attributes:
        open: Number of connections that were opened.
        silent: Number of the first connections that no longer answer.
    """

    def __init__(self) -> None:
        self.open = 0
        self.silent = 0

    async def answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answers the requests of a connection."""
        self.open += 1
        number = self.open
        while await reader.readline():
            await reader.readuntil(b'\r\n\r\n')
            if number > self.silent:
                # Calls overlap, so that each needs a connection of its own.
                await asyncio.sleep(0.02)
                writer.write(ANSWER + HEADER)
        writer.close()


async def read_fails(client: StoreClient) -> bool:
    """Returns whether a read gets no answer."""
    try:
        await client.read('t', 0, Instant(0))
    except StoreUnavailableError:
        return True
    return False


async def failures_after_silence() -> int:
    """Returns how many reads fail after all open connections went silent."""
    silenced = SilencedStore()
    server = await asyncio.start_server(silenced.answer, IP, 0)
    port = server.sockets[0].getsockname()[1]
    client = StoreClient(f'{IP}:{port}', AnswerMemory())
    reads = [client.read('t', 0, Instant(0)) for _ in range(CALLS)]
    await asyncio.gather(*reads)
    silenced.silent = silenced.open
    failures = [await read_fails(client) for _ in range(CALLS)]
    client.close()
    server.close()
    return sum(failures)


class TestSilentConnections:
    """Open connections that go silent while new ones work."""

    def test_one_call_fails(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Guards against a timeout for each idle connection in turn.

        Until the last of them the host does not hear of leaving servers.
        """
        monkeypatch.setattr(store_module, 'CALL_TIMEOUT_S', 0.3)
        assert asyncio.run(failures_after_silence()) == 1
